"""Several entry processes: claims, handover, partitions, and no second run of a task."""

from __future__ import annotations

from functools import partial

import anyio
import attrs
import pytest
from pool_cluster import ALL_DOMAINS_CORES, ONE_DOMAIN_CORES, Cluster, run_cluster
from pool_harness import FakeBackend, make_announcement, make_job, run_on_virtual_time

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
    """Guards against backend servers with no or two holders after the processes start."""

    async def test() -> None:
        async with run_cluster() as cluster:
            assert cluster.holders() == {"e1": ["a1", "a2"], "e2": [], "e3": ["b1", "b2"]}
            answers: list[PoolAnswer] = []
            await submit_all(cluster, ["e1", "e2", "e3"], 1, answers)
            assert [answer.code for answer in answers] == [ResultCode.COMPLETE] * 3

    run_on_virtual_time(test)


def test_an_unreachable_holder_is_replaced_and_its_jobs_are_reported_as_unknown():
    """Guards against leases that stay with a killed process, and open jobs reported as not run."""

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


def test_a_job_that_was_never_sent_to_its_scheduling_process_is_refused():
    """Guards against an unknown outcome of a job of which it is certain that it has not run."""

    async def test() -> None:
        async with run_cluster() as cluster:
            answers: list[PoolAnswer] = []
            cluster.network.blocked_ids.add("e1")
            async with anyio.create_task_group() as group:
                group.start_soon(submit_all, cluster, ["e2"], 1, answers)
                await anyio.sleep(0.05)
                cluster.network.isolate("e1")
            assert answers[0].code == ResultCode.NO_BACKEND
            assert answers[0].retry_after_s
            e2 = cluster.entry_by_id["e2"]
            assert e2.counters.get("jobs.not_passed_on")
            assert not e2.counters.get("jobs.scheduler_lost")

    run_on_virtual_time(test)


def test_a_failure_domain_without_processes_is_held_by_another_one():
    """Guards against idle backend servers after all entry processes of their domain were killed."""

    async def test() -> None:
        async with run_cluster() as cluster:
            cluster.entry_by_id["e3"].kill()
            await anyio.sleep(3.0)
            holders = cluster.holders()
            assert sorted(holders["e1"] + holders["e2"]) == ["a1", "a2", "b1", "b2"]

    run_on_virtual_time(test)


def test_a_draining_holder_hands_over_and_every_job_is_complete_or_refused():
    """Guards against jobs that fail, or run twice at once, while a holder shuts down."""

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


def test_a_holder_cut_off_from_its_peers_loses_its_leases_only_once():
    """Guards against two holders that fence each other off in turn.

    The old one, cut off from its peers, still reaches backend servers that a peer has acquired.
    """

    async def test() -> None:
        async with run_cluster() as cluster:
            cluster.network.isolate("e1")
            await anyio.sleep(6.0)
            holders = cluster.holders()
            assert holders["e1"] == []
            assert holders["e2"] == ["a1", "a2"]
            fenced = [entry.counters.get("claims.fenced") for entry in cluster.entry_by_id.values()]
            assert fenced == [1, 0, 0]
            cluster.network.dropped_pairs.clear()
            await anyio.sleep(3.0)
            assert cluster.holders()["e2"] == ["a1", "a2"]

    run_on_virtual_time(test)


def test_a_process_cut_off_from_its_peers_makes_no_claims():
    """Guards against a process that, without contact to its peers, acquires what it reaches."""

    async def test() -> None:
        async with run_cluster() as cluster:
            cluster.network.isolate("e2")
            await anyio.sleep(6.0)
            assert cluster.holders() == {"e1": ["a1", "a2"], "e2": [], "e3": ["b1", "b2"]}
            fenced = [entry.counters.get("claims.fenced") for entry in cluster.entry_by_id.values()]
            assert fenced == [0, 0, 0]

    run_on_virtual_time(test)


