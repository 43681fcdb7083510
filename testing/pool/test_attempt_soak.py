"""Jobs that callers send again, under messages that are held up and processes that are killed."""

from __future__ import annotations

import pytest
from attempt_soak import AttemptSoak, run_attempt_soak
from pool_harness import run_on_virtual_time


@pytest.mark.parametrize("seed", range(3))
def test_no_task_runs_twice_when_callers_send_jobs_again(seed: int):
    """Guards against second runs that only a series of overlapping delays and kills shows."""
    soaks: list[AttemptSoak] = []

    async def test() -> None:
        soaks.append(await run_attempt_soak(seed))

    run_on_virtual_time(test)
    assert soaks[0].violations == []
    assert soaks[0].answers[1000] > 50
