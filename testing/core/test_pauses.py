"""Pauses of the own process, during which input waits unread."""

from __future__ import annotations

import anyio
import pytest
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


@pytest.mark.parametrize(
    ("silent_s", "age_s"),
    [
        # Arrived while the process was stopped and its kernel was not.
        (2.5, 2.5),
        (0.4, 0.4),
        # Arrived before the process was stopped.
        (3.05, 3.05),
        # Arrived with the end of the pause: it may have waited outside of a stopped machine.
        (0.02, 3.0),
        (0.0, 3.0),
        (None, 3.0),
    ],
)
def test_the_age_of_input_is_that_of_its_arrival(silent_s: float | None, age_s: float):
    """Guards against young requests that are refused as if they had waited for a whole pause."""
    clock = trio.testing.MockClock(autojump_threshold=0)

    async def test() -> None:
        async with TimerService() as timers, PauseMonitor(timers=timers) as pauses:
            await anyio.sleep(1.0)
            assert pauses.unread_s(0.01) == 0.01
            clock.jump(3.0)
            assert pauses.unread_s(silent_s) == pytest.approx(age_s, abs=0.1)

    anyio.run(test, backend="trio", backend_options={"clock": clock})


def test_input_that_arrives_after_a_pause_is_young():
    """Guards against requests after a pause that pay for it."""
    clock = trio.testing.MockClock(autojump_threshold=0)

    async def test() -> None:
        async with TimerService() as timers, PauseMonitor(timers=timers) as pauses:
            await anyio.sleep(1.0)
            clock.jump(3.0)
            pauses.unread_s()
            await anyio.sleep(0.1)
            assert pauses.unread_s(0.02) == 0.02
            assert pauses.unread_s(0.07) > 3.0

    anyio.run(test, backend="trio", backend_options={"clock": clock})


def test_input_that_waits_on_after_a_pause_keeps_its_age():
    """Guards against old requests that a starved process reads late and takes for new."""
    clock = trio.testing.MockClock(autojump_threshold=0)

    async def test() -> None:
        async with TimerService() as timers, PauseMonitor(timers=timers) as pauses:
            await anyio.sleep(1.0)
            clock.jump(3.0)
            pauses.unread_s()
            await anyio.sleep(2 * CATCH_UP_S)
            assert pauses.unread_s(2.0) == 2.0
            # It arrived with the end of the pause.
            assert pauses.unread_s(2 * CATCH_UP_S) > 3.0

    anyio.run(test, backend="trio", backend_options={"clock": clock})


def test_the_time_of_a_suspended_machine_counts_for_input_that_arrived_before():
    """Guards against a record of the kernel that does not count the time of a suspended machine."""
    suspended_s = 0.0
    clock = trio.testing.MockClock(autojump_threshold=0)

    async def test() -> None:
        nonlocal suspended_s
        async with (
            TimerService(suspended_s=lambda: suspended_s) as timers,
            PauseMonitor(timers=timers) as pauses,
        ):
            await anyio.sleep(1.0)
            clock.jump(0.5)
            suspended_s = 3.0
            assert pauses.unread_s(0.4) == pytest.approx(3.4, abs=0.1)

    anyio.run(test, backend="trio", backend_options={"clock": clock})
