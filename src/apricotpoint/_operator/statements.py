"""Parsed commands of the operator language."""

from __future__ import annotations

import attrs

from apricotpoint._operator.conditions import Condition, Value


@attrs.frozen
class Ordering:
    """One column of an `order by` clause."""

    column: str
    descending: bool = False


@attrs.frozen
class ShowCommand:
    """Shows the rows of a table."""

    table: str
    condition: Condition | None = None
    order: tuple[Ordering, ...] = ()
    limit: int | None = None


@attrs.frozen
class Setting:
    """One `name = value` pair."""

    name: str
    value: Value


@attrs.frozen
class TaskClause:
    """One `task` clause of a submission."""

    kind: str
    settings: tuple[Setting, ...] = ()


@attrs.frozen
class SubmitCommand:
    """Submits a job; `until` is the end of the validity of its key in unix seconds."""

    service: str
    team: str
    deadline_ms: int
    tasks: tuple[TaskClause, ...]
    key: str | None = None
    until: int | None = None


@attrs.frozen
class CancelCommand:
    """Cancels the jobs that meet a condition."""

    condition: Condition


@attrs.frozen
class ChangeCommand:
    """Changes the configuration; `verb` and `kind` are keywords of the language.

    `base_version` is the version of the configuration that the operator saw; the change is
    accepted for this version only.
    """

    verb: str
    kind: str
    target: str
    base_version: int
    settings: tuple[Setting, ...] = ()


@attrs.frozen
class EvacuationCommand:
    """Orders with `verb` "evacuate" or "restore" whether backend servers of `domain` start work."""

    verb: str
    domain: str


@attrs.frozen
class DumpCommand:
    """Returns the state dump of `process`, or of the executing process if that is None."""

    process: str | None = None


Command = (
    ShowCommand | SubmitCommand | CancelCommand | ChangeCommand | EvacuationCommand | DumpCommand
)


@attrs.frozen
class Statement:
    """A command and its command id, which is None if the text has none."""

    command: Command
    command_id: str | None = None
