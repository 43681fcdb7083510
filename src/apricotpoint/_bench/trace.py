"""Arrival traces: reproducible sequences of jobs with known true run times."""

from __future__ import annotations

import math
import random

import attrs

from apricotpoint._settings.deployment import DeploymentSettings
from apricotpoint._settings.kind import TaskKindSettings
from apricotpoint._wire.tasks import TaskSpec

# Share of jobs with several tasks that have at least `_SMALL_JOB_TASKS` tasks.
_LARGE_JOB_SHARE = 0.25
_SMALL_JOB_TASKS = 20


@attrs.frozen
class TracedTask:
    """A task with its true run time in seconds on a backend server of speed 1."""

    spec: TaskSpec
    run_s: float


@attrs.frozen
class TracedJob:
    """A job that arrives `at_s` seconds after the start of the trace."""

    at_s: float
    team: str
    tasks: list[TracedTask]


def make_trace(
    deployment: DeploymentSettings,
    *,
    tasks_per_s: float,
    seconds: float,
    seed: int,
    team: str | None = None,
    declared_error: float = 1.0,
) -> list[TracedJob]:
    """Return Poisson arrivals of jobs with `tasks_per_s` tasks per second on average.

    `declared_error` is the largest factor by which declared run times are too
    long or too short. The same seed and arguments give the same trace.
    """
    generator = random.Random(seed)
    jobs_per_s = tasks_per_s / mean_job_tasks(deployment)
    team_name = team or deployment.teams[0]
    jobs = []
    at_s = generator.expovariate(jobs_per_s)
    while at_s < seconds:
        count = _draw_task_count(deployment, generator)
        tasks = [_draw_task(deployment, generator, declared_error) for _ in range(count)]
        jobs.append(TracedJob(at_s=at_s, team=team_name, tasks=tasks))
        at_s += generator.expovariate(jobs_per_s)
    return jobs


def mean_run_s(deployment: DeploymentSettings) -> float:
    """Return the mean run time of a task in seconds at speed 1."""
    total_share = sum(kind.share for kind in deployment.kinds)
    weighted_sum_s = sum(kind.share * _mean_of_kind(kind) for kind in deployment.kinds)
    return weighted_sum_s / total_share


def mean_job_tasks(deployment: DeploymentSettings) -> float:
    """Return the mean number of tasks of a job."""
    if deployment.max_tasks == 1:
        return 1.0
    small_limit = min(_SMALL_JOB_TASKS, deployment.max_tasks)
    small_mean = (2 + small_limit) / 2
    large_mean = (small_limit + deployment.max_tasks) / 2
    multi_task_mean = (1 - _LARGE_JOB_SHARE) * small_mean + _LARGE_JOB_SHARE * large_mean
    return deployment.single_share + (1 - deployment.single_share) * multi_task_mean


def capacity_tasks_per_s(deployment: DeploymentSettings) -> float:
    """Return the number of tasks per second that all slots together can run."""
    speed = sum(deployment.workers.speeds()) * deployment.workers.slots
    return speed / mean_run_s(deployment)


def _draw_task_count(deployment: DeploymentSettings, generator: random.Random) -> int:
    if deployment.max_tasks == 1 or generator.random() < deployment.single_share:
        return 1
    small_limit = min(_SMALL_JOB_TASKS, deployment.max_tasks)
    if generator.random() < _LARGE_JOB_SHARE:
        return generator.randint(small_limit, deployment.max_tasks)
    return generator.randint(2, small_limit)


def _draw_task(
    deployment: DeploymentSettings, generator: random.Random, declared_error: float
) -> TracedTask:
    kinds = deployment.kinds
    kind = generator.choices(kinds, weights=[item.share for item in kinds])[0]
    run_s = generator.lognormvariate(math.log(kind.median_s), kind.sigma)
    exponent = generator.uniform(-1, 1) if declared_error != 1 else 0
    spec = TaskSpec(
        kind=kind.name,
        payload={"run_s": run_s},
        idempotent=kind.idempotent,
        declared_s=run_s * declared_error**exponent,
    )
    return TracedTask(spec=spec, run_s=run_s)


def _mean_of_kind(kind: TaskKindSettings) -> float:
    return kind.median_s * math.exp(kind.sigma**2 / 2)
