"""Refusals of changes by the replicated state."""

from __future__ import annotations

from apricotpoint._core.codes import ResultCode


class ChangeRefused(Exception):  # noqa: N818
    """A change that is refused with a result code and a message for the operator."""

    def __init__(self, code: ResultCode, message: str) -> None:
        super().__init__(message)
        self.code = code
        self.message = message


def invalid(message: str) -> ChangeRefused:
    """Return the refusal of an invalid change, with code 4103."""
    return ChangeRefused(ResultCode.INVALID_COMMAND, message)
