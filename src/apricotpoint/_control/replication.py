"""Rules for entries and snapshots between the leader and the other replicas."""

from __future__ import annotations

from apricotpoint._control.messages import Append, AppendReply, InstallSnapshot
from apricotpoint._control.replica import (
    HEARTBEAT_INTERVAL_S,
    MAX_ENTRIES_PER_APPEND,
    REQUEST_TIMEOUT_S,
    SNAPSHOT_TIMEOUT_S,
    Progress,
    Replica,
    Role,
)
from apricotpoint._link.transport import PeerUnreachable


async def replicate(replica: Replica, peer_id: str) -> None:
    """Send entries and heartbeats to one replica for as long as it takes part."""
    while peer_id in replica.peer_ids():
        if replica.role is not Role.LEADER:
            await replica.wait_for_notification(60.0)
            continue
        progress = replica.progress_by_id.get(peer_id)
        if progress is None:
            progress = Progress(
                next_index=replica.log.last_index + 1, acked_at=replica.timers.now()
            )
            replica.progress_by_id[peer_id] = progress
        await _send_update(replica, peer_id, progress)
        due_at = replica.timers.now() + HEARTBEAT_INTERVAL_S
        while _is_up_to_date(replica, progress) and replica.timers.now() < due_at:
            await replica.wait_for_notification(due_at - replica.timers.now())


async def on_append(replica: Replica, leader_id: str, message: Append) -> AppendReply:
    """Store entries of the leader and answer once they are synced."""
    log = replica.log
    if message.term < log.term:
        return replica.append_reply(matched=False, match_index=0, next_index=0)
    _accept_leader(replica, leader_id, message.term)
    previous = message.previous_index
    # Entries up to the base are committed and therefore equal.
    skipped = max(0, log.base_index - previous)
    if skipped == 0 and log.term_at(previous) != message.previous_term:
        next_index = _next_index_after_mismatch(replica, previous)
        await log.sync()
        return replica.append_reply(matched=False, match_index=0, next_index=next_index)
    entries = message.entries[skipped:]
    first = max(previous, log.base_index) + 1
    for offset, entry in enumerate(entries):
        if log.term_at(first + offset) != entry.term:
            assert first + offset > replica.commit_index, "a committed entry would be replaced"
            log.append(first + offset, entries[offset:])
            replica.notify()
            break
    match_index = previous + len(message.entries)
    await log.sync()
    if log.term != message.term:
        return replica.append_reply(matched=False, match_index=0, next_index=0)
    replica.leader_contact_at = replica.timers.now()
    replica.commit_to(min(message.commit_index, match_index))
    return replica.append_reply(matched=True, match_index=match_index, next_index=match_index + 1)


async def on_install(replica: Replica, leader_id: str, message: InstallSnapshot) -> AppendReply:
    """Take over a snapshot of the leader and answer once it is synced."""
    log = replica.log
    if message.term < log.term:
        return replica.append_reply(matched=False, match_index=0, next_index=0)
    _accept_leader(replica, leader_id, message.term)
    index = message.snapshot.index
    if index > replica.commit_index:
        replica.restore(message.snapshot)
        await log.install(message.snapshot)
    await log.sync()
    if log.term != message.term:
        return replica.append_reply(matched=False, match_index=0, next_index=0)
    return replica.append_reply(matched=True, match_index=index, next_index=index + 1)


def _accept_leader(replica: Replica, leader_id: str, term: int) -> None:
    if (
        term > replica.log.term
        or replica.role is not Role.FOLLOWER
        or replica.leader_id != leader_id
    ):
        replica.become_follower(term, leader_id)
    replica.leader_contact_at = replica.timers.now()


def _next_index_after_mismatch(replica: Replica, previous: int) -> int:
    """Return where the leader should continue: one step back for each term, not each entry."""
    log = replica.log
    if previous > log.last_index:
        return log.last_index + 1
    term, index = log.term_at(previous), previous
    while index > replica.commit_index + 1 and log.term_at(index - 1) == term:
        index -= 1
    return index


async def _send_update(replica: Replica, peer_id: str, progress: Progress) -> None:
    log = replica.log
    term, round_, sent_at = log.term, replica.round, replica.timers.now()
    message: Append | InstallSnapshot
    previous_term = log.term_at(progress.next_index - 1)
    if previous_term is None:
        assert log.snapshot is not None
        message = InstallSnapshot(term=term, snapshot=log.snapshot)
        timeout_s = SNAPSHOT_TIMEOUT_S
        replica.counters.add("control.snapshots_sent")
    else:
        message = Append(
            term=term,
            previous_index=progress.next_index - 1,
            previous_term=previous_term,
            entries=log.entries(progress.next_index, MAX_ENTRIES_PER_APPEND),
            commit_index=replica.commit_index,
        )
        timeout_s = REQUEST_TIMEOUT_S
    try:
        reply = await replica.transport.request(peer_id, message, timeout_s=timeout_s)
    except PeerUnreachable:
        # An unreachable peer that is refused at once must not be asked in a loop.
        await replica.timers.sleep(HEARTBEAT_INTERVAL_S)
        return
    assert isinstance(reply, AppendReply)
    if reply.term > log.term:
        replica.become_follower(reply.term, None)
        return
    if log.term != term or replica.role is not Role.LEADER or reply.term != term:
        return
    if progress is not replica.progress_by_id.get(peer_id):
        return
    if progress.disk_id != reply.disk_id:
        # What another disk has stored says nothing about this one.
        progress.match_index = 0
    progress.disk_id, progress.first = reply.disk_id, reply.first
    progress.acked_at, progress.round = sent_at, max(progress.round, round_)
    if reply.matched:
        progress.match_index = max(progress.match_index, reply.match_index)
        progress.next_index = max(reply.next_index, progress.match_index + 1)
        replica.advance_commit()
    else:
        progress.next_index = max(1, min(reply.next_index, progress.next_index - 1))
        # A disk may lose records that it has acknowledged: the end is truncated as torn.
        # They must not count for the commit any more.
        progress.match_index = min(progress.match_index, progress.next_index - 1)
    replica.notify()


def _is_up_to_date(replica: Replica, progress: Progress) -> bool:
    return (
        replica.role is Role.LEADER
        and progress.next_index > replica.log.last_index
        and progress.round >= replica.round
    )
