"""Replays load on a scheduler over stand-in backend servers and counts what callers get."""

from __future__ import annotations

import math
import random
from collections.abc import Callable

import anyio
import attrs
from pool_rig import FakeBackend, Rig, make_job, pool, run

from apricotpoint._core.codes import ResultCode
from apricotpoint._wire.pool import Room


@attrs.frozen
class Kind:
    """A kind of job: jobs a second at load 1, tasks, median work, and value in time."""

    name: str
    per_s: float
    tasks: int
    work_s: float
    value: float
    priority: int


# The mix of the deployments: many short, some middle and few long jobs of 14 cores a
# task; each kind has about a third of the value.
MIX = (
    Kind("short", 5.75, 8, 0.06, 0.0291, 0),
    Kind("long", 1.04, 4, 0.9, 0.16, 2),
    Kind("middle", 16.7, 2, 0.2, 0.01, 1),
)
BASE_LATENCY_S, STRETCH, DEADLINE_S = 0.06, 1.6, 1.5
# The sheets give the time that a worker takes for a second of work: 0.55 or 1.2.
FAST, SLOW = 1 / 0.55, 1 / 1.2
# An answer up to this multiple of the objective is late and earns a fifth.
LATE_FACTOR, LATE_SHARE = 3.0, 0.2


@attrs.define
class Tally:
    """What became of the jobs of one kind."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    earned: float = 0.0
    owed: float = 0.0


def make_backends(count: int = 8) -> list[FakeBackend]:
    """Return workers like those of the deployments: a quarter fast, a third larger."""
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
    trouble: Callable[[float, list[FakeBackend]], None] | None = None,
    mix: tuple[Kind, ...] = MIX,
) -> dict[str, Tally]:
    """Offer the mix at `load` times the base rate and return the tallies by kind.

    `trouble` is called every 0.1 s with the time and the workers.
    """
    tally_by_kind = {kind.name: Tally() for kind in mix}
    fleet = backends or make_backends()

    async def test() -> None:
        async with pool(*fleet) as rig, anyio.create_task_group() as group:
            for kind in mix:
                group.start_soon(_offer, rig, kind, load, seconds, seed, tally_by_kind[kind.name])
            if trouble is not None:
                group.start_soon(_make_trouble, trouble, fleet, seconds)

    run(test)
    return tally_by_kind


def earned_share(tally_by_kind: dict[str, Tally]) -> float:
    """Return the share of the value owed that was earned."""
    owed = sum(tally.owed for tally in tally_by_kind.values())
    return sum(tally.earned for tally in tally_by_kind.values()) / owed


def complete_share(tally_by_kind: dict[str, Tally]) -> float:
    """Return the share of jobs that were answered as complete."""
    asked = sum(tally.asked for tally in tally_by_kind.values())
    return sum(tally.in_time + tally.late for tally in tally_by_kind.values()) / asked


async def _make_trouble(
    trouble: Callable[[float, list[FakeBackend]], None], backends: list[FakeBackend], seconds: float
) -> None:
    began_at = anyio.current_time()
    while (passed_s := anyio.current_time() - began_at) < seconds:
        trouble(passed_s, backends)
        await anyio.sleep(0.1)


async def _offer(
    rig: Rig, kind: Kind, load: float, seconds: float, seed: int, tally: Tally
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
            group.start_soon(_submit, rig, kind, number, random.Random(source.random()), tally)


async def _submit(rig: Rig, kind: Kind, number: int, source: random.Random, tally: Tally) -> None:
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
    )
    for backend in rig.backend_by_id.values():
        for index, task_s in enumerate(works_s):
            backend.work_s_by_task[f"{request.job_id}.0.0.{index}"] = task_s
            backend.cpu_by_task[f"{request.job_id}.0.0.{index}"] = request.room.cpu
    began_at = anyio.current_time()
    tally.asked += 1
    share = 0.3 + 0.7 * sum(works_s) / (kind.tasks * kind.work_s)
    value = kind.value * min(share, 4.0)
    tally.owed += value
    if rig.scheduler.refusal(request) is not None:
        tally.refused += 1
        return
    job = rig.scheduler.submit(request, "")
    await job.answered.wait()
    assert job.answer is not None
    took_s = anyio.current_time() - began_at
    objective_s = BASE_LATENCY_S + STRETCH * max(works_s)
    if job.answer.code == ResultCode.COMPLETE and took_s <= objective_s:
        tally.in_time += 1
        tally.earned += value
    elif job.answer.code == ResultCode.COMPLETE:
        tally.late += 1
        tally.earned += value * LATE_SHARE * (took_s <= LATE_FACTOR * objective_s)
    elif 2000 <= job.answer.code < 3000:
        tally.refused += 1
    else:
        tally.failed += 1
