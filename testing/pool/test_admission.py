"""Which jobs are refused on arrival."""

from __future__ import annotations

import pytest

from apricotpoint._pool.decisions.admission import is_infeasible


@pytest.mark.parametrize(
    ("elapsed_s", "wait_s", "run_s", "refused"),
    [
        # In time.
        (0.1, 0.0, 0.3, False),
        # Late by the time that has passed: served while it can be, without cost for others.
        (0.7, 0.0, 0.3, False),
        (1.2, 0.0, 0.3, False),
        (1.21, 0.0, 0.3, True),
        # It would take resources from others.
        (0.7, 0.01, 0.3, True),
        # Late by its own run time.
        (0.0, 0.0, 0.6, True),
        (0.7, 0.0, 0.6, True),
    ],
)
def test_a_job_is_refused_for_the_time_that_has_passed_only_if_others_wait(
    *, elapsed_s: float, wait_s: float, run_s: float, refused: bool
):
    """Guards against idle backend servers while jobs are refused that waited for a process."""
    assert refused == is_infeasible(
        wait_s=wait_s, run_s=run_s, elapsed_s=elapsed_s, objective_s=0.54, deadline_s=1.5
    )
