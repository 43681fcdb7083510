"""The ideal response time of a trace, to which measured times are compared."""

from __future__ import annotations

import heapq
from collections.abc import Sequence

import attrs

from apricotpoint._bench.trace import TracedJob


@attrs.frozen
class IdealBackend:
    """A worker as the ideal scheduler sees it."""

    speed: float
    slots: int


def ideal_responses_s(
    jobs: Sequence[TracedJob], workers: Sequence[IdealBackend], *, round_trip_s: float
) -> list[float]:
    """Return the response time of each job under a scheduler with perfect knowledge.

    Jobs are served in the order of arrival, with true run times and speeds and
    no delay for messages. The tasks of a job are placed longest first, each
    where it ends first. A second schedule puts tasks that do not decide the
    end of their job on the slowest worker that is early enough. The schedule
    with the lower mean is the ideal. `round_trip_s` is the bare network time
    from the caller to a backend server and back.
    """
    schedules = [_schedule(jobs, workers, use_slack=use_slack) for use_slack in (False, True)]
    best = min(schedules, key=sum)
    return [response_s + round_trip_s for response_s in best]


def _schedule(
    jobs: Sequence[TracedJob], workers: Sequence[IdealBackend], *, use_slack: bool
) -> list[float]:
    free_at_by_worker = [[0.0] * worker.slots for worker in workers]
    responses = []
    for job in jobs:
        job_end_s = job.at_s
        for run_s in sorted((task.run_s for task in job.tasks), reverse=True):
            ends = [
                (max(job.at_s, free_at[0]) + run_s / worker.speed, index)
                for index, (free_at, worker) in enumerate(
                    zip(free_at_by_worker, workers, strict=True)
                )
            ]
            end_s, index = min(ends)
            if use_slack and end_s < job_end_s:
                early_enough = [item for item in ends if item[0] <= job_end_s]
                end_s, index = min(early_enough, key=lambda item: workers[item[1]].speed)
            heapq.heapreplace(free_at_by_worker[index], end_s)
            job_end_s = max(job_end_s, end_s)
        responses.append(job_end_s - job.at_s)
    return responses
