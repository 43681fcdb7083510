"""Messages between control processes, and the records of the replicated log."""

from __future__ import annotations

import attrs

from apricotpoint._wire import codec
from apricotpoint._wire.configuration import Change, ChangeReply, Configuration


@attrs.frozen
class Entry:
    """One entry of the log: a change, a list of members, both, or neither (a no-op).

    `disk_by_member` is the complete list of members with the disk id of each,
    in force from the moment the entry is appended. `refusal` is the answer of
    a membership change that the leader has refused; it is replicated, so that
    a resent command gets it again.
    """

    term: int
    change: Change | None = None
    disk_by_member: dict[str, str] | None = None
    refusal: ChangeReply | None = None


@attrs.frozen
class StateImage:
    """The replicated state as kept in snapshots; `answers` are in the order of the log."""

    configuration: Configuration
    answers: list[tuple[str, ChangeReply]]
    disk_by_member: dict[str, str]


@attrs.frozen
class Snapshot:
    """The state after the entry `index`."""

    index: int
    term: int
    state: StateImage


@attrs.frozen
class PreVote:
    """Asks whether a vote for the sender would be granted in `term`; changes nothing."""

    term: int
    last_index: int
    last_term: int


@attrs.frozen
class Vote:
    """Asks for a vote in `term`."""

    term: int
    last_index: int
    last_term: int


@attrs.frozen
class VoteReply:
    """Answer to `PreVote` and `Vote`. `first` is False for a replaced disk."""

    term: int
    granted: bool
    disk_id: str
    first: bool


@attrs.frozen
class Append:
    """Entries after `previous_index`, or none as a heartbeat."""

    term: int
    previous_index: int
    previous_term: int
    entries: list[Entry]
    commit_index: int


@attrs.frozen
class AppendReply:
    """Answer to `Append` and `InstallSnapshot`.

    `match_index` is the last index known to be equal and synced;
    `next_index` is where the leader should continue after a mismatch.
    """

    term: int
    matched: bool
    match_index: int
    next_index: int
    disk_id: str
    first: bool


@attrs.frozen
class InstallSnapshot:
    """The state for a replica that is behind the start of the leader's log."""

    term: int
    snapshot: Snapshot


@attrs.frozen
class ChangeForward:
    """Passes a change to the leader, which does not pass it on again."""

    change: Change


@attrs.frozen
class StartCheck:
    """Reports a start of a control process and asks for a newer one.

    `initialised_at` is in unix seconds. Also names a learner to the leader.
    """

    disk_id: str
    initialised_at: float
    start_counter: int
    start_nonce: int


@attrs.frozen
class StartCheckReply:
    """The newest start that the replica knows; `newer` if it is not the one reported."""

    newest: StartCheck
    newer: bool


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
