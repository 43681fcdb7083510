"""Periodic callbacks: errors in them, and the wake-ups that they cost."""

from __future__ import annotations

import itertools

import anyio
import pytest
import trio.testing

from apricotpoint._core.codes import ResultCode
from apricotpoint._core.errors import ApricotError
from apricotpoint._core.timers import TimerService


def test_an_unexpected_error_in_a_callback_does_not_end_the_service():
    """Guards against a whole process that ends because of one unexpected value."""
    calls: list[str] = []

    def fail() -> None:
        calls.append("fail")
        raise KeyError("unexpected")

    async def main() -> None:
        async with TimerService() as timers:
            timers.every(0.01, fail)
            timers.every(0.01, lambda: calls.append("other"))
            await anyio.sleep(0.1)

    anyio.run(main)
    assert calls.count("fail") > 1
    assert calls.count("other") > 1


def test_an_error_with_a_result_code_ends_the_process():
    """Guards against a process that goes on although it must not, for instance without its disk."""

    def fail() -> None:
        raise ApricotError(ResultCode.SYNC_FAILED, "the disk is gone")

    async def main() -> None:
        async with TimerService() as timers:
            timers.every(0.01, fail)
            await anyio.sleep(1.0)

    with pytest.raises(BaseExceptionGroup) as caught:
        anyio.run(main)
    assert caught.group_contains(ApricotError)


def test_callbacks_with_related_periods_share_their_wakeups():
    """Guards against a wake-up of the process for each of its callbacks."""
    called_at: list[tuple[float, float]] = []

    async def main() -> None:
        async with TimerService() as timers:
            for period_s in (0.1, 0.2, 0.02, 0.1):
                timers.every(
                    period_s,
                    lambda period_s=period_s: called_at.append((period_s, timers.now())),
                )
                await anyio.sleep(0.013)
            began_at = timers.now()
            await anyio.sleep(2.0)
            calls = [(period_s, at) for period_s, at in called_at if at > began_at]
        assert sum(period_s == 0.2 for period_s, _ in calls) == 10
        assert sum(period_s == 0.1 for period_s, _ in calls) in (39, 40, 41)
        assert sum(period_s == 0.02 for period_s, _ in calls) in (99, 100, 101)
        # Floating-point times of the same multiple may differ in their last digits.
        assert len({round(at, 6) for _, at in calls}) <= 101

    anyio.run(
        main,
        backend="trio",
        backend_options={"clock": trio.testing.MockClock(autojump_threshold=0)},
    )


def test_a_late_callback_is_called_twice_at_most_and_then_at_its_usual_times():
    """Guards against a burst of calls after a pause, and against a phase that drifts."""
    called_at: list[float] = []

    async def main() -> None:
        async with TimerService() as timers:
            timers.every(0.1, lambda: called_at.append(timers.now()))
            await anyio.sleep(0.05)
            clock.jump(1.0)
            await anyio.sleep(0.3)

    clock = trio.testing.MockClock(autojump_threshold=0)
    anyio.run(main, backend="trio", backend_options={"clock": clock})
    gaps = [later - earlier for earlier, later in itertools.pairwise(called_at)]
    assert len(called_at) in (5, 6)
    assert all(gap == pytest.approx(0.1) for gap in gaps[2:])
