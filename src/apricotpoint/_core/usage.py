"""Use of processor and memory by this process."""

from __future__ import annotations

import resource


def process_gauges() -> dict[str, float]:
    """Return gauges: processor seconds since the start, and the largest resident size in MB."""
    used = resource.getrusage(resource.RUSAGE_SELF)
    return {
        "process.cpu_s": round(used.ru_utime + used.ru_stime, 3),
        "process.max_rss_mb": round(used.ru_maxrss / 1024, 1),
    }
