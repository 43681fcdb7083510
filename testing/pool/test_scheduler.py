"""Scheduling on leased backend servers: no second runs, retries, refusals and draining."""

from __future__ import annotations

import anyio
import attrs
from pool_harness import (
    FakeBackend,
    make_announcement,
    make_job,
    run_on_virtual_time,
    run_scheduler,
)

from apricotpoint._core.codes import ResultCode


def test_a_job_is_complete_when_all_its_tasks_have_ended():
    """Guards against an answer while a run of the job is still active."""

    async def test() -> None:
        backends = [FakeBackend(), FakeBackend()]
        async with run_scheduler(*backends) as harness:
            job = harness.scheduler.submit(make_job(count=3))
            await job.answered.wait()
            assert job.answer is not None
            assert job.answer.code == ResultCode.COMPLETE
            assert sum(len(backend.starts) for backend in backends) == 3
            assert not any(backend.active_run_by_key for backend in backends)

    run_on_virtual_time(test)


def test_no_more_tasks_are_started_than_fit():
    """Guards against starts that the backend server refuses for lack of resources."""

    async def test() -> None:
        backend = FakeBackend()
        async with run_scheduler(backend) as harness:
            job = harness.scheduler.submit(make_job(count=5))
            await job.answered.wait()
            assert len(backend.starts) == 5
            assert harness.counters.get("pool.refused_no_room") == 0

    run_on_virtual_time(test)


def test_a_start_whose_answer_is_lost_is_not_repeated():
    """Guards against a second run beside one whose start was carried out but not answered."""

    async def test() -> None:
        backend = FakeBackend(work_s=0.5)
        backend.lose_start_answers = 1
        async with run_scheduler(backend) as harness:
            job = harness.scheduler.submit(make_job(work_s=0.5))
            await job.answered.wait()
            assert job.answer is not None
            assert job.answer.code == ResultCode.COMPLETE
            assert len(backend.starts) == 1

    run_on_virtual_time(test)


def test_a_start_carried_out_late_never_runs_beside_its_repetition():
    """Guards against a start that is carried out seconds after it was sent again elsewhere."""

    async def test() -> None:
        late, other = FakeBackend(), FakeBackend()
        late.start_delays_s = [2.0]
        other.start_delays_s = [3.0]
        async with run_scheduler(late, other) as harness:
            job = harness.scheduler.submit(make_job(deadline_s=5.0))
            await job.answered.wait()
            assert job.answer is not None
            assert job.answer.code == ResultCode.COMPLETE
            await anyio.sleep(5.0)
            assert len(late.starts) + len(other.starts) == 1

    run_on_virtual_time(test)


def test_tasks_on_an_unreachable_backend_server_restart_only_after_its_lease():
    """Guards against a restart elsewhere while the first run may still be active."""

    async def test() -> None:
        backends = [FakeBackend(work_s=1.5), FakeBackend(work_s=1.5)]
        async with run_scheduler(*backends) as harness:
            job = harness.scheduler.submit(make_job(work_s=0.5, deadline_s=6.0))
            await anyio.sleep(0.1)
            first = next(backend for backend in backends if backend.starts)
            second = next(backend for backend in backends if not backend.starts)
            # Renewals still arrive there, but their answers are lost.
            first.drops_answers = True
            while not second.starts:  # noqa: ASYNC110  # The fake backend has no event for it.
                await anyio.sleep(0.01)
            first._advance()
            assert not first.active_run_by_key
            await job.answered.wait()
            assert job.answer is not None
            assert job.answer.code == ResultCode.COMPLETE

    run_on_virtual_time(test)


def test_a_failed_task_runs_again_elsewhere():
    """Guards against jobs that fail because a single backend server fails every task."""

    async def test() -> None:
        bad, good = FakeBackend(speed=1.0), FakeBackend(speed=1.0)
        bad.fails = True
        async with run_scheduler(bad, good) as harness:
            jobs = [harness.scheduler.submit(make_job(i)) for i in range(1, 9)]
            for job in jobs:
                await job.answered.wait()
            codes = [job.answer.code for job in jobs if job.answer]
            assert codes == [ResultCode.COMPLETE] * 8
            assert len(bad.starts) < 8

    run_on_virtual_time(test)


def test_a_job_fails_only_after_all_its_attempts():
    """Guards against a job that fails before a task has failed `max_attempts` times."""

    async def test() -> None:
        bad = FakeBackend()
        bad.fails = True
        async with run_scheduler(bad) as harness:
            job = harness.scheduler.submit(make_job(max_attempts=3, deadline_s=10.0))
            await job.answered.wait()
            assert job.answer is not None
            assert job.answer.code == ResultCode.TASKS_FAILED
            assert [key.run for key in bad.starts] == [1, 2, 3]

    run_on_virtual_time(test)


