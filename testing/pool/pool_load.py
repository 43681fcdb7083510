"""Replays load on a scheduler with fake backend servers and counts the answers."""

from __future__ import annotations

import math
import random
from collections.abc import Callable

import anyio
import attrs
from pool_harness import FakeBackend, SchedulerHarness, make_job, run_on_virtual_time, run_scheduler

from apricotpoint._core.codes import ResultCode
from apricotpoint._core.counters import Counters
from apricotpoint._pool.decisions.deadlines import job_deadline_s
from apricotpoint._wire.pool import Locality, Room


@attrs.frozen
class JobKind:
    """A kind of job: jobs per second at load 1, tasks, median work, and value if in time.

    A share of `tail_share` of its tasks takes `TAIL_FACTOR` times as long, or with `tail_by_job`
    all tasks of that share of its jobs. `cpu` is the median of a task in thousandths of a core.
    `timeout_s` is the time-out of its route. Callers wait for `patience` times the objective of
    their job beyond that, or name no deadline if it is 0.
    """

    name: str
    per_s: float
    tasks: int
    work_s: float
    value: float
    priority: int
    tail_share: float = 0.0
    cpu: int = 14_000
    max_cpu: int = 20_000
    timeout_s: float = 1.5
    make_locality: Callable[[random.Random], Locality | None] = lambda _: None
    tail_by_job: bool = False
    patience: float = 0.0


# The mix of the deployments: many short, some middle and few long jobs with 14 cores a task. Each
# kind has about a third of the value.
MIX = (
    JobKind("short", 5.75, 8, 0.06, 0.0291, 0),
    JobKind("long", 1.04, 4, 0.9, 0.16, 2),
    JobKind("middle", 16.7, 2, 0.2, 0.01, 1),
)
# The mix of the van routing deployment, at the rates of the whole deployment of 176 backend
# servers, which all have the same speed. Each kind has a third of the value.
VAN_MIX = (
    JobKind("short", 90.7, 8, 0.051, 1 / 90.7, 0, 0.03, 16_000, 31_000, 1.55),
    JobKind("long", 16.5, 4, 0.76, 1 / 16.5, 2, 0.03, 16_000, 31_000, 1.55),
    JobKind("middle", 264.0, 2, 0.17, 1 / 264.0, 1, 0.03, 16_000, 31_000, 1.55),
)
# The same as it was seen in plays of that deployment: the tasks of a job take about the same time,
# also those of the few jobs that take several times as long as others of their kind.
VAN_JOB_TAIL_MIX = tuple(attrs.evolve(kind, tail_by_job=True) for kind in VAN_MIX)
# Callers of the van routing deployment wait for about that long.
VAN_PATIENT_MIX = tuple(attrs.evolve(kind, patience=3.0) for kind in VAN_JOB_TAIL_MIX)
VAN_BACKENDS, VAN_SWING, SWING_PERIOD_S = 176, 0.55, 15.0
TAIL_FACTOR = 7
BASE_LATENCY_S, STRETCH = 0.06, 1.6
# The data sheets give the time that a backend server takes for a second of work: 0.55 or 1.2.
FAST, SLOW = 1 / 0.55, 1 / 1.2
# A late answer earns this share of the value, up to this multiple of the objective.
LATE_FACTOR, LATE_SHARE = 3.0, 0.2
# A job that did not start although it was held for longer than this share of its objective costs
# its caller VAIN_WAIT_SHARE of its value (assumed; the page names no figure), or all of it if it
# was held for longer than half of the time to its deadline.
VAIN_AFTER_SHARE, VAIN_WAIT_SHARE = 0.25, 0.25


@attrs.define
class JobCounts:
    """Outcomes of the jobs of one kind, with the value earned and the value offered."""

    submitted: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    sent_at_by_job: dict[str, float] = attrs.Factory(dict)
    earned_value: float = 0.0
    offered_value: float = 0.0
    vain_waits: int = 0
    vain_value: float = 0.0
    # Size in core-seconds, and whether it was served, of each job that the fastest backend server
    # can end before the deadline.
    served_by_size: list[tuple[float, bool]] = attrs.Factory(list)
    # The same for all jobs.
    any_served_by_size: list[tuple[float, bool]] = attrs.Factory(list)

    def served(self, lower: float = 0.0, upper: float = 1.0, *, of_any: bool = False) -> float:
        """Return the share served of the jobs whose size is between two quantiles.

        Jobs that cannot end before their deadline on any backend server count only with `of_any`.
        """
        rows = sorted(self.any_served_by_size if of_any else self.served_by_size)
        part = rows[int(lower * len(rows)) : int(upper * len(rows))]
        return sum(is_served for _, is_served in part) / max(len(part), 1)


