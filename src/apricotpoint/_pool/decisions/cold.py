"""Expected speed of backend servers that are cold, as they are for some time after their start.

The load pattern behind it: after a restart of many backend servers, tasks take a multiple of their
usual time there. Long tasks would be late on them and start elsewhere or wait; short ones are still
in time and use the capacity. Nobody says how slow a cold backend server is, so a factor is learned.

A backend server that announces no cold period has a slowdown of 1, and everything is as without it.
"""

from __future__ import annotations

import math

import attrs

# Slowdown at the beginning of a cold period before any run has shown it.
INITIAL_SLOWDOWN = 2.0
# Faster than a warm backend server or slower than by this factor is noise or another fault.
MIN_SLOWDOWN, MAX_SLOWDOWN = 1.0, 10.0
# Weight of a run at the beginning of a cold period. A run that starts later counts less, as the
# scatter of run times (15% in a job) is multiplied when its slowdown is extrapolated.
SLOWDOWN_WEIGHT = 0.2
# With less than this share of its cold period ahead, a backend server shows nothing about it.
MIN_LEARNING_SHARE = 0.3
# A run compared with the estimate for its kind, which is wrong by a factor of 1.4, counts less.
KIND_COMPARISON_SHARE = 0.2
# Heartbeats are late by some tenths of a second under load. A countdown that differs by no more
# from the end known before is the same cold period.
END_TOLERANCE_S = 0.5


@attrs.frozen
class ColdPeriod:
    """Time for which one incarnation of a backend server is cold.

    `until` is its end in monotonic seconds, `length_s` the longest time ahead that was heard of.
    """

    until: float
    length_s: float

    def share(self, now: float) -> float:
        """Return the share of the period that is still ahead, from 0 to 1."""
        if self.length_s <= 0:
            return 0.0
        return min(max((self.until - now) / self.length_s, 0.0), 1.0)


def slowdown(first: float, share: float) -> float:
    """Return the factor by which runs take longer.

    It falls linearly from `first` to 1 with the share of the cold period that is still ahead.
    """
    return 1.0 + (first - 1.0) * share


def extend(known: ColdPeriod | None, remaining_s: float, now: float) -> ColdPeriod | None:
    """Return the cold period after an announcement of the same incarnation, None if it is over."""
    if remaining_s <= 0:
        return None
    return ColdPeriod(now + remaining_s, max(remaining_s, known.length_s if known else 0.0))


def is_same_end(known_until: float, remaining_s: float, now: float) -> bool:
    """Return whether a countdown goes on as announced before, so that nothing has changed."""
    return abs(max(known_until - now, 0.0) - remaining_s) <= END_TOLERANCE_S


def learn(first: float, share: float, ratio: float, *, same_job: bool) -> float:
    """Return the slowdown at the beginning of a cold period after a run on a cold backend server.

    `share` is that of the cold period ahead at the start of the run; `ratio` is its run time
    divided by the expected one on the warm backend server. `same_job` tells whether the
    expectation is from other tasks of its job.
    """
    if share < MIN_LEARNING_SHARE:
        return first
    shown = min(max(1.0 + (ratio - 1.0) / share, MIN_SLOWDOWN), MAX_SLOWDOWN)
    weight = SLOWDOWN_WEIGHT * share * (1.0 if same_job else KIND_COMPARISON_SHARE)
    return math.exp(math.log(first) + weight * (math.log(shown) - math.log(first)))
