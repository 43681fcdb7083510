"""Backend servers of a lease holder as entries of load reports and rows of operator queries."""

from __future__ import annotations

from typing import Any

from apricotpoint._dispatch.backend import BackendView
from apricotpoint._wire.load import BackendLoad


def backend_load(view: BackendView, now: float) -> BackendLoad:
    """Return the entry of a backend server in the load report of its holder."""
    announcement = view.announcement
    available = view.is_eligible(now)
    return BackendLoad(
        backend_id=announcement.backend_id,
        service=announcement.service,
        failure_domain=announcement.failure_domain,
        slots=announcement.slots,
        free_slots=view.free_slots(now) if available else 0,
        speed=view.effective_speed,
        available=available,
        cores=announcement.cores,
        memory_mb=announcement.memory_mb,
        accelerators=announcement.accelerators,
        quarantined=view.quarantine.active,
    )


def backend_row(view: BackendView, now: float, *, holder: str) -> dict[str, Any]:
    """Return the row of a backend server in operator queries; `holder` is an entry process id."""
    announcement = view.announcement
    return {
        "backend_id": announcement.backend_id,
        "incarnation": announcement.incarnation,
        "service": announcement.service,
        "failure_domain": announcement.failure_domain,
        "rack": announcement.rack,
        "address": announcement.address,
        "holder": holder,
        "slots": announcement.slots,
        "sent": len(view.task_by_start_id),
        "foreign": view.untracked_slots,
        "speed": round(view.effective_speed, 3),
        "eligible": view.is_eligible(now),
        "lease_left_s": round(max(0.0, view.lease.expires_at - now), 3),
        "lease_begins_in_s": round(max(0.0, view.lease.starts_at - now), 3),
        "quarantined": view.quarantine.active,
        "blocked": view.blocked,
        "leaving": announcement.leaving,
        "guard": announcement.guard.value,
        "network_errors": view.network_errors,
        "heard_ago_s": round(now - view.last_contact_at, 3),
    }
