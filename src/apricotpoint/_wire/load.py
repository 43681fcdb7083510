"""Load reports, which entry processes send each other and which also serve as heartbeats."""

from __future__ import annotations

import attrs


@attrs.frozen
class BackendLoad:
    """Load and description of one backend server as its lease holder sees it.

    `speed` is learned from run times: a task estimated at 1 s runs for 1 / `speed` seconds.
    `available` is False if the backend server has no lease, is quarantined,
    drained or stopped, or is leaving. From `quarantined` each lease holder knows
    how many backend servers of a service are quarantined, which is limited.
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
    """Load of an entry process, sent at least every 400 ms, mostly inside batch messages.

    `held_slots` are the slots of the backend servers whose lease it holds; a process
    with a higher `weight` gets more of them.
    `queued_s_by_service` is the predicted total run time in seconds of the tasks
    that wait for a slot. `tasks_by_team` counts the unfinished tasks of the jobs
    that the process coordinates, for teams that have any.
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
