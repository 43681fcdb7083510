"""Forecast of when the tasks of a job can start and end.

Answers the load pattern of jobs of very unequal length: what matters for a
short job is when the next places become free, not how much work is running in
all, because a few long tasks would make every short one look late.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from apricotpoint._pool.held import HeldBackend
from apricotpoint._pool.job import Job, Run

# A run that takes longer than expected goes on for about this share of its time so far.
OVERDUE_SHARE = 0.2


@attrs.define(eq=False)
class Place:
    """Room for one task on a backend server, free from `free_at` on."""

    free_at: float
    speed: float


def remaining_s(run: Run, now: float) -> float:
    """Return how long a run is expected to go on."""
    total_s = run.predicted_s() or run.expected_s
    passed_s = now - run.sent_at
    return max(total_s - passed_s, OVERDUE_SHARE * passed_s if passed_s > total_s else 0.0)


def places(backends: Iterable[HeldBackend], usual_cpu: int, now: float) -> list[Place]:
    """Return the places of these backend servers for tasks of usual size."""
    found: list[Place] = []
    for held in backends:
        speed = held.speed.value
        found += [Place(now, speed) for _ in range(max(held.free().cpu, 0) // max(usual_cpu, 1))]
        found += [Place(now + remaining_s(run, now), speed) for run in held.run_by_key.values()]
    return found


def finish_at(job: Job, ahead: Iterable[Job], free: list[Place]) -> float:
    """Return when a job ends if the jobs ahead of it take the places first.

    Each task goes where it ends first. The places are used up.
    """
    if not free:
        return float("inf")
    for other in ahead:
        for _ in other.waiting():
            _occupy(free, other.task_s)
    return max(_occupy(free, job.longest_s) for _ in job.waiting())


def _occupy(free: list[Place], work_s: float) -> float:
    place = min(free, key=lambda item: item.free_at + work_s / item.speed)
    place.free_at += work_s / place.speed
    return place.free_at
