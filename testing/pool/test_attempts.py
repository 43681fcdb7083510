"""Attempts at one job through several processes: none starts when nobody waits for it any more."""

from __future__ import annotations

from collections import Counter

import anyio
import attrs
import pytest
from pool_cluster import Cluster, Entry, run_cluster
from pool_harness import make_job, run_on_virtual_time

from apricotpoint._core.codes import ResultCode
from apricotpoint._link.transport import Sender
from apricotpoint._pool.remotesubmission import PEER_TIMEOUT_S
from apricotpoint._wire.pool import PoolAnswer, PoolCancel, PoolJob


def running_tasks(cluster: Cluster) -> list[str]:
    return [
        key.task for backend in cluster.backend_by_id.values() for key in backend.active_run_by_key
    ]


def start_counts(cluster: Cluster) -> Counter[str]:
    return Counter(key.task for backend in cluster.backend_by_id.values() for key in backend.starts)


async def submit(entry: Entry, request: PoolJob, answers: list[PoolAnswer]) -> None:
    answers.append(await entry.service.submit(request))


def test_a_job_that_its_origin_may_have_given_up_is_not_started():
    """Guards against a second run of a job that waited for a frozen process, and was sent again."""

    async def test() -> None:
        async with run_cluster() as cluster:
            late_s = PEER_TIMEOUT_S + 0.2
            cluster.network.delay_by_pair["e2", "e1"] = late_s
            answers: list[PoolAnswer] = []
            async with anyio.create_task_group() as group:
                group.start_soon(submit, cluster.entry_by_id["e2"], make_job(1), answers)
                await anyio.sleep(late_s + 0.3)
                group.cancel_scope.cancel()
            assert not start_counts(cluster)
            assert cluster.entry_by_id["e1"].counters.get("jobs.outdated") == 1

    run_on_virtual_time(test)


def test_a_job_that_took_a_while_has_less_time_left():
    """Guards against a deadline that counts from the arrival at the scheduling process."""

    async def test() -> None:
        async with run_cluster() as cluster:
            cluster.network.delay_by_pair["e2", "e1"] = 0.5
            answers: list[PoolAnswer] = []
            request = make_job(1, work_s=0.8, deadline_s=1.0, base_latency_s=9.0)
            await submit(cluster.entry_by_id["e2"], request, answers)
            assert answers[0].code == ResultCode.OVERLOADED
            assert not start_counts(cluster)

    run_on_virtual_time(test)


@pytest.mark.parametrize("back_after_s", [None, 0.3])
def test_a_forwarded_job_ends_with_the_process_that_waits_for_it(back_after_s: float | None):
    """Guards against two runs when a front is killed, or back at once, and its callers try again.

    The job is scheduled by e3, to which e1 has forwarded it for e2.
    """

    async def test() -> None:
        async with run_cluster() as cluster:
            for backend in cluster.backend_by_id.values():
                backend.work_s = 9.0
            e1 = cluster.entry_by_id["e1"]
            request = make_job(1, work_s=2.0, deadline_s=8.0)
            fill = [make_job(number, work_s=2.0, deadline_s=8.0) for number in range(2, 6)]
            async with anyio.create_task_group() as group:
                for other in fill:
                    group.start_soon(submit, e1, other, [])
                await anyio.sleep(0.3)
                killed = cluster.entry_by_id["e2"]
                group.start_soon(submit, killed, request, [])
                await anyio.sleep(0.1)
                assert e1.counters.get("jobs.forwarded") == 1
                assert f"{request.job_id}.0.0.0" in running_tasks(cluster)
                killed.kill()
                if back_after_s is not None:
                    await anyio.sleep(back_after_s)
                    await cluster.restart("e2")
                    await anyio.sleep(0.3)
                else:
                    await anyio.sleep(PEER_TIMEOUT_S + 0.3)
                assert f"{request.job_id}.0.0.0" not in running_tasks(cluster)
                group.cancel_scope.cancel()

    run_on_virtual_time(test)


def test_a_job_ends_when_its_origin_is_killed_and_back_at_once():
    """Guards against the next incarnation being taken for the one that waits for the answer."""

    async def test() -> None:
        async with run_cluster() as cluster:
            for backend in cluster.backend_by_id.values():
                backend.work_s = 9.0
            async with anyio.create_task_group() as group:
                request = make_job(1, work_s=2.0, deadline_s=8.0)
                group.start_soon(submit, cluster.entry_by_id["e2"], request, [])
                await anyio.sleep(0.1)
                assert running_tasks(cluster)
                cluster.entry_by_id["e2"].kill()
                await cluster.restart("e2")
                await anyio.sleep(0.3)
                assert not running_tasks(cluster)
                group.cancel_scope.cancel()

    run_on_virtual_time(test)


def test_a_caller_is_answered_at_once_when_the_scheduling_process_was_started_again():
    """Guards against a caller that waits until its deadline for a process that knows no job."""

    async def test() -> None:
        async with run_cluster() as cluster:
            answers: list[PoolAnswer] = []
            async with anyio.create_task_group() as group:
                request = make_job(1, work_s=2.0, deadline_s=8.0)
                group.start_soon(submit, cluster.entry_by_id["e2"], request, answers)
                await anyio.sleep(0.1)
                cluster.entry_by_id["e1"].kill()
                await cluster.restart("e1")
                await anyio.sleep(0.3)
                assert [answer.code for answer in answers] == [ResultCode.COORDINATOR_UNREACHABLE]
                group.cancel_scope.cancel()

    run_on_virtual_time(test)


