"""Clocks and periodic callbacks."""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Callable
from types import TracebackType

import anyio
import anyio.abc
import attrs
import logbook

from apricotpoint._core.errors import ApricotError

_log = logbook.Logger("timers")


@attrs.define(eq=False)
class PeriodicTimer:
    """A callback that `TimerService` calls every `period_s` seconds until `cancel`.

    `due_at` is the monotonic time of the next call.
    """

    period_s: float
    callback: Callable[[], None]
    due_at: float
    active: bool = True

    def cancel(self) -> None:
        """Stop the calls of the callback."""
        self.active = False


class TimerService:
    """Monotonic time, wall-clock time and periodic callbacks.

    `now` follows the clock of the running event loop, so tests that run on
    trio's `MockClock` get virtual time. `wall_clock` can be replaced for the same
    reason. `suspended_s` returns for how many seconds the machine was suspended, which
    the monotonic clock does not count. Use the service as an async context manager:
    callbacks are called only inside it. An `ApricotError` in one cancels the body of
    the context; any other exception is logged, and the callback is called again after
    its period.

    All callbacks are called at multiples of their periods since the first one was added, so that
    those with related periods share a wake-up of the process: a wake-up costs more than most
    callbacks do.
    """

    def __init__(
        self,
        *,
        wall_clock: Callable[[], float] = time.time,
        suspended_s: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._wall_clock = wall_clock
        self._suspended_s = suspended_s
        self._timers: list[PeriodicTimer] = []
        self._first_added_at: float | None = None
        # Cancelled to end the pause between two calls; a pause that times out would cost more.
        self._pause: anyio.CancelScope | None = None
        self._task_group: anyio.abc.TaskGroup | None = None
        self._clock: Callable[[], float] = anyio.current_time

    def now(self) -> float:
        """Return the monotonic time in seconds; its zero point is arbitrary."""
        return self._clock()

    def boot_time(self) -> float:
        """Return the seconds since the boot of the machine, including those it was suspended.

        It is the clock for the age of what other machines have sent.
        """
        return self.now() + self._suspended_s()

    def wall_time(self) -> float:
        """Return the wall-clock time in seconds since the Unix epoch."""
        return self._wall_clock()

    async def sleep(self, seconds: float) -> None:
        """Suspend the calling task for a number of seconds."""
        await anyio.sleep(seconds)

    def every(self, period_s: float, callback: Callable[[], None]) -> PeriodicTimer:
        """Call `callback` every `period_s` seconds, first within one period.

        The callback must not block: it runs in the event loop.
        """
        now = self.now()
        if self._first_added_at is None:
            self._first_added_at = now
        due_at = self._next_due_at(period_s, now)
        timer = PeriodicTimer(period_s=period_s, callback=callback, due_at=due_at)
        self._timers.append(timer)
        if self._pause is not None:
            self._pause.cancel()
        return timer

    async def __aenter__(self) -> TimerService:
        try:
            # The same clock. anyio looks for the running event loop at each call, which took a
            # tenth of the processor time of a busy entry process.
            self._clock = asyncio.get_running_loop().time
        except RuntimeError:
            _log.debug("the event loop is not one of asyncio; its clock is read through anyio")
        self._task_group = anyio.create_task_group()
        await self._task_group.__aenter__()
        self._task_group.start_soon(self._run_timers)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool | None:
        assert self._task_group is not None
        self._task_group.cancel_scope.cancel()
        return await self._task_group.__aexit__(exc_type, exc, traceback)

    def _next_due_at(self, period_s: float, now: float) -> float:
        """Return the first multiple of a period since the first timer that is after `now`."""
        assert self._first_added_at is not None
        periods = math.floor((now - self._first_added_at) / period_s) + 1
        due_at = self._first_added_at + periods * period_s
        # The division may round down.
        return due_at if due_at > now else due_at + period_s

    async def _run_timers(self) -> None:
        while True:
            self._timers = [timer for timer in self._timers if timer.active]
            due_at = min((timer.due_at for timer in self._timers), default=math.inf)
            wait_s = due_at - self.now()
            if wait_s > 0:
                with anyio.CancelScope() as self._pause:
                    await anyio.sleep(wait_s)
            self._call_due()

    def _call_due(self) -> None:
        now = self.now()
        for timer in list(self._timers):
            if not timer.active or timer.due_at > now:
                continue
            # A callback that has missed periods is called once more, not once for each of them:
            # what the first call after a pause finds is acted on by the second one.
            has_missed = timer.due_at + timer.period_s <= now
            timer.due_at = now if has_missed else self._next_due_at(timer.period_s, now)
            try:
                timer.callback()
            except ApricotError:
                raise
            except Exception:
                # One unexpected value must not end a process that serves others.
                _log.exception(
                    "periodic callback {} failed; the next call is in {:.3f} s",
                    getattr(timer.callback, "__qualname__", timer.callback),
                    timer.period_s,
                )
