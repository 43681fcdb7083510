"""Replays load on a scheduler with fake backend servers and counts the answers."""

from __future__ import annotations

import math
import random
from collections.abc import Callable

import anyio
import attrs
from pool_harness import FakeBackend, SchedulerHarness, make_job, run_on_virtual_time, run_scheduler

from apricotpoint._core.codes import ResultCode
from apricotpoint._wire.pool import Locality, Room


@attrs.frozen
class JobKind:
    """A kind of job: jobs per second at load 1, tasks, median work, and value if in time."""

    name: str
    per_s: float
    tasks: int
    work_s: float
    value: float
    priority: int
    make_locality: Callable[[random.Random], Locality | None] = lambda _: None


# The mix of the deployments: many short, some middle and few long jobs with 14 cores a task. Each
# kind has about a third of the value.
MIX = (
    JobKind("short", 5.75, 8, 0.06, 0.0291, 0),
    JobKind("long", 1.04, 4, 0.9, 0.16, 2),
    JobKind("middle", 16.7, 2, 0.2, 0.01, 1),
)
BASE_LATENCY_S, STRETCH, DEADLINE_S = 0.06, 1.6, 1.5
# The data sheets give the time that a backend server takes for a second of work: 0.55 or 1.2.
FAST, SLOW = 1 / 0.55, 1 / 1.2
# A late answer earns this share of the value, up to this multiple of the objective.
LATE_FACTOR, LATE_SHARE = 3.0, 0.2


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


def make_backends(count: int = 8) -> list[FakeBackend]:
    """Return backend servers like those of the deployments: a quarter fast, a third larger."""
    backends = []
    for number in range(count):
        backend = FakeBackend(speed=FAST if number % 4 == 0 else SLOW)
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
) -> dict[str, JobCounts]:
    """Submit the mix at `load` times the base rate and return the outcomes by kind.

    `inject_faults` is called every 0.1 s with the seconds passed and the backend servers.
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
                    _offer, harness, kind, load, seconds, seed, counts_by_kind[kind.name]
                )
            if inject_faults is not None:
                group.start_soon(_inject_faults, inject_faults, fleet, seconds)

    run_on_virtual_time(test)
    return counts_by_kind


def earned_share(counts_by_kind: dict[str, JobCounts]) -> float:
    """Return the share of the offered value that was earned."""
    offered_value = sum(counts.offered_value for counts in counts_by_kind.values())
    return sum(counts.earned_value for counts in counts_by_kind.values()) / offered_value


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
    seconds: float,
    seed: int,
    counts: JobCounts,
) -> None:
    source = random.Random(f"{seed}{kind.name}")
    until = anyio.current_time() + seconds
    number = 0
    async with anyio.create_task_group() as group:
        while True:
            await anyio.sleep(source.expovariate(kind.per_s * load))
            if anyio.current_time() >= until:
                return
            number += 1
            group.start_soon(_submit, harness, kind, number, random.Random(source.random()), counts)


async def _submit(
    harness: SchedulerHarness, kind: JobKind, number: int, source: random.Random, counts: JobCounts
) -> None:
    count = max(1, round(kind.tasks * math.exp(source.gauss(-0.08, 0.4))))
    work_s = kind.work_s * math.exp(source.gauss(-0.08, 0.4))
    works_s = [work_s * source.uniform(0.85, 1.15) for _ in range(count)]
    cpu = int(14_000 * math.exp(source.gauss(-0.02, 0.2)))
    request = attrs.evolve(
        make_job(
            number + 1_000_000 * kind.tasks,
            kind=kind.name,
            count=count,
            work_s=work_s * math.exp(source.gauss(0, 0.4)),
            deadline_s=DEADLINE_S,
            base_latency_s=BASE_LATENCY_S,
            priority=kind.priority,
        ),
        room=Room(min(cpu, 20_000), 64),
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
    counts.sent_at_by_job[request.job_id] = began_at
    share = 0.3 + 0.7 * sum(works_s) / (kind.tasks * kind.work_s)
    value = kind.value * min(share, 4.0)
    counts.offered_value += value
    if harness.scheduler.refusal(request) is not None:
        counts.refused += 1
        return
    job = harness.scheduler.submit(request)
    await job.answered.wait()
    assert job.answer is not None
    took_s = anyio.current_time() - began_at
    objective_s = BASE_LATENCY_S + STRETCH * max(works_s)
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
