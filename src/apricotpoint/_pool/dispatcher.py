"""Passes in which the waiting tasks of one scheduler are started."""

from __future__ import annotations

from collections.abc import Callable

import anyio
import logbook

from apricotpoint._core.counters import Counters
from apricotpoint._core.timers import TimerService
from apricotpoint._pool.decisions import dispatch, joborder, locations, trials
from apricotpoint._pool.decisions.verdicts import Verdict
from apricotpoint._pool.estimates import Estimates
from apricotpoint._pool.holders.crashes import CrashHistory
from apricotpoint._pool.runs import localwaits
from apricotpoint._pool.runs.job import Job, Task
from apricotpoint._pool.runs.leases import Leases
from apricotpoint._pool.runs.starter import RunStarter

_log = logbook.Logger("pool")


class Dispatcher:
    """Starts waiting tasks on the held backend servers whenever this is requested.

    `startable_jobs` returns the jobs of which a task may start now. `is_clear` tells whether a
    task may run together with others. `may_start` is described at `Scheduler`.
    """

    def __init__(
        self,
        *,
        leases: Leases,
        starter: RunStarter,
        estimates: Estimates,
        crashes: CrashHistory,
        timers: TimerService,
        counters: Counters,
        startable_jobs: Callable[[], list[Job]],
        is_clear: Callable[[Task], bool],
        may_start: Callable[[], bool],
    ) -> None:
        self._leases = leases
        self._starter = starter
        self._estimates = estimates
        self._crashes = crashes
        self._timers = timers
        self._counters = counters
        self._startable_jobs = startable_jobs
        self._is_clear = is_clear
        self._may_start = may_start
        self._requested = anyio.Event()

    def request(self) -> None:
        """Have waiting tasks started soon; several requests before that cause one pass."""
        self._requested.set()

    async def run(self) -> None:
        """Make the requested passes until cancelled."""
        while True:
            await self._requested.wait()
            self._requested = anyio.Event()
            try:
                self.dispatch()
            except Exception:
                self._counters.add("pool.dispatch_errors")
                _log.exception("dispatch failed; waiting tasks are looked at again")

    def dispatch(self) -> None:
        """Start the waiting tasks that may start now."""
        if not self._may_start():
            return
        now = self._timers.now()
        waiting = self._startable_jobs()
        fastest = self._estimates.attainable_speed(now)
        self._start_trials(waiting, now, fastest)
        if not waiting:
            return
        eligible = [held for held in self._leases.held_by_id.values() if held.is_eligible(now)]
        if not eligible:
            return
        preferences = locations.LocalityPass(eligible, now, fastest=fastest)
        for task, held in dispatch.select_starts(
            waiting,
            eligible,
            now,
            fastest=fastest,
            may_start=self._is_clear,
            allows_start=self._leases.allows_start,
            preferences=preferences,
        ):
            self._starter.start(task, held, now)
        localwaits.record_waits(preferences.waits, now)

    def _start_trials(self, waiting: list[Job], now: float, fastest: float) -> None:
        """Start the tasks that may have crashed a backend server, apart from all others."""
        backends = self._leases.held_by_id.values()
        trials.cancel_ended(backends, is_suspect=self._is_suspect)
        # Kinds of jobs in which no such task was found are tried first.
        suspects = sorted(
            (task for job in waiting for task in job.waiting_tasks() if self._is_suspect(task)),
            key=lambda task: (
                self._crashes.is_suspicious_kind(task.job.request.kind),
                joborder.order_key(task.job, now, fastest),
            ),
        )
        if suspects:
            for task, held in trials.select_trials(suspects, backends, now, fastest=fastest):
                if not self._leases.allows_start(held, task.job):
                    continue
                self._counters.add("pool.trials")
                self._starter.start(task, held, now)

    def _is_suspect(self, task: Task) -> bool:
        return self._crashes.verdict(task.name) is Verdict.SUSPECT
