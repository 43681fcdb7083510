"""Periodic log line with what a process on the platform has used since its start."""

from __future__ import annotations

import logbook

from apricotpoint._core.counters import Counters
from apricotpoint._core.timers import TimerService
from apricotpoint._core.usage import process_gauges
from apricotpoint._link.traffic import Traffic

USAGE_REPORT_PERIOD_S = 10.0

_log = logbook.Logger("usage")


def report_usage(timers: TimerService, counters: Counters, traffic: Traffic) -> None:
    """Log processor time, counters and messages by type every `USAGE_REPORT_PERIOD_S` seconds.

    The platform reads no counters, so its log is the only place to see them.
    """

    def report() -> None:
        _log.info(
            "process {}, messages/bytes {}, counters {}",
            process_gauges(),
            traffic.summary(),
            counters.counts_and_gauges(),
        )

    timers.every(USAGE_REPORT_PERIOD_S, report)
