"""Runs a scenario and computes its figures."""

from __future__ import annotations

import statistics
from collections import Counter
from collections.abc import Callable, Sequence
from functools import partial

import anyio
import attrs

from apricotpoint._bench.figure import Figure, make_figure
from apricotpoint._bench.ideal import IdealBackend, ideal_responses_s
from apricotpoint._bench.record import JobRecord
from apricotpoint._bench.scenario import BURST_S, FAULT_AT_S, NOISY_TEAM, Scenario
from apricotpoint._bench.simulation import CALLER_LATENCY_S, LOCAL_LATENCY_S, Simulation
from apricotpoint._bench.trace import TracedJob
from apricotpoint._bench.virtualtime import run_virtual
from apricotpoint._core.codes import Meaning, ResultCode
from apricotpoint._settings.deployment import DeploymentSettings

_AddFigure = Callable[..., Figure]

# Time for announcements before the trace starts.
_SETTLE_S = 3.0
# The run ends this long after the end of the trace, even if answers are missing.
_FINISH_TIMEOUT_S = 180.0
# An answer may arrive this long after the deadline.
_ANSWER_GRACE_S = 0.05
# Response times must have recovered this long after a fault.
_RECOVERY_S = 5.0

_IDEAL_RATIO_TARGETS = {"steady-50": 1.10, "steady-80": 1.25}
_LOST_TASKS_TARGETS = {"one-failing": 20, "four-failing": 80}
_TWO_CHOICES_TARGETS = {"response_mean": 0.85, "response_p99": 0.70}
_GOODPUT_TARGET = 0.9
_NOISY_TEAM_RATIO_TARGET = 1.1
# Counters of messages that the receiver discarded or that had no effect.
_WASTED_COUNTER_PREFIXES = (
    "holder.wasted.",
    "outcomes.unmatched",
    "holder.announcements.other_holder",
    "holder.announcements.old",
    "holder.announcements.draining",
)


def run_scenario(
    deployment: DeploymentSettings, scenario: Scenario, *, policy: str, seed: int
) -> list[Figure]:
    """Run one scenario with one policy on virtual time and return its figures.

    Runs with equal arguments return equal figures.
    """
    trace = scenario.trace(deployment, seed=seed)
    simulation = _run_trace(deployment, scenario, policy, seed, trace)
    add = partial(make_figure, deployment.name, scenario.name, policy)
    figures = _response_figures(deployment, scenario, trace, simulation, add)
    figures += _message_figures(scenario, simulation, add)
    figures += _guarantee_figures(simulation, add)
    figures += _fault_figures(scenario, simulation, add)
    if scenario.noisy_share:
        other_team = [job for job in trace if job.team != NOISY_TEAM]
        without_noise = _run_trace(deployment, scenario, policy, seed, other_team)
        figures += _noisy_team_figures(simulation, without_noise, add)
    return figures


def two_choices_comparison(figures: Sequence[Figure]) -> list[Figure]:
    """Return the ratios of `predicted` to `two_choices` at 80% load, if both were measured."""
    value = {
        (item.deployment, item.policy, item.metric): item.value
        for item in figures
        if item.scenario == "steady-80"
    }
    compared = []
    for (deployment, policy, metric), policy_value in value.items():
        two_choices_value = value.get((deployment, "two_choices", metric))
        if policy == "predicted" and two_choices_value and metric in _TWO_CHOICES_TARGETS:
            name = f"{metric}_to_two_choices"
            target = _TWO_CHOICES_TARGETS[metric]
            args = (
                deployment,
                "steady-80",
                policy,
                name,
                policy_value / two_choices_value,
                "ratio",
            )
            compared.append(make_figure(*args, target=target))
    return compared


def _run_trace(
    deployment: DeploymentSettings,
    scenario: Scenario,
    policy: str,
    seed: int,
    trace: list[TracedJob],
) -> Simulation:
    return run_virtual(partial(_run, deployment, scenario, policy, seed, trace), seed=seed)


