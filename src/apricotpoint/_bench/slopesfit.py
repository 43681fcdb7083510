"""Measured points, their fitted slopes, and the clocks that the slopes share."""

from __future__ import annotations

import gc
import json
import statistics
import time
import tracemalloc
from collections.abc import Awaitable, Callable, Sequence

import anyio
import attrs

from apricotpoint._core.timers import TimerService

REPEATS = 3
WALL = 1_800_000_000.0
# Backend servers of one entry process today (24 over 6) and for larger cells.
HELD = (4, 12, 45, 180, 720)


@attrs.define
class Series:
    """Values of one quantity against one size; `against` names the size."""

    name: str
    against: str
    unit: str
    points: list[tuple[float, float]] = attrs.Factory(list)

    def add(self, size: float, value: float) -> None:
        """Add the value measured at one size and print it."""
        self.points.append((size, value))
        _print(name=self.name, against=self.against, size=size, value=value, unit=self.unit)

    def fit(self) -> None:
        """Print the least-squares line through the points."""
        line = statistics.linear_regression(*zip(*self.points, strict=True))
        _print(
            name=self.name,
            against=self.against,
            slope=line.slope,
            intercept=line.intercept,
            unit=self.unit,
        )


class StillTimers(TimerService):
    """Time that moves only when a measurement sets `at`.

    Leases and load reports stay fresh however long a measurement takes on a
    busy machine.
    """

    def __init__(self) -> None:
        super().__init__(wall_clock=lambda: WALL)
        self.at = 1000.0

    def now(self) -> float:
        """Return the time set last."""
        return self.at


def chosen(sizes: Sequence[int], *, smallest: bool) -> Sequence[int]:
    """Return all sizes, or the two smallest, which are enough for a line."""
    return sorted(sizes)[:2] if smallest else sizes


def least_us(action: Callable[[], object], *, calls: int = 1, units: int = 1) -> float:
    """Return the least CPU time in microseconds for one unit of work in `calls` calls."""
    times = []
    for _ in range(REPEATS):
        gc.collect()
        started_s = time.process_time()
        for _ in range(calls):
            action()
        times.append(time.process_time() - started_s)
    return min(times) * 1e6 / (calls * units)


def least_us_fresh(
    prepare: Callable[[], Callable[[], object]], *, calls: int, units: int = 1
) -> float:
    """Like `least_us` for an action that uses up what `prepare` makes for each call."""
    times = []
    for _ in range(REPEATS):
        actions = [prepare() for _ in range(calls)]
        gc.collect()
        started_s = time.process_time()
        for action in actions:
            action()
        times.append(time.process_time() - started_s)
    return min(times) * 1e6 / (calls * units)


async def least_us_async(
    action: Callable[[], Awaitable[object]], *, units: int, repeats: int = REPEATS
) -> float:
    """Return the least CPU time in microseconds for one of the `units` in one call."""
    times = []
    for _ in range(repeats):
        gc.collect()
        started_s = time.process_time()
        await action()
        times.append(time.process_time() - started_s)
    return min(times) * 1e6 / units


def least_bytes(build: Callable[[], object]) -> int:
    """Return the least memory in bytes that the result of `build` holds."""
    sizes = []
    for _ in range(REPEATS):
        gc.collect()
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        result = build()
        gc.collect()
        sizes.append(tracemalloc.get_traced_memory()[0] - before)
        tracemalloc.stop()
        del result
    return min(sizes)


def _print(**values: object) -> None:
    rounded = {
        name: round(value, 4) if isinstance(value, float) else value
        for name, value in values.items()
    }
    print(json.dumps(rounded), flush=True)


def run_part(measure: Callable[[], Awaitable[None]]) -> None:
    anyio.run(measure)
