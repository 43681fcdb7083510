"""Parsed conditions of `where` clauses."""

from __future__ import annotations

import attrs

_SECONDS_BY_UNIT = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0}


@attrs.frozen
class Duration:
    """A duration as written in a command; `unit` is ms, s, m or h."""

    amount: int | float
    unit: str

    @property
    def seconds(self) -> float:
        """The duration in seconds."""
        return self.amount * _SECONDS_BY_UNIT[self.unit]


Value = str | int | float | bool | Duration


@attrs.frozen
class Comparison:
    """Compares a column with a value; `operator` is =, !=, <, <=, >, >= or ~ (contains)."""

    column: str
    operator: str
    value: Value


@attrs.frozen
class Membership:
    """True if the column equals one of the values."""

    column: str
    values: tuple[Value, ...]


@attrs.frozen
class Conjunction:
    """True if all parts are true."""

    parts: tuple[Condition, ...]


@attrs.frozen
class Disjunction:
    """True if at least one part is true."""

    parts: tuple[Condition, ...]


@attrs.frozen
class Negation:
    """True if the part is false."""

    part: Condition


Condition = Comparison | Membership | Conjunction | Disjunction | Negation
