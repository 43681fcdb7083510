"""The deadline of a job, from what its caller names and the time-out of its route."""

from __future__ import annotations

# As in the product's own interface for callers.
MAX_DEADLINE_S = 600.0


def job_deadline_s(caller_s: float | None, timeout_s: float) -> float:
    """Return after how many seconds a job ends, counted from when its caller sent it.

    `caller_s` is how long its caller waits, None if it does not say so, and `timeout_s` the
    time-out of its route.
    """
    return timeout_s if caller_s is None else min(caller_s, timeout_s)
