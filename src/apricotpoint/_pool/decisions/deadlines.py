"""The deadline of a job: how long its caller waits, or else the time-out of its route.

The load pattern behind it: jobs that run about as long as the time-out of their route, or longer,
while their callers wait several times that long. Ended at the time-out, the longest jobs of a
route are stopped shortly before their end, on idle backend servers as well.
"""

from __future__ import annotations

# As in the product's own interface for callers.
MAX_DEADLINE_S = 600.0


def job_deadline_s(caller_s: float | None, timeout_s: float) -> float:
    """Return after how many seconds a job ends, counted from when its caller sent it.

    `caller_s` is how long its caller waits. Only if it is None, as the caller does not say so, the
    time-out of its route `timeout_s` applies.
    """
    return min(timeout_s if caller_s is None else caller_s, MAX_DEADLINE_S)
