"""Several entry processes: takeover, handover, and no second run of a job."""

from __future__ import annotations

import anyio
import attrs
import pytest
from pool_cluster import Cluster, run_cluster
from pool_harness import make_job, run_on_virtual_time

from apricotpoint._core.codes import ResultCode
from apricotpoint._wire.pool import PoolAnswer, Room


async def submit_all(
    cluster: Cluster, entry_ids: list[str], first: int, answers: list[PoolAnswer]
) -> None:
    async def submit(entry_id: str, number: int) -> None:
        answers.append(await cluster.entry_by_id[entry_id].service.submit(make_job(number)))

    async with anyio.create_task_group() as group:
        for number, entry_id in enumerate(entry_ids, first):
            group.start_soon(submit, entry_id, number)


def started_twice(cluster: Cluster) -> list[str]:
    """Return tasks that were started on more than one backend server at the same time."""
    seen: set[str] = set()
    twice: list[str] = []
    for backend in cluster.backend_by_id.values():
        for key in backend.active_run_by_key:
            if key.task in seen:
                twice.append(key.task)
            seen.add(key.task)
    return twice


def test_every_backend_server_gets_one_holder_of_its_failure_domain():
    """Guards against backend servers that nobody or two processes hold after a start."""

    async def test() -> None:
        async with run_cluster() as cluster:
            assert cluster.holders() == {"e1": ["a1", "a2"], "e2": [], "e3": ["b1", "b2"]}
            answers: list[PoolAnswer] = []
            await submit_all(cluster, ["e1", "e2", "e3"], 1, answers)
            assert [answer.code for answer in answers] == [ResultCode.COMPLETE] * 3

    run_on_virtual_time(test)


def test_a_lost_holder_is_followed_and_its_jobs_are_not_known():
    """Guards against backend servers that stay with a dead process, and false refusals."""

    async def test() -> None:
        async with run_cluster() as cluster:
            answers: list[PoolAnswer] = []
            async with anyio.create_task_group() as group:
                group.start_soon(submit_all, cluster, ["e2", "e2"], 1, answers)
                await anyio.sleep(0.05)
                cluster.entry_by_id["e1"].kill()
            assert {answer.code for answer in answers} == {ResultCode.COORDINATOR_UNREACHABLE}
            await anyio.sleep(1.5)
            assert cluster.holders() == {"e2": ["a1", "a2"], "e3": ["b1", "b2"]}
            await submit_all(cluster, ["e2"], 10, answers)
            assert answers[-1].code == ResultCode.COMPLETE

    run_on_virtual_time(test)


def test_a_failure_domain_without_processes_is_held_from_outside():
    """Guards against backend servers that are idle because their entry processes are gone."""

    async def test() -> None:
        async with run_cluster() as cluster:
            cluster.entry_by_id["e3"].kill()
            await anyio.sleep(3.0)
            holders = cluster.holders()
            assert sorted(holders["e1"] + holders["e2"]) == ["a1", "a2", "b1", "b2"]

    run_on_virtual_time(test)


def test_a_draining_holder_hands_over_without_losing_a_job():
    """Guards against jobs that are lost, or run twice, while a process stops."""

    async def test() -> None:
        async with run_cluster() as cluster:
            leaving = cluster.entry_by_id["e1"]
            answers: list[PoolAnswer] = []
            async with anyio.create_task_group() as group:
                for wave in range(12):
                    group.start_soon(submit_all, cluster, ["e2", "e3"], 100 + 10 * wave, answers)
                    await anyio.sleep(0.1)
                    assert not started_twice(cluster)
                    if wave == 2:
                        leaving.drain()
                    if wave == 5:
                        leaving.scheduler.start_draining()
            refused = [answer for answer in answers if 2000 <= answer.code < 3000]
            complete = [answer for answer in answers if answer.code == ResultCode.COMPLETE]
            assert len(refused) + len(complete) == len(answers) == 24
            await anyio.sleep(1.0)
            assert cluster.holders()["e1"] == []
            assert cluster.holders()["e2"] == ["a1", "a2"]

    run_on_virtual_time(test)


