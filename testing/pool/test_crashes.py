"""Tasks that crash the backend servers that start them, and the sound tasks beside them."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
from pool_harness import (
    FakeBackend,
    SchedulerHarness,
    make_announcement,
    make_job,
    run_on_virtual_time,
    run_scheduler,
)

from apricotpoint._core.codes import ResultCode
from apricotpoint._pool.decisions.verdicts import Evidence

DEADLY_JOB = 1
DEADLY_TASK = f"{DEADLY_JOB:016x}.0.0.0"


@asynccontextmanager
async def run_restarting(
    count: int = 4, *, work_s: float = 0.2
) -> AsyncIterator[tuple[SchedulerHarness, list[FakeBackend]]]:
    """Run a scheduler with backend servers that come back under a new id after a crash."""
    backends = [FakeBackend(work_s=work_s) for _ in range(count)]
    for backend in backends:
        backend.deadly_tasks = {DEADLY_TASK}
    async with run_scheduler(*backends) as harness:

        def acquire_successor(backend_id: str) -> None:
            backend = harness.backend_by_id[backend_id]
            backend.is_other_incarnation = False
            harness.backend_by_id[f"{backend_id}'"] = backend
            harness.scheduler.acquire(make_announcement(f"{backend_id}'"), token=100)

        harness.scheduler.on_backend_ended = acquire_successor
        yield harness, backends


def starts_of(task: str, backends: list[FakeBackend]) -> int:
    return sum(key.task == task for backend in backends for key in backend.starts)


def test_a_task_that_crashes_its_backend_servers_is_given_up():
    """Guards against one task that crashes a backend server a second until its deadline."""

    async def test() -> None:
        async with run_restarting() as (harness, backends):
            job = harness.scheduler.submit(make_job(DEADLY_JOB, count=2, deadline_s=30.0))
            await job.answered.wait()
            assert job.answer is not None
            assert job.answer.code == ResultCode.TASKS_FAILED
            assert starts_of(DEADLY_TASK, backends) == 2

    run_on_virtual_time(test)


def test_a_job_that_was_given_up_does_not_start_again():
    """Guards against a caller that submits such a job again after its answer has expired."""

    async def test() -> None:
        async with run_restarting() as (harness, backends):
            for _ in range(3):
                job = harness.scheduler.submit(make_job(DEADLY_JOB, deadline_s=30.0))
                await job.answered.wait()
                assert job.answer is not None
                assert job.answer.code == ResultCode.TASKS_FAILED
                await anyio.sleep(15.0)
            assert starts_of(DEADLY_TASK, backends) == 2

    run_on_virtual_time(test)


def test_a_deadline_does_not_reset_the_crashes_of_a_task():
    """Guards against a job that crashes two backend servers in each submission by its caller."""

    async def test() -> None:
        async with run_restarting() as (harness, backends):
            for _ in range(8):
                job = harness.scheduler.submit(make_job(DEADLY_JOB, deadline_s=1.5))
                await job.answered.wait()
                await anyio.sleep(1.3)
            assert starts_of(DEADLY_TASK, backends) == 2

    run_on_virtual_time(test)


def test_sound_tasks_beside_one_that_crashes_all_complete():
    """Guards against giving up a sound task, and against a second crash beside sound tasks."""

    async def test() -> None:
        async with run_restarting(work_s=0.6) as (harness, backends):
            sound = [make_job(i, count=2, work_s=0.6, deadline_s=60.0) for i in range(2, 5)]
            jobs = [harness.scheduler.submit(request) for request in sound]
            deadly = harness.scheduler.submit(make_job(DEADLY_JOB, deadline_s=60.0))
            for number in range(5, 40):
                await anyio.sleep(0.25)
                jobs.append(harness.scheduler.submit(make_job(number, work_s=0.6, deadline_s=60.0)))
            for job in [*jobs, deadly]:
                await job.answered.wait()
            assert {job.answer.code for job in jobs if job.answer} == {ResultCode.COMPLETE}
            assert deadly.answer is not None
            assert deadly.answer.code == ResultCode.TASKS_FAILED
            # Only the first crash, before which nothing was known, takes other runs along.
            assert sum(len(backend.crashes) for backend in backends) == 2
            assert sum(bool(backend.neighbours_lost) for backend in backends) <= 1

    run_on_virtual_time(test)


def test_cuts_are_not_counted_as_crashes():
    """Guards against giving up a sound task whose backend servers were only cut off."""

    async def test() -> None:
        async with run_restarting(work_s=1.0) as (harness, backends):
            job = harness.scheduler.submit(make_job(2, work_s=1.0, deadline_s=60.0))
            for cuts in range(4):
                while sum(len(backend.starts) for backend in backends) == cuts:  # noqa: ASYNC110
                    await anyio.sleep(0.01)
                cut = next(backend for backend in backends if backend.active_run_by_key)
                cut.unreachable = True
                await anyio.sleep(0.9)
                cut._advance()
                await anyio.sleep(1.0 if cuts == 3 else 0.2)
                cut.unreachable = False
            await job.answered.wait()
            assert job.answer is not None
            assert job.answer.code == ResultCode.COMPLETE

    run_on_virtual_time(test)


def test_tasks_that_are_held_back_delay_no_other_job():
    """Guards against refusals for lack of room that tasks would use which do not start."""

    async def test() -> None:
        async with run_restarting() as (harness, _):
            scheduler = harness.scheduler
            held_back = make_job(2, count=40, work_s=0.5, deadline_s=30.0)
            for backend_id in ("lost1", "lost2"):
                scheduler.crashes.record(
                    make_announcement(backend_id),
                    0,
                    [f"{held_back.job_id}.0.0.{index}" for index in range(held_back.count)],
                    Evidence.REFUSED,
                    alone=False,
                )
            scheduler.submit(held_back)
            await anyio.sleep(0.1)
            assert scheduler.refusal(make_job(3, count=4)) is None
            assert scheduler.load().backlog_s == 0

    run_on_virtual_time(test)


def test_a_start_that_was_not_sent_is_repeated_at_once():
    """Guards against a task that waits for a lease although its start was never sent."""

    async def test() -> None:
        async with run_restarting(2) as (harness, backends):
            down = backends[0]
            down.is_down = True
            job = harness.scheduler.submit(make_job(2, count=3, deadline_s=5.0))
            began_at = anyio.current_time()
            await job.answered.wait()
            assert job.answer is not None
            assert job.answer.code == ResultCode.COMPLETE
            assert not down.starts
            assert harness.counters.get("pool.refused_not_listening") <= 2
            # Two of the tasks run at the same time: two run times and no lease.
            assert anyio.current_time() - began_at < 0.6

    run_on_virtual_time(test)


def test_a_crash_behind_a_cut_is_counted():
    """Guards against crashes that stay unseen because the backend server was silent."""

    async def test() -> None:
        async with run_restarting() as (harness, backends):
            job = harness.scheduler.submit(make_job(DEADLY_JOB, deadline_s=60.0))
            while not job.answer:  # noqa: ASYNC110  # The fake backend has no event for it.
                for backend in backends:
                    backend.unreachable = backend.is_down
                await anyio.sleep(0.001)
            assert job.answer.code == ResultCode.TASKS_FAILED
            # A silent backend server may be cut off, so the second start does not wait for it.
            assert starts_of(DEADLY_TASK, backends) <= 5

    run_on_virtual_time(test)


def test_no_trial_starts_on_a_backend_server_that_is_handed_over():
    """Guards against a successor that waits for starts which came after its claim."""

    async def test() -> None:
        async with run_restarting(2) as (harness, backends):
            scheduler = harness.scheduler
            job = make_job(2, deadline_s=30.0)
            scheduler.crashes.record(
                make_announcement("lost"),
                0,
                [f"{job.job_id}.0.0.0"],
                Evidence.CRASHED,
                alone=False,
            )
            for held in scheduler.held_by_id.values():
                held.handing_over = True
            scheduler.submit(job)
            await anyio.sleep(1.0)
            assert not any(backend.starts for backend in backends)
            assert not any(held.trial for held in scheduler.held_by_id.values())
            for held in scheduler.held_by_id.values():
                held.handing_over = False
            await anyio.sleep(1.0)
            assert sum(len(backend.starts) for backend in backends) == 1

    run_on_virtual_time(test)
