"""Slopes of placement, binding, exchanges and the queue."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import anyio
import attrs

from apricotpoint._bench.slopesfakes import (
    ENDLESS,
    INCARNATION,
    SERVICE,
    SLOTS,
    EntryParts,
    backend_load,
    entry_name,
)
from apricotpoint._bench.slopesfit import (
    Series,
    StillTimers,
    chosen,
    least_bytes,
    least_us_async,
    least_us_fresh,
    run_part,
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
    """Placement of a job against holders, backend servers of each and tasks."""
    holders = Series("placement.per_task_of_110", "lease holders", "us")
    for count in chosen((6, 18, 54, 162), smallest=smallest):
        holders.add(count, _placement_us(holders=count, lanes=45, tasks=110))
    holders.fit()
    lanes = Series("placement.per_task_of_110", "backend servers of each of 6 holders", "us")
    for count in chosen((4, 12, 45, 180), smallest=smallest):
        lanes.add(count, _placement_us(holders=6, lanes=count, tasks=110))
    lanes.fit()
    tasks = Series("placement.per_job", "tasks of the job", "us")
    for count in chosen(JOB_SIZES, smallest=smallest):
        tasks.add(count, _placement_us(holders=6, lanes=4, tasks=count) * count)
    tasks.fit()


def _placement_us(*, holders: int, lanes: int, tasks: int) -> float:
    """Return the CPU time for one task of a job."""
    random = Random(1)
    views = [
        PendingTask(index, TaskSpec("hem"), random.uniform(0.05, 1.0)) for index in range(tasks)
    ]

    def prepare() -> Callable[[], object]:
        free = [
            HolderView(
                entry_id=entry_name(number),
                incarnation=INCARNATION,
                local=number == 0,
                backends=[BackendSlots.from_load(backend_load(index)) for index in range(lanes)],
            )
            for number in range(holders)
        ]
        return lambda: place_by_predicted_finish(views, free)

    return least_us_fresh(prepare, calls=max(2, 100 // tasks), units=tasks)


def measure_binding(*, smallest: bool) -> None:
    """Measure a batch at its lease holder, from arrival to its result."""
    run_part(lambda: _measure_binding(smallest=smallest))


async def _measure_binding(*, smallest: bool) -> None:
    held_series = Series("binding.per_task_of_10", "backend servers held", "us")
    for held in chosen((4, 12, 45, 180), smallest=smallest):
        held_series.add(held, await _binding_us(held=held, tasks=10))
    held_series.fit()
    single = Series("binding.single_task", "backend servers held", "us")
    for held in chosen((4, 12, 45, 180), smallest=smallest):
        single.add(held, await _binding_us(held=held, tasks=1))
    single.fit()
    size_series = Series("binding.per_batch_at_45_backends", "tasks of the batch", "us")
    for tasks in chosen(JOB_SIZES, smallest=smallest):
        size_series.add(tasks, await _binding_us(held=45, tasks=tasks) * tasks)
    size_series.fit()


async def _binding_us(*, held: int, tasks: int) -> float:
    """Return the CPU time for a task, with 3 of 4 slots busy."""
    batches = max(4, 200 // tasks)
    async with EntryParts(StillTimers(), backends=held) as entry:
        sender = Sender(entry_name(1), INCARNATION)
        numbers = iter(range(1, 1 << 30))
        answered = anyio.Event()
        left = 0

        def reply(result: BatchResult) -> None:
            nonlocal left
            left -= len(result.outcomes)
            if left <= 0:
                answered.set()

        def run(count: int, payload: object) -> None:
            entry.holder.run(sender, run_batch(next(numbers), count, payload), reply)

        # Busy slots on every backend server. With equal speeds the default policy
        # would fill one after another.
        entry.use_policy("round_robin")
        for _ in range(held * SLOTS * 3 // 4):
            run(1, ENDLESS)
        await anyio.sleep(0.02)
        entry.use_policy("predicted")

        async def action() -> None:
            nonlocal left, answered
            for _ in range(batches):
                left, answered = tasks, anyio.Event()
                run(tasks, None)
                await answered.wait()

        return await least_us_async(action, units=batches * tasks)


def measure_exchanges(*, smallest: bool) -> None:
    """Tasks per HTTP exchange at 80% load on virtual time; mean run time 150 ms."""
    seconds = 0.2 if smallest else 1.5
    sizes = Series("exchange.tasks_at_45_backends", "tasks of the batch", "tasks")
    for tasks in chosen((1, 4, 18, 110), smallest=smallest):
        sizes.add(tasks, _tasks_per_exchange(45, tasks, seconds))
    sizes.fit()
    backends = Series("exchange.tasks_of_batches_of_10", "backend servers held", "tasks")
    for held in chosen((4, 12, 45), smallest=smallest):
        backends.add(held, _tasks_per_exchange(held, 10, seconds))
    backends.fit()


def _tasks_per_exchange(held: int, tasks: int, seconds: float) -> float:
    async def serve() -> float:
        random = Random(1)
        async with TimerService() as timers, EntryParts(timers, backends=held) as entry:
            sender = Sender(entry_name(1), INCARNATION)
            rate = 0.8 * held * SLOTS / (0.15 * tasks)
            # The slots are filled in the first part, which does not count.
            counts_at = timers.now() + 0.4
            end_at = counts_at + seconds
            announce_at = timers.now()
            number = 0
            while timers.now() < end_at:
                if timers.now() >= announce_at:
                    entry.announce(entry.announcements())
                    announce_at += 0.5
                if timers.now() < counts_at:
                    entry.starts = entry.exchanges = 0
                number += 1
                runs_s = [random.uniform(0.05, 0.25) for _ in range(tasks)]
                entry.holder.run(sender, timed_batch(number, runs_s), ignore_result)
                await anyio.sleep(random.expovariate(rate))
            return entry.starts / entry.exchanges

    return run_virtual(serve, seed=1)


def timed_batch(number: int, runs_s: list[float]) -> RunBatch:
    """Return a batch of tasks with right estimates."""
    items = [
        BatchTask(f"{number}.{index}", TaskSpec("hem", run_s), run_s, index)
        for index, run_s in enumerate(runs_s)
    ]
    return attrs.evolve(run_batch(number, 0, None), tasks=items)


def run_batch(number: int, count: int, payload: object) -> RunBatch:
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
    """Measure the fair queue against the number of teams."""
    series = Series("fair_queue.add_and_take_task", "teams", "us")
    memory = Series("fair_queue.memory", "queued single tasks", "B")
    for teams in chosen((1, 26, 260, 1000), smallest=smallest):

        def prepare(teams: int = teams) -> Callable[[], object]:
            batches = _batches(2000, teams)
            return lambda: _add_and_take(batches)

        series.add(teams, least_us_fresh(prepare, calls=1, units=2000))
    for tasks in chosen((500, 2000, 8000), smallest=smallest):

        def build(tasks: int = tasks) -> FairQueue:
            queue = FairQueue(lambda team: 1.0)
            for batch in _batches(tasks, 260):
                queue.add(batch, batch.tasks)
            return queue

        memory.add(tasks, least_bytes(build))
    series.fit()
    memory.fit()


def _batches(tasks: int, teams: int) -> list[Batch]:
    batches = []
    for number in range(tasks):
        request = run_batch(number, 1, {"length_mm": number})
        batch = Batch(
            coordinator=Sender(entry_name(1), INCARNATION),
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
    pass


def _add_and_take(batches: list[Batch]) -> None:
    queue = FairQueue(lambda team: 1.0)
    for batch in batches:
        queue.add(batch, batch.tasks)
    while queue.take() is not None:
        pass
