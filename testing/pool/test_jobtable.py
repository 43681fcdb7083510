"""Open and recently ended jobs."""

from __future__ import annotations

from pool_harness import make_job

from apricotpoint._pool.runs.job import Job
from apricotpoint._pool.runs.jobtable import ANSWER_RETENTION_S, JobTable
from apricotpoint._wire.pool import PoolAnswer


def close(table: JobTable, number: int) -> None:
    job = Job(make_job(number), "", 0.0, 0.1)
    table.add(job)
    job.close(PoolAnswer(1000), 0.0)
    table.close(job)


def test_a_job_that_was_submitted_again_does_not_keep_later_ones():
    """Guards against a table that grows because one renewed entry stops the removal of others."""
    now = 0.0
    table = JobTable(now=lambda: now)
    close(table, 1)
    close(table, 2)
    now = ANSWER_RETENTION_S - 1
    close(table, 1)
    now = ANSWER_RETENTION_S + 1
    table.expire()
    assert table.find(make_job(2).job_id) is None
    assert table.find(make_job(1).job_id) is not None
    now = 3 * ANSWER_RETENTION_S
    table.expire()
    assert not table.has_entries()
