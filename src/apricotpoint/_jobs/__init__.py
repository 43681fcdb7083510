"""Jobs, their keys and their coordinator."""
