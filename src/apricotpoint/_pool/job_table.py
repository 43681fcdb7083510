"""Jobs of one scheduler by id: those that are open and those that ended lately."""

from __future__ import annotations

from collections.abc import Callable

from apricotpoint._pool.job import Job, Task

# Answers are kept this long, in seconds, for a submission that is repeated.
ANSWER_RETENTION_S = 10.0


class JobTable:
    """Open and lately ended jobs, and the number of the last run of each of their tasks.

    A job is open until it is answered and none of its runs may be at work.
    """

    def __init__(self, *, now: Callable[[], float]) -> None:
        self._now = now
        self._open_by_id: dict[str, Job] = {}
        self._ended_by_id: dict[str, tuple[float, Job]] = {}
        self._last_run_by_task: dict[str, int] = {}

    def add(self, job: Job) -> None:
        """Open a job."""
        self._open_by_id[job.request.job_id] = job

    def find(self, job_id: str) -> Job | None:
        """Return a job that is open or has ended lately."""
        job = self._open_by_id.get(job_id)
        if job is None and job_id in self._ended_by_id:
            job = self._ended_by_id[job_id][1]
        return job

    def unanswered(self) -> list[Job]:
        """Return the jobs that are not answered."""
        return [job for job in self._open_by_id.values() if job.answer is None]

    def is_empty(self) -> bool:
        """Return whether no job is open."""
        return not self._open_by_id

    def next_run(self, task: Task) -> int:
        """Return the number of the next run of a task; it rises over submissions of the job."""
        number = self._last_run_by_task.get(task.name, 0) + 1
        self._last_run_by_task[task.name] = number
        return number

    def close(self, job: Job) -> None:
        """Keep an answered job without runs for a submission that is repeated."""
        job_id = job.request.job_id
        if self._open_by_id.get(job_id) is job:
            del self._open_by_id[job_id]
            self._ended_by_id[job_id] = (self._now(), job)

    def expire(self) -> None:
        """Forget the jobs that ended longest ago."""
        now = self._now()
        for job_id, (ended_at, job) in list(self._ended_by_id.items()):
            if now - ended_at <= ANSWER_RETENTION_S:
                return
            del self._ended_by_id[job_id]
            if job_id not in self._open_by_id:
                for task in job.tasks:
                    self._last_run_by_task.pop(task.name, None)