def test_a_scheduling_process_that_is_given_up_is_told_to_end_the_job():
    """Guards against a run that goes on as only the answers of its process are lost."""

    async def test() -> None:
        async with run_cluster() as cluster:
            for backend in cluster.backend_by_id.values():
                backend.work_s = 9.0
            async with anyio.create_task_group() as group:
                request = make_job(1, work_s=2.0, deadline_s=8.0)
                group.start_soon(submit, cluster.entry_by_id["e2"], request, [])
                await anyio.sleep(0.1)
                assert running_tasks(cluster)
                cluster.network.dropped_pairs.add(("e1", "e2"))
                for _ in range(round((PEER_TIMEOUT_S + 0.3) / 0.1)):
                    # The heartbeats of the origin, which the fake transport does not send.
                    cluster.network.transport_by_id["e1"].record_contact("e2")
                    await anyio.sleep(0.1)
                assert not running_tasks(cluster)
                group.cancel_scope.cancel()

    run_on_virtual_time(test)


def test_a_cancellation_that_is_handled_before_its_job_has_an_effect():
    """Guards against a job that starts although its cancellation arrived together with it."""

    async def test() -> None:
        async with run_cluster() as cluster:
            transport = cluster.network.transport_by_id["e1"]
            sender = Sender("e2", 1, 0.001)
            request = attrs.evolve(make_job(1), attempt=7)
            transport.record_contact("e2")
            transport.handlers_by_type[PoolCancel](sender, PoolCancel(request.job_id, 7))
            answer = await transport.request_handlers_by_type[PoolJob](sender, request)
            assert isinstance(answer, PoolAnswer)
            assert answer.code == ResultCode.CANCELLED_BEFORE_START
            assert not start_counts(cluster)

    run_on_virtual_time(test)


def test_the_end_of_a_first_attempt_leaves_the_second_one_alone():
    """Guards against a repeated job that ends as the caller of its first attempt has left."""

    async def test() -> None:
        async with run_cluster() as cluster:
            answers: list[PoolAnswer] = []
            e1 = cluster.entry_by_id["e1"]
            second = attrs.evolve(make_job(1, work_s=0.3), attempt=2)
            async with anyio.create_task_group() as group:
                group.start_soon(submit, cluster.entry_by_id["e2"], second, answers)
                await anyio.sleep(0.05)
                e1.service.cancel(second.job_id, 1)
            assert answers[0].code == ResultCode.COMPLETE

    run_on_virtual_time(test)


def test_attempts_that_wait_for_an_earlier_one_follow_each_other():
    """Guards against two runs when a third attempt joins the second in waiting for the first."""

    async def test() -> None:
        async with run_cluster() as cluster:
            e1 = cluster.entry_by_id["e1"]
            request = make_job(1, work_s=1.0, deadline_s=8.0, base_latency_s=9.0)
            for backend in cluster.backend_by_id.values():
                backend.work_s = 1.0
            answers: list[PoolAnswer] = []
            async with anyio.create_task_group() as group:
                group.start_soon(submit, e1, attrs.evolve(request, attempt=1), [])
                await anyio.sleep(0.1)
                for backend in cluster.backend_by_id.values():
                    # The run of the first attempt can't be stopped, and ends with its lease.
                    backend.unreachable = bool(backend.active_run_by_key)
                e1.service.cancel(request.job_id, 1)
                for attempt in (2, 3):
                    await anyio.sleep(0.005)
                    group.start_soon(submit, e1, attrs.evolve(request, attempt=attempt), answers)
                for _ in range(300):
                    await anyio.sleep(0.01)
                    assert len(running_tasks(cluster)) <= 1
            assert [answer.code for answer in answers] == [ResultCode.COMPLETE] * 2
            assert start_counts(cluster) == {f"{request.job_id}.0.0.0": 2}

    run_on_virtual_time(test)


@pytest.mark.parametrize("leaves", [False, True])
def test_a_repeated_job_ends_with_its_own_caller(*, leaves: bool):
    """Guards against a caller that is held until the deadline of an earlier submission.

    One that has left, and is forgotten after some seconds, would start its job for nobody.
    """

    async def test() -> None:
        async with run_cluster() as cluster:
            e1 = cluster.entry_by_id["e1"]
            for backend in cluster.backend_by_id.values():
                backend.work_s = 20.0
            request = make_job(1, work_s=20.0, deadline_s=60.0, base_latency_s=60.0)
            second = attrs.evolve(request, attempt=2, deadline_s=60.0 if leaves else 0.6)
            answers: list[PoolAnswer] = []
            async with anyio.create_task_group() as group:
                group.start_soon(submit, e1, attrs.evolve(request, attempt=1), [])
                await anyio.sleep(0.2)
                group.start_soon(submit, e1, second, answers)
                await anyio.sleep(0.2)
                if leaves:
                    e1.service.cancel(second.job_id, 2)
                await anyio.sleep(0.6)
                assert [answer.code for answer in answers] == [
                    ResultCode.CANCELLED_BEFORE_START if leaves else ResultCode.DEADLINE_AFTER_START
                ]
                # The earlier submission goes on.
                assert running_tasks(cluster) == [f"{request.job_id}.0.0.0"]
                group.cancel_scope.cancel()

    run_on_virtual_time(test)
