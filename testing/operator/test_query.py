"""Queries return exactly the rows asked for, and mistakes in them are explained."""

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


def keys(text: str) -> str:
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
def test_query_returns_the_rows_asked_for(text: str, expected: str):
    assert keys(text) == expected


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
def test_wrong_column_or_type_names_the_columns(text: str, message: str):
    with pytest.raises(ApricotError, match=message):
        keys(text)


CELLS = st.one_of(st.none(), st.booleans(), st.integers(), st.floats(), st.text(max_size=2))


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(st.dictionaries(st.sampled_from(["state", "where", "x_s"]), CELLS)), CONDITIONS)
def test_condition_and_its_negation_split_any_rows(rows: list[dict], condition: object):
    try:
        predicate = make_predicate(condition, rows)
        opposite = make_predicate(Negation(condition), rows)
    except ApricotError:
        return
    assert all(predicate(row) != opposite(row) for row in rows)
