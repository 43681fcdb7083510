"""Each fault at each step keeps the guarantees P1 to P8, and docs/fault-matrix.md is current."""

from __future__ import annotations

import gc
import multiprocessing
import os
from collections.abc import Iterator
from concurrent.futures import Future, ProcessPoolExecutor

import pytest
from matrix_cells import run_cell
from matrix_changes import run_change_cell
from matrix_page import PAGE, render_page
from matrix_table import STEPS, Cell, cells, pair_cells

# Several processes, and less frequent garbage collection in them, keep the run under 40 s.
_PROCESSES = 4
_CHANGE_OPERATIONS = ("change", "membership")


@pytest.fixture(scope="module")
def run_by_id(
    request: pytest.FixtureRequest, tmp_path_factory: pytest.TempPathFactory
) -> Iterator[dict[str, Future]]:
    """Start the selected cells in other processes; return their results by test id."""
    folder = tmp_path_factory.mktemp("matrix")
    # A forked process would inherit locks that pynng threads still hold after other tests.
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(
        _PROCESSES, mp_context=context, initializer=gc.set_threshold, initargs=(20_000,)
    ) as pool:
        runs = {}
        for item in request.session.items:
            cell = getattr(item, "callspec", None) and item.callspec.params.get("cell")
            if isinstance(cell, Cell):
                run = run_change_cell if cell.operation in _CHANGE_OPERATIONS else run_cell
                path = folder / str(len(runs))
                runs[cell.test_id] = pool.submit(run, path, cell.operation, cell.step, cell.fault)
        yield runs
        pool.shutdown(cancel_futures=True)


@pytest.mark.parametrize("cell", [*cells(*STEPS), *pair_cells()], ids=lambda cell: cell.test_id)
def test_cell(run_by_id: dict[str, Future], cell: Cell):
    """Guards against a task that starts twice, a wrong answer or a lost change after a fault.

    `run_cell` and `run_change_cell` check P1 to P8; this test compares the outcome with the table.
    """
    result = run_by_id[cell.test_id].result()
    outcome = cell.outcome
    assert result.code in outcome.codes, result
    assert set(result.starts) <= outcome.starts, result
    assert result.resubmission_code in outcome.resubmission_codes, result
    if result.cancel_code is not None:
        assert result.cancel_code in (outcome.cancel or outcome.codes), result
    if result.other is not None:
        assert sorted([result.resubmission_code, result.other]) == [4000, 4101], (
            "exactly one of two changes with equal base versions is accepted"
        )
        assert set(result.starts) == {int(result.resubmission_code == 4000)}, (
            "only the accepted change is applied"
        )


def test_page_is_current():
    """Guards against a page that states other outcomes than the tests check."""
    page = render_page()
    if os.environ.get("WRITE_FAULT_MATRIX"):
        PAGE.write_text(page)
    assert PAGE.read_text() == page, (
        "docs/fault-matrix.md is out of date; its first lines say how to generate it"
    )