def test_a_cut_off_holder_that_reaches_its_backend_servers_yields():
    """Guards against two holders that take backend servers from each other in turn."""

    async def test() -> None:
        async with run_cluster() as cluster:
            cluster.network.isolate("e1")
            await anyio.sleep(6.0)
            holders = cluster.holders()
            assert holders["e1"] == []
            assert holders["e2"] == ["a1", "a2"]
            fenced = [entry.counters.get("claims.fenced") for entry in cluster.entry_by_id.values()]
            assert fenced == [1, 0, 0]
            cluster.network.cuts.clear()
            await anyio.sleep(3.0)
            assert cluster.holders()["e2"] == ["a1", "a2"]

    run_on_virtual_time(test)


def test_a_cut_off_process_claims_nothing_new():
    """Guards against a process that hears nobody and takes all backend servers it reaches."""

    async def test() -> None:
        async with run_cluster() as cluster:
            cluster.network.isolate("e2")
            await anyio.sleep(6.0)
            assert cluster.holders() == {"e1": ["a1", "a2"], "e2": [], "e3": ["b1", "b2"]}
            fenced = [entry.counters.get("claims.fenced") for entry in cluster.entry_by_id.values()]
            assert fenced == [0, 0, 0]

    run_on_virtual_time(test)


def test_a_job_of_a_lost_entry_process_is_stopped_before_it_can_be_repeated():
    """Guards against a second run at another process beside the first one."""

    async def test() -> None:
        async with run_cluster() as cluster:
            for backend in cluster.backend_by_id.values():
                backend.work_s = 9.0
            async with anyio.create_task_group() as group:
                group.start_soon(submit_all, cluster, ["e2"], 1, [])
                await anyio.sleep(0.1)
                assert any(backend.active_run_by_key for backend in cluster.backend_by_id.values())
                cluster.network.isolate("e2")
                # The caller repeats its job 1.3 s after e2 gave up.
                await anyio.sleep(0.9 + 1.3)
                assert not any(
                    backend.active_run_by_key for backend in cluster.backend_by_id.values()
                )
                group.cancel_scope.cancel()

    run_on_virtual_time(test)


def test_a_small_pool_is_held_by_one_process():
    """Guards against wide jobs that wait in one failure domain while others have room."""

    async def test() -> None:
        async with run_cluster(max_single_holder_backends=4) as cluster:
            held = sorted(cluster.holders().values(), key=len)
            assert held == [[], [], ["a1", "a2", "b1", "b2"]]
            answers: list[PoolAnswer] = []
            await submit_all(cluster, ["e1", "e2", "e3"], 1, answers)
            assert [answer.code for answer in answers] == [ResultCode.COMPLETE] * 3

    run_on_virtual_time(test)


@pytest.mark.parametrize("leader", ["e1", "e3"])
def test_both_sides_of_a_partition_serve_and_one_holder_is_left_after_it(leader: str):
    """Guards against a cut-off part that serves nothing, and one that fences off the others.

    e3 is the only process of its failure domain; its control process is cut off with it.
    """

    async def test() -> None:
        async with run_cluster(max_single_holder_backends=4, leader=leader) as cluster:
            assert cluster.holders()[leader] == ["a1", "a2", "b1", "b2"]
            cluster.cut_domain("b")
            await anyio.sleep(4.0)
            holders = cluster.holders()
            assert sorted(key for key in holders["e3"] if cluster.reaches("e3", key)) == [
                "b1",
                "b2",
            ]
            answers: list[PoolAnswer] = []
            await submit_all(cluster, ["e1", "e3"], 1, answers)
            assert [answer.code for answer in answers] == [ResultCode.COMPLETE] * 2
            # Only a holder from before the partition has backend servers of the other side.
            assert leader == "e3" or holders["e3"] == ["b1", "b2"]
            cluster.heal()
            await anyio.sleep(5.0)
            held = sorted(cluster.holders().values(), key=len)
            assert held == [[], [], ["a1", "a2", "b1", "b2"]]
            assert not started_twice(cluster)

    run_on_virtual_time(test)


def test_a_lost_holder_of_a_small_pool_is_followed():
    """Guards against a pool without a holder after the only one is lost."""

    async def test() -> None:
        async with run_cluster(max_single_holder_backends=4) as cluster:
            (lost,) = [key for key, held in cluster.holders().items() if held]
            cluster.entry_by_id[lost].kill()
            await anyio.sleep(2.0)
            held = sorted(cluster.holders().values(), key=len)
            assert held == [[], ["a1", "a2", "b1", "b2"]]

    run_on_virtual_time(test)


