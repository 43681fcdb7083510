"""Choice of a backend server for a task.

Backend servers differ in speed: a task goes to the slowest one on which its job
is still in time, so that the fast ones stay free for long tasks, which would be
late elsewhere. A task that might miss its deadline there takes a faster one
that has free resources. A task that would be late on all of those waits for a
faster one as long as it would be in time there.
"""

from __future__ import annotations

from collections.abc import Sequence

from apricotpoint._pool.decisions.admission import OPTIMISTIC_SHARE
from apricotpoint._pool.runs.heldbackend import HeldBackend
from apricotpoint._pool.runs.job import Job, Run, Task
from apricotpoint._pool.runs.learning import SPEED_CLASS_FACTOR

# Run times scatter around their estimate by a factor of 1.35 (one standard deviation on the
# deployments), so a job has to meet its deadline with its run time times this factor. The
# objective is proportional to the run time and needs no margin.
DEADLINE_MARGIN = 1.4
# The same for two standard deviations: a job that does not meet its deadline with this factor
# takes the fastest backend server that has free resources.
SAFE_MARGIN = 2.0
# A run that will miss its deadline is moved if it would meet it elsewhere with its run time times
# this factor. The margin is small because the run time is predicted from its own progress.
MOVE_MARGIN = 1.05
# Time until a stopped run has freed its resources: the platform allows 0.05 s.
STOP_DELAY_S = 0.06
# A task with this many starts is not moved again, as each move discards the work done so far.
MAX_RUNS_PER_TASK = 3


def choose(
    task: Task,
    fitting: Sequence[HeldBackend],
    now: float,
    *,
    fastest: float,
    optimistic_share: float = OPTIMISTIC_SHARE,
) -> HeldBackend | None:
    """Return the backend server on which to start the task now, None to let it wait.

    `fitting` are the backend servers on which it can start now, at least one. `fastest` is the
    speed that it may expect to get by waiting. It does not start if it would miss its deadline even
    with `optimistic_share` of its estimated run time. Times are monotonic seconds.
    """
    job = task.job
    candidates = [
        held for held in fitting if held.backend_id not in task.avoided_backends
    ] or fitting
    candidates = [held for held in candidates if held.health.is_sound] or candidates
    in_time = [held for held in candidates if _is_in_time(job, speed_for(job, held, now), now)]
    safe = [
        held
        for held in in_time
        if _meets_deadline(job, speed_for(job, held, now), now, SAFE_MARGIN)
    ]
    if safe:
        return min(safe, key=lambda held: (held.expected_speed_class(now), held.free(now).cpu))
    if in_time:
        return max(in_time, key=lambda held: (held.expected_speed_class(now), -held.free(now).cpu))
    best = max(candidates, key=lambda held: (held.expected_speed_class(now), -held.free(now).cpu))
    speed = speed_for(job, best, now)
    if speed * SPEED_CLASS_FACTOR < fastest and _is_in_time(job, fastest, now):
        return None
    return best if _meets_deadline(job, speed, now, optimistic_share) else None


def speed_for(job: Job, held: HeldBackend, now: float) -> float:
    """Return the speed of a backend server for a job, lower away from its location."""
    speed = held.expected_speed(now)
    return speed if job.request.locality is None else speed / job.remote_factor(held.location)


def may_meet_deadline(job: Job, speed: float, now: float) -> bool:
    """Return whether a task that starts now meets the deadline with an optimistic run time."""
    return _meets_deadline(job, speed, now, OPTIMISTIC_SHARE)


def _is_in_time(job: Job, speed: float, now: float) -> bool:
    run_s = job.longest_task_s / speed
    in_objective = now + run_s <= job.sent_at + job.objective_s
    return in_objective and _meets_deadline(job, speed, now, DEADLINE_MARGIN)


def _meets_deadline(job: Job, speed: float, now: float, factor: float) -> bool:
    """Return whether the longest task meets the deadline with `factor` times its run time."""
    return now + factor * (job.longest_task_s / speed) <= job.deadline_at


def should_move(run: Run, work_s: float, others: Sequence[HeldBackend], now: float) -> bool:
    """Return whether a run that will miss its deadline should be stopped and started elsewhere.

    `others` are the backend servers on which it can start now; `work_s` is its predicted run time
    in seconds at speed 1.
    """
    if not others or run.task.run_count >= MAX_RUNS_PER_TASK:
        return False
    best = max(speed_for(run.task.job, held, now) for held in others)
    return now + STOP_DELAY_S + work_s * MOVE_MARGIN / best <= run.task.job.deadline_at
