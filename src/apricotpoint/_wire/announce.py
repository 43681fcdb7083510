"""The announcement of a backend server and its forwarding to the lease holder."""

from __future__ import annotations

import enum

import attrs


class GuardState(enum.Enum):
    """What the platform does with the lease of a worker."""

    RUNNING = "running"
    THROTTLED = "throttled"
    CHECKPOINT = "checkpoint"
    STOP = "stop"


@attrs.frozen
class HolderName:
    """One incarnation of an entry process as holder of a backend server."""

    entry_id: str
    incarnation: int


@attrs.frozen
class Announcement:
    """What a backend server says of itself, every 0.5 s.

    `clock_s` is the monotonic clock of the backend server at sending.
    `running` is the number of tasks that it reports as running, with a lag.
    `followed` is False if `holder` is the first holder of this incarnation.
    All announcements from `holder_since`, a sequence, up to this one name
    `holder`; 0 if the backend server does not say.
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
    """Answer to an announcement: the holder to name in the next one."""

    holder: HolderName | None
    period_s: float


@attrs.frozen
class Announced:
    """Forwards an announcement from the entry process that received it to the holder."""

    announcement: Announcement
