"""Jobs, their runs and the leases of the backend servers that run them."""
