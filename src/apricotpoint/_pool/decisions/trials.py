"""Starts of tasks that may have crashed a backend server, each apart from all others.

The load pattern behind it: the runs that were lost in a crash wait again, and one of them may
crash the next backend server. Each starts on one without other runs, which therefore gets no more
starts until it is free; so a further crash takes no sound run along and shows which task caused
it. As long as such trials end well, several run at once. A trial whose backend server stops
answering holds back the others, so that trials do not take the resources from all other jobs.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterator, Sequence

from apricotpoint._pool.decisions import placement
from apricotpoint._pool.decisions.forecast import remaining_s
from apricotpoint._pool.runs.heldbackend import HeldBackend
from apricotpoint._pool.runs.job import Task

# Share of the backend servers on which trials may take place at the same time, and share of those
# that may be lost in trials; each is at least one.
MAX_TRIAL_SHARE = 1 / 4
MAX_LOST_SHARE = 1 / 16


def cancel_ended(backends: Collection[HeldBackend], *, is_suspect: Callable[[Task], bool]) -> None:
    """Cancel the reservations for trials that do not take place any more."""
    for held in backends:
        task = held.trial
        if task is None or task.run is not None:
            continue
        is_over = task.done or task.job.answer is not None
        is_lost = not held.is_responsive or held.announcement.leaving or held.is_evacuated
        if is_over or is_lost or not is_suspect(task):
            held.trial = None


def select_trials(
    suspects: Sequence[Task], backends: Collection[HeldBackend], now: float, *, fastest: float
) -> Iterator[tuple[Task, HeldBackend]]:
    """Yield each task whose trial starts now with its backend server, and reserve others.

    `suspects` are waiting tasks in the order in which they get their trials; `backends` are all
    backend servers held. The caller has to start a task before it asks for the next one. `fastest`
    is the speed that a task may expect to get by waiting. Times are monotonic seconds.
    """
    max_trials = max(int(len(backends) * MAX_TRIAL_SHARE), 1)
    max_lost = max(int(len(backends) * MAX_LOST_SHARE), 1)
    in_trial = {held.trial.name: held for held in backends if held.trial is not None}
    lost = sum(not held.is_responsive for held in in_trial.values())
    for task in suspects:
        if lost >= max_lost:
            return
        held = in_trial.get(task.name)
        if held is None and len(in_trial) < max_trials:
            held = _choose(task, backends, now, fastest=fastest)
            if held is not None:
                held.trial = task
                in_trial[task.name] = held
        if held is None or held.run_by_key or not held.accepts_starts(now):
            continue
        if held.is_reserved and not task.job.started:
            # Only jobs that have started may finish there.
            held.trial = None
            del in_trial[task.name]
            continue
        speed = placement.speed_for(task.job, held, now)
        if placement.may_meet_deadline(task.job, speed, now):
            yield task, held
        else:
            held.trial = None
            del in_trial[task.name]


def _choose(
    task: Task, backends: Collection[HeldBackend], now: float, *, fastest: float
) -> HeldBackend | None:
    """Return an idle backend server for a trial, or the one that is expected to be idle first."""
    suitable = [
        held
        for held in backends
        if held.can_run(task.job.request)
        and held.is_eligible(now)
        and (task.job.started or not held.is_reserved)
    ]
    idle = [held for held in suitable if not held.run_by_key]
    if idle:
        return placement.choose(task, idle, now, fastest=fastest)
    return min(suitable, key=lambda held: _busy_s(held, now), default=None)


def _busy_s(held: HeldBackend, now: float) -> float:
    return max(remaining_s(run, now) for run in held.run_by_key.values())