async def _run(
    deployment: DeploymentSettings,
    scenario: Scenario,
    policy: str,
    seed: int,
    trace: list[TracedJob],
) -> Simulation:
    simulation = scenario.simulation(deployment, policy=policy, seed=seed)
    async with anyio.create_task_group() as group:
        group.start_soon(_inject_faults_after_settling, scenario, simulation)
        await simulation.run(
            trace, settle_s=_SETTLE_S, limit_s=scenario.seconds + _FINISH_TIMEOUT_S
        )
        group.cancel_scope.cancel()
    return simulation


async def _inject_faults_after_settling(scenario: Scenario, simulation: Simulation) -> None:
    await anyio.sleep(_SETTLE_S)
    await scenario.inject_faults(simulation)


def _response_figures(
    deployment: DeploymentSettings,
    scenario: Scenario,
    trace: list[TracedJob],
    simulation: Simulation,
    add: _AddFigure,
) -> list[Figure]:
    workers = [
        IdealBackend(speed=speed, slots=deployment.workers.slots)
        for speed in deployment.workers.speeds()
    ]
    round_trip_s = 2 * (CALLER_LATENCY_S + LOCAL_LATENCY_S)
    # The ideal schedule leaves out the jobs that were refused or lost.
    complete = [record for record in simulation.records if record.complete]
    complete.sort(key=lambda record: record.job.at_s)
    jobs = [record.job for record in complete]
    responses = [record.response_s for record in complete] or [float("inf")]
    ideal_of_complete = ideal_responses_s(jobs, workers, round_trip_s=round_trip_s) or [1.0]
    mean, ideal_mean = statistics.fmean(responses), statistics.fmean(ideal_of_complete)
    p99, ideal_p99 = _quantile(responses, 0.99), _quantile(ideal_of_complete, 0.99)
    p99_target = 2.0 if scenario.name == "steady-80" else None
    return [
        add("complete_share", len(complete) / len(trace), "ratio"),
        add("response_mean", mean, "s"),
        add("response_p50", _quantile(responses, 0.5), "s"),
        add("response_p99", p99, "s"),
        add("ideal_mean", ideal_mean, "s"),
        add("ideal_p99", ideal_p99, "s"),
        add(
            "ideal_ratio_mean",
            mean / ideal_mean,
            "ratio",
            target=_IDEAL_RATIO_TARGETS.get(scenario.name),
        ),
        add("ideal_ratio_p99", p99 / ideal_p99, "ratio", target=p99_target),
    ]


def _message_figures(scenario: Scenario, simulation: Simulation, add: _AddFigure) -> list[Figure]:
    tasks = sum(len(record.job.tasks) for record in simulation.records)
    own_target = 0.5 if scenario.name == "steady-80" else None
    wasted = sum(simulation.counter_total(prefix) for prefix in _WASTED_COUNTER_PREFIXES)
    figures = [
        add(
            "own_messages_per_task",
            simulation.own_messages() / tasks,
            "messages",
            target=own_target,
        ),
        add(
            "wasted_messages_per_task",
            wasted / tasks,
            "messages",
            target=0.01 if scenario.steady else 0.05,
        ),
    ]
    figures += [
        add(f"own_messages.{name}", count / tasks, "messages")
        for name, count in sorted(simulation.network.count_by_type.items())
    ]
    return figures


def _guarantee_figures(simulation: Simulation, add: _AddFigure) -> list[Figure]:
    starts: dict[str, int] = {}
    for backend in simulation.backend_by_id.values():
        for task_id, count in backend.count_by_task.items():
            starts[task_id] = starts.get(task_id, 0) + count
    started_jobs = {task_id.split(".")[0] for task_id in starts}
    false_refusals = sum(
        1
        for record in simulation.records
        if record.answer is not None
        and ResultCode(record.answer.code).meaning is Meaning.NOT_RUN
        and str(record.number) in started_jobs
    )
    late = sum(
        1
        for record in simulation.records
        if record.answer is not None and record.response_s > record.deadline_s + _ANSWER_GRACE_S
    )
    over_slots = sum(
        1 for backend in simulation.backend_by_id.values() if backend.peak_running > backend.slots
    )
    return [
        add("started_twice", sum(1 for n in starts.values() if n > 1), "tasks", target=0),
        add(
            "partial_answers",
            sum(1 for record in simulation.records if not record.whole)
            + simulation.conflicting_answers,
            "answers",
            target=0,
        ),
        add("false_refusals", false_refusals, "answers", target=0),
        add("late_answers", late, "answers", target=0),
        add("silent_callers", _unanswered_callers(simulation), "callers", target=0),
        add("over_announced_slots", over_slots, "workers", target=0),
    ]


