"""Exception with a result code."""

from __future__ import annotations

import msgspec

from apricotpoint._core.codes import ResultCode

# Exceptions of msgspec for input that is not a document of the expected type.
DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)


class ApricotError(Exception):
    """An error with a result code and a remedy for the user.

    `message` names what is wrong, with the given value; `remedy` says how to
    correct it and may be empty.
    """

    def __init__(self, code: ResultCode, message: str, *, remedy: str = "") -> None:
        super().__init__(message)
        self.code = code
        self.message = message
        self.remedy = remedy

    def __str__(self) -> str:
        text = f"{self.message} (code {int(self.code)})"
        return f"{text}: {self.remedy}" if self.remedy else text


def find_error(error: BaseException) -> ApricotError | None:
    """Return the exception or the first one in its groups that is an `ApricotError`."""
    if isinstance(error, ApricotError):
        return error
    if isinstance(error, BaseExceptionGroup):
        candidates = (find_error(inner) for inner in error.exceptions)
        return next((item for item in candidates if item is not None), None)
    return None
