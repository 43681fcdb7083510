"""Explains what a holder would do with a job now, without a change of state."""

from __future__ import annotations

from collections.abc import Callable

from apricotpoint._core.codes import ResultCode
from apricotpoint._core.errors import ApricotError
from apricotpoint._pool.decisions import dispatch, joborder, locations, placement
from apricotpoint._pool.decisions.verdicts import Verdict
from apricotpoint._pool.runs.heldbackend import HeldBackend
from apricotpoint._pool.runs.job import Job, Task
from apricotpoint._pool.scheduler import Scheduler
from apricotpoint._wire.explain import BackendRow, HolderExplanation
from apricotpoint._wire.pool import PoolAnswer, PoolJob

# An explanation costs as much as a dispatch, which holders under overload need for their jobs.
MAX_OPEN_JOBS = 200
MIN_PERIOD_S = 0.1
# Starts of other jobs looked at until that of the explained one. Those that could start have done
# so, as a dispatch follows each change.
MAX_OTHER_STARTS = 20
MAX_ROWS = 64
_LATER = ("chosen", "possible", "location", "speed", "room")


class ExplanationLimit:
    """Bounds how often a process explains jobs."""

    def __init__(self) -> None:
        self._last_at = float("-inf")

    def check(self, open_jobs: int, now: float) -> None:
        """Raise `ApricotError` with code 2104 under overload, or after another explanation."""
        if open_jobs > MAX_OPEN_JOBS:
            raise ApricotError(
                ResultCode.OVERLOADED,
                f"{open_jobs} jobs are open; above {MAX_OPEN_JOBS} no job is explained",
                remedy="ask another entry process, or later",
            )
        if now - self._last_at < MIN_PERIOD_S:
            raise ApricotError(
                ResultCode.OVERLOADED,
                f"another job was explained less than {MIN_PERIOD_S:g} s ago",
                remedy="ask again",
            )
        self._last_at = now


def explain(
    scheduler: Scheduler,
    request: PoolJob,
    now: float,
    *,
    refusal: PoolAnswer | None,
    forward_to: str,
) -> HolderExplanation:
    """Return what this process would do with a job that arrives now.

    `refusal` is that of its admission, `forward_to` the holder that would be named with it.
    """
    estimates = scheduler.estimates
    job = scheduler.draft(request)
    open_jobs = scheduler.unanswered_jobs()
    wait_s, run_s = estimates.forecast(job, open_jobs, now)
    fastest = estimates.attainable_speed(now)
    key = joborder.order_key(job, now, fastest)
    waiting = [other for other in open_jobs if other.waiting_tasks()]
    chosen = "" if refusal is not None else _first_start(scheduler, job, waiting, now)
    home = job.preferred_location or _group_location(scheduler, job, now)
    rows = [
        _make_row(
            held, job, now, chosen=chosen, home=home, allows_start=scheduler.leases.allows_start
        )
        for held in scheduler.held_by_id.values()
    ]
    rows.sort(
        key=lambda row: (_LATER.index(row.verdict) if row.verdict in _LATER else 9, row.run_s)
    )
    return HolderExplanation(
        code=0 if refusal is None else refusal.code,
        reason="" if refusal is None else refusal.reason,
        retry_after_s=0.0 if refusal is None else refusal.retry_after_s,
        forward_to=forward_to,
        elapsed_s=request.elapsed_s,
        wait_s=wait_s,
        run_s=run_s,
        objective_s=job.objective_s,
        deadline_s=request.deadline_s,
        jobs_ahead=sum(joborder.order_key(other, now, fastest) <= key for other in waiting),
        over_share=job.over_share,
        chosen=chosen,
        backends=rows[:MAX_ROWS],
        omitted=max(len(rows) - MAX_ROWS, 0),
    )


def _group_location(scheduler: Scheduler, job: Job, now: float) -> str:
    if job.request.locality is None:
        return ""
    return locations.best_location(job, scheduler.held_by_id.values(), now)


def _first_start(scheduler: Scheduler, job: Job, waiting: list[Job], now: float) -> str:
    """Return the backend server that a dispatch chooses for the first task, empty if it waits."""
    fastest = scheduler.estimates.attainable_speed(now)
    eligible = [held for held in scheduler.held_by_id.values() if held.is_eligible(now)]
    if not eligible or not scheduler.may_start():
        return ""

    def may_start(task: Task) -> bool:
        return scheduler.crashes.verdict(task.name) is Verdict.CLEAR

    starts = dispatch.select_starts(
        [*waiting, job],
        eligible,
        now,
        fastest=fastest,
        may_start=may_start,
        allows_start=scheduler.leases.allows_start,
        preferences=locations.LocalityPass(eligible, now, fastest=fastest),
    )
    for count, (task, held) in enumerate(starts):
        if task.job is job:
            return held.backend_id
        if count >= MAX_OTHER_STARTS:
            break
    return ""


def _make_row(
    held: HeldBackend,
    job: Job,
    now: float,
    *,
    chosen: str,
    home: str,
    allows_start: Callable[[HeldBackend, Job], bool],
) -> BackendRow:
    request = job.request
    free = held.free(now)
    locality = request.locality
    is_remote = locality is not None and bool(home) and held.location != home
    factor = locality.remote_factor if locality is not None and is_remote else 1.0
    speed = held.expected_speed(now) / factor
    has_room = held.has_free_resources(request, now)
    next_starts = [now] if has_room else locations.next_starts(held, request.room, now)
    if held.backend_id == chosen:
        verdict = "chosen"
    else:
        verdict = _exclusion(held, job, now, allows_start=allows_start)
        if verdict == "possible" and not placement.may_meet_deadline(job, speed, now):
            verdict = "speed"
        elif verdict == "possible" and is_remote:
            verdict = "location"
    return BackendRow(
        backend_id=held.backend_id,
        location=held.location,
        free_cpu=free.cpu,
        free_memory_mb=free.memory_mb,
        speed=round(held.expected_speed(now), 3),
        run_s=job.longest_task_s / speed,
        room_in_s=next_starts[0] - now if next_starts else None,
        verdict=verdict,
    )


def _exclusion(
    held: HeldBackend, job: Job, now: float, *, allows_start: Callable[[HeldBackend, Job], bool]
) -> str:
    """Return why no task of the job may start on a backend server now, "possible" if one may."""
    request = job.request
    reasons = (
        ("service", held.announcement.service != request.service),
        ("size", not held.announcement.room.covers(request.room)),
        ("leaving", held.announcement.leaving),
        ("unanswered", not held.is_responsive),
        ("health", not held.health.allows_start(now, len(held.run_by_key))),
        ("trial", held.trial is not None),
        ("evacuated", held.is_evacuated),
        ("hand-over", held.handing_over),
        ("lease", not held.is_eligible(now) or not allows_start(held, job)),
        ("room", not held.has_free_resources(request, now)),
    )
    return next((name for name, excludes in reasons if excludes), "possible")