def _unanswered_callers(simulation: Simulation) -> int:
    """Return the number of callers without an answer, except those of killed entry processes."""
    return sum(1 for record in simulation.records if record.answer is None and not record.lost)


def _fault_figures(scenario: Scenario, simulation: Simulation, add: _AddFigure) -> list[Figure]:
    figures = []
    if scenario.name in _LOST_TASKS_TARGETS:
        lost = sum(backend.failed_starts for backend in simulation.backend_by_id.values())
        figures.append(
            add("tasks_lost_to_failing", lost, "tasks", target=_LOST_TASKS_TARGETS[scenario.name])
        )
    if scenario.name in ("one-failing", "four-failing", "two-slow", "burst"):
        after_s = BURST_S if scenario.burst else 0.0
        before = _mean_response_between(simulation.records, 0.0, FAULT_AT_S)
        after = _mean_response_between(
            simulation.records, FAULT_AT_S + after_s + _RECOVERY_S, scenario.seconds
        )
        figures.append(add("recovered_mean_ratio", after / before, "ratio", target=1.1))
    if scenario.name == "rolling-restart":
        failed = sum(1 for record in simulation.records if not record.complete)
        figures.append(add("failed_requests", failed, "requests", target=0))
    if scenario.burst:
        figures.append(_goodput_figure(simulation, add))
    codes = Counter(
        record.answer.code for record in simulation.records if record.answer is not None
    )
    figures += [add(f"answers.{code}", count, "answers") for code, count in sorted(codes.items())]
    return figures


def _goodput_figure(simulation: Simulation, add: _AddFigure) -> Figure:
    """Return the share of the capacity that ran tasks of completed jobs during the burst."""
    start_s = simulation.started_at + FAULT_AT_S
    end_s = start_s + BURST_S
    complete = {str(record.number) for record in simulation.records if record.complete}
    useful_s = sum(
        max(0.0, min(run.ended_at, end_s) - max(run.began_at, start_s)) * run.speed
        for backend in simulation.backend_by_id.values()
        for run in backend.runs
        if run.job in complete
    )
    capacity = sum(backend.speed * backend.slots for backend in simulation.backend_by_id.values())
    share = useful_s / (capacity * BURST_S)
    # A target is an upper bound, so it is compared with the missing share.
    missing = add("goodput_missing", 1 - share, "ratio", target=1 - _GOODPUT_TARGET)
    return attrs.evolve(missing, metric="goodput", value=round(share, 5), target=_GOODPUT_TARGET)


def _noisy_team_figures(
    simulation: Simulation, without_noise: Simulation, add: _AddFigure
) -> list[Figure]:
    """Compare the team within its quota with a run that has no noisy team."""
    other_team = [record for record in simulation.records if record.job.team != NOISY_TEAM]
    mean, mean_without_noise = _mean_response(other_team), _mean_response(without_noise.records)
    refused = sum(1 for record in other_team if not record.complete)
    return [
        add("quiet_team_mean", mean, "s"),
        add("quiet_team_mean_alone", mean_without_noise, "s"),
        add(
            "quiet_team_ratio", mean / mean_without_noise, "ratio", target=_NOISY_TEAM_RATIO_TARGET
        ),
        add("quiet_team_failed", refused, "requests", target=0),
    ]


def _mean_response_between(records: list[JobRecord], start_s: float, end_s: float) -> float:
    return _mean_response([record for record in records if start_s <= record.job.at_s < end_s])


def _mean_response(records: list[JobRecord]) -> float:
    responses = [record.response_s for record in records if record.complete]
    return statistics.fmean(responses) if responses else float("inf")


def _quantile(values: list[float], fraction: float) -> float:
    return sorted(values)[min(int(len(values) * fraction), len(values) - 1)]
