"""Incarnation numbers of processes."""

from __future__ import annotations

import time


def new_incarnation() -> int:
    """Return a number that is larger than those of earlier starts on the same VM.

    It is the wall clock in microseconds. If the clock went back, peers that
    remember a higher incarnation report it and the process ends with code
    5106; see `Mesh`.
    """
    return time.time_ns() // 1000
