"""Conditions, order and limit of queries, and the errors of invalid queries."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from operator_strategies import CONDITIONS

from apricotpoint._core.errors import ApricotError
from apricotpoint._operator.conditions import Negation
from apricotpoint._operator.language import parse
from apricotpoint._operator.query import make_predicate, select
from apricotpoint._operator.statements import ShowCommand

ROWS = [
    {"key": "a", "state": "running", "age_s": 0.2, "wait_ms": 700, "late": True},
    {"key": "b", "state": "queued", "age_s": 2.5, "wait_ms": 20, "late": False},
    {"key": "c", "state": "Queued-again", "age_s": None, "wait_ms": 500, "late": False},
]


def selected_keys(text: str) -> str:
    command = parse(f"show jobs {text}").command
    assert isinstance(command, ShowCommand)
    return "".join(row["key"] for row in select(ROWS, command))


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("", "abc"),
        ("where state = queued", "b"),
        ("where state ~ queued", "bc"),
        ("where age_s > 500ms", "b"),
        ("where age_s != 0.2", "bc"),
        ("where not age_s > 500ms", "ac"),
        ("where wait_ms >= 500ms", "ac"),
        ("where wait_ms < 0.5s", "b"),
        ("where wait_ms <= 500", "bc"),
        ("where late = true or key in (c, x)", "ac"),
        ("where late = false and (key = a or key = b)", "b"),
        ("order by age_s", "abc"),
        ("order by age_s desc", "bac"),
        ("order by late desc, key desc", "acb"),
        ("order by wait_ms limit 2", "bc"),
        ("limit 0", ""),
    ],
)
def test_query_returns_the_selected_rows_in_order(text: str, expected: str):
    """Guards against wrong comparisons, duration units, precedence and order of missing values."""
    assert selected_keys(text) == expected


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("where stat = queued", "no column 'stat'.*age_s, key, late, state, wait_ms"),
        ("order by stat", "no column 'stat'.*age_s, key, late, state, wait_ms"),
        ("where age_s = queued", r"'age_s' holds number, not text 'queued'.*state \(text\)"),
        ("where late < true", "does not compare booleans"),
        ("where wait_ms ~ 5", "compares text"),
        ("where state = 5ms", "'state' is not a time"),
    ],
)
def test_error_of_a_wrong_column_or_type_explains_it(text: str, message: str):
    """Guards against a typing error in a query that selects no rows without an error."""
    with pytest.raises(ApricotError, match=message):
        selected_keys(text)


CELLS = st.one_of(st.none(), st.booleans(), st.integers(), st.floats(), st.text(max_size=2))


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(st.dictionaries(st.sampled_from(["state", "where", "x_s"]), CELLS)), CONDITIONS)
def test_condition_and_its_negation_select_disjoint_rows(rows: list[dict], condition: object):
    """Guards against a row that meets both or neither of a condition and its negation."""
    try:
        predicate = make_predicate(condition, rows)
        negated = make_predicate(Negation(condition), rows)
    except ApricotError:
        return
    assert all(predicate(row) != negated(row) for row in rows)
