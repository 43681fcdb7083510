"""Decision whether a job is taken in, passed on or refused.

Answers the load pattern of overload: what cannot be answered in a useful time
is refused at once, when the caller can still do something else, instead of
waiting until its deadline passes.
"""

from __future__ import annotations

from collections.abc import Sequence

import attrs

# A job is refused when it is predicted to be later than this multiple of its objective.
LATEST_SHARE = 1.3
# Bounds in seconds of the time after which a refused caller is asked to return.
SHORTEST_RETRY_S, LONGEST_RETRY_S = 1.0, 10.0


@attrs.frozen
class Backlog:
    """What goes before a job, in task-seconds at speed 1, and how fast it is worked off."""

    work_s: float
    work_per_s: float

    @property
    def wait_s(self) -> float:
        """Predicted wait in seconds."""
        return self.work_s / max(self.work_per_s, 1e-6)


def predicted_latency_s(backlog: Backlog, estimate_s: float, fastest: float) -> float:
    """Return the latency in seconds of a job that waits for the backlog."""
    return backlog.wait_s + estimate_s / fastest


def is_hopeless(
    *, latency_s: float, elapsed_s: float, objective_s: float, deadline_s: float
) -> bool:
    """Return whether a job with this predicted latency should not be taken in."""
    latest_s = min(LATEST_SHARE * objective_s, deadline_s)
    return elapsed_s + latency_s > latest_s


def retry_after_s(backlog_s: float, spread: float) -> float:
    """Return when a refused caller should come back.

    `spread` from 0 to 1 keeps refused callers from returning together.
    """
    base_s = min(max(2 * backlog_s, SHORTEST_RETRY_S), LONGEST_RETRY_S)
    return base_s * (1 + spread)


def least_loaded(waits_s: Sequence[tuple[str, float]]) -> str | None:
    """Return the process with the shortest wait, None if there is none."""
    return min(waits_s, key=lambda item: (item[1], item[0]), default=("", 0.0))[0] or None
