"""Settings of the programs, checked at start."""
