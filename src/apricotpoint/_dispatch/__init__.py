"""Lease holders of backend servers: queues, placement and sending."""
