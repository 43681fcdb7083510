"""Printing of commands in the operator language."""

from __future__ import annotations

import json
import re
from collections.abc import Sequence

from apricotpoint._operator.conditions import (
    Comparison,
    Condition,
    Conjunction,
    Disjunction,
    Duration,
    Membership,
    Negation,
    Value,
)
from apricotpoint._operator.language import KEYWORDS
from apricotpoint._operator.statements import (
    CancelCommand,
    ChangeCommand,
    Command,
    DumpCommand,
    EvacuationCommand,
    Setting,
    ShowCommand,
    Statement,
    SubmitCommand,
)

_UNQUOTED_NAME = re.compile(r"[A-Za-z_][A-Za-z0-9_.:/-]*")


def print_statement(statement: Statement) -> str:
    """Return text that parses to the same statement."""
    text = _print_command(statement.command)
    return text if statement.command_id is None else f"{text} as {_name(statement.command_id)}"


def print_condition(condition: Condition) -> str:
    """Return text that parses to the same condition."""
    match condition:
        case Comparison(column, operator, value):
            return f"{_column(column)} {operator} {_value(value)}"
        case Membership(column, values):
            return f"{_column(column)} in ({', '.join(map(_value, values))})"
        case Negation(part):
            return f"not {_operand(part)}"
        case Conjunction(parts):
            return " and ".join(map(_operand, parts))
        case Disjunction(parts):
            return " or ".join(map(_operand, parts))


def _operand(condition: Condition) -> str:
    text = print_condition(condition)
    return f"({text})" if isinstance(condition, Conjunction | Disjunction) else text


def _print_command(command: Command) -> str:
    match command:
        case ShowCommand():
            return _print_show(command)
        case SubmitCommand():
            return _print_submit(command)
        case CancelCommand(condition):
            return f"cancel jobs where {print_condition(condition)}"
        case ChangeCommand(verb, kind, target, base_version, settings):
            return f"{verb} {kind} {_name(target)}{_settings(settings)} at {base_version}"
        case EvacuationCommand(verb, domain):
            return f"{verb} {_name(domain)}"
        case DumpCommand(process):
            return "dump" if process is None else f"dump {_name(process)}"


def _print_show(command: ShowCommand) -> str:
    text = f"show {command.table}"
    if command.condition is not None:
        text += f" where {print_condition(command.condition)}"
    if command.order:
        items = [f"{_name(item.column)}{' desc' * item.descending}" for item in command.order]
        text += f" order by {', '.join(items)}"
    return text if command.limit is None else f"{text} limit {command.limit}"


def _print_submit(command: SubmitCommand) -> str:
    text = f"submit {_name(command.service)} team {_name(command.team)}"
    if command.key is not None:
        text += f" key {_name(command.key)}"
    if command.until is not None:
        text += f" until {command.until}"
    text += f" deadline {command.deadline_ms}ms"
    for task in command.tasks:
        text += f" task {_name(task.kind)}{_settings(task.settings)}"
    return text


def _settings(settings: Sequence[Setting]) -> str:
    if not settings:
        return ""
    return " " + ", ".join(f"{_name(item.name)} = {_value(item.value)}" for item in settings)


def _name(text: str) -> str:
    return text if _UNQUOTED_NAME.fullmatch(text) and text not in KEYWORDS else json.dumps(text)


def _column(text: str) -> str:
    # Where a column is expected, the grammar accepts no keyword but `not`, so only a
    # column with that name needs quotes.
    return text if _UNQUOTED_NAME.fullmatch(text) and text != "not" else json.dumps(text)


def _value(value: Value) -> str:
    match value:
        case bool():
            return "true" if value else "false"
        case str():
            return _name(value)
        case Duration(amount, unit):
            return f"{amount}{unit}"
        case _:
            return repr(value)
