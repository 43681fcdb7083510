"""Attempts at jobs that one entry process has passed on, and those that have ended early."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from apricotpoint._wire.pool import PoolJob

# Longer than a cancellation takes to catch up with its job: messages that are older than about a
# second are not accepted, and a job that waits for an earlier submission looks for it.
CANCELLATION_RETENTION_S = 10.0


@attrs.frozen
class PassedOnJob:
    """A job that was passed on to `target`; this process waits for its answer."""

    request: PoolJob
    target: str


class Attempts:
    """Open attempts that were passed on, and those that were cancelled lately.

    A cancellation may arrive before its job, or while the job waits; therefore it is remembered.
    `now` returns monotonic seconds.
    """

    def __init__(self, *, now: Callable[[], float]) -> None:
        self._now = now
        self._passed_on_by_attempt: dict[int, PassedOnJob] = {}
        self._cancelled_at_by_attempt: dict[int, float] = {}

    def add(self, job: PassedOnJob) -> None:
        """Add a job that is passed on now."""
        self._passed_on_by_attempt[job.request.attempt] = job

    def remove(self, job: PassedOnJob) -> None:
        """Remove a job that has been answered or given up."""
        if self._passed_on_by_attempt.get(job.request.attempt) is job:
            del self._passed_on_by_attempt[job.request.attempt]

    def find(self, job_id: str, attempt: int = 0) -> list[PassedOnJob]:
        """Return the open attempts of a job that were passed on; 0 stands for all attempts."""
        return [
            job
            for job in self._passed_on_by_attempt.values()
            if job.request.job_id == job_id and attempt in (0, job.request.attempt)
        ]

    def record_cancellation(self, attempt: int) -> None:
        """Remember that an attempt must not start any more."""
        now = self._now()
        while self._cancelled_at_by_attempt:
            oldest = next(iter(self._cancelled_at_by_attempt))
            if now - self._cancelled_at_by_attempt[oldest] <= CANCELLATION_RETENTION_S:
                break
            del self._cancelled_at_by_attempt[oldest]
        if attempt:
            self._cancelled_at_by_attempt.setdefault(attempt, now)

    def is_cancelled(self, attempt: int) -> bool:
        """Return whether an attempt was cancelled within `CANCELLATION_RETENTION_S`."""
        return attempt in self._cancelled_at_by_attempt
