"""Every fault at every step keeps the promises, and docs/fault-matrix.md says so."""

from __future__ import annotations

import os
from pathlib import Path

import pytest
from matrix_cells import run_cell
from matrix_page import PAGE, write_page
from matrix_table import Cell, cells


@pytest.mark.parametrize(
    "cell", [*cells("request", "job", "cancellation")], ids=lambda cell: cell.test_id
)
def test_job(tmp_path: Path, cell: Cell):
    """Guards P1 to P7: no second start, partial, foreign or untrue answer."""
    seen = run_cell(tmp_path, cell.operation, cell.step, cell.fault)
    outcome = cell.outcome
    assert seen.code in outcome.codes, seen
    assert set(seen.starts) <= outcome.starts, seen
    assert seen.again in outcome.again, seen
    if seen.cancel_code is not None:
        assert seen.cancel_code in (outcome.cancel or outcome.codes), seen


def test_page_is_current():
    """Guards against a page that states other outcomes than the tests check."""
    page = write_page()
    if os.environ.get("WRITE_FAULT_MATRIX"):
        PAGE.write_text(page)
    assert PAGE.read_text() == page, "write it again as its first lines say"
