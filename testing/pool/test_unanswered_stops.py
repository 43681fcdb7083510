"""Runs of lost origins whose stops get no answer."""

from __future__ import annotations

import anyio
import pytest
from pool_cluster import run_cluster
from pool_harness import make_job, run_on_virtual_time
from test_run_ends import RESEND_S, running_tasks, start_job


def test_a_run_of_a_lost_origin_is_over_in_time_although_its_stop_gets_no_answer():
    """Guards against a lease limit that moves on when the job of a lost origin is cancelled."""

    async def test() -> None:
        async with run_cluster() as cluster:
            cluster.network.sends_heartbeats = True
            start_job(cluster, "e2", make_job(1, work_s=9.0, deadline_s=60.0))
            await anyio.sleep(1.0)
            assert running_tasks(cluster)

            async def lose_stop(*_: object) -> bool:
                await anyio.sleep(0.15)
                return False

            for backend in cluster.backend_by_id.values():
                backend.stop = lose_stop  # type: ignore[method-assign]
            cluster.entry_by_id["e2"].kill()
            await anyio.sleep(RESEND_S)
            assert not running_tasks(cluster)

    run_on_virtual_time(test)


@pytest.mark.parametrize("later_s", [0.9, 0.92, 0.94, 0.96, 0.98, 1.0])
def test_a_run_is_over_when_its_scheduler_is_killed_as_it_stops_the_run(later_s: float):
    """Guards against a renewal between the cancellation of an orphaned job and its stop."""

    async def test() -> None:
        async with run_cluster() as cluster:
            cluster.network.sends_heartbeats = True
            start_job(cluster, "e2", make_job(1, work_s=9.0, deadline_s=60.0))
            await anyio.sleep(1.0)

            async def lose_stop(*_: object) -> bool:
                await anyio.sleep(0.15)
                return False

            for backend in cluster.backend_by_id.values():
                backend.stop = lose_stop  # type: ignore[method-assign]
            cluster.entry_by_id["e2"].kill()
            await anyio.sleep(later_s)
            cluster.entry_by_id["e1"].kill()
            await anyio.sleep(RESEND_S - later_s)
            assert not running_tasks(cluster)

    run_on_virtual_time(test)


@pytest.mark.parametrize("back_s", [0.1, 0.3, 0.6])
def test_a_run_whose_origin_restarts_is_over_in_time_although_its_stop_gets_no_answer(
    back_s: float,
):
    """Guards against a lease limit that counts from the restart of the origin."""

    async def test() -> None:
        async with run_cluster() as cluster:
            cluster.network.sends_heartbeats = True
            start_job(cluster, "e2", make_job(1, work_s=9.0, deadline_s=60.0))
            await anyio.sleep(1.0)

            async def lose_stop(*_: object) -> bool:
                await anyio.sleep(0.15)
                return False

            for backend in cluster.backend_by_id.values():
                backend.stop = lose_stop  # type: ignore[method-assign]
            cluster.entry_by_id["e2"].kill()
            await anyio.sleep(back_s)
            await cluster.restart("e2")
            await anyio.sleep(RESEND_S - back_s)
            assert not running_tasks(cluster)

    run_on_virtual_time(test)


@pytest.mark.parametrize("delay_s", [0.2, 0.4, 0.6, 0.8])
def test_a_cancelled_run_is_over_in_time_although_its_cancellation_was_held_up(delay_s: float):
    """Guards against a lease limit that counts from the arrival of a cancellation."""

    async def test() -> None:
        async with run_cluster() as cluster:
            cluster.network.sends_heartbeats = True
            request = make_job(1, work_s=9.0, deadline_s=60.0)
            start_job(cluster, "e2", request)
            await anyio.sleep(1.0)

            async def lose_stop(*_: object) -> bool:
                await anyio.sleep(0.15)
                return False

            for backend in cluster.backend_by_id.values():
                backend.stop = lose_stop  # type: ignore[method-assign]
            cluster.network.delay_by_pair["e2", "e1"] = delay_s
            # The caller leaves now and sends its job again after the usual time.
            cluster.entry_by_id["e2"].service.cancel(request.job_id)
            await anyio.sleep(RESEND_S)
            assert not running_tasks(cluster)

    run_on_virtual_time(test)
