"""Building blocks shared by all programs."""
