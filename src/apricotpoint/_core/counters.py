"""Counters and latency histograms of a process."""

from __future__ import annotations

from collections import defaultdict

from hdrh.histogram import HdrHistogram

_LOWEST_US = 1
_HIGHEST_US = 3_600_000_000
_SIGNIFICANT_DIGITS = 3


class LatencyHistogram:
    """Histogram of latencies from 1 us to 1 h, exact to three digits."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(_LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS)

    def record(self, seconds: float) -> None:
        """Record one latency in seconds."""
        self._histogram.record_value(min(max(int(seconds * 1e6), _LOWEST_US), _HIGHEST_US))

    def count(self) -> int:
        """Return the number of recorded latencies."""
        return int(self._histogram.get_total_count())

    def percentile_ms(self, percentile: float) -> float:
        """Return a percentile (0 to 100) in milliseconds, 0 if nothing is recorded."""
        return float(self._histogram.get_value_at_percentile(percentile)) / 1000


class Counters:
    """Named event counts, gauges and latency histograms.

    Names are dotted, for example `jobs.complete`. LatencyHistogram are recorded in
    seconds and reported in milliseconds.
    """

    def __init__(self) -> None:
        self._count_by_name: defaultdict[str, int] = defaultdict(int)
        self._gauge_by_name: dict[str, float] = {}
        self._latencies_by_name: dict[str, LatencyHistogram] = {}

    def add(self, name: str, n: int = 1) -> None:
        """Add `n` to the counter `name`."""
        self._count_by_name[name] += n

    def get(self, name: str) -> int:
        """Return the value of the counter `name`, 0 if it was never added to."""
        return self._count_by_name.get(name, 0)

    def set_gauge(self, name: str, value: float) -> None:
        """Set the gauge `name` to its present value."""
        self._gauge_by_name[name] = value

    def record(self, name: str, seconds: float) -> None:
        """Record one latency in seconds."""
        latencies = self._latencies_by_name.get(name)
        if latencies is None:
            latencies = self._latencies_by_name[name] = LatencyHistogram()
        latencies.record(seconds)

    def snapshot(self) -> dict[str, float]:
        """Return all counters, gauges and histogram quantiles (ms) by name."""
        values: dict[str, float] = dict(sorted(self._count_by_name.items()))
        values.update(sorted(self._gauge_by_name.items()))
        for name, latencies in sorted(self._latencies_by_name.items()):
            values[f"{name}.count"] = latencies.count()
            for percentile in (50, 99):
                values[f"{name}.p{percentile}_ms"] = latencies.percentile_ms(percentile)
        return values
