"""Control processes whose disks are full: nothing unstored is acknowledged, and no process ends."""

from __future__ import annotations

import errno
import os
import threading
from pathlib import Path

import anyio
import anyio.to_thread
import attrs
import pytest
from control_network import IDS, Cluster, Disk, run, wait_until, with_cluster
from full_disk_soak import FullDiskSoak, fill, free
from membership_soak import play
from test_registry import CLAIM, Clock, open_registry

from apricotpoint._control.identity import _read_identity
from apricotpoint._control.log import Log
from apricotpoint._control.messages import Entry, Snapshot, StateImage, Vote, VoteReply
from apricotpoint._control.records import RecordFile
from apricotpoint._control.registry import KeyRegistry
from apricotpoint._control.replica import Role
from apricotpoint._control.storage import DiskFullError, Storage
from apricotpoint._core.codes import ResultCode
from apricotpoint._core.counters import Counters
from apricotpoint._core.timers import TimerService
from apricotpoint._wire.configuration import Configuration

FIVE_IDS = [*IDS, "c4", "c5"]


def file_names(folder: Path) -> list[str]:
    return sorted(path.name for path in folder.iterdir())


async def wait_until_all_store(cluster: Cluster) -> None:
    await wait_until(
        lambda: (
            len({node.replica.log.last_index for node in cluster.nodes()}) == 1
            and all(node.replica.log.is_synced for node in cluster.nodes())
        ),
        within_s=5.0,
    )
    assert not cluster.exit_code_by_id


@pytest.mark.parametrize("number", [errno.ENOSPC, errno.EDQUOT])
@pytest.mark.parametrize("stores_half", [False, True])
def test_leader_with_a_full_disk_steps_down_and_stays_a_member(
    tmp_path: Path, number: int, stores_half: bool
):
    """Guards against a leader that ends, or acknowledges what it has not stored."""

    async def test(cluster: Cluster) -> None:
        full_id = await cluster.leader()
        node, disk = cluster.node(full_id), cluster.disk_by_id[full_id]
        fill(disk, stores_half=stores_half, number=number)
        began_at = anyio.current_time()
        reply = await cluster.change(full_id, "first", 0)
        assert reply.code == ResultCode.NO_MAJORITY
        assert f"the disk of {full_id} is full" in reply.message
        assert anyio.current_time() - began_at < 1.0
        new = await cluster.leader(among=[key for key in IDS if key != full_id], within_s=5.0)
        assert (await cluster.change(new, "first", 0)).code == ResultCode.ACCEPTED
        assert (await cluster.change(full_id, "second", 1)).code == ResultCode.ACCEPTED
        await wait_until(lambda: node.replica.state.configuration.version == 2, within_s=1.0)
        assert cluster.counters_by_id[full_id].snapshot()["control.disk_full"] == 1
        size = (disk.folder / "log").stat().st_size
        free(disk)
        await wait_until(lambda: node.replica.log.is_synced, within_s=1.0)
        assert (disk.folder / "log").stat().st_size > size
        assert cluster.counters_by_id[full_id].snapshot()["control.disk_full"] == 0
        await wait_until_all_store(cluster)
        # A claim that finds no space deposes the leader, too.
        new = await cluster.leader()
        fill(cluster.disk_by_id[new])
        reply = await cluster.client.request(new, CLAIM, timeout_s=1.0)
        assert getattr(reply, "code", None) == ResultCode.OVERLOADED
        await wait_until(lambda: cluster.node(new).replica.role is not Role.LEADER, within_s=0.5)

    with_cluster(test, tmp_path)


