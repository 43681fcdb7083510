"""Scheduler of one entry process: admission, start and end of jobs on its backend servers."""

from __future__ import annotations

import math
import random as random_module
from collections.abc import Callable, Collection, Coroutine, Sequence
from types import TracebackType
from typing import Any

import anyio
import anyio.abc
import logbook

from apricotpoint._core.codes import ResultCode
from apricotpoint._core.counters import Counters
from apricotpoint._core.timers import PeriodicTimer, TimerService
from apricotpoint._pool.decisions import (
    admission,
    dispatch,
    evacuation,
    joborder,
    locations,
    overrun,
    placement,
    trials,
)
from apricotpoint._pool.decisions.verdicts import Evidence, Verdict
from apricotpoint._pool.estimates import Estimates
from apricotpoint._pool.holders.crashes import CrashHistory
from apricotpoint._pool.runs import localwaits
from apricotpoint._pool.runs.backendclient import (
    BackendClient,
    RunOutcome,
    StartOutcome,
)
from apricotpoint._pool.runs.coldbackends import ColdBackends
from apricotpoint._pool.runs.evacuations import Evacuations
from apricotpoint._pool.runs.heldbackend import HeldBackend
from apricotpoint._pool.runs.job import Job, Origin, Run, Task
from apricotpoint._pool.runs.jobtable import JobTable
from apricotpoint._pool.runs.leases import Leases
from apricotpoint._pool.runs.review import WaitReview
from apricotpoint._pool.runs.starter import RunStarter
from apricotpoint._wire.pool import PoolAnswer, PoolBackend, PoolJob, PoolLoad

# Period in which deadlines are checked and unanswered stop requests are repeated.
TICK_PERIOD_S = 0.02

_log = logbook.Logger("pool")


