"""The configuration feed: the version never decreases, and a stale copy is not current."""

from __future__ import annotations

from pathlib import Path

import anyio
from control_network import IDS, Cluster, Endpoint, wait_until, with_cluster

from apricotpoint._control.feed import _FIRST_FETCH_S, ConfigurationFeed
from apricotpoint._core.counters import Counters
from apricotpoint._link.transport import Sender
from apricotpoint._wire.configuration import ConfigPoll, ConfigUpdate, Configuration


def make_feed(
    cluster: Cluster, name: str, *, control_ids: list[str] = IDS, cache: Path | None = None
) -> ConfigurationFeed:
    return ConfigurationFeed(
        transport=Endpoint(cluster.network, name),
        control_ids=control_ids,
        timers=cluster.timers,
        counters=Counters(),
        cache_path=cache,
        storage=None if cache is None else cluster.disk_by_id["c1"].storage_at(cache.parent),
    )


def test_change_is_active_everywhere_within_5_s(tmp_path: Path):
    """Guards against a process that keeps polling an isolated replica.

    It would miss an accepted change, which must be active everywhere within
    5 s (promise P8).
    """

    async def test(cluster: Cluster) -> None:
        async with make_feed(cluster, "e1") as feed, make_feed(cluster, "e2") as other:
            leader = await cluster.leader()
            cluster.network.isolate("c1" if leader != "c1" else "c2")
            await cluster.change(leader, "a", 0)
            await anyio.sleep(5)
            assert feed.configuration().version == other.configuration().version == 1
            assert feed.current()

    with_cluster(test, tmp_path)


def test_partitioned_process_keeps_its_version_and_is_not_current(tmp_path: Path):
    """Guards against a stale version that is reported as current during a partition."""

    async def test(cluster: Cluster) -> None:
        leader = await cluster.leader()
        await cluster.change(leader, "a", 0)
        async with make_feed(cluster, "e1") as feed:
            assert feed.configuration().version == 1
            assert feed.current()
            cluster.network.isolate("e1")
            await anyio.sleep(4)
            assert not feed.current()
            await cluster.change(leader, "b", 1)
            assert feed.configuration().version == 1
            cluster.network.blocked_links.clear()
            await anyio.sleep(5)
            assert feed.current()
            assert feed.configuration().version == 2

    with_cluster(test, tmp_path)


def test_process_that_reaches_only_a_minority_is_not_current(tmp_path: Path):
    """Guards against an isolated replica whose version is taken for the latest.

    It still answers polls, but cannot know whether there is a newer version.
    """

    async def test(cluster: Cluster) -> None:
        for node_id in ("c2", "c3"):
            cluster.network.blocked_links |= {("c1", node_id), (node_id, "c1")}
        await anyio.sleep(5)
        async with make_feed(cluster, "e1", control_ids=["c1"]) as feed:
            await anyio.sleep(5)
            assert not feed.current()

    with_cluster(test, tmp_path)


def test_cached_version_is_not_replaced_by_an_older_one_after_a_restart(tmp_path: Path):
    """Guards against a version that decreases after a restart.

    An isolated replica answers with an older version than the one in the cache.
    """

    async def test(cluster: Cluster) -> None:
        cache = tmp_path / "entry" / "configuration"
        cache.parent.mkdir()
        leader = await cluster.leader()
        behind = next(item for item in IDS if item != leader)
        await cluster.change(await cluster.leader(), "a", 0)
        await anyio.sleep(1)
        for node_id in IDS:
            cluster.network.blocked_links |= {(behind, node_id), (node_id, behind)}
        await cluster.change(await cluster.leader(), "b", 1)
        async with make_feed(cluster, "e1", cache=cache) as feed:
            assert feed.configuration().version == 2
        async with make_feed(cluster, "e1", control_ids=[behind], cache=cache) as feed:
            versions = []
            feed.subscribe(lambda configuration: versions.append(configuration.version))
            await anyio.sleep(5)
            assert feed.configuration().version == 2
            assert versions == []

    with_cluster(test, tmp_path)