def test_two_followers_of_five_with_full_disks_hold_up_nothing(tmp_path: Path):
    """Guards against followers with full disks that slow the leader down or count as stored."""

    async def test(cluster: Cluster) -> None:
        leader = await cluster.leader()
        full_ids = [key for key in FIVE_IDS if key != leader][:2]
        for key in full_ids:
            fill(cluster.disk_by_id[key], stores_half=True)
        for version in range(10):
            began_at = anyio.current_time()
            reply = await cluster.change(leader, f"command-{version}", version)
            assert reply.code == ResultCode.ACCEPTED
            assert anyio.current_time() - began_at < 0.1
        replica = cluster.node(leader).replica
        assert all(replica.progress_by_id[key].match_index < 10 for key in full_ids)
        messages = cluster.network.messages
        await anyio.sleep(5)
        assert cluster.network.messages - messages < 5 * 8 * 10, "the leader sends without pause"
        # With a third disk full a majority cannot store: a change is refused, nothing ends.
        third = next(key for key in FIVE_IDS if key not in (leader, *full_ids))
        fill(cluster.disk_by_id[third])
        await cluster.change(leader, "unstored", 10)
        await anyio.sleep(0.5)
        reply = await cluster.change(leader, "refused", 10)
        assert "are full, 3 of 5" in reply.message
        assert await cluster.node(leader).replica.confirm_leadership(0.5)
        for key in (*full_ids, third):
            free(cluster.disk_by_id[key])
        await wait_until_all_store(cluster)

    with_cluster(test, tmp_path, ids=FIVE_IDS)


def test_full_disks_on_all_members_end_no_process(tmp_path: Path):
    """Guards against the loss of acknowledged changes, or of all processes, at a common fault."""

    async def test(cluster: Cluster) -> None:
        leader = await cluster.leader()
        assert (await cluster.change(leader, "before", 0)).code == ResultCode.ACCEPTED
        for disk in cluster.disk_by_id.values():
            fill(disk, stores_half=True)
        for number in range(3):
            reply = await cluster.change(IDS[number], f"during-{number}", 1)
            assert reply.code == ResultCode.NO_MAJORITY
        await anyio.sleep(10)
        # A crash while the disk is full, and a start that cannot store its counter.
        crashed_id = IDS[0]
        identity_path = cluster.disk_by_id[crashed_id].folder / "identity"
        starts = _read_identity(identity_path).start_counter
        await cluster.kill(crashed_id)
        await cluster.start(crashed_id)
        await anyio.sleep(5)
        assert cluster.is_running(crashed_id)
        assert _read_identity(identity_path).start_counter == starts
        for disk in cluster.disk_by_id.values():
            free(disk)
        new = await cluster.leader(within_s=8.0)
        assert _read_identity(identity_path).start_counter == starts + 1
        configuration = cluster.node(new).replica.state.configuration
        assert "before" in str(configuration)
        reply = await cluster.change(new, "after", configuration.version)
        assert reply.code == ResultCode.ACCEPTED
        await wait_until_all_store(cluster)

    with_cluster(test, tmp_path)


def test_vote_that_cannot_be_stored_is_not_given(tmp_path: Path):
    """Guards against two votes in one term after a crash has lost the first one."""

    async def test(cluster: Cluster) -> None:
        leader = await cluster.leader()
        voter, candidate = [key for key in IDS if key != leader]
        await cluster.kill(leader)
        await anyio.sleep(1.0)
        fill(cluster.disk_by_id[voter], stores_half=True)
        log = cluster.node(voter).replica.log
        vote = Vote(term=log.term + 10, last_index=99, last_term=99)

        async def ask() -> bool:
            reply = await cluster.client.request(voter, vote, timeout_s=1.0)
            assert isinstance(reply, VoteReply)
            return reply.granted

        assert not log.is_disk_full
        assert not await ask()
        assert log.is_disk_full
        assert log.voted_for == "client"
        assert not await ask()
        await anyio.sleep(5)
        assert cluster.node(candidate).replica.role is not Role.LEADER
        free(cluster.disk_by_id[voter])
        await wait_until(lambda: log.is_synced, within_s=1.0)
        assert await ask()
        await cluster.leader(within_s=8.0)

    with_cluster(test, tmp_path)


