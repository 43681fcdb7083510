"""Jobs that take several times as long as expected end as soon as their progress shows it."""

from __future__ import annotations

import anyio
import attrs
import pytest
from pool_harness import FakeBackend, make_job, run_on_virtual_time, run_scheduler

from apricotpoint._core.codes import ResultCode
from apricotpoint._pool.decisions.overrun import Progress, cannot_meet_deadline
from apricotpoint._wire.pool import Locality

DEADLINE_S = 1.5


def report(backend_id: str, elapsed_s: float, percent: int, *, speed: float = 1.0) -> Progress:
    return Progress(backend_id, speed, elapsed_s, percent)


@pytest.mark.parametrize(
    ("reports", "task_count", "expected"),
    [
        # Two runs have done 3% in 0.2 s: they take at least 4.2 s.
        ([report("w1", 0.2, 3), report("w2", 0.2, 3)], 4, True),
        # One backend server alone may stand still.
        ([report("w1", 0.2, 3), report("w2", 0.2, 25)], 4, False),
        ([report("w1", 0.2, 3), report("w1", 0.2, 3)], 4, False),
        # 12% in 0.2 s may still be 1.3 s.
        ([report("w1", 0.2, 12), report("w2", 0.2, 12)], 4, False),
        # Too late on slow backend servers, but not on a fast one.
        ([report("w1", 0.2, 8, speed=0.5), report("w2", 0.2, 8, speed=0.5)], 4, False),
        ([report("w1", 0.2, 1)], 1, False),
        ([report("w1", 0.4, 6), report("w1", 0.4, 6)], 2, True),
        ([report("w1", 0.4, 6)], 1, True),
        ([], 4, False),
        ([report("w1", 0.2, -1), report("w2", 0.2, -1)], 4, True),
    ],
)
def test_progress_shows_that_a_job_cannot_meet_its_deadline(
    reports: list[Progress], task_count: int, expected: bool
):
    """Guards against an end by one slow backend server, and against a wait for exact progress."""
    remaining_s = DEADLINE_S - max((item.elapsed_s for item in reports), default=0.0)
    assert expected is cannot_meet_deadline(
        reports, task_count=task_count, remaining_s=remaining_s, fastest=1.0
    )


def test_resources_of_a_job_far_too_long_are_free_within_half_a_second():
    """Guards against long runs that keep others waiting until 25% of them is done.

    The rule for exact progress alone frees them after 1.4 s here.
    """

    async def test() -> None:
        backends = [FakeBackend(work_s=5.3) for _ in range(4)]
        async with run_scheduler(*backends) as harness:
            request = make_job(1, count=4, work_s=0.76, deadline_s=DEADLINE_S)
            job = harness.scheduler.submit(attrs.evolve(request, priority=2))
            began_at = anyio.current_time()
            await job.answered.wait()
            assert job.answer is not None
            assert job.answer.code == ResultCode.DEADLINE_AFTER_START
            assert anyio.current_time() - began_at < 0.5

    run_on_virtual_time(test)


def test_a_stalled_backend_server_does_not_end_a_job():
    """Guards against jobs that end because one of their backend servers stands still."""

    async def test() -> None:
        backends = [FakeBackend(work_s=0.4) for _ in range(4)]
        backends[0].stalls = True
        async with run_scheduler(*backends) as harness:
            job = harness.scheduler.submit(make_job(1, count=8, deadline_s=DEADLINE_S))
            await job.answered.wait()
            assert job.answer is not None
            assert job.answer.code == ResultCode.COMPLETE

    run_on_virtual_time(test)


def test_a_job_far_from_its_data_moves_instead_of_ending():
    """Guards against an end by progress that would be enough near the data of the job."""

    async def test() -> None:
        near, far = FakeBackend(location="p"), FakeBackend(location="q")
        async with run_scheduler(near, far) as harness:
            for number in (1, 2):
                near.work_s_by_task[f"{number:016x}.0.0.0"] = 0.3
                blocker = make_job(number, work_s=1.2, kind="other", deadline_s=9.0)
                locality = Locality("p", together=False, remote_factor=5.0)
                harness.scheduler.submit(attrs.evolve(blocker, locality=locality))
            await anyio.sleep(0.01)
            request = make_job(3, count=2, work_s=0.2, deadline_s=DEADLINE_S)
            near.work_s = far.work_s = 0.5
            for backend in (near, far):
                backend.location_by_job[request.job_id] = "p"
                backend.penalty_by_job[request.job_id] = 5.0
            job = harness.scheduler.submit(attrs.evolve(request, locality=locality))
            await job.answered.wait()
            assert far.remote_starts == 2
            assert job.answer is not None
            assert job.answer.code == ResultCode.COMPLETE

    run_on_virtual_time(test)
