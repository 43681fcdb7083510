"""Jobs that callers send again while shares change hands under overlapping faults."""

from __future__ import annotations

import pytest
from attempt_soak import AttemptSoak
from pool_harness import run_on_virtual_time
from share_soak import run_share_soak


@pytest.mark.parametrize("seed", [1])
def test_no_task_runs_twice_while_shares_change_hands(seed: int):
    """Guards against second runs that only changes of the shares beside other faults show."""
    soaks: list[AttemptSoak] = []

    async def test() -> None:
        soaks.append(await run_share_soak(seed))

    run_on_virtual_time(test)
    assert soaks[0].violations == []
    assert soaks[0].answers[1000] > 50
