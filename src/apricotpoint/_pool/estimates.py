"""Estimates of run times and speeds, and the forecasts and load figures based on them."""

from __future__ import annotations

import math
import statistics
from collections.abc import Callable, Iterable, Mapping

from apricotpoint._pool.decisions import admission, forecast, joborder, locations
from apricotpoint._pool.runs.coldbackends import Slowdown
from apricotpoint._pool.runs.heldbackend import HeldBackend
from apricotpoint._pool.runs.job import Job, Run, Task
from apricotpoint._pool.runs.learning import KindRunTimes, mean_speed_log
from apricotpoint._wire.pool import PoolJob, PoolLoad

# The attainable speed is found anew after this time. Learned speeds change by a few percent with
# each run, and it is needed several times for each start.
ATTAINABLE_SPEED_MAX_AGE_S = 0.05
# Expected time until a backend server that was just acquired answers its first renewal.
ACQUISITION_WAIT_S = 0.1
# Learned speeds scatter, so that the largest one is too optimistic. A tenth of the backend
# servers are at least as fast as the one at this quantile.
GOOD_SPEED_QUANTILE = 0.9
# Weight of a new job in the moving average of the processor use of a task.
MEAN_CPU_WEIGHT = 0.05
# Share of the mean size that counts as a slot: sizes scatter, and a task of 17 cores often finds
# one of 14 to share a backend server of 32 with. With 1, a mean of about 16 cores made now one slot
# of it, now two.
SLOT_SHARE = 0.9
# Before the first job, a typical task is assumed to take half of the smallest backend server.
DEFAULT_TASK_SHARE = 0.5
# Share of the processors of backend servers that tasks use: the rest is too small for the
# next task. Tasks of a third to a half of a backend server whose sizes scatter use 0.8 to 0.9.
USABLE_SHARE = 0.85


