"""Detection of pauses of the own process: a frozen or suspended machine, a starved processor."""

from __future__ import annotations

from collections import deque
from types import TracebackType

import attrs

from apricotpoint._core.timers import PeriodicTimer, TimerService

TICK_PERIOD_S = 0.1
# Delays below this are usual under load.
SHORTEST_PAUSE_S = 0.25
# What arrived during a pause is read within this time after it.
CATCH_UP_S = 0.2
# A pause is noticed within this time after its end.
NOTICE_S = 0.1
# The kernel of a machine that was stopped takes in what has waited outside within this time.
INTAKE_S = 0.05
# Pauses are remembered for longer than input waits unread.
_RETENTION_S = 10.0


@attrs.frozen
class _Pause:
    """A pause that was noticed at the monotonic time `noticed_at`.

    The machine was suspended for `suspended_s` of its `length_s` seconds.
    """

    noticed_at: float
    length_s: float
    suspended_s: float


class PauseMonitor:
    """Tells how long what is read from a socket now may have waited there for this process.

    Use it as an async context manager.
    """

    def __init__(self, *, timers: TimerService) -> None:
        self._timers = timers
        self._ticked_at = 0.0
        self._suspended_s = 0.0
        self._pauses: deque[_Pause] = deque()
        self._subscription: PeriodicTimer | None = None

    async def __aenter__(self) -> PauseMonitor:
        self._ticked_at = self._timers.now()
        self._suspended_s = self._timers.boot_time() - self._ticked_at
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

    def unread_s(self, silent_s: float | None = None) -> float:
        """Return the most seconds for which input waited because of a pause, 0 without a pause.

        `silent_s` is the time since the input arrived by the record of the kernel, None if not
        known. The record is wrong for input that waited outside of a stopped machine: it arrived
        with the end of the pause by that record, and may be as old as the pause. Input that
        arrived before shows that only this process was stopped, and that the record is right.
        """
        # Input may be handled before the first tick after a pause.
        self._tick()
        now = self._timers.now()
        if silent_s is None:
            recent = (pause for pause in self._pauses if now < pause.noticed_at + CATCH_UP_S)
            return max((pause.length_s for pause in recent), default=0.0)
        arrived_at = now - silent_s
        waited_s = silent_s
        for pause in self._pauses:
            if arrived_at < pause.noticed_at - NOTICE_S:
                waited_s += pause.suspended_s
            elif arrived_at < pause.noticed_at + INTAKE_S:
                waited_s = max(waited_s, now - pause.noticed_at + pause.length_s)
        return waited_s

    def _tick(self) -> None:
        now = self._timers.now()
        suspended_s = self._timers.boot_time() - now
        length_s = now + suspended_s - self._ticked_at - self._suspended_s
        if length_s >= SHORTEST_PAUSE_S:
            pause = _Pause(now, length_s, max(0.0, suspended_s - self._suspended_s))
            self._pauses.append(pause)
        while self._pauses and now - self._pauses[0].noticed_at > _RETENTION_S:
            self._pauses.popleft()
        self._ticked_at, self._suspended_s = now, suspended_s
