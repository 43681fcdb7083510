"""Markdown page of the result codes."""

from __future__ import annotations

from apricotpoint._core.codes import CodeRow, ResultCode, code_table

_INTRODUCTION = """\
# Result codes

This page is written by `apricotctl codes --markdown`. The thousands digit of a code says what
is known about execution: 1xxx it ran and here is all of it, 2xxx it did not run, 3xxx it is not
known whether it ran, 4xxx operators and configuration, 5xxx process exit.
"""

_EXPLANATION_BY_CODE = {
    ResultCode.COMPLETE: "Every task ran; the answer has all results.",
    ResultCode.TASKS_FAILED: "Every task ran and some reported failure; no results are given.",
    ResultCode.ANSWER_DROPPED: "The job ran, but its answer is no longer held.",
    ResultCode.MALFORMED: "The request is not well formed.",
    ResultCode.NOT_AUTHORISED: "The token is missing or wrong.",
    ResultCode.OVER_QUOTA: "The team is over its quota.",
    ResultCode.OVERLOADED: "The predicted wait exceeds the deadline; retry after `retry_after_ms`.",
    ResultCode.DEADLINE_BEFORE_START: "The deadline passed before any task started.",
    ResultCode.CANNOT_RUN: "No backend server could ever run one of the tasks.",
    ResultCode.KEY_CONFLICT: "The key was used for another request.",
    ResultCode.CANCELLED_BEFORE_START: "The job was cancelled before any task was sent.",
    ResultCode.NO_BACKEND: "No backend server is available now.",
    ResultCode.DRAINING: "The entry process is draining; use one of `others`.",
    ResultCode.TOO_LARGE: "The request is larger than allowed.",
    ResultCode.UNKNOWN_SERVICE: "The service or team is not configured.",
    ResultCode.COORDINATOR_UNREACHABLE: "The process that can tell did not answer.",
    ResultCode.HOME_UNREACHABLE: "The key registry of the key did not answer; nothing starts here.",
    ResultCode.DEADLINE_AFTER_START: "The deadline passed after a task was sent.",
    ResultCode.CANCELLED_AFTER_START: "The job was cancelled after a task was sent.",
    ResultCode.KEY_EXPIRED: "The validity of the key has ended.",
    ResultCode.BACKEND_LOST: "A backend server was lost while it had a task of the job.",
    ResultCode.PARTLY_RAN: "The job failed; some tasks ran and some did not.",
    ResultCode.CLAIM_MAY_BE_LOST: "The key may have been claimed on a disk that was lost.",
    ResultCode.ACCEPTED: "The command was executed.",
    ResultCode.VERSION_CONFLICT: "Another change has the same base version; read and try again.",
    ResultCode.NO_MAJORITY: "No majority of control processes can be reached.",
    ResultCode.INVALID_COMMAND: "The command is wrong; the message names the fault.",
    ResultCode.NOT_FOUND: "The named object does not exist.",
    ResultCode.INVALID_SETTINGS: "The settings are wrong; the message names the key.",
    ResultCode.LOG_TORN: "A record of the log on disk is torn.",
    ResultCode.LOG_CHECKSUM: "A record of the log on disk has a wrong checksum.",
    ResultCode.SYNC_FAILED: "A write could not be synced to disk.",
    ResultCode.DISK_FULL: "The disk was full in a sync or the initialisation of a folder.",
    ResultCode.OLD_DISK: "The data folder is older than what other processes have seen of it.",
    ResultCode.OLD_INCARNATION: "A peer has seen a higher incarnation; the wall clock went back.",
}


def markdown() -> str:
    """Return the content of docs/result-codes.md."""
    lines = [
        _INTRODUCTION,
        "| code | name | class | HTTP status | exit status | explanation |",
        "|---|---|---|---|---|---|",
        *map(_line, code_table()),
    ]
    return "\n".join(lines) + "\n"


def _line(row: CodeRow) -> str:
    # A 5xxx code ends the process, so no request is answered with it.
    http_status = "" if row.code >= 5000 else row.http_status
    cells = [
        int(row.code),
        row.code.name.lower(),
        row.meaning,
        http_status,
        row.exit_status,
        _EXPLANATION_BY_CODE[row.code],
    ]
    return f"| {' | '.join(map(str, cells))} |"
