"""Order in which waiting jobs get resources, under overload and bursts of one kind of jobs.

Jobs that have started go first, because their finished tasks are wasted if the
rest does not follow. Next are jobs that can still be in time, those within the
fair share of their route before the others, then late ones. Among jobs in time
the one with the least slack goes first, so that a long job with much slack does
not delay short ones. A lower priority of its queue (a larger number) counts as
additional slack, so that urgent jobs go first without starving the others. Late
jobs go in the order in which their callers sent them.

Run times scatter. The objective of a job follows its real run time, its deadline
does not, so the slack to the deadline is counted with a margin. Without it the
longest jobs of callers that wait little longer than these run would wait until any
error of the estimate makes them miss the deadline.
"""

from __future__ import annotations

from apricotpoint._pool.decisions.placement import SAFE_MARGIN
from apricotpoint._pool.runs.job import Job

# Slack that one step of priority counts as. Larger steps serve more short jobs, but too few
# large and long ones.
PRIORITY_SLACK_S = 0.1


def slack_s(job: Job, now: float, fastest: float) -> float:
    """Return the seconds for which a job can wait and still be in time at speed `fastest`."""
    return job.objective_at - now - job.longest_task_s / fastest


def order_key(job: Job, now: float, fastest: float) -> tuple[int, float]:
    """Return the sort key of a job with waiting tasks; the smallest key gets resources first."""
    slack = slack_s(job, now, fastest)
    safe_slack = job.deadline_at - now - SAFE_MARGIN * job.longest_task_s / fastest
    urgency = min(slack, safe_slack) + PRIORITY_SLACK_S * job.request.priority
    if job.started:
        return (0, urgency)
    if slack >= 0:
        return (2 if job.over_share else 1, urgency)
    return (3, job.sent_at)
