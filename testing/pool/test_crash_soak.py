"""Random kills, cuts, crashes and rooms that change, over several entry processes."""

from __future__ import annotations

import pytest
from crash_soak import CrashSoak, run_crash_soak
from pool_harness import run_on_virtual_time


@pytest.mark.parametrize("seed", range(8))
def test_no_promise_is_broken_under_overlapping_faults(seed: int):
    """Guards against faults that only a series of kills, cuts and crashes shows.

    It checks that a deadly task is given up, no sound one is, no task runs twice at a time, no
    room is exceeded, and answers come in time and are true.
    """
    soaks: list[CrashSoak] = []

    async def test() -> None:
        soaks.append(await run_crash_soak(seed))

    run_on_virtual_time(test)
    assert soaks[0].violations == []
    assert soaks[0].answers[1000] > 100
