"""Open and recently ended jobs of one scheduler by id."""

from __future__ import annotations

from collections.abc import Callable

from apricotpoint._pool.runs.job import Job, Task

# Answers are kept for this long, for callers that submit their job again.
ANSWER_RETENTION_S = 10.0


class JobTable:
    """Open and recently ended jobs, and the number of the last run of each of their tasks.

    A job is open until it is answered and none of its runs can be active any more. `now` returns
    monotonic seconds.
    """

    def __init__(self, *, now: Callable[[], float]) -> None:
        self._now = now
        self._open_by_id: dict[str, Job] = {}
        # Time at which each job was closed, and the job.
        self._ended_by_id: dict[str, tuple[float, Job]] = {}
        self._last_run_by_task: dict[str, int] = {}

    def add(self, job: Job) -> None:
        """Add an open job; it replaces an earlier one of the same id."""
        self._open_by_id[job.request.job_id] = job

    def find(self, job_id: str) -> Job | None:
        """Return an open or recently ended job, None if the id is unknown or has expired."""
        job = self._open_by_id.get(job_id)
        if job is None and job_id in self._ended_by_id:
            job = self._ended_by_id[job_id][1]
        return job

    def unanswered(self) -> list[Job]:
        """Return the open jobs that have no answer yet."""
        return [job for job in self._open_by_id.values() if job.answer is None]

    def is_empty(self) -> bool:
        """Return whether no job is open."""
        return not self._open_by_id

    def has_entries(self) -> bool:
        """Return whether any job is open or ended recently."""
        return bool(self._open_by_id or self._ended_by_id)

    def next_run(self, task: Task) -> int:
        """Return the next run number of a task; it rises over repeated submissions, too."""
        number = self._last_run_by_task.get(task.name, 0) + 1
        self._last_run_by_task[task.name] = number
        return number

    def close(self, job: Job) -> None:
        """Move an answered job without active runs from the open to the recently ended ones."""
        job_id = job.request.job_id
        if self._open_by_id.get(job_id) is job:
            del self._open_by_id[job_id]
            # A job that was submitted again moves to the end of the order.
            self._ended_by_id.pop(job_id, None)
            self._ended_by_id[job_id] = (self._now(), job)

    def expire(self) -> None:
        """Drop the jobs that ended more than `ANSWER_RETENTION_S` ago, with their run numbers."""
        now = self._now()
        for job_id, (ended_at, job) in list(self._ended_by_id.items()):
            if now - ended_at <= ANSWER_RETENTION_S:
                # Entries are in the order in which their jobs ended.
                return
            del self._ended_by_id[job_id]
            if job_id not in self._open_by_id:
                for task in job.tasks:
                    self._last_run_by_task.pop(task.name, None)
