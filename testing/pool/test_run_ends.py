"""Runs that are over when the callers of a lost process send their jobs again."""

from __future__ import annotations

import anyio
import pytest
from pool_cluster import Cluster, Entry, run_cluster
from pool_harness import make_job, run_on_virtual_time

from apricotpoint._wire.pool import PoolAnswer, PoolJob

# Callers whose connection breaks send their job again after this time.
RESEND_S = 1.3


async def submit(entry: Entry, request: PoolJob, answers: list[PoolAnswer]) -> None:
    answers.append(await entry.service.submit(request))


def start_job(cluster: Cluster, entry_id: str, request: PoolJob) -> None:
    """Submit a job that runs for long at a process, in its task group, so that it ends with it."""
    for backend in cluster.backend_by_id.values():
        backend.work_s = 9.0
    entry = cluster.entry_by_id[entry_id]

    async def run() -> None:
        await submit(entry, request, [])

    cluster.network.start(entry_id, run)


def running_tasks(cluster: Cluster) -> list[str]:
    """Return the tasks of the runs that have not ended; those whose lease has lapsed have."""
    return [
        key.task
        for backend in cluster.backend_by_id.values()
        if anyio.current_time() < backend.lease_until
        for key in backend.active_run_by_key
    ]


@pytest.mark.parametrize("later_s", [0.2, 0.5, 0.8, 0.9])
def test_a_run_is_over_when_its_origin_and_then_its_scheduler_are_killed(later_s: float):
    """Guards against a lease that the scheduler renewed until it was killed, after the origin."""

    async def test() -> None:
        async with run_cluster() as cluster:
            cluster.network.sends_heartbeats = True
            start_job(cluster, "e2", make_job(1, work_s=9.0, deadline_s=60.0))
            await anyio.sleep(1.0)
            assert running_tasks(cluster)
            cluster.entry_by_id["e2"].kill()
            await anyio.sleep(later_s)
            cluster.entry_by_id["e1"].kill()
            await anyio.sleep(RESEND_S - later_s)
            assert not running_tasks(cluster)

    run_on_virtual_time(test)


def test_the_runs_of_other_jobs_go_on_when_an_origin_is_lost():
    """Guards against a lease that lapses before the jobs of a lost origin have been stopped."""

    async def test() -> None:
        async with run_cluster() as cluster:
            cluster.network.sends_heartbeats = True
            for number in range(1, 5):
                origin = "e2" if number % 2 else "e1"
                start_job(cluster, origin, make_job(number, work_s=9.0, deadline_s=60.0))
            await anyio.sleep(1.0)
            assert len(running_tasks(cluster)) == 4
            cluster.entry_by_id["e2"].kill()
            await anyio.sleep(2.0)
            started = sum(len(backend.starts) for backend in cluster.backend_by_id.values())
            assert len(running_tasks(cluster)) == 2
            assert started == 4

    run_on_virtual_time(test)


@pytest.mark.parametrize("later_s", [0.2, 0.8])
def test_a_forwarded_run_is_over_when_its_origin_and_then_the_forwarder_are_killed(
    later_s: float,
):
    """Guards against a scheduler that knows only the process that forwarded the job to it."""

    async def test() -> None:
        async with run_cluster() as cluster:
            cluster.network.sends_heartbeats = True
            request = make_job(1, work_s=9.0, deadline_s=60.0)
            for number in range(2, 6):
                start_job(cluster, "e1", make_job(number, work_s=9.0, deadline_s=60.0))
            await anyio.sleep(0.3)
            start_job(cluster, "e2", request)
            await anyio.sleep(0.5)
            assert cluster.entry_by_id["e1"].counters.get("jobs.forwarded") == 1
            assert f"{request.job_id}.0.0.0" in running_tasks(cluster)
            cluster.entry_by_id["e2"].kill()
            await anyio.sleep(later_s)
            cluster.entry_by_id["e1"].kill()
            await anyio.sleep(RESEND_S - later_s)
            assert f"{request.job_id}.0.0.0" not in running_tasks(cluster)

    run_on_virtual_time(test)


def test_messages_that_were_held_up_do_not_make_a_killed_origin_look_alive():
    """Guards against a contact that counts from the arrival of a message, not from its sending."""

    async def test() -> None:
        async with run_cluster() as cluster:
            cluster.network.sends_heartbeats = True
            start_job(cluster, "e2", make_job(1, work_s=9.0, deadline_s=60.0))
            await anyio.sleep(1.0)
            assert running_tasks(cluster)
            for delay_s in (0.15, 0.3, 0.45):
                cluster.network.delay_by_pair["e2", "e1"] = delay_s
                await anyio.sleep(0.45)
            await anyio.sleep(0.07)  # A heartbeat is sent just before the kill.
            assert running_tasks(cluster)
            cluster.entry_by_id["e2"].kill()
            await anyio.sleep(RESEND_S)
            assert not running_tasks(cluster)

    run_on_virtual_time(test)


def test_a_new_holder_lets_the_runs_of_an_earlier_one_lapse_if_it_cannot_stop_them():
    """Guards against a lease that a new holder renews for runs whose stops get no answer."""

    async def test() -> None:
        async with run_cluster() as cluster:
            start_job(cluster, "e1", make_job(1, work_s=9.0, deadline_s=60.0))
            await anyio.sleep(0.5)
            backend = next(b for b in cluster.backend_by_id.values() if b.active_run_by_key)

            async def lose_stop(*_: object) -> bool:
                await anyio.sleep(0.15)
                return False

            backend.stop = lose_stop  # type: ignore[method-assign]
            # Its next incarnation claims nothing, so another process claims at once.
            cluster.entry_by_id["e1"].kill()
            await cluster.restart("e1")
            await anyio.sleep(RESEND_S)
            assert any(backend_id for ids in cluster.holders().values() for backend_id in ids)
            assert not running_tasks(cluster)

    run_on_virtual_time(test)


def test_a_run_that_starts_under_a_lasting_lease_is_over_when_both_processes_are_killed():
    """Guards against a lease of other runs that is too long for a job that has waited."""

    async def test() -> None:
        async with run_cluster() as cluster:
            cluster.network.sends_heartbeats = True
            for number in range(1, 9):
                holder = "e1" if number % 2 else "e3"
                start_job(cluster, holder, make_job(number, work_s=9.0, deadline_s=60.0))
            for backend in cluster.backend_by_id.values():
                backend.work_s_by_task[f"{1:016x}.0.0.0"] = 3.2
            await anyio.sleep(0.5)
            waiting = make_job(9, work_s=9.0, deadline_s=60.0, base_latency_s=60.0)
            start_job(cluster, "e2", waiting)
            await anyio.sleep(2.02)
            cluster.entry_by_id["e2"].kill()
            await anyio.sleep(0.75)
            assert f"{1:016x}.0.0.0" not in running_tasks(cluster)
            cluster.entry_by_id["e1"].kill()
            await anyio.sleep(RESEND_S - 0.75)
            assert f"{waiting.job_id}.0.0.0" not in running_tasks(cluster)

    run_on_virtual_time(test)
