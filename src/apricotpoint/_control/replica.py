"""One replica of the replicated log: its role, committed state and background tasks."""

from __future__ import annotations

import enum
import math
import random
from collections.abc import Callable, Coroutine
from typing import Any

import anyio
import anyio.abc
import attrs
import logbook

from apricotpoint._control.diskspace import STALL_TIMEOUT_S, StallDetector
from apricotpoint._control.identity import Identity
from apricotpoint._control.log import Log
from apricotpoint._control.messages import (
    AppendReply,
    Entry,
    ReplicaTraits,
    Snapshot,
    VoteReply,
)
from apricotpoint._control.state import MEMBER_ACTIONS, ReplicatedState
from apricotpoint._control.storage import DiskFullError
from apricotpoint._core.codes import ResultCode
from apricotpoint._core.counters import Counters
from apricotpoint._core.timers import TimerService
from apricotpoint._link.transport import Transport
from apricotpoint._wire.configuration import Change, ChangeReply

# Two heartbeats and one lost request fit into the shortest election time-out, so one lost
# heartbeat does not start an election.
HEARTBEAT_INTERVAL_S = 0.2
ELECTION_TIMEOUT_S = 1.0
# After the start of a process no leader was lost, so the first election may begin this
# much earlier: an existing leader sends something within two heartbeats.
FIRST_ELECTION_ADVANCE_S = 0.5
REQUEST_TIMEOUT_S = 0.5
SNAPSHOT_TIMEOUT_S = 2.0
CHANGE_TIMEOUT_S = 3.0
# After this time a compaction that found no free space may be tried again.
COMPACTION_RETRY_S = 10.0
MAX_ENTRIES_PER_APPEND, MAX_BYTES_PER_APPEND = 100, 1 << 20
# Added to the time-out of a message between control processes for its size.
MIN_BYTES_PER_S = 2_500_000
# A learner (a replica that receives entries but does not vote) may become a member when
# it lacks at most this many entries.
MAX_LEARNER_LAG_ENTRIES = 50
# A replica is live if it has answered or reported within this time.
LIVE_TIMEOUT_S = 1.0

# Holds for this request only: an earlier request with the same command id may have been
# accepted.
NOT_ACCEPTED_MESSAGE = (
    "no leader with a majority took this request; send it again with the same command id"
)
OUTCOME_UNKNOWN_MESSAGE = (
    "it is not known whether the change will be accepted; "
    "send it again with the same command id to learn its outcome"
)


_log = logbook.Logger("control")


