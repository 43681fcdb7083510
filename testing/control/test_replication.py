"""The replicated log under network partitions, killed processes and lost or failing disks."""

from __future__ import annotations

import errno
import shutil
from pathlib import Path

import anyio
import pytest
from control_network import IDS, Cluster, Disk, wait_until, with_cluster

from apricotpoint._control.messages import Append, Entry
from apricotpoint._control.replica import Role
from apricotpoint._control.replication import on_append
from apricotpoint._core.codes import ResultCode
from apricotpoint._link.transport import PeerUnreachable
from apricotpoint._wire.jobs import Claim, ClaimReply


def other_ids(node_id: str) -> list[str]:
    return [item for item in IDS if item != node_id]


async def commit_change(cluster: Cluster, node_id: str, version: int) -> None:
    reply = await cluster.change(node_id, f"cmd-{version}", version)
    assert (reply.code, reply.version) == (ResultCode.ACCEPTED, version + 1)


async def assert_same_configuration_everywhere(cluster: Cluster, version: int) -> None:
    await wait_until(
        lambda: all(node.replica.state.configuration.version >= version for node in cluster.nodes())
    )
    states = [node.replica.state.configuration for node in cluster.nodes()]
    assert all(state == states[0] for state in states)
    assert states[0].version == version


def test_change_is_committed_through_any_replica(tmp_path: Path):
    """Guards against a follower that does not forward a change to the leader."""

    async def test(cluster: Cluster) -> None:
        for version, node_id in enumerate(IDS):
            await commit_change(cluster, node_id, version)
        await assert_same_configuration_everywhere(cluster, 3)

    with_cluster(test, tmp_path)


def test_one_of_several_changes_with_equal_base_version_is_accepted(tmp_path: Path):
    """Guards against two operators whose concurrent changes are both accepted.

    The second would overwrite the first without knowing of it.
    """

    async def test(cluster: Cluster) -> None:
        codes = []

        async def send(node_id: str) -> None:
            reply = await cluster.change(node_id, f"race-{node_id}", 0)
            assert reply.version == 1
            codes.append(reply.code)

        async with anyio.create_task_group() as group:
            for node_id in IDS:
                group.start_soon(send, node_id)
        assert sorted(codes) == [4000, 4101, 4101]

    with_cluster(test, tmp_path)


def test_isolated_leader_steps_down_and_follows_after_the_partition(tmp_path: Path):
    """Guards against a partitioned leader that accepts changes or keeps its own entries."""

    async def test(cluster: Cluster) -> None:
        old = await cluster.leader()
        cluster.network.isolate(old)
        cluster.network.blocked_links -= {("client", old), (old, "client")}
        lost = await cluster.change(old, "lost", 0)
        assert lost.code == ResultCode.NO_MAJORITY
        assert "not known" in lost.message
        new = await cluster.leader(among=other_ids(old))
        await commit_change(cluster, new, 0)
        await anyio.sleep(200)
        assert not cluster.node(old).replica.has_majority()
        refused = await cluster.change(old, "refused", 0)
        assert "no leader" in refused.message
        term = cluster.node(new).replica.log.term
        cluster.network.blocked_links.clear()
        await assert_same_configuration_everywhere(cluster, 1)
        assert await cluster.leader() == new
        assert cluster.node(new).replica.log.term == term

    with_cluster(test, tmp_path)


@pytest.mark.parametrize("inward", [True, False])
@pytest.mark.parametrize("outward", [True, False])
def test_isolated_follower_does_not_depose_the_leader(tmp_path: Path, inward: bool, outward: bool):
    """Guards against a partitioned follower that raises the term and so deposes the leader.

    It gets no heartbeats and starts elections; the pre-vote keeps the term as it is.
    """

    async def test(cluster: Cluster) -> None:
        leader = await cluster.leader()
        follower = other_ids(leader)[0]
        term = cluster.node(leader).replica.log.term
        cluster.network.isolate(follower, inward=inward, outward=outward)
        await anyio.sleep(200)
        await commit_change(cluster, leader, 0)
        cluster.network.blocked_links.clear()
        await anyio.sleep(5)
        assert await cluster.leader() == leader
        assert cluster.node(leader).replica.log.term == term
        await assert_same_configuration_everywhere(cluster, 1)

    with_cluster(test, tmp_path)


def test_reads_are_refused_by_a_leader_without_majority(tmp_path: Path):
    """Guards against a stale read from a leader that does not know yet that it was deposed."""

    async def test(cluster: Cluster) -> None:
        leader = await cluster.leader()
        replica = cluster.node(leader).replica
        assert await replica.confirm_leadership(0.5)
        cluster.network.isolate(leader)
        assert not await replica.confirm_leadership(0.5)
        assert not await cluster.node(other_ids(leader)[0]).replica.confirm_leadership(0.5)

    with_cluster(test, tmp_path)


