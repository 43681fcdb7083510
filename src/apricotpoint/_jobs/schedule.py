"""Schedule of function calls for jobs, which may drop those of finished jobs."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Mapping

import anyio
import anyio.lowlevel

from apricotpoint._core.counters import Counters
from apricotpoint._core.timers import TimerService

NO_JOB = 0
# Calls for finished jobs are removed when the schedule holds more than two calls
# for each open job plus this number, so that those of finished jobs with distant
# deadlines do not accumulate.
_COMPACTION_SLACK_ITEMS = 10_000


class Schedule:
    """Calls functions with a job number at given monotonic times.

    The schedule refers to a job by its number only, so that it does not keep a
    finished job with a distant deadline in memory. `open_jobs` is read when
    the schedule is compacted: its keys are the numbers of the open jobs.
    """

    def __init__(
        self, *, timers: TimerService, counters: Counters, open_jobs: Mapping[int, object]
    ) -> None:
        self._timers = timers
        self._counters = counters
        self._open_jobs = open_jobs
        # Heap of (due time, sequence number as tie breaker, job number, callback).
        self._heap: list[tuple[float, int, int, Callable[[int], None]]] = []
        self._last_sequence = 0
        self._earliest_changed = anyio.Event()

    def __len__(self) -> int:
        return len(self._heap)

    def call_at(self, due_at: float, number: int, callback: Callable[[int], None]) -> None:
        """Call `callback(number)` at the monotonic time `due_at`.

        With the number `NO_JOB` the call does not depend on any job.
        """
        self._last_sequence += 1
        heapq.heappush(self._heap, (due_at, self._last_sequence, number, callback))
        if len(self._heap) > 2 * len(self._open_jobs) + _COMPACTION_SLACK_ITEMS:
            self._heap = [
                item for item in self._heap if item[2] == NO_JOB or item[2] in self._open_jobs
            ]
            heapq.heapify(self._heap)
            self._counters.add("schedule.compacted")
        if self._heap and self._heap[0][1] == self._last_sequence:
            self._earliest_changed.set()

    async def run(self) -> None:
        """Make the calls when they are due; never returns."""
        while True:
            self._earliest_changed = anyio.Event()
            now = self._timers.now()
            while self._heap and self._heap[0][0] <= now:
                _, _, number, callback = heapq.heappop(self._heap)
                callback(number)
            wait_s = self._heap[0][0] - now if self._heap else float("inf")
            if wait_s > 0:
                with anyio.move_on_after(wait_s):
                    await self._earliest_changed.wait()
            else:
                await anyio.lowlevel.checkpoint()