class Role(enum.Enum):
    """The Raft role of a replica in its current term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


@attrs.define(eq=False)
class Progress:
    """The replication state of one other replica, as the leader knows it.

    `round` is the latest heartbeat round that the replica answered, and
    `acked_at` the time at which the answered request was sent. `match_index`
    is the last entry known to be stored there, `next_index` the next to send.
    `is_waiting_for_space` means that it took no entry, as its disk is full. `commit_index` is the
    one last sent to it.
    """

    next_index: int
    acked_at: float
    match_index: int = 0
    round: int = 0
    disk_id: str = ""
    first: bool = False
    traits: ReplicaTraits = ReplicaTraits()
    disk_full: bool = False
    is_waiting_for_space: bool = False
    commit_index: int = 0


@attrs.define(eq=False)
class _Waiter:
    term: int
    done: anyio.Event
    answer: ChangeReply | None = None


class Replica:
    """Term, role, commit index and background tasks of one replica.

    The rules for votes are in `election`, those for entries in `replication`.
    State changes only between two suspension points (`await`), so no handler
    sees a partial change. After each suspension point term and role must be
    checked again, because another task may have changed them.
    """

    def __init__(
        self,
        *,
        node_id: str,
        identity: Identity,
        traits: ReplicaTraits,
        log: Log,
        transport: Transport,
        timers: TimerService,
        counters: Counters,
        random: random.Random,
        connect: Callable[[str], None] = lambda _: None,
    ) -> None:
        self.node_id = node_id
        self.identity = identity
        self.traits = traits
        self.log = log
        self.transport = transport
        self.timers = timers
        self.counters = counters
        self.random = random
        self._connect = connect
        self.role = Role.FOLLOWER
        self.leader_id: str | None = None
        self.leader_contact_at = self.voted_at = timers.now() - FIRST_ELECTION_ADVANCE_S
        self.leader_since = timers.now()
        self.state = ReplicatedState(log.disk_by_member())
        if log.snapshot is not None:
            self.state.restore(log.snapshot.state)
        self.commit_index = self.leader_commit_index = log.snapshot_index
        self.synced_index = 0
        self.lacks_entries = False
        self.stall = StallDetector()
        self.progress_by_id: dict[str, Progress] = {}
        self.learner_ids: set[str] = set()
        self._reported_at_by_learner: dict[str, float] = {}
        self.round = 0
        self.on_configuration_change: Callable[[], None] = lambda: None
        self._waiter_by_index: dict[int, _Waiter] = {}
        self._notified = anyio.Event()
        self._compacting = False
        self._group: anyio.abc.TaskGroup | None = None

    # Notifications

    def notify(self) -> None:
        """Wake all tasks that wait for a change of role, log or commit index."""
        self._notified.set()
        self._notified = anyio.Event()

    async def wait_for(self, condition: Callable[[], bool], timeout_s: float) -> bool:
        """Wait until `condition` holds; return False if it does not within `timeout_s`."""
        with anyio.move_on_after(timeout_s):
            while not condition():
                await self._notified.wait()
        return condition()

    async def wait_for_notification(self, timeout_s: float) -> None:
        """Wait for the next call of `notify`, at most `timeout_s`."""
        with anyio.move_on_after(timeout_s):
            await self._notified.wait()

    # Membership

    def disk_is_member(self, member_id: str, disk_id: str, *, first: bool) -> bool:
        """Return whether a replica with this disk counts towards majorities.

        In a new deployment, until the leader has recorded the disk of a
        member, a disk counts if it was initialised with `--first`.
        """
        recorded = self.log.disk_by_member().get(member_id)
        return recorded == disk_id or (recorded == "" and first)

    def is_voter(self) -> bool:
        """Return whether this replica itself may vote and counts towards majorities."""
        return self.disk_is_member(self.node_id, self.identity.disk_id, first=self.identity.first)

    def peer_ids(self) -> list[str]:
        """Return the ids of the other members and of the learners, which get entries too."""
        return sorted((set(self.log.disk_by_member()) | self.learner_ids) - {self.node_id})

    def admit_learner(self, peer_id: str, max_learners: int) -> bool:
        """Send entries to a replica that has reported; False if there are too many learners.

        A learner that has not been heard of for `LIVE_TIMEOUT_S` makes room for it: only the
        leader notices that a learner is gone, and any replica may become the leader.
        """
        now = self.timers.now()
        self.learner_ids -= set(self.log.disk_by_member())
        if peer_id not in self.learner_ids and len(self.learner_ids) >= max_learners:
            stalest_id = min(sorted(self.learner_ids), key=self._learner_contact_at)
            if now - self._learner_contact_at(stalest_id) <= LIVE_TIMEOUT_S:
                return False
            self.drop_learner(stalest_id)
        self.learner_ids.add(peer_id)
        self._reported_at_by_learner[peer_id] = now
        self.notify()
        return True

    def drop_learner(self, peer_id: str) -> None:
        """Send no more entries to a learner."""
        self.learner_ids.discard(peer_id)
        self._reported_at_by_learner.pop(peer_id, None)
        self.progress_by_id.pop(peer_id, None)

    def _learner_contact_at(self, peer_id: str) -> float:
        progress = self.progress_by_id.get(peer_id)
        # Without an answer `acked_at` is the time at which this replica became the leader.
        acked_at = progress.acked_at if progress is not None and progress.disk_id else -math.inf
        return max(acked_at, self._reported_at_by_learner.get(peer_id, -math.inf))

    def holds_for_majority(
        self, condition: Callable[[Progress], bool], *, own: bool = True
    ) -> bool:
        """Return whether `condition` holds for a majority of the members.

        `own` says whether the condition holds for this replica.
        """
        members = self.log.disk_by_member()
        number = int(own and self.is_voter())
        for member_id in members:
            progress = self.progress_by_id.get(member_id)
            if (
                progress is not None
                and self._has_voting_disk(member_id, progress)
                and condition(progress)
            ):
                number += 1
        return number > len(members) // 2

    def _has_voting_disk(self, member_id: str, progress: Progress) -> bool:
        return progress.disk_id != "" and self.disk_is_member(
            member_id, progress.disk_id, first=progress.first
        )

    # Terms and roles

    def become_follower(self, term: int, leader_id: str | None) -> None:
        """Become a follower in `term`, which must not be lower than the current term."""
        if term > self.log.term:
            self.log.set_term_and_vote(term, "")
        if self.role is Role.LEADER:
            self.counters.add("control.stepped_down")
            self.progress_by_id.clear()
        self.role = Role.FOLLOWER
        self.leader_id = leader_id
        self.notify()

    def step_down(self, reason: str) -> None:
        """As leader, become a follower, and answer the changes in progress with `reason`.

        Other replicas may already store the entries of these changes and commit
        them under the next leader, so their outcome is unknown.
        """
        _log.notice("no longer leader in term {}: {}", self.log.term, reason)
        self.become_follower(self.log.term, None)
        for waiter in self._waiter_by_index.values():
            waiter.answer = self.no_majority_reply(f"{OUTCOME_UNKNOWN_MESSAGE} ({reason})")
            waiter.done.set()
        self._waiter_by_index.clear()

    def become_leader(self) -> None:
        """Become the leader of the current term and append a first entry of that term."""
        self.role = Role.LEADER
        self.leader_id = self.node_id
        now = self.timers.now()
        self.leader_since = now
        self.lacks_entries = False
        # Entries may have been overwritten since this replica last synced as leader.
        self.synced_index = 0
        self.progress_by_id = {
            member_id: Progress(next_index=self.log.last_index + 1, acked_at=now)
            for member_id in self.peer_ids()
        }
        self.counters.add("control.elected")
        _log.notice("leader in term {} of {}", self.log.term, sorted(self.log.disk_by_member()))
        # Entries of earlier terms are committed only together with an entry of this term.
        self.append_as_leader(Entry(term=self.log.term))

    def vote_reply(self, *, granted: bool) -> VoteReply:
        """Build the reply to a vote request, with the current term and this disk's id."""
        return VoteReply(
            term=self.log.term,
            granted=granted,
            disk_id=self.identity.disk_id,
            first=self.identity.first,
        )

    def append_reply(self, *, matched: bool, match_index: int, next_index: int) -> AppendReply:
        """Build the reply to a leader's request, with the current term and this disk's id."""
        return AppendReply(
            term=self.log.term,
            matched=matched,
            match_index=match_index,
            next_index=next_index,
            disk_id=self.identity.disk_id,
            first=self.identity.first,
            traits=self.traits,
            disk_full=self.log.is_disk_full,
        )

    # Entries

    def append_as_leader(self, entry: Entry) -> int:
        """Append an entry of the current term and return its index; it is not yet synced."""
        index = self.log.last_index + 1
        self.log.append(index, [entry])
        self.notify()
        return index

    def advance_commit(self) -> None:
        """As leader, commit the entries that a majority has synced."""
        if self.role is not Role.LEADER:
            return
        index = self.commit_index
        while index < self.log.last_index and self._is_stored_by_majority(index + 1):
            index += 1
        # A majority that stores an entry commits it only if the entry is of the current term:
        # a later leader can still overwrite an entry of an earlier term that a majority stores.
        if index > self.commit_index and self.log.term_at(index) == self.log.term:
            self.commit_to(index)
            if self.node_id not in self.log.disk_by_member():
                self.become_follower(self.log.term, None)

    def _is_stored_by_majority(self, index: int) -> bool:
        return self.holds_for_majority(
            lambda progress: progress.match_index >= index, own=self.synced_index >= index
        )

    def commit_to(self, index: int) -> None:
        """Commit and apply all entries up to `index`, and answer the changes among them."""
        version, former_index = self.state.configuration.version, self.commit_index
        while self.commit_index < min(index, self.log.last_index):
            self.commit_index += 1
            entry = self.log.entry(self.commit_index)
            answer = self.state.apply(entry)
            waiter = self._waiter_by_index.pop(self.commit_index, None)
            if waiter is not None:
                overwritten = ChangeReply(ResultCode.NO_MAJORITY, version, NOT_ACCEPTED_MESSAGE)
                waiter.answer = answer if entry.term == waiter.term else overwritten
                waiter.done.set()
        if self.commit_index > former_index and self.log.needs_compaction(self.commit_index):
            self._start_compaction()
        if self.state.configuration.version != version:
            self.on_configuration_change()
        self.notify()

    def restore(self, snapshot: Snapshot) -> None:
        """Replace the state by a snapshot that the leader has sent.

        Changes that wait for an entry covered by the snapshot are answered with
        code 4102 and an unknown outcome.
        """
        self.state.restore(snapshot.state)
        self.commit_index = snapshot.index
        for index in [item for item in self._waiter_by_index if item <= snapshot.index]:
            self._waiter_by_index.pop(index).done.set()
        self.on_configuration_change()
        self.notify()

    def _start_compaction(self) -> None:
        if self._compacting or self._group is None or self.log.is_disk_full:
            return
        self._compacting = True
        term = self.log.term_at(self.commit_index)
        assert term is not None
        snapshot = Snapshot(index=self.commit_index, term=term, state=self.state.image())
        self._group.start_soon(self._compact, snapshot)

    async def _compact(self, snapshot: Snapshot) -> None:
        try:
            if snapshot.index > self.log.snapshot_index:
                await self.log.compact(snapshot)
                self.counters.add("control.compactions")
        except DiskFullError as error:
            self.counters.add("control.compactions_failed")
            _log.warning("compaction is tried again after {:.0f} s: {}", COMPACTION_RETRY_S, error)
            await self.timers.sleep(COMPACTION_RETRY_S)
        finally:
            self._compacting = False

    # Requests

    async def change(self, change: Change) -> ChangeReply:
        """As leader, commit a change and return its reply.

        With code 4102 the message says whether the change was certainly not
        accepted or its outcome is unknown. A command id that was answered
        before gets the same reply again.
        """
        answer = self.state.answer_by_command.get(change.command_id)
        if answer is not None:
            return answer
        if change.action in MEMBER_ACTIONS and not await self.wait_for(
            self.is_fully_committed, CHANGE_TIMEOUT_S
        ):
            return self.no_majority_reply(NOT_ACCEPTED_MESSAGE)
        if self.role is not Role.LEADER:
            return self.no_majority_reply(NOT_ACCEPTED_MESSAGE)
        obstacle = self._storage_obstacle()
        if obstacle:
            self.counters.add("control.changes_refused_disk_full")
            return self.no_majority_reply(f"{NOT_ACCEPTED_MESSAGE} ({obstacle})")
        waiter = _Waiter(term=self.log.term, done=anyio.Event())
        self._waiter_by_index[self.append_as_leader(self._entry_for_change(change))] = waiter
        with anyio.move_on_after(CHANGE_TIMEOUT_S):
            await waiter.done.wait()
        return waiter.answer or self.no_majority_reply(OUTCOME_UNKNOWN_MESSAGE)

    def no_majority_reply(self, message: str) -> ChangeReply:
        """Build a reply with code 4102 and the configuration version known here."""
        return ChangeReply(ResultCode.NO_MAJORITY, self.state.configuration.version, message)

    def _storage_obstacle(self) -> str:
        """Return why a new entry could not be stored now, empty if it could."""
        if self.log.is_disk_full:
            return f"the disk of the leader {self.node_id} is full"
        members = self.log.disk_by_member()
        full_ids = [
            member_id
            for member_id in sorted(members)
            if (progress := self.progress_by_id.get(member_id)) and progress.disk_full
        ]
        if len(members) - len(full_ids) > len(members) // 2:
            return ""
        return f"the disks of {', '.join(full_ids)} are full, {len(full_ids)} of {len(members)}"

    async def confirm_leadership(self, timeout_s: float) -> bool:
        """Return whether this replica is still the leader, so that its state is the latest.

        A majority must answer a heartbeat that is sent after this call, and an
        entry of the current term must be committed. False if that does not
        happen within `timeout_s`.
        """
        if self.role is not Role.LEADER:
            return False
        term = self.log.term
        self.round += 1
        requested_round = self.round
        self.notify()

        def is_leader() -> bool:
            return self.role is Role.LEADER and self.log.term == term

        def is_confirmed() -> bool:
            return (
                is_leader()
                and self.log.term_at(self.commit_index) == term
                and self.holds_for_majority(lambda progress: progress.round >= requested_round)
            )

        await self.wait_for(lambda: is_confirmed() or not is_leader(), timeout_s)
        return is_confirmed()

    def has_majority(self) -> bool:
        """Return whether this replica had contact with a majority within an election time-out.

        For a follower, contact with the leader is enough.
        """
        limit = self.timers.now() - ELECTION_TIMEOUT_S
        if self.role is Role.LEADER:
            return self.holds_for_majority(lambda progress: progress.acked_at >= limit)
        return self.leader_id is not None and self.leader_contact_at >= limit

    def is_current(self) -> bool:
        """Return whether reads here are as new as the contact to a majority.

        Contact alone does not show that: a follower may lack what its leader has committed, and a
        new leader does not know what is committed before an entry of its own term is.
        """
        if self.role is Role.LEADER and self.log.term_at(self.commit_index) != self.log.term:
            return False
        return self.has_majority() and not self.unapplied_entries() and not self.lacks_entries

    def unapplied_entries(self) -> int:
        """Return how many entries the leader has committed, by its last message, but not this one.

        0 for the leader itself.
        """
        if self.role is Role.LEADER:
            return 0
        return max(0, self.leader_commit_index - self.commit_index)

    def is_fully_committed(self) -> bool:
        """Return whether this leader has committed all entries, the last of its own term.

        Also True if this replica is not the leader.
        """
        return (
            self.role is not Role.LEADER
            or self.commit_index == self.log.last_index
            and self.log.term_at(self.commit_index) == self.log.term
        )

    def _entry_for_change(self, change: Change) -> Entry:
        term = self.log.term
        if change.action not in MEMBER_ACTIONS:
            return Entry(term=term, change=change)
        # All entries are committed here, so the preview equals the reply after the commit.
        if self.state.preview(change).code != ResultCode.ACCEPTED:
            return Entry(term=term, change=change)
        members = dict(self.log.disk_by_member())
        if change.action == "remove_member":
            del members[change.target]
            return Entry(term=term, change=change, disk_by_member=members)
        refusal = self._learner_refusal(change.target)
        if refusal is not None:
            return Entry(term=term, change=change, refusal=refusal)
        if change.target != self.node_id:
            members[change.target] = self.progress_by_id[change.target].disk_id
        return Entry(term=term, change=change, disk_by_member=members)

    def _learner_refusal(self, member_id: str) -> ChangeReply | None:
        """Return the refusal of a learner that may not become a member yet, None if it may."""
        version = self.state.configuration.version
        if member_id == self.node_id:
            return None
        if member_id not in self.peer_ids():
            return ChangeReply(
                ResultCode.NOT_FOUND,
                version,
                f"no control process {member_id!r} has contacted the leader; start it first",
            )
        progress = self.progress_by_id.get(member_id)
        match_index = progress.match_index if progress and progress.disk_id else -1
        if self.log.last_index - match_index > MAX_LEARNER_LAG_ENTRIES or match_index < 0:
            return ChangeReply(
                ResultCode.INVALID_COMMAND,
                version,
                f"control process {member_id!r} has not caught up: it has "
                f"{max(match_index, 0)} of {self.log.last_index} entries; try again later "
                "with a new command id",
            )
        return None

    # Background tasks

    async def run(
        self,
        *,
        campaign: Callable[[Replica], Coroutine[Any, Any, None]],
        replicate: Callable[[Replica, str], Coroutine[Any, Any, None]],
    ) -> None:
        """Run the replica until cancelled, with one task for each peer.

        `campaign` starts elections, `replicate` sends entries to one peer.
        """
        async with anyio.create_task_group() as group:
            self._group = group
            group.start_soon(self._sync_log)
            group.start_soon(self._check_leadership)
            group.start_soon(campaign, self)
            running: set[str] = set()

            async def replicate_to(peer_id: str) -> None:
                await replicate(self, peer_id)
                running.discard(peer_id)

            while True:
                for peer_id in sorted(set(self.peer_ids()) - running):
                    running.add(peer_id)
                    self._connect(peer_id)
                    group.start_soon(replicate_to, peer_id)
                await self._notified.wait()

    async def _sync_log(self) -> None:
        """As leader, sync the own log; followers sync before they reply to the leader."""
        while True:
            term, index = self.log.term, self.log.last_index
            if self.role is not Role.LEADER or index == self.synced_index:
                await self._notified.wait()
                continue
            if not await self.log.try_sync():
                if self.role is Role.LEADER:
                    self.step_down(f"the disk of {self.node_id} is full")
                continue
            if self.role is Role.LEADER and self.log.term == term:
                self.synced_index = index
                self.advance_commit()

    async def _check_leadership(self) -> None:
        """Step down without contact to a majority, or with a disk that is full or stalls."""
        while True:
            await self.timers.sleep(HEARTBEAT_INTERVAL_S)
            # A term that a reply has raised stays queued until the next request is handled.
            self.stall.update(
                self.timers.now(), self.log.synced_count, self.log.is_waiting_for_disk
            )
            if self.role is not Role.LEADER:
                continue
            if self.log.is_disk_full:
                self.step_down(f"the disk of {self.node_id} is full")
                continue
            if self.stall.is_stalled and self._others_can_store():
                self.step_down(
                    f"the disk of {self.node_id} has synced nothing for {STALL_TIMEOUT_S} s"
                )
                continue
            # A new leader has one election time-out to receive its first replies.
            is_new = self.timers.now() - self.leader_since < ELECTION_TIMEOUT_S
            if not is_new and not self.has_majority():
                _log.notice("no longer leader in term {}: no contact to a majority", self.log.term)
                self.become_follower(self.log.term, None)
                continue
            self.leader_contact_at = self.timers.now()
            self._record_member_disks()

    def _others_can_store(self) -> bool:
        """Return whether a majority without this replica is in contact and has free space."""
        limit = self.timers.now() - ELECTION_TIMEOUT_S
        return self.holds_for_majority(
            lambda progress: progress.acked_at >= limit and not progress.disk_full, own=False
        )

    def _record_member_disks(self) -> None:
        """Add the disk ids of a new deployment's members to the log once they are known."""
        if not self.is_fully_committed():
            return
        members = dict(self.log.disk_by_member())
        for member_id, recorded in members.items():
            if recorded:
                continue
            if member_id == self.node_id:
                members[member_id] = self.identity.disk_id
            elif (progress := self.progress_by_id.get(member_id)) and progress.first:
                members[member_id] = progress.disk_id
        if members != self.log.disk_by_member():
            self.append_as_leader(Entry(term=self.log.term, disk_by_member=members))
