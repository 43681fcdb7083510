"""Parser of the operator language."""

from __future__ import annotations

import json
import math
from importlib import resources
from typing import Any

import lark
from lark.exceptions import UnexpectedCharacters, UnexpectedInput, UnexpectedToken, VisitError

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
from apricotpoint._operator.statements import (
    CancelCommand,
    ChangeCommand,
    DumpCommand,
    EvacuationCommand,
    Ordering,
    Setting,
    ShowCommand,
    Statement,
    SubmitCommand,
    TaskClause,
)

MAX_TEXT_LENGTH = 16_384
# Conditions are evaluated and printed recursively; this limit keeps both far below the
# recursion limit of the interpreter.
MAX_CONDITION_DEPTH = 32

_DESCRIPTION_BY_TERMINAL = {
    "$END": "end of the command",
    "EQUAL": "=",
    "OPERATOR": "!= < <= > >= ~",
    "TABLE": "jobs, tasks, backends, vms, services, teams, members or evacuations",
    "DURATION": "a duration such as 500ms",
    "NUMBER": "a number",
    "INTEGER": "a whole number",
    "NAME": "a name",
    "STRING": "a string in double quotes",
    "LPAR": "(",
    "RPAR": ")",
    "COMMA": ",",
}


def parse(text: str) -> Statement:
    """Return the statement in `text`.

    Raises `ApricotError` with code 4103 if `text` is too long or not valid. The error
    names the column, and the remedy what was expected there.
    """
    if len(text) > MAX_TEXT_LENGTH:
        raise _error(
            f"column {MAX_TEXT_LENGTH + 1}: the command is too long with {len(text)} characters",
            f"use at most {MAX_TEXT_LENGTH} characters",
        )
    try:
        statement: Any = _PARSER.parse(text)
    except UnexpectedInput as error:
        raise _syntax_error(text, error) from error
    except VisitError as error:
        if isinstance(error.orig_exc, ApricotError):
            raise error.orig_exc from error
        raise
    assert isinstance(statement, Statement)
    return statement


def _error(message: str, remedy: str) -> ApricotError:
    return ApricotError(ResultCode.INVALID_COMMAND, message, remedy=remedy)


def _syntax_error(text: str, error: UnexpectedInput) -> ApricotError:
    terminals: set[str] = set()
    position = error.pos_in_stream or 0
    if isinstance(error, UnexpectedToken):
        terminals = set(error.accepts or error.expected)
        if error.token.type == "$END":
            position = len(text)
    elif isinstance(error, UnexpectedCharacters):
        terminals = set(error.allowed or ())
    expected = sorted(_DESCRIPTION_BY_TERMINAL.get(name, name.lower()) for name in terminals)
    found = repr(text[position : position + 20]) if position < len(text) else "end of the command"
    return _error(
        f"column {position + 1}: {found} was not expected",
        f"expected one of: {'; '.join(expected)}",
    )


def _error_at(token: lark.Token, message: str, remedy: str) -> ApricotError:
    return _error(f"column {(token.start_pos or 0) + 1}: {message}", remedy)


def _depth(condition: Condition) -> int:
    match condition:
        case Conjunction(parts) | Disjunction(parts):
            return 1 + max(map(_depth, parts))
        case Negation(part):
            return 1 + _depth(part)
        case _:
            return 1


def _check_depth(condition: Condition, token: lark.Token) -> Condition:
    if _depth(condition) > MAX_CONDITION_DEPTH:
        raise _error_at(
            token,
            f"the condition is nested more than {MAX_CONDITION_DEPTH} levels deep",
            "use fewer parentheses and fewer 'not'",
        )
    return condition


def _non_negative(token: lark.Token) -> int:
    if int(token) < 0:
        raise _error_at(token, f"{token} is negative", "use a whole number from 0")
    return int(token)


