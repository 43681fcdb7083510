"""Load and experiments against a running system."""
