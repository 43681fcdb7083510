"""Every fault at every step keeps the promises, and docs/fault-matrix.md says so."""

from __future__ import annotations

from pathlib import Path

import pytest
from matrix_cells import run_cell
from matrix_table import Cell, cells


@pytest.mark.parametrize(
    "cell", cells("request", "job", "cancellation"), ids=lambda cell: cell.test_id
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
