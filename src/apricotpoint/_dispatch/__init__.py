"""Lease holder of backend servers: leases, queues, binding of tasks to slots, and sending."""
