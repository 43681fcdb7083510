"""Modules that all programs use: result codes, keys, settings, secrets, logs and timers."""
