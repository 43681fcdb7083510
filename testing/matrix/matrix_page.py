"""Renders docs/fault-matrix.md from the table."""

from __future__ import annotations

from pathlib import Path

from matrix_table import OUTCOMES, REASONS, ROWS, STEPS, Outcome, cells, pair_cells

PAGE = Path(__file__).parents[2] / "docs" / "fault-matrix.md"
_HEAD = """# Fault matrix

This page is generated from `testing/matrix/matrix_table.py`; a test fails if it is out of date.
Generate it again with `WRITE_FAULT_MATRIX=1 .venv/bin/python -m pytest -k page_is_current
testing/matrix`. Run one cell with `.venv/bin/python -m pytest testing/matrix -k ID`.

A row is a fault, a column the step of the operation at which it is injected; both faults of a pair
are injected at the same step. A cell has the outcome (see the list at the end) and the id of its
test. Each test also checks the guarantees of section 1.2 of the design page against what the
simulated backend servers and callers recorded. The faults are defined in
`testing/matrix/matrix_faults.py` and `testing/matrix/matrix_changes.py`. All processes of a cell
run the production code on virtual time.
"""


def render_page() -> str:
    """Return the text of docs/fault-matrix.md."""
    parts = [_HEAD]
    for operation, rows in ROWS.items():
        steps = STEPS[operation]
        number = len(list(cells(operation)))
        parts.append(f"\n## Operation `{operation}` ({number} cells)\n")
        parts.append(f"| fault | {' | '.join(steps)} |")
        parts.append("|---" * (len(steps) + 1) + "|")
        for fault, symbols in rows.items():
            texts = [
                f"{OUTCOMES[symbol].text}<br>`{operation}-{step}-{fault}`"
                if symbol in OUTCOMES
                else f"not applicable ({symbol})"
                for step, symbol in zip(steps, symbols, strict=True)
            ]
            parts.append(f"| {fault} | {' | '.join(texts)} |")
    number = len(list(pair_cells()))
    parts.append(f"\n## Pairs of faults at the same step ({number} cells)\n")
    parts.append("| outcome | test |\n|---|---|")
    parts += [f"| {cell.outcome.text} | `{cell.test_id}` |" for cell in pair_cells()]
    parts.append("\n## Why a cell does not apply\n\n| mark | reason |\n|---|---|")
    parts += [f"| {symbol} | {reason} |" for symbol, reason in REASONS.items()]
    parts.append(
        "\n## Outcomes\n\nCode 0 means that the connection ended with its entry process. The "
        "starts are\nthose of each task, or how often a change was applied, before the request is "
        "sent again through\nanother entry process.\n"
    )
    parts.append("| outcome | codes | starts | codes on resubmission | codes of the cancellation |")
    parts.append("|---|---|---|---|---|")
    parts += [_outcome_row(outcome) for outcome in OUTCOMES.values()]
    return "\n".join(parts) + "\n"


def _outcome_row(outcome: Outcome) -> str:
    sets = [outcome.codes, outcome.starts, outcome.resubmission_codes, outcome.cancel]
    lists = [", ".join(str(item) for item in sorted(items)) for items in sets]
    return f"| {outcome.text} | {' | '.join(lists)} |"
