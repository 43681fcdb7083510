"""Decisions of the pool as functions without input or output."""
