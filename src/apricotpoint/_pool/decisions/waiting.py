"""Review of jobs that wait for resources: which are refused before their deadline.

The load pattern behind it is lasting overload, as at the peak of a load that swings. Jobs in time
go first, so a job that has become late gets resources only when the others leave some. If work
arrives about as fast as it is done, that moment does not come: the job would be held until its
deadline, and its caller would have waited in vain.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import attrs

from apricotpoint._pool.decisions import joborder
from apricotpoint._pool.decisions.forecast import SlotForecast
from apricotpoint._pool.runs.job import Job

# A late answer is of some use up to this multiple of the objective.
USEFUL_OBJECTIVES = 3.0
# A job waits at least this long, if its caller does: by then another process has taken over backend
# servers whose holder was lost.
TAKEOVER_WAIT_S = 1.5
# Part of the time to its deadline after which a caller that waited in vain loses as much as an
# answer in time would have been worth.
COSTLY_WAIT_SHARE = 0.5
# A late job whose caller has waited that long is kept only if it starts within this time. An
# answer in time is worth five times a late one, so the start has to be all but certain.
CERTAIN_START_S = 0.05
# From this ratio of arriving work to throughput on, late jobs are not counted on to get any. Work
# is estimated to about 10%.
FULL_RATIO = 0.9
# Below this ratio little can go ahead of a late job, so its predicted start is reliable, and it
# takes little from others: it is served as long as it meets its deadline.
CONTENDED_RATIO = 0.6
# Tasks that are simulated in one review; jobs further back are taken to start no earlier than the
# last one of these. It bounds the processor time of a review.
MAX_SIMULATED_TASKS = 200


@attrs.frozen
class Refusal:
    """A waiting job that is refused, with the monotonic time of its predicted end."""

    job: Job
    ends_at: float


def useful_until(job: Job) -> float:
    """Return the monotonic time in seconds after which an answer is of no use to the caller."""
    return min(job.sent_at + USEFUL_OBJECTIVES * job.objective_s, job.deadline_at)


def starts_too_late(job: Job, now: float, *, fastest: float) -> bool:
    """Return whether a start now is too late for a job that has waited, whatever is known.

    It bounds how long jobs are held whose callers wait far longer than an answer is of use, while
    nothing is known of the backend servers. `fastest` is the speed that its tasks may expect.
    """
    useful_start_at = useful_until(job) - job.longest_task_s / fastest
    return now > max(useful_start_at, job.sent_at + TAKEOVER_WAIT_S)


def select_refused(
    queue: Iterable[Job],
    slots: SlotForecast,
    now: float,
    *,
    fastest: float,
    arrival_ratio: float,
) -> Iterator[Refusal]:
    """Yield the jobs that will not be served in useful time.

    `queue` has the jobs with waiting tasks in the order in which they get resources; those that
    have started are only simulated. `arrival_ratio` is the recent rate of arriving work as a share
    of the throughput: work that arrives while a late job waits goes ahead of it.

    Without slots nothing is known of the backend servers, and no job is refused.
    """
    if not slots.has_slots():
        return
    simulated, ends_at = 0, now
    is_contended = arrival_ratio >= CONTENDED_RATIO
    for job in queue:
        if simulated < MAX_SIMULATED_TASKS:
            tasks = len(job.waiting_tasks())
            simulated += tasks
            ends_at = slots.predict_end(job, ())
        if job.started:
            continue
        run_s = job.longest_task_s / fastest
        wait_s = max(ends_at - now - run_s, 0.0)
        if joborder.slack_s(job, now, fastest) < 0:
            wait_s = _late_wait_s(wait_s, arrival_ratio)
            is_costly = now - job.sent_at > COSTLY_WAIT_SHARE * job.request.deadline_s
            if is_costly and is_contended and wait_s > CERTAIN_START_S:
                yield Refusal(job, now + wait_s + run_s)
                continue
        latest_at = useful_until(job) if is_contended else job.deadline_at
        if now + wait_s + run_s > latest_at:
            yield Refusal(job, now + wait_s + run_s)


def _late_wait_s(wait_s: float, arrival_ratio: float) -> float:
    """Return the wait of a late job, including for the work that arrives during it."""
    if not wait_s:
        return 0.0
    return wait_s / (1 - arrival_ratio) if arrival_ratio < FULL_RATIO else float("inf")
