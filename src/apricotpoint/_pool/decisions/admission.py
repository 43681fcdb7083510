"""Admission control: which jobs are refused, and which are ended early after their acceptance.

Under overload, a job that cannot be answered in a useful time is refused at
once, while its caller can still do something else, instead of waiting until its
deadline passes.
"""

from __future__ import annotations

# A job is refused if its predicted latency exceeds this share of its latency objective: a late
# job uses resources that others need to be in time.
MAX_OBJECTIVE_SHARE = 1.0
# Run times scatter around their estimate. A job that has to wait for resources is accepted as
# long as it would meet its deadline if it took only this share of its estimated run time.
OPTIMISTIC_SHARE = 0.85
# The same for a job that can start all its tasks now: no other job needs the resources. With a
# smaller share most would be of the few that take several times as long as their kind, and their
# callers would get an unknown outcome instead of a refusal.
IDLE_OPTIMISTIC_SHARE = 0.75
# The same for tasks that have not started yet in a job of which others have: below this share
# the job is ended early, because it uses resources that others need.
STARTED_OPTIMISTIC_SHARE = 0.6
# From this progress in percent on, the run time predicted from it is wrong by less than
# `PREDICTION_ERROR_SHARE`; progress is reported in whole percent.
RELIABLE_PROGRESS_PERCENT, PREDICTION_ERROR_SHARE = 25, 0.05
# Bounds of the time after which a refused caller may try again.
MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S = 1.0, 10.0


def is_infeasible(
    *, wait_s: float, run_s: float, elapsed_s: float, objective_s: float, deadline_s: float
) -> bool:
    """Return whether a job should be refused because of its predicted wait and run time.

    It is infeasible if it would be later than its objective, or if it would miss its deadline even
    with an optimistic run time. `elapsed_s` has passed since the caller sent the job;
    `objective_s` and `deadline_s` count from the same moment.

    A job that is late only by the time that has passed, and can start all its tasks now, takes
    nothing from others that wait; it is feasible if it meets its deadline with its whole run time.
    """
    latest_s = MAX_OBJECTIVE_SHARE * objective_s
    is_late = elapsed_s + wait_s + run_s > latest_s
    if is_late and not wait_s and run_s <= latest_s:
        return elapsed_s + run_s > deadline_s
    share = OPTIMISTIC_SHARE if wait_s > 0 else IDLE_OPTIMISTIC_SHARE
    is_past_deadline = elapsed_s + wait_s + share * run_s > deadline_s
    return is_late or is_past_deadline


def will_miss_deadline(*, progress: int, run_s: float, ends_at: float, deadline_at: float) -> bool:
    """Return whether the progress of a run shows that its job cannot meet its deadline.

    Under overload, such a job would use resources until its deadline that jobs which can still
    be in time need. `progress` is in percent, `run_s` the predicted run time; `ends_at` and
    `deadline_at` are on the same clock. A prediction error of `PREDICTION_ERROR_SHARE` is
    allowed for, and low progress predicts nothing.
    """
    return (
        progress >= RELIABLE_PROGRESS_PERCENT
        and ends_at > deadline_at + PREDICTION_ERROR_SHARE * run_s
    )


def retry_after_s(backlog_s: float, spread: float) -> float:
    """Return the seconds after which a refused caller may try again.

    `backlog_s` is the predicted time until all waiting tasks have started. `spread` is a random
    number from 0 to 1 that keeps refused callers from returning at the same time.
    """
    base_s = min(max(2 * backlog_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
    return base_s * (1 + spread)
