"""What the log says about the deadline and the size of a job."""

from __future__ import annotations

import attrs
import logbook
from pool_harness import FakeBackend, make_job, on_virtual_time, run_scheduler

from apricotpoint._pool.jobdescription import describe_job


def test_the_log_tells_who_set_the_deadline_of_a_job():
    """Guards against a limit of the route that cannot be told from one of the caller."""
    request = make_job(count=4, work_s=0.76, deadline_s=1.564)
    text = describe_job(attrs.evolve(request, caller_deadline_s=5.0, timeout_s=1.564))
    assert "deadline 1.564 s (caller 5 s, route 1.564 s)" in text
    assert "4 tasks of 14000 thousandths of a core and 0.760 s declared" in text
    assert "(caller none, route none)" in describe_job(request)
    assert "(caller 1e+300 s, route none)" in describe_job(
        attrs.evolve(request, caller_deadline_s=1e300)
    )


@on_virtual_time
async def test_a_job_that_ends_after_its_start_is_described_at_its_scheduler():
    """Guards against a failed job whose size and deadline no log line of its holder tells."""
    with logbook.TestHandler() as handler:
        async with run_scheduler(FakeBackend(work_s=9.0)) as harness:
            job = harness.scheduler.submit(make_job(count=2, deadline_s=0.4))
            await job.answered.wait()
    assert any(describe_job(job.request) in record.message for record in handler.records)
