"""HTTP interfaces towards callers, backend servers and operators."""
