"""What a scheduler expects of run times, speeds and waits."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

from apricotpoint._pool import admission, forecast, job_order
from apricotpoint._pool.held_backend import HeldBackend
from apricotpoint._pool.job import Job, Run
from apricotpoint._pool.learning import KindRunTimes, mean_speed_log
from apricotpoint._wire.pool import PoolJob, PoolLoad

# Expected time in seconds until a backend server that was taken over answers.
TAKEOVER_WAIT_S = 0.1
# Learned speeds scatter, so the largest one promises too much. At least a tenth of the
# backend servers are as fast as this one.
GOOD_SPEED_QUANTILE = 0.9
# Weight of a new job in the mean room of a task.
MEAN_CPU_WEIGHT = 0.05
# Before any job was seen, the room that a task usually takes is half of a backend server.
DEFAULT_TASK_SHARE = 0.5


class Estimates:
    """Run times of kinds and speeds of the held backend servers, and forecasts from them."""

    def __init__(self, held_by_id: Mapping[str, HeldBackend]) -> None:
        self.run_times = KindRunTimes()
        self._held_by_id = held_by_id
        self._mean_cpu = 0.0

    def run_time_s(self, request: PoolJob) -> float:
        """Return the expected run time of a task of a job at speed 1, in seconds."""
        return self.run_times.estimate_s(request.kind, request.estimate_s)

    def record_resources(self, request: PoolJob) -> None:
        """Count the room that a task of this job takes."""
        weight = MEAN_CPU_WEIGHT if self._mean_cpu else 1.0
        self._mean_cpu += (request.room.cpu - self._mean_cpu) * weight

    def speeds(self) -> dict[str, float]:
        """Return the learned speeds by backend server."""
        return {key: round(held.speed.value, 3) for key, held in self._held_by_id.items()}

    def attainable_speed(self) -> float:
        """Return the speed that a job can count on if it gets the better backend servers."""
        speeds = sorted(held.speed.value for held in self._held_by_id.values())
        return speeds[int(len(speeds) * GOOD_SPEED_QUANTILE)] if speeds else 1.0

    def load(self, jobs: Iterable[Job], now: float) -> PoolLoad:
        """Return the load for other entry processes."""
        usable = [held for held in self._held_by_id.values() if held.usable(now)]
        typical_cpu = self._typical_cpu()
        return PoolLoad(
            backlog_s=self.backlog_s(jobs, now),
            free=sum(held.free().cpu // typical_cpu for held in usable),
            capacity=sum(held.announcement.room.cpu // typical_cpu for held in usable),
        )

    def backlog_s(self, jobs: Iterable[Job], now: float) -> float:
        """Return the predicted time until everything that waits has started."""
        typical_cpu = self._typical_cpu()
        rate = sum(
            held.announcement.room.cpu // typical_cpu * held.speed.value
            for held in self._held_by_id.values()
            if held.is_schedulable(now)
        )
        work_s = sum(len(job.waiting()) * job.mean_task_s for job in jobs)
        return work_s / max(rate, 1.0)

    def forecast(self, job: Job, jobs: Iterable[Job], now: float) -> tuple[float, float]:
        """Return the predicted wait and run time in seconds of a job beside `jobs`."""
        fastest = self.attainable_speed()
        run_s = job.longest_task_s / fastest
        usable = [
            held
            for held in self._held_by_id.values()
            if held.serves(job.request) and held.is_schedulable(now)
        ]
        if not usable:
            # Backend servers that were just taken over answer soon, or others take the jobs.
            return TAKEOVER_WAIT_S, run_s
        key = job_order.order_key(job, now, fastest)
        ahead = [
            other
            for other in jobs
            if other.waiting() and job_order.order_key(other, now, fastest) <= key
        ]
        slots = forecast.SlotForecast(usable, self._typical_cpu(), now)
        if not ahead and slots.free_count() >= job.request.count:
            return 0.0, run_s
        wait_s = slots.predict_end(job, ahead) - now - run_s
        return max(wait_s, 0.0), run_s

    def can_meet_deadline(self, job: Job, now: float) -> bool:
        """Return whether tasks that have not started can still end before the deadline."""
        share = admission.STARTED_OPTIMISTIC_SHARE if job.started else admission.OPTIMISTIC_SHARE
        return now + share * job.longest_task_s / self.attainable_speed() <= job.deadline_at

    def learn_from(self, job: Job) -> None:
        """Learn from all runs of a job at once, also from those that are stopped.

        Tasks of one job take about the same work. Comparing each run only with
        those that ended before it would make every backend server look slow,
        because whatever ends late was, on average, unlucky. Leaving out runs
        that were stopped would make slow ones look fast.
        """
        runs = _timed_runs(job)
        works = [math.log(took_s * run.backend.speed.value) for run, took_s in runs]
        total = sum(works)
        for (run, took_s), work in zip(runs, works, strict=True):
            others = len(works) - 1
            expected_s = math.exp((total - work) / others) if others else job.estimate_s
            run.backend.speed.observe(expected_s, took_s, same_job=others > 0)
            self.run_times.observe(job.request.kind, job.request.estimate_s, math.exp(work))
        self._normalise_speeds()

    def refine_run_time(self, job: Job) -> None:
        """Take over the run time of a job's tasks from its runs, which differ by 15%."""
        works = [math.log(took_s * run.backend.speed.value) for run, took_s in _timed_runs(job)]
        if works:
            job.refined_s = math.exp(sum(works) / len(works))

    def learn_from_straggler(self, run: Run, predicted_s: float) -> None:
        """Learn at once from a run that takes far longer than others of its job."""
        others = [item for item in _timed_runs(run.task.job) if item[0] is not run]
        if not others:
            return
        works = [math.log(took_s * other.backend.speed.value) for other, took_s in others]
        expected_s = math.exp(sum(works) / len(works))
        run.backend.speed.observe(expected_s, predicted_s, same_job=True)
        self._normalise_speeds()

    def _normalise_speeds(self) -> None:
        """Keep the mean speed at 1.

        Run times alone tell only the ratio of work to speed. Without an anchor
        both drift, and with them the objectives, which depend on work.
        """
        shift = mean_speed_log([held.speed.log for held in self._held_by_id.values()])
        for held in self._held_by_id.values():
            held.speed.shift(-shift)
        self.run_times.shift(-shift)

    def _typical_cpu(self) -> int:
        if self._mean_cpu:
            return max(int(self._mean_cpu), 1)
        rooms = [held.announcement.room.cpu for held in self._held_by_id.values()]
        return max(int(min(rooms, default=1) * DEFAULT_TASK_SHARE), 1)


def _timed_runs(job: Job) -> list[tuple[Run, float]]:
    """Return the runs of a job whose run time is known or can be told, with this time."""
    runs = list(job.completed_runs)
    for run in job.active_runs():
        predicted_s = run.predicted_s()
        if predicted_s is not None:
            runs.append((run, predicted_s))
    return runs
