"""Detection of pauses of the own process: a frozen or suspended machine, a starved processor."""

from __future__ import annotations

from types import TracebackType

from apricotpoint._core.timers import PeriodicTimer, TimerService

TICK_PERIOD_S = 0.1
# Delays below this are usual under load.
SHORTEST_PAUSE_S = 0.25
# What arrived during a pause is read within this time after it.
CATCH_UP_S = 0.2


class PauseMonitor:
    """Tells how long what is read from a socket now may have waited there for this process.

    Use it as an async context manager.
    """

    def __init__(self, *, timers: TimerService) -> None:
        self._timers = timers
        self._ticked_at = 0.0
        self._pause_s = 0.0
        self._caught_up_at = 0.0
        self._subscription: PeriodicTimer | None = None

    async def __aenter__(self) -> PauseMonitor:
        self._ticked_at = self._timers.boot_time()
        self._subscription = self._timers.every(TICK_PERIOD_S, self._tick)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._subscription:
            self._subscription.cancel()

    def unread_s(self) -> float:
        """Return the most seconds for which input waited because of a pause, 0 without a pause."""
        # Input may be handled before the first tick after a pause.
        self._check(self._timers.boot_time())
        return self._pause_s

    def _tick(self) -> None:
        now = self._timers.boot_time()
        self._check(now)
        self._ticked_at = now

    def _check(self, now: float) -> None:
        pause_s = now - self._ticked_at
        if pause_s >= SHORTEST_PAUSE_S:
            self._pause_s = max(self._pause_s, pause_s)
            self._caught_up_at = now + CATCH_UP_S
        elif now >= self._caught_up_at:
            self._pause_s = 0.0
