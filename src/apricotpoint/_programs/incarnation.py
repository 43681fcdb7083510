"""Incarnation numbers of processes."""

from __future__ import annotations

import time


def new_incarnation() -> int:
    """Return a number that is higher than those of earlier starts on the same VM.

    It is the wall clock in microseconds. If the clock was set back, a peer that
    has seen a higher incarnation of this process reports it, and the process
    ends with code 5106; see `Mesh`.
    """
    return time.time_ns() // 1000
