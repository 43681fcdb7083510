"""Ideal response times of a trace, as the reference for measured times."""

from __future__ import annotations

import heapq
from collections.abc import Sequence

import attrs

from apricotpoint._bench.trace import TracedJob


@attrs.frozen
class IdealBackend:
    """Speed and slots of a backend server; a task takes its run time divided by `speed`."""

    speed: float
    slots: int


def ideal_responses_s(
    jobs: Sequence[TracedJob], workers: Sequence[IdealBackend], *, round_trip_s: float
) -> list[float]:
    """Return the response time of each job under a scheduler with perfect knowledge.

    Jobs are served by the backend servers `workers` in the order of arrival, with
    true run times and speeds and without message delays. The tasks of a job are
    placed longest first, each on the backend server where it ends first. A second
    schedule puts each task that would end before its job does on the slowest backend
    server that does not delay the job. The schedule with the lower mean is the ideal.
    `round_trip_s`, the network time from the caller to a backend server and back, is
    added to each response time.
    """
    schedules = [_schedule(jobs, workers, use_slack=use_slack) for use_slack in (False, True)]
    ideal = min(schedules, key=sum)
    return [response_s + round_trip_s for response_s in ideal]


def _schedule(
    jobs: Sequence[TracedJob], workers: Sequence[IdealBackend], *, use_slack: bool
) -> list[float]:
    free_at_by_backend = [[0.0] * backend.slots for backend in workers]
    responses = []
    for job in jobs:
        job_end_s = job.at_s
        for run_s in sorted((task.run_s for task in job.tasks), reverse=True):
            ends = [
                (max(job.at_s, free_at[0]) + run_s / backend.speed, index)
                for index, (free_at, backend) in enumerate(
                    zip(free_at_by_backend, workers, strict=True)
                )
            ]
            end_s, index = min(ends)
            if use_slack and end_s < job_end_s:
                not_delaying_job = [item for item in ends if item[0] <= job_end_s]
                end_s, index = min(not_delaying_job, key=lambda item: workers[item[1]].speed)
            heapq.heapreplace(free_at_by_backend[index], end_s)
            job_end_s = max(job_end_s, end_s)
        responses.append(job_end_s - job.at_s)
    return responses
