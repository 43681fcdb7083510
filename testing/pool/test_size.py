"""What each process pays for the others, and who holds what, as a deployment grows."""

from __future__ import annotations

import anyio
import pytest
from pool_cluster import Cluster, run_cluster
from pool_harness import make_job, run_on_virtual_time

from apricotpoint._core.codes import ResultCode
from apricotpoint._pool.decisions.shares import BACKENDS_PER_CORE
from apricotpoint._wire.pool import PoolAnswer

OBSERVED_S = 6.0


def ids(count: int) -> list[tuple[str, str]]:
    """Return so many entry processes in each of two failure domains."""
    return [(f"{domain}-{number:02}", domain) for domain in "ab" for number in range(count)]


def backends(count: int) -> list[str]:
    return [f"{domain}{number}" for domain in "ab" for number in range(count)]


def parts_of(cluster: Cluster) -> dict[str, list[str]]:
    return {
        key: sorted(entry.claimer.term_by_claim())
        for key, entry in cluster.entry_by_id.items()
        if entry.claimer.term_by_claim()
    }


@pytest.mark.parametrize(("entries", "backend_count"), [(4, 8), (24, 60)])
def test_a_process_that_holds_nothing_sends_the_same_in_any_deployment(
    entries: int, backend_count: int
):
    """Guards against processor time that each process spends on all others at hundreds of VMs."""

    async def test() -> None:
        cores = backend_count / 2 / BACKENDS_PER_CORE
        async with run_cluster(
            cores=cores, leader="a-00", domains=ids(entries), backend_ids=backends(backend_count)
        ) as cluster:
            await anyio.sleep(4.0)
            cluster.network.sent_by_id.clear()
            await anyio.sleep(OBSERVED_S)
            holders = {key for key, held in cluster.holders().items() if held}
            idle = [key for key in cluster.entry_by_id if key not in holders]
            # Two control processes get a hello each 2 s.
            assert max(cluster.network.sent_by_id[key] for key in idle) <= OBSERVED_S + 2

    run_on_virtual_time(test)


def test_large_failure_domains_have_several_holders_and_each_share_has_one():
    """Guards against one holder for more backend servers than its VM can carry."""

    async def test() -> None:
        async with run_cluster(
            cores=32 / BACKENDS_PER_CORE, leader="a-00", domains=ids(6), backend_ids=backends(54)
        ) as cluster:
            await anyio.sleep(3.0)
            assert sorted(parts_of(cluster).values()) == [["a"], ["a#1"], ["b"], ["b#1"]]
            held = [key for entry in cluster.entry_by_id.values() for key in entry.held()]
            assert sorted(held) == sorted(backends(54))

    run_on_virtual_time(test)


def test_the_shares_of_many_lost_processes_are_held_again_within_two_seconds():
    """Guards against a failure domain without service after many processes die at once."""

    async def test() -> None:
        async with run_cluster(
            cores=32 / BACKENDS_PER_CORE, leader="a-00", domains=ids(8), backend_ids=backends(54)
        ) as cluster:
            await anyio.sleep(3.0)
            lost = [key for key, parts in parts_of(cluster).items() if parts]
            lost += [key for key in cluster.entry_by_id if key.startswith("a-")][:3]
            for key in set(lost):
                cluster.entry_by_id[key].kill()
            await anyio.sleep(2.4)
            assert sum(len(held) for held in cluster.holders().values()) == 108
            answers: list[PoolAnswer] = []

            async def submit(entry_id: str, number: int) -> None:
                service = cluster.entry_by_id[entry_id].service
                answers.append(await service.submit(make_job(number)))

            async with anyio.create_task_group() as group:
                for number, key in enumerate(set(cluster.entry_by_id) - set(lost)):
                    group.start_soon(submit, key, number)
            assert {answer.code for answer in answers} == {ResultCode.COMPLETE}

    run_on_virtual_time(test)
