"""Load generator: submits jobs to a running system and checks the answers."""
