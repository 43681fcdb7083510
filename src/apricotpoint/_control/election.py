"""Leader election between replicas, with a pre-vote before each election."""

from __future__ import annotations

import anyio
import attrs
import logbook

from apricotpoint._control.messages import PreVote, Vote, VoteReply
from apricotpoint._control.replica import ELECTION_TIMEOUT_S, REQUEST_TIMEOUT_S, Replica, Role
from apricotpoint._link.transport import PeerUnreachable

_log = logbook.Logger("control")


@attrs.define(eq=False)
class _Ballot:
    """The replies to one request for votes, by the reason for which they count or not."""

    granted: set[str]
    refused: set[str] = attrs.Factory(set)
    other_disk: set[str] = attrs.Factory(set)
    silent: set[str] = attrs.Factory(set)


async def campaign(replica: Replica) -> None:
    """Start an election whenever there was no contact with a leader for a random time-out."""
    while True:
        timeout_s = replica.random.uniform(ELECTION_TIMEOUT_S, 2 * ELECTION_TIMEOUT_S)
        due_at = max(replica.leader_contact_at, replica.voted_at) + timeout_s
        while (now := replica.timers.now()) < due_at:
            await replica.timers.sleep(due_at - now)
            due_at = max(replica.leader_contact_at, replica.voted_at) + timeout_s
        replica.voted_at = replica.timers.now()
        if replica.role is Role.LEADER or not replica.is_voter():
            continue
        replica.leader_id = None
        # The vote for itself could not be stored.
        if replica.log.is_disk_full or replica.stall.is_stalled:
            continue
        if await _wins_pre_vote(replica):
            await _run_election(replica)


def on_pre_vote(replica: Replica, message: PreVote) -> VoteReply:
    """Reply whether a vote would be granted, without changing the term or the vote."""
    granted = (
        message.term > replica.log.term
        and not replica.log.is_disk_full
        and _may_grant_vote(replica, message.last_term, message.last_index)
    )
    return replica.vote_reply(granted=granted)


async def on_vote(replica: Replica, candidate_id: str, message: Vote) -> VoteReply:
    """Grant or refuse a vote; a granted vote is synced to disk before the reply is sent.

    With a full disk it is refused. A vote that has found no free space keeps its place in
    memory, so that no other one is given in its term.
    """
    log = replica.log
    if message.term < log.term or log.is_disk_full:
        return replica.vote_reply(granted=False)
    if not _may_grant_vote(replica, message.last_term, message.last_index):
        return replica.vote_reply(granted=False)
    if message.term > log.term:
        replica.become_follower(message.term, None)
    if log.voted_for not in ("", candidate_id):
        await log.try_sync()
        return replica.vote_reply(granted=False)
    if not log.voted_for:
        log.set_term_and_vote(message.term, candidate_id)
    replica.voted_at = replica.timers.now()
    stored = await log.try_sync()
    granted = stored and log.term == message.term and log.voted_for == candidate_id
    return replica.vote_reply(granted=granted)


def _may_grant_vote(replica: Replica, last_term: int, last_index: int) -> bool:
    """Return whether this replica may vote for a candidate with this log, whatever the term.

    A replica in contact with a leader does not vote, so that a candidate that
    was partitioned cannot depose a leader that the others can reach. Whether
    the vote counts is for the candidate to say: an entry that made it or this
    replica a member may not have arrived here.
    """
    has_leader_contact = replica.timers.now() - replica.leader_contact_at < ELECTION_TIMEOUT_S
    if replica.leader_id is not None and has_leader_contact:
        return False
    log = replica.log
    return (last_term, last_index) >= (log.last_term, log.last_index)


async def _wins_pre_vote(replica: Replica) -> bool:
    log = replica.log
    term = log.term
    message = PreVote(term=term + 1, last_index=log.last_index, last_term=log.last_term)
    won = await _collect_votes(replica, message)
    return won and log.term == term and replica.leader_id is None


async def _run_election(replica: Replica) -> None:
    log = replica.log
    term = log.term + 1
    log.set_term_and_vote(term, replica.node_id)
    replica.role = Role.CANDIDATE
    stored = await log.try_sync()
    if log.term != term or replica.role is not Role.CANDIDATE:
        return
    if not stored:
        replica.become_follower(term, None)
        return
    message = Vote(term=term, last_index=log.last_index, last_term=log.last_term)
    won = await _collect_votes(replica, message)
    if log.term != term or replica.role is not Role.CANDIDATE:
        return
    if won:
        replica.become_leader()
    else:
        replica.become_follower(term, None)


async def _collect_votes(replica: Replica, message: PreVote | Vote) -> bool:
    """Ask all members; return whether a majority granted the vote, including this replica."""
    members = replica.log.disk_by_member()
    ballot = _Ballot(granted={replica.node_id}, silent=set(members) - {replica.node_id})

    async def ask(member_id: str) -> None:
        try:
            reply = await replica.transport.request(member_id, message, timeout_s=REQUEST_TIMEOUT_S)
        except PeerUnreachable:
            return
        assert isinstance(reply, VoteReply)
        ballot.silent.discard(member_id)
        if reply.term > replica.log.term:
            replica.become_follower(reply.term, None)
            ballot.refused.add(member_id)
        elif not replica.disk_is_member(member_id, reply.disk_id, first=reply.first):
            ballot.other_disk.add(member_id)
        elif not reply.granted:
            ballot.refused.add(member_id)
        else:
            ballot.granted.add(member_id)
        if len(ballot.granted) > len(members) // 2:
            group.cancel_scope.cancel()

    if len(members) == 1:
        return True
    async with anyio.create_task_group() as group:
        for member_id in members:
            if member_id != replica.node_id:
                group.start_soon(ask, member_id)
    has_won = len(ballot.granted) > len(members) // 2
    if not has_won:
        _record_defeat(replica, message, len(members), ballot)
    return has_won


def _record_defeat(
    replica: Replica, message: PreVote | Vote, member_count: int, ballot: _Ballot
) -> None:
    # The reason why there is no leader: too few members answer, or too few disks are left.
    replica.counters.add("control.elections_lost")
    _log.notice(
        "{} for term {} lost: granted by {} of {} members, refused by {}, "
        "other disk than recorded on {}, no answer from {}",
        "pre-vote" if isinstance(message, PreVote) else "vote",
        message.term,
        len(ballot.granted),
        member_count,
        sorted(ballot.refused),
        sorted(ballot.other_disk),
        sorted(ballot.silent),
    )
