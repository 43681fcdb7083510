"""Loads and rows of backend servers for load reports and operators."""

from __future__ import annotations

from typing import Any

from apricotpoint._dispatch.backend import BackendView
from apricotpoint._wire.load import BackendLoad


def backend_load(view: BackendView, now: float) -> BackendLoad:
    """Return the load of a backend server."""
    said = view.announcement
    available = view.eligible(now)
    return BackendLoad(
        backend_id=said.backend_id,
        service=said.service,
        failure_domain=said.failure_domain,
        slots=said.slots,
        free_slots=view.free_slots(now) if available else 0,
        speed=view.effective_speed,
        available=available,
        cores=said.cores,
        memory_mb=said.memory_mb,
        accelerators=said.accelerators,
        quarantined=view.quarantine.active,
    )


def backend_row(view: BackendView, now: float, *, holder: str) -> dict[str, Any]:
    """Return the row of a backend server for operator queries."""
    said = view.announcement
    return {
        "backend_id": said.backend_id,
        "incarnation": said.incarnation,
        "service": said.service,
        "failure_domain": said.failure_domain,
        "rack": said.rack,
        "address": said.address,
        "holder": holder,
        "slots": said.slots,
        "sent": len(view.task_by_start_id),
        "foreign": view.foreign,
        "speed": round(view.effective_speed, 3),
        "eligible": view.eligible(now),
        "lease_left_s": round(max(0.0, view.lease.expires_at - now), 3),
        "lease_begins_in_s": round(max(0.0, view.lease.starts_at - now), 3),
        "quarantined": view.quarantine.active,
        "blocked": view.blocked,
        "leaving": said.leaving,
        "guard": said.guard.value,
        "network_errors": view.network_errors,
        "heard_ago_s": round(now - view.last_contact_at, 3),
    }
