"""Measurement of the dispatch policy on virtual time."""
