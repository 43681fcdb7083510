"""Measured points with fitted lines, and the measurement of CPU time and memory."""

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

# Each CPU time and memory size is the minimum of this many runs.
REPEATS = 3
WALL_CLOCK_S = 1_800_000_000.0
# Backend servers of one lease holder: 4 today (24 over 6 entry processes), and more for
# larger deployments.
HELD_BACKENDS = (4, 12, 45, 180, 720)


@attrs.define
class Series:
    """Values of the quantity `name`, in `unit`, at several sizes; `against` names the size."""

    name: str
    against: str
    unit: str
    points: list[tuple[float, float]] = attrs.Factory(list)

    def add(self, size: float, value: float) -> None:
        """Add the value measured at one size and print it."""
        self.points.append((size, value))
        _print_json_line(
            name=self.name, against=self.against, size=size, value=value, unit=self.unit
        )

    def fit(self) -> None:
        """Print slope and intercept of the least-squares line through the points."""
        line = statistics.linear_regression(*zip(*self.points, strict=True))
        _print_json_line(
            name=self.name,
            against=self.against,
            slope=line.slope,
            intercept=line.intercept,
            unit=self.unit,
        )


class ManualTimers(TimerService):
    """Timers whose time `at` changes only when a measurement sets it.

    So leases and load reports do not expire during a measurement, even on a busy
    machine.
    """

    def __init__(self) -> None:
        super().__init__(wall_clock=lambda: WALL_CLOCK_S)
        self.at = 1000.0

    def now(self) -> float:
        """Return `at`, in seconds."""
        return self.at


def select_sizes(sizes: Sequence[int], *, smallest: bool) -> Sequence[int]:
    """Return all sizes, or only the two smallest, the fewest that define a line."""
    return sorted(sizes)[:2] if smallest else sizes


def min_cpu_us(action: Callable[[], object], *, calls: int = 1, units: int = 1) -> float:
    """Return the minimum CPU time in microseconds per unit of work.

    Each run makes `calls` calls of `action`, each of which does `units` units of work.
    """
    times = []
    for _ in range(REPEATS):
        gc.collect()
        started_s = time.process_time()
        for _ in range(calls):
            action()
        times.append(time.process_time() - started_s)
    return min(times) * 1e6 / (calls * units)


def min_cpu_us_prepared(
    prepare: Callable[[], Callable[[], object]], *, calls: int, units: int = 1
) -> float:
    """Return the same as `min_cpu_us` for actions that can be called only once.

    `prepare` returns an action for each call; its own time is not measured.
    """
    times = []
    for _ in range(REPEATS):
        actions = [prepare() for _ in range(calls)]
        gc.collect()
        started_s = time.process_time()
        for action in actions:
            action()
        times.append(time.process_time() - started_s)
    return min(times) * 1e6 / (calls * units)


async def min_cpu_us_async(
    action: Callable[[], Awaitable[object]], *, units: int, repeats: int = REPEATS
) -> float:
    """Return the minimum CPU time in microseconds per unit; one call does `units` units."""
    times = []
    for _ in range(repeats):
        gc.collect()
        started_s = time.process_time()
        await action()
        times.append(time.process_time() - started_s)
    return min(times) * 1e6 / units


def min_memory_bytes(build: Callable[[], object]) -> int:
    """Return the minimum memory in bytes that the result of `build` takes."""
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


def _print_json_line(**values: object) -> None:
    rounded = {
        name: round(value, 4) if isinstance(value, float) else value
        for name, value in values.items()
    }
    print(json.dumps(rounded), flush=True)


def run_async(measure: Callable[[], Awaitable[None]]) -> None:
    """Run a measurement in an event loop in real time."""
    anyio.run(measure)