def test_leader_whose_disk_stalls_steps_down(tmp_path: Path):
    """Guards against a stalled disk that holds up changes, heartbeats or the next election."""

    async def test(cluster: Cluster) -> None:
        leader = await cluster.leader()
        cluster.disk_by_id[leader].sync_s = 30.0
        began_at = anyio.current_time()
        assert (await cluster.change(leader, "first", 0)).code == ResultCode.ACCEPTED
        assert anyio.current_time() - began_at < 0.1
        new = await cluster.leader(among=[key for key in IDS if key != leader], within_s=5.0)
        assert (await cluster.change(new, "second", 1)).code == ResultCode.ACCEPTED
        assert cluster.node(leader).replica.role is Role.FOLLOWER

    with_cluster(test, tmp_path)


def test_term_that_is_not_stored_yet_is_no_stall(tmp_path: Path):
    """Guards against a group without a leader whose only possible leader never campaigns."""

    async def test(cluster: Cluster) -> None:
        leader = await cluster.leader()
        others = [key for key in IDS if key != leader]
        await cluster.kill(*others)
        replica = cluster.node(leader).replica
        # The others lack this entry, so only this replica can win an election.
        await cluster.change(leader, "first", 0)
        await wait_until(lambda: replica.role is not Role.LEADER, within_s=5.0)
        # As a reply to a request for votes does that comes from a higher term.
        replica.become_follower(replica.log.term + 1, None)
        await anyio.sleep(5.0)
        await cluster.start(others[0])
        assert await cluster.leader(within_s=8.0) == leader

    with_cluster(test, tmp_path)


def test_snapshot_without_space_leaves_a_log_that_can_be_read(tmp_path: Path):
    """Guards against entries that are stored without the snapshot that they follow."""

    async def test() -> None:
        disk = Disk(tmp_path)
        storage = disk.storage()
        log = Log(storage, initial_members=IDS)
        await log.open()
        log.append(1, [Entry(term=1)])
        await log.sync()
        fill(disk, stores_half=True)
        image = StateImage(Configuration(), [], {})
        with pytest.raises(DiskFullError):
            await log.install(Snapshot(index=50, term=2, state=image))
        log.append(51, [Entry(term=2)])
        assert not await log.try_sync()
        assert not await storage.retry()
        assert file_names(tmp_path) == ["log"]
        again = Log(disk.storage(), initial_members=IDS)
        await again.open()
        assert (again.last_index, again.snapshot_index) == (1, 0)
        again.close()
        free(disk)
        assert await storage.retry()
        assert log.is_synced
        log.close()
        again = Log(disk.storage(), initial_members=IDS)
        await again.open()
        assert (again.last_index, again.snapshot_index) == (51, 50)
        again.close()

    run(test)


def test_snapshot_that_arrives_during_a_rewrite_is_stored_before_what_follows_it(tmp_path: Path):
    """Guards against entries that are stored after an older snapshot, at wrong indexes."""

    async def test() -> None:
        disk = Disk(tmp_path)
        log = Log(disk.storage(), initial_members=IDS)
        await log.open()
        disk.sync_s = 1.0
        image = StateImage(Configuration(), [], {})
        async with anyio.create_task_group() as group:
            group.start_soon(log.install, Snapshot(index=50, term=2, state=image))
            await anyio.sleep(0.5)
            group.start_soon(log.install, Snapshot(index=80, term=2, state=image))
        log.append(81, [Entry(term=2)])
        await log.sync()
        log.close()
        again = Log(disk.storage(), initial_members=IDS)
        await again.open()
        assert (again.last_index, again.snapshot_index) == (81, 80)
        again.close()

    run(test)


