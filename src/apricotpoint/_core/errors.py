"""The error type that carries a result code."""

from __future__ import annotations

import msgspec

from apricotpoint._core.codes import ResultCode

# What msgspec raises for input that is no document of the wanted type.
DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)


class ApricotError(Exception):
    """An error with a numbered result code and a remedy for the user.

    The message names what the user wrote; `remedy` says how to correct it.
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
    """Return the first `ApricotError` in an exception or exception group."""
    if isinstance(error, ApricotError):
        return error
    if isinstance(error, BaseExceptionGroup):
        found = (find_error(inner) for inner in error.exceptions)
        return next((item for item in found if item is not None), None)
    return None
