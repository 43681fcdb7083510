"""What the other processes know of tasks that crash backend servers."""

from __future__ import annotations

import itertools
from collections.abc import Callable

import anyio
import attrs
from pool_cluster import Cluster, run_cluster
from pool_harness import DOWN_S, FakeBackend, make_announcement, make_job, run_on_virtual_time

from apricotpoint._core.codes import ResultCode
from apricotpoint._pool.decisions.shares import BACKENDS_PER_CORE
from apricotpoint._pool.decisions.verdicts import Evidence, Verdict
from apricotpoint._pool.holders.crashes import RETENTION_S, SETTLING_S, CrashHistory
from apricotpoint._pool.holders.crashreports import FORWARDING_CONTROL_PROCESSES
from apricotpoint._pool.runs.backendclient import RunKey
from apricotpoint._wire.pool import LostRun, LostRunChanges, PoolAnswer

BACKEND_IDS = ("a1", "a2", "a3", "a4", "b1", "b2", "b3", "b4")
DEADLY = make_job(1, deadline_s=30.0)
DEADLY_TASK = f"{DEADLY.job_id}.0.0.0"


def run_deadly_cluster():  # noqa: ANN201
    """Run a cluster in which the process e1 holds all backend servers."""
    return run_cluster(cores=len(BACKEND_IDS) / BACKENDS_PER_CORE, backend_ids=BACKEND_IDS)


def prepare(cluster: Cluster) -> None:
    for backend in cluster.backend_by_id.values():
        backend.deadly_tasks = {DEADLY_TASK}


def starts(cluster: Cluster) -> int:
    return sum(len(backend.crashes) for backend in cluster.backend_by_id.values())


async def submit(cluster: Cluster, entry_id: str) -> PoolAnswer:
    """Submit the job again and again, as its caller does while its outcome is not known."""
    while True:
        answer = await cluster.entry_by_id[entry_id].service.submit(attrs.evolve(DEADLY))
        if answer.code in (ResultCode.COMPLETE, ResultCode.TASKS_FAILED):
            return answer
        await anyio.sleep(1.3)


def test_crashes_are_remembered_when_the_scheduling_process_is_killed():
    """Guards against a task that crashes more backend servers after each kill of its scheduler."""

    async def test() -> None:
        async with run_deadly_cluster() as cluster:
            prepare(cluster)
            answers: list[PoolAnswer] = []

            async def call() -> None:
                answers.append(await submit(cluster, "e3"))

            cluster.network.group.start_soon(call)
            for entry_id in ("e1", "e2"):
                before = starts(cluster)
                while starts(cluster) == before:  # noqa: ASYNC110  # No event marks a start.
                    await anyio.sleep(0.01)
                # The loss is known after the lease has expired.
                await anyio.sleep(1.5)
                cluster.entry_by_id[entry_id].kill()
            await anyio.sleep(30.0)
            assert [answer.code for answer in answers] == [ResultCode.TASKS_FAILED]
            # Two crashes are enough; the first kill hides the one that was not known yet.
            assert starts(cluster) <= 3

    run_on_virtual_time(test)


def test_a_job_that_was_given_up_does_not_start_at_another_process():
    """Guards against a count that begins anew when the job moves to another process."""

    async def test() -> None:
        async with run_deadly_cluster() as cluster:
            prepare(cluster)
            assert (await submit(cluster, "e3")).code == ResultCode.TASKS_FAILED
            assert starts(cluster) == 2
            cluster.entry_by_id["e1"].kill()
            await anyio.sleep(3.0)
            assert (await submit(cluster, "e3")).code == ResultCode.TASKS_FAILED
            assert starts(cluster) == 2

    run_on_virtual_time(test)


def test_a_restarted_process_learns_of_earlier_crashes():
    """Guards against a new holder that was down when the crashes were reported."""

    async def test() -> None:
        async with run_deadly_cluster() as cluster:
            prepare(cluster)
            call = cluster.network.group.start_soon
            call(submit, cluster, "e2")
            while not starts(cluster):  # noqa: ASYNC110  # No event marks a start.
                await anyio.sleep(0.01)
            cluster.entry_by_id["e3"].kill()
            assert (await submit(cluster, "e2")).code == ResultCode.TASKS_FAILED
            # The control processes still know it, and get its hello with the same id.
            await cluster.restart("e3")
            await anyio.sleep(1.0)
            for entry_id in ("e1", "e2"):
                cluster.entry_by_id[entry_id].kill()
            await anyio.sleep(5.0)
            assert (await submit(cluster, "e3")).code == ResultCode.TASKS_FAILED
            assert starts(cluster) == 2

    run_on_virtual_time(test)


