"""Decision whether a job is taken in, passed on or refused.

Answers the load pattern of overload: what cannot be answered in a useful time
is refused at once, when the caller can still do something else, instead of
waiting until its deadline passes.
"""

from __future__ import annotations

# A job is refused when it is predicted to take longer than this share of its
# objective: what comes late takes room from others that would be in time.
MAX_OBJECTIVE_SHARE = 1.0
# Run times of single jobs scatter around their estimate. A job that waits for room
# is worth a try as long as it can end in time when it takes this share of its estimate.
OPTIMISTIC_SHARE = 0.85
# With room for all its tasks, a job with less hope is tried too, as nobody else needs the room.
IDLE_OPTIMISTIC_SHARE = 0.5
# A job that has begun is given up when a task that has not would have to take less
# than this share of its estimate; it holds room that others need.
STARTED_OPTIMISTIC_SHARE = 0.6
# From this progress in percent on, the run time that it predicts is off by less than this
# share: progress is reported in whole percent.
RELIABLE_PROGRESS_PERCENT, PREDICTION_ERROR_SHARE = 25, 0.05
# Bounds in seconds of the time after which a refused caller is asked to return.
MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S = 1.0, 10.0


def is_infeasible(
    *, wait_s: float, run_s: float, elapsed_s: float, objective_s: float, deadline_s: float
) -> bool:
    """Return whether a job with this predicted wait and run time should not be taken in."""
    is_late = elapsed_s + wait_s + run_s > MAX_OBJECTIVE_SHARE * objective_s
    share = OPTIMISTIC_SHARE if wait_s > 0 else IDLE_OPTIMISTIC_SHARE
    is_past_deadline = elapsed_s + wait_s + share * run_s > deadline_s
    return is_late or is_past_deadline


def will_miss_deadline(*, progress: int, run_s: float, ends_at: float, deadline_at: float) -> bool:
    """Return whether a run tells that its job cannot be answered before the deadline.

    Under overload, room that such a job holds until its deadline is missing for
    jobs that can be in time. `progress` is in percent.
    """
    return (
        progress >= RELIABLE_PROGRESS_PERCENT
        and ends_at > deadline_at + PREDICTION_ERROR_SHARE * run_s
    )


def retry_after_s(backlog_s: float, spread: float) -> float:
    """Return when a refused caller should come back.

    `spread` from 0 to 1 keeps refused callers from returning together.
    """
    base_s = min(max(2 * backlog_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
    return base_s * (1 + spread)
