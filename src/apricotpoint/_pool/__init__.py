"""Backend servers with room, held under leases, on which tasks start one by one."""
