"""Periodic review of the waiting jobs of one scheduler, and the rate at which work arrives."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

from apricotpoint._pool.decisions import joborder, waiting
from apricotpoint._pool.decisions.waiting import Refusal
from apricotpoint._pool.estimates import Estimates
from apricotpoint._pool.runs.job import Job

# With 44 backend servers, a review takes 0.3 ms for 5 waiting jobs and 0.6 ms for 20, so this costs
# a holder about 1% of a core, and nothing while no job waits.
REVIEW_PERIOD_S = 0.06
# A job that has waited for less is not reviewed: it was found feasible on its arrival.
MIN_WAIT_S = 0.05
# Time constant of each of the two averages of the arrival rate. Load swings within 15 s. With one
# average, jobs that came at the same moment counted as work that keeps arriving.
ARRIVAL_WINDOW_S = 1.0


class WaitReview:
    """Decides from time to time which waiting jobs are refused.

    Times passed as `now` are monotonic seconds; work is in seconds at speed 1 times the
    thousandths of a core that it uses.
    """

    def __init__(self, estimates: Estimates) -> None:
        self._estimates = estimates
        self._next_at = -math.inf
        self._recent = 0.0
        self._sustained = 0.0
        self._decayed_at = 0.0

    def record_arrival(self, job: Job, now: float) -> None:
        """Count an accepted job as arrived work."""
        self._decay(now)
        self._recent += job.request.count * job.mean_task_s * job.request.room.cpu

    def arrival_rate(self, now: float) -> float:
        """Return the work that has arrived per second of late; a single burst counts little."""
        self._decay(now)
        return self._sustained / ARRIVAL_WINDOW_S

    def _decay(self, now: float) -> None:
        """Advance two exponential averages, of which the second follows the first."""
        passed = max(now - self._decayed_at, 0.0) / ARRIVAL_WINDOW_S
        decay = math.exp(-passed)
        self._sustained = (self._sustained + self._recent * passed) * decay
        self._recent *= decay
        self._decayed_at = now

    def refusals(self, jobs: Iterable[Job], now: float) -> Sequence[Refusal]:
        """Return the jobs to refuse now; none before `REVIEW_PERIOD_S` after the last review."""
        if now < self._next_at:
            return ()
        queue = [job for job in jobs if job.waiting_tasks()]
        if not any(not job.started and now - job.arrived_at >= MIN_WAIT_S for job in queue):
            return ()
        self._next_at = now + REVIEW_PERIOD_S
        fastest = self._estimates.attainable_speed(now)
        queue = [job for job in queue if self._estimates.waits_for_resources(job)]
        queue.sort(key=lambda job: joborder.order_key(job, now, fastest))
        arrival_ratio = self.arrival_rate(now) / max(self._estimates.throughput(now), 1.0)
        # Jobs of different services do not wait for each other.
        return [
            refusal
            for service in sorted({job.request.service for job in queue})
            for refusal in waiting.select_refused(
                [job for job in queue if job.request.service == service],
                self._estimates.slots(service, now),
                now,
                fastest=fastest,
                arrival_ratio=arrival_ratio,
            )
            if now - refusal.job.arrived_at >= MIN_WAIT_S
        ]
