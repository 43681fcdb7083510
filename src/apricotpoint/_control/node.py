"""A control process: replica, key registry and configuration server."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Collection, Iterable, Mapping, Sequence
from pathlib import Path
from types import TracebackType
from typing import Any

import anyio
import anyio.abc
import attrs
import logbook

from apricotpoint._control import election, replication
from apricotpoint._control.diskspace import retry_while_full, watch_space
from apricotpoint._control.documents import DocumentChunks
from apricotpoint._control.identity import Identity, record_start
from apricotpoint._control.lag import LagRecorder
from apricotpoint._control.log import Log
from apricotpoint._control.membership import DEFAULT_TOLERANCE, FaultTolerance, maintain_members
from apricotpoint._control.messages import (
    Append,
    ChangeForward,
    InstallSnapshot,
    PreVote,
    ReplicaTraits,
    StartCheck,
    StartCheckReply,
    Vote,
)
from apricotpoint._control.registry import KeyRegistry
from apricotpoint._control.replica import (
    CHANGE_TIMEOUT_S,
    ELECTION_TIMEOUT_S,
    HEARTBEAT_INTERVAL_S,
    NOT_ACCEPTED_MESSAGE,
    OUTCOME_UNKNOWN_MESSAGE,
    Replica,
    Role,
)
from apricotpoint._control.starts import NewestStarts
from apricotpoint._control.storage import DiskFullError, Storage
from apricotpoint._core.codes import ResultCode
from apricotpoint._core.counters import Counters
from apricotpoint._core.errors import ApricotError
from apricotpoint._core.timers import TimerService
from apricotpoint._link.transport import PeerUnreachable, Sender, Transport
from apricotpoint._wire.configuration import (
    Change,
    ChangeReply,
    ChangeRequest,
    ChunkRequest,
    ConfigPoll,
    Document,
    DocumentReply,
    DocumentRequest,
)
from apricotpoint._wire.jobs import Claim

# Time-out of a start check, and the interval at which a learner reports to the members.
_START_CHECK_TIMEOUT_S = 1.0
# A process without a leader logs that after this many reports.
_REPORTS_BEFORE_NOTICE = 5
_MAX_LEADER_WAIT_S = 2.0
_MAX_POLL_WAIT_S = 10.0
_CLAIM_COMPACTION_INTERVAL_S = 10.0
# Replicas that never vote must leave room for those that may replace a member.
_MAX_LEARNERS, _MAX_VOTING_LEARNERS = 8, 16
# Half of it is for the leader to contact a majority, the rest for the request to the leader.
_DOCUMENT_READ_TIMEOUT_S = 1.0

_log = logbook.Logger("control")


class ControlNode:
    """One control process: replica, key registry and configuration server.

    Use as an async context manager. The data folder must have been initialised
    (`identity.initialise`). A failed sync (5103, or 5104 for lack of space), or
    a newer start of this node elsewhere (5105), ends the node with
    `ApricotError`; no request is acknowledged after that. With a full disk it
    goes on without storing anything; its start waits until its start counter
    is stored, unless `identity` is the result of `record_start` for this start.
    `storage` is for tests.

    `members` are the other control processes known at the start. With
    `initial_members`, the members of a new deployment are exactly these, and
    the leader replaces unreachable members by control processes that report
    to it and that may vote, so that `tolerance` is kept. Otherwise the initial
    members are `members` and this process, and only operators change them.
    A process that may not vote only follows the log; unlike the others it may
    be lost at any time, beside the tolerated losses. `connect` is called with
    the id of each control process that becomes known. `seeds` returns the control
    processes in the current settings, which may change; the default is `members`.
    """

    def __init__(
        self,
        *,
        node_id: str,
        failure_domain: str,
        members: Sequence[str],
        data_folder: Path,
        transport: Transport,
        timers: TimerService,
        counters: Counters,
        random: random.Random,
        storage: Storage | None = None,
        identity: Identity | None = None,
        initial_members: Sequence[str] | None = None,
        tolerance: FaultTolerance = DEFAULT_TOLERANCE,
        may_vote: bool = True,
        connect: Callable[[str], None] = lambda _: None,
        seeds: Callable[[], Collection[str]] | None = None,
    ) -> None:
        self.node_id = node_id
        self.failure_domain = failure_domain
        self._seeds = seeds or (lambda: members)
        self._transport = transport
        self._timers = timers
        self._counters = counters
        self._random = random
        self._storage = storage or Storage(data_folder)
        self._recorded_identity = identity
        self._manages_members = initial_members is not None
        self._tolerance = tolerance
        self._connect = connect
        self._reported_ids: set[str] = set()
        self._traits = ReplicaTraits(may_vote=may_vote, failure_domain=failure_domain)
        self._log = Log(
            self._storage,
            initial_members=list(initial_members or sorted({*members, node_id})),
        )
        self._starts = NewestStarts(self._storage)
        # Wakes the polls that wait: there is a new version, or this replica is no longer current.
        self._polls_answerable = anyio.Event()
        self._document_chunks = DocumentChunks()
        self._start_known, self._start_checked = anyio.Event(), anyio.Event()
        self._group: anyio.abc.TaskGroup | None = None
        self._identity: Identity
        self.replica: Replica
        self.registry: KeyRegistry

    async def __aenter__(self) -> ControlNode:
        identity = self._recorded_identity
        if identity is None:
            identity = await retry_while_full(
                self._storage,
                self._timers,
                lambda: record_start(self._storage, node_id=self.node_id, random=self._random),
                f"start of {self.node_id}",
            )
        self._identity = identity
        self._starts.open()
        await self._log.open()
        self.registry = KeyRegistry(
            self._storage,
            timers=self._timers,
            counters=self._counters,
            disk_replaced_at=None if identity.first else identity.initialised_at,
        )
        await self.registry.open()
        self.replica = Replica(
            node_id=self.node_id,
            identity=identity,
            traits=self._traits,
            log=self._log,
            transport=self._transport,
            timers=self._timers,
            counters=self._counters,
            random=self._random,
            connect=self._connect,
        )
        self.replica.on_configuration_change = self._notify_configuration_changed
        self._set_evacuation_gauge()
        self._register_handler(StartCheck, self._on_start_check)
        self._group = anyio.create_task_group()
        await self._group.__aenter__()
        self._group.start_soon(self._stop_on_failure)
        self._group.start_soon(
            watch_space, self._storage, self._timers, self._counters, self.replica.notify
        )
        self._group.start_soon(self._run)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool | None:
        assert self._group is not None
        self._group.cancel_scope.cancel()
        try:
            return await self._group.__aexit__(exc_type, exc, traceback)
        finally:
            self._log.close()
            self.registry.close()

    def rows(self) -> list[dict[str, Any]]:
        """Return the rows of the operators' table of control members and learners.

        The leader returns a row for each of them, so its followers return
        none. A process without contact to a majority returns only its own row.
        """
        replica = self.replica
        members = self._log.disk_by_member()
        if replica.role is Role.LEADER:
            return [
                self._member_row(member_id, members)
                for member_id in sorted({*members, *replica.learner_ids, self.node_id})
            ]
        return [] if replica.has_majority() else [self._member_row(self.node_id, members)]

    def _member_row(self, member_id: str, members: Mapping[str, str]) -> dict[str, Any]:
        replica = self.replica
        progress = replica.progress_by_id.get(member_id)
        if member_id == self.node_id:
            role, match_index = replica.role.value, self._log.last_index
        else:
            last_contact_at = progress.acked_at if progress else float("-inf")
            live = self._timers.now() - last_contact_at <= ELECTION_TIMEOUT_S
            role = _peer_role(live=live, member=member_id in members)
            match_index = progress.match_index if progress else 0
        return {
            "vm": member_id,
            "member": member_id in members,
            "disk_id": members.get(member_id, ""),
            "role": role,
            "leader": member_id == replica.leader_id,
            "match_index": match_index,
        }

    def dump(self) -> dict[str, Any]:
        """Return the state of the process for a state dump, as plain data."""
        replica = self.replica
        return {
            "node_id": self.node_id,
            "failure_domain": self.failure_domain,
            "disk_id": self._identity.disk_id,
            "first_disk": self._identity.first,
            "start_counter": self._identity.start_counter,
            "role": replica.role.value,
            "term": self._log.term,
            "leader": replica.leader_id,
            "has_majority": replica.has_majority(),
            "config_version": replica.state.configuration.version,
            "commit_index": replica.commit_index,
            "last_index": self._log.last_index,
            "snapshot_index": self._log.snapshot_index,
            "log_bytes": self._log.file_bytes,
            "members": dict(self._log.disk_by_member()),
            "learners": sorted(replica.learner_ids),
            "answers_kept": len(replica.state.answer_by_command),
            "claims": self.registry.claims,
            "claims_bytes": self.registry.file_bytes,
            "failure": str(self._storage.failure) if self._storage.failure else None,
            "disk_full": str(self._storage.full) if self._storage.full else None,
            "disk_stalled": replica.stall.is_stalled,
            "counters": self._counters.snapshot(),
        }

    async def _run(self) -> None:
        await self._wait_for_start_check()
        self._register_handler(Append, self._on_append)
        self._register_handler(InstallSnapshot, self._on_install_snapshot)
        self._register_handler(PreVote, self._on_pre_vote)
        self._register_handler(Vote, self._on_vote)
        self._register_handler(Claim, self._on_claim)
        self._register_handler(ConfigPoll, self._on_config_poll)
        self._register_handler(ChunkRequest, self._on_chunk_request)
        self._register_handler(ChangeRequest, self._on_change)
        self._register_handler(ChangeForward, self._on_change_forward)
        self._register_handler(DocumentRequest, self._on_document_request)
        self._start_checked.set()
        async with anyio.create_task_group() as group:
            if self._manages_members:
                group.start_soon(maintain_members, self.replica, self._tolerance)
            group.start_soon(self._compact_claims)
            group.start_soon(self._report_as_learner)
            group.start_soon(self._watch_currency)
            await self.replica.run(campaign=election.campaign, replicate=replication.replicate)

    async def _stop_on_failure(self) -> None:
        await self._storage.failed.wait()
        self._storage.check()

    def _register_handler(
        self, message_type: type, handler: Callable[[Sender, Any], Awaitable[object]]
    ) -> None:
        async def handle_unless_failed(sender: Sender, message: object) -> object:
            try:
                return await handler(sender, message)
            except ApricotError:
                if self._storage.failure is None:
                    raise
                # The process is about to stop: the request must stay unanswered, so that the
                # sender treats its outcome as unknown.
                await anyio.sleep_forever()
                raise

        self._transport.request_handlers_by_type[message_type] = handle_unless_failed

    # Starts

    def _own_start(self) -> StartCheck:
        identity = self._identity
        return StartCheck(
            disk_id=identity.disk_id,
            initialised_at=identity.initialised_at,
            start_counter=identity.start_counter,
            start_nonce=identity.start_nonce,
            may_vote=self._traits.may_vote,
        )

    async def _wait_for_start_check(self) -> None:
        """Return when at least one other control process knows no newer start of this node.

        Without such a reply the disk may be an outdated copy, and votes and
        claims based on it would be wrong. The remaining processes are asked in
        the background.
        """
        for message_type in (Append, InstallSnapshot, PreVote, Vote):
            self._register_handler(message_type, self._on_early_request)
        unanswered = 0
        while not self._start_known.is_set():
            # The processes in the settings may all be gone; the log names those that followed them.
            other_ids = {*self._seeds(), *self._log.disk_by_member()} - {self.node_id}
            if not other_ids:
                return
            for other_id in sorted(other_ids):
                self._check_start_with(other_id)
            with anyio.move_on_after(_START_CHECK_TIMEOUT_S) as scope:
                await self._start_known.wait()
            unanswered += scope.cancelled_caught
            if scope.cancelled_caught and unanswered % _REPORTS_BEFORE_NOTICE == 0:
                _log.notice(
                    "no other control process has answered since the start: asked {}",
                    sorted(self._reported_ids),
                )
        # The other processes get a short time to report a newer start.
        await self._timers.sleep(_START_CHECK_TIMEOUT_S / 2)

    async def _on_early_request(self, sender: Sender, message: object) -> object:
        """Handle a request of a control process that came before the start check.

        The process that restarts with an empty disk may know none of those that run, but
        they still send to its address.
        """
        self._check_start_with(sender.peer_id)
        await self._start_checked.wait()
        return await self._transport.request_handlers_by_type[type(message)](sender, message)

    def _check_start_with(self, other_id: str) -> None:
        if other_id in self._reported_ids:
            return
        assert self._group is not None
        self._reported_ids.add(other_id)
        self._connect(other_id)
        self._group.start_soon(self._check_start_until_answered, other_id)

    async def _check_start_until_answered(self, other_id: str) -> None:
        while not await self._report_start(other_id):
            await self._timers.sleep(_START_CHECK_TIMEOUT_S / 4)
        self._start_known.set()

    async def _report_start(self, other_id: str) -> bool:
        try:
            reply = await self._transport.request(
                other_id, self._own_start(), timeout_s=_START_CHECK_TIMEOUT_S
            )
        except PeerUnreachable:
            return False
        assert isinstance(reply, StartCheckReply)
        self._report_to_others(reply.control_ids)
        if reply.newer:
            raise ApricotError(
                ResultCode.OLD_DISK,
                f"control process {other_id!r} knows a newer start of {self.node_id!r}: start "
                f"{reply.newest.start_counter} from disk {reply.newest.disk_id}; this is start "
                f"{self._identity.start_counter} from disk {self._identity.disk_id}",
                remedy="attach the newer disk, or initialise an empty folder without --first",
            )
        return reply.stored

    def _report_to_others(self, control_ids: Iterable[str]) -> None:
        assert self._group is not None
        for other_id in sorted({*control_ids} - self._reported_ids - {self.node_id}):
            self._reported_ids.add(other_id)
            self._connect(other_id)
            self._group.start_soon(self._report_start, other_id)

    async def _on_start_check(self, sender: Sender, message: StartCheck) -> object:
        reply = await self._starts.report(sender.peer_id, message)
        replica = self.replica
        is_member = sender.peer_id in self._log.disk_by_member()
        max_learners = _MAX_VOTING_LEARNERS if message.may_vote else _MAX_LEARNERS
        if not reply.newer and not is_member:
            replica.admit_learner(sender.peer_id, max_learners)
        return attrs.evolve(reply, control_ids=sorted(self._log.disk_by_member()))

    async def _report_as_learner(self) -> None:
        reports = 0
        while True:
            await self._timers.sleep(_START_CHECK_TIMEOUT_S)
            replica = self.replica
            # A member that was removed while it was partitioned still counts itself as a member.
            if replica.has_majority() or (replica.is_voter() and not self._manages_members):
                reports = 0
                continue
            async with anyio.create_task_group() as group:
                known_ids = {*replica.peer_ids(), *self._seeds(), *self._reported_ids}
                for other_id in sorted(known_ids - {self.node_id}):
                    self._connect(other_id)
                    group.start_soon(self._report_start, other_id)
            reports += 1
            if reports % _REPORTS_BEFORE_NOTICE == 0:
                _log.notice(
                    "no leader for {} reports, {} in term {}: members {}, reported to {}",
                    reports,
                    replica.role.value,
                    self._log.term,
                    self._log.disk_by_member(),
                    sorted(known_ids),
                )

    # Replica

    async def _on_append(self, sender: Sender, message: Append) -> object:
        return await replication.on_append(self.replica, sender.peer_id, message)

    async def _on_install_snapshot(self, sender: Sender, message: InstallSnapshot) -> object:
        return await replication.on_install_snapshot(self.replica, sender.peer_id, message)

    async def _on_pre_vote(self, _: Sender, message: PreVote) -> object:
        return election.on_pre_vote(self.replica, message)

    async def _on_vote(self, sender: Sender, message: Vote) -> object:
        return await election.on_vote(self.replica, sender.peer_id, message)

    # Configuration

    def _set_evacuation_gauge(self) -> None:
        evacuated = self.replica.state.configuration.evacuated_domains()
        self._counters.set_gauge("configuration.evacuated_domains", len(evacuated))

    def _notify_configuration_changed(self) -> None:
        self._set_evacuation_gauge()
        self._wake_polls()

    def _wake_polls(self) -> None:
        self._polls_answerable.set()
        self._polls_answerable = anyio.Event()

    async def _watch_currency(self) -> None:
        """Answer the polls that wait when this replica ceases to be current, and record lags."""
        lag = LagRecorder(self._counters)
        while True:
            await self._timers.sleep(HEARTBEAT_INTERVAL_S)
            if not self.replica.is_current():
                self._wake_polls()
            lag.update(self.replica, self._timers.now())

    async def _on_config_poll(self, _: Sender, message: ConfigPoll) -> object:
        replica = self.replica
        wait_s = min(message.wait_s, _MAX_POLL_WAIT_S)
        if wait_s <= 0:
            # A process that starts needs a version at least as new as every change that was
            # accepted before, which only a confirmed leader can guarantee.
            await replica.confirm_leadership(ELECTION_TIMEOUT_S / 2)
        with anyio.move_on_after(wait_s):
            # One that is not current is answered at once, so that it asks another process.
            while replica.state.configuration.version <= message.version and replica.is_current():
                await self._polls_answerable.wait()
        return self._document_chunks.make_update(
            replica.state.configuration,
            message.version,
            current=replica.is_current(),
            chunked=message.chunked,
        )

    async def _on_chunk_request(self, _: Sender, message: ChunkRequest) -> object:
        return self._document_chunks.answer(message)

    async def _on_change(self, _: Sender, message: ChangeRequest) -> object:
        return await self.change(message.change)

    async def change(self, change: Change) -> ChangeReply:
        """Commit a change, through the leader if this is a follower, and return the reply.

        The code is 4102 if there is no leader with a majority or no reply in
        time; the message says whether the outcome is unknown.
        """
        replica = self.replica
        await replica.wait_for(lambda: replica.leader_id is not None, _MAX_LEADER_WAIT_S)
        if replica.role is Role.LEADER:
            return await replica.change(change)
        if replica.leader_id is None:
            reason = f" (the disk of {self.node_id} is full)" if self._log.is_disk_full else ""
            return replica.no_majority_reply(f"{NOT_ACCEPTED_MESSAGE}{reason}")
        try:
            reply = await self._transport.request(
                replica.leader_id,
                ChangeForward(change),
                timeout_s=2 * CHANGE_TIMEOUT_S + 0.5,
            )
        except PeerUnreachable:
            return replica.no_majority_reply(OUTCOME_UNKNOWN_MESSAGE)
        assert isinstance(reply, ChangeReply)
        return reply

    async def _on_change_forward(self, _: Sender, message: ChangeForward) -> object:
        if self.replica.role is not Role.LEADER:
            return self.replica.no_majority_reply(NOT_ACCEPTED_MESSAGE)
        return await self.replica.change(message.change)

    async def document(self) -> Document | None:
        """Return the latest document, None if no leader confirms within 1 s which one it is."""
        replica = self.replica
        if replica.role is Role.LEADER:
            confirmed = await replica.confirm_leadership(_DOCUMENT_READ_TIMEOUT_S / 2)
            return replica.state.configuration.document if confirmed else None
        if replica.leader_id is None:
            return None
        try:
            reply = await self._transport.request(
                replica.leader_id, DocumentRequest(), timeout_s=_DOCUMENT_READ_TIMEOUT_S
            )
        except PeerUnreachable:
            return None
        assert isinstance(reply, DocumentReply)
        return reply.document

    async def _on_document_request(self, _: Sender, __: DocumentRequest) -> object:
        if self.replica.role is not Role.LEADER:
            return DocumentReply()
        return DocumentReply(await self.document())

    # Claims

    async def _on_claim(self, _: Sender, message: Claim) -> object:
        return await self.registry.claim(message)

    async def _compact_claims(self) -> None:
        while True:
            await self._timers.sleep(_CLAIM_COMPACTION_INTERVAL_S)
            try:
                await self.registry.compact()
            except DiskFullError as error:
                self._counters.add("claims.compactions_failed")
                _log.warning("claims are compacted later: {}", error)


def _peer_role(*, live: bool, member: bool) -> str:
    if not live:
        return "unreachable"
    return "follower" if member else "learner"
