"""Choice of the waiting tasks that start now, and of their backend servers."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence

from apricotpoint._pool.decisions import joborder, placement
from apricotpoint._pool.decisions.admission import IDLE_OPTIMISTIC_SHARE, OPTIMISTIC_SHARE
from apricotpoint._pool.decisions.locations import MAX_WAITING_TASKS, LocalityPass
from apricotpoint._pool.runs.heldbackend import HeldBackend
from apricotpoint._pool.runs.job import Job, Task

# Number of jobs whose next task no backend server can start now after which the search ends. More
# than one, as smaller jobs behind one that waits for large resources may still start.
MAX_BLOCKED = 10


def select_starts(
    waiting: list[Job],
    eligible: Sequence[HeldBackend],
    now: float,
    *,
    fastest: float,
    may_start: Callable[[Task], bool],
    allows_start: Callable[[HeldBackend, Job], bool],
    preferences: LocalityPass,
) -> Iterator[tuple[Task, HeldBackend]]:
    """Yield each task to start now with its backend server.

    The caller has to start a task, and thereby reserve its resources, before it asks for the next
    one. `waiting` is sorted in place. `eligible` are the backend servers that may start tasks,
    `fastest` is the speed that a task may expect to get by waiting. Tasks for which `may_start` is
    false are left out, and backend servers for which `allows_start` is false for a job.
    `preferences` chooses for jobs with a locality.
    """
    waiting.sort(key=lambda job: joborder.order_key(job, now, fastest))
    blocked = 0
    # A job that competes with none is worth a try even if it will probably miss its deadline.
    share = OPTIMISTIC_SHARE if len(waiting) > 1 else IDLE_OPTIMISTIC_SHARE
    # What an evacuated domain starts in its grace period is what nothing else can start now.
    is_evacuating = any(held.is_evacuated for held in eligible)
    most_free_cpu = _most_free_cpu(eligible, now)
    for job in waiting:
        request = job.request
        # Under overload most waiting jobs find no room; this shows it without a search.
        has_room = request.room.cpu <= most_free_cpu
        fitting = [
            held
            for held in (eligible if has_room else ())
            if held.can_start(request, now)
            and (job.started or not held.is_reserved)
            and allows_start(held, job)
        ]
        if is_evacuating:
            fitting = [held for held in fitting if not held.is_evacuated] or fitting
        left_waiting = started = 0
        for task in filter(may_start, job.waiting_tasks()):
            if not fitting:
                blocked += 1
                preferences.reserve(job)
                break
            if request.locality is None:
                held = placement.choose(task, fitting, now, fastest=fastest, optimistic_share=share)
            else:
                held = preferences.choose(task, fitting)
            if held is None:
                left_waiting += 1
                # The tasks of a job are equal, but those after one that waits for the next slot
                # in its location may have to wait longer, so that a start elsewhere pays.
                if request.locality is None or left_waiting >= MAX_WAITING_TASKS:
                    break
                continue
            started += 1
            yield task, held
            if not held.can_start(request, now):
                fitting.remove(held)
        if blocked >= MAX_BLOCKED:
            return
        if started:
            most_free_cpu = _most_free_cpu(eligible, now)


def _most_free_cpu(backends: Sequence[HeldBackend], now: float) -> int:
    return max((held.free(now).cpu for held in backends), default=0)
