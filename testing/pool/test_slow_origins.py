"""Starts and runs of jobs whose origin is reached over a slow link."""

from __future__ import annotations

import anyio
import pytest
from pool_cluster import run_cluster
from pool_harness import make_job, run_on_virtual_time
from test_run_ends import running_tasks, start_job


@pytest.mark.parametrize("delay_s", [0.0, 0.2, 0.35, 0.45, 0.55])
def test_jobs_of_an_origin_on_a_slow_link_start_while_there_is_room(delay_s: float):
    """Guards against starts that wait for leases which renewals extend again and again."""

    async def test() -> None:
        async with run_cluster() as cluster:
            cluster.network.sends_heartbeats = True
            for number in range(1, 7):
                holder = "e1" if number % 2 else "e3"
                start_job(cluster, holder, make_job(number, work_s=30.0, deadline_s=60.0))
            await anyio.sleep(1.0)
            for holder in ("e1", "e3"):
                cluster.network.delay_by_pair["e2", holder] = delay_s
            job = make_job(9, work_s=9.0, deadline_s=60.0, base_latency_s=60.0)
            start_job(cluster, "e2", job)
            waited_s = 0.0
            while f"{job.job_id}.0.0.0" not in running_tasks(cluster) and waited_s < 6.0:
                await anyio.sleep(0.02)
                waited_s += 0.02
            assert waited_s < delay_s + 0.5

    run_on_virtual_time(test)


@pytest.mark.parametrize("delay_s", [0.3, 0.45, 0.55, 0.7])
def test_a_run_goes_on_while_the_messages_of_its_origin_are_slow(delay_s: float):
    """Guards against a live origin that counts as lost because its messages take long."""

    async def test() -> None:
        async with run_cluster() as cluster:
            cluster.network.sends_heartbeats = True
            start_job(cluster, "e2", make_job(1, work_s=9.0, deadline_s=60.0))
            await anyio.sleep(1.0)
            assert running_tasks(cluster)
            cluster.network.delay_by_pair["e2", "e1"] = delay_s
            await anyio.sleep(3.0)
            assert running_tasks(cluster)

    run_on_virtual_time(test)
