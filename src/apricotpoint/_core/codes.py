"""Numbered result codes and their meaning."""

from __future__ import annotations

import enum

import attrs


class Meaning(enum.Enum):
    """What a result code tells the caller about execution."""

    RAN = "it ran and here is all of it"
    NOT_RUN = "it did not run"
    NOT_KNOWN = "it is not known whether it ran"
    OPERATOR = "operator and configuration result"
    EXIT = "process exit reason"


class ResultCode(enum.IntEnum):
    """Result codes of answers, operator commands and process exits.

    The class of a code is its thousands digit; see `docs/result-codes.md`.
    """

    COMPLETE = 1000
    TASKS_FAILED = 1001
    ANSWER_DROPPED = 1003

    MALFORMED = 2101
    NOT_AUTHORISED = 2102
    OVER_QUOTA = 2103
    OVERLOADED = 2104
    DEADLINE_BEFORE_START = 2105
    CANNOT_RUN = 2106
    KEY_CONFLICT = 2107
    CANCELLED_BEFORE_START = 2108
    NO_BACKEND = 2109
    DRAINING = 2110
    TOO_LARGE = 2111
    UNKNOWN_SERVICE = 2112

    COORDINATOR_UNREACHABLE = 3101
    HOME_UNREACHABLE = 3102
    DEADLINE_AFTER_START = 3103
    CANCELLED_AFTER_START = 3104
    KEY_EXPIRED = 3105
    BACKEND_LOST = 3106
    PARTLY_RAN = 3107
    CLAIM_MAY_BE_LOST = 3108

    ACCEPTED = 4000
    VERSION_CONFLICT = 4101
    NO_MAJORITY = 4102
    INVALID_COMMAND = 4103
    NOT_FOUND = 4104

    INVALID_SETTINGS = 5001
    LOG_TORN = 5101
    LOG_CHECKSUM = 5102
    SYNC_FAILED = 5103
    DISK_FULL = 5104
    OLD_DISK = 5105
    OLD_INCARNATION = 5106

    @property
    def meaning(self) -> Meaning:
        """What the code says about execution."""
        return _MEANING_BY_CLASS[self // 1000]

    @property
    def http_status(self) -> int:
        """HTTP status that carries the code to callers and operators."""
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
