"""Results of operator commands."""

from __future__ import annotations

from typing import Any

import attrs

from apricotpoint._core.codes import ResultCode
from apricotpoint._wire.jobs import Answer


@attrs.frozen(kw_only=True)
class CommandResult:
    """Fields of every result; by itself the result of a command that failed."""

    code: ResultCode
    command_id: str
    message: str = ""
    remedy: str = ""


@attrs.frozen(kw_only=True)
class ShowResult(CommandResult):
    """Rows of a query; `unreachable` has the processes whose rows are missing."""

    columns: list[str]
    rows: list[dict[str, Any]]
    config_version: int
    unreachable: list[str]


@attrs.frozen(kw_only=True)
class CancelResult(CommandResult):
    """One row with team, key and result code for each cancelled job.

    Rows of the processes in `unreachable` are missing; their jobs may still be running.
    """

    rows: list[dict[str, Any]]
    unreachable: list[str]


@attrs.frozen(kw_only=True)
class SubmitResult(CommandResult):
    """Answer to a submitted job, with its results."""

    answer: Answer


@attrs.frozen(kw_only=True)
class ChangeResult(CommandResult):
    """Result of a change; `version` is the configuration version after it."""

    version: int


@attrs.frozen(kw_only=True)
class DumpResult(CommandResult):
    """State dump of one process."""

    process: str
    dump: dict[str, Any]


def to_json(result: CommandResult) -> dict[str, Any]:
    """Return a result as JSON-serialisable data with the number and meaning of its code."""
    data = attrs.asdict(result)
    data["code"] = int(result.code)
    data["meaning"] = result.code.meaning.value
    return data
