"""Messages between control processes, and the entries and snapshots of the replicated log."""

from __future__ import annotations

import attrs

from apricotpoint._wire import codec
from apricotpoint._wire.configuration import Change, ChangeReply, Configuration


@attrs.frozen
class Entry:
    """One entry of the log: a change, a list of members, both, or neither (a no-op).

    `disk_by_member` is the complete list of members with the disk id of each;
    it is active as soon as the entry is appended, before it is committed.
    `refusal` is the reply to a membership change that the leader has refused.
    It is replicated, so that a resent command gets the same reply from any
    later leader.
    """

    term: int
    change: Change | None = None
    disk_by_member: dict[str, str] | None = None
    refusal: ChangeReply | None = None


@attrs.frozen
class StateImage:
    """The replicated state as stored in snapshots.

    `answers` has the reply to each command id, in the order of the log.
    """

    configuration: Configuration
    answers: list[tuple[str, ChangeReply]]
    disk_by_member: dict[str, str]


@attrs.frozen
class Snapshot:
    """The replicated state after the entry at `index`, which is of `term`."""

    index: int
    term: int
    state: StateImage


@attrs.frozen
class ReplicaTraits:
    """What decides whether a replica becomes a member.

    One that `may_vote` counts among the losses that the deployment tolerates. Any number of the
    others may be lost at the same time, so they only follow the log. `failure_domain` is empty
    if it is not known.
    """

    may_vote: bool = True
    failure_domain: str = ""


@attrs.frozen
class PreVote:
    """Asks whether the receiver would vote for the sender in `term`; changes nothing there.

    `last_index` and `last_term` are those of the sender's last log entry.
    """

    term: int
    last_index: int
    last_term: int


@attrs.frozen
class Vote:
    """Asks for a vote in `term`.

    `last_index` and `last_term` are those of the candidate's last log entry.
    """

    term: int
    last_index: int
    last_term: int


@attrs.frozen
class VoteReply:
    """Reply to `PreVote` and `Vote`; `first` is False for a disk that replaces a lost one."""

    term: int
    granted: bool
    disk_id: str
    first: bool


@attrs.frozen
class Append:
    """The leader's entries after `previous_index`, none for a heartbeat.

    The receiver accepts them only if its entry at `previous_index` has the
    term `previous_term`.
    """

    term: int
    previous_index: int
    previous_term: int
    entries: list[Entry]
    commit_index: int


@attrs.frozen
class AppendReply:
    """Reply to `Append` and `InstallSnapshot`.

    `match_index` is the last index up to which the log is synced and equal to
    the leader's; `next_index` is where the leader should continue. With
    `disk_full` a reply that does not match acknowledges nothing: the entries
    before `next_index` are in memory at most.
    """

    term: int
    matched: bool
    match_index: int
    next_index: int
    disk_id: str
    first: bool
    traits: ReplicaTraits = ReplicaTraits()
    disk_full: bool = False


@attrs.frozen
class InstallSnapshot:
    """A snapshot for a replica that needs entries which the leader has compacted."""

    term: int
    snapshot: Snapshot


@attrs.frozen
class ChangeForward:
    """Forwards a change to the leader; a receiver that is not the leader refuses it."""

    change: Change


@attrs.frozen
class StartCheck:
    """Reports a start of the sending control process and asks whether a newer one is known.

    `initialised_at` is in unix seconds. A receiver that does not have the
    sender as a member also adds it as a learner, unless it knows a newer start.
    """

    disk_id: str
    initialised_at: float
    start_counter: int
    start_nonce: int
    may_vote: bool = True


@attrs.frozen
class StartCheckReply:
    """Reply to `StartCheck`: the newest known start of the sender.

    `newer` is True if that is a newer start than the one reported. `control_ids` are the members
    that the receiver knows: the leader, which alone can add the sender, need not be among the
    processes that the sender was told of. Without `stored` the start was not recorded, because
    the disk of the receiver is full, and the sender must ask again.
    """

    newest: StartCheck
    newer: bool
    control_ids: list[str] = attrs.Factory(list)
    stored: bool = True


codec.register(
    Append,
    AppendReply,
    ChangeForward,
    InstallSnapshot,
    PreVote,
    StartCheck,
    StartCheckReply,
    Vote,
    VoteReply,
)
