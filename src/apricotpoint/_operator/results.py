"""Results of operator commands."""

from __future__ import annotations

from typing import Any

import attrs

from apricotpoint._core.codes import ResultCode
from apricotpoint._wire.jobs import Answer


@attrs.frozen(kw_only=True)
class CommandResult:
    """What every result has; also the result of a command that was refused."""

    code: ResultCode
    command_id: str
    message: str = ""
    remedy: str = ""


@attrs.frozen(kw_only=True)
class ShowResult(CommandResult):
    """Rows of a query; `unreachable` lists the processes whose rows are missing."""

    columns: list[str]
    rows: list[dict[str, Any]]
    config_version: int
    unreachable: list[str]


@attrs.frozen(kw_only=True)
class CancelResult(CommandResult):
    """One row with team, key and code for each job; jobs of `unreachable` are not known."""

    rows: list[dict[str, Any]]
    unreachable: list[str]


@attrs.frozen(kw_only=True)
class SubmitResult(CommandResult):
    """The whole answer to a submitted job."""

    answer: Answer


@attrs.frozen(kw_only=True)
class ChangeResult(CommandResult):
    """Outcome of a change; `version` is the version of the configuration after it."""

    version: int


@attrs.frozen(kw_only=True)
class DumpResult(CommandResult):
    """State dump of one process."""

    process: str
    dump: dict[str, Any]


def to_json(result: CommandResult) -> dict[str, Any]:
    """Return a result as JSON-able data with the number and the meaning of its code."""
    data = attrs.asdict(result)
    data["code"] = int(result.code)
    data["meaning"] = result.code.meaning.value
    return data
