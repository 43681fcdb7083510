"""Ends of the jobs of one scheduler: their answers, and the stops of the runs left."""

from __future__ import annotations

from collections.abc import Callable

import logbook

from apricotpoint._core.codes import ResultCode
from apricotpoint._core.counters import Counters
from apricotpoint._core.timers import TimerService
from apricotpoint._pool.decisions.verdicts import Verdict
from apricotpoint._pool.estimates import Estimates
from apricotpoint._pool.holders.crashes import CrashHistory
from apricotpoint._pool.runs import localwaits
from apricotpoint._pool.runs.job import Job, Origin, Task
from apricotpoint._pool.runs.jobtable import JobTable
from apricotpoint._pool.runs.starter import RunStarter
from apricotpoint._wire.pool import PoolAnswer

_log = logbook.Logger("pool")


class JobEnds:
    """Answers jobs, stops the runs that they have left, and closes them after the last one.

    `request_dispatch` has waiting tasks started soon. `origin_alive_at` is described at
    `Scheduler`.
    """

    def __init__(
        self,
        *,
        jobs: JobTable,
        starter: RunStarter,
        estimates: Estimates,
        crashes: CrashHistory,
        timers: TimerService,
        counters: Counters,
        origin_alive_at: Callable[[Origin], float],
        request_dispatch: Callable[[], None],
    ) -> None:
        self._jobs = jobs
        self._starter = starter
        self._estimates = estimates
        self._crashes = crashes
        self._timers = timers
        self._counters = counters
        self._origin_alive_at = origin_alive_at
        self._request_dispatch = request_dispatch

    def finish(self, job: Job, answer: PoolAnswer) -> None:
        """Set the answer of a job and stop the runs that may still be active."""
        now = self._timers.now()
        if job.answer is None:
            self._estimates.learn_from(job)
            self._counters.add(f"pool.answers_{answer.code}")
            self._counters.record("pool.latency", now - job.sent_at)
            if job.request.locality is not None:
                localwaits.record_answer(job, answer.code, self._counters, now)
            if job.started and answer.code != ResultCode.COMPLETE:
                _log.notice(
                    "job {} ended with code {}: {}",
                    job.request.job_id,
                    answer.code,
                    job.describe(now),
                )
        job.cancelled = True
        # What is heard of the origin later shows nothing about this answer.
        alive_at = now if job.origin is None else self._origin_alive_at(job.origin)
        job.close(answer, min(now, alive_at))
        for run in job.active_runs():
            self._starter.stop(run)
        if not job.active_runs():
            self._jobs.close(job)
        self._request_dispatch()

    def fail_without_lease(self, job: Job, reason: str) -> None:
        """Answer a job whose backend servers this process has released."""
        code = ResultCode.BACKEND_LOST if job.started else ResultCode.NO_BACKEND
        self.finish(job, PoolAnswer(int(code), reason))

    def process_run_end(self, job: Job, task: Task) -> None:
        """End a job if the end of one of its runs decides it, and dispatch again."""
        if job.answer is None:
            if job.is_done():
                self.finish(job, PoolAnswer(int(ResultCode.COMPLETE)))
            elif task.failure_count >= job.request.max_attempts:
                reason = f"task {task.name} failed {task.failure_count} times"
                self.finish(job, PoolAnswer(int(ResultCode.TASKS_FAILED), reason))
        elif not job.active_runs():
            self._jobs.close(job)
        self._request_dispatch()

    def end_given_up_jobs(self) -> None:
        """End all jobs as failed of which a task crashes the backend servers that start it."""
        for job in self._jobs.unanswered():
            self.end_if_given_up(job)

    def end_if_given_up(self, job: Job) -> None:
        """End a job as failed if one of its tasks crashes the backend servers that start it."""
        for task in job.tasks:
            if self._crashes.verdict(task.name) is not Verdict.GIVEN_UP:
                continue
            self._counters.add("pool.tasks_given_up")
            self._crashes.record_given_up(job.request.kind)
            reason = (
                f"{self._crashes.crash_count(task.name)} backend servers crashed under {task.name}"
            )
            _log.warning("job {} is given up: {}", job.request.job_id, reason)
            self.finish(job, PoolAnswer(int(ResultCode.TASKS_FAILED), reason))
            return
