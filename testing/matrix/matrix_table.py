"""The fault matrix: for each operation, step and fault the allowed outcome.

A row has one symbol for each step of its operation: a digit or capital letter is a key of
`OUTCOMES`, a small letter a key of `REASONS`, which says why the cell does not apply.
`matrix_faults.py` and `matrix_changes.py` define the faults.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterator

import attrs


@attrs.frozen
class Outcome:
    """The allowed results of a cell.

    `codes` are the result codes for the caller; 0 means that the connection ended
    with its entry process. `starts` are the numbers of starts of each task before
    the request is sent again through another entry process, and
    `resubmission_codes` the result codes of that. `cancel` are the result codes of
    the cancellation; if it is empty, those in `codes`.
    """

    text: str
    codes: set[int]
    starts: set[int]
    resubmission_codes: set[int]
    cancel: set[int] = attrs.Factory(set)


_FINAL_CODES = {1000, 3103, 3106, 3107}

OUTCOMES = {
    "D": Outcome("complete", {1000}, {1}, {1000}),
    "F": Outcome("every task ran, some failed", {1001}, {1}, {1001}),
    "G": Outcome("every task ran", {1000, 1001}, {1}, {1000, 1001}),
    "U": Outcome(
        "home domain unreachable, nothing started, runs on resubmission", {3102}, {0}, {1000}
    ),
    "V": Outcome("complete, or home domain unreachable", {1000, 3102}, {0, 1}, {1000}),
    "X": Outcome("home domain unreachable, also on resubmission", {3102}, {0}, {3102}),
    "N": Outcome("no answer, not claimed, runs on resubmission", {0}, {0}, {1000}),
    "K": Outcome("no answer, not started, unknown on resubmission", {0}, {0}, {3101}),
    "L": Outcome("no answer, unknown on resubmission", {0}, {0, 1}, {3101}),
    "R": Outcome("refused while draining, runs through another entry process", {2110}, {0}, {1000}),
    "T": Outcome("not started by the deadline, runs on resubmission", {2105, 2109}, {0}, {1000}),
    "B": Outcome("backend server or lease holder lost", {3106}, {0, 1}, {3106}),
    "M": Outcome(
        "complete, or backend server or lease holder lost", {1000, 3106}, {0, 1}, {1000, 3106}
    ),
    "0": Outcome("coordinator lost, nothing started, unknown on resubmission", {3101}, {0}, {3101}),
    "1": Outcome("coordinator lost, unknown on resubmission", {3101}, {0, 1}, {3101}),
    "2": Outcome("coordinator unreachable, complete on resubmission", {3101}, {1}, {1000}),
    "3": Outcome(
        "coordinator unreachable, nothing started, runs on resubmission", {3101}, {0}, {1000}
    ),
    "4": Outcome("complete, unknown on resubmission", {1000}, {1}, {3101}),
    "5": Outcome("no answer, complete on resubmission", {0}, {0, 1}, {1000}),
    "6": Outcome(
        "coordinator unreachable, final outcome on resubmission", {3101}, {0, 1}, _FINAL_CODES
    ),
    "Z": Outcome("some tasks ran, some did not", {3107}, {0, 1}, {3107}),
    "E": Outcome("deadline passed, complete on resubmission", {3103}, {0, 1}, {1000}),
    "Q": Outcome("deadline passed, final outcome on resubmission", {3103}, {0, 1}, _FINAL_CODES),
    "8": Outcome("deadline passed, then lost", {3103}, {0, 1}, {3106}),
    "C": Outcome("cancelled before start", {2108}, {0}, {2108}),
    "S": Outcome("cancelled after start", {3104}, {0, 1}, {3104}),
    "W": Outcome("cancelled", {2108, 3104}, {0, 1}, {2108, 3104}),
    "Y": Outcome("cancelled after start, or complete", {1000, 3104}, {0, 1}, {1000, 3104}),
    "A": Outcome("no answer to caller, unknown", {0}, {0, 1}, {3101}, {3101}),
    "J": Outcome("no answer to caller, cancelled after start", {0}, {0, 1}, {3101}, {3104}),
    "P": Outcome("complete, cancellation not delivered", {1000}, {1}, {1000}, {3101}),
    "I": Outcome("cancelled, answer to the cancellation lost", {3104}, {0, 1}, {3104}, {3101}),
    "O": Outcome("accepted, applied once", {4000}, {1}, {4000}),
    "7": Outcome(
        "one of two changes with equal base versions accepted", {4000, 4101}, {0, 1}, {4000, 4101}
    ),
    "H": Outcome(
        "deadline passed, cancellation not delivered", {3103}, {0, 1}, _FINAL_CODES, {3101}
    ),
}

REASONS = {
    "m": "this step has no message between apricotpoint processes",
    "r": "declared run times are part of the request and do not change later",
    "h": "the key registry is not involved in the job after its answer to the claim",
    "s": "all tasks of the job have ended",
    "e": "lease holders and backend servers are not involved in the job after its answer",
    "j": "jobs, backend servers and key registries are not involved in a change",
    "l": "replicas of the configuration are not involved in a job",
    "k": "the claim depends on the key, not on the tasks: as in operation request",
    "i": "the start of an issued key needs no home domain",
    "f": "the coordinator handles a forwarded request like one of its own: as in operation request",
    "w": "no other entry process forwards the request",
    "d": "the kind of change matters only in the log: as in operation change",
    "c": "the claim is answered before a task runs, and a cancellation needs no home domain",
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

_CHANGE_FAULT_NAMES = (
    "leader_killed leader_isolated_long leader_isolated_inward leader_isolated_outward "
    "leader_paused asked_replica_killed asked_replica_isolated_long asked_replica_paused "
    "majority_killed all_killed entry_domain_cut entry_domain_cut_inward "
    "entry_domain_cut_outward equal_base_versions command_resent burst_of_changes "
    "second_lost_after_repair restart_after_hundreds leader_sync_failed leader_disk_full "
    "follower_sync_failed follower_disk_full old_disk_put_back"
)
_CHANGE_FAULTS = _CHANGE_FAULT_NAMES.split()
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
for _line in _JOB_ROWS.split("\n")[1:-1]:
    _fault, *_columns = _line.split()
    for _operation, _symbols in zip(STEPS, _columns, strict=False):
        ROWS[_operation][_fault] = _symbols
_JOB_FAULTS = [fault for fault in ROWS["job"] if fault not in _MESSAGE_FAULTS]
for _operation, _symbols, _message_symbols in (
    ("change", "OOOOOOO", "OOmOmOm"),
    ("membership", "ddOOOOd", "ddmOmOd"),
):
    ROWS[_operation] = (
        dict.fromkeys(_CHANGE_FAULTS, _symbols)
        | dict.fromkeys(_MESSAGE_FAULTS, _message_symbols)
        | dict.fromkeys(_JOB_FAULTS, "jjjjjjj")
    )
for _fault in _CHANGE_FAULTS:
    if _fault.startswith(("asked_replica", "entry_domain")):
        ROWS["membership"][_fault] = "ddddddd"
for _operation in ("request", "issued", "job", "cancellation"):
    for _fault in _CHANGE_FAULTS:
        ROWS[_operation][_fault] = "l" * len(STEPS[_operation])

# At this step no replica has either change, so either may be first in the log.
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
FAULTS_TO_PAIR = [
    ("request", "claim_synced", _CLAIM_PAIRS),
    ("request", "claim_answered", _CLAIM_PAIRS),
    ("job", "start_written", _START_PAIRS),
    ("job", "batch_result_sent", _START_PAIRS),
    ("change", "appended", _CHANGE_PAIRS),
    ("change", "committed", _CHANGE_PAIRS),
    ("change", "answered", _CHANGE_PAIRS),
]


# Outcomes that a pair may have besides those that each of its faults has alone.
EXTRA_OUTCOMES_BY_PAIR: dict[str, str] = {
    "coordinator_killed+cancelled": "A",
    "coordinator_domain_cut+cancelled": "P",
    # The paused process holds the lease of the killed backend server.
    "coordinator_paused+backend_killed": "Q",
    # Of three backend servers one is lost and another has no lease holder for some seconds.
    "holder_paused+backend_killed": "Z",
    "holder_paused+connection_silent": "Z",
}
# The same for one step only, by step and pair.
EXTRA_OUTCOMES_BY_STEP: dict[tuple[str, str], str] = {
    # Whether the process finds the connections silent before the deadline, just after its pause,
    # depends on the phase of its timers.
    ("start_written", "coordinator_paused+connection_silent"): "8",
}


@attrs.frozen
class Cell:
    """A fault, or a pair such as "a+b", at a step of an operation, and its allowed outcome."""

    operation: str
    step: str
    fault: str
    outcome: Outcome

    @property
    def test_id(self) -> str:
        """Return the id of the parametrized test."""
        return f"{self.operation}-{self.step}-{self.fault}"


def cells(*operations: str) -> Iterator[Cell]:
    """Yield the cells of the operations, without those that do not apply."""
    for operation in operations:
        for fault, symbols in ROWS[operation].items():
            for step, symbol in zip(STEPS[operation], symbols, strict=True):
                if symbol in OUTCOMES:
                    yield Cell(operation, step, fault, OUTCOMES[symbol])


def pair_cells() -> Iterator[Cell]:
    """Yield the cells with pairs of faults: each may end as either of its faults does alone."""
    for operation, step, faults in FAULTS_TO_PAIR:
        position = STEPS[operation].index(step)
        for both in itertools.combinations(faults.split(), 2):
            single = [OUTCOMES[ROWS[operation][fault][position]] for fault in both]
            pair = "+".join(both)
            extra = EXTRA_OUTCOMES_BY_PAIR.get(pair, "")
            extra += EXTRA_OUTCOMES_BY_STEP.get((step, pair), "")
            outcomes = single + [OUTCOMES[symbol] for symbol in extra]
            combined = Outcome(
                " / ".join(dict.fromkeys(outcome.text for outcome in outcomes)),
                set().union(*(outcome.codes for outcome in outcomes)),
                set().union(*(outcome.starts for outcome in outcomes)),
                set().union(*(outcome.resubmission_codes for outcome in outcomes)),
                set().union(*(outcome.cancel or outcome.codes for outcome in outcomes)),
            )
            yield Cell(operation, step, pair, combined)
