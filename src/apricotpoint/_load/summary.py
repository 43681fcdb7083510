"""Summary figures of a load run."""

from __future__ import annotations

import statistics
from collections import Counter
from collections.abc import Sequence

import attrs

from apricotpoint._bench.ideal import IdealBackend, ideal_responses_s
from apricotpoint._bench.trace import TracedJob
from apricotpoint._core.counters import LatencyHistogram
from apricotpoint._load.outcome import Outcome


@attrs.frozen
class Summary:
    """Measured figures of a run.

    `ideal_ratio_mean` is the mean response time of the complete jobs divided by that of
    an ideal scheduler. `not_whole` counts jobs with missing or foreign results.
    """

    jobs: int
    tasks: int
    complete: int
    failed: int
    response_p50_ms: float
    response_p99_ms: float
    ideal_ratio_mean: float
    wasted_messages_per_task: float
    not_whole: int
    repeated_tasks: int
    jobs_by_code: dict[str, int]


def summarise(
    trace: Sequence[TracedJob],
    outcomes: Sequence[Outcome],
    workers: Sequence[IdealBackend],
    *,
    wasted_messages: int,
    repeated_tasks: int,
) -> Summary:
    """Return the figures of a finished run.

    The ideal has no network time: runs are made on loopback, where it is near zero.
    """
    ideal = ideal_responses_s(trace, workers, round_trip_s=0.0)
    complete = [outcome for outcome in outcomes if outcome.complete]
    responses = LatencyHistogram()
    for outcome in complete:
        responses.record(outcome.response_s)
    tasks = sum(len(outcome.job.tasks) for outcome in outcomes)
    ratio = 0.0
    if complete:
        mean = statistics.fmean(outcome.response_s for outcome in complete)
        ratio = mean / statistics.fmean(ideal[outcome.number] for outcome in complete)
    return Summary(
        jobs=len(outcomes),
        tasks=tasks,
        complete=len(complete),
        failed=len(outcomes) - len(complete),
        response_p50_ms=round(responses.percentile_ms(50), 2),
        response_p99_ms=round(responses.percentile_ms(99), 2),
        ideal_ratio_mean=round(ratio, 3),
        wasted_messages_per_task=round(wasted_messages / max(tasks, 1), 5),
        not_whole=sum(1 for outcome in outcomes if not outcome.whole),
        repeated_tasks=repeated_tasks,
        jobs_by_code=dict(Counter(str(outcome.answer.code) for outcome in outcomes)),
    )


def merge(summaries: Sequence[Summary]) -> dict[str, float]:
    """Return the figures of several runs together.

    The percentiles and `ideal_ratio_mean` are the maximum over the runs.
    """
    tasks = sum(item.tasks for item in summaries)
    wasted = sum(item.wasted_messages_per_task * item.tasks for item in summaries)
    return {
        "jobs": sum(item.jobs for item in summaries),
        "tasks": tasks,
        "complete": sum(item.complete for item in summaries),
        "failed": sum(item.failed for item in summaries),
        "response_p50_ms": max(item.response_p50_ms for item in summaries),
        "response_p99_ms": max(item.response_p99_ms for item in summaries),
        "ideal_ratio_mean": max(item.ideal_ratio_mean for item in summaries),
        "wasted_messages_per_task": round(wasted / max(tasks, 1), 5),
    }
