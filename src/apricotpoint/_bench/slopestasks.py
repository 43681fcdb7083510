"""Costs of placement, binding, exchanges with backend servers and the queue."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import anyio
import attrs

from apricotpoint._bench.slopesfakes import (
    ENDLESS_PAYLOAD,
    INCARNATION,
    SERVICE,
    SLOTS_PER_BACKEND,
    MeasuredEntry,
    backend_load,
    make_entry_id,
)
from apricotpoint._bench.slopesfit import (
    ManualTimers,
    Series,
    min_cpu_us_async,
    min_cpu_us_prepared,
    min_memory_bytes,
    run_async,
    select_sizes,
)
from apricotpoint._bench.virtualtime import run_virtual
from apricotpoint._core.timers import TimerService
from apricotpoint._dispatch.queue import Batch, FairQueue, HeldTask
from apricotpoint._jobs.placement import (
    BackendSlots,
    HolderView,
    PendingTask,
    place_by_predicted_finish,
)
from apricotpoint._link.transport import Sender
from apricotpoint._wire.tasks import (
    BatchResult,
    BatchTask,
    RunBatch,
    TaskSpec,
)

JOB_SIZES = (1, 10, 110)


def measure_placement(*, smallest: bool) -> None:
    """Measure the placement of a job against lease holders, their backend servers and tasks."""
    holders = Series("placement.per_task_of_110", "lease holders", "us")
    for count in select_sizes((6, 18, 54, 162), smallest=smallest):
        holders.add(count, _placement_cpu_us(holders=count, backends_per_holder=45, tasks=110))
    holders.fit()
    backends_per_holder = Series(
        "placement.per_task_of_110", "backend servers of each of 6 holders", "us"
    )
    for count in select_sizes((4, 12, 45, 180), smallest=smallest):
        backends_per_holder.add(
            count, _placement_cpu_us(holders=6, backends_per_holder=count, tasks=110)
        )
    backends_per_holder.fit()
    tasks = Series("placement.per_job", "tasks of the job", "us")
    for count in select_sizes(JOB_SIZES, smallest=smallest):
        tasks.add(count, _placement_cpu_us(holders=6, backends_per_holder=4, tasks=count) * count)
    tasks.fit()


def _placement_cpu_us(*, holders: int, backends_per_holder: int, tasks: int) -> float:
    """Return the CPU time in microseconds to place one task of a job."""
    random = Random(1)
    pending_tasks = [
        PendingTask(index, TaskSpec("hem"), random.uniform(0.05, 1.0)) for index in range(tasks)
    ]

    def prepare() -> Callable[[], object]:
        holders_with_free_slots = [
            HolderView(
                entry_id=make_entry_id(number),
                incarnation=INCARNATION,
                local=number == 0,
                backends=[
                    BackendSlots.from_load(backend_load(index))
                    for index in range(backends_per_holder)
                ],
            )
            for number in range(holders)
        ]
        return lambda: place_by_predicted_finish(pending_tasks, holders_with_free_slots)

    return min_cpu_us_prepared(prepare, calls=max(2, 100 // tasks), units=tasks)


def measure_binding(*, smallest: bool) -> None:
    """Measure the CPU time of a batch at its lease holder, from its arrival to its result."""
    run_async(lambda: _measure_binding(smallest=smallest))


async def _measure_binding(*, smallest: bool) -> None:
    per_backend = Series("binding.per_task_of_10", "backend servers held", "us")
    for held in select_sizes((4, 12, 45, 180), smallest=smallest):
        per_backend.add(held, await _binding_cpu_us(held=held, tasks=10))
    per_backend.fit()
    single = Series("binding.single_task", "backend servers held", "us")
    for held in select_sizes((4, 12, 45, 180), smallest=smallest):
        single.add(held, await _binding_cpu_us(held=held, tasks=1))
    single.fit()
    per_batch = Series("binding.per_batch_at_45_backends", "tasks of the batch", "us")
    for tasks in select_sizes(JOB_SIZES, smallest=smallest):
        per_batch.add(tasks, await _binding_cpu_us(held=45, tasks=tasks) * tasks)
    per_batch.fit()


async def _binding_cpu_us(*, held: int, tasks: int) -> float:
    """Return the CPU time in microseconds per task while 3 of 4 slots are busy."""
    batches = max(4, 200 // tasks)
    async with MeasuredEntry(ManualTimers(), backends=held) as entry:
        sender = Sender(make_entry_id(1), INCARNATION)
        numbers = iter(range(1, 1 << 30))
        answered = anyio.Event()
        remaining = 0

        def reply(result: BatchResult) -> None:
            nonlocal remaining
            remaining -= len(result.outcomes)
            if remaining <= 0:
                answered.set()

        def run(count: int, payload: object) -> None:
            entry.holder.run(sender, make_batch(next(numbers), count, payload), reply)

        # Makes slots busy on every backend server. With equal speeds the default
        # policy would fill one backend server after another.
        entry.set_policy("round_robin")
        for _ in range(held * SLOTS_PER_BACKEND * 3 // 4):
            run(1, ENDLESS_PAYLOAD)
        await anyio.sleep(0.02)
        entry.set_policy("predicted")

        async def action() -> None:
            nonlocal remaining, answered
            for _ in range(batches):
                remaining, answered = tasks, anyio.Event()
                run(tasks, None)
                await answered.wait()

        return await min_cpu_us_async(action, units=batches * tasks)


def measure_exchanges(*, smallest: bool) -> None:
    """Measure the tasks per HTTP exchange at 80% load and a mean run time of 150 ms.

    It runs on virtual time.
    """
    seconds = 0.2 if smallest else 1.5
    sizes = Series("exchange.tasks_at_45_backends", "tasks of the batch", "tasks")
    for tasks in select_sizes((1, 4, 18, 110), smallest=smallest):
        sizes.add(tasks, _tasks_per_exchange(45, tasks, seconds))
    sizes.fit()
    backends = Series("exchange.tasks_of_batches_of_10", "backend servers held", "tasks")
    for held in select_sizes((4, 12, 45), smallest=smallest):
        backends.add(held, _tasks_per_exchange(held, 10, seconds))
    backends.fit()


def _tasks_per_exchange(held: int, tasks: int, seconds: float) -> float:
    async def serve() -> float:
        random = Random(1)
        async with TimerService() as timers, MeasuredEntry(timers, backends=held) as entry:
            sender = Sender(make_entry_id(1), INCARNATION)
            batches_per_s = 0.8 * held * SLOTS_PER_BACKEND / (0.15 * tasks)
            # Exchanges count only after the first 0.4 s, in which the slots fill up.
            measured_from = timers.now() + 0.4
            end_at = measured_from + seconds
            announce_at = timers.now()
            number = 0
            while timers.now() < end_at:
                if timers.now() >= announce_at:
                    entry.announce(entry.announcements())
                    announce_at += 0.5
                if timers.now() < measured_from:
                    entry.starts = entry.exchanges = 0
                number += 1
                run_times_s = [random.uniform(0.05, 0.25) for _ in range(tasks)]
                entry.holder.run(sender, make_timed_batch(number, run_times_s), ignore_result)
                await anyio.sleep(random.expovariate(batches_per_s))
            return entry.starts / entry.exchanges

    return run_virtual(serve, seed=1)


def make_timed_batch(number: int, run_times_s: list[float]) -> RunBatch:
    """Return a batch of tasks that run for exactly their estimated times."""
    items = [
        BatchTask(f"{number}.{index}", TaskSpec("hem", run_s), run_s, index)
        for index, run_s in enumerate(run_times_s)
    ]
    return attrs.evolve(make_batch(number, 0, None), tasks=items)


def make_batch(number: int, count: int, payload: object) -> RunBatch:
    """Return a batch of `count` tasks with one payload and an estimated run time of 0.1 s."""
    return RunBatch(
        batch_id=number,
        service=SERVICE,
        team="team-001",
        deadline_left_s=60.0,
        tasks=[
            BatchTask(f"{INCARNATION:x}.{number}.{index}.1", TaskSpec("hem", payload), 0.1, index)
            for index in range(count)
        ],
    )


def measure_queue(*, smallest: bool) -> None:
    """Measure the fair queue: CPU time against teams and memory against queued tasks."""
    series = Series("fair_queue.add_and_take_task", "teams", "us")
    memory = Series("fair_queue.memory", "queued single tasks", "B")
    for teams in select_sizes((1, 26, 260, 1000), smallest=smallest):

        def prepare(teams: int = teams) -> Callable[[], object]:
            batches = _batches(2000, teams)
            return lambda: _add_and_take(batches)

        series.add(teams, min_cpu_us_prepared(prepare, calls=1, units=2000))
    for tasks in select_sizes((500, 2000, 8000), smallest=smallest):

        def build(tasks: int = tasks) -> FairQueue:
            queue = FairQueue(lambda team: 1.0)
            for batch in _batches(tasks, 260):
                queue.add(batch, batch.tasks)
            return queue

        memory.add(tasks, min_memory_bytes(build))
    series.fit()
    memory.fit()


def _batches(tasks: int, teams: int) -> list[Batch]:
    batches = []
    for number in range(tasks):
        request = make_batch(number, 1, {"length_mm": number})
        batch = Batch(
            coordinator=Sender(make_entry_id(1), INCARNATION),
            batch_id=number,
            service=SERVICE,
            team=f"team-{number % teams:03}",
            deadline_at=1e9,
            single=True,
            reply=ignore_result,
            remaining=1,
        )
        batch.tasks = [HeldTask(batch, task) for task in request.tasks]
        batches.append(batch)
    return batches


def ignore_result(result: BatchResult) -> None:
    """Drop the result of a batch that nobody waits for."""


def _add_and_take(batches: list[Batch]) -> None:
    queue = FairQueue(lambda team: 1.0)
    for batch in batches:
        queue.add(batch, batch.tasks)
    while queue.take() is not None:
        pass
