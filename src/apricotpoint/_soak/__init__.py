"""Fault soak of real processes: seeded series of faults, stand-ins, and checks of what they see."""
