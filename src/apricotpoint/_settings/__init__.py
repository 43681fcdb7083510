"""Settings of the programs, validated at start."""