def test_a_job_of_an_unreachable_entry_process_is_stopped_before_it_can_be_repeated():
    """Guards against two runs of a task at once when a caller repeats a job elsewhere."""

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
    """Guards against jobs that wait in one failure domain while others have free resources."""

    async def test() -> None:
        async with run_cluster(cores=ALL_DOMAINS_CORES) as cluster:
            held = sorted(cluster.holders().values(), key=len)
            assert held == [[], [], ["a1", "a2", "b1", "b2"]]
            answers: list[PoolAnswer] = []
            await submit_all(cluster, ["e1", "e2", "e3"], 1, answers)
            assert [answer.code for answer in answers] == [ResultCode.COMPLETE] * 3

    run_on_virtual_time(test)


@pytest.mark.parametrize("leader", ["e1", "e3"])
def test_both_sides_of_a_partition_serve_and_one_holder_is_left_after_it(leader: str):
    """Guards against a side that serves nothing during a partition or fences off the other later.

    e3 is the only process of its failure domain; its control process is cut off with it.
    """

    async def test() -> None:
        async with run_cluster(cores=ALL_DOMAINS_CORES, leader=leader) as cluster:
            assert cluster.holders()[leader] == ["a1", "a2", "b1", "b2"]
            cluster.partition("b")
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


def test_an_unreachable_holder_of_a_small_pool_is_replaced():
    """Guards against a pool without a holder after the only one was killed."""

    async def test() -> None:
        async with run_cluster(cores=ALL_DOMAINS_CORES) as cluster:
            (killed,) = [key for key, held in cluster.holders().items() if held]
            cluster.entry_by_id[killed].kill()
            await anyio.sleep(2.0)
            held = sorted(cluster.holders().values(), key=len)
            assert held == [[], ["a1", "a2", "b1", "b2"]]

    run_on_virtual_time(test)


def test_a_backend_server_whose_incarnation_has_ended_is_not_acquired_again():
    """Guards against endless requests to an address at which another incarnation answers."""

    async def test() -> None:
        async with run_cluster(cores=ALL_DOMAINS_CORES) as cluster:
            taken = cluster.entry_by_id["e1"].counters.get("pool.backends_taken")
            cluster.backend_by_id["a1"].is_other_incarnation = True
            cluster.unannounced.add("a1")
            await anyio.sleep(3.0)
            assert cluster.holders()["e1"] == ["a2", "b1", "b2"]
            assert cluster.entry_by_id["e1"].counters.get("pool.backends_taken") == taken

    run_on_virtual_time(test)


def test_a_job_waits_for_a_holder_while_backend_servers_change_their_holder():
    """Guards against refusals between the loss of a holder and the claim of the next one."""

    async def test() -> None:
        async with run_cluster(cores=ALL_DOMAINS_CORES) as cluster:
            cluster.entry_by_id["e1"].kill()
            # The others have just detected it, and neither has made a claim yet.
            while "e1" in cluster.entry_by_id["e2"].members.live_entries():  # noqa: ASYNC110
                await anyio.sleep(0.01)
            assert not any(cluster.holders().values())
            answers: list[PoolAnswer] = []
            await submit_all(cluster, ["e2", "e3"], 1, answers)
            assert [answer.code for answer in answers] == [ResultCode.COMPLETE] * 2

    run_on_virtual_time(test)


def test_a_job_cancelled_while_it_waits_for_a_holder_is_never_started():
    """Guards against starts for a caller that disconnected while there was no holder."""

    async def test() -> None:
        async with run_cluster(cores=ALL_DOMAINS_CORES) as cluster:
            cluster.entry_by_id["e1"].kill()
            while "e1" in cluster.entry_by_id["e2"].members.live_entries():  # noqa: ASYNC110
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
    """Guards against callers that wait until their deadline although there is no holder."""

    async def test() -> None:
        async with run_cluster(cores=ALL_DOMAINS_CORES) as cluster:
            cluster.unannounced.update(cluster.backend_by_id)
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
    """Guards against jobs too large for every backend server that wait until their deadline."""

    async def test() -> None:
        async with run_cluster(cores=ALL_DOMAINS_CORES) as cluster:
            began_at = anyio.current_time()
            request = attrs.evolve(make_job(1), room=Room(999_000, 64))
            answer = await cluster.entry_by_id["e2"].service.submit(request)
            assert answer.code == ResultCode.CANNOT_RUN
            assert anyio.current_time() - began_at < 0.1

    run_on_virtual_time(test)


