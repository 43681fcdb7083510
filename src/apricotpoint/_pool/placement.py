"""Choice of a backend server for a task.

Answers the load pattern of backend servers of unequal speed: a task goes to
the slowest one on which its job is still in time, so that the fast ones are
free for long tasks, which cannot be in time elsewhere. A job that can no
longer be in time anywhere takes the fastest one.
"""

from __future__ import annotations

from collections.abc import Iterable

from apricotpoint._pool.admission import OPTIMISTIC_SHARE
from apricotpoint._pool.held import HeldBackend
from apricotpoint._pool.job import Job, Task

# Single jobs take up to twice their estimate, so a slower backend server is preferred
# only if the job is in time there by this factor.
SLOW_MARGIN = 2.0


def choose(task: Task, usable: Iterable[HeldBackend], now: float) -> HeldBackend | None:
    """Return where to start the task now, None to let it wait.

    `usable` may be used at all; room is checked here.
    """
    job = task.job
    fitting = [held for held in usable if held.serves(job.request) and held.has_room(job.request)]
    if len(fitting) > 1:
        fitting = [held for held in fitting if held.backend_id not in task.avoid] or fitting
    if not fitting:
        return None
    left_s = job.objective_at - now
    in_time = [held for held in fitting if job.longest_s * SLOW_MARGIN / held.speed.value <= left_s]
    if in_time:
        return min(in_time, key=lambda held: (held.speed.value, held.free().cpu))
    fastest = max(fitting, key=lambda held: (held.speed.value, -held.free().cpu))
    return fastest if _worthwhile(job, fastest, now) else None


def _worthwhile(job: Job, held: HeldBackend, now: float) -> bool:
    """Return whether a start that is late can still be answered before the deadline."""
    run_s = OPTIMISTIC_SHARE * job.longest_s / held.speed.value
    return now + run_s <= job.deadline_at
