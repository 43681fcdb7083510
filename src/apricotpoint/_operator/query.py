"""Filtering, sorting and limiting of the rows of a table."""

from __future__ import annotations

import operator
from collections.abc import Callable, Iterable, Sequence
from typing import Any

from apricotpoint._core.codes import ResultCode
from apricotpoint._core.errors import ApricotError
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
    """Return the rows that a `show` command selects, in its order.

    Raises `ApricotError` with code 4103 for a column that no row has, or for a value
    whose type does not match the column.
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
    """Return a function that returns whether a row meets the condition.

    The names and types of the columns in the condition are checked against `rows`,
    and not checked if there are no rows; for the errors see `select`. A missing value
    or a value of another type meets only `!=`.
    """
    types_by_column: dict[str, set[str]] = {}
    for row in rows:
        for name, value in row.items():
            types = types_by_column.setdefault(name, set())
            if value is not None:
                types.add(_type_name(value))
    return _compile(condition, types_by_column)


def order(rows: Sequence[Row], orderings: Sequence[Ordering], *, columns: list[str]) -> list[Row]:
    """Return the rows in the given order; rows without a value in a column come last in it."""
    ordered = list(rows)
    for item in reversed(orderings):
        name = item.column
        if columns and name not in columns:
            raise _unknown_column(name, columns)
        with_value = [row for row in ordered if row.get(name) is not None]
        without_value = [row for row in ordered if row.get(name) is None]
        with_value.sort(key=_sort_key(name), reverse=item.descending)
        ordered = with_value + without_value
    return ordered


def _sort_key(column: str) -> Callable[[Row], tuple[str, Any]]:
    def key(row: Row) -> tuple[str, Any]:
        value = row[column]
        type_name = _type_name(value)
        return (type_name, str(value) if type_name == "other" else value)

    return key


def _compile(condition: Condition, types_by_column: dict[str, set[str]]) -> Predicate:
    match condition:
        case Conjunction(parts):
            predicates = [_compile(part, types_by_column) for part in parts]
            return lambda row: all(predicate(row) for predicate in predicates)
        case Disjunction(parts):
            predicates = [_compile(part, types_by_column) for part in parts]
            return lambda row: any(predicate(row) for predicate in predicates)
        case Negation(part):
            inner = _compile(part, types_by_column)
            return lambda row: not inner(row)
        case Membership(column, values):
            equals = [_comparison(column, "=", value, types_by_column) for value in values]
            return lambda row: any(predicate(row) for predicate in equals)
        case Comparison(column, operator_symbol, value):
            return _comparison(column, operator_symbol, value, types_by_column)


def _comparison(
    column: str, operator_symbol: str, value: Value, types_by_column: dict[str, set[str]]
) -> Predicate:
    if types_by_column and column not in types_by_column:
        raise _unknown_column(column, list(types_by_column))
    operand = _operand(column, value)
    type_name = _type_name(operand)
    types = types_by_column.get(column, set())
    if types and type_name not in types:
        raise _type_error(
            f"column {column!r} holds {' or '.join(sorted(types))}, not {type_name} {operand!r}",
            types_by_column,
        )
    if operator_symbol == "~" and type_name != "text":
        raise _type_error(f"operator ~ compares text, not {type_name} {operand!r}", types_by_column)
    if operator_symbol in {"<", "<=", ">", ">="} and type_name == "boolean":
        raise _type_error(f"operator {operator_symbol} does not compare booleans", types_by_column)
    compare = _COMPARE_BY_OPERATOR[operator_symbol]

    def predicate(row: Row) -> bool:
        cell = row.get(column)
        if cell is None or _type_name(cell) != type_name:
            return operator_symbol == "!="
        return compare(cell, operand)

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


def _type_name(value: object) -> str:
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


def _type_error(message: str, types_by_column: dict[str, set[str]]) -> ApricotError:
    columns = [
        f"{name} ({' or '.join(sorted(types)) or 'no values'})"
        for name, types in sorted(types_by_column.items())
    ]
    return ApricotError(
        ResultCode.INVALID_COMMAND, message, remedy=f"the columns are: {', '.join(columns)}"
    )
