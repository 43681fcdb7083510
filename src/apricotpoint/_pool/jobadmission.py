"""Admission of jobs by one scheduler, and the refusals of those that it does not answer in time."""

from __future__ import annotations

import random as random_module
from collections.abc import Callable, Mapping

from apricotpoint._core.codes import ResultCode
from apricotpoint._core.counters import Counters
from apricotpoint._core.timers import TimerService
from apricotpoint._pool.decisions import admission
from apricotpoint._pool.estimates import Estimates
from apricotpoint._pool.runs.heldbackend import HeldBackend
from apricotpoint._pool.runs.job import Job, Origin
from apricotpoint._pool.runs.jobtable import JobTable
from apricotpoint._pool.runs.routedemand import RouteDemand
from apricotpoint._wire.pool import PoolAnswer, PoolJob


class JobAdmission:
    """Decides which jobs are accepted, and when the callers of the others may return."""

    def __init__(
        self,
        *,
        held_by_id: Mapping[str, HeldBackend],
        jobs: JobTable,
        estimates: Estimates,
        timers: TimerService,
        counters: Counters,
        random: random_module.Random,
    ) -> None:
        self._held_by_id = held_by_id
        self._jobs = jobs
        self._estimates = estimates
        self._timers = timers
        self._counters = counters
        self._random = random
        self._demand = RouteDemand(lambda service, now: estimates.throughput(now, service=service))

    def refusal(
        self, request: PoolJob, *, spread: Callable[[], float] | None = None
    ) -> PoolAnswer | None:
        """Return the refusal of a job that cannot be answered in time, None to accept the job.

        `spread` replaces the random numbers from 0 to 1 that spread out the returning callers.
        """
        available = [
            held
            for held in self._held_by_id.values()
            if not held.announcement.leaving and not held.is_reserved
        ]
        can_run = any(held.can_run(request) for held in available)
        if not can_run and any(
            held.is_evacuated and held.can_run(request) for held in self._held_by_id.values()
        ):
            self._counters.add("pool.jobs_rerouted_evacuated")
            return self.make_refusal(
                ResultCode.DRAINING,
                "no job may start on the backend servers that could run it",
                spread,
            )
        if not available:
            reason = "this process holds no backend server"
            return self.make_refusal(ResultCode.NO_BACKEND, reason, spread)
        if not can_run:
            return self.make_refusal(
                ResultCode.CANNOT_RUN,
                "no backend server of its service has the resources that a task of the job needs",
                spread,
            )
        job = self.make_job(request, None)
        wait_s, run_s = self._estimates.forecast(job, self._jobs.unanswered(), job.arrived_at)
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
        return self.make_refusal(ResultCode.OVERLOADED, reason, spread)

    def make_job(self, request: PoolJob, origin: Origin | None) -> Job:
        """Return a job that arrives now; `origin` is described at `Scheduler.submit`."""
        return Job(
            request=request,
            origin=origin,
            arrived_at=self._timers.now(),
            estimate_s=self._estimates.run_time_s(request),
            over_share=self._demand.exceeds_share(request, self._timers.now()),
        )

    def record_accepted(self, job: Job) -> None:
        """Count an accepted job as work that its route offers and, within its share, uses."""
        if job.over_share:
            self._counters.add("pool.jobs_over_share")
        self._demand.record(job.request, _work(job), job.arrived_at, uses_share=not job.over_share)

    def record_refused(self, request: PoolJob) -> None:
        """Count a job that was refused on its arrival as work that its route offers.

        A job that no backend server held here could run offers none.
        """
        if not any(held.can_run(request) for held in self._held_by_id.values()):
            return
        job = self.make_job(request, None)
        self._demand.record(request, _work(job), job.arrived_at, uses_share=False)

    def make_refusal(
        self, code: ResultCode, reason: str, spread: Callable[[], float] | None = None
    ) -> PoolAnswer:
        """Return a refusal with the time after which the caller may send its job again."""
        backlog_s = self._estimates.backlog_s(self._jobs.unanswered(), self._timers.now())
        after_s = admission.retry_after_s(backlog_s, (spread or self._random.random)())
        return PoolAnswer(int(code), reason, after_s)


def _work(job: Job) -> float:
    """Return the work of a job in seconds at speed 1 times thousandths of a core.

    A task ends by the deadline at the latest, so a declared time far above it counts no more.
    """
    task_s = min(job.mean_task_s, job.request.deadline_s)
    return job.request.count * task_s * job.request.room.cpu