def test_a_stalled_task_is_moved():
    """Guards against a job that waits for a run that makes no progress on a hung backend server."""

    async def test() -> None:
        stalled, healthy = FakeBackend(), FakeBackend()
        stalled.stalls = True
        async with run_scheduler(stalled, healthy) as harness:
            jobs = [harness.scheduler.submit(make_job(i, deadline_s=3.0)) for i in (1, 2, 3, 4)]
            for job in jobs:
                await job.answered.wait()
                assert job.answer is not None
                assert job.answer.code == ResultCode.COMPLETE
            assert harness.counters.get("pool.standstills") > 0

    run_on_virtual_time(test)


def test_runs_of_an_earlier_holder_are_stopped():
    """Guards against runs that an earlier holder started and no caller waits for."""

    async def test() -> None:
        backend = FakeBackend(work_s=5.0)
        async with run_scheduler(backend) as harness:
            harness.scheduler.submit(make_job(work_s=0.5, deadline_s=9.0))
            await anyio.sleep(0.1)
            harness.scheduler.release("w1", "test")
            assert backend.active_run_by_key
            harness.scheduler.acquire(make_announcement("w1"), token=200)
            await anyio.sleep(0.1)
            assert not backend.active_run_by_key
            assert harness.counters.get("pool.foreign_runs_stopped") == 1

    run_on_virtual_time(test)


def test_a_released_backend_server_gets_no_more_renewals():
    """Guards against two holders that renew the same lease after a handover."""

    async def test() -> None:
        backend = FakeBackend()
        async with run_scheduler(backend) as harness:
            harness.scheduler.release("w1", "test")
            await anyio.sleep(0.5)
            before = backend.renewals
            await anyio.sleep(2.0)
            assert backend.renewals == before

    run_on_virtual_time(test)


def test_a_fenced_holder_releases_the_backend_server():
    """Guards against two holders that fence each other off in turn."""

    async def test() -> None:
        backend = FakeBackend()
        fenced: list[str] = []
        async with run_scheduler(backend) as harness:
            harness.scheduler.on_fenced = lambda item: fenced.append(item.failure_domain)
            backend.token = 1 << 40
            await anyio.sleep(1.0)
            assert fenced == ["a"]
            assert harness.scheduler.held_by_id == {}
            assert backend.token == 1 << 40

    run_on_virtual_time(test)


def test_a_leaving_backend_server_gets_no_new_tasks():
    """Guards against starts on a backend server that has announced its shutdown."""

    async def test() -> None:
        leaving, staying = FakeBackend(), FakeBackend()
        async with run_scheduler(leaving, staying) as harness:
            announcement = make_announcement("w1")
            harness.scheduler.announce(
                type(announcement)(
                    **{
                        **{
                            name: getattr(announcement, name)
                            for name in announcement.__slots__
                            if name[0] != "_"
                        },
                        "leaving": True,
                        "sequence": 2,
                    }
                )
            )
            for number in range(1, 5):
                job = harness.scheduler.submit(make_job(number, count=2))
                await job.answered.wait()
            assert leaving.starts == []
            assert len(staying.starts) == 8

    run_on_virtual_time(test)


def test_a_cancelled_job_frees_its_resources():
    """Guards against runs for callers that have disconnected, which make others wait."""

    async def test() -> None:
        backend = FakeBackend(work_s=1.0)
        async with run_scheduler(backend) as harness:
            harness.scheduler.submit(make_job(1, count=2, work_s=1.0))
            await anyio.sleep(0.1)
            harness.scheduler.cancel(f"{1:016x}", "left")
            second = harness.scheduler.submit(make_job(2, count=2, work_s=0.1))
            backend.work_s = 0.1
            with anyio.fail_after(0.5):
                await second.answered.wait()
            assert second.answer is not None
            assert second.answer.code == ResultCode.COMPLETE

    run_on_virtual_time(test)


def test_a_started_job_is_never_answered_as_not_run():
    """Guards against the answer "not run" after a task was started, at the deadline."""

    async def test() -> None:
        backend = FakeBackend(work_s=9.0)
        async with run_scheduler(backend) as harness:
            job = harness.scheduler.submit(make_job(deadline_s=0.5))
            await job.answered.wait()
            assert job.answer is not None
            assert job.answer.code == ResultCode.DEADLINE_AFTER_START

    run_on_virtual_time(test)


def test_an_infeasible_job_is_refused_at_once():
    """Guards against jobs behind a long backlog that wait until their deadline passes."""

    async def test() -> None:
        backend = FakeBackend(work_s=1.0)
        async with run_scheduler(backend) as harness:
            for number in range(1, 9):
                harness.scheduler.submit(make_job(number, count=2, work_s=1.0, deadline_s=60.0))
            await anyio.sleep(0.01)
            refusal = harness.scheduler.refusal(make_job(99, work_s=0.2))
            assert refusal is not None
            assert refusal.code == ResultCode.OVERLOADED
            assert refusal.retry_after_s >= 1.0

    run_on_virtual_time(test)