def test_start_takes_the_highest_version_of_all_that_answer(tmp_path: Path):
    """Guards against a start without a configuration when no control process is reachable.

    Another process that has the configuration must be asked too.
    """

    async def test(cluster: Cluster) -> None:
        await cluster.change(await cluster.leader(), "a", 0)
        async with make_feed(cluster, "e1"):
            for node_id in IDS:
                cluster.network.blocked_links |= {("e2", node_id), (node_id, "e2")}
            async with make_feed(cluster, "e2") as feed:
                assert feed.configuration().version == 1
                assert not feed.current()

    with_cluster(test, tmp_path)


def test_newer_version_of_another_process_is_fetched_at_once(tmp_path: Path):
    """Guards against waiting for the next poll although a newer version is known."""

    async def test(cluster: Cluster) -> None:
        async with make_feed(cluster, "e1", control_ids=["c1"]) as feed:
            leader = await cluster.leader(among=["c1", "c2", "c3"])
            cluster.network.blocked_links |= {("c1", "e1")}
            async with make_feed(cluster, "e2"):
                await cluster.change(leader, "a", 0)
                await anyio.sleep(2)
                assert feed.configuration().version == 0
                feed.fetch_if_newer(1)
                await wait_until(lambda: feed.configuration().version == 1, 0.05)

    with_cluster(test, tmp_path)


def test_late_answer_with_an_older_version_is_refused(tmp_path: Path):
    """Guards against an older version that replaces a newer one at the start.

    All replicas are asked at the same time, and one that is behind may answer last.
    """

    async def test(cluster: Cluster) -> None:
        leader = await cluster.leader()
        for version in range(2):
            await cluster.change(leader, f"cmd-{version}", version)

        async def answer_late(_: Sender, __: object) -> object:
            # After the other answer, but before the feed stops to wait for the first ones.
            await anyio.sleep(_FIRST_FETCH_S / 2)
            return ConfigUpdate(version=1, current=False, configuration=Configuration(version=1))

        behind = Endpoint(cluster.network, "behind")
        behind.request_handlers_by_type[ConfigPoll] = answer_late
        async with make_feed(cluster, "e1", control_ids=[leader, "behind"]) as feed:
            assert feed.configuration().version == 2

    with_cluster(test, tmp_path)


def test_first_version_does_not_wait_for_a_replica_that_does_not_answer(tmp_path: Path):
    """Guards against seconds without a configuration after all processes have restarted.

    No replica answers the first requests, and the first replica in the list
    none at all.
    """

    async def test(cluster: Cluster) -> None:
        leader = await cluster.leader()
        await cluster.change(leader, "a", 0)
        cluster.network.isolate("e1")
        async with make_feed(cluster, "e1") as feed:
            assert feed.configuration().version == 0
            cluster.network.blocked_links = {("e1", "c1"), ("c1", "e1")}
            await anyio.sleep(1.0)
            assert feed.configuration().version == 1

    with_cluster(test, tmp_path)


def test_a_configuration_that_cannot_be_applied_does_not_end_the_process(tmp_path: Path):
    """Guards against a stored configuration that ends each process that fetches it."""

    async def test(cluster: Cluster) -> None:
        leader = await cluster.leader()
        feed, applied = make_feed(cluster, "e1"), []

        def fail(configuration: Configuration) -> None:
            raise OverflowError(configuration.version)

        feed.subscribe(fail)
        feed.subscribe(lambda configuration: applied.append(configuration.version))
        async with feed:
            for version, name in enumerate("ab"):
                await cluster.change(leader, name, version)
                await anyio.sleep(5)
            assert applied == [1, 2]
            assert feed._counters.get("configuration.callback_errors") == 2

    with_cluster(test, tmp_path)
