"""Adapter to the users' platform: decodes its names once and calls the product."""
