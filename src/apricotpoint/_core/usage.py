"""Processor time and memory of this process."""

from __future__ import annotations

import resource


def process_gauges() -> dict[str, float]:
    """Return the CPU time since the start in seconds and the peak resident size in MB."""
    rusage = resource.getrusage(resource.RUSAGE_SELF)
    return {
        "process.cpu_s": round(rusage.ru_utime + rusage.ru_stime, 3),
        "process.max_rss_mb": round(rusage.ru_maxrss / 1024, 1),
    }
