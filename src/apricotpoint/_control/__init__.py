"""Replicated configuration log and key registry."""
