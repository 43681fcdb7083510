"""Replication of entries and snapshots from the leader to the other replicas."""

from __future__ import annotations

import contextlib

from apricotpoint._control.log import entry_bytes
from apricotpoint._control.messages import Append, AppendReply, InstallSnapshot
from apricotpoint._control.replica import (
    HEARTBEAT_INTERVAL_S,
    MAX_BYTES_PER_APPEND,
    MAX_ENTRIES_PER_APPEND,
    MIN_BYTES_PER_S,
    REQUEST_TIMEOUT_S,
    SNAPSHOT_TIMEOUT_S,
    Progress,
    Replica,
    Role,
)
from apricotpoint._control.storage import DiskFullError
from apricotpoint._link.transport import PeerUnreachable

# What a follower with a full disk takes into memory: as much as the log holds between two
# compactions.
MAX_UNSTORED_BYTES = 8 << 20


async def replicate(replica: Replica, peer_id: str) -> None:
    """Send entries and heartbeats to one peer until it is neither member nor learner."""
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
    """Append the leader's entries and reply once they are synced to disk.

    While the disk is full, entries are taken into memory up to a limit, so that reads stay
    current, and the reply says that they are not stored.
    """
    log = replica.log
    if message.term < log.term:
        return replica.append_reply(matched=False, match_index=0, next_index=0)
    _accept_leader(replica, leader_id, message.term)
    replica.leader_commit_index = max(replica.leader_commit_index, message.commit_index)
    previous_index = message.previous_index
    # Entries up to the base index are committed and therefore the same as the leader's.
    skipped = max(0, log.base_index - previous_index)
    if skipped == 0 and log.term_at(previous_index) != message.previous_term:
        next_index = _next_index_after_mismatch(replica, previous_index)
        await log.try_sync()
        return replica.append_reply(matched=False, match_index=0, next_index=next_index)
    entries = message.entries[skipped:]
    first_index = max(previous_index, log.base_index) + 1
    match_index = previous_index + len(message.entries)
    lacks_entries = False
    for offset, entry in enumerate(entries):
        if log.term_at(first_index + offset) != entry.term:
            if log.is_disk_full and log.unstored_bytes > MAX_UNSTORED_BYTES:
                match_index = first_index + offset - 1
                lacks_entries = True
                break
            assert first_index + offset > replica.commit_index, (
                "a committed entry would be overwritten"
            )
            log.append(first_index + offset, entries[offset:])
            replica.notify()
            break
    replica.lacks_entries = lacks_entries
    # A committed entry is stored by a majority, so it may be applied before it is stored here.
    # After the sync it would be late for as long as the disk stalls.
    replica.commit_to(min(message.commit_index, match_index))
    stored = await log.try_sync() and not lacks_entries
    if log.term != message.term:
        return replica.append_reply(matched=False, match_index=0, next_index=0)
    replica.leader_contact_at = replica.timers.now()
    return replica.append_reply(
        matched=stored,
        match_index=match_index if stored else 0,
        next_index=match_index + 1,
    )


async def on_install_snapshot(
    replica: Replica, leader_id: str, message: InstallSnapshot
) -> AppendReply:
    """Install the leader's snapshot and reply once it is synced to disk."""
    log = replica.log
    if message.term < log.term:
        return replica.append_reply(matched=False, match_index=0, next_index=0)
    _accept_leader(replica, leader_id, message.term)
    index = message.snapshot.index
    if index > replica.commit_index:
        replica.restore(message.snapshot)
        with contextlib.suppress(DiskFullError):
            await log.install(message.snapshot)
    stored = await log.try_sync()
    if log.term != message.term:
        return replica.append_reply(matched=False, match_index=0, next_index=0)
    return replica.append_reply(
        matched=stored,
        match_index=index if stored else 0,
        next_index=index + 1,
    )


