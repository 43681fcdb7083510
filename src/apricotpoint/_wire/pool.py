"""Messages about pools: backend servers with room, and jobs whose tasks start one by one."""

from __future__ import annotations

import attrs


@attrs.frozen
class Room:
    """Resources that a task needs or a backend server has; `cpu` is in thousandths of a core."""

    cpu: int
    memory_mb: int
    accelerators: int = 0

    def covers(self, other: Room) -> bool:
        """Return whether this room is enough for `other`."""
        return (
            other.cpu <= self.cpu
            and other.memory_mb <= self.memory_mb
            and other.accelerators <= self.accelerators
        )

    def plus(self, other: Room) -> Room:
        """Return the sum of both."""
        return Room(
            self.cpu + other.cpu,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: Room) -> Room:
        """Return what is left after `other` is taken."""
        return Room(
            self.cpu - other.cpu,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )


@attrs.frozen
class PoolBackend:
    """A backend server as it announced itself last.

    `sequence` grows with each announcement of one life; `born_ms` is the
    start of that life in unix milliseconds, 0 if it was not announced.
    """

    backend_id: str
    service: str
    address: str
    failure_domain: str
    room: Room
    labels: list[str]
    leaving: bool
    sequence: int
    born_ms: int = 0


@attrs.frozen
class BackendsHeard:
    """Announcements that a control process passes on; `gone` have signed off."""

    heard: list[PoolBackend]
    gone: list[str] = attrs.Factory(list)


@attrs.frozen
class EntryHello:
    """An entry process reports to a control process, which answers with `EntryWelcome`."""

    failure_domain: str


@attrs.frozen
class EntryWelcome:
    """The members that a control process knows, and the backend servers heard lately."""

    control_ids: list[str]
    domain_by_entry: dict[str, str]
    backends: list[PoolBackend]


@attrs.frozen
class PoolLoad:
    """Load of the backend servers that one entry process holds.

    `backlog_s` is the predicted time until what waits has started, `free` the
    number of further tasks of usual size that can start now, and `capacity`
    the number of such tasks that can run at the same time.
    """

    backlog_s: float
    free: int
    capacity: int


@attrs.frozen
class EntryStatus:
    """What an entry process tells all others, also as its heartbeat.

    `term_by_claim` has the failure domains whose backend servers the process
    claims, with the term of each claim. `held` are the backend servers that it
    has not released yet; no other process may take them over meanwhile.
    `answering` counts those that answer. `speed_by_backend` has what was
    learned, for a process that takes over. `started_at` is the start of the
    process in unix seconds.
    """

    failure_domain: str
    draining: bool
    config_version: int
    term_by_claim: dict[str, int]
    held: list[str]
    load: PoolLoad
    speed_by_backend: dict[str, float] = attrs.Factory(dict)
    answering: int = 0
    started_at: float = 0.0


@attrs.frozen
class PoolJob:
    """A job of one step: `count` equal tasks that may start in any order.

    `estimate_s` is the declared run time of a task. `elapsed_s` has passed
    since the caller sent the job; `objective_s` and `deadline_s` count from
    the same moment. `forwarded` jobs are not passed on again.
    """

    job_id: str
    kind: str
    service: str
    spec: str
    count: int
    room: Room
    estimate_s: float
    priority: int
    max_attempts: int
    base_latency_s: float
    stretch: float
    elapsed_s: float
    deadline_s: float
    forwarded: bool = False


@attrs.frozen
class PoolAnswer:
    """How a job ended: a result code, its reason, and for refusals when to come back."""

    code: int
    reason: str = ""
    retry_after_s: float = 0.0


@attrs.frozen
class PoolCancel:
    """The caller of a job has left."""

    job_id: str
