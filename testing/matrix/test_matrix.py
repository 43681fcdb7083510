"""Every fault at every step keeps the promises, and docs/fault-matrix.md says so."""

from __future__ import annotations

import gc
import multiprocessing
import os
from collections.abc import Iterator
from concurrent.futures import Future, ProcessPoolExecutor

import pytest
from matrix_cells import run_cell
from matrix_changes import run_change_cell
from matrix_page import PAGE, write_page
from matrix_table import STEPS, Cell, cells, pairs

# Several processes, and less frequent garbage collection in them, keep the run under 40 s.
_PROCESSES = 4
_CHANGES = ("change", "membership")


@pytest.fixture(scope="module")
def run_by_id(
    request: pytest.FixtureRequest, tmp_path_factory: pytest.TempPathFactory
) -> Iterator[dict[str, Future]]:
    """Start the selected cells in other processes."""
    folder = tmp_path_factory.mktemp("matrix")
    # A fork would copy the locks that threads of pynng hold after other tests.
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(
        _PROCESSES, mp_context=context, initializer=gc.set_threshold, initargs=(20_000,)
    ) as pool:
        runs = {}
        for item in request.session.items:
            cell = getattr(item, "callspec", None) and item.callspec.params.get("cell")
            if isinstance(cell, Cell):
                run = run_change_cell if cell.operation in _CHANGES else run_cell
                path = folder / str(len(runs))
                runs[cell.test_id] = pool.submit(run, path, cell.operation, cell.step, cell.fault)
        yield runs
        pool.shutdown(cancel_futures=True)


@pytest.mark.parametrize("cell", [*cells(*STEPS), *pairs()], ids=lambda cell: cell.test_id)
def test_cell(run_by_id: dict[str, Future], cell: Cell):
    """Guards P1 to P8: no second start, partial, foreign or untrue answer, no lost change."""
    seen = run_by_id[cell.test_id].result()
    outcome = cell.outcome
    assert seen.code in outcome.codes, seen
    assert set(seen.starts) <= outcome.starts, seen
    assert seen.again in outcome.again, seen
    if seen.cancel_code is not None:
        assert seen.cancel_code in (outcome.cancel or outcome.codes), seen
    if seen.other is not None:
        assert sorted([seen.again, seen.other]) == [4000, 4101], "one of two equal bases wins"
        assert set(seen.starts) == {int(seen.again == 4000)}, "only the winner is in force"


def test_page_is_current():
    """Guards against a page that states other outcomes than the tests check."""
    page = write_page()
    if os.environ.get("WRITE_FAULT_MATRIX"):
        PAGE.write_text(page)
    assert PAGE.read_text() == page, "write it again as its first lines say"
