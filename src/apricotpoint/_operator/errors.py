"""Errors of operator commands."""

from __future__ import annotations

from apricotpoint._core.codes import ResultCode
from apricotpoint._core.errors import ApricotError


def invalid_command(message: str, remedy: str) -> ApricotError:
    """Return an error with code 4103, for a command that is not valid."""
    return ApricotError(ResultCode.INVALID_COMMAND, message, remedy=remedy)