class _StatementBuilder(lark.Transformer[lark.Token, Statement]):
    """Builds commands during parsing, because a later pass would walk the tree recursively."""

    def start(self, items: list[Any]) -> Statement:
        return Statement(items[0], items[2])

    def show(self, items: list[Any]) -> ShowCommand:
        condition = items[3]
        order = tuple(item for item in items if isinstance(item, Ordering))
        limit = None if items[-1] is None else _non_negative(items[-1])
        return ShowCommand(str(items[1]), condition, order, limit)

    def ordering(self, items: list[Any]) -> Ordering:
        return Ordering(items[0], items[1] is not None and items[1].type == "DESC")

    def submit(self, items: list[Any]) -> SubmitCommand:
        _, service, _, team, _, key, _, until, deadline, duration, *tasks = items
        milliseconds = round(_duration(duration).seconds * 1000)
        if milliseconds < 1:
            raise _error_at(duration, f"deadline {duration} is under 1 ms", "use 1ms or more")
        return SubmitCommand(
            service=service,
            team=team,
            deadline_ms=milliseconds,
            tasks=tuple(tasks),
            key=key,
            until=None if until is None else _non_negative(until),
        )

    def task(self, items: list[Any]) -> TaskClause:
        return TaskClause(items[1], items[2] or ())

    def cancel(self, items: list[Any]) -> CancelCommand:
        return CancelCommand(items[-1])

    def set(self, items: list[Any]) -> ChangeCommand:
        verb, kind, target, settings, _, version = items
        return ChangeCommand(str(verb), str(kind), target, _non_negative(version), settings or ())

    create = set
    add = set

    def remove(self, items: list[Any]) -> ChangeCommand:
        verb, kind, target, _, version = items
        return ChangeCommand(str(verb), str(kind), target, _non_negative(version))

    control = remove

    def evacuation(self, items: list[Any]) -> EvacuationCommand:
        return EvacuationCommand(str(items[0]), items[1])

    def dump(self, items: list[Any]) -> DumpCommand:
        return DumpCommand(items[1])

    def settings(self, items: list[Any]) -> tuple[Setting, ...]:
        return tuple(items)

    def setting(self, items: list[Any]) -> Setting:
        return Setting(items[0], items[2])

    def either(self, items: list[Any]) -> Condition:
        return _check_depth(Disjunction(tuple(items[::2])), items[1])

    def both(self, items: list[Any]) -> Condition:
        return _check_depth(Conjunction(tuple(items[::2])), items[1])

    def negation(self, items: list[Any]) -> Condition:
        return _check_depth(Negation(items[1]), items[0])

    def comparison(self, items: list[Any]) -> Comparison:
        return Comparison(items[0], str(items[1]), items[2])

    def membership(self, items: list[Any]) -> Membership:
        return Membership(items[0], tuple(items[2:]))

    def value(self, items: list[Any]) -> Value:
        return items[0]  # type: ignore[no-any-return]

    def duration(self, items: list[lark.Token]) -> Duration:
        return _duration(items[0])

    def number(self, items: list[lark.Token]) -> float:
        number = float(items[0])
        if not math.isfinite(number):
            raise _error_at(items[0], f"{items[0]} is too large", "use a smaller number")
        return number

    def integer(self, items: list[lark.Token]) -> int:
        return int(items[0])

    def true(self, items: list[lark.Token]) -> bool:
        return True

    def false(self, items: list[lark.Token]) -> bool:
        return False

    def bare(self, items: list[lark.Token]) -> str:
        return str(items[0])

    def quoted(self, items: list[lark.Token]) -> str:
        try:
            text: str = json.loads(items[0])
            text.encode()
        except ValueError as error:
            raise _error_at(
                items[0], f"string {items[0]} is not valid", "write it as a JSON string"
            ) from error
        return text


def _duration(token: lark.Token) -> Duration:
    unit = "ms" if token.endswith("ms") else token[-1]
    amount = token[: -len(unit)]
    return Duration(float(amount) if "." in amount else int(amount), unit)


_PARSER = lark.Lark(
    resources.files("apricotpoint._operator").joinpath("grammar.lark").read_text(encoding="utf-8"),
    parser="lalr",
    maybe_placeholders=True,
    keep_all_tokens=False,
    transformer=_StatementBuilder(),
)

KEYWORDS = frozenset(
    terminal.name.lower()
    for terminal in _PARSER.terminals
    if terminal.pattern.value.startswith(terminal.name.lower())
)
