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


@attrs.frozen
class Tokens:
    """Tokens by owner, for a program that calls the system, such as a load generator."""

    path: Path
    token_by_team: dict[str, str] = attrs.field(repr=False)
    token_by_operator: dict[str, str] = attrs.field(repr=False)

    def team(self, name: str) -> str:
        """Return the token of a team; raises `ApricotError` with code 5001."""
        return self._token(self.token_by_team, "teams", name)

    def operator(self, name: str) -> str:
        """Return the token of an operator; raises `ApricotError` with code 5001."""
        return self._token(self.token_by_operator, "operators", name)

    def _token(self, token_by_name: dict[str, str], section: str, name: str) -> str:
        if name not in token_by_name:
            raise _invalid(
                f"secrets file {self.path} has no {section}.{name}",
                f"use a name from the file or add {section}.{name}",
            )
        return token_by_name[name]


def load_secrets(path: Path) -> Secrets:
    """Read a secrets file in JSON with comments.

    Raises `ApricotError` with code 5001 if the file cannot be read, has an
    invalid value, or can be accessed by group or others. No message contains
    a secret.
    """
    loaded = _load_file(path)
    return Secrets(teams=loaded.teams, operators=loaded.operators, internal=loaded.internal)


def load_tokens(path: Path) -> Tokens:
    """Read the first token of each team and operator; raises as `load_secrets`."""
    loaded = _load_file(path)
    # The same values are refused here as in the processes that check the tokens.
    Secrets(teams=loaded.teams, operators=loaded.operators, internal=loaded.internal)
    return Tokens(
        path=path,
        token_by_team={name: values[0] for name, values in loaded.teams.items()},
        token_by_operator={name: values[0] for name, values in loaded.operators.items()},
    )


def check_private(path: Path, kind: str) -> None:
    """Refuse a file with secrets that group or others can access.

    `kind` names the file in the message. Raises `ApricotError` with code 5001.
    """
    try:
        mode = path.stat().st_mode
    except OSError as error:
        raise _invalid(
            f"{kind} {path} cannot be read: {error.strerror}", f"pass a readable {kind}"
        ) from error
    if mode & (stat.S_IRWXG | stat.S_IRWXO):
        raise _invalid(
            f"{kind} {path} has mode {stat.S_IMODE(mode):04o}, "
            "which gives access to group or others",
            f"run: chmod 600 {path}",
        )


def _load_file(path: Path) -> _SecretsFile:
    check_private(path, "secrets file")
    try:
        return settings.load(path, _SecretsFile)
    except ApricotError as error:
        if error.__cause__ is not None and isinstance(error.__cause__, OSError):
            raise
        # The messages of the parser and converter quote values from the file.
        raise _invalid(
            f"secrets file {path} is not valid",
            'use {"teams": {name: [token]}, "operators": {name: [token]}, "internal": [key]}',
        ) from None


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
