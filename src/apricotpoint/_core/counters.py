"""Counters, gauges and latency histograms of a process."""

from __future__ import annotations

from collections import defaultdict

from hdrh.histogram import HdrHistogram

_LOWEST_US = 1
_HIGHEST_US = 3_600_000_000
_SIGNIFICANT_DIGITS = 3


class LatencyHistogram:
    """Histogram of latencies from 1 us to 1 h, exact to three significant digits."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(_LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS)

    def record(self, seconds: float) -> None:
        """Record one latency in seconds; values out of range count as the nearest limit."""
        self._histogram.record_value(min(max(int(seconds * 1e6), _LOWEST_US), _HIGHEST_US))

    def count(self) -> int:
        """Return the number of recorded latencies."""
        return int(self._histogram.get_total_count())

    def percentile_ms(self, percentile: float) -> float:
        """Return a percentile (0 to 100) in milliseconds, 0 if nothing is recorded."""
        return float(self._histogram.get_value_at_percentile(percentile)) / 1000


class Counters:
    """Event counters, gauges and latency histograms by name.

    Names are dotted, for example `jobs.complete`. Latencies are recorded in
    seconds and reported in milliseconds.
    """

    def __init__(self) -> None:
        self._count_by_name: defaultdict[str, int] = defaultdict(int)
        self._gauge_by_name: dict[str, float] = {}
        self._histogram_by_name: dict[str, LatencyHistogram] = {}

    def add(self, name: str, n: int = 1) -> None:
        """Add `n` to the counter `name`."""
        self._count_by_name[name] += n

    def get(self, name: str) -> int:
        """Return the value of the counter `name`, 0 if it was never added to."""
        return self._count_by_name.get(name, 0)

    def set_gauge(self, name: str, value: float) -> None:
        """Set the gauge `name` to its current value."""
        self._gauge_by_name[name] = value

    def record(self, name: str, seconds: float) -> None:
        """Record one latency in seconds in the histogram `name`."""
        histogram = self._histogram_by_name.get(name)
        if histogram is None:
            histogram = self._histogram_by_name[name] = LatencyHistogram()
        histogram.record(seconds)

    def counts_and_gauges(self) -> dict[str, float]:
        """Return all counters and gauges; unlike `snapshot`, it costs next to nothing."""
        values: dict[str, float] = dict(sorted(self._count_by_name.items()))
        values.update(sorted(self._gauge_by_name.items()))
        return values

    def snapshot(self) -> dict[str, float]:
        """Return all counters and gauges, and the count, p50 and p99 (ms) of each histogram."""
        values = self.counts_and_gauges()
        for name, histogram in sorted(self._histogram_by_name.items()):
            values[f"{name}.count"] = histogram.count()
            for percentile in (50, 99):
                values[f"{name}.p{percentile}_ms"] = histogram.percentile_ms(percentile)
        return values