def test_backend_servers_that_do_not_come_back_count_as_crashed():
    """Guards against crashes that are forgotten because no other incarnation shows them."""

    async def test() -> None:
        async with run_deadly_cluster() as cluster:
            prepare(cluster)
            for backend_id, backend in cluster.backend_by_id.items():
                backend.crash = lose_for_good(cluster, backend_id)  # type: ignore[method-assign]
            job = attrs.evolve(DEADLY, deadline_s=100.0)
            answer = await cluster.entry_by_id["e1"].service.submit(job)
            assert answer.code == ResultCode.TASKS_FAILED
            assert starts(cluster) == 2

    run_on_virtual_time(test)


def lose_for_good(cluster: Cluster, backend_id: str) -> Callable[[RunKey], None]:
    """Return a crash after which nothing is heard of the backend server any more."""
    backend = cluster.backend_by_id[backend_id]

    def crash(cause: RunKey) -> None:
        backend.crashes.append(cause)
        backend.active_run_by_key.clear()
        backend.is_down = True
        cluster.unannounced.add(backend_id)

    return crash


def test_long_cuts_are_not_counted_as_crashes():
    """Guards against a sound task that is given up after cuts longer than any time-out."""

    async def test() -> None:
        async with run_deadly_cluster() as cluster:
            for backend in cluster.backend_by_id.values():
                backend.work_s = 1.0
            entry = cluster.entry_by_id["e1"]
            job = make_job(2, work_s=1.0, deadline_s=100.0)
            answers: list[PoolAnswer] = []

            async def call() -> None:
                answers.append(await entry.service.submit(job))

            cluster.network.group.start_soon(call)
            for _ in range(2):
                await cut_off_active_backend(cluster)
            await anyio.sleep(13.0)
            assert [answer.code for answer in answers] == [ResultCode.COMPLETE]
            # The announcements of those that were cut off have expired.
            assert not cluster.unannounced & entry.scheduler.held_by_id.keys()
            assert entry.scheduler.crashes.verdict(f"{job.job_id}.0.0.0") is Verdict.SUSPECT
            for backend_id in cluster.unannounced:
                cluster.backend_by_id[backend_id].unreachable = False
            cluster.unannounced.clear()
            await anyio.sleep(40.0)
            assert not entry.scheduler.crashes.rows()

    run_on_virtual_time(test)


async def cut_off_active_backend(cluster: Cluster) -> None:
    """Wait until a backend server that is not cut off runs a task, and cut it off."""
    while True:
        await anyio.sleep(0.1)
        for backend_id, backend in cluster.backend_by_id.items():
            if backend.active_run_by_key and not backend.unreachable:
                backend.unreachable = True
                cluster.unannounced.add(backend_id)
                return


def test_reports_that_were_lost_in_a_partition_are_exchanged_afterwards():
    """Guards against a job that was given up and starts again on the other side of a partition."""

    async def test() -> None:
        async with run_deadly_cluster() as cluster:
            prepare(cluster)
            cluster.network.isolate("e3")
            assert (await submit(cluster, "e2")).code == ResultCode.TASKS_FAILED
            await anyio.sleep(1.0)
            cluster.heal()
            # The control processes do not know that e3 has missed anything.
            for relay in cluster.relay_by_id.values():
                relay._entry_by_id["e3"].last_contact_at = anyio.current_time()
            await anyio.sleep(5.0)
            for entry_id in ("e1", "e2"):
                cluster.entry_by_id[entry_id].kill()
            await anyio.sleep(5.0)
            assert (await submit(cluster, "e3")).code == ResultCode.TASKS_FAILED
            assert starts(cluster) == 2

    run_on_virtual_time(test)


def test_restarted_control_processes_learn_of_earlier_crashes():
    """Guards against a control process that has forgotten the crashes and tells nobody of them."""

    async def test() -> None:
        async with run_deadly_cluster() as cluster:
            prepare(cluster)
            assert (await submit(cluster, "e2")).code == ResultCode.TASKS_FAILED
            for relay in cluster.relay_by_id.values():
                relay._crashes._retain(lambda *_: False)
            await anyio.sleep(5.0)
            for relay in cluster.relay_by_id.values():
                rows = relay._crashes.rows(Evidence.CRASHED)
                assert {row.task for row in rows} == {DEADLY_TASK}

    run_on_virtual_time(test)


def test_a_late_report_casts_no_suspicion_on_neighbours_of_a_convicted_task():
    """Guards against a sound task that is held back for a crash which is already explained."""
    crashes = CrashHistory(now=lambda: 0.0)
    for backend_id in ("a1", "a2"):
        crashes.merge(LostRunChanges([make_crash(DEADLY_TASK, backend_id, alone=True)]))
    assert crashes.verdict(DEADLY_TASK) is Verdict.GIVEN_UP
    crashes.merge(LostRunChanges([make_crash("neighbour", "a1", alone=False)]))
    assert crashes.verdict("neighbour") is Verdict.CLEAR
    crashes.merge(LostRunChanges([make_crash("neighbour", "a3", alone=False)]))
    assert crashes.verdict("neighbour") is Verdict.SUSPECT


