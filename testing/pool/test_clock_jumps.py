"""Jumps of the wall clock, which no decision may depend on."""

from __future__ import annotations

import anyio
import pytest
from pool_cluster import Cluster, Entry, run_cluster
from pool_harness import make_job, on_virtual_time

from apricotpoint._core.codes import ResultCode
from apricotpoint._pool.holders.claimer import FENCED_BACKOFF_S

JUMPS_S = pytest.mark.parametrize("jump_s", [-20.0, 20.0])


async def _serves(cluster: Cluster, entry_id: str, number: int) -> bool:
    answer = await cluster.entry_by_id[entry_id].service.submit(make_job(number))
    return answer.code == ResultCode.COMPLETE


@JUMPS_S
@on_virtual_time
async def test_holders_keep_their_claims_when_the_wall_clock_jumps(jump_s: float) -> None:
    """Guards against leases, claims or deadlines that follow the wall clock."""
    async with run_cluster() as cluster:
        holders = cluster.holders()
        for entry in cluster.entry_by_id.values():
            entry.clock_ahead_s = jump_s
        for number in range(1, 6):
            assert await _serves(cluster, "e1", number)
        assert cluster.holders() == holders
        assert all(entry.counters.get("claims.made") == 1 for entry in _holders(cluster))


@JUMPS_S
@on_virtual_time
async def test_claims_pass_between_processes_whose_wall_clocks_differ(jump_s: float) -> None:
    """Guards against a share without a holder, as terms follow the wall clock of the claimant."""
    async with run_cluster() as cluster:
        first_id = next(key for key, held in cluster.holders().items() if "a1" in held)
        second_id = "e2" if first_id == "e1" else "e1"
        for number, (lost_id, next_id) in enumerate(
            [(first_id, second_id), (second_id, first_id), (first_id, second_id)], 1
        ):
            cluster.entry_by_id[lost_id].kill()
            await anyio.sleep(2.5)
            next_entry = cluster.entry_by_id[next_id]
            assert next_entry.held() == ["a1", "a2"]
            assert not next_entry.counters.get("claims.fenced")
            assert await _serves(cluster, next_id, number)
            await cluster.restart(lost_id)
            cluster.entry_by_id[lost_id].clock_ahead_s = jump_s if lost_id == first_id else 0.0
            await anyio.sleep(1.0)


@on_virtual_time
async def test_all_processes_start_anew_while_the_wall_clock_is_set_back() -> None:
    """Guards against backend servers that obey nobody until the clock has caught up."""
    async with run_cluster() as cluster:
        for entry_id in list(cluster.entry_by_id):
            cluster.entry_by_id[entry_id].kill()
        for entry_id in list(cluster.entry_by_id):
            await cluster.restart(entry_id)
            cluster.entry_by_id[entry_id].clock_ahead_s = -20.0
        # Three claims are fenced off, of which each takes the backoff and about a second more.
        await anyio.sleep(3 * (FENCED_BACKOFF_S + 1.0))
        assert {key for held in cluster.holders().values() for key in held} == {
            "a1",
            "a2",
            "b1",
            "b2",
        }
        assert await _serves(cluster, "e1", 1)


def _holders(cluster: Cluster) -> list[Entry]:
    return [entry for entry in cluster.entry_by_id.values() if entry.held()]