def test_restart_after_1000_changes(tmp_path: Path):
    """Guards against changes or replies that are lost when all replicas restart.

    They restart from a snapshot and the entries after it.
    """

    async def test(cluster: Cluster) -> None:
        leader = await cluster.leader()
        for version in range(1_050):
            await commit_change(cluster, leader, version)
        await anyio.sleep(1)
        assert all(node.replica.log.snapshot_index >= 1_000 for node in cluster.nodes())
        await cluster.kill(*IDS)
        await cluster.start(*IDS)
        await cluster.leader()
        await assert_same_configuration_everywhere(cluster, 1_050)
        # A resent command from before the snapshot gets its first reply again.
        again = await cluster.change("c1", "cmd-7", 7)
        assert (again.code, again.version) == (ResultCode.ACCEPTED, 8)

    with_cluster(test, tmp_path)


def test_snapshot_is_installed_on_a_replica_far_behind(tmp_path: Path):
    """Guards against a replica that never catches up because the leader has compacted its log."""

    async def test(cluster: Cluster) -> None:
        leader = await cluster.leader()
        behind = other_ids(leader)[0]
        await cluster.kill(behind)
        for version in range(1_300):
            await commit_change(cluster, leader, version)
        await cluster.start(behind)
        await assert_same_configuration_everywhere(cluster, 1_300)
        assert cluster.counters_by_id[leader].get("control.snapshots_sent") >= 1
        again = await cluster.change(behind, "cmd-3", 3)
        assert (again.code, again.version) == (ResultCode.ACCEPTED, 4)

    with_cluster(test, tmp_path)


def test_resent_command_gets_its_first_answer_from_a_new_leader(tmp_path: Path):
    """Guards against a command that is applied again or gets another reply after a failover."""

    async def test(cluster: Cluster) -> None:
        old = await cluster.leader()
        first = await cluster.change(old, "same", 0)
        conflict = await cluster.change(old, "conflict", 0)
        assert conflict.code == ResultCode.VERSION_CONFLICT
        await cluster.kill(old)
        new = await cluster.leader()
        assert await cluster.change(new, "same", 0) == first
        assert await cluster.change(new, "conflict", 0) == conflict

    with_cluster(test, tmp_path)


def test_uncertain_change_is_resolved_by_resending(tmp_path: Path):
    """Guards against a change that is applied twice because its first reply was lost.

    The leader is killed after the commit, and the operator sends the change again.
    """

    async def test(cluster: Cluster) -> None:
        old = await cluster.leader()
        cluster.network.blocked_links.add((old, "client"))
        assert (await cluster.change(old, "lost-answer", 0)).message == "no answer"
        await cluster.kill(old)
        new = await cluster.leader()
        reply = await cluster.change(new, "lost-answer", 0)
        assert (reply.code, reply.version) == (ResultCode.ACCEPTED, 1)
        await assert_same_configuration_everywhere(cluster, 1)

    with_cluster(test, tmp_path)


def test_loss_of_the_leader_right_after_a_disk_was_replaced(tmp_path: Path):
    """Guards against changes lost with the second of two failures.

    After one disk is replaced and added again, the cluster must tolerate the loss of another.
    """

    async def test(cluster: Cluster) -> None:
        leader = await cluster.leader()
        repaired, third = other_ids(leader)
        await commit_change(cluster, leader, 0)
        await cluster.kill(repaired)
        await cluster.replace_disk(repaired)
        await cluster.start(repaired)
        await anyio.sleep(5)
        reply = await cluster.change(leader, "add", 1, action="add_member", target=repaired)
        assert reply.code == ResultCode.ACCEPTED, reply
        await cluster.kill(leader)
        assert await cluster.leader() in (repaired, third)
        await commit_change(cluster, third, 2)
        await assert_same_configuration_everywhere(cluster, 3)

    with_cluster(test, tmp_path)


def test_replaced_disk_does_not_count_before_it_is_added(tmp_path: Path):
    """Guards against a majority that includes a replica without its votes and entries.

    A replaced disk is empty, so it must not count before it is added as a member.
    """

    async def test(cluster: Cluster) -> None:
        leader = await cluster.leader()
        lost, third = other_ids(leader)
        await cluster.kill(lost)
        await cluster.replace_disk(lost)
        await cluster.start(lost)
        await anyio.sleep(3)
        await cluster.kill(third)
        reply = await cluster.change(leader, "alone", 0)
        assert reply.code == ResultCode.NO_MAJORITY
        await anyio.sleep(5)
        assert not any(node.replica.has_majority() for node in cluster.nodes())

    with_cluster(test, tmp_path)


