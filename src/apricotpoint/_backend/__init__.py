"""Simulated backend server for tests and demos."""