def make_backends(count: int = 8) -> list[FakeBackend]:
    """Return backend servers like those of the deployments: a quarter fast, a third larger."""
    backends = []
    for number in range(count):
        backend = FakeBackend(speed=FAST if number % 4 == 0 else SLOW)
        backend.room = Room(48_000 if number % 3 == 2 else 32_000, 131_072)
        backends.append(backend)
    return backends


def make_van_backends(count: int) -> list[FakeBackend]:
    """Return backend servers of one speed, a third of them 1.5 times as large."""
    backends = []
    for number in range(count):
        backend = FakeBackend(speed=1.0)
        backend.room = Room(48_000 if number % 3 == 2 else 32_000, 131_072)
        backends.append(backend)
    return backends


def replay(
    *,
    load: float,
    seconds: float = 20.0,
    seed: int = 1,
    backends: list[FakeBackend] | None = None,
    inject_faults: Callable[[float, list[FakeBackend]], None] | None = None,
    mix: tuple[JobKind, ...] = MIX,
    swing: float = 0.0,
    counters: list[Counters] | None = None,
) -> dict[str, JobCounts]:
    """Submit the mix at `load` times the base rate and return the outcomes by kind.

    `inject_faults` is called every 0.1 s with the seconds passed and the backend servers. The
    rate swings by the share `swing` in `SWING_PERIOD_S`. The counters of the process are added to
    `counters`.
    """
    counts_by_kind = {kind.name: JobCounts() for kind in mix}
    fleet = backends or make_backends()

    async def test() -> None:
        async with run_scheduler(*fleet) as harness, anyio.create_task_group() as group:
            location_by_job: dict[str, str] = {}
            for backend in fleet:
                backend.location_by_job = location_by_job
            for kind in mix:
                group.start_soon(
                    _offer, harness, kind, load, swing, seconds, seed, counts_by_kind[kind.name]
                )
            if inject_faults is not None:
                group.start_soon(_inject_faults, inject_faults, fleet, seconds)
            if counters is not None:
                counters.append(harness.counters)

    run_on_virtual_time(test)
    return counts_by_kind


def earned_share(counts_by_kind: dict[str, JobCounts]) -> float:
    """Return the share of the offered value that was earned."""
    offered_value = sum(counts.offered_value for counts in counts_by_kind.values())
    return sum(counts.earned_value for counts in counts_by_kind.values()) / offered_value


def credit_share(counts_by_kind: dict[str, JobCounts]) -> float:
    """Return the share of the offered value that was earned, less the cost of waits in vain."""
    offered_value = sum(counts.offered_value for counts in counts_by_kind.values())
    vain_value = sum(counts.vain_value for counts in counts_by_kind.values())
    return earned_share(counts_by_kind) - vain_value / offered_value


def complete_share(counts_by_kind: dict[str, JobCounts]) -> float:
    """Return the share of jobs that were answered as complete, in time or late."""
    submitted = sum(counts.submitted for counts in counts_by_kind.values())
    return sum(counts.in_time + counts.late for counts in counts_by_kind.values()) / submitted


async def _inject_faults(
    inject_faults: Callable[[float, list[FakeBackend]], None],
    backends: list[FakeBackend],
    seconds: float,
) -> None:
    began_at = anyio.current_time()
    while (passed_s := anyio.current_time() - began_at) < seconds:
        inject_faults(passed_s, backends)
        await anyio.sleep(0.1)


async def _offer(
    harness: SchedulerHarness,
    kind: JobKind,
    load: float,
    swing: float,
    seconds: float,
    seed: int,
    counts: JobCounts,
) -> None:
    source = random.Random(f"{seed}{kind.name}")
    began_at = anyio.current_time()
    until = began_at + seconds
    number = 0
    async with anyio.create_task_group() as group:
        while True:
            phase = 2 * math.pi * (anyio.current_time() - began_at) / SWING_PERIOD_S
            await anyio.sleep(source.expovariate(kind.per_s * load * (1 + swing * math.sin(phase))))
            if anyio.current_time() >= until:
                return
            number += 1
            group.start_soon(_submit, harness, kind, number, random.Random(source.random()), counts)


