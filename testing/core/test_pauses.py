"""Pauses of the own process, during which input waits unread."""

from __future__ import annotations

import anyio
import trio.testing

from apricotpoint._core.pauses import CATCH_UP_S, PauseMonitor
from apricotpoint._core.timers import TimerService


def test_input_after_a_pause_may_have_waited_for_all_of_it():
    """Guards against requests that waited for a stopped process and are taken for new."""
    suspended_s = 0.0

    async def test() -> None:
        nonlocal suspended_s
        async with (
            TimerService(suspended_s=lambda: suspended_s) as timers,
            PauseMonitor(timers=timers) as pauses,
        ):
            await anyio.sleep(1.0)
            assert pauses.unread_s() == 0
            suspended_s = 3.0
            assert 3.0 <= pauses.unread_s() <= 3.1
            await anyio.sleep(CATCH_UP_S / 2)
            assert 3.0 <= pauses.unread_s() <= 3.1
            await anyio.sleep(2 * CATCH_UP_S)
            assert pauses.unread_s() == 0

    clock = trio.testing.MockClock(autojump_threshold=0)
    anyio.run(test, backend="trio", backend_options={"clock": clock})
