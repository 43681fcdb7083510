"""Announcements of backend servers, and how they are forwarded to the lease holder."""

from __future__ import annotations

import enum

import attrs


class GuardState(enum.Enum):
    """Restriction that the host platform has put on a backend server.

    No tasks are started there in the states `CHECKPOINT` and `STOP`.
    """

    RUNNING = "running"
    THROTTLED = "throttled"
    CHECKPOINT = "checkpoint"
    STOP = "stop"


@attrs.frozen
class HolderName:
    """One incarnation of an entry process as lease holder of a backend server."""

    entry_id: str
    incarnation: int


@attrs.frozen
class Announcement:
    """State of a backend server, which it sends every 0.5 s.

    `clock_s` is the monotonic clock of the backend server at sending.
    `running` is the number of its running tasks, which may lag behind.
    `holder` is the lease holder; `followed` is False if it is the first one of
    this incarnation. All announcements from sequence `holder_since` up to this
    one name `holder`; 0 if the backend server does not report it. `throttle` is
    the fraction of its speed that is left while `guard` is `THROTTLED`.
    """

    backend_id: str
    incarnation: int
    sequence: int
    clock_s: float
    service: str
    failure_domain: str
    rack: str
    address: str
    slots: int
    connections: int
    cores: int
    memory_mb: int
    accelerators: int = 0
    holder: HolderName | None = None
    followed: bool = False
    running: int = 0
    leaving: bool = False
    guard: GuardState = GuardState.RUNNING
    throttle: float = 1.0
    holder_since: int = 0


@attrs.frozen
class AnnouncementReply:
    """Answer to an announcement: the lease holder to name in the next one, and when to send it."""

    holder: HolderName | None
    period_s: float


@attrs.frozen
class Announced:
    """Forwards an announcement from the entry process that received it to the lease holder."""

    announcement: Announcement
