"""Changes reach all processes in time although one control process cannot apply them."""

from __future__ import annotations

import random
from contextlib import AsyncExitStack
from pathlib import Path

import anyio
import pytest
from control_network import IDS, Cluster, Endpoint, with_cluster

from apricotpoint._control.feed import ConfigurationFeed
from apricotpoint._core.counters import Counters
from apricotpoint._wire.configuration import ConfigPoll, ConfigUpdate

# The time in which an acknowledged change must be in force, on the users' smallest deployments.
APPLY_S = 2.0
STALLED_SYNC_S = 30.0


async def start_feeds(cluster: Cluster, stack: AsyncExitStack) -> list[ConfigurationFeed]:
    """Start eight entry processes that know the configuration as it is."""
    return [
        await stack.enter_async_context(
            ConfigurationFeed(
                transport=Endpoint(cluster.network, f"e{number}"),
                control_ids=IDS,
                timers=cluster.timers,
                counters=Counters(),
                random=random.Random(number),
            )
        )
        for number in range(8)
    ]


async def stall_disk_of_follower(cluster: Cluster, leader: str, follower: str) -> None:
    cluster.disk_by_id[follower].sync_s = STALLED_SYNC_S
    for version in range(1, 3):
        await cluster.change(leader, f"stall-{version}", version)
    await anyio.sleep(APPLY_S)


@pytest.mark.parametrize("position", [0, 1])
def test_changes_are_in_force_although_the_disk_of_a_follower_stalls(tmp_path: Path, position: int):
    """Guards against a follower that holds back committed changes until its disk has synced."""

    async def test(cluster: Cluster) -> None:
        leader = await cluster.leader()
        await cluster.change(leader, "first", 0)
        follower = [item for item in IDS if item != leader][position]
        async with AsyncExitStack() as stack:
            feeds = await start_feeds(cluster, stack)
            await stall_disk_of_follower(cluster, leader, follower)
            for version in range(3, 6):
                await cluster.change(leader, f"change-{version}", version)
                await anyio.sleep(APPLY_S)
                assert {feed.configuration().version for feed in feeds} == {version + 1}
                replica = cluster.node(follower).replica
                assert replica.state.configuration.version == version + 1

    with_cluster(test, tmp_path)


def test_changes_are_in_force_although_a_follower_is_far_behind(tmp_path: Path):
    """Guards against a follower that counts as current because it hears its leader.

    What it lacks is more than the leader sends at once, and nothing of it is confirmed.
    """

    async def test(cluster: Cluster) -> None:
        leader = await cluster.leader()
        await cluster.change(leader, "first", 0)
        follower = next(item for item in IDS if item != leader)
        async with AsyncExitStack() as stack:
            feeds = await start_feeds(cluster, stack)
            await stall_disk_of_follower(cluster, leader, follower)
            for version in range(3, 163):
                await cluster.change(leader, f"change-{version}", version)
            await anyio.sleep(APPLY_S)
            assert {feed.configuration().version for feed in feeds} == {163}
            with anyio.fail_after(0.1):
                reply = await cluster.client.request(
                    follower, ConfigPoll(version=163, wait_s=1.0), timeout_s=2.0
                )
            assert isinstance(reply, ConfigUpdate)
            assert not reply.current
            assert cluster.counters_by_id[follower].get("control.lags") == 1

    with_cluster(test, tmp_path)


def test_a_poll_that_waits_ends_when_its_replica_is_cut_off(tmp_path: Path):
    """Guards against entry processes that wait for a replica which hears of no change."""

    async def test(cluster: Cluster) -> None:
        leader = await cluster.leader()
        follower = next(item for item in IDS if item != leader)
        for other in IDS:
            cluster.network.blocked_links |= {(follower, other), (other, follower)}
        # Less than the time after which a follower without its leader is not current.
        await anyio.sleep(0.5)
        with anyio.fail_after(1.0):
            reply = await cluster.client.request(
                follower, ConfigPoll(version=9, wait_s=5.0), timeout_s=9.0
            )
        assert isinstance(reply, ConfigUpdate)
        assert not reply.current

    with_cluster(test, tmp_path)


def test_a_version_that_was_heard_of_is_asked_for_until_it_arrives(tmp_path: Path):
    """Guards against a single attempt, which fails if the process is cut off just then."""

    async def test(cluster: Cluster) -> None:
        leader = await cluster.leader()
        await cluster.change(leader, "first", 0)
        async with AsyncExitStack() as stack:
            feed = (await start_feeds(cluster, stack))[0]
            cluster.network.isolate("e0")
            await cluster.change(leader, "second", 1)
            feed.fetch_if_newer(2)
            await anyio.sleep(1.2)
            # Two control processes stay silent, among them perhaps the one that is polled.
            cluster.network.blocked_links = {(item, "e0") for item in IDS if item != leader}
            await anyio.sleep(1.0)
            assert feed.configuration().version == 2

    with_cluster(test, tmp_path)


def test_processes_do_not_all_poll_the_same_control_process(tmp_path: Path):
    """Guards against one control process on which all entry processes depend."""

    async def test(cluster: Cluster) -> None:
        leader = await cluster.leader()
        await cluster.change(leader, "first", 0)
        async with AsyncExitStack() as stack:
            feeds = await start_feeds(cluster, stack)
            await anyio.sleep(0.5)
            assert {feed.polled_id for feed in feeds} == set(IDS)

    with_cluster(test, tmp_path)
