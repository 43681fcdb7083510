"""Scheduler of one entry process: admission, start and end of jobs on its backend servers."""

from __future__ import annotations

import math
import random as random_module
from collections.abc import Callable, Collection, Coroutine
from types import TracebackType
from typing import Any

import anyio
import anyio.abc
import logbook

from apricotpoint._core.codes import ResultCode
from apricotpoint._core.counters import Counters
from apricotpoint._core.timers import PeriodicTimer, TimerService
from apricotpoint._pool.decisions import evacuation, waiting
from apricotpoint._pool.decisions.verdicts import Verdict
from apricotpoint._pool.dispatcher import Dispatcher
from apricotpoint._pool.estimates import Estimates
from apricotpoint._pool.holders.crashes import CrashHistory
from apricotpoint._pool.jobadmission import JobAdmission
from apricotpoint._pool.runs.backendclient import BackendClient
from apricotpoint._pool.runs.coldbackends import ColdBackends
from apricotpoint._pool.runs.evacuations import Evacuations
from apricotpoint._pool.runs.heldbackend import HeldBackend
from apricotpoint._pool.runs.job import Job, Origin, Task
from apricotpoint._pool.runs.jobends import JobEnds
from apricotpoint._pool.runs.jobtable import JobTable
from apricotpoint._pool.runs.leases import Leases
from apricotpoint._pool.runs.review import WaitReview
from apricotpoint._pool.runs.runreports import RunReports
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
        self.on_fenced: Callable[[PoolBackend], None] = lambda _: None
        self.on_backend_ended: Callable[[str], None] = lambda _: None
        self.may_start: Callable[[], bool] = lambda: True
        self.origin_alive_at: Callable[[Origin], float] = lambda _: math.inf
        self.draining = False
        self._timers = timers
        self._counters = counters
        self._jobs = JobTable(now=timers.now)
        self._admission = JobAdmission(
            held_by_id=self.held_by_id,
            jobs=self._jobs,
            estimates=self.estimates,
            timers=timers,
            counters=counters,
            random=random,
        )
        self._starter = RunStarter(
            leases=self.leases,
            timers=timers,
            counters=counters,
            spawn=self._spawn,
            next_run=self._jobs.next_run,
            may_start=self._may_start,
        )
        self._dispatcher = Dispatcher(
            leases=self.leases,
            starter=self._starter,
            estimates=self.estimates,
            crashes=self.crashes,
            timers=timers,
            counters=counters,
            startable_jobs=self._startable_jobs,
            is_clear=self._is_clear,
            may_start=self._may_start,
        )
        self._ends = JobEnds(
            jobs=self._jobs,
            starter=self._starter,
            estimates=self.estimates,
            crashes=self.crashes,
            timers=timers,
            counters=counters,
            origin_alive_at=self._origin_alive_at,
            request_dispatch=self._dispatcher.request,
        )
        self.crashes.on_given_up = self._ends.end_given_up_jobs
        reports = RunReports(
            leases=self.leases,
            starter=self._starter,
            ends=self._ends,
            estimates=self.estimates,
            crashes=self.crashes,
            timers=timers,
            counters=counters,
            release=self.release,
            request_dispatch=self._dispatcher.request,
            on_fenced=self._handle_fenced,
            on_backend_ended=self._handle_backend_ended,
        )
        self.leases.observer = self._starter.observer = reports
        self._group: anyio.abc.TaskGroup | None = None
        self._subscription: PeriodicTimer | None = None

    async def __aenter__(self) -> Scheduler:
        self._group = anyio.create_task_group()
        await self._group.__aenter__()
        self._group.start_soon(self._dispatcher.run)
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

    def _startable_jobs(self) -> list[Job]:
        return [
            job
            for job in self.unanswered_jobs()
            if job.waiting_tasks() and (job.started or not self.draining)
        ]

    def _is_clear(self, task: Task) -> bool:
        return self.crashes.verdict(task.name) is Verdict.CLEAR

    # The attributes may be replaced after the construction.

    def _may_start(self) -> bool:
        return self.may_start()

    def _origin_alive_at(self, origin: Origin) -> float:
        return self.origin_alive_at(origin)

    def _handle_fenced(self, announcement: PoolBackend) -> None:
        self.on_fenced(announcement)

    def _handle_backend_ended(self, backend_id: str) -> None:
        self.on_backend_ended(backend_id)

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
                refusal = self._admission.make_refusal(ResultCode.DRAINING, reason)
                self._ends.finish(job, refusal)
            else:
                self._counters.add("pool.jobs_ended_evacuated")
                reason = f"{waiting} tasks cannot start any more: their failure domain is evacuated"
                self._ends.finish(job, PoolAnswer(int(ResultCode.DEADLINE_AFTER_START), reason))

    def release(self, backend_id: str, reason: str) -> None:
        """Stop renewing the lease of a backend server and fail the jobs that have runs there."""
        for run in self.leases.release(backend_id, reason):
            self._ends.fail_without_lease(
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
        job = self._admission.make_job(request, origin)
        self._admission.record_accepted(job)
        self._jobs.add(job)
        if self._subscription is None:
            self._subscription = self._timers.every(TICK_PERIOD_S, self._tick)
        self.estimates.record_resources(request)
        self._review.record_arrival(job, job.arrived_at)
        self._counters.add("pool.jobs")
        self._ends.end_if_given_up(job)
        self.request_dispatch()
        return job

    def refusal(
        self, request: PoolJob, *, spread: Callable[[], float] | None = None
    ) -> PoolAnswer | None:
        """Return the refusal of a job that cannot be answered in time, None to accept the job.

        `spread` replaces the random numbers from 0 to 1 that spread out the returning callers.
        """
        return self._admission.refusal(request, spread=spread)

    def draft(self, request: PoolJob) -> Job:
        """Return a job as it would arrive now, without accepting it."""
        return self._admission.make_job(request, None)

    def record_refused(self, request: PoolJob) -> None:
        """Count a job that was refused on its arrival as work that its route offers."""
        self._admission.record_refused(request)

    def cancel(self, job_id: str, reason: str) -> None:
        """Cancel a job and stop its runs; unknown and ended jobs are ignored."""
        job = self._jobs.find(job_id)
        if job is None or job.cancelled:
            return
        started = job.started
        code = ResultCode.CANCELLED_AFTER_START if started else ResultCode.CANCELLED_BEFORE_START
        self._counters.add("pool.jobs_cancelled")
        self._ends.finish(job, PoolAnswer(int(code), reason))

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
                self._ends.finish(job, PoolAnswer(int(ResultCode.DRAINING), reason))

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
            self._ends.fail_without_lease(job, reason)

    def request_dispatch(self) -> None:
        """Have waiting tasks started soon; several requests before that cause one pass."""
        self._dispatcher.request()

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
                self._ends.finish(job, PoolAnswer(int(code), reason))
            elif job.waiting_tasks() and not self.estimates.can_meet_deadline(
                job, now, fastest=fastest
            ):
                reason = "its waiting tasks cannot meet the deadline any more"
                if job.started:
                    self._ends.finish(job, PoolAnswer(int(ResultCode.DEADLINE_AFTER_START), reason))
                else:
                    refusal = self._admission.make_refusal(ResultCode.OVERLOADED, reason)
                    self._ends.finish(job, refusal)
            elif not job.started and waiting.starts_too_late(job, now, fastest=fastest):
                self._counters.add("pool.refused_unstarted")
                reason = f"no task could start within {now - job.sent_at:.3f} s"
                refusal = self._admission.make_refusal(ResultCode.OVERLOADED, reason)
                self._ends.finish(job, refusal)
        self._refuse_waiting_jobs(now)
        self._jobs.expire()
        if not self._jobs.has_entries() and self._subscription is not None:
            # Most processes schedule no jobs, and a timer that never rests costs each of them.
            self._subscription.cancel()
            self._subscription = None
            return
        # No event marks the end of a backoff, or the time at which a task accepts a slower backend
        # server. Under overload there is no room in most ticks, so a dispatch would be in vain.
        sizes = [job.request.room.cpu for job in self.unanswered_jobs() if job.waiting_tasks()]
        least_cpu = min(sizes, default=math.inf)
        if any(held.free(now).cpu >= least_cpu for held in self.held_by_id.values()):
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
            answer = self._admission.make_refusal(ResultCode.OVERLOADED, reason)
            self._ends.finish(job, answer)
