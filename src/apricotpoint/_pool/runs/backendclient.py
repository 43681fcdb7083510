"""Interface of the requests that a lease holder sends to a backend server."""

from __future__ import annotations

import enum
from typing import Protocol

import attrs


class StartOutcome(enum.Enum):
    """How a backend server answered a start or refused a renewal.

    `FENCED`: a higher fencing token is in use. `OLD_RUN`: a run of the task with this or a higher
    number has ended or was stopped. `TOO_LATE`: the lease in the request has expired. `NO_ROOM`:
    the free resources are not enough. `OTHER_INCARNATION`: the request was for another incarnation.
    `NOT_LISTENING`: the VM refused the connection, so the request was not sent; the process there
    has ended, or a partition resets connections. `REJECTED`: the request is not valid. `UNKNOWN`:
    no usable answer, so the start may still be carried out.
    """

    STARTED = "started"
    FENCED = "fenced"
    OLD_RUN = "old_run"
    TOO_LATE = "too_late"
    NO_ROOM = "no_room"
    UNHEALTHY = "unhealthy"
    OTHER_INCARNATION = "other_incarnation"
    NOT_LISTENING = "not_listening"
    REJECTED = "rejected"
    UNKNOWN = "unknown"


class RunOutcome(enum.Enum):
    """How a run ended on its backend server; `LAPSED` if the lease expired."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"


@attrs.frozen
class RunKey:
    """A task and the number of the run, which rises with each start of the task."""

    task: str
    run: int


@attrs.frozen
class StartRequest:
    """Request to start a run under a lease.

    `lease_until_ms` is the end of the lease on the clock of the backend server, `token` the
    fencing token, `spec` the specification of the task, passed on unchanged.
    """

    key: RunKey
    spec: str
    lease_until_ms: int
    token: int


@attrs.frozen
class EndedRun:
    """A run in the list of ended runs, numbered from 1 in each incarnation of a backend server."""

    number: int
    key: RunKey
    end: RunOutcome


@attrs.frozen
class LeaseReply:
    """Reply to a lease renewal: the clock of the backend server, its active and its ended runs.

    `progress_by_run` has all active runs, with their progress in percent. `ended` has the ended
    runs that were not acknowledged before. `born_ms` is the start of the incarnation in unix
    milliseconds, 0 if it was not reported.
    """

    clock_ms: int
    born_ms: int
    progress_by_run: dict[RunKey, int]
    ended: list[EndedRun]


class RenewalRefused(Exception):  # noqa: N818
    """A lease renewal was refused; `outcome` is the reason."""

    def __init__(self, outcome: StartOutcome) -> None:
        super().__init__(outcome.value)
        self.outcome = outcome


class BackendClient(Protocol):
    """Client of one backend server.

    A request that gets no answer may still be carried out, even seconds later. `start` returns
    `UNKNOWN` then, `stop` False and `renew_lease` None.
    """

    async def start(self, request: StartRequest) -> StartOutcome:
        """Request the start of a run."""

    async def stop(self, key: RunKey, token: int) -> bool:
        """Request that a run is stopped; True if the backend server accepted the request."""

    async def renew_lease(
        self, *, token: int, acknowledged: int, lease_until_ms: int | None, wait_s: float
    ) -> LeaseReply | None:
        """Renew the lease and wait up to `wait_s` for the end of a run; None without an answer.

        `acknowledged` is the number of the last ended run that was processed; the backend server
        may drop it and those before. Without `lease_until_ms` the lease is not extended. Raises
        `RenewalRefused` if the backend server refuses, or its VM refuses the connection.
        """

    async def renew_connections(self) -> None:
        """Use new connections for later requests, as the current ones may be broken unnoticed."""

    async def close(self) -> None:
        """Close all connections; the client cannot be used afterwards."""
