"""Interface between the lease holder and the client that talks to backend servers."""

from __future__ import annotations

import enum
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import attrs


class RunStatus(enum.Enum):
    """State of a start as reported by its backend server."""

    OK = "ok"
    FAILED = "failed"
    STOPPED = "stopped"
    CANCELLED = "cancelled"
    RUNNING = "running"
    UNKNOWN = "unknown"


@attrs.frozen
class Start:
    """One task as sent to a backend server; `deadline_ms` is the time left when it is sent."""

    start_id: str
    kind: str
    payload: Any
    deadline_ms: int


@attrs.frozen
class StartResult:
    """State or result of one start; `run_s` is the run time measured by the backend server."""

    start_id: str
    status: RunStatus
    value: Any = None
    error: str = ""
    run_s: float = 0.0


@attrs.frozen
class BackendAddress:
    """Address of one incarnation of a backend server and its limit on connections."""

    backend_id: str
    incarnation: int
    address: str
    connections: int


class NotSentError(Exception):
    """The request was not written, or was refused before it was read; no task started.

    `refused` is True if the backend server refused it.
    """

    def __init__(self, message: str = "", *, refused: bool = False) -> None:
        super().__init__(message)
        self.refused = refused


class ResponseLostError(Exception):
    """The request may have been received, but its results will not arrive on this connection."""


# Sends starts in one exchange and yields results as they arrive. Raises
# NotSentError before the first result, or ResponseLostError at any time.
SendToBackend = Callable[[BackendAddress, list[Start]], AsyncIterator[StartResult]]

# Requests the result of one start over a new connection; the status is RUNNING
# or UNKNOWN if there is none. Raises ResponseLostError if the backend server
# does not answer.
FetchResult = Callable[[BackendAddress, str], Awaitable[StartResult]]

# Cancels several starts with one message; the callee counts errors.
CancelOnBackend = Callable[[BackendAddress, list[str]], Awaitable[None]]
