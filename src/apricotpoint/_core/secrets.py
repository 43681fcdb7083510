"""Tokens and shared keys, read from a secrets file."""

from __future__ import annotations

import hmac
import stat
from pathlib import Path

import attrs

from apricotpoint._core import settings
from apricotpoint._core.codes import ResultCode
from apricotpoint._core.errors import ApricotError

MIN_SECRET_LENGTH = 16
MAX_VALID = 2


@attrs.frozen
class _SecretsFile:
    teams: dict[str, list[str]] = attrs.Factory(dict)
    operators: dict[str, list[str]] = attrs.Factory(dict)
    internal: list[str] = attrs.Factory(list)


class Secrets:
    """Valid tokens by team and by operator, and the shared internal keys.

    Two values of each are valid at a time, so that a secret can be replaced
    without an interruption. The first internal key is used for sending.
    """

    def __init__(
        self, *, teams: dict[str, list[str]], operators: dict[str, list[str]], internal: list[str]
    ) -> None:
        _check_names("teams", teams)
        _check_names("operators", operators)
        if internal:
            _check_values("internal", internal)
        self._tokens_by_team = _encoded(teams)
        self._tokens_by_operator = _encoded(operators)
        self._internal = [value.encode() for value in internal]

    def __repr__(self) -> str:
        return (
            f"Secrets({len(self._tokens_by_team)} teams, "
            f"{len(self._tokens_by_operator)} operators, {len(self._internal)} internal keys)"
        )

    def internal_keys(self) -> list[bytes]:
        """Return the valid internal keys, the one for sending first."""
        return list(self._internal)

    def team_of(self, token: str) -> str | None:
        """Return the team of a token, None if no team has it."""
        return _owner(self._tokens_by_team, token)

    def operator_of(self, token: str) -> str | None:
        """Return the operator of a token, None if no operator has it."""
        return _owner(self._tokens_by_operator, token)

    def is_internal(self, token: str) -> bool:
        """Tell whether a token is one of the internal keys."""
        return _owner({"internal": self._internal}, token) is not None


def load_secrets(path: Path) -> Secrets:
    """Read a secrets file in JSON with comments.

    Raises `ApricotError` with code 5001 if the file cannot be read, has an
    invalid value, or can be accessed by group or others. No message contains
    a secret.
    """
    try:
        mode = path.stat().st_mode
    except OSError as error:
        raise _invalid(
            f"secrets file {path} cannot be read: {error.strerror}", "pass a readable secrets file"
        ) from error
    if mode & (stat.S_IRWXG | stat.S_IRWXO):
        raise _invalid(
            f"secrets file {path} has mode {stat.S_IMODE(mode):04o}, "
            "which gives access to group or others",
            f"run: chmod 600 {path}",
        )
    try:
        loaded = settings.load(path, _SecretsFile)
    except ApricotError as error:
        if error.__cause__ is not None and isinstance(error.__cause__, OSError):
            raise
        # The messages of the parser and converter quote values from the file.
        raise _invalid(
            f"secrets file {path} is not valid",
            'use {"teams": {name: [token]}, "operators": {name: [token]}, "internal": [key]}',
        ) from None
    return Secrets(teams=loaded.teams, operators=loaded.operators, internal=loaded.internal)


def _owner(values_by_name: dict[str, list[bytes]], token: str) -> str | None:
    given = token.encode(errors="surrogateescape")
    found = None
    # The loop compares all values, so its time does not tell which one matched.
    for name, values in values_by_name.items():
        for value in values:
            if hmac.compare_digest(value, given):
                found = name
    return found


def _encoded(values_by_name: dict[str, list[str]]) -> dict[str, list[bytes]]:
    return {name: [value.encode() for value in values] for name, values in values_by_name.items()}


def _check_names(section: str, values_by_name: dict[str, list[str]]) -> None:
    seen: set[str] = set()
    for name, values in values_by_name.items():
        _check_values(f"{section}.{name}", values)
        if seen & set(values):
            raise _invalid(f"{section}.{name} shares a secret with another name", "make it unique")
        seen |= set(values)


def _check_values(source: str, values: list[str]) -> None:
    if not 1 <= len(values) <= MAX_VALID:
        raise _invalid(
            f"{source} has {len(values)} values", f"give 1 to {MAX_VALID} values that are valid now"
        )
    if any(len(value) < MIN_SECRET_LENGTH or not value.isascii() for value in values):
        raise _invalid(
            f"{source} has a value that is too short or not ASCII",
            f"use at least {MIN_SECRET_LENGTH} ASCII characters",
        )


def _invalid(message: str, remedy: str) -> ApricotError:
    return ApricotError(ResultCode.INVALID_SETTINGS, message, remedy=remedy)
