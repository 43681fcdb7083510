"""Parsing and printing of commands, and the position and remedy in syntax errors."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from operator_strategies import STATEMENTS, TEXTS

from apricotpoint._core.codes import ResultCode
from apricotpoint._core.errors import ApricotError
from apricotpoint._operator.language import MAX_TEXT_LENGTH, parse
from apricotpoint._operator.printing import print_statement
from apricotpoint._operator.statements import Statement


@settings(derandomize=True, max_examples=400, deadline=None)
@given(STATEMENTS)
def test_printed_statement_parses_to_the_same_statement(statement: Statement):
    """Guards against commands that change when they are printed and parsed again.

    apricotctl prints each command that it sends, so a wrong quote executes another command.
    """
    assert parse(print_statement(statement)) == statement


@settings(derandomize=True, max_examples=400, deadline=None)
@given(TEXTS)
def test_parser_raises_only_invalid_command_errors(text: str):
    """Guards against a text that ends the parser with an internal error."""
    error = None
    try:
        parse(text)
    except ApricotError as caught:
        error = caught
    if error is not None:
        assert error.code is ResultCode.INVALID_COMMAND
        assert error.message.startswith("column ")
        assert error.remedy


@pytest.mark.parametrize(
    ("text", "column", "expected"),
    [
        ("", 1, "show"),
        ("show job", 6, "jobs, tasks"),
        ("show jobs where", 16, "a name"),
        ("show jobs where a 1", 19, "="),
        ("show jobs\nwhere a = 1 b", 23, "and"),
        ("set service order-desk max_queue_s = 20", 40, "at"),
        ("cancel jobs", 12, "where"),
        ("drain vm p-1 at -1", 17, "whole number from 0"),
        ('show jobs where a = "\\q"', 21, "JSON string"),
        ('show jobs where a = "\\ud800"', 21, "JSON string"),
        ("show jobs where a = 1.0e999", 21, "smaller number"),
        ("submit a team b deadline 0ms task c", 26, "1ms"),
        ("show jobs where " + "not " * 2000 + "a = 1", 7889, "fewer"),
        ("show jobs where " + "(" * 2000 + "a = 1", 2022, ")"),
    ],
)
def test_error_names_the_column_and_what_was_expected(text: str, column: int, expected: str):
    """Guards against syntax errors that do not show operators what to correct."""
    with pytest.raises(ApricotError) as caught:
        parse(text)
    assert caught.value.message.startswith(f"column {column}:")
    assert expected in caught.value.remedy


def test_too_long_text_is_rejected_before_parsing():
    """Guards against the cost of parsing a text of any length."""
    with pytest.raises(ApricotError, match=f"column {MAX_TEXT_LENGTH + 1}: "):
        parse(" " * (MAX_TEXT_LENGTH + 1))
