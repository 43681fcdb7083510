"""Losses of control processes, with and without their disks, up to what is tolerated."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from pathlib import Path

import anyio
import pytest
from control_network import IDS, Cluster, run

from apricotpoint._control.membership import FaultTolerance
from apricotpoint._core.codes import ResultCode

# Two processes in each of three failure domains; the first three are those of a new deployment.
COUNTED = [*IDS, "c1-b", "c2-b", "c3-b"]
UNCOUNTED = ["c1-x", "c2-x", "c3-x"]
SETTLE_S = 8.0
# A new process must answer within this time.
CATCH_UP_S = 6.0


async def started(cluster: Cluster) -> None:
    cluster.tolerance = FaultTolerance(members=2, domains=1)
    cluster.ids_without_vote = set(UNCOUNTED)
    await cluster.start_new_deployment()
    await add(cluster, *COUNTED[3:])


def running_ids(cluster: Cluster) -> list[str]:
    return [node_id for node_id in cluster.disk_by_id if cluster.is_running(node_id)]


async def add(cluster: Cluster, *node_ids: str) -> None:
    for node_id in node_ids:
        await cluster.initialise(node_id, first=False)
    await cluster.start(*node_ids)
    await anyio.sleep(SETTLE_S)


async def lose_power_and_disks(cluster: Cluster, lost: list[str], *, back: list[str]) -> None:
    """Kill all processes; those in `back` start again, those in `lost` with empty disks."""
    await cluster.kill(*running_ids(cluster))
    for node_id in lost:
        await cluster.replace_disk(node_id)
    await cluster.start(*back)


async def check_change(cluster: Cluster, command_id: str) -> None:
    """Send a change again until it is accepted, at most for the time of a recovery."""
    with anyio.fail_after(15.0):
        while True:
            leader_id = await cluster.leader()
            version = cluster.node(leader_id).replica.state.configuration.version
            reply = await cluster.change(leader_id, command_id, version)
            if reply.code == ResultCode.ACCEPTED:
                return
            await anyio.sleep(0.2)


def drained_vms(cluster: Cluster, leader_id: str) -> list[str]:
    return cluster.node(leader_id).replica.state.configuration.drained_vms


def run_with_cluster(test: Callable[[Cluster], Awaitable[None]], folder: Path) -> None:
    async def main() -> None:
        async with anyio.create_task_group() as group:
            cluster = Cluster(group, folder)
            await started(cluster)
            await test(cluster)
            group.cancel_scope.cancel()

    run(main)


@pytest.mark.parametrize("lost", [COUNTED[:2], COUNTED[4:], ["c3", "c1-b"]])
def test_uncounted_processes_are_lost_for_good_together_with_two_disks(
    tmp_path: Path, lost: list[str]
):
    """Guards against a majority that needs processes of which any number may be lost."""

    async def test(cluster: Cluster) -> None:
        await add(cluster, *UNCOUNTED)
        await check_change(cluster, "one")
        await lose_power_and_disks(cluster, lost, back=COUNTED)
        await check_change(cluster, "two")
        assert drained_vms(cluster, await cluster.leader()) == ["one", "two"]

    run_with_cluster(test, tmp_path)


@pytest.mark.parametrize(
    ("dark", "lost"),
    [(["c1", "c1-b"], ["c2", "c3"]), (["c2-b", "c3-b"], ["c1", "c1-b"]), (["c3"], ["c1", "c2"])],
)
def test_two_disks_are_lost_while_members_are_dark_that_keep_theirs(
    tmp_path: Path, dark: list[str], lost: list[str]
):
    """Guards against a dark member whose disk no longer counts when it is back."""

    async def test(cluster: Cluster) -> None:
        await cluster.kill(*dark)
        await anyio.sleep(4.5)
        await check_change(cluster, "one")
        await cluster.kill(*lost)
        for node_id in lost:
            await cluster.replace_disk(node_id)
        await anyio.sleep(1.3)
        await cluster.start(*lost)
        await anyio.sleep(2.0)
        await cluster.start(*dark)
        await check_change(cluster, "two")
        assert drained_vms(cluster, await cluster.leader()) == ["one", "two"]

    run_with_cluster(test, tmp_path)


def test_members_replaced_one_by_one_keep_the_tolerated_losses(tmp_path: Path):
    """Guards against a replacement that leaves fewer members than two lost disks allow."""

    async def test(cluster: Cluster) -> None:
        for index, node_id in enumerate(COUNTED):
            await cluster.kill(node_id)
            cluster.seeds = running_ids(cluster)[-3:]
            await add(cluster, f"{node_id[:2]}-new{index}")
            await check_change(cluster, f"change-{index}")
        running = running_ids(cluster)
        members = cluster.node(await cluster.leader()).replica.log.disk_by_member()
        assert sorted(members) == sorted(running)
        await lose_power_and_disks(cluster, running[:2], back=running)
        await check_change(cluster, "last")
        assert len(drained_vms(cluster, await cluster.leader())) == len(COUNTED) + 1

    run_with_cluster(test, tmp_path)


def test_members_start_although_all_processes_in_their_settings_are_gone(tmp_path: Path):
    """Guards against a start that waits for processes that were replaced long ago."""

    async def test(cluster: Cluster) -> None:
        await check_change(cluster, "one")
        cluster.seeds = ["c1-gone", "c2-gone", "c3-gone"]
        await lose_power_and_disks(cluster, [], back=COUNTED)
        await check_change(cluster, "two")
        assert drained_vms(cluster, await cluster.leader()) == ["one", "two"]

    run_with_cluster(test, tmp_path)


async def read_s(cluster: Cluster, node_id: str) -> float:
    """Return the seconds until a process answers a read, at most 20."""
    began_at = anyio.current_time()
    with anyio.fail_after(20.0):
        while True:
            if await cluster.node(node_id).document() is not None:
                return anyio.current_time() - began_at
            await anyio.sleep(0.1)


def test_a_process_follows_a_new_leader_although_many_others_have_come_and_gone(tmp_path: Path):
    """Guards against processes that are gone for good and fill the list of those that follow."""

    async def test(cluster: Cluster) -> None:
        for index in range(20):
            node_id = f"c{index % 3 + 1}-gone{index}"
            cluster.ids_without_vote.add(node_id)
            cluster.seeds = COUNTED[:3] if index % 2 else COUNTED[3:]
            await cluster.initialise(node_id, first=False)
            await cluster.start(node_id)
            await anyio.sleep(2.0)
            await cluster.kill(node_id)
        former_leader_id = await cluster.leader()
        await cluster.kill(former_leader_id)
        cluster.seeds = [key for key in COUNTED if key != former_leader_id][:3]
        await cluster.leader()
        cluster.ids_without_vote.add("c1-new")
        await cluster.initialise("c1-new", first=False)
        await cluster.start("c1-new")
        assert await read_s(cluster, "c1-new") < CATCH_UP_S

    run_with_cluster(test, tmp_path)


def test_a_process_without_disk_is_found_by_those_that_its_settings_do_not_name(tmp_path: Path):
    """Guards against a process that waits for ever for processes that were replaced."""

    async def test(cluster: Cluster) -> None:
        await cluster.kill("c1")
        await cluster.replace_disk("c1")
        cluster.seeds = ["c1-gone", "c2-gone", "c3-gone"]
        await cluster.start("c1")
        assert await read_s(cluster, "c1") < CATCH_UP_S

    run_with_cluster(test, tmp_path)


def test_a_new_process_takes_notice_of_changed_settings(tmp_path: Path):
    """Guards against a process that only contacts those that its settings named at the start."""

    async def test(cluster: Cluster) -> None:
        cluster.seeds = ["c1-gone", "c2-gone", "c3-gone"]
        await cluster.initialise("c1-new", first=False)
        await cluster.start("c1-new")
        await anyio.sleep(5.0)
        cluster.seeds = IDS
        assert await read_s(cluster, "c1-new") < CATCH_UP_S

    run_with_cluster(test, tmp_path)
