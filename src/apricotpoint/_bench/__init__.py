"""Benchmarks and simulations of the dispatcher, and measurements of its costs."""
