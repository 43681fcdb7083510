"""Hypothesis strategies for commands of the operator language."""

from __future__ import annotations

from hypothesis import strategies as st

from apricotpoint._operator.conditions import (
    Comparison,
    Conjunction,
    Disjunction,
    Duration,
    Membership,
    Negation,
)
from apricotpoint._operator.language import KEYWORDS
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

WORDS = sorted(KEYWORDS)
NAMES = st.sampled_from([*WORDS, "state", "team-7", "~e.1.2.3", "a:1", "9", ""]) | st.text(
    max_size=6
)
NUMBERS = st.integers(-(10**17), 10**17) | st.floats(allow_nan=False, allow_infinity=False)
NON_NEGATIVE_INTEGERS = st.integers(0, 10**17)
DURATIONS = st.builds(
    Duration,
    st.integers(0, 10**6) | st.floats(0.001, 10**6).map(lambda amount: round(amount, 3)),
    st.sampled_from(["ms", "s", "m", "h"]),
)
VALUES = st.one_of(NAMES, NUMBERS, DURATIONS, st.booleans())
OPERATORS = st.sampled_from(["=", "!=", "<", "<=", ">", ">=", "~"])
TABLES = st.sampled_from(
    ["jobs", "tasks", "backends", "vms", "services", "teams", "members", "evacuations"]
)


def tuples(element: st.SearchStrategy, min_size: int = 0):
    return st.lists(element, min_size=min_size, max_size=3).map(tuple)


CONDITIONS = st.recursive(
    st.builds(Comparison, NAMES, OPERATORS, VALUES)
    | st.builds(Membership, NAMES, tuples(VALUES, 1)),
    lambda part: st.one_of(
        st.builds(Conjunction, tuples(part, 2)),
        st.builds(Disjunction, tuples(part, 2)),
        st.builds(Negation, part),
    ),
    max_leaves=5,
)
SETTINGS = tuples(st.builds(Setting, NAMES, VALUES))
NON_EMPTY_SETTINGS = tuples(st.builds(Setting, NAMES, VALUES), 1)
KINDS = st.sampled_from(["service", "team"])
COMMANDS = st.one_of(
    st.builds(
        ShowCommand,
        TABLES,
        st.none() | CONDITIONS,
        tuples(st.builds(Ordering, NAMES, st.booleans())),
        st.none() | NON_NEGATIVE_INTEGERS,
    ),
    st.builds(
        SubmitCommand,
        NAMES,
        NAMES,
        st.integers(1, 10**9),
        tuples(st.builds(TaskClause, NAMES, SETTINGS), 1),
        st.none() | NAMES,
        st.none() | NON_NEGATIVE_INTEGERS,
    ),
    st.builds(CancelCommand, CONDITIONS),
    st.builds(
        ChangeCommand, st.just("set"), KINDS, NAMES, NON_NEGATIVE_INTEGERS, NON_EMPTY_SETTINGS
    ),
    st.builds(ChangeCommand, st.just("create"), KINDS, NAMES, NON_NEGATIVE_INTEGERS, SETTINGS),
    st.builds(
        ChangeCommand, st.just("add"), st.just("member"), NAMES, NON_NEGATIVE_INTEGERS, SETTINGS
    ),
    st.builds(
        ChangeCommand, st.just("remove"), KINDS | st.just("member"), NAMES, NON_NEGATIVE_INTEGERS
    ),
    st.builds(
        ChangeCommand,
        st.sampled_from(["drain", "undrain", "stop"]),
        st.sampled_from(["vm", "backend"]),
        NAMES,
        NON_NEGATIVE_INTEGERS,
    ),
    st.builds(EvacuationCommand, st.sampled_from(["evacuate", "restore"]), NAMES),
    st.builds(DumpCommand, st.none() | NAMES),
)
STATEMENTS = st.builds(Statement, COMMANDS, st.none() | NAMES)
# Texts of valid words reach deeper states of the parser than random characters.
TEXTS = st.text(max_size=80) | st.lists(
    st.sampled_from([*WORDS, "=", "~", "(", ")", ",", "5", "-1", "1e999", "20ms", "x", '"', '"y"']),
    max_size=14,
).map(" ".join)
