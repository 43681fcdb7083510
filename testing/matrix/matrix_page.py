"""Writes docs/fault-matrix.md from the table."""

from __future__ import annotations

from pathlib import Path

from matrix_table import OUTCOMES, REASONS, ROWS, STEPS, Outcome, cells, pairs

PAGE = Path(__file__).parents[2] / "docs" / "fault-matrix.md"
_HEAD = """# Fault matrix

This page is written by the tests from `testing/matrix/matrix_table.py`; a test fails if it
differs. Write it again with `WRITE_FAULT_MATRIX=1 .venv/bin/python -m pytest -k page_is_current
testing/matrix`. Run one cell with `.venv/bin/python -m pytest testing/matrix -k ID`.

A column is the step of the operation that is reached when the fault of the row occurs; a pair of
faults occurs at once. A cell has the outcome (see the list at the end) and the id of its test. Each
test also checks the promises of section 1.2 of the design page by what the fakes counted. The
faults are defined in `testing/matrix/matrix_faults.py` and `testing/matrix/matrix_changes.py`. All
processes of a cell run the production code on virtual time.
"""


def write_page() -> str:
    """Return the page."""
    parts = [_HEAD]
    for operation, rows in ROWS.items():
        steps = STEPS[operation]
        number = len(list(cells(operation)))
        parts.append(f"\n## Operation `{operation}` ({number} cells)\n")
        parts.append(f"| fault | {' | '.join(steps)} |")
        parts.append("|---" * (len(steps) + 1) + "|")
        for fault, letters in rows.items():
            texts = [
                f"{OUTCOMES[letter].text}<br>`{operation}-{step}-{fault}`"
                if letter in OUTCOMES
                else f"not applicable ({letter})"
                for step, letter in zip(steps, letters, strict=True)
            ]
            parts.append(f"| {fault} | {' | '.join(texts)} |")
    number = len(list(pairs()))
    parts.append(f"\n## Pairs of faults at the same step ({number} cells)\n")
    parts.append("| outcome | test |\n|---|---|")
    parts += [f"| {cell.outcome.text} | `{cell.test_id}` |" for cell in pairs()]
    parts.append("\n## Why a cell does not apply\n\n| mark | reason |\n|---|---|")
    parts += [f"| {letter} | {reason} |" for letter, reason in REASONS.items()]
    parts.append(
        "\n## Outcomes\n\nCode 0 stands for a connection that ended with its process. The starts "
        "are those of each\ntask, or how often a change is in force, before the request is sent "
        "again through another entry\nprocess.\n"
    )
    parts.append("| outcome | codes | starts | codes when sent again | codes of the cancellation |")
    parts.append("|---|---|---|---|---|")
    parts += [_row(outcome) for outcome in OUTCOMES.values()]
    return "\n".join(parts) + "\n"


def _row(outcome: Outcome) -> str:
    sets = [outcome.codes, outcome.starts, outcome.again, outcome.cancel]
    lists = [", ".join(str(item) for item in sorted(items)) for items in sets]
    return f"| {outcome.text} | {' | '.join(lists)} |"