class Scheduler:
    """Jobs of one entry process and the backend servers on which it holds leases.

    Use it as an async context manager. Call all methods on the event loop. `on_fenced` is called
    with a backend server on which another process has a higher fencing token, `on_backend_ended`
    with the id of a backend server whose incarnation has ended. `may_start` tells whether the
    claims of this process are known to be still its own; no task starts otherwise.
    `origin_alive_at` returns the last time at which the origin of a job is known to have been
    alive, minus infinity if it has ended. `make_client`
    returns a client for an announced backend server; the scheduler closes it.
    """

    def __init__(
        self,
        *,
        timers: TimerService,
        counters: Counters,
        random: random_module.Random,
        make_client: Callable[[PoolBackend], BackendClient],
    ) -> None:
        self.leases = Leases(
            observer=self,
            timers=timers,
            counters=counters,
            spawn=self._spawn,
            make_client=make_client,
            origin_alive_at=self._origin_alive_at,
            on_renewal_failed=lambda key: self.release(key, "its renewals failed unexpectedly"),
        )
        self.held_by_id = self.leases.held_by_id
        self.evacuations = Evacuations(now=timers.now, counters=counters)
        self.crashes = CrashHistory(now=timers.now)
        self.estimates = Estimates(self.held_by_id, self._is_clear)
        self._cold = ColdBackends(now=timers.now, slowdown=self.estimates.slowdown)
        self._review = WaitReview(self.estimates)
        self.crashes.on_given_up = self._end_given_up_jobs
        self.on_fenced: Callable[[PoolBackend], None] = lambda _: None
        self.on_backend_ended: Callable[[str], None] = lambda _: None
        self.may_start: Callable[[], bool] = lambda: True
        self.origin_alive_at: Callable[[Origin], float] = lambda _: math.inf
        self.draining = False
        self._timers = timers
        self._counters = counters
        self._random = random
        self._jobs = JobTable(now=timers.now)
        self._starter = RunStarter(
            observer=self,
            leases=self.leases,
            timers=timers,
            counters=counters,
            spawn=self._spawn,
            next_run=self._jobs.next_run,
            may_start=self._may_start,
        )
        self._dispatch_requested = anyio.Event()
        self._group: anyio.abc.TaskGroup | None = None
        self._subscription: PeriodicTimer | None = None

    async def __aenter__(self) -> Scheduler:
        self._group = anyio.create_task_group()
        await self._group.__aenter__()
        self._group.start_soon(self._dispatch_loop)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool | None:
        assert self._group is not None
        if self._subscription:
            self._subscription.cancel()
        self._group.cancel_scope.cancel()
        return await self._group.__aexit__(exc_type, exc, traceback)

    def _spawn(self, function: Callable[..., Coroutine[Any, Any, object]], *args: object) -> None:
        assert self._group is not None
        self._group.start_soon(function, *args)

    # The attributes may be replaced after the construction.

    def _may_start(self) -> bool:
        return self.may_start()

    def _origin_alive_at(self, origin: Origin) -> float:
        return self.origin_alive_at(origin)

    # Backend servers

    def acquire(self, announcement: PoolBackend, token: int, *, speed: float | None = None) -> None:
        """Start to hold the lease of a backend server; see `Leases.acquire`."""
        self.leases.acquire(announcement, token, speed=speed)
        self._apply_state(self.held_by_id[announcement.backend_id])

    def announce(self, announcement: PoolBackend) -> None:
        """Process an announcement; ignored if it is outdated or its backend server is not held."""
        self._cold.record(announcement)
        if self.leases.update(announcement):
            self._apply_state(self.held_by_id[announcement.backend_id])
            self.request_dispatch()

    def _apply_state(self, held: HeldBackend) -> None:
        self.evacuations.apply(held)
        held.warmth = self._cold.warmth(held.backend_id)

    def set_evacuated(
        self, domains: Collection[str], *, grace_s: float = evacuation.EVACUATION_GRACE_S
    ) -> bool:
        """Replace the evacuated failure domains, in which no job starts from now on.

        In those that were not evacuated before, jobs that have started may start their remaining
        tasks for another `grace_s`. Jobs that cannot run on another backend server held here are
        answered as `DRAINING`, or end if they have started and no time is left. Returns whether
        this changes anything.
        """
        if not self.evacuations.set(domains, grace_s):
            return False
        for held in self.held_by_id.values():
            self.evacuations.apply(held)
        self._review_evacuated()
        self.request_dispatch()
        return True

    def _review_evacuated(self) -> None:
        """Answer the jobs that cannot start or go on because of an evacuation."""
        if not self.evacuations.is_active():
            return
        fates = evacuation.decide(
            self.unanswered_jobs(), self.held_by_id.values(), self._timers.now()
        )
        for job, fate in fates:
            waiting = len(job.waiting_tasks())
            self._counters.add("pool.starts_withheld_evacuated", waiting)
            if fate is evacuation.Fate.MOVES:
                self._counters.add("pool.jobs_rerouted_evacuated")
                reason = "the failure domain of its backend servers is evacuated"
                refusal = self._make_refusal(ResultCode.DRAINING, reason, self._random.random)
                self._finish_job(job, refusal)
            else:
                self._counters.add("pool.jobs_ended_evacuated")
                reason = f"{waiting} tasks cannot start any more: their failure domain is evacuated"
                self._finish_job(job, PoolAnswer(int(ResultCode.DEADLINE_AFTER_START), reason))

    def release(self, backend_id: str, reason: str) -> None:
        """Stop renewing the lease of a backend server and fail the jobs that have runs there."""
        for run in self.leases.release(backend_id, reason):
            self._fail_job_without_lease(
                run.task.job, f"backend server {backend_id} was released: {reason}"
            )

    def load(self) -> PoolLoad:
        """Return the load of this scheduler as reported to the other entry processes."""
        return self.estimates.load(self.unanswered_jobs(), self._timers.now())

    # Jobs

    def find(self, job_id: str) -> Job | None:
        """Return a job that is open or ended within the last `ANSWER_RETENTION_S`, else None."""
        return self._jobs.find(job_id)

    def submit(self, request: PoolJob, origin: Origin | None = None) -> Job:
        """Accept a job; call `refusal` first, as this does not check whether it is feasible.

        `origin` is the entry process that waits for the answer, None for this one.
        """
        job = self._make_job(request, origin)
        self._jobs.add(job)
        if self._subscription is None:
            self._subscription = self._timers.every(TICK_PERIOD_S, self._tick)
        self.estimates.record_resources(request)
        self._review.record_arrival(job, job.arrived_at)
        self._counters.add("pool.jobs")
        self._end_if_given_up(job)
        self.request_dispatch()
        return job

    def refusal(
        self, request: PoolJob, *, spread: Callable[[], float] | None = None
    ) -> PoolAnswer | None:
        """Return the refusal of a job that cannot be answered in time, None to accept the job.

        `spread` replaces the random numbers from 0 to 1 that spread out the returning callers.
        """
        spread = spread or self._random.random
        available = [
            held
            for held in self.held_by_id.values()
            if not held.announcement.leaving and not held.is_reserved
        ]
        can_run = any(held.can_run(request) for held in available)
        if not can_run and any(
            held.is_evacuated and held.can_run(request) for held in self.held_by_id.values()
        ):
            self._counters.add("pool.jobs_rerouted_evacuated")
            return self._make_refusal(
                ResultCode.DRAINING,
                "no job may start on the backend servers that could run it",
                spread,
            )
        if not available:
            reason = "this process holds no backend server"
            return self._make_refusal(ResultCode.NO_BACKEND, reason, spread)
        if not can_run:
            return self._make_refusal(
                ResultCode.CANNOT_RUN,
                "no backend server of its service has the resources that a task of the job needs",
                spread,
            )
        job = self._make_job(request, None)
        wait_s, run_s = self.estimates.forecast(job, self.unanswered_jobs(), job.arrived_at)
        if not admission.is_infeasible(
            wait_s=wait_s,
            run_s=run_s,
            elapsed_s=request.elapsed_s,
            objective_s=job.objective_s,
            deadline_s=request.deadline_s,
        ):
            return None
        reason = (
            f"the predicted wait of {wait_s:.3f} s and run time of {run_s:.3f} s are too long for "
            f"the latency objective of {job.objective_s:.3f} s or the deadline of "
            f"{request.deadline_s:.3f} s"
        )
        return self._make_refusal(ResultCode.OVERLOADED, reason, spread)

    def _make_job(self, request: PoolJob, origin: Origin | None) -> Job:
        return Job(
            request=request,
            origin=origin,
            arrived_at=self._timers.now(),
            estimate_s=self.estimates.run_time_s(request),
        )

    def _make_refusal(
        self, code: ResultCode, reason: str, spread: Callable[[], float]
    ) -> PoolAnswer:
        backlog_s = self.estimates.backlog_s(self.unanswered_jobs(), self._timers.now())
        after_s = admission.retry_after_s(backlog_s, spread())
        return PoolAnswer(int(code), reason, after_s)

    def cancel(self, job_id: str, reason: str) -> None:
        """Cancel a job and stop its runs; unknown and ended jobs are ignored."""
        job = self._jobs.find(job_id)
        if job is None or job.cancelled:
            return
        started = job.started
        code = ResultCode.CANCELLED_AFTER_START if started else ResultCode.CANCELLED_BEFORE_START
        self._counters.add("pool.jobs_cancelled")
        self._finish_job(job, PoolAnswer(int(code), reason))

    def unanswered_jobs(self) -> list[Job]:
        """Return the jobs that have no answer yet."""
        return self._jobs.unanswered()

    def start_draining(self) -> None:
        """Finish the jobs that have started, and answer all others as not run (`DRAINING`)."""
        self.draining = True
        self.return_unstarted_jobs("this process is shutting down")

    def return_unstarted_jobs(self, reason: str) -> None:
        """Answer the jobs that have not started as `DRAINING`, so that they go to another holder.

        Otherwise they would wait for backend servers that are handed over, until their deadline.
        """
        for job in self.unanswered_jobs():
            if not job.started:
                self._finish_job(job, PoolAnswer(int(ResultCode.DRAINING), reason))

    def unstarted_jobs(self, kind: str) -> int:
        """Return the number of open jobs of a kind of which no task has started."""
        return sum(job.request.kind == kind and not job.started for job in self.unanswered_jobs())

    def idle(self) -> bool:
        """Return whether no job is open and no run may still be active."""
        return self._jobs.is_empty()

    def release_all(self, reason: str) -> None:
        """Release all backend servers and fail all jobs, as others may hold the leases already."""
        for backend_id in list(self.held_by_id):
            self.release(backend_id, reason)
        for job in self.unanswered_jobs():
            self._fail_job_without_lease(job, reason)

    def request_dispatch(self) -> None:
        """Have waiting tasks started soon; several requests before that cause one pass."""
        self._dispatch_requested.set()

    # Methods of RunObserver, called by the lease renewers

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
            self.estimates.refine_run_time(job)
        elif outcome is RunOutcome.FAILED:
            held.health.record_failure(now)
            task.failure_count += 1
            task.avoided_backends.add(held.backend_id)
        self._after_run(job, task)

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
        self._after_run(run.task.job, run.task)

    def runs_lost(
        self, held: HeldBackend, runs: Sequence[Run], evidence: Evidence, reason: str
    ) -> None:
        """Remove runs that were lost with their backend server; their tasks start again, or not."""
        alone = len(held.run_by_key) + len(held.untracked_runs) == 1
        self._counters.add(f"pool.runs_lost_{evidence.name.lower()}", len(runs))
        if not held.announcement.leaving:
            # The runs of one that is leaving end with it, which is no crash.
            self.crashes.record(
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
        self.estimates.learn_from_straggler(run, predicted_s)

    def run_time_predicted(self, run: Run, predicted_s: float) -> None:
        """Refine the run time of the job; move the run or end the job if it will be too late."""
        job = run.task.job
        if not run.has_prediction:
            run.has_prediction = True
            self.estimates.refine_run_time(job)
        if run.stopping or run.sent_at + predicted_s <= job.deadline_at:
            return
        now = self._timers.now()
        work_s = predicted_s * run.speed / run.remote_factor
        others = [
            held
            for held in self.held_by_id.values()
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
                self._finish_job(job, PoolAnswer(int(ResultCode.DEADLINE_AFTER_START), reason))
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
            fastest=self.estimates.attainable_speed(now),
        ):
            self._counters.add("pool.overruns")
            least_s = max(map(overrun.least_run_s, reports))
            reason = f"its tasks take at least {least_s:.3f} s by their progress"
            self._finish_job(job, PoolAnswer(int(ResultCode.DEADLINE_AFTER_START), reason))

    def backend_changed(self, held: HeldBackend) -> None:
        """Start waiting tasks, as the backend server may accept some now."""
        self.crashes.process_answer(held.backend_id, held.born_ms)
        self.request_dispatch()

    def backend_refused_connection(self, held: HeldBackend) -> None:
        """Record that the process of a backend server has probably ended."""
        self.crashes.strengthen(held.backend_id, Evidence.REFUSED)

    def backend_ended(self, held: HeldBackend, reason: str) -> None:
        """Release a backend server whose incarnation has ended, and restart the tasks it ran."""
        self.crashes.strengthen(held.backend_id, Evidence.CRASHED)
        self.runs_lost(held, list(held.run_by_key.values()), Evidence.CRASHED, reason)
        if self.held_by_id.get(held.backend_id) is held:
            self.release(held.backend_id, reason)
            self.on_backend_ended(held.backend_id)

    def backend_fenced(self, held: HeldBackend) -> None:
        """Release a backend server whose lease another process holds."""
        if self.held_by_id.get(held.backend_id) is held:
            self.release(held.backend_id, "another holder has a higher fencing token")
            self.on_fenced(held.announcement)

    # Starts of tasks

    async def _dispatch_loop(self) -> None:
        while True:
            await self._dispatch_requested.wait()
            self._dispatch_requested = anyio.Event()
            try:
                self._dispatch()
            except Exception:
                self._counters.add("pool.dispatch_errors")
                _log.exception("dispatch failed; waiting tasks are looked at again")

    def _dispatch(self) -> None:
        if not self.may_start():
            return
        now = self._timers.now()
        waiting = [
            job
            for job in self.unanswered_jobs()
            if job.waiting_tasks() and (job.started or not self.draining)
        ]
        fastest = self.estimates.attainable_speed(now)
        self._start_trials(waiting, now, fastest)
        eligible = [held for held in self.held_by_id.values() if held.is_eligible(now)]
        if not eligible:
            return
        preferences = locations.LocalityPass(eligible, now, fastest=fastest)
        for task, held in dispatch.select_starts(
            waiting,
            eligible,
            now,
            fastest=fastest,
            may_start=self._is_clear,
            allows_start=self.leases.allows_start,
            preferences=preferences,
        ):
            self._starter.start(task, held, now)
        localwaits.record_waits(preferences.waits, now)

    def _start_trials(self, waiting: list[Job], now: float, fastest: float) -> None:
        """Start the tasks that may have crashed a backend server, apart from all others."""
        backends = self.held_by_id.values()
        trials.cancel_ended(backends, is_suspect=self._is_suspect)
        # Kinds of jobs in which no such task was found are tried first.
        suspects = sorted(
            (task for job in waiting for task in job.waiting_tasks() if self._is_suspect(task)),
            key=lambda task: (
                self.crashes.is_suspicious_kind(task.job.request.kind),
                joborder.order_key(task.job, now, fastest),
            ),
        )
        if suspects:
            for task, held in trials.select_trials(suspects, backends, now, fastest=fastest):
                if not self.leases.allows_start(held, task.job):
                    continue
                self._counters.add("pool.trials")
                self._starter.start(task, held, now)

    def _is_clear(self, task: Task) -> bool:
        return self.crashes.verdict(task.name) is Verdict.CLEAR

    def _is_suspect(self, task: Task) -> bool:
        return self.crashes.verdict(task.name) is Verdict.SUSPECT

    def run_refused(self, run: Run, outcome: StartOutcome) -> None:
        """Retry the task of a run that its backend server refused, or end its job."""
        job, held = run.task.job, run.backend
        if outcome is StartOutcome.OTHER_INCARNATION:
            self.backend_ended(held, "another incarnation answers at its address")
        elif outcome is StartOutcome.REJECTED:
            self._finish_job(
                job,
                PoolAnswer(
                    int(ResultCode.TASKS_FAILED),
                    f"backend server {held.backend_id} rejected the start of task {run.task.name}",
                ),
            )
        self._after_run(job, run.task)

    # Ends of runs and jobs

    def _after_run(self, job: Job, task: Task) -> None:
        """End a job if the end of one of its runs decides it, and dispatch again."""
        if job.answer is None:
            if job.is_done():
                self._finish_job(job, PoolAnswer(int(ResultCode.COMPLETE)))
            elif task.failure_count >= job.request.max_attempts:
                reason = f"task {task.name} failed {task.failure_count} times"
                self._finish_job(job, PoolAnswer(int(ResultCode.TASKS_FAILED), reason))
        elif not job.active_runs():
            self._jobs.close(job)
        self.request_dispatch()

    def _end_given_up_jobs(self) -> None:
        for job in self.unanswered_jobs():
            self._end_if_given_up(job)

    def _end_if_given_up(self, job: Job) -> None:
        """End a job as failed if one of its tasks crashes the backend servers that start it."""
        for task in job.tasks:
            if self.crashes.verdict(task.name) is not Verdict.GIVEN_UP:
                continue
            self._counters.add("pool.tasks_given_up")
            self.crashes.record_given_up(job.request.kind)
            reason = (
                f"{self.crashes.crash_count(task.name)} backend servers crashed under {task.name}"
            )
            _log.warning("job {} is given up: {}", job.request.job_id, reason)
            self._finish_job(job, PoolAnswer(int(ResultCode.TASKS_FAILED), reason))
            return

    def _finish_job(self, job: Job, answer: PoolAnswer) -> None:
        """Set the answer of a job and stop the runs that may still be active."""
        now = self._timers.now()
        if job.answer is None:
            self.estimates.learn_from(job)
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
        alive_at = now if job.origin is None else self.origin_alive_at(job.origin)
        job.close(answer, min(now, alive_at))
        for run in job.active_runs():
            self._starter.stop(run)
        if not job.active_runs():
            self._jobs.close(job)
        self.request_dispatch()

    def _fail_job_without_lease(self, job: Job, reason: str) -> None:
        """Answer a job whose backend servers this process has released."""
        code = ResultCode.BACKEND_LOST if job.started else ResultCode.NO_BACKEND
        self._finish_job(job, PoolAnswer(int(code), reason))

    def _tick(self) -> None:
        now = self._timers.now()
        self._review_evacuated()
        fastest = self.estimates.attainable_speed(now)
        for job in self.unanswered_jobs():
            if now >= job.deadline_at:
                if job.started:
                    code, reason = (
                        ResultCode.DEADLINE_AFTER_START,
                        "the deadline passed after a task had started",
                    )
                else:
                    code, reason = (
                        ResultCode.DEADLINE_BEFORE_START,
                        "no resources became free before the deadline",
                    )
                self._finish_job(job, PoolAnswer(int(code), reason))
            elif job.waiting_tasks() and not self.estimates.can_meet_deadline(
                job, now, fastest=fastest
            ):
                reason = "its waiting tasks cannot meet the deadline any more"
                if job.started:
                    self._finish_job(job, PoolAnswer(int(ResultCode.DEADLINE_AFTER_START), reason))
                else:
                    refusal = self._make_refusal(ResultCode.OVERLOADED, reason, self._random.random)
                    self._finish_job(job, refusal)
        self._refuse_waiting_jobs(now)
        self._jobs.expire()
        if not self._jobs.has_entries() and self._subscription is not None:
            # Most processes schedule no jobs, and a timer that never rests costs each of them.
            self._subscription.cancel()
            self._subscription = None
            return
        # No event marks the end of a backoff, or the time at which a task accepts a slower backend
        # server.
        if any(job.waiting_tasks() for job in self.unanswered_jobs()):
            self.request_dispatch()

    def _refuse_waiting_jobs(self, now: float) -> None:
        """Refuse the jobs that have not started and will not be served in useful time."""
        for refusal in self._review.refusals(self.unanswered_jobs(), now):
            job = refusal.job
            reason = (
                f"refused after a wait of {now - job.sent_at:.3f} s: its predicted latency is "
                f"{refusal.ends_at - job.sent_at:.3f} s, its latency objective "
                f"{job.objective_s:.3f} s"
            )
            self._counters.add("pool.refused_waiting")
            _log.notice("job {} is {}", job.request.job_id, reason)
            answer = self._make_refusal(ResultCode.OVERLOADED, reason, self._random.random)
            self._finish_job(job, answer)


def _progress(run: Run) -> overrun.Progress:
    return overrun.Progress(
        run.backend.backend_id,
        run.speed / run.remote_factor,
        run.progress_changed_at - run.sent_at,
        run.progress,
    )
