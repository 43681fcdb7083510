"""Text about a job for the log: who set its deadline, and what it declares."""

from __future__ import annotations

from apricotpoint._wire.pool import PoolJob


def describe_job(request: PoolJob) -> str:
    """Return the deadline of a job with its sources, and its size as declared by its caller.

    A deadline below both is that of a process that stops.
    """
    return (
        f"deadline {request.deadline_s:.3f} s (caller {_seconds(request.caller_deadline_s)}, "
        f"route {_seconds(request.timeout_s)}), {request.count} tasks of {request.room.cpu} "
        f"thousandths of a core and {request.estimate_s:.3f} s declared"
    )


def _seconds(value: float | None) -> str:
    return "none" if value is None else f"{value:.6g} s"