def test_a_backend_server_whose_life_is_over_is_taken_over_once():
    """Guards against endless calls to an address that another life has taken."""

    async def test() -> None:
        async with run_cluster(max_single_holder_backends=4) as cluster:
            taken = cluster.entry_by_id["e1"].counters.get("pool.backends_taken")
            cluster.backend_by_id["a1"].is_other_incarnation = True
            cluster.silent.add("a1")
            await anyio.sleep(3.0)
            assert cluster.holders()["e1"] == ["a2", "b1", "b2"]
            assert cluster.entry_by_id["e1"].counters.get("pool.backends_taken") == taken

    run_on_virtual_time(test)


def test_a_job_waits_for_a_holder_while_backend_servers_change_hands():
    """Guards against refusals in the moment between two holders."""

    async def test() -> None:
        async with run_cluster(max_single_holder_backends=4) as cluster:
            cluster.entry_by_id["e1"].kill()
            # The others have just noticed, and none of them has claimed anything yet.
            while len(cluster.entry_by_id["e2"].members.live()) > 2:  # noqa: ASYNC110
                await anyio.sleep(0.01)
            assert not any(cluster.holders().values())
            answers: list[PoolAnswer] = []
            await submit_all(cluster, ["e2", "e3"], 1, answers)
            assert [answer.code for answer in answers] == [ResultCode.COMPLETE] * 2

    run_on_virtual_time(test)


def test_a_caller_that_leaves_while_its_job_waits_for_a_holder_gets_no_run():
    """Guards against work for callers that are gone."""

    async def test() -> None:
        async with run_cluster(max_single_holder_backends=4) as cluster:
            cluster.entry_by_id["e1"].kill()
            while len(cluster.entry_by_id["e2"].members.live()) > 2:  # noqa: ASYNC110
                await anyio.sleep(0.01)
            answers: list[PoolAnswer] = []
            async with anyio.create_task_group() as group:
                group.start_soon(submit_all, cluster, ["e2"], 1, answers)
                await anyio.sleep(0.05)
                cluster.entry_by_id["e2"].service.cancel(make_job(1).job_id)
            assert answers[0].code == ResultCode.CANCELLED_BEFORE_START
            await anyio.sleep(1.0)
            assert not any(backend.starts for backend in cluster.backend_by_id.values())

    run_on_virtual_time(test)


def test_a_job_without_any_holder_is_refused_before_its_deadline():
    """Guards against callers that are kept waiting for nothing."""

    async def test() -> None:
        async with run_cluster(max_single_holder_backends=4) as cluster:
            cluster.silent.update(cluster.backend_by_id)
            for backend in cluster.backend_by_id.values():
                backend.is_other_incarnation = True
            await anyio.sleep(1.0)
            began_at = anyio.current_time()
            answers: list[PoolAnswer] = []
            await submit_all(cluster, ["e2"], 1, answers)
            assert answers[0].code == ResultCode.NO_BACKEND
            assert anyio.current_time() - began_at < 1.1

    run_on_virtual_time(test)


def test_a_job_that_fits_no_backend_server_is_refused_at_once():
    """Guards against jobs that can never run and wait for their deadline."""

    async def test() -> None:
        async with run_cluster(max_single_holder_backends=4) as cluster:
            began_at = anyio.current_time()
            request = attrs.evolve(make_job(1), room=Room(999_000, 64))
            answer = await cluster.entry_by_id["e2"].service.submit(request)
            assert answer.code == ResultCode.CANNOT_RUN
            assert anyio.current_time() - began_at < 0.1

    run_on_virtual_time(test)


def test_a_cut_off_process_does_not_claim_what_it_heard_of_a_moment_ago():
    """Guards against a claim on the other side when its processes fall silent one by one.

    Such a claim fenced off the holder of all failure domains when the partition ended.
    """

    async def test() -> None:
        async with run_cluster(max_single_holder_backends=4) as cluster:
            # The last status of e1 is older than that of e2 when the partition begins.
            cluster.network.cuts.add(("e1", "e3"))
            await anyio.sleep(0.3)
            cluster.cut_domain("b")
            await anyio.sleep(4.0)
            assert cluster.holders()["e3"] == ["b1", "b2"]
            cluster.heal()
            await anyio.sleep(5.0)
            # Only the claim on the failure domain that was cut off is fenced off. Both sides
            # had two backend servers, so either of their holders may be left.
            assert cluster.entry_by_id["e1"].counters.get("claims.fenced") <= 1
            held = sorted(cluster.holders().values(), key=len)
            assert held == [[], [], ["a1", "a2", "b1", "b2"]]

    run_on_virtual_time(test)