def _draw_works(kind: JobKind, count: int, source: random.Random) -> tuple[float, list[float]]:
    """Return the mean work of the tasks of a job, and that of each, in seconds."""
    work_s = kind.work_s * math.exp(source.gauss(-0.08, 0.4))
    if kind.tail_by_job and source.random() < kind.tail_share:
        work_s *= TAIL_FACTOR
    works_s = [work_s * source.uniform(0.85, 1.15) for _ in range(count)]
    if kind.tail_share and not kind.tail_by_job:
        works_s = [
            task_s * (TAIL_FACTOR if source.random() < kind.tail_share else 1) for task_s in works_s
        ]
    return work_s, works_s


async def _submit(
    harness: SchedulerHarness, kind: JobKind, number: int, source: random.Random, counts: JobCounts
) -> None:
    count = max(1, round(kind.tasks * math.exp(source.gauss(-0.08, 0.4))))
    work_s, works_s = _draw_works(kind, count, source)
    cpu = int(kind.cpu * math.exp(source.gauss(-0.02, 0.2)))
    objective_s = BASE_LATENCY_S + STRETCH * max(works_s)
    waits_s = kind.timeout_s + kind.patience * objective_s
    caller_s = waits_s if kind.patience else None
    request = attrs.evolve(
        make_job(
            number + 1_000_000 * kind.tasks,
            kind=kind.name,
            count=count,
            work_s=work_s * math.exp(source.gauss(0, 0.4)),
            deadline_s=job_deadline_s(caller_s, kind.timeout_s),
            base_latency_s=BASE_LATENCY_S,
            priority=kind.priority,
        ),
        room=Room(min(cpu, kind.max_cpu), 64),
        stretch=STRETCH,
        locality=kind.make_locality(source),
    )
    for backend in harness.backend_by_id.values():
        for index, task_s in enumerate(works_s):
            backend.work_s_by_task[f"{request.job_id}.0.0.{index}"] = task_s
            backend.cpu_by_task[f"{request.job_id}.0.0.{index}"] = request.room.cpu
        if request.locality is not None:
            backend.penalty_by_job[request.job_id] = request.locality.remote_factor
            backend.location_by_job.setdefault(request.job_id, request.locality.location)
    began_at = anyio.current_time()
    counts.submitted += 1
    size = sum(works_s) * cpu
    fastest = max(backend.speed for backend in harness.backend_by_id.values())
    is_possible = max(works_s) / fastest <= waits_s
    counts.sent_at_by_job[request.job_id] = began_at
    share = 0.3 + 0.7 * sum(works_s) / (kind.tasks * kind.work_s)
    value = kind.value * min(share, 4.0)
    counts.offered_value += value
    if harness.scheduler.refusal(request) is not None:
        harness.scheduler.record_refused(request)
        counts.refused += 1
        counts.any_served_by_size.append((size, False))
        if is_possible:
            counts.served_by_size.append((size, False))
        return
    job = harness.scheduler.submit(request)
    await job.answered.wait()
    assert job.answer is not None
    took_s = anyio.current_time() - began_at
    is_served = job.answer.code == ResultCode.COMPLETE
    counts.any_served_by_size.append((size, is_served))
    if is_possible:
        counts.served_by_size.append((size, is_served))
    if not job.started and took_s > VAIN_AFTER_SHARE * objective_s:
        counts.vain_waits += 1
        is_long = took_s > waits_s / 2
        counts.vain_value += value * (1.0 if is_long else VAIN_WAIT_SHARE)
    if job.answer.code == ResultCode.COMPLETE and took_s <= objective_s:
        counts.in_time += 1
        counts.earned_value += value
    elif job.answer.code == ResultCode.COMPLETE:
        counts.late += 1
        counts.earned_value += value * LATE_SHARE * (took_s <= LATE_FACTOR * objective_s)
    elif 2000 <= job.answer.code < 3000:
        counts.refused += 1
    else:
        counts.failed += 1
