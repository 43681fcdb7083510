"""Load reports, which are the heartbeat between entry processes."""

from __future__ import annotations

import attrs


@attrs.frozen
class BackendLoad:
    """Load and description of one backend server as its lease holder sees it.

    `speed` is learned: a task estimated at 1 s runs for 1 / speed seconds.
    `available` is False without a lease, in quarantine, or when it is drained,
    leaving or stopped. `quarantined` lets every holder keep the limit of the
    service on quarantined backend servers.
    """

    backend_id: str
    service: str
    failure_domain: str
    slots: int
    free_slots: int
    speed: float
    available: bool
    cores: int
    memory_mb: int
    accelerators: int
    quarantined: bool = False


@attrs.frozen
class LoadReport:
    """State of an entry process; sent at least every 400 ms, mostly on batch messages.

    `queued_s_by_service` is the predicted run time in seconds of the tasks
    that wait for a slot. `tasks_by_team` counts the tasks in flight of the jobs
    that this process coordinates, for teams that have any.
    """

    config_version: int
    draining: bool
    weight: float
    held_slots: int
    backends: list[BackendLoad]
    queued_s_by_service: dict[str, float]
    queued_tasks: int
    failure_domain: str
    caller_address: str
    tasks_by_team: dict[str, int] = attrs.Factory(dict)
