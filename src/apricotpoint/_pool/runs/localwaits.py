"""Counters and log lines of the waits of tasks for the location that their jobs prefer."""

from __future__ import annotations

from collections.abc import Iterable

import logbook

from apricotpoint._core.codes import ResultCode
from apricotpoint._core.counters import Counters
from apricotpoint._pool.runs.job import Job, Run, Task

_log = logbook.Logger("pool")


def record_waits(tasks: Iterable[Task], now: float) -> None:
    """Note since when each task waits for its location; tasks that wait already are unchanged."""
    for task in tasks:
        if task.local_wait_at is None:
            task.local_wait_at = now


def record_start(run: Run, counters: Counters, now: float) -> None:
    """Count the start of a task near its location or elsewhere, and the wait before it.

    Jobs without a locality are ignored. A wait that ends with a start elsewhere did not pay.
    """
    task = run.task
    if task.job.request.locality is None:
        return
    is_near = run.backend.location == task.job.preferred_location != ""
    counters.add("pool.starts_near" if is_near else "pool.starts_elsewhere")
    if task.local_wait_at is None:
        return
    counters.record("pool.location_wait", now - task.local_wait_at)
    if not is_near:
        counters.add("pool.location_waits_lost")
    task.local_wait_at = None
    task.local_waited = True


def record_answer(job: Job, code: int, counters: Counters, now: float) -> None:
    """Log a job that was not served, or was late, after its tasks have waited for a location."""
    waiting = [task for task in job.tasks if task.local_wait_at is not None]
    if waiting:
        counters.add("pool.location_waits_lost", len(waiting))
    is_late = code != ResultCode.COMPLETE or now > job.objective_at
    if not is_late or not (waiting or any(task.local_waited for task in job.tasks)):
        return
    _log.notice(
        "job {} ended with code {} after {:.3f} s, objective {:.3f} s: {} of {} tasks have waited "
        "for location {!r}, of which {} have not started",
        job.request.job_id,
        code,
        now - job.sent_at,
        job.objective_s,
        sum(task.local_waited or task in waiting for task in job.tasks),
        len(job.tasks),
        job.preferred_location,
        len(waiting),
    )
