"""Control processes: replicated configuration log, key registry and configuration feed."""
