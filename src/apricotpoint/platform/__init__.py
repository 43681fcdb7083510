"""Adapter to the platform of the users.

Only this package knows the names that the platform uses on the wire and in its settings.
"""