def _accept_leader(replica: Replica, leader_id: str, term: int) -> None:
    """Follow the leader of `term` and restart the election time-out."""
    if (
        term > replica.log.term
        or replica.role is not Role.FOLLOWER
        or replica.leader_id != leader_id
    ):
        replica.become_follower(term, leader_id)
    replica.leader_contact_at = replica.timers.now()


def _next_index_after_mismatch(replica: Replica, previous_index: int) -> int:
    """Return the index from which the leader should retry after a mismatch.

    Goes back to the first entry of the mismatching term instead of by one
    entry, so that each term costs one request.
    """
    log = replica.log
    if previous_index > log.last_index:
        return log.last_index + 1
    term, index = log.term_at(previous_index), previous_index
    while index > replica.commit_index + 1 and log.term_at(index - 1) == term:
        index -= 1
    return index


async def _send_update(replica: Replica, peer_id: str, progress: Progress) -> None:
    """Send one `Append` or, if the entries are compacted, a snapshot; process the reply."""
    log = replica.log
    term, round_, sent_at = log.term, replica.round, replica.timers.now()
    message: Append | InstallSnapshot
    progress.commit_index = replica.commit_index
    previous_term = log.term_at(progress.next_index - 1)
    if previous_term is None:
        assert log.snapshot is not None
        message = InstallSnapshot(term=term, snapshot=log.snapshot)
        timeout_s = SNAPSHOT_TIMEOUT_S
        replica.counters.add("control.snapshots_sent")
    else:
        # A replica that has taken no entry for lack of space is asked with one entry at a time.
        limit = 1 if progress.is_waiting_for_space else MAX_ENTRIES_PER_APPEND
        message = Append(
            term=term,
            previous_index=progress.next_index - 1,
            previous_term=previous_term,
            entries=log.entries(progress.next_index, limit, MAX_BYTES_PER_APPEND),
            commit_index=replica.commit_index,
        )
        size = sum(map(entry_bytes, message.entries))
        timeout_s = REQUEST_TIMEOUT_S + size / MIN_BYTES_PER_S
    try:
        reply = await replica.transport.request(peer_id, message, timeout_s=timeout_s)
    except PeerUnreachable:
        # The transport may refuse an unreachable peer at once: pause instead of retrying in
        # a busy loop.
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
        # The peer has another disk now; what the previous one stored does not count for it.
        progress.match_index = 0
    progress.disk_id, progress.first, progress.traits = reply.disk_id, reply.first, reply.traits
    progress.acked_at, progress.round = sent_at, max(progress.round, round_)
    progress.disk_full = reply.disk_full
    progress.is_waiting_for_space = (
        reply.disk_full and not reply.matched and reply.next_index == progress.next_index
    )
    if reply.matched:
        progress.match_index = max(progress.match_index, reply.match_index)
        progress.next_index = max(reply.next_index, progress.match_index + 1)
        replica.advance_commit()
    elif reply.disk_full and reply.next_index > 0:
        # Entries in the memory of the peer are not sent again, but count only when it has
        # stored them, which it reports for the last one that it was sent.
        progress.next_index = max(1, min(reply.next_index, log.last_index + 1))
        progress.match_index = min(progress.match_index, progress.next_index - 1)
    else:
        progress.next_index = max(1, min(reply.next_index, progress.next_index - 1))
        # A disk may lose records that it has acknowledged, because a damaged end of the file
        # is truncated as a torn write. They must no longer count towards a commit.
        progress.match_index = min(progress.match_index, progress.next_index - 1)
    replica.notify()
    if progress.is_waiting_for_space and progress.next_index <= log.last_index:
        await replica.timers.sleep(HEARTBEAT_INTERVAL_S)


def _is_up_to_date(replica: Replica, progress: Progress) -> bool:
    return (
        replica.role is Role.LEADER
        and progress.next_index > replica.log.last_index
        and progress.commit_index >= replica.commit_index
        and progress.round >= replica.round
    )
