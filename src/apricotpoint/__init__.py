"""Dispatcher for sub-second tasks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from apricotpoint._core.codes import ResultCode
from apricotpoint._wire.jobs import Answer, JobRequest
from apricotpoint._wire.tasks import TaskSpec

if TYPE_CHECKING:
    from apricotpoint._client import Client

__all__ = ["Answer", "Client", "JobRequest", "ResultCode", "TaskSpec"]


def __getattr__(name: str) -> object:
    # Importing httpx takes a quarter of the start-up time of a server program, so
    # `Client`, which needs it, is imported on first use.
    if name != "Client":
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    from apricotpoint._client import Client  # noqa: PLC0415

    return Client