def test_rewrite_without_space_keeps_the_file_and_what_is_queued(tmp_path: Path):
    """Guards against payloads that a failed compaction has taken out of the queue."""

    async def test() -> None:
        disk = Disk(tmp_path)
        file = RecordFile(disk.storage(), "log")
        await file.open()
        await file.sync(file.append(b"stored"))
        queued = file.append(b"queued")
        fill(disk, stores_half=True)
        with pytest.raises(DiskFullError):
            await file.rewrite(lambda: [b"compacted"])
        assert file_names(tmp_path) == ["log"]
        free(disk)
        await file.sync(queued)
        file.close()
        again = RecordFile(disk.storage(), "log")
        assert await again.open() == [b"stored", b"queued"]
        again.close()

    run(test)


def test_claim_that_finds_no_space_is_forgotten(tmp_path: Path):
    """Guards against a key that belongs to a job which was refused, or to two jobs."""

    async def test() -> None:
        disk, clock = Disk(tmp_path), Clock()
        registry = await open_registry(disk, clock)
        fill(disk, stores_half=True)
        codes = []

        async def send(entry_id: str) -> None:
            codes.append((await registry.claim(attrs.evolve(CLAIM, entry_id=entry_id))).code)

        async with anyio.create_task_group() as group:
            for entry_id in ("e1", "e2", "e3"):
                group.start_soon(send, entry_id)
        assert codes == [ResultCode.OVERLOADED] * 3
        assert registry.claims == 0
        free(disk)
        assert await registry._storage.retry()
        reply = await registry.claim(attrs.evolve(CLAIM, entry_id="e4"))
        assert (reply.entry_id, reply.existing) == ("e4", False)
        registry.close()
        disk.crash()
        again = await open_registry(disk, clock)
        assert (await again.claim(CLAIM)).entry_id == "e4"
        again.close()

    run(test)


def test_claim_that_comes_while_a_write_finds_no_space_is_forgotten(tmp_path: Path):
    """Guards against a refused claim that is stored when there is free space again."""

    async def test() -> None:
        is_writing, may_fail, is_full = threading.Event(), threading.Event(), True

        def write(descriptor: int, data: bytes) -> int:
            if not is_full:
                return os.write(descriptor, data)
            is_writing.set()
            assert may_fail.wait(5.0)
            raise OSError(errno.ENOSPC, "injected")

        clock = Clock()
        registry = KeyRegistry(
            Storage(tmp_path, write=write),
            timers=TimerService(wall_clock=lambda: clock.wall),
            counters=Counters(),
            disk_replaced_at=None,
        )
        await registry.open()
        codes = []

        async def send(key: str) -> None:
            codes.append((await registry.claim(attrs.evolve(CLAIM, key=key))).code)

        async with anyio.create_task_group() as group:
            group.start_soon(send, "order-1")
            await anyio.to_thread.run_sync(is_writing.wait, 5.0)
            group.start_soon(send, "order-2")
            await anyio.sleep(0.01)
            may_fail.set()
        assert codes == [ResultCode.OVERLOADED] * 2
        assert registry.claims == 0
        is_full = False
        assert await registry._storage.retry()
        assert not (await registry.claim(attrs.evolve(CLAIM, key="order-2"))).existing
        registry.close()

    anyio.run(test)


def test_full_device_leaves_the_former_file(tmp_path: Path):
    """Guards against an error of the operating system that the fakes do not show."""

    async def test() -> None:
        storage = Storage(tmp_path)
        await storage.replace_file("starts", b"former")
        (tmp_path / "starts.new").symlink_to("/dev/full")
        with pytest.raises(DiskFullError):
            await storage.replace_file("starts", b"new")
        assert file_names(tmp_path) == ["starts"]
        assert (tmp_path / "starts").read_bytes() == b"former"
        assert await storage.retry()
        await storage.replace_file("starts", b"new")

    anyio.run(test)


@pytest.mark.parametrize("seed", [2, 6, 11])
def test_what_was_acknowledged_survives_full_disks_beside_other_losses(tmp_path: Path, seed: int):
    """Guards against full disks that are harmless alone but not beside crashes and partitions."""
    soak = play(seed, tmp_path, rounds=1, kind=FullDiskSoak)
    assert not soak.broken, "\n".join([*soak.events, *soak.broken])
