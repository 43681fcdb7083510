"""Rows of the tables `jobs` and `tasks` for operator queries."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from apricotpoint._jobs.job import Job, TaskState
from apricotpoint._jobs.table import KeyRecord


def job_row(record: KeyRecord, *, coordinator: str, now: float) -> dict[str, Any]:
    """Return the row of a key in the table `jobs`; `now` is monotonic time in seconds."""
    row: dict[str, Any] = {
        "team": record.team,
        "key": record.key,
        "coordinator": coordinator,
        "code": record.code,
        "state": "finished",
        "expires_at": record.expires_at,
    }
    job = record.job
    if job is None:
        return row
    row["state"] = _job_state(job)
    row["service"] = job.service
    row["age_s"] = now - job.created_at
    row["tasks"] = len(job.states)
    row.update({state.value: count for state, count in job.count_by_state.items()})
    return row


def task_rows(record: KeyRecord, *, coordinator: str) -> Iterator[dict[str, Any]]:
    """Yield the rows of an unfinished job in the table `tasks`, none for a finished job."""
    job = record.job
    if job is None:
        return
    for index, state in enumerate(job.states):
        yield {
            "team": record.team,
            "key": record.key,
            "index": index,
            "state": state.value,
            "attempt": job.attempts[index],
            "kind": job.specs[index].kind if job.specs else "",
            "service": job.service,
            "coordinator": coordinator,
        }


def _job_state(job: Job) -> str:
    if job.deadline_passed:
        return "late"
    if job.cancelled:
        return "cancelling"
    if job.claim_pending:
        return "claiming"
    return "running" if job.count_by_state[TaskState.PLACED] else "waiting"
