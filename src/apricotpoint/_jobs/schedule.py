"""Callbacks for jobs at given times."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Mapping

import anyio
import anyio.lowlevel

from apricotpoint._core.counters import Counters
from apricotpoint._core.timers import TimerService

NO_JOB = 0
# The schedule is compacted when it holds more than two items for each open
# job and this many more, so finished jobs with distant deadlines do not add up.
_COMPACTION_SLACK_ITEMS = 10_000


class Schedule:
    """Calls a function with a job number at a monotonic time.

    Only the number refers to the job, so that a finished job with a distant
    deadline holds no memory. `open_jobs` is a live view of the open job numbers.
    """

    def __init__(
        self, *, timers: TimerService, counters: Counters, open_jobs: Mapping[int, object]
    ) -> None:
        self._timers = timers
        self._counters = counters
        self._open_jobs = open_jobs
        # (due time, tie breaker, job number, callback)
        self._items: list[tuple[float, int, int, Callable[[int], None]]] = []
        self._added = 0
        self._wake = anyio.Event()

    def __len__(self) -> int:
        return len(self._items)

    def call_at(self, due_at: float, number: int, callback: Callable[[int], None]) -> None:
        """Call `callback` with a job number at a monotonic time."""
        self._added += 1
        heapq.heappush(self._items, (due_at, self._added, number, callback))
        if len(self._items) > 2 * len(self._open_jobs) + _COMPACTION_SLACK_ITEMS:
            self._items = [
                item for item in self._items if item[2] == NO_JOB or item[2] in self._open_jobs
            ]
            heapq.heapify(self._items)
            self._counters.add("schedule.compacted")
        if self._items and self._items[0][1] == self._added:
            self._wake.set()

    async def run(self) -> None:
        """Make the calls when they are due."""
        while True:
            self._wake = anyio.Event()
            now = self._timers.now()
            while self._items and self._items[0][0] <= now:
                _, _, number, callback = heapq.heappop(self._items)
                callback(number)
            wait_s = self._items[0][0] - now if self._items else float("inf")
            if wait_s > 0:
                with anyio.move_on_after(wait_s):
                    await self._wake.wait()
            else:
                await anyio.lowlevel.checkpoint()
