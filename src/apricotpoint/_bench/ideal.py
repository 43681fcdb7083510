"""The ideal response time of a trace, to which measured times are compared."""

from __future__ import annotations

import heapq
from collections.abc import Sequence

import attrs

from apricotpoint._bench.trace import TracedJob


@attrs.frozen
class IdealWorker:
    """A worker as the ideal scheduler sees it."""

    speed: float
    slots: int


def ideal_responses_s(
    jobs: Sequence[TracedJob], workers: Sequence[IdealWorker], *, round_trip_s: float
) -> list[float]:
    """Return the response time of each job under a scheduler with perfect knowledge.

    Jobs are served in the order of arrival. The tasks of a job are placed
    longest first, each on the slot where it ends first, with true run times
    and true speeds and no delay for messages. `round_trip_s` is the bare
    network time from the caller to a backend server and back.
    """
    free_at_by_worker = [[0.0] * worker.slots for worker in workers]
    responses = []
    for job in jobs:
        last_end_s = job.at_s
        for run_s in sorted((task.run_s for task in job.tasks), reverse=True):
            end_s = _place(run_s, job.at_s, free_at_by_worker, workers)
            last_end_s = max(last_end_s, end_s)
        responses.append(last_end_s - job.at_s + round_trip_s)
    return responses


def _place(
    run_s: float,
    at_s: float,
    free_at_by_worker: list[list[float]],
    workers: Sequence[IdealWorker],
) -> float:
    ends = [
        (max(at_s, free_at[0]) + run_s / worker.speed, index)
        for index, (free_at, worker) in enumerate(zip(free_at_by_worker, workers, strict=True))
    ]
    end_s, index = min(ends)
    heapq.heapreplace(free_at_by_worker[index], end_s)
    return end_s
