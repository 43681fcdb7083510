"""Incarnation numbers of processes."""

from __future__ import annotations

import random
import time


def new_incarnation(*, above: int = 0) -> int:
    """Return a number that is higher than those of earlier starts on the same VM, and than `above`.

    It is the wall clock in microseconds. If the clock was set back, a peer that
    has seen a higher incarnation of this process reports it by `OldIncarnationError`.
    """
    return max(time.time_ns() // 1000, above + 1)


def make_random(process_id: str, incarnation: int) -> random.Random:
    """Return the random numbers of an incarnation of a process.

    Processes that start in the same microsecond have the same incarnation. Their numbers must
    differ all the same: they tell apart the attempts of callers, and spread elections.
    """
    return random.Random(f"{process_id} {incarnation}")