def make_crash(task: str, backend_id: str, *, alone: bool) -> LostRun:
    return LostRun(task, backend_id, 1, f"{backend_id}.example:1", int(Evidence.CRASHED), alone)


def test_the_same_reports_in_another_order_make_the_same_digest():
    """Guards against processes that send each other all rows with each hello, for ever."""
    rows = [
        make_crash(task, backend_id, alone=backend_id != "a1")
        for task, backend_id in [("t1", "a1"), ("t2", "a1"), ("t1", "a2"), ("t2", "a3")]
    ]
    digests = set()
    for order in itertools.permutations(rows):
        now = 0.0
        crashes = CrashHistory(now=lambda: now)  # noqa: B023
        for row in order:
            crashes.merge(LostRunChanges([row]))
        assert crashes.digest() is None
        now = SETTLING_S
        digests.add(crashes.digest())
    assert len(digests) == 1


def test_what_an_announcement_shows_is_reported_by_nobody():
    """Guards against a report by each of hundreds of processes, to all others, for one crash."""
    crashes, reports = CrashHistory(now=lambda: 0.0), []
    crashes.on_change = reports.append
    refused = attrs.evolve(
        make_crash(DEADLY_TASK, "a1", alone=True), evidence=int(Evidence.REFUSED)
    )
    crashes.merge(LostRunChanges([refused]))
    successor = attrs.evolve(make_announcement("a1.1"), address=refused.address, born_ms=2)
    crashes.process_announcement(successor)
    assert crashes.crash_count(DEADLY_TASK) == 1
    assert reports == []


def test_evidence_that_grows_makes_a_report_young_again():
    """Guards against a crash that is forgotten by the age of an earlier report of the loss."""
    now = 0.0
    crashes = CrashHistory(now=lambda: now)
    old = attrs.evolve(
        make_crash(DEADLY_TASK, "a1", alone=True),
        evidence=int(Evidence.REFUSED),
        age_s=RETENTION_S - 1,
    )
    crashes.merge(LostRunChanges([old]))
    crashes.record_gone("a1")
    now = 2.0
    crashes.expire()
    assert crashes.crash_count(DEADLY_TASK) == 1


def test_a_crash_costs_each_process_a_few_messages():
    """Guards against reports that grow with the square of the number of processes.

    Replays the load pattern of hundreds of processes that all hear the announcement of the next
    incarnation: each change passes through two control processes to everyone, once.
    """

    async def test() -> None:
        domains = [(f"e{number}", "a") for number in range(1, 25)]
        cores = len(BACKEND_IDS) / BACKENDS_PER_CORE
        async with run_cluster(cores=cores, domains=domains, backend_ids=BACKEND_IDS) as cluster:
            prepare(cluster)
            for backend_id, backend in list(cluster.backend_by_id.items()):
                backend.crash = come_back_later(cluster, backend_id)  # type: ignore[method-assign]
            sent: list[object] = []
            count_messages(cluster, sent)
            job = make_job(1, deadline_s=30.0)
            answer = await cluster.entry_by_id["e1"].service.submit(job)
            assert answer.code == ResultCode.TASKS_FAILED
            await anyio.sleep(5.0)
            # Each change goes to some control processes, and each of these passes it on to all.
            # What the announcement shows is no change.
            changes = 2 * starts(cluster)
            assert len(sent) <= changes * FORWARDING_CONTROL_PROCESSES * (1 + len(domains))

    run_on_virtual_time(test)


def come_back_later(cluster: Cluster, backend_id: str) -> Callable[[RunKey], None]:
    """Return a crash after which another incarnation announces itself at the same address."""
    crash = lose_for_good(cluster, backend_id)

    async def come_back() -> None:
        await anyio.sleep(DOWN_S)
        cluster.backend_by_id[f"{backend_id}.1"] = successor = FakeBackend()
        successor.group, successor.born_ms = cluster.network.group, 1

    def crash_and_come_back(cause: RunKey) -> None:
        crash(cause)
        cluster.network.group.start_soon(come_back)

    return crash_and_come_back


def count_messages(cluster: Cluster, sent: list[object]) -> None:
    """Append each message about lost runs that a process sends."""
    for transport in cluster.network.transport_by_id.values():
        send = transport.send

        def record(
            peer_id: str, message: object, *, reliable: bool = False, send: object = send
        ) -> bool:
            if isinstance(message, LostRunChanges):
                sent.append(message)
            return send(peer_id, message, reliable=reliable)  # type: ignore[operator]

        transport.send = record  # type: ignore[method-assign]
