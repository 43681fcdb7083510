"""Order in which jobs get room.

Answers the load pattern of steady overload and of bursts of one kind: what
can still be in time goes first, the job with the least slack before others, so
that a long job with much slack does not delay short ones. Jobs that have begun
go before those that have not, because their finished tasks are wasted if the
rest does not follow.
"""

from __future__ import annotations

from apricotpoint._pool.job import Job


def slack_s(job: Job, now: float, fastest: float) -> float:
    """Return how long the job can wait for room on the fastest backend server and be in time."""
    return job.objective_at - now - job.longest_s / fastest


def order_key(job: Job, now: float, fastest: float) -> tuple[int, float]:
    """Return the sort key of a job with waiting tasks; the smallest goes first."""
    if job.started:
        return (0, job.deadline_at)
    slack = slack_s(job, now, fastest)
    if slack >= 0:
        return (1, slack)
    return (2, job.sent_at)
