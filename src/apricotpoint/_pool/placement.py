"""Choice of a backend server for a task.

Answers the load pattern of backend servers of unequal speed: a task goes to
the slowest one on which its job is still in time, so that the fast ones are
free for long tasks, which cannot be in time elsewhere. A task that might miss
its deadline there takes a faster one if there is room. A task that would be
late on all that have room waits for a faster one as long as it can be in time
there.
"""

from __future__ import annotations

from collections.abc import Sequence

from apricotpoint._pool.admission import OPTIMISTIC_SHARE
from apricotpoint._pool.held_backend import HeldBackend
from apricotpoint._pool.job import Job, Run, Task
from apricotpoint._pool.learning import SPEED_CLASS_FACTOR

# Run times scatter around their estimate by a factor of 1.35 (one standard deviation,
# measured on the deployments), so a job has to be before its deadline by this factor.
# Its objective scatters with its run time and needs no margin.
DEADLINE_MARGIN = 1.4
# Two standard deviations: with room on faster backend servers, a job gets one of those.
SAFE_MARGIN = 2.0
# A run that will miss its deadline is moved if it is predicted to end before the deadline
# elsewhere by this factor; the prediction is from its own progress.
MOVE_MARGIN = 1.05
# Time in seconds until a stopped run has made room: the platform allows 0.05 s.
STOP_DELAY_S = 0.06
# A task is not started more often than this to be in time; each start throws work away.
MAX_RUNS_PER_TASK = 3


def choose(
    task: Task, fitting: Sequence[HeldBackend], now: float, *, fastest: float
) -> HeldBackend | None:
    """Return where to start the task now, None to let it wait.

    `fitting` are the backend servers that have room for it, `fastest` is the
    speed that it may find if it waits.
    """
    job = task.job
    candidates = [
        held for held in fitting if held.backend_id not in task.avoided_backends
    ] or fitting
    in_time = [held for held in candidates if _is_in_time(job, held.speed.value, now)]
    safe = [held for held in in_time if _meets_deadline(job, held.speed.value, now, SAFE_MARGIN)]
    if safe:
        return min(safe, key=lambda held: (held.speed.speed_class, held.free().cpu))
    if in_time:
        return max(in_time, key=lambda held: (held.speed.speed_class, -held.free().cpu))
    best = max(candidates, key=lambda held: (held.speed.speed_class, -held.free().cpu))
    if best.speed.value * SPEED_CLASS_FACTOR < fastest and _is_in_time(job, fastest, now):
        return None
    return best if _meets_deadline(job, best.speed.value, now, OPTIMISTIC_SHARE) else None


def _is_in_time(job: Job, speed: float, now: float) -> bool:
    run_s = job.longest_task_s / speed
    in_objective = now + run_s <= job.sent_at + job.objective_s
    return in_objective and _meets_deadline(job, speed, now, DEADLINE_MARGIN)


def _meets_deadline(job: Job, speed: float, now: float, factor: float) -> bool:
    """Return whether the longest task is before the deadline at `factor` times its run time."""
    return now + factor * (job.longest_task_s / speed) <= job.deadline_at


def should_move(run: Run, work_s: float, others: Sequence[HeldBackend], now: float) -> bool:
    """Return whether a run that will miss its deadline should start again elsewhere.

    `others` have room for it; `work_s` is its run time at speed 1.
    """
    if not others or run.task.run_count >= MAX_RUNS_PER_TASK:
        return False
    best = max(held.speed.value for held in others)
    return now + STOP_DELAY_S + work_s * MOVE_MARGIN / best <= run.task.job.deadline_at
