"""Runs the jobs of a pool: what is taken in, when its tasks start and where."""

from __future__ import annotations

import random as random_module
from collections.abc import Callable
from types import TracebackType

import anyio
import anyio.abc
import logbook

from apricotpoint._core.codes import ResultCode
from apricotpoint._core.counters import Counters
from apricotpoint._core.timers import Subscription, TimerService
from apricotpoint._pool import admission, dispatch, placement
from apricotpoint._pool.backend_client import BackendClient, RunOutcome, StartOutcome, StartRequest
from apricotpoint._pool.estimates import Estimates
from apricotpoint._pool.held_backend import HeldBackend
from apricotpoint._pool.job import Job, Run, RunState, Task
from apricotpoint._pool.job_table import JobTable
from apricotpoint._pool.lease_renewer import LeaseRenewer
from apricotpoint._wire.pool import PoolAnswer, PoolBackend, PoolJob, PoolLoad

# Deadlines and hopeless jobs are checked this often, in seconds.
TICK_PERIOD_S = 0.02
# Time in seconds for which a backend server that rejected a start for want of
# room gets none, unless an end is listed there before.
FULL_BACKOFF_S = 0.1

_log = logbook.Logger("pool")


class Scheduler:
    """Jobs and held backend servers of one entry process.

    Use it as an async context manager. All methods must be called on the
    event loop. `on_fenced` is called with a failure domain in which another
    holder was found, `on_backend_ended` with a backend server whose life is over.
    """

    def __init__(
        self,
        *,
        timers: TimerService,
        counters: Counters,
        random: random_module.Random,
        make_client: Callable[[PoolBackend], BackendClient],
    ) -> None:
        self.held_by_id: dict[str, HeldBackend] = {}
        self.estimates = Estimates(self.held_by_id)
        self.on_fenced: Callable[[str], None] = lambda _: None
        self.on_backend_ended: Callable[[str], None] = lambda _: None
        self.draining = False
        self._timers = timers
        self._counters = counters
        self._random = random
        self._make_client = make_client
        self._renewer_by_id: dict[str, LeaseRenewer] = {}
        self._jobs = JobTable(now=timers.now)
        self._dispatch_requested = anyio.Event()
        self._group: anyio.abc.TaskGroup | None = None
        self._subscription: Subscription | None = None

    async def __aenter__(self) -> Scheduler:
        self._group = anyio.create_task_group()
        await self._group.__aenter__()
        self._group.start_soon(self._dispatch_loop)
        self._subscription = self._timers.every(TICK_PERIOD_S, self._tick)
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

    # Backend servers

    def acquire(self, announcement: PoolBackend, token: int, *, speed: float | None = None) -> None:
        """Take over a backend server with this fencing token.

        `speed` is what its earlier holder has learned.
        """
        assert self._group is not None
        held = HeldBackend(announcement, self._make_client(announcement), token)
        if speed is not None:
            held.speed.restore(speed)
        held.lease_expires_at = self._timers.now()
        renewer = LeaseRenewer(held, observer=self, timers=self._timers, counters=self._counters)
        self.held_by_id[announcement.backend_id] = held
        self._renewer_by_id[announcement.backend_id] = renewer
        self._group.start_soon(renewer.run)
        self._counters.add("pool.backends_taken")
        _log.info("hold backend {} with token {}", announcement.backend_id, token)

    def announce(self, announcement: PoolBackend) -> None:
        """Take over what a held backend server announces."""
        held = self.held_by_id.get(announcement.backend_id)
        if held is None or announcement.sequence < held.announcement.sequence:
            return
        if announcement.leaving and not held.announcement.leaving:
            _log.info("backend {} is leaving and gets no more tasks", announcement.backend_id)
        held.announcement = announcement
        self.request_dispatch()

    def release(self, backend_id: str, reason: str) -> None:
        """Give up a backend server; its runs are lost to this process."""
        held = self.held_by_id.pop(backend_id, None)
        renewer = self._renewer_by_id.pop(backend_id, None)
        if held is None or renewer is None:
            return
        renewer.release()
        self._counters.add("pool.backends_released")
        _log.info("release backend {}: {}", backend_id, reason)
        for run in list(held.run_by_key.values()):
            held.remove(run, run.task.job.request.room)
            run.task.run = None
            self._fail_lost_job(run.task.job, f"backend {backend_id} was released: {reason}")

    def load(self) -> PoolLoad:
        """Return the load for other entry processes."""
        return self.estimates.load(self.jobs(), self._timers.now())

    # Jobs

    def find(self, job_id: str) -> Job | None:
        """Return a job that runs or has ended lately."""
        return self._jobs.find(job_id)

    def submit(self, request: PoolJob, origin: str) -> Job:
        """Take a job in; the caller has decided that it is not refused."""
        job = self._make_job(request, origin)
        self._jobs.add(job)
        self.estimates.record_resources(request)
        self._counters.add("pool.jobs")
        self.request_dispatch()
        return job

    def refusal(self, request: PoolJob) -> PoolAnswer | None:
        """Return the refusal of a job that cannot be answered in a useful time."""
        staying = [held for held in self.held_by_id.values() if not held.announcement.leaving]
        if not staying:
            return self._make_refusal(ResultCode.NO_BACKEND, "no backend server is held here")
        if not any(held.is_compatible(request) for held in staying):
            return self._make_refusal(
                ResultCode.CANNOT_RUN, "no backend server has the room it needs"
            )
        job = self._make_job(request, "")
        wait_s, run_s = self.estimates.forecast(job, self.jobs(), job.arrived_at)
        if not admission.is_infeasible(
            wait_s=wait_s,
            run_s=run_s,
            elapsed_s=request.elapsed_s,
            objective_s=job.objective_s,
            deadline_s=request.deadline_s,
        ):
            return None
        reason = f"predicted wait {wait_s:.3f} s and run time {run_s:.3f} s"
        return self._make_refusal(ResultCode.OVERLOADED, reason)

    def _make_job(self, request: PoolJob, origin: str) -> Job:
        return Job(
            request=request,
            origin=origin,
            arrived_at=self._timers.now(),
            estimate_s=self.estimates.run_time_s(request),
        )

    def _make_refusal(self, code: ResultCode, reason: str) -> PoolAnswer:
        backlog_s = self.estimates.backlog_s(self.jobs(), self._timers.now())
        after_s = admission.retry_after_s(backlog_s, self._random.random())
        return PoolAnswer(int(code), reason, after_s)

    def cancel(self, job_id: str, reason: str) -> None:
        """Give up a job whose caller has left."""
        job = self._jobs.find(job_id)
        if job is None or job.cancelled:
            return
        started = job.started
        code = ResultCode.CANCELLED_AFTER_START if started else ResultCode.CANCELLED_BEFORE_START
        self._counters.add("pool.jobs_cancelled")
        self._finish_job(job, PoolAnswer(int(code), reason))

    def jobs(self) -> list[Job]:
        """Return the jobs that are not answered."""
        return self._jobs.unanswered()

    def start_draining(self) -> None:
        """Finish the jobs that have begun and give back all others as not run."""
        self.draining = True
        for job in self.jobs():
            if not job.started:
                self._finish_job(
                    job, PoolAnswer(int(ResultCode.DRAINING), "this process is stopping")
                )

    def pending(self, kind: str) -> int:
        """Return the number of jobs of a kind of which no task has started."""
        return sum(job.request.kind == kind and not job.started for job in self.jobs())

    def idle(self) -> bool:
        """Return whether no job is open and no run may be at work."""
        return self._jobs.is_empty()

    def release_all(self, reason: str) -> None:
        """Give up everything after a pause, in which others may have taken over."""
        for backend_id in list(self.held_by_id):
            self.release(backend_id, reason)
        for job in self.jobs():
            self._fail_lost_job(job, reason)

    def request_dispatch(self) -> None:
        """Look for tasks to start."""
        self._dispatch_requested.set()

    # Reports of keepers

    def run_ended(self, run: Run, end: RunOutcome) -> None:
        """Take over the end of a run."""
        now = self._timers.now()
        task, job, held = run.task, run.task.job, run.backend
        if not held.remove(run, job.request.room):
            return
        task.run = None
        held.full_until = 0.0
        self._counters.add(f"pool.ends_{end.value}")
        if end is RunOutcome.DONE:
            self._counters.record("pool.run_time", now - run.sent_at)
            job.completed_runs.append((run, now - run.sent_at))
            held.health.succeeded()
            task.done = True
            self.estimates.refine_run_time(job)
        elif end is RunOutcome.FAILED:
            held.health.failed(now)
            task.failure_count += 1
            task.avoided_backends.add(held.backend_id)
        self._after_run(job, task)

    def run_lost(self, run: Run, reason: str) -> None:
        """Take that a run is gone, so that its task can start again."""
        if not run.backend.remove(run, run.task.job.request.room):
            return
        self._counters.add("pool.runs_lost")
        _log.info(
            "run {} of {} on backend {} is lost: {}",
            run.number,
            run.task.name,
            run.backend.backend_id,
            reason,
        )
        run.task.run = None
        run.task.avoided_backends.add(run.backend.backend_id)
        self._after_run(run.task.job, run.task)

    def run_stalled(self, run: Run) -> None:
        """Stop a run without progress, so that its task can start elsewhere."""
        held = run.backend
        held.health.failed(self._timers.now())
        self._counters.add("pool.standstills")
        _log.warning(
            "run {} of {} stands still at {}% on backend {}",
            run.number,
            run.task.name,
            run.progress,
            held.backend_id,
        )
        run.task.avoided_backends.add(held.backend_id)
        self._stop(run)

    def run_confirmed(self, run: Run) -> None:
        """Stop a run that turned out to be at work after its job was given up."""
        if run.stopping or run.task.job.cancelled:
            self._stop(run)

    def run_straggling(self, run: Run, predicted_s: float) -> None:
        """Learn from a run that takes far longer than expected."""
        run.is_straggler = True
        self._counters.add("pool.slow_runs")
        self.estimates.learn_from_straggler(run, predicted_s)

    def run_time_predicted(self, run: Run, predicted_s: float) -> None:
        """Refine the estimate of its job, and act on a run that will miss the deadline."""
        job = run.task.job
        if not run.has_prediction:
            run.has_prediction = True
            self.estimates.refine_run_time(job)
        if run.stopping or run.sent_at + predicted_s <= job.deadline_at:
            return
        now = self._timers.now()
        work_s = predicted_s * run.backend.speed.value
        others = [held for held in self.held_by_id.values() if held.can_start(job.request, now)]
        if not placement.should_move(run, work_s, others, now):
            if admission.will_miss_deadline(
                progress=run.progress,
                run_s=predicted_s,
                ends_at=run.sent_at + predicted_s,
                deadline_at=job.deadline_at,
            ):
                reason = f"task {run.task.name} would end {predicted_s:.3f} s after its start"
                self._finish_job(job, PoolAnswer(int(ResultCode.DEADLINE_AFTER_START), reason))
            return
        self._counters.add("pool.runs_moved")
        _log.info(
            "run {} of {} at {}% on backend {} would end {:.3f} s too late and starts elsewhere",
            run.number,
            run.task.name,
            run.progress,
            run.backend.backend_id,
            run.sent_at + predicted_s - job.deadline_at,
        )
        run.task.avoided_backends.add(run.backend.backend_id)
        self._stop(run)

    def backend_changed(self, held: HeldBackend) -> None:
        """Look for tasks that the backend server can take."""
        self.request_dispatch()

    def backend_ended(self, held: HeldBackend, reason: str) -> None:
        """Lose the runs of a life of a backend server that is over."""
        for run in list(held.run_by_key.values()):
            self.run_lost(run, reason)
        if self.held_by_id.get(held.backend_id) is held:
            self.release(held.backend_id, reason)
            self.on_backend_ended(held.backend_id)

    def backend_fenced(self, held: HeldBackend) -> None:
        """Give up a backend server that another process has taken over."""
        if self.held_by_id.get(held.backend_id) is held:
            self.release(held.backend_id, "another holder has a higher token")
            self.on_fenced(held.announcement.failure_domain)

    # Starting

    async def _dispatch_loop(self) -> None:
        while True:
            await self._dispatch_requested.wait()
            self._dispatch_requested = anyio.Event()
            self._dispatch()

    def _dispatch(self) -> None:
        now = self._timers.now()
        usable = [held for held in self.held_by_id.values() if held.usable(now)]
        if not usable:
            return
        waiting = [
            job for job in self.jobs() if job.waiting() and (job.started or not self.draining)
        ]
        fastest = self.estimates.attainable_speed()
        for task, held in dispatch.starts(waiting, usable, now, fastest=fastest):
            self._start(task, held, now)

    def _start(self, task: Task, held: HeldBackend, now: float) -> None:
        assert self._group is not None
        job = task.job
        run = Run(
            task=task,
            number=self._jobs.next_run(task),
            backend=held,
            token=held.token,
            sent_at=now,
            expected_s=job.estimate_s / held.speed.value,
        )
        task.run = run
        task.run_count += 1
        job.started = True
        held.add(run, job.request.room)
        self._counters.add("pool.starts")
        self._group.start_soon(self._send_start, run)

    async def _send_start(self, run: Run) -> None:
        held, now = run.backend, self._timers.now()
        lease_until_ms = held.lease_until_ms(now)
        assert lease_until_ms is not None, "a backend server is used before it has answered"
        start_request = StartRequest(
            key=run.key,
            spec=run.task.job.request.spec,
            lease_until_ms=lease_until_ms,
            token=run.token,
        )
        outcome = await held.client.start(start_request)
        if held.run_by_key.get(run.key) is not run:
            return
        if outcome is StartOutcome.STARTED:
            run.state = RunState.RUNNING
            run.confirmed_at = self._timers.now()
            self.run_confirmed(run)
        elif outcome is StartOutcome.UNKNOWN:
            await held.client.renew_connections()
            renewer = self._renewer_by_id.get(held.backend_id)
            if renewer is not None:
                await renewer.resolve(run)
        else:
            self._handle_start_refusal(run, outcome)

    def _handle_start_refusal(self, run: Run, outcome: StartOutcome) -> None:
        held, now, job = run.backend, self._timers.now(), run.task.job
        self._counters.add(f"pool.refused_{outcome.value}")
        _log.info(
            "backend {} refused run {} of {}: {}",
            held.backend_id,
            run.number,
            run.task.name,
            outcome.value,
        )
        held.remove(run, job.request.room)
        run.task.run = None
        if outcome is StartOutcome.NO_ROOM:
            held.full_until = now + FULL_BACKOFF_S
        elif outcome is StartOutcome.UNHEALTHY:
            held.health.failed(now)
        elif outcome is StartOutcome.OTHER_INCARNATION:
            self.backend_ended(held, "another incarnation answers")
        elif outcome is StartOutcome.REJECTED:
            self._finish_job(job, PoolAnswer(int(ResultCode.TASKS_FAILED), "a start was rejected"))
        self._after_run(job, run.task)

    # Ends

    def _after_run(self, job: Job, task: Task) -> None:
        """Decide on a job after one of its runs has ended or is gone."""
        if job.answer is None:
            if job.is_done():
                self._finish_job(job, PoolAnswer(int(ResultCode.COMPLETE)))
            elif task.failure_count >= job.request.max_attempts:
                reason = f"task {task.name} failed {task.failure_count} times"
                self._finish_job(job, PoolAnswer(int(ResultCode.TASKS_FAILED), reason))
        elif not job.active_runs():
            self._jobs.close(job)
        self.request_dispatch()

    def _finish_job(self, job: Job, answer: PoolAnswer) -> None:
        """Answer a job and stop what may still run of it."""
        now = self._timers.now()
        if job.answer is None:
            self.estimates.learn_from(job)
            self._counters.add(f"pool.answers_{answer.code}")
            self._counters.record("pool.latency", now - job.sent_at)
            if job.started and answer.code != ResultCode.COMPLETE:
                _log.notice("job {} given up: {}", job.request.job_id, job.describe(now))
        job.cancelled = True
        job.close(answer)
        for run in job.active_runs():
            self._stop(run)
        if not job.active_runs():
            self._jobs.close(job)
        self.request_dispatch()

    def _fail_lost_job(self, job: Job, reason: str) -> None:
        code = ResultCode.BACKEND_LOST if job.started else ResultCode.NO_BACKEND
        self._finish_job(job, PoolAnswer(int(code), reason))

    def _stop(self, run: Run) -> None:
        run.stopping = True
        if run.state is RunState.RUNNING and self._group is not None:
            self._group.start_soon(self._send_stop, run)

    async def _send_stop(self, run: Run) -> None:
        held = run.backend
        while held.run_by_key.get(run.key) is run and not held.released:
            if await held.client.stop(run.key, held.token):
                return
            await self._timers.sleep(TICK_PERIOD_S)

    def _tick(self) -> None:
        now = self._timers.now()
        for job in self.jobs():
            if now >= job.deadline_at:
                if job.started:
                    code, reason = ResultCode.DEADLINE_AFTER_START, "the deadline has passed"
                else:
                    code, reason = ResultCode.DEADLINE_BEFORE_START, "no room before the deadline"
                self._finish_job(job, PoolAnswer(int(code), reason))
            elif job.waiting() and not self.estimates.can_meet_deadline(job, now):
                reason = "it can no longer end before its deadline"
                if job.started:
                    self._finish_job(job, PoolAnswer(int(ResultCode.DEADLINE_AFTER_START), reason))
                else:
                    self._finish_job(job, self._make_refusal(ResultCode.OVERLOADED, reason))
        self._jobs.expire()
        # Time alone frees a backend server that rests, and moves a task to a slower one.
        if any(job.waiting() for job in self.jobs()):
            self.request_dispatch()
