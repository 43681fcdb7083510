"""Counters and latency histograms of a process."""

from __future__ import annotations

from collections import defaultdict

from hdrh.histogram import HdrHistogram

_LOWEST_US = 1
_HIGHEST_US = 3_600_000_000
_SIGNIFICANT_DIGITS = 3


class Counters:
    """Named event counts, gauges and latency histograms.

    Names are dotted, for example `jobs.complete`. Latencies are recorded in
    seconds and reported in milliseconds.
    """

    def __init__(self) -> None:
        self._count_by_name: defaultdict[str, int] = defaultdict(int)
        self._gauge_by_name: dict[str, float] = {}
        self._histogram_by_name: dict[str, HdrHistogram] = {}

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
        histogram = self._histogram_by_name.get(name)
        if histogram is None:
            histogram = HdrHistogram(_LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS)
            self._histogram_by_name[name] = histogram
        histogram.record_value(min(max(int(seconds * 1e6), _LOWEST_US), _HIGHEST_US))

    def snapshot(self) -> dict[str, float]:
        """Return all counters, gauges and histogram quantiles (ms) by name."""
        values: dict[str, float] = dict(sorted(self._count_by_name.items()))
        values.update(sorted(self._gauge_by_name.items()))
        for name, histogram in sorted(self._histogram_by_name.items()):
            values[f"{name}.count"] = histogram.get_total_count()
            for quantile in (50, 99):
                value_us = histogram.get_value_at_percentile(quantile)
                values[f"{name}.p{quantile}_ms"] = value_us / 1000
        return values
