"""What the holder of a pool asks of a backend server, apart from any protocol."""

from __future__ import annotations

import enum
from typing import Protocol

import attrs


class StartOutcome(enum.Enum):
    """How a backend server answered a start."""

    STARTED = "started"
    FENCED = "fenced"
    OLD_RUN = "old_run"
    TOO_LATE = "too_late"
    NO_ROOM = "no_room"
    UNHEALTHY = "unhealthy"
    OTHER_INCARNATION = "other_incarnation"
    REJECTED = "rejected"
    UNKNOWN = "unknown"


class RunOutcome(enum.Enum):
    """How a run ended on its backend server."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"


@attrs.frozen
class RunKey:
    """A task and the number of its start."""

    task: str
    run: int


@attrs.frozen
class StartRequest:
    """Order to start a run. `lease_until_ms` is on the clock of the backend server."""

    key: RunKey
    spec: str
    lease_until_ms: int
    token: int


@attrs.frozen
class EndedRun:
    """An end in the list of a backend server, numbered from 1 in each of its lives."""

    number: int
    key: RunKey
    end: RunOutcome


@attrs.frozen
class LeaseReply:
    """Answer to a renewal: the clock of the backend server, what runs and what has ended.

    `progress_by_run` is in percent. `born_ms` is 0 if it was not reported.
    """

    clock_ms: int
    born_ms: int
    progress_by_run: dict[RunKey, int]
    ended: list[EndedRun]


class RenewalRefused(Exception):  # noqa: N818
    """A renewal was answered, but not granted."""

    def __init__(self, outcome: StartOutcome) -> None:
        super().__init__(outcome.value)
        self.outcome = outcome


class BackendClient(Protocol):
    """Calls to one backend server.

    `start` and `stop` report missing answers as `UNKNOWN` and False; the call may
    still be carried out, also seconds later.
    """

    async def start(self, request: StartRequest) -> StartOutcome:
        """Order a run to start."""

    async def stop(self, key: RunKey, token: int) -> bool:
        """Order a run to stop; True if the order was taken."""

    async def renew_lease(
        self, *, token: int, acknowledged: int, lease_until_ms: int | None, wait_s: float
    ) -> LeaseReply | None:
        """Renew the lease and wait up to `wait_s` for an end; None without an answer.

        Raises `RenewalRefused` if the backend server refuses.
        """

    async def renew_connections(self) -> None:
        """Open new connections for later calls; the present ones may have gone silent."""

    async def close(self) -> None:
        """Close all connections."""