def test_draining_answers_jobs_that_have_not_started():
    """Guards against waiting jobs that a draining process neither runs nor answers."""

    async def test() -> None:
        backend = FakeBackend(work_s=0.4)
        async with run_scheduler(backend) as harness:
            started = harness.scheduler.submit(make_job(1, count=2, work_s=0.4))
            await anyio.sleep(0.01)
            queued = harness.scheduler.submit(make_job(2, work_s=0.4, deadline_s=9.0))
            await anyio.sleep(0.05)
            harness.scheduler.start_draining()
            assert queued.answer is not None
            assert queued.answer.code == ResultCode.DRAINING
            await started.answered.wait()
            assert started.answer is not None
            assert started.answer.code == ResultCode.COMPLETE

    run_on_virtual_time(test)


def test_a_started_job_that_cannot_meet_its_deadline_is_answered_at_once():
    """Guards against callers that wait until a deadline which is already known to be missed."""

    async def test() -> None:
        backend = FakeBackend(work_s=1.0)
        async with run_scheduler(backend) as harness:
            job = harness.scheduler.submit(make_job(count=4, work_s=1.0, deadline_s=1.5))
            began_at = anyio.current_time()
            await job.answered.wait()
            assert job.answer is not None
            assert job.answer.code == ResultCode.DEADLINE_AFTER_START
            assert anyio.current_time() - began_at < 1.2

    run_on_virtual_time(test)


def test_an_unconfirmed_run_is_stopped_when_its_job_was_cancelled():
    """Guards against a run that goes on after a cancellation before its start was confirmed."""

    async def test() -> None:
        backend = FakeBackend(work_s=5.0)
        backend.lose_start_answers = 1
        async with run_scheduler(backend) as harness:
            harness.scheduler.submit(make_job(work_s=0.5, deadline_s=9.0))
            await anyio.sleep(0.05)
            assert backend.active_run_by_key
            harness.scheduler.cancel(f"{1:016x}", "left")
            await anyio.sleep(0.5)
            assert not backend.active_run_by_key
            assert harness.scheduler.idle()

    run_on_virtual_time(test)


def test_an_unexpected_error_of_one_backend_server_costs_only_its_lease():
    """Guards against a process that ends because of one malformed response."""

    async def test() -> None:
        backend = FakeBackend()
        async with run_scheduler(backend) as harness:

            async def fail(**_: object) -> None:
                raise RuntimeError("unexpected")

            backend.renew_lease = fail  # type: ignore[method-assign, assignment]
            await anyio.sleep(1.0)
            assert harness.scheduler.held_by_id == {}
            assert harness.counters.get("pool.renewal_errors") == 1

    run_on_virtual_time(test)


def test_no_task_starts_after_a_pause_until_the_claims_were_checked():
    """Guards against a start by a process that was paused while another took over its claims."""

    async def test() -> None:
        backend = FakeBackend()
        async with run_scheduler(backend) as harness:
            await anyio.sleep(0.5)
            current = True
            harness.scheduler.may_start = lambda: current
            harness.scheduler.submit(make_job(1))
            # The pause comes between the dispatch and the requests that it makes.
            harness.scheduler._dispatcher.dispatch()
            current = False
            await anyio.sleep(0.2)
            harness.scheduler.submit(make_job(2))
            await anyio.sleep(0.2)
            assert not backend.starts
            harness.scheduler.release_all("the process was paused")
            assert not harness.scheduler.unanswered_jobs()

    run_on_virtual_time(test)


def test_a_hand_over_finishes_the_jobs_that_have_started_and_returns_the_others():
    """Guards against jobs that wait for handed-over backend servers until their deadline."""

    async def test() -> None:
        backend = FakeBackend()
        async with run_scheduler(backend) as harness:
            await anyio.sleep(0.5)
            scheduler = harness.scheduler
            # More tasks than fit at once, so that some start during the hand-over.
            begun = scheduler.submit(attrs.evolve(make_job(1), count=5))
            waiting = scheduler.submit(attrs.evolve(make_job(2), count=5))
            await anyio.sleep(0.05)
            assert begun.started
            assert not waiting.started
            for held in scheduler.held_by_id.values():
                held.handing_over = True
            scheduler.return_unstarted_jobs("handed over")
            refusal = scheduler.refusal(make_job(3))
            assert refusal is not None
            assert refusal.code == ResultCode.NO_BACKEND
            assert scheduler.load().free == 0
            await anyio.sleep(1.5)
            assert waiting.answer is not None
            assert waiting.answer.code == ResultCode.DRAINING
            assert begun.answer is not None
            assert begun.answer.code == ResultCode.COMPLETE

    run_on_virtual_time(test)
