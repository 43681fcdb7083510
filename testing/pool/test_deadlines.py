"""Jobs whose callers wait longer than the time-out of their route."""

from __future__ import annotations

import anyio
import pytest
from pool_harness import FakeBackend, make_job, on_virtual_time, run_scheduler
from pool_load import VAN_BACKENDS, VAN_PATIENT_MIX, VAN_SWING, make_van_backends, replay

from apricotpoint._core.codes import ResultCode
from apricotpoint._pool.decisions.deadlines import MAX_DEADLINE_S, job_deadline_s

TIMEOUT_S = 1.5
# The largest tenth of the jobs of a route has to be served at least half as often as all of them.
LEAST_LARGEST_SHARE = 0.5


@on_virtual_time
async def test_a_job_is_not_stopped_at_the_time_out_while_its_caller_waits():
    """Guards against work that is thrown away, and answered 504, before its caller leaves."""
    async with run_scheduler(FakeBackend(work_s=2.2), FakeBackend(work_s=2.2)) as harness:
        request = make_job(count=4, work_s=2.0, deadline_s=job_deadline_s(9.0, TIMEOUT_S))
        assert harness.scheduler.refusal(request) is None
        job = harness.scheduler.submit(request)
        began_at = anyio.current_time()
        await job.answered.wait()
        assert job.answer is not None
        assert job.answer.code == ResultCode.COMPLETE
        assert anyio.current_time() - began_at < 2.4


@pytest.mark.parametrize(
    ("caller_s", "timeout_s", "expected_s"),
    [
        (None, 1.5, 1.5),
        (0.4, 1.5, 0.4),
        (9.0, 1.5, 9.0),
        # No task runs that long; bounds what a caller or an operator can occupy by mistake.
        (1e300, 1.5, MAX_DEADLINE_S),
        (None, 1e12, MAX_DEADLINE_S),
    ],
)
def test_the_caller_decides_how_long_it_waits(
    caller_s: float | None, timeout_s: float, expected_s: float
):
    """Guards against a limit of the route in place of that of the caller, and against none."""
    assert job_deadline_s(caller_s, timeout_s) == expected_s


def test_the_largest_jobs_of_a_route_are_served_while_their_callers_wait():
    """Guards against a time-out near the run time of the long jobs of a route.

    The load is that of a quiet day, on one holder of 30 backend servers.
    """
    holder = 30
    counts = replay(
        load=0.68 * holder / VAN_BACKENDS,
        seconds=30.0,
        backends=make_van_backends(holder),
        mix=VAN_PATIENT_MIX,
        swing=VAN_SWING,
    )["long"]
    largest, served = counts.served(0.9, 1.0, of_any=True), counts.served(of_any=True)
    assert largest >= LEAST_LARGEST_SHARE * served


@pytest.mark.parametrize(("work_s", "latest_s"), [(0.2, 1.6), (1.0, 4.1)])
@on_virtual_time
async def test_a_job_is_not_held_until_its_caller_leaves_while_no_task_can_start(
    work_s: float, latest_s: float
):
    """Guards against queues of jobs whose callers wait far longer than an answer is of use."""
    backends = [FakeBackend(), FakeBackend()]
    async with run_scheduler(*backends) as harness:
        for backend in backends:
            backend.unreachable = True
        await harness.settle(1.0)
        job = harness.scheduler.submit(make_job(work_s=work_s, deadline_s=600.0))
        began_at = anyio.current_time()
        with anyio.move_on_after(10.0):
            await job.answered.wait()
        assert anyio.current_time() - began_at <= latest_s
        assert job.answer is not None
        assert job.answer.code == ResultCode.OVERLOADED
        assert job.answer.retry_after_s > 0


@on_virtual_time
async def test_a_late_job_is_served_as_soon_as_backend_servers_answer_again():
    """Guards against a refusal shortly before another process has taken over."""
    backend = FakeBackend()
    async with run_scheduler(backend) as harness:
        backend.unreachable = True
        await harness.settle(1.0)
        job = harness.scheduler.submit(make_job(work_s=0.2, deadline_s=9.0))
        await harness.settle(1.2)
        backend.unreachable = False
        await job.answered.wait()
        assert job.answer is not None
        assert job.answer.code == ResultCode.COMPLETE
