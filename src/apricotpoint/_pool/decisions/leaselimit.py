"""The latest end of a lease: before callers send the jobs of its runs again.

The process that renews a lease may be killed or stopped right after that, and then nobody stops
the runs. So no lease is renewed beyond the time at which they have to be over.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

from apricotpoint._pool.runs.heldbackend import CLOCK_RATE, LEASE_END_MARGIN_S, LEASE_S, HeldBackend
from apricotpoint._pool.runs.job import Job, Origin, Run

# Callers send a job again this long after an answer that leaves its outcome open, or after the
# process that took it has ended.
RESEND_S = 1.3
# For the difference between the ways of an answer and of the request that repeats the job.
ANSWER_MARGIN_S = 0.02
# A lease is measured by the clock of the backend server and takes a moment to end.
LIMIT_S = RESEND_S - ANSWER_MARGIN_S - LEASE_S * (1 / CLOCK_RATE - 1) - LEASE_END_MARGIN_S


def lease_limit_at(runs: Iterable[Run], *, origin_alive_at: Callable[[Origin], float]) -> float:
    """Return the monotonic time up to which the lease for these runs may last.

    `origin_alive_at` returns the last time at which an origin is known to have been alive, minus
    infinity if it has ended. Infinity if no run limits the lease.
    """
    limit_at = math.inf
    for run in runs:
        job = run.task.job
        if job.given_up_at is not None:
            limit_at = min(limit_at, job.given_up_at + LIMIT_S)
        elif job.origin is not None:
            limit_at = min(limit_at, origin_alive_at(job.origin) + LIMIT_S)
    return limit_at


def allows_start(
    held: HeldBackend, job: Job, *, origin_alive_at: Callable[[Origin], float]
) -> bool:
    """Return whether a run of a job would be over in time under the lease that lasts already.

    A lease covers all runs on a backend server and is never shortened, so that of earlier runs may
    be too long for a job whose origin has not been heard from for some tenths of a second.
    """
    if job.origin is None:
        return True
    return held.lease_expires_at <= origin_alive_at(job.origin) + RESEND_S - ANSWER_MARGIN_S
