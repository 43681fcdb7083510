"""Operator language, queries, commands and state dumps."""
