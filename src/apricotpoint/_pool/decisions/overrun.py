"""Early end of jobs whose first progress shows that they cannot meet their deadline.

The load pattern behind it: a few jobs in a hundred take several times as long as their kind and
their declared time say. They hold resources until their deadline that jobs which can be in time
wait for. A prediction from the progress waits until the progress is large enough to be exact,
which takes longest for the longest jobs; a lower bound of their run time shows the same at once.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

# Network and renewal delays by which a run may have begun later than its start was sent, or its
# progress may be newer than the time at which it was received.
START_DELAY_S = 0.03
# A run may be slow because of its backend server, so runs on two of them have to show it. If all
# runs of a job are on one, the progress of each must be at least this, in percent.
MIN_PROGRESS_ALONE = 5


@attrs.frozen
class Progress:
    """The progress of one run in percent, rounded down, `elapsed_s` after its start was sent.

    `backend_id` is its backend server, and `speed` the speed of the run there, lower if the backend
    server was cold at its start or is not in the location that its job prefers.
    """

    backend_id: str
    speed: float
    elapsed_s: float
    percent: int


def least_run_s(progress: Progress) -> float:
    """Return the shortest run time in seconds with which a run can have this progress.

    A progress below zero, which a backend server may report, counts as none.
    """
    elapsed_s = max(progress.elapsed_s - START_DELAY_S, 0.0)
    return elapsed_s * 100 / (max(progress.percent, 0) + 1)


def is_late(progress: Progress, remaining_s: float) -> bool:
    """Return whether a run ends later than in `remaining_s`, if it goes on where it is."""
    return least_run_s(progress) - progress.elapsed_s > remaining_s


def cannot_meet_deadline(
    reports: Iterable[Progress], *, task_count: int, remaining_s: float, fastest: float
) -> bool:
    """Return whether the runs of a job show that it cannot end in the `remaining_s` it still has.

    A run shows it if it would be too late where it is, and also if its task started anew now on a
    backend server of speed `fastest`. The tasks of a job take about the same time, so runs on two
    backend servers that show it cannot be explained by one slow backend server. If all tasks run
    on one, they have to show it by more than the first percent. Without reports nothing is known.
    """
    late = [
        report
        for report in reports
        if is_late(report, remaining_s)
        and least_run_s(report) * report.speed / fastest > remaining_s
    ]
    if len({report.backend_id for report in late}) > 1:
        return True
    return len(late) == task_count and all(report.percent >= MIN_PROGRESS_ALONE for report in late)