def test_a_process_cut_off_with_its_failure_domain_claims_no_other_one():
    """Guards against a claim on the other side while only some of its processes seem unreachable.

    Their last status is not equally old when a partition begins. Such a claim fenced off the
    holder of all failure domains when the partition ended.
    """

    async def test() -> None:
        async with run_cluster(cores=ALL_DOMAINS_CORES) as cluster:
            # When the partition begins, the last status from e1 is older than the one from e2.
            cluster.network.dropped_pairs.add(("e1", "e3"))
            await anyio.sleep(0.3)
            cluster.partition("b")
            await anyio.sleep(4.0)
            assert cluster.holders()["e3"] == ["b1", "b2"]
            cluster.heal()
            await anyio.sleep(5.0)
            # At most the claim on the failure domain that was cut off is fenced off. Each side
            # had two backend servers, so either holder may become the single one.
            assert cluster.entry_by_id["e1"].counters.get("claims.fenced") <= 1
            held = sorted(cluster.holders().values(), key=len)
            assert held == [[], [], ["a1", "a2", "b1", "b2"]]

    run_on_virtual_time(test)


@pytest.mark.parametrize(
    ("entries", "cut_s", "most_fenced"),
    [
        # One holder of all: at most its claim on the failure domain that was cut off is fenced off.
        ("abc", 2.0, 1),
        ("abc", 2.5, 1),
        # Each failure domain has a holder, which keeps its claim.
        ("aabbcc", 4.0, 0),
    ],
)
def test_no_sound_holder_is_fenced_off_as_a_partition_ends(
    entries: str, cut_s: float, most_fenced: int
):
    """Guards against claims before the status of the holders on the other side arrives.

    Processes of both sides heard the announcements of backend servers first, claimed them, and
    fenced off their sound holders, whose jobs were lost.
    """

    async def test(phase_s: float) -> None:
        async with run_cluster(
            cores=2 * ALL_DOMAINS_CORES if most_fenced else ONE_DOMAIN_CORES,
            domains=[(f"e{number}", domain) for number, domain in enumerate(entries, 1)],
            backend_ids=("a1", "a2", "b1", "b2", "c1", "c2"),
            control_ids=("control-a", "control-b", "control-c"),
        ) as cluster:
            await anyio.sleep(2.0 + phase_s)
            cluster.partition("c")
            await anyio.sleep(cut_s)
            cluster.heal()
            counters = [entry.counters for entry in cluster.entry_by_id.values()]
            before = [item.get("claims.fenced") for item in counters]
            await anyio.sleep(5.0)
            fenced = [
                item.get("claims.fenced") - count
                for item, count in zip(counters, before, strict=True)
            ]
            assert max(fenced) <= most_fenced
            assert sum(map(len, cluster.holders().values())) == 6

    for step in range(6):
        run_on_virtual_time(partial(test, 0.15 * step))


def test_a_process_that_joins_does_not_take_over_from_a_live_holder():
    """Guards against running work that is given up because a process was added.

    The holder learns of the new process only with its next answer from a control process.
    """

    async def test() -> None:
        async with run_cluster(cores=ALL_DOMAINS_CORES) as cluster:
            for number in range(6):
                await anyio.sleep(0.37)
                await cluster.join(f"new-{number}", "a")
                await anyio.sleep(3.0)
                assert cluster.holders()["e1"] == ["a1", "a2", "b1", "b2"]
            assert cluster.entry_by_id["e1"].counters.get("claims.fenced") == 0

    run_on_virtual_time(test)


def test_restarted_control_and_entry_processes_leave_the_holder_alone():
    """Guards against the same when no control process knows the holder any more."""

    async def test() -> None:
        async with run_cluster(cores=ALL_DOMAINS_CORES) as cluster:
            cluster.entry_by_id["e2"].kill()
            cluster.forget_entries()
            await cluster.restart("e2")
            await anyio.sleep(4.0)
            assert cluster.holders()["e1"] == ["a1", "a2", "b1", "b2"]
            assert cluster.entry_by_id["e1"].counters.get("claims.fenced") == 0

    run_on_virtual_time(test)


