"""Simulated backend server for tests, demos and load runs."""