def test_outdated_disk_that_is_attached_again_ends_the_process(tmp_path: Path):
    """Guards against votes and claims based on an outdated disk.

    The disk was replaced by a newer one, which the other replicas know.
    """

    async def test(cluster: Cluster) -> None:
        old_disk = cluster.disk_by_id["c1"]
        await cluster.kill("c1")
        await cluster.replace_disk("c1")
        await cluster.start("c1")
        await anyio.sleep(5)
        await cluster.kill("c1")
        cluster.disk_by_id["c1"] = old_disk
        await cluster.start("c1")
        await anyio.sleep(5)
        assert cluster.exit_code_by_id["c1"] == ResultCode.OLD_DISK

    with_cluster(test, tmp_path)


def test_member_change_is_refused_for_an_unknown_process(tmp_path: Path):
    """Guards against a member that does not exist and raises the majority."""

    async def test(cluster: Cluster) -> None:
        reply = await cluster.change("c1", "add", 0, action="add_member", target="c9")
        assert reply.code == ResultCode.NOT_FOUND
        assert "c9" in reply.message
        again = await cluster.change("c2", "add", 0, action="add_member", target="c9")
        assert again == reply

    with_cluster(test, tmp_path)


def test_learner_becomes_a_member_and_replaces_a_removed_one(tmp_path: Path):
    """Guards against an added member that does not count towards majorities."""

    async def test(cluster: Cluster) -> None:
        leader = await cluster.leader()
        await cluster.initialise("c4", first=False)
        await cluster.start("c4")
        await anyio.sleep(3)
        removed = other_ids(leader)[0]
        assert (
            await cluster.change(leader, "add", 0, action="add_member", target="c4")
        ).code == ResultCode.ACCEPTED
        await cluster.kill(removed)
        assert (
            await cluster.change(leader, "out", 1, action="remove_member", target=removed)
        ).code == ResultCode.ACCEPTED
        await cluster.kill(leader)
        await cluster.leader()
        await commit_change(cluster, other_ids(leader)[1], 2)
        assert removed not in cluster.node("c4").dump()["members"]

    with_cluster(test, tmp_path)


def test_leader_can_be_removed(tmp_path: Path):
    """Guards against a removed leader that stays leader or leaves the others without one."""

    async def test(cluster: Cluster) -> None:
        leader = await cluster.leader()
        reply = await cluster.change(leader, "out", 0, action="remove_member", target=leader)
        assert reply.code == ResultCode.ACCEPTED
        new = await cluster.leader(among=other_ids(leader))
        await commit_change(cluster, new, 1)
        assert not cluster.node(leader).replica.is_voter()

    with_cluster(test, tmp_path)


@pytest.mark.parametrize(
    ("kind", "number", "code"),
    [
        ("sync", errno.EIO, ResultCode.SYNC_FAILED),
        ("sync", errno.ENOSPC, ResultCode.DISK_FULL),
        ("write", errno.EIO, ResultCode.SYNC_FAILED),
    ],
)
def test_failed_disk_stops_the_process_and_nothing_is_acknowledged(
    tmp_path: Path, kind: str, number: int, code: ResultCode
):
    """Guards against an acknowledged change that is lost after a disk failure.

    After a failed sync the kernel may report success for data that it has dropped, also if it
    failed for lack of space. Only a write that finds no space can be undone.
    """

    async def test(cluster: Cluster) -> None:
        leader = await cluster.leader()
        disk = cluster.disk_by_id[leader]
        if kind == "sync":
            disk.sync_error = OSError(number, "injected")
        else:
            disk.write_error = OSError(number, "injected")
        reply = await cluster.change(leader, "x", 0)
        assert reply.code == ResultCode.NO_MAJORITY
        assert cluster.exit_code_by_id[leader] == code
        new = await cluster.leader()
        assert (await cluster.change(new, "x", 0)).version == 1

    with_cluster(test, tmp_path)


