"""Order in which jobs get room.

Answers the load pattern of steady overload and of bursts of one kind. What can
still be in time goes before what is late. Among that, the job with the least
slack goes first, so that a long job with much slack does not delay short ones;
a lower priority of the queue counts like more slack, so that urgent jobs go
first without shutting others out. Jobs that have begun go before those that
have not, because their finished tasks are wasted if the rest does not follow.
"""

from __future__ import annotations

from apricotpoint._pool.job import Job

# One step of priority counts like this much slack, in seconds. Larger steps serve more
# short jobs, and too few of the large long ones.
PRIORITY_SLACK_S = 0.1


def slack_s(job: Job, now: float, fastest: float) -> float:
    """Return how long the job can wait for room on a fast backend server and be in time."""
    return job.objective_at - now - job.longest_task_s / fastest


def order_key(job: Job, now: float, fastest: float) -> tuple[int, float]:
    """Return the sort key of a job with waiting tasks; the smallest goes first."""
    slack = slack_s(job, now, fastest)
    urgency = slack + PRIORITY_SLACK_S * job.request.priority
    if job.started:
        return (0, urgency)
    if slack >= 0:
        return (1, urgency)
    return (2, job.sent_at)