class Estimates:
    """Learned run times by kind of job and speeds of the held backend servers.

    Tasks for which `may_start` is false wait for something else than resources, and so delay none.
    Times passed as `now` are monotonic seconds. Work is run time at speed 1.
    """

    def __init__(
        self, held_by_id: Mapping[str, HeldBackend], may_start: Callable[[Task], bool]
    ) -> None:
        self.run_times = KindRunTimes()
        self.slowdown = Slowdown()
        self._held_by_id = held_by_id
        self._may_start = may_start
        self._mean_cpu = 0.0
        self._attainable_speed = 1.0
        self._attainable_speed_at = -math.inf

    def run_time_s(self, request: PoolJob) -> float:
        """Return the expected run time of a task of a job at speed 1, in seconds."""
        return self.run_times.estimate_s(request.kind, request.estimate_s)

    def record_resources(self, request: PoolJob) -> None:
        """Update the typical processor use of a task from an accepted job."""
        weight = MEAN_CPU_WEIGHT if self._mean_cpu else 1.0
        self._mean_cpu += (request.room.cpu - self._mean_cpu) * weight

    def speeds(self) -> dict[str, float]:
        """Return the learned speed, when warm, by id of the held backend server."""
        return {key: round(held.speed.value, 3) for key, held in self._held_by_id.items()}

    def attainable_speed(self, now: float) -> float:
        """Return the speed that a job may expect of fast backend servers; 1 if none is held.

        It may be as old as `ATTAINABLE_SPEED_MAX_AGE_S`.
        """
        if not 0 <= now - self._attainable_speed_at < ATTAINABLE_SPEED_MAX_AGE_S:
            self._attainable_speed = self._find_attainable_speed(now)
            self._attainable_speed_at = now
        return self._attainable_speed

    def _find_attainable_speed(self, now: float) -> float:
        backends = self._held_by_id.values()
        usable = [held for held in backends if not held.is_evacuated] or backends
        speeds = sorted(held.expected_speed(now) for held in usable)
        return speeds[int(len(speeds) * GOOD_SPEED_QUANTILE)] if speeds else 1.0

    def attainable_speed_for(self, job: Job, now: float, *, fastest: float) -> float:
        """Return the speed that a job may expect, near its data or elsewhere.

        `fastest` is `attainable_speed`, which takes long to find anew for each job.
        """
        if job.request.locality is None:
            return fastest
        return locations.attainable_speed(job, self._held_by_id.values(), now, fastest=fastest)

    def load(self, jobs: Iterable[Job], now: float) -> PoolLoad:
        """Return the load figures for other entry processes, with `jobs` unanswered."""
        eligible = [
            held
            for held in self._held_by_id.values()
            if held.is_eligible(now) and not held.is_reserved
        ]
        typical_cpu = self._typical_cpu()
        return PoolLoad(
            backlog_s=self.backlog_s(jobs, now),
            free=sum(held.free(now).cpu // typical_cpu for held in eligible),
            capacity=sum(held.announcement.room.cpu // typical_cpu for held in eligible),
        )

    def backlog_s(self, jobs: Iterable[Job], now: float) -> float:
        """Return the predicted seconds until all waiting tasks of `jobs` have started."""
        typical_cpu = self._typical_cpu()
        rate = sum(
            held.announcement.room.cpu // typical_cpu * held.expected_speed(now)
            for held in self._held_by_id.values()
            if held.is_schedulable(now)
        )
        work_s = sum(self._startable_count(job) * job.mean_task_s for job in jobs)
        return work_s / max(rate, 1.0)

    def throughput(self, now: float, *, service: str | None = None) -> float:
        """Return the work that can be done per second, in thousandths of a core at speed 1.

        With `service`, only its backend servers count.
        """
        return USABLE_SHARE * sum(
            held.announcement.room.cpu * held.expected_speed(now)
            for held in self._held_by_id.values()
            if held.is_schedulable(now) and service in (None, held.announcement.service)
        )

    def slots(self, service: str, now: float) -> forecast.SlotForecast:
        """Return a forecast of the slots on the backend servers of a service."""
        schedulable = [
            held
            for held in self._held_by_id.values()
            if held.announcement.service == service and held.is_schedulable(now)
        ]
        return forecast.SlotForecast(schedulable, self._typical_cpu(), now)

    def waits_for_resources(self, job: Job) -> bool:
        """Return whether all waiting tasks of a job could start if resources were free."""
        return all(map(self._may_start, job.waiting_tasks()))

    def forecast(self, job: Job, jobs: Iterable[Job], now: float) -> tuple[float, float]:
        """Return the predicted wait and run time in seconds of a job that competes with `jobs`."""
        fastest = self.attainable_speed(now)
        run_s = job.longest_task_s / self.attainable_speed_for(job, now, fastest=fastest)
        schedulable = [
            held
            for held in self._held_by_id.values()
            if held.can_run(job.request) and held.is_schedulable(now)
        ]
        if not schedulable:
            # Backend servers that were just acquired answer soon, or others run the jobs.
            return ACQUISITION_WAIT_S, run_s
        key = joborder.order_key(job, now, fastest)
        ahead = [
            (count, other.mean_task_s)
            for other in jobs
            if (count := self._startable_count(other))
            and joborder.order_key(other, now, fastest) <= key
        ]
        if job.request.locality is not None:
            return self._forecast_near_or_elsewhere(job, schedulable, ahead, now, run_s)
        cpu = job.request.room.cpu
        if not ahead and forecast.free_slots(schedulable, cpu, now) >= job.request.count:
            return 0.0, run_s
        slots = forecast.SlotForecast(schedulable, cpu, now)
        wait_s = slots.predict_end(job, ahead) - now - run_s
        return max(wait_s, 0.0), run_s

    def _forecast_near_or_elsewhere(
        self,
        job: Job,
        backends: list[HeldBackend],
        ahead: list[tuple[int, float]],
        now: float,
        run_s: float,
    ) -> tuple[float, float]:
        """Forecast a job whose tasks each go where they end first, near their data or elsewhere."""
        factor_of = locations.factors(job, backends, now)
        slots = forecast.SlotForecast(backends, job.request.room.cpu, now, factor_of)
        has_free_room = not ahead and slots.free_count() >= job.request.count
        took_s = slots.predict_end(job, ahead) - now
        if has_free_room:
            return 0.0, max(took_s, run_s)
        return max(took_s - run_s, 0.0), run_s

    def _startable_count(self, job: Job) -> int:
        return sum(map(self._may_start, job.waiting_tasks()))

    def can_meet_deadline(self, job: Job, now: float, *, fastest: float) -> bool:
        """Return whether the waiting tasks of a job can still end before its deadline.

        `fastest` is as for `attainable_speed_for`.
        """
        share = admission.STARTED_OPTIMISTIC_SHARE if job.started else admission.OPTIMISTIC_SHARE
        run_s = job.longest_task_s / self.attainable_speed_for(job, now, fastest=fastest)
        return now + share * run_s <= job.deadline_at

    def learn_from(self, job: Job) -> None:
        """Update run times and speeds from all runs of a job at once, unfinished ones included.

        The tasks of a job need about the same work. Comparing each run only with those that ended
        before it would make every backend server look slow, because runs that end late took
        longer than average. Leaving out runs that get stopped would make slow backend servers
        look fast. Runs on cold backend servers show only how slow these are.
        """
        runs = _warm(_timed_runs(job))
        self._learn_slowdown(job, runs)
        work_logs = [_work_log(run, took_s) for run, took_s in runs]
        total = sum(work_logs)
        for (run, took_s), work_log in zip(runs, work_logs, strict=True):
            others = len(work_logs) - 1
            expected_s = math.exp((total - work_log) / others) if others else job.estimate_s
            run.backend.speed.observe(expected_s, took_s / run.remote_factor, same_job=others > 0)
            self.run_times.observe(job.request.kind, job.request.estimate_s, math.exp(work_log))
        self._normalise_speeds()

    def _learn_slowdown(self, job: Job, warm: list[tuple[Run, float]]) -> None:
        work_logs = [_work_log(run, took_s) for run, took_s in warm]
        expected_s = math.exp(statistics.fmean(work_logs)) if work_logs else job.estimate_s
        for run, took_s in _timed_runs(job):
            if run.cold_share:
                ratio = math.exp(_work_log(run, took_s)) / max(expected_s, 1e-3)
                self.slowdown.observe(run.cold_share, ratio, same_job=bool(warm))

    def refine_run_time(self, job: Job) -> None:
        """Replace the estimate of a job by the mean of its runs, which differ by only 15%."""
        runs = _warm(_timed_runs(job))
        work_logs = [_work_log(run, took_s) for run, took_s in runs]
        if work_logs:
            job.refined_s = math.exp(sum(work_logs) / len(work_logs))

    def learn_from_straggler(self, run: Run, predicted_s: float) -> None:
        """Update the speed of the backend server of a straggler before its job has ended."""
        others = [item for item in _warm(_timed_runs(run.task.job)) if item[0] is not run]
        if not others or run.cold_share:
            return
        work_logs = [
            math.log(took_s * other.backend.speed.value / other.remote_factor)
            for other, took_s in others
        ]
        expected_s = math.exp(sum(work_logs) / len(work_logs))
        run.backend.speed.observe(expected_s, predicted_s / run.remote_factor, same_job=True)
        self._normalise_speeds()

    def _normalise_speeds(self) -> None:
        """Rescale speeds and work so that the mean speed is 1.

        Run times determine only the ratio of work to speed. Without this, both would drift, and
        with them the latency objectives, which depend on work.
        """
        shift = mean_speed_log([held.speed.log for held in self._held_by_id.values()])
        for held in self._held_by_id.values():
            held.speed.shift(-shift)
        self.run_times.shift(-shift)

    def _typical_cpu(self) -> int:
        if self._mean_cpu:
            return max(int(SLOT_SHARE * self._mean_cpu), 1)
        rooms = [held.announcement.room.cpu for held in self._held_by_id.values()]
        return max(int(min(rooms, default=1) * DEFAULT_TASK_SHARE), 1)


def _work_log(run: Run, took_s: float) -> float:
    """Return the logarithm of the work that a run has shown, near its data and at speed 1."""
    return math.log(took_s * run.backend.speed.value / run.remote_factor)


def _warm(runs: list[tuple[Run, float]]) -> list[tuple[Run, float]]:
    return [item for item in runs if not item[0].cold_share]


def _timed_runs(job: Job) -> list[tuple[Run, float]]:
    """Return the runs of a job with their known or predicted run times in seconds."""
    runs = list(job.completed_runs)
    for run in job.active_runs():
        predicted_s = run.predicted_s()
        if predicted_s is not None:
            runs.append((run, predicted_s))
    return runs