def test_restarted_control_processes_do_not_part_the_entry_processes():
    """Guards against holders that are taken for lost as their statuses go to nobody."""

    async def test() -> None:
        async with run_cluster() as cluster:
            holders, e2 = cluster.holders(), cluster.entry_by_id["e2"]
            cluster.forget_entries()
            for _ in range(60):
                await anyio.sleep(0.1)
                assert {"e1", "e2", "e3"} <= e2.members.summaries().keys()
                assert set(e2.members.live_entries()) >= {"e1"}
            assert cluster.holders() == holders

    run_on_virtual_time(test)


def test_a_suspended_process_may_not_start_tasks_before_its_next_check():
    """Guards against starts just after a suspension, which the monotonic clock does not count."""

    async def test() -> None:
        async with run_cluster() as cluster:
            claimer = cluster.entry_by_id["e1"].claimer
            assert claimer.is_current()
            claimer._suspended_s = lambda: 2.0
            assert not claimer.is_current()
            await anyio.sleep(0.15)
            assert claimer.is_current()
            assert cluster.entry_by_id["e1"].counters.get("claims.pauses") == 1

    run_on_virtual_time(test)


def test_new_backend_servers_do_not_delay_a_takeover():
    """Guards against a share without a holder for as long as backend servers are added."""

    async def test() -> None:
        async with run_cluster(cores=1.0) as cluster:
            cluster.entry_by_id["e1"].kill()
            # The first candidate is lost, too, so that the second one has to wait for it.
            cluster.entry_by_id["e3"].kill()
            for number in range(10, 40):
                backend = cluster.backend_by_id[f"b{number}"] = FakeBackend()
                backend.group = cluster.network.group
                announcement = attrs.evolve(make_announcement(f"b{number}"), failure_domain="b")
                cluster.relay_by_id["control-b"].announce(announcement)
                await anyio.sleep(0.06)
            assert {"a1", "a2"} <= set(cluster.holders()["e2"])

    run_on_virtual_time(test)


def test_two_claims_in_the_same_second_have_different_fencing_tokens():
    """Guards against two holders of one backend server, neither of which is fenced off."""

    async def test() -> None:
        async with run_cluster(cores=ALL_DOMAINS_CORES) as cluster:
            # The candidates hear control processes, but not each other. The virtual clock
            # begins at a whole second, and both claim 1.0 s to 1.5 s after the kill.
            cluster.network.dropped_pairs |= {("e2", "e3"), ("e3", "e2")}
            await anyio.sleep(3.05 - anyio.current_time())
            cluster.entry_by_id["e1"].kill()
            shared = 0
            for _ in range(500):
                await anyio.sleep(0.01)
                one, other = (cluster.entry_by_id[key].scheduler.held_by_id for key in ("e2", "e3"))
                for backend_id in one.keys() & other.keys():
                    shared += 1
                    assert one[backend_id].token != other[backend_id].token
            assert shared

    run_on_virtual_time(test)


def test_a_process_that_hears_distant_holders_by_chance_leaves_their_shares_alone():
    """Guards against a claim on a share whose holder sends its status to holders only."""

    async def test() -> None:
        async with run_cluster() as cluster:
            await cluster.join("e4", "a")
            await anyio.sleep(1.0)
            cluster.entry_by_id["e4"].members._start_probe("e3")
            await anyio.sleep(6.0)
            assert cluster.holders()["e3"] == ["b1", "b2"]
            # The same holds just after it has become a holder itself.
            for entry_id in ("e1", "e2"):
                cluster.entry_by_id[entry_id].kill()
            await anyio.sleep(4.0)
            assert cluster.holders() == {"e3": ["b1", "b2"], "e4": ["a1", "a2"]}
            assert cluster.entry_by_id["e3"].counters.get("claims.fenced") == 0

    run_on_virtual_time(test)