def test_vote_is_not_given_before_it_is_synced(tmp_path: Path):
    """Guards against two votes in one term after a crash has lost the first one."""

    async def test(cluster: Cluster) -> None:
        leader = await cluster.leader()
        voter, candidate = other_ids(leader)
        disk = cluster.disk_by_id[voter]
        disk.sync_s = 0.3
        await cluster.kill(leader)
        replica = cluster.node(voter).replica
        first_term = replica.log.term
        await wait_until(lambda: replica.log.term > first_term and replica.log.voted_for != "")
        given_to, term = replica.log.voted_for, replica.log.term
        # The vote is in memory but its sync is still running.
        await anyio.sleep(0.05)
        if given_to == candidate:
            assert cluster.node(candidate).replica.log.term == term
            assert cluster.node(candidate).replica.role.value == "candidate"
        await cluster.kill(voter)
        await anyio.sleep(1)
        assert cluster.node(candidate).replica.role.value != "leader"

    with_cluster(test, tmp_path)


def test_learner_that_is_behind_is_not_added(tmp_path: Path):
    """Guards against a new member that lacks committed entries.

    A majority that includes it could lack them too.
    """

    async def test(cluster: Cluster) -> None:
        leader = await cluster.leader()
        for version in range(60):
            await commit_change(cluster, leader, version)
        await cluster.initialise("c4", first=False)
        await cluster.start("c4")
        await wait_until(lambda: "c4" in cluster.node(leader).dump()["learners"])
        await wait_until(lambda: "c4" in cluster.node(leader).replica.progress_by_id)
        cluster.network.isolate("c4")
        for version in range(60, 120):
            await commit_change(cluster, leader, version)
        reply = await cluster.change(leader, "early", 120, action="add_member", target="c4")
        assert reply.code == ResultCode.INVALID_COMMAND
        assert "has not caught up" in reply.message
        cluster.network.blocked_links.clear()
        await anyio.sleep(3)
        reply = await cluster.change(leader, "later", 120, action="add_member", target="c4")
        assert reply.code == ResultCode.ACCEPTED
        rows = [row for node in [*IDS, "c4"] for row in cluster.node(node).rows()]
        row_by_vm = {row["vm"]: row for row in rows}
        assert len(rows) == len(row_by_vm) == 4, "each replica is reported once"
        assert row_by_vm["c4"]["member"]
        assert [row["role"] for row in rows].count("leader") == 1

    with_cluster(test, tmp_path)


def test_entry_of_an_earlier_term_is_not_committed_by_a_majority_alone(tmp_path: Path):
    """Guards against a committed entry that a later leader overwrites.

    An entry of an earlier term that a majority stores is committed only
    together with an entry of the leader's own term.
    """

    async def test(cluster: Cluster) -> None:
        leader = await cluster.leader()
        replica = cluster.node(leader).replica
        cluster.network.isolate(leader)
        committed = replica.commit_index
        old_term = replica.log.term
        replica.log.append(replica.log.last_index + 1, [Entry(term=old_term)])
        replica.log.set_term_and_vote(old_term + 1, leader)
        replica.synced_index = replica.log.last_index
        for progress in replica.progress_by_id.values():
            progress.match_index = replica.log.last_index
        replica.advance_commit()
        assert replica.commit_index == committed
        replica.append_as_leader(Entry(term=old_term + 1))
        replica.synced_index = replica.log.last_index
        for progress in replica.progress_by_id.values():
            progress.match_index = replica.log.last_index
        replica.advance_commit()
        assert replica.commit_index == replica.log.last_index == committed + 2

    with_cluster(test, tmp_path)


