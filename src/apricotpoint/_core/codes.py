"""Result codes, their meaning, HTTP status and exit status."""

from __future__ import annotations

import enum

import attrs


class Meaning(enum.Enum):
    """What a class of result codes says about the execution of the job."""

    RAN = "it ran and here is all of it"
    NOT_RUN = "it did not run"
    NOT_KNOWN = "it is not known whether it ran"
    OPERATOR = "operator and configuration result"
    EXIT = "process exit reason"


class ResultCode(enum.IntEnum):
    """Result codes of answers, operator commands and process exits.

    The thousands digit is the class of a code: 1 the job ran, 2 it did not run,
    3 it is not known whether it ran, 4 operator and configuration results,
    5 process exit reasons. See `docs/result-codes.md`.
    """

    COMPLETE = 1000
    TASKS_FAILED = 1001
    ANSWER_DROPPED = 1003  # the job ran, but its answer is no longer retained

    MALFORMED = 2101
    NOT_AUTHORISED = 2102
    OVER_QUOTA = 2103
    OVERLOADED = 2104
    DEADLINE_BEFORE_START = 2105
    CANNOT_RUN = 2106  # infeasible: no backend server could ever run one of the tasks
    KEY_CONFLICT = 2107  # the key was used for another request
    CANCELLED_BEFORE_START = 2108
    NO_BACKEND = 2109  # no backend server is available now
    DRAINING = 2110  # the entry process is draining
    TOO_LARGE = 2111
    UNKNOWN_SERVICE = 2112  # the service or team is not configured

    COORDINATOR_UNREACHABLE = 3101
    HOME_UNREACHABLE = 3102  # the key registry of the home domain did not answer
    DEADLINE_AFTER_START = 3103
    CANCELLED_AFTER_START = 3104
    KEY_EXPIRED = 3105
    BACKEND_LOST = 3106  # contact with a backend server that had a task was lost
    PARTLY_RAN = 3107
    CLAIM_MAY_BE_LOST = 3108  # the key may have been claimed on a disk that was lost

    ACCEPTED = 4000
    VERSION_CONFLICT = 4101  # the base version of a change is not the current one
    NO_MAJORITY = 4102  # no majority of control processes can be reached
    INVALID_COMMAND = 4103
    NOT_FOUND = 4104

    INVALID_SETTINGS = 5001
    LOG_TORN = 5101  # the log on disk has an incomplete, missing or unexpected record
    LOG_CHECKSUM = 5102
    SYNC_FAILED = 5103  # a write could not be synced to disk
    DISK_FULL = 5104
    OLD_DISK = 5105  # the data folder is older than what other processes have seen of it
    OLD_INCARNATION = 5106  # a peer has seen a higher incarnation; the wall clock went back

    @property
    def meaning(self) -> Meaning:
        """What the class of the code says about execution."""
        return _MEANING_BY_CLASS[self // 1000]

    @property
    def http_status(self) -> int:
        """HTTP status of responses to callers and operators with this code."""
        return _HTTP_STATUS_BY_CODE.get(self, _HTTP_STATUS_BY_CLASS[self // 1000])

    @property
    def exit_status(self) -> int:
        """Exit status of a console program that ends with this code."""
        return _EXIT_STATUS_BY_CODE.get(self, _EXIT_STATUS_BY_CLASS[self // 1000])


@attrs.frozen
class CodeRow:
    """One row of the table of result codes."""

    code: ResultCode
    meaning: str
    http_status: int
    exit_status: int


def code_table() -> list[CodeRow]:
    """Return all result codes in numeric order."""
    return [
        CodeRow(
            code=code,
            meaning=code.meaning.value,
            http_status=code.http_status,
            exit_status=code.exit_status,
        )
        for code in sorted(ResultCode)
    ]


_MEANING_BY_CLASS = {
    1: Meaning.RAN,
    2: Meaning.NOT_RUN,
    3: Meaning.NOT_KNOWN,
    4: Meaning.OPERATOR,
    5: Meaning.EXIT,
}
_HTTP_STATUS_BY_CLASS = {1: 200, 2: 503, 3: 504, 4: 200, 5: 500}
_HTTP_STATUS_BY_CODE = {
    ResultCode.MALFORMED: 400,
    ResultCode.NOT_AUTHORISED: 401,
    ResultCode.OVER_QUOTA: 429,
    ResultCode.CANNOT_RUN: 422,
    ResultCode.KEY_CONFLICT: 409,
    ResultCode.CANCELLED_BEFORE_START: 410,
    ResultCode.TOO_LARGE: 413,
    ResultCode.UNKNOWN_SERVICE: 404,
    ResultCode.VERSION_CONFLICT: 409,
    ResultCode.NO_MAJORITY: 503,
    ResultCode.INVALID_COMMAND: 400,
    ResultCode.NOT_FOUND: 404,
}
_EXIT_STATUS_BY_CLASS = {1: 0, 2: 10, 3: 20, 4: 30, 5: 40}
_EXIT_STATUS_BY_CODE = {
    ResultCode.TASKS_FAILED: 1,
    ResultCode.ACCEPTED: 0,
    ResultCode.VERSION_CONFLICT: 31,
    ResultCode.NO_MAJORITY: 32,
    ResultCode.INVALID_COMMAND: 33,
    ResultCode.NOT_FOUND: 34,
    ResultCode.LOG_TORN: 41,
    ResultCode.LOG_CHECKSUM: 42,
    ResultCode.SYNC_FAILED: 43,
    ResultCode.DISK_FULL: 44,
    ResultCode.OLD_DISK: 45,
    ResultCode.OLD_INCARNATION: 46,
}
