"""What the lease holder needs from the connection to backend servers."""

from __future__ import annotations

import enum
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import attrs


class RunStatus(enum.Enum):
    """How a backend server reports the end of a start."""

    OK = "ok"
    FAILED = "failed"
    STOPPED = "stopped"
    CANCELLED = "cancelled"
    RUNNING = "running"
    UNKNOWN = "unknown"


@attrs.frozen
class Start:
    """One task as sent to a backend server. `deadline_ms` is the time left at sending."""

    start_id: str
    kind: str
    payload: Any
    deadline_ms: int


@attrs.frozen
class StartResult:
    """What a backend server says about one start. `run_s` is its run time there."""

    start_id: str
    status: RunStatus
    value: Any = None
    error: str = ""
    run_s: float = 0.0


@attrs.frozen
class BackendAddress:
    """Where one incarnation of a backend server is reached."""

    backend_id: str
    incarnation: int
    address: str
    connections: int


class NotSentError(Exception):
    """Nothing of the request was written, or it was refused unread; no task started.

    `refused` is True if the backend server received and refused the request.
    """

    def __init__(self, message: str = "", *, refused: bool = False) -> None:
        super().__init__(message)
        self.refused = refused


class ResponseLostError(Exception):
    """The request may have been received, and its results will not arrive on this connection."""


# Sends starts in one exchange and yields results as they arrive. Raises
# NotSentError before the first result, or ResponseLostError at any time.
SendToBackend = Callable[[BackendAddress, list[Start]], AsyncIterator[StartResult]]

# Asks for the result of one start over a new connection; the status is
# RUNNING or UNKNOWN if there is no result. Raises ResponseLostError if the
# backend server cannot be asked.
FetchResult = Callable[[BackendAddress, str], Awaitable[StartResult]]

# Cancels several starts with one message; errors are counted by the callee.
CancelOnBackend = Callable[[BackendAddress, list[str]], Awaitable[None]]
