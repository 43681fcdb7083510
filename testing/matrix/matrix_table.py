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
    "7": Outcome("one of two equal bases accepted", {4000, 4101}, {0, 1}, {4000, 4101}),
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

_JOB_STEPS = (
    "received claim_sent claim_synced claim_answered batch_sent batch_queued start_written "
    "backend_running result_received batch_result_sent answer_sent"
)
_CHANGE_STEPS = "received forwarded appended synced committed answered applied"
STEPS = {
    operation: steps.split()
    for operation, steps in {
        "request": _JOB_STEPS,
        "issued": (
            "received forward_sent batch_sent batch_queued start_written backend_running "
            "result_received batch_result_sent forward_answered answer_sent"
        ),
        "job": _JOB_STEPS,
        "cancellation": (
            "cancel_requested forwarded cancel_sent cancel_received backend_cancelled "
            "batch_result_sent cancel_answered answer_sent"
        ),
        "change": _CHANGE_STEPS,
        "membership": _CHANGE_STEPS,
    }.items()
}

_CHANGE_NAMES = (
    "leader_killed leader_isolated_long leader_isolated_inward leader_isolated_outward "
    "leader_paused asked_replica_killed asked_replica_isolated_long asked_replica_paused "
    "majority_killed all_killed entry_domain_cut entry_domain_cut_inward "
    "entry_domain_cut_outward equal_base_versions command_resent burst_of_changes "
    "second_lost_after_repair restart_after_hundreds leader_sync_failed leader_disk_full "
    "follower_sync_failed follower_disk_full old_disk_put_back"
)
_CHANGE_FAULTS = _CHANGE_NAMES.split()
_MESSAGE_FAULTS = ["message_dropped", "message_delayed", "message_repeated", "message_reordered"]

# Columns: request, issued, job, cancellation.
_JOB_ROWS = """
coordinator_killed             NKKKLLLLLLL 0011111144 NkkkLLLLLLL AAAAAAJJ
coordinator_paused             DVVVDDDDDDD DDDDDDDDDD DkkkDDDDDDD YYSSSSSS
coordinator_drained            RDDDDDDDDDD DDDDDDDDDD RkkkDDDDDDD SSSSSSSS
forwarder_killed               wwwwwwwwwww N55555555e wwwwwwwwwww wwwwwwww
holder_killed                  BBBBBBBBBDe BBBfffffee BkkkBBBBMMe SSSSSSee
holder_paused                  TTTTTTDDDDe TTTfffffee DkkkDDDDDDe SSSSSSee
holder_drained                 DDDDDDDDDDe DDDfffffee DkkkDDDDDDe SSSSSSee
backend_killed                 DDDDDDBBDDe DDDfffffee DkkkDDBBMMe SSSSSSee
backend_leaving                DDDDDDDDDDe DDDfffffee DkkkDDDDDDe SSSSSSee
backend_fails_all              FFFFFFFDsss FFFfffssss FkkkFFFFGGs SSSSSSss
connection_silent              DDDDDDBDsss DDDfffssss DkkkDMBMDDs SSSSSSss
home_killed                    UUUDhhhhhhh iiiiiiiiii Ukkkhhhhhhh cccccccc
home_isolated                  UUUUhhhhhhh iiiiiiiiii Ukkkhhhhhhh cccccccc
home_sync_failed               XXDDhhhhhhh iiiiiiiiii Xkkkhhhhhhh cccccccc
home_disk_full                 XXDDhhhhhhh iiiiiiiiii Xkkkhhhhhhh cccccccc
coordinator_domain_cut         UUUUDDDDDDD 33DDDDDD2D UkkkDDDDDDD PPSSSSSI
coordinator_domain_cut_inward  UUUUDDDDDDD 33DDDDDDDD UkkkDDDDDDD PPSSSSSS
coordinator_domain_cut_outward UUDDDDDDDDD DDD222222D UkkkDDDDDDD SSIIIISI
coordinator_domain_cut_long    UUUUEEEEEED 336666662D UkkkQQQQQQD HHIIIISI
holder_domain_cut              DDDDDDDDDDe DDDfffffee DkkkDDDDDDe SSSSSSee
holder_domain_cut_inward       DDDDDDDDDDe DDDfffffee DkkkDDDDDDe SSSSSSee
holder_domain_cut_outward      DDDDDDDDDDe DDDfffffee DkkkDDDDDDe SSSSSSee
holder_domain_cut_long         EEEEEEEEEEe EEEfffffee QkkkQQQQQQe SSSSSSee
message_dropped                mUmUDmmmmDm m3DmmmmD2m mkkkDmmmmDm mPSmmSmm
message_delayed                mUmUDmmmmDm mDDmmmmDDm mkkkDmmmmDm mDSmmSmm
message_repeated               mDmDDmmmmDm mDDmmmmDDm mkkkDmmmmDm mSSmmSmm
message_reordered              mDmDDmmmmDm mDDmmmmDDm mkkkDmmmmDm mDSmmSmm
straggler                      DDDDDDDDsss DDDfffssss DkkkDDDDDDs SSSSSSss
burst                          DDDDDDDDDDD DDDfffffDD DkkkDDDDDDD SSSSSSSS
impossible_job                 DDDDDDDDDDD DDDfffffDD DkkkDDDDDDD SSSSSSSS
cancelled                      CCWWWWSSYDD WWWWSSYDDD CkkkWWSSYYD SSSSSSSS
resubmitted                    DDDDDDDDDDD DDDDDDDDDD DkkkDDDDDDD SSSSSSSS
lease_lost                     DDDDDDDDsss DDDfffssss DkkkDDDDDDs SSSSSSss
throttled                      DDDDDDDDsss DDDfffssss DkkkDDDDDDs SSSSSSss
checkpointed                   DDDDDDDBsss DDDfffssss DkkkDMMBMMs SSSSSSss
stopped                        DDDDDDDBsss DDDfffssss DkkkDMMBMMs SSSSSSss
declared_too_short             Drrrrrrrrrr Drrrrrrrrr Drrrrrrrrrr rrrrrrrr
declared_too_long              Drrrrrrrrrr Drrrrrrrrr Drrrrrrrrrr rrrrrrrr
"""

ROWS: dict[str, dict[str, str]] = {operation: {} for operation in STEPS}
for _row in _JOB_ROWS.split("\n")[1:-1]:
    _fault, *_columns = _row.split()
    for _operation, _letters in zip(STEPS, _columns, strict=False):
        ROWS[_operation][_fault] = _letters
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
for _fault in _CHANGE_FAULTS:
    if _fault.startswith(("asked_replica", "entry_domain")):
        ROWS["membership"][_fault] = "ddddddd"
for _operation in ("request", "issued", "job", "cancellation"):
    for _fault in _CHANGE_FAULTS:
        ROWS[_operation][_fault] = "l" * len(STEPS[_operation])

# Neither change has been sent to a replica yet, so either may be first in the log.
ROWS["change"]["equal_base_versions"] = "7" + ROWS["change"]["equal_base_versions"][1:]

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
