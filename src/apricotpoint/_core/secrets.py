"""Bearer tokens and shared internal keys, read from a secrets file."""

from __future__ import annotations

import hmac
import stat
from pathlib import Path

import attrs

from apricotpoint._core import settings
from apricotpoint._core.codes import ResultCode
from apricotpoint._core.errors import ApricotError

MIN_SECRET_LENGTH = 16
MAX_VALUES_PER_SECRET = 2


@attrs.frozen
class _SecretsFile:
    teams: dict[str, list[str]] = attrs.Factory(dict)
    operators: dict[str, list[str]] = attrs.Factory(dict)
    internal: list[str] = attrs.Factory(list)


class Secrets:
    """Valid tokens by team and by operator, and the shared internal keys.

    Up to `MAX_VALUES_PER_SECRET` values of each secret are valid at a time, so that
    it can be rotated without an interruption. The first internal key is the one
    that is sent. Raises `ApricotError` with code 5001 for invalid values.
    """

    def __init__(
        self, *, teams: dict[str, list[str]], operators: dict[str, list[str]], internal: list[str]
    ) -> None:
        _check_names("teams", teams)
        _check_names("operators", operators)
        if internal:
            _check_values("internal", internal)
        self._tokens_by_team = _encode_values(teams)
        self._tokens_by_operator = _encode_values(operators)
        self._internal = [value.encode() for value in internal]

    def __repr__(self) -> str:
        return (
            f"Secrets({len(self._tokens_by_team)} teams, "
            f"{len(self._tokens_by_operator)} operators, {len(self._internal)} internal keys)"
        )

    def internal_keys(self) -> list[bytes]:
        """Return the valid internal keys; the first one is used for sending."""
        return list(self._internal)

    def team_of(self, token: str) -> str | None:
        """Return the name of the team with this token, None if there is none."""
        return _find_owner(self._tokens_by_team, token)

    def operator_of(self, token: str) -> str | None:
        """Return the name of the operator with this token, None if there is none."""
        return _find_owner(self._tokens_by_operator, token)

    def is_internal(self, token: str) -> bool:
        """Return whether a token is one of the valid internal keys."""
        return _find_owner({"internal": self._internal}, token) is not None


@attrs.frozen
class Tokens:
    """Token to send by team and operator, for clients such as a load generator."""

    path: Path
    token_by_team: dict[str, str] = attrs.field(repr=False)
    token_by_operator: dict[str, str] = attrs.field(repr=False)

    def team(self, name: str) -> str:
        """Return the token of a team; raises `ApricotError` with code 5001 if it has none."""
        return self._find_token(self.token_by_team, "teams", name)

    def operator(self, name: str) -> str:
        """Return the token of an operator; raises `ApricotError` with code 5001 if it has none."""
        return self._find_token(self.token_by_operator, "operators", name)

    def _find_token(self, token_by_name: dict[str, str], section: str, name: str) -> str:
        if name not in token_by_name:
            raise _settings_error(
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
    parsed = _load_file(path)
    return Secrets(teams=parsed.teams, operators=parsed.operators, internal=parsed.internal)


def load_tokens(path: Path) -> Tokens:
    """Read the first token of each team and operator from a secrets file.

    Raises `ApricotError` as `load_secrets` does.
    """
    parsed = _load_file(path)
    # Validates the values exactly as the processes that check the tokens do.
    Secrets(teams=parsed.teams, operators=parsed.operators, internal=parsed.internal)
    return Tokens(
        path=path,
        token_by_team={name: values[0] for name, values in parsed.teams.items()},
        token_by_operator={name: values[0] for name, values in parsed.operators.items()},
    )


def check_private(path: Path, kind: str) -> None:
    """Raise `ApricotError` with code 5001 if group or others can access a file.

    Also raises it if the file does not exist. `kind` describes the file in the
    message, such as "token file".
    """
    try:
        mode = path.stat().st_mode
    except OSError as error:
        raise _settings_error(
            f"{kind} {path} cannot be read: {error.strerror}", f"pass a readable {kind}"
        ) from error
    if mode & (stat.S_IRWXG | stat.S_IRWXO):
        raise _settings_error(
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
        # The messages of the parser and the converter quote values from the file,
        # so they are replaced and not chained.
        raise _settings_error(
            f"secrets file {path} is not valid",
            'use {"teams": {name: [token]}, "operators": {name: [token]}, "internal": [key]}',
        ) from None


def _find_owner(values_by_name: dict[str, list[bytes]], token: str) -> str | None:
    encoded_token = token.encode(errors="surrogateescape")
    found = None
    # All values are compared, so the duration does not reveal which one matched.
    for name, values in values_by_name.items():
        for value in values:
            if hmac.compare_digest(value, encoded_token):
                found = name
    return found


def _encode_values(values_by_name: dict[str, list[str]]) -> dict[str, list[bytes]]:
    return {name: [value.encode() for value in values] for name, values in values_by_name.items()}


def _check_names(section: str, values_by_name: dict[str, list[str]]) -> None:
    seen: set[str] = set()
    for name, values in values_by_name.items():
        _check_values(f"{section}.{name}", values)
        if seen & set(values):
            raise _settings_error(
                f"{section}.{name} has the same secret as another name", "use each secret once"
            )
        seen |= set(values)


def _check_values(source: str, values: list[str]) -> None:
    if not 1 <= len(values) <= MAX_VALUES_PER_SECRET:
        raise _settings_error(
            f"{source} has {len(values)} values",
            f"give 1 to {MAX_VALUES_PER_SECRET} values that are valid now",
        )
    if any(len(value) < MIN_SECRET_LENGTH or not value.isascii() for value in values):
        raise _settings_error(
            f"{source} has a value that is too short or not ASCII",
            f"use at least {MIN_SECRET_LENGTH} ASCII characters",
        )


def _settings_error(message: str, remedy: str) -> ApricotError:
    return ApricotError(ResultCode.INVALID_SETTINGS, message, remedy=remedy)
