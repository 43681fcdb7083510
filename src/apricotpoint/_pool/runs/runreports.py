"""Handling of what lease renewers and starts report about runs and their backend servers."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import logbook

from apricotpoint._core.codes import ResultCode
from apricotpoint._core.counters import Counters
from apricotpoint._core.timers import TimerService
from apricotpoint._pool.decisions import admission, overrun, placement
from apricotpoint._pool.decisions.verdicts import Evidence
from apricotpoint._pool.estimates import Estimates
from apricotpoint._pool.holders.crashes import CrashHistory
from apricotpoint._pool.runs.backendclient import RunOutcome, StartOutcome
from apricotpoint._pool.runs.heldbackend import HeldBackend
from apricotpoint._pool.runs.job import Run
from apricotpoint._pool.runs.jobends import JobEnds
from apricotpoint._pool.runs.leases import Leases
from apricotpoint._pool.runs.starter import RunStarter
from apricotpoint._wire.pool import PoolAnswer, PoolBackend

_log = logbook.Logger("pool")


class RunReports:
    """`RunObserver` and `StartObserver` of one scheduler.

    `release` releases a held backend server for a reason. `request_dispatch` has waiting tasks
    started soon. `on_fenced` and `on_backend_ended` are described at `Scheduler`.
    """

    def __init__(
        self,
        *,
        leases: Leases,
        starter: RunStarter,
        ends: JobEnds,
        estimates: Estimates,
        crashes: CrashHistory,
        timers: TimerService,
        counters: Counters,
        release: Callable[[str, str], None],
        request_dispatch: Callable[[], None],
        on_fenced: Callable[[PoolBackend], None],
        on_backend_ended: Callable[[str], None],
    ) -> None:
        self._leases = leases
        self._starter = starter
        self._ends = ends
        self._estimates = estimates
        self._crashes = crashes
        self._timers = timers
        self._counters = counters
        self._release = release
        self._request_dispatch = request_dispatch
        self._on_fenced = on_fenced
        self._on_backend_ended = on_backend_ended

    def run_ended(self, run: Run, outcome: RunOutcome) -> None:
        """Record the outcome of a run and retry its task or end its job."""
        now = self._timers.now()
        task, job, held = run.task, run.task.job, run.backend
        if not held.remove(run, job.request.room):
            return
        task.run = None
        self._counters.add(f"pool.ends_{outcome.value}")
        if outcome is RunOutcome.DONE:
            self._counters.record("pool.run_time", now - run.sent_at)
            job.completed_runs.append((run, now - run.sent_at))
            held.health.record_success()
            task.done = True
            self._estimates.refine_run_time(job)
        elif outcome is RunOutcome.FAILED:
            held.health.record_failure(now)
            task.failure_count += 1
            task.avoided_backends.add(held.backend_id)
        self._ends.process_run_end(job, task)

    def run_terminated(self, run: Run, reason: str) -> None:
        """Remove a run that was terminated with an unknown outcome; its task starts again."""
        if not run.backend.remove(run, run.task.job.request.room):
            return
        self._counters.add("pool.runs_lost")
        _log.info(
            "run {} of task {} on backend server {} terminated without a result: {}",
            run.number,
            run.task.name,
            run.backend.backend_id,
            reason,
        )
        run.task.run = None
        run.task.avoided_backends.add(run.backend.backend_id)
        self._ends.process_run_end(run.task.job, run.task)

    def runs_lost(
        self, held: HeldBackend, runs: Sequence[Run], evidence: Evidence, reason: str
    ) -> None:
        """Remove runs that were lost with their backend server; their tasks start again, or not."""
        alone = len(held.run_by_key) + len(held.untracked_runs) == 1
        self._counters.add(f"pool.runs_lost_{evidence.name.lower()}", len(runs))
        if not held.announcement.leaving:
            # The runs of one that is leaving end with it, which is no crash.
            self._crashes.record(
                held.announcement,
                held.born_ms,
                [run.task.name for run in runs],
                evidence,
                alone=alone,
            )
        for run in runs:
            self.run_terminated(run, reason)

    def run_stalled(self, run: Run) -> None:
        """Stop a run that reports no progress, so that its task starts elsewhere."""
        held = run.backend
        held.health.record_failure(self._timers.now())
        self._counters.add("pool.standstills")
        _log.warning(
            "run {} of task {} is stalled at {}% on backend server {}",
            run.number,
            run.task.name,
            run.progress,
            held.backend_id,
        )
        run.task.avoided_backends.add(held.backend_id)
        self._starter.stop(run)

    def run_confirmed(self, run: Run) -> None:
        """Stop a confirmed run that is to be stopped or whose job was cancelled."""
        if run.stopping or run.task.job.cancelled:
            self._starter.stop(run)

    def run_straggling(self, run: Run, predicted_s: float) -> None:
        """Mark a run as a straggler and learn the speed of its backend server from it."""
        run.is_straggler = True
        self._counters.add("pool.slow_runs")
        self._estimates.learn_from_straggler(run, predicted_s)

    def run_time_predicted(self, run: Run, predicted_s: float) -> None:
        """Refine the run time of the job; move the run or end the job if it will be too late."""
        job = run.task.job
        if not run.has_prediction:
            run.has_prediction = True
            self._estimates.refine_run_time(job)
        if run.stopping or run.sent_at + predicted_s <= job.deadline_at:
            return
        now = self._timers.now()
        work_s = predicted_s * run.speed / run.remote_factor
        others = [
            held
            for held in self._leases.held_by_id.values()
            if held.can_start(job.request, now) and not held.is_evacuated
        ]
        if not placement.should_move(run, work_s, others, now):
            if admission.will_miss_deadline(
                progress=run.progress,
                run_s=predicted_s,
                ends_at=run.sent_at + predicted_s,
                deadline_at=job.deadline_at,
            ):
                reason = f"task {run.task.name} is predicted to take {predicted_s:.3f} s"
                self._ends.finish(job, PoolAnswer(int(ResultCode.DEADLINE_AFTER_START), reason))
            return
        self._counters.add("pool.runs_moved")
        _log.info(
            "moving run {} of task {} at {}% away from backend server {}: "
            "predicted to end {:.3f} s after the deadline",
            run.number,
            run.task.name,
            run.progress,
            run.backend.backend_id,
            run.sent_at + predicted_s - job.deadline_at,
        )
        run.task.avoided_backends.add(run.backend.backend_id)
        self._starter.stop(run)

    def run_progressed(self, run: Run) -> None:
        """End a job if the progress of its runs shows that it cannot meet its deadline."""
        job, now = run.task.job, self._timers.now()
        remaining_s = job.deadline_at - now
        if job.answer is not None or not overrun.is_late(_progress(run), remaining_s):
            return
        reports = [_progress(active) for active in job.active_runs() if active.progress_changed_at]
        if overrun.cannot_meet_deadline(
            reports,
            task_count=job.request.count,
            remaining_s=remaining_s,
            fastest=self._estimates.attainable_speed(now),
        ):
            self._counters.add("pool.overruns")
            least_s = max(map(overrun.least_run_s, reports))
            reason = f"its tasks take at least {least_s:.3f} s by their progress"
            self._ends.finish(job, PoolAnswer(int(ResultCode.DEADLINE_AFTER_START), reason))

    def backend_changed(self, held: HeldBackend) -> None:
        """Start waiting tasks, as the backend server may accept some now."""
        self._crashes.process_answer(held.backend_id, held.born_ms)
        self._request_dispatch()

    def backend_refused_connection(self, held: HeldBackend) -> None:
        """Record that the process of a backend server has probably ended."""
        self._crashes.strengthen(held.backend_id, Evidence.REFUSED)

    def backend_ended(self, held: HeldBackend, reason: str) -> None:
        """Release a backend server whose incarnation has ended, and restart the tasks it ran."""
        self._crashes.strengthen(held.backend_id, Evidence.CRASHED)
        self.runs_lost(held, list(held.run_by_key.values()), Evidence.CRASHED, reason)
        if self._leases.held_by_id.get(held.backend_id) is held:
            self._release(held.backend_id, reason)
            self._on_backend_ended(held.backend_id)

    def backend_fenced(self, held: HeldBackend) -> None:
        """Release a backend server whose lease another process holds."""
        if self._leases.held_by_id.get(held.backend_id) is held:
            self._release(held.backend_id, "another holder has a higher fencing token")
            self._on_fenced(held.announcement)

    def run_refused(self, run: Run, outcome: StartOutcome) -> None:
        """Retry the task of a run that its backend server refused, or end its job."""
        job, held = run.task.job, run.backend
        if outcome is StartOutcome.OTHER_INCARNATION:
            self.backend_ended(held, "another incarnation answers at its address")
        elif outcome is StartOutcome.REJECTED:
            self._ends.finish(
                job,
                PoolAnswer(
                    int(ResultCode.TASKS_FAILED),
                    f"backend server {held.backend_id} rejected the start of task {run.task.name}",
                ),
            )
        self._ends.process_run_end(job, run.task)


def _progress(run: Run) -> overrun.Progress:
    return overrun.Progress(
        run.backend.backend_id,
        run.speed / run.remote_factor,
        run.progress_changed_at - run.sent_at,
        run.progress,
    )