def test_damaged_log_ends_the_process_and_the_others_continue(tmp_path: Path):
    """Guards against a replica with a damaged log that starts with a shorter one and votes."""

    async def test(cluster: Cluster) -> None:
        leader = await cluster.leader()
        for version in range(5):
            await commit_change(cluster, leader, version)
        damaged = other_ids(leader)[0]
        await cluster.kill(damaged)
        path = cluster.disk_by_id[damaged].folder / "log"
        content = bytearray(path.read_bytes())
        content[len(content) // 3] ^= 1
        path.write_bytes(content)
        await cluster.start(damaged)
        assert cluster.exit_code_by_id[damaged] == ResultCode.LOG_CHECKSUM
        await commit_change(cluster, leader, 5)

    with_cluster(test, tmp_path)


def test_restarted_node_alone_neither_votes_nor_grants_claims(tmp_path: Path):
    """Guards against votes and claims of a node whose disk may be outdated.

    It cannot know that before another control process has answered its `StartCheck`.
    """

    async def test(cluster: Cluster) -> None:
        await cluster.kill(*IDS)
        await cluster.start("c1")
        await anyio.sleep(60)
        claim = Claim("hem", "k", int(cluster.timers.wall_time()) + 60, "f", "e1", 1)
        with pytest.raises(PeerUnreachable):
            await cluster.client.request("c1", claim, timeout_s=1.0)
        await cluster.start("c2")
        await cluster.leader()
        reply = await cluster.client.request("c1", claim, timeout_s=1.0)
        assert isinstance(reply, ClaimReply)
        assert reply.code == ResultCode.ACCEPTED

    with_cluster(test, tmp_path)


def test_copy_of_a_disk_is_detected(tmp_path: Path):
    """Guards against votes and claims from an outdated copy of a disk.

    Two starts with the same counter come from two copies of one disk.
    """

    async def test(cluster: Cluster) -> None:
        await cluster.kill("c1")
        disk = cluster.disk_by_id["c1"]
        copy = Disk(tmp_path / "copy")
        shutil.copytree(disk.folder, copy.folder)
        await cluster.start("c1")
        await anyio.sleep(2)
        await cluster.kill("c1")
        cluster.disk_by_id["c1"] = copy
        copy.incarnation = 7
        await cluster.start("c1")
        await anyio.sleep(2)
        assert cluster.exit_code_by_id["c1"] == ResultCode.OLD_DISK

    with_cluster(test, tmp_path)


@pytest.mark.parametrize("slow", ["leader", "follower"])
def test_entry_counts_only_where_it_is_synced(tmp_path: Path, slow: str):
    """Guards against a committed entry that only a minority has after a crash.

    A replica that has not synced the entry yet must not count for its commit.
    """

    async def test(cluster: Cluster) -> None:
        leader = await cluster.leader()
        await cluster.kill(other_ids(leader)[0])
        replica = cluster.node(leader).replica
        committed = replica.commit_index
        slow_id = leader if slow == "leader" else other_ids(leader)[1]
        cluster.disk_by_id[slow_id].sync_s = 1.0
        async with anyio.create_task_group() as group:
            group.start_soon(commit_change, cluster, leader, 0)
            await anyio.sleep(0.5)
            follower = cluster.node(other_ids(leader)[1]).replica
            assert follower.log.last_index == replica.log.last_index == committed + 1
            assert replica.commit_index == committed

    with_cluster(test, tmp_path)


def test_candidate_syncs_its_own_vote_before_it_asks(tmp_path: Path):
    """Guards against two votes in one term by a candidate that restarts.

    If it has not synced the vote for itself, it could vote for another candidate.
    """

    async def test(cluster: Cluster) -> None:
        leader = await cluster.leader()
        rest = other_ids(leader)
        for node_id in rest:
            cluster.disk_by_id[node_id].sync_s = 0.4
        await cluster.kill(leader)
        replicas = [cluster.node(node_id).replica for node_id in rest]
        await wait_until(lambda: any(item.role is Role.CANDIDATE for item in replicas))
        await anyio.sleep(0.2)
        voter, candidate = sorted(replicas, key=lambda item: item.role is Role.CANDIDATE)
        assert candidate.role is Role.CANDIDATE
        assert voter.log.term < candidate.log.term

    with_cluster(test, tmp_path)


def test_replica_that_lost_synced_records_catches_up(tmp_path: Path):
    """Guards against a replica that never catches up after its disk has lost synced records.

    A file that ends too early looks like a torn write, so the leader must send the entries again.
    """

    async def test(cluster: Cluster) -> None:
        leader = await cluster.leader()
        for version in range(250):
            await commit_change(cluster, leader, version)
        damaged = other_ids(leader)[0]
        await cluster.kill(damaged)
        path = cluster.disk_by_id[damaged].folder / "log"
        path.write_bytes(path.read_bytes()[: path.stat().st_size // 4])
        await cluster.start(damaged)
        await anyio.sleep(3)
        before = cluster.network.messages
        await anyio.sleep(10)
        assert cluster.network.messages - before < 400
        await commit_change(cluster, damaged, 250)
        await assert_same_configuration_everywhere(cluster, 251)

    with_cluster(test, tmp_path)


def test_entries_after_a_different_entry_are_refused(tmp_path: Path):
    """Guards against a log that differs from the leader's.

    An equal index is not enough: the entry before the new ones must have the same term.
    """

    async def test(cluster: Cluster) -> None:
        leader = await cluster.leader()
        replica = cluster.node(other_ids(leader)[0]).replica
        last_index, term = replica.log.last_index, replica.log.term
        committed = replica.commit_index
        message = Append(
            term=term,
            previous_index=last_index,
            previous_term=term + 1,
            entries=[Entry(term=term)],
            commit_index=last_index + 1,
        )
        reply = await on_append(replica, leader, message)
        assert not reply.matched
        assert (replica.log.last_index, replica.commit_index) == (last_index, committed)

    with_cluster(test, tmp_path)
