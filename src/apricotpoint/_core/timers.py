"""Time source and periodic callbacks."""

from __future__ import annotations

import time
from collections.abc import Callable
from types import TracebackType

import anyio
import anyio.abc
import attrs


@attrs.define(eq=False)
class PeriodicTimer:
    """A periodic callback; `cancel` stops it."""

    period_s: float
    callback: Callable[[], None]
    due_at: float
    active: bool = True

    def cancel(self) -> None:
        """Stop calling the callback."""
        self.active = False


class TimerService:
    """Monotonic and wall time, and callbacks that are called periodically.

    `now` follows the clock of the running event loop, so tests that run on
    trio's `MockClock` get virtual time. `wall_clock` may be replaced for the same
    reason. Use the service as an async context manager: callbacks run only
    inside it.
    """

    def __init__(self, *, wall_clock: Callable[[], float] = time.time) -> None:
        self._wall_clock = wall_clock
        self._subscriptions: list[PeriodicTimer] = []
        self._changed = anyio.Event()
        self._group: anyio.abc.TaskGroup | None = None

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return anyio.current_time()

    def wall_time(self) -> float:
        """Return the wall-clock time in seconds since the Unix epoch."""
        return self._wall_clock()

    async def sleep(self, seconds: float) -> None:
        """Suspend the calling task for a number of seconds."""
        await anyio.sleep(seconds)

    def every(self, period_s: float, callback: Callable[[], None]) -> PeriodicTimer:
        """Call `callback` every `period_s` seconds; the first call is one period from now."""
        subscription = PeriodicTimer(
            period_s=period_s, callback=callback, due_at=self.now() + period_s
        )
        self._subscriptions.append(subscription)
        self._changed.set()
        return subscription

    async def __aenter__(self) -> TimerService:
        self._group = anyio.create_task_group()
        await self._group.__aenter__()
        self._group.start_soon(self._run)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool | None:
        assert self._group is not None
        self._group.cancel_scope.cancel()
        return await self._group.__aexit__(exc_type, exc, traceback)

    async def _run(self) -> None:
        while True:
            self._changed = anyio.Event()
            self._subscriptions = [item for item in self._subscriptions if item.active]
            if not self._subscriptions:
                await self._changed.wait()
                continue
            wait_s = min(item.due_at for item in self._subscriptions) - self.now()
            if wait_s > 0:
                with anyio.move_on_after(wait_s):
                    await self._changed.wait()
            self._call_due()

    def _call_due(self) -> None:
        now = self.now()
        for item in list(self._subscriptions):
            if not item.active or item.due_at > now:
                continue
            # A late callback is called once, not once for each missed period.
            item.due_at = max(item.due_at + item.period_s, now)
            item.callback()
