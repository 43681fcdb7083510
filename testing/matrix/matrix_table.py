"""The fault matrix: for each operation, step and fault the allowed outcome.

A row has one sign for each step of its operation: a digit or capital letter
names an outcome, a small letter the reason why the cell does not apply.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterator

import attrs


@attrs.frozen
class Outcome:
    """What may be seen in a cell.

    `codes` may be answered to the caller, 0 stands for a connection that ended
    with its process. `starts` are the allowed numbers of starts of a task at
    that time, `again` the codes of a resubmission through another entry
    process, `cancel` those of the cancellation (as `codes` if empty).
    """

    text: str
    codes: set[int]
    starts: set[int]
    again: set[int]
    cancel: set[int] = attrs.Factory(set)


_LATE = {1000, 3103, 3106, 3107}

OUTCOMES = {
    "D": Outcome("complete", {1000}, {1}, {1000}),
    "F": Outcome("every task ran, some failed", {1001}, {1}, {1001}),
    "G": Outcome("every task ran", {1000, 1001}, {1}, {1000, 1001}),
    "U": Outcome("home not reached, nothing started, runs later", {3102}, {0}, {1000}),
    "V": Outcome("complete, or home not reached", {1000, 3102}, {0, 1}, {1000}),
    "X": Outcome("home not reached, now and later", {3102}, {0}, {3102}),
    "N": Outcome("no answer, not claimed, runs later", {0}, {0}, {1000}),
    "K": Outcome("no answer, not started, not known later", {0}, {0}, {3101}),
    "L": Outcome("no answer, not known later", {0}, {0, 1}, {3101}),
    "R": Outcome("refused while draining, runs elsewhere", {2110}, {0}, {1000}),
    "T": Outcome("not started by the deadline, runs later", {2105, 2109}, {0}, {1000}),
    "B": Outcome("backend server or holder lost", {3106}, {0, 1}, {3106}),
    "M": Outcome("complete, or backend server or holder lost", {1000, 3106}, {0, 1}, {1000, 3106}),
    "0": Outcome("coordinator lost, nothing started, not known later", {3101}, {0}, {3101}),
    "1": Outcome("coordinator lost, not known later", {3101}, {0, 1}, {3101}),
    "2": Outcome("coordinator not reached, complete later", {3101}, {1}, {1000}),
    "3": Outcome("coordinator not reached, nothing started, runs later", {3101}, {0}, {1000}),
    "4": Outcome("complete, not known later", {1000}, {1}, {3101}),
    "5": Outcome("no answer, complete later", {0}, {0, 1}, {1000}),
    "6": Outcome("coordinator not reached, final outcome later", {3101}, {0, 1}, _LATE),
    "Z": Outcome("some tasks ran, some did not", {3107}, {0, 1}, {3107}),
    "E": Outcome("deadline passed, complete later", {3103}, {0, 1}, {1000}),
    "Q": Outcome("deadline passed, final outcome later", {3103}, {0, 1}, _LATE),
    "C": Outcome("cancelled before start", {2108}, {0}, {2108}),
    "S": Outcome("cancelled after start", {3104}, {0, 1}, {3104}),
    "W": Outcome("cancelled", {2108, 3104}, {0, 1}, {2108, 3104}),
    "Y": Outcome("cancelled after start, or complete", {1000, 3104}, {0, 1}, {1000, 3104}),
    "A": Outcome("no answer to caller, not known", {0}, {0, 1}, {3101}, {3101}),
    "J": Outcome("no answer to caller, cancelled after start", {0}, {0, 1}, {3101}, {3104}),
    "P": Outcome("complete, cancellation not delivered", {1000}, {1}, {1000}, {3101}),
    "I": Outcome("cancelled, answer to the cancellation lost", {3104}, {0, 1}, {3104}, {3101}),
    "O": Outcome("accepted, in force once", {4000}, {1}, {4000}),
    "H": Outcome("deadline passed, cancellation not delivered", {3103}, {0, 1}, _LATE, {3101}),
}

REASONS = {
    "m": "no message between own processes belongs to this step",
    "r": "declarations are part of the request and do not change later",
    "h": "the key registry has no part in the job after its answer to the claim",
    "s": "every task of the job has ended",
    "e": "holders and backend servers have no part in the job after its answer",
    "j": "jobs, backend servers and key registries have no part in a change",
    "l": "replicas of the configuration have no part in a job",
    "k": "a claim is about the key, not the tasks: as in operation request",
    "i": "no home has a part in the start of an issued key",
    "f": "the coordinator treats a forwarded request like its own: as in operation request",
    "w": "no other entry process forwards the request",
    "d": "the kind of change matters only to the log: as in operation change",
    "c": "the claim is answered before a task runs; a cancellation asks no home",
}

_JOB_STEPS = [
    "received",
    "claim_sent",
    "claim_synced",
    "claim_answered",
    "batch_sent",
    "batch_queued",
    "start_written",
    "backend_running",
    "result_received",
    "batch_result_sent",
    "answer_sent",
]

_CHANGE_STEPS = ["received", "forwarded", "appended", "synced", "committed", "answered", "applied"]

STEPS = {
    "issued": [
        "received",
        "forward_sent",
        *_JOB_STEPS[4:10],
        "forward_answered",
        "answer_sent",
    ],
    "request": _JOB_STEPS,
    "job": _JOB_STEPS,
    "cancellation": [
        "cancel_requested",
        "forwarded",
        "cancel_sent",
        "cancel_received",
        "backend_cancelled",
        "batch_result_sent",
        "cancel_answered",
        "answer_sent",
    ],
}

_CHANGE_FAULTS = [
    "leader_killed",
    "leader_isolated_long",
    "leader_isolated_inward",
    "leader_isolated_outward",
    "leader_paused",
    "asked_replica_killed",
    "asked_replica_isolated_long",
    "asked_replica_paused",
    "majority_killed",
    "all_killed",
    "entry_domain_cut",
    "entry_domain_cut_inward",
    "entry_domain_cut_outward",
    "equal_base_versions",
    "command_resent",
    "burst_of_changes",
    "second_lost_after_repair",
    "restart_after_hundreds",
    "leader_sync_failed",
    "leader_disk_full",
    "follower_sync_failed",
    "follower_disk_full",
    "old_disk_put_back",
]
_MESSAGE_FAULTS = ["message_dropped", "message_delayed", "message_repeated", "message_reordered"]

ROWS: dict[str, dict[str, str]] = {
    "request": {
        "coordinator_killed": "NKKKLLLLLLL",
        "coordinator_paused": "DVVVDDDDDDD",
        "coordinator_drained": "RDDDDDDDDDD",
        "holder_killed": "BBBBBBBBBDe",
        "holder_paused": "TTTTTTDDDDe",
        "holder_drained": "DDDDDDDDDDe",
        "backend_killed": "DDDDDDBBDDe",
        "backend_leaving": "DDDDDDDDDDe",
        "backend_fails_all": "FFFFFFFDsss",
        "connection_silent": "DDDDDDBDsss",
        "home_killed": "UUUDhhhhhhh",
        "home_isolated": "UUUUhhhhhhh",
        "home_sync_failed": "XXDDhhhhhhh",
        "home_disk_full": "XXDDhhhhhhh",
        "coordinator_domain_cut": "UUUUDDDDDDD",
        "coordinator_domain_cut_inward": "UUUUDDDDDDD",
        "coordinator_domain_cut_outward": "UUDDDDDDDDD",
        "coordinator_domain_cut_long": "UUUUEEEEEED",
        "holder_domain_cut": "DDDDDDDDDDe",
        "holder_domain_cut_inward": "DDDDDDDDDDe",
        "holder_domain_cut_outward": "DDDDDDDDDDe",
        "holder_domain_cut_long": "EEEEEEEEEEe",
        "message_dropped": "mUmUDmmmmDm",
        "message_delayed": "mUmUDmmmmDm",
        "message_repeated": "mDmDDmmmmDm",
        "message_reordered": "mDmDDmmmmDm",
        "straggler": "DDDDDDDDsss",
        "burst": "DDDDDDDDDDD",
        "impossible_job": "DDDDDDDDDDD",
        "cancelled": "CCWWWWSSYDD",
        "resubmitted": "DDDDDDDDDDD",
        "lease_lost": "DDDDDDDDsss",
        "throttled": "DDDDDDDDsss",
        "checkpointed": "DDDDDDDBsss",
        "stopped": "DDDDDDDBsss",
        "declared_too_short": "Drrrrrrrrrr",
        "declared_too_long": "Drrrrrrrrrr",
    },
    "issued": {
        "coordinator_killed": "0011111144",
        "coordinator_paused": "DDDDDDDDDD",
        "coordinator_drained": "DDDDDDDDDD",
        "forwarder_killed": "N55555555e",
        "holder_killed": "BBBfffffee",
        "holder_paused": "TTTfffffee",
        "holder_drained": "DDDfffffee",
        "backend_killed": "DDDfffffee",
        "backend_leaving": "DDDfffffee",
        "backend_fails_all": "FFFfffssss",
        "connection_silent": "DDDfffssss",
        "home_killed": "iiiiiiiiii",
        "home_isolated": "iiiiiiiiii",
        "home_sync_failed": "iiiiiiiiii",
        "home_disk_full": "iiiiiiiiii",
        "coordinator_domain_cut": "33DDDDDD2D",
        "coordinator_domain_cut_inward": "33DDDDDDDD",
        "coordinator_domain_cut_outward": "DDD222222D",
        "coordinator_domain_cut_long": "336666662D",
        "holder_domain_cut": "DDDfffffee",
        "holder_domain_cut_inward": "DDDfffffee",
        "holder_domain_cut_outward": "DDDfffffee",
        "holder_domain_cut_long": "EEEfffffee",
        "message_dropped": "m3DmmmmD2m",
        "message_delayed": "mDDmmmmDDm",
        "message_repeated": "mDDmmmmDDm",
        "message_reordered": "mDDmmmmDDm",
        "straggler": "DDDfffssss",
        "burst": "DDDfffffDD",
        "impossible_job": "DDDfffffDD",
        "cancelled": "WWWWSSYDDD",
        "resubmitted": "DDDDDDDDDD",
        "lease_lost": "DDDfffssss",
        "throttled": "DDDfffssss",
        "checkpointed": "DDDfffssss",
        "stopped": "DDDfffssss",
        "declared_too_short": "Drrrrrrrrr",
        "declared_too_long": "Drrrrrrrrr",
    },
    "job": {
        "coordinator_killed": "NkkkLLLLLLL",
        "coordinator_paused": "DkkkDDDDDDD",
        "coordinator_drained": "RkkkDDDDDDD",
        "holder_killed": "BkkkBBBBMMe",
        "holder_paused": "DkkkDDDDDDe",
        "holder_drained": "DkkkDDDDDDe",
        "backend_killed": "DkkkDDBBMMe",
        "backend_leaving": "DkkkDDDDDDe",
        "backend_fails_all": "FkkkFFFFGGs",
        "connection_silent": "DkkkDMBMDDs",
        "home_killed": "Ukkkhhhhhhh",
        "home_isolated": "Ukkkhhhhhhh",
        "home_sync_failed": "Xkkkhhhhhhh",
        "home_disk_full": "Xkkkhhhhhhh",
        "coordinator_domain_cut": "UkkkDDDDDDD",
        "coordinator_domain_cut_inward": "UkkkDDDDDDD",
        "coordinator_domain_cut_outward": "UkkkDDDDDDD",
        "coordinator_domain_cut_long": "UkkkQQQQQQD",
        "holder_domain_cut": "DkkkDDDDDDe",
        "holder_domain_cut_inward": "DkkkDDDDDDe",
        "holder_domain_cut_outward": "DkkkDDDDDDe",
        "holder_domain_cut_long": "QkkkQQQQQQe",
        "message_dropped": "mkkkDmmmmDm",
        "message_delayed": "mkkkDmmmmDm",
        "message_repeated": "mkkkDmmmmDm",
        "message_reordered": "mkkkDmmmmDm",
        "straggler": "DkkkDDDDDDs",
        "burst": "DkkkDDDDDDD",
        "impossible_job": "DkkkDDDDDDD",
        "cancelled": "CkkkWWSSYYD",
        "resubmitted": "DkkkDDDDDDD",
        "lease_lost": "DkkkDDDDDDs",
        "throttled": "DkkkDDDDDDs",
        "checkpointed": "DkkkDMMBMMs",
        "stopped": "DkkkDMMBMMs",
        "declared_too_short": "Drrrrrrrrrr",
        "declared_too_long": "Drrrrrrrrrr",
    },
    "cancellation": {
        "coordinator_killed": "AAAAAAJJ",
        "coordinator_paused": "YYSSSSSS",
        "coordinator_drained": "SSSSSSSS",
        "holder_killed": "SSSSSSee",
        "holder_paused": "SSSSSSee",
        "holder_drained": "SSSSSSee",
        "backend_killed": "SSSSSSee",
        "backend_leaving": "SSSSSSee",
        "backend_fails_all": "SSSSSSss",
        "connection_silent": "SSSSSSss",
        "home_killed": "cccccccc",
        "home_isolated": "cccccccc",
        "home_sync_failed": "cccccccc",
        "home_disk_full": "cccccccc",
        "coordinator_domain_cut": "PPSSSSSI",
        "coordinator_domain_cut_inward": "PPSSSSSS",
        "coordinator_domain_cut_outward": "SSIIIISI",
        "coordinator_domain_cut_long": "HHIIIISI",
        "holder_domain_cut": "SSSSSSee",
        "holder_domain_cut_inward": "SSSSSSee",
        "holder_domain_cut_outward": "SSSSSSee",
        "holder_domain_cut_long": "SSSSSSee",
        "message_dropped": "mPSmmSmm",
        "message_delayed": "mDSmmSmm",
        "message_repeated": "mSSmmSmm",
        "message_reordered": "mDSmmSmm",
        "straggler": "SSSSSSss",
        "burst": "SSSSSSSS",
        "impossible_job": "SSSSSSSS",
        "cancelled": "SSSSSSSS",
        "resubmitted": "SSSSSSSS",
        "lease_lost": "SSSSSSss",
        "throttled": "SSSSSSss",
        "checkpointed": "SSSSSSss",
        "stopped": "SSSSSSss",
        "declared_too_short": "rrrrrrrr",
        "declared_too_long": "rrrrrrrr",
    },
}

_JOB_FAULTS = [fault for fault in ROWS["job"] if fault not in _MESSAGE_FAULTS]
for _operation, _letters, _messages in (
    ("change", "OOOOOOO", "OOmOmOm"),
    ("membership", "ddOOOOd", "ddmOmOd"),
):
    ROWS[_operation] = (
        dict.fromkeys(_CHANGE_FAULTS, _letters)
        | dict.fromkeys(_MESSAGE_FAULTS, _messages)
        | dict.fromkeys(_JOB_FAULTS, "jjjjjjj")
    )
    STEPS[_operation] = _CHANGE_STEPS
for _fault in _CHANGE_FAULTS:
    if _fault.startswith(("asked_replica", "entry_domain")):
        ROWS["membership"][_fault] = "ddddddd"
for _operation in ("request", "issued", "job", "cancellation"):
    for _fault in _CHANGE_FAULTS:
        ROWS[_operation][_fault] = "l" * len(STEPS[_operation])

# Pairs of faults at the steps at which a record is written, sent or acknowledged.
_CLAIM_PAIRS = (
    "coordinator_killed coordinator_paused home_killed home_isolated coordinator_domain_cut "
    "cancelled resubmitted burst"
)
_START_PAIRS = (
    "coordinator_killed coordinator_paused holder_killed holder_paused backend_killed "
    "connection_silent coordinator_domain_cut holder_domain_cut cancelled resubmitted"
)
_CHANGE_PAIRS = (
    "leader_killed leader_isolated_long asked_replica_killed equal_base_versions command_resent "
    "follower_sync_failed"
)
PAIRS = [
    ("request", "claim_synced", _CLAIM_PAIRS),
    ("request", "claim_answered", _CLAIM_PAIRS),
    ("job", "start_written", _START_PAIRS),
    ("job", "batch_result_sent", _START_PAIRS),
    ("change", "appended", _CHANGE_PAIRS),
    ("change", "committed", _CHANGE_PAIRS),
    ("change", "answered", _CHANGE_PAIRS),
]


# Outcomes that a pair may have besides those of its faults alone.
EXTRA: dict[str, str] = {
    "coordinator_killed+cancelled": "A",
    "coordinator_domain_cut+cancelled": "P",
    # The paused process holds the lease of the killed backend server.
    "coordinator_paused+backend_killed": "Q",
    # Of three backend servers one is lost and another has no holder for some seconds.
    "holder_paused+backend_killed": "Z",
    "holder_paused+connection_silent": "Z",
}


@attrs.frozen
class Cell:
    """One test of the matrix."""

    operation: str
    step: str
    fault: str
    outcome: Outcome

    @property
    def test_id(self) -> str:
        """Return the id of the parametrized test."""
        return f"{self.operation}-{self.step}-{self.fault}"


def cells(*operations: str) -> Iterator[Cell]:
    """Yield the cells that apply."""
    for operation in operations:
        for fault, letters in ROWS[operation].items():
            for step, letter in zip(STEPS[operation], letters, strict=True):
                if letter in OUTCOMES:
                    yield Cell(operation, step, fault, OUTCOMES[letter])


def pairs() -> Iterator[Cell]:
    """Yield the pairs of faults: a pair may end as either of its faults does alone."""
    for operation, step, faults in PAIRS:
        position = STEPS[operation].index(step)
        for both in itertools.combinations(faults.split(), 2):
            single = [OUTCOMES[ROWS[operation][fault][position]] for fault in both]
            extra = EXTRA.get("+".join(both), [])
            parts = single + [OUTCOMES[letter] for letter in extra]
            outcome = Outcome(
                " / ".join(dict.fromkeys(part.text for part in parts)),
                set().union(*(part.codes for part in parts)),
                set().union(*(part.starts for part in parts)),
                set().union(*(part.again for part in parts)),
                set().union(*(part.cancel or part.codes for part in parts)),
            )
            yield Cell(operation, step, "+".join(both), outcome)
