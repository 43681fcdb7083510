"""Conditions, order and limit over rows of a table."""

from __future__ import annotations

import operator
from collections.abc import Callable, Iterable, Sequence
from typing import Any

from apricotpoint._core.codes import ResultCode
from apricotpoint._core.errors import ApricotError
from apricotpoint._operator.conditions import (
    Both,
    Comparison,
    Condition,
    Duration,
    Either,
    Membership,
    Negation,
    Value,
)
from apricotpoint._operator.statements import Ordering, ShowCommand

Row = dict[str, Any]
Predicate = Callable[[Row], bool]

_COMPARE_BY_OPERATOR: dict[str, Callable[[Any, Any], bool]] = {
    "=": operator.eq,
    "!=": operator.ne,
    "<": operator.lt,
    "<=": operator.le,
    ">": operator.gt,
    ">=": operator.ge,
    "~": lambda value, part: part.casefold() in value.casefold(),
}


def select(rows: Sequence[Row], command: ShowCommand) -> list[Row]:
    """Return the rows that a show command asks for.

    Raises `ApricotError` with code 4103 for a column that no row has or a
    value that doesn't fit the column.
    """
    selected = list(rows)
    if command.condition is not None:
        selected = list(filter(make_predicate(command.condition, rows), selected))
    ordered = order(selected, command.order, columns=column_names(rows))
    return ordered if command.limit is None else ordered[: command.limit]


def column_names(rows: Iterable[Row]) -> list[str]:
    """Return the names of all columns in the order in which they first occur."""
    return list(dict.fromkeys(name for row in rows for name in row))


def make_predicate(condition: Condition, rows: Sequence[Row]) -> Predicate:
    """Return a function that tells whether a row meets the condition.

    The columns and their types are taken from `rows`; without any row nothing
    can be checked. A missing value meets only `!=`.
    """
    kinds_by_column: dict[str, set[str]] = {}
    for row in rows:
        for name, value in row.items():
            kinds = kinds_by_column.setdefault(name, set())
            if value is not None:
                kinds.add(_kind(value))
    return _compile(condition, kinds_by_column)


def order(rows: Sequence[Row], orderings: Sequence[Ordering], *, columns: list[str]) -> list[Row]:
    """Return the rows in order; rows without a value come last."""
    ordered = list(rows)
    for item in reversed(orderings):
        name = item.column
        if columns and name not in columns:
            raise _unknown_column(name, columns)
        present = [row for row in ordered if row.get(name) is not None]
        absent = [row for row in ordered if row.get(name) is None]
        present.sort(key=_sort_key(name), reverse=item.descending)
        ordered = present + absent
    return ordered


def _sort_key(column: str) -> Callable[[Row], tuple[str, Any]]:
    def key(row: Row) -> tuple[str, Any]:
        value = row[column]
        kind = _kind(value)
        return (kind, str(value) if kind == "other" else value)

    return key


def _compile(condition: Condition, kinds_by_column: dict[str, set[str]]) -> Predicate:
    match condition:
        case Both(parts):
            predicates = [_compile(part, kinds_by_column) for part in parts]
            return lambda row: all(predicate(row) for predicate in predicates)
        case Either(parts):
            predicates = [_compile(part, kinds_by_column) for part in parts]
            return lambda row: any(predicate(row) for predicate in predicates)
        case Negation(part):
            inner = _compile(part, kinds_by_column)
            return lambda row: not inner(row)
        case Membership(column, values):
            equals = [_comparison(column, "=", value, kinds_by_column) for value in values]
            return lambda row: any(predicate(row) for predicate in equals)
        case Comparison(column, name, value):
            return _comparison(column, name, value, kinds_by_column)


def _comparison(
    column: str, name: str, value: Value, kinds_by_column: dict[str, set[str]]
) -> Predicate:
    if kinds_by_column and column not in kinds_by_column:
        raise _unknown_column(column, list(kinds_by_column))
    operand = _operand(column, value)
    kind = _kind(operand)
    kinds = kinds_by_column.get(column, set())
    if kinds and kind not in kinds:
        raise _type_error(
            f"column {column!r} holds {' or '.join(sorted(kinds))}, not {kind} {operand!r}",
            kinds_by_column,
        )
    if name == "~" and kind != "text":
        raise _type_error(f"operator ~ compares text, not {kind} {operand!r}", kinds_by_column)
    if name in {"<", "<=", ">", ">="} and kind == "boolean":
        raise _type_error(f"operator {name} does not compare booleans", kinds_by_column)
    compare = _COMPARE_BY_OPERATOR[name]

    def predicate(row: Row) -> bool:
        present = row.get(column)
        if present is None or _kind(present) != kind:
            return name == "!="
        return compare(present, operand)

    return predicate


def _operand(column: str, value: Value) -> str | int | float | bool:
    if not isinstance(value, Duration):
        return value
    if column.endswith("_ms"):
        return value.seconds * 1000
    if column.endswith("_s"):
        return value.seconds
    raise ApricotError(
        ResultCode.INVALID_COMMAND,
        f"column {column!r} is not a time and can't be compared with {value.amount}{value.unit}",
        remedy="use a duration with columns that end in _s or _ms, and a plain number elsewhere",
    )


def _kind(value: object) -> str:
    match value:
        case bool():
            return "boolean"
        case int() | float():
            return "number"
        case str():
            return "text"
        case _:
            return "other"


def _unknown_column(column: str, columns: list[str]) -> ApricotError:
    return ApricotError(
        ResultCode.INVALID_COMMAND,
        f"there is no column {column!r}",
        remedy=f"use one of: {', '.join(sorted(columns))}",
    )


def _type_error(message: str, kinds_by_column: dict[str, set[str]]) -> ApricotError:
    columns = [
        f"{name} ({' or '.join(sorted(kinds)) or 'no values'})"
        for name, kinds in sorted(kinds_by_column.items())
    ]
    return ApricotError(
        ResultCode.INVALID_COMMAND, message, remedy=f"the columns are: {', '.join(columns)}"
    )
