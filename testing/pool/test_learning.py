"""Learned speeds and run times have no bias and no drift."""

from __future__ import annotations

import math
import random

import anyio
from pool_harness import FakeBackend, make_job, run_on_virtual_time, run_scheduler

from apricotpoint._pool.runs.learning import KindRunTimes


def test_the_estimate_lies_between_the_declared_time_and_the_mean_of_the_kind():
    """Guards against estimates that follow declared run times which are far off."""
    times = KindRunTimes()
    for _ in range(200):
        times.observe("check", 0.4, 0.2)
    assert math.isclose(times.estimate_s("check", 0.4), 0.2, rel_tol=0.01)
    assert 0.2 < times.estimate_s("check", 0.8) < 0.4
    assert times.estimate_s("other", 0.8) == 0.8


def test_learned_speeds_are_unbiased_when_the_runs_of_a_job_end_one_after_another():
    """Guards against learned speeds that sink because a run that ends last looks slow."""

    async def test() -> None:
        backends = [FakeBackend(work_s=0.06) for _ in range(4)]
        noise = random.Random(1)
        async with run_scheduler(*backends) as harness:
            for number in range(1, 60):
                for backend in backends:
                    backend.work_s = 0.06 * noise.uniform(0.7, 1.3)
                job = harness.scheduler.submit(make_job(number, count=8, work_s=0.06))
                await job.answered.wait()
                await anyio.sleep(0.01)
            speeds = [held.speed.value for held in harness.scheduler.held_by_id.values()]
            assert all(0.75 < speed < 1.3 for speed in speeds)
            assert 0.04 < harness.scheduler.estimates.run_times.estimate_s("check", 0.06) < 0.09

    run_on_virtual_time(test)


def test_a_low_speed_is_learned():
    """Guards against long tasks on a backend server that is not known to have half speed."""

    async def test() -> None:
        slow, *fast = [FakeBackend(speed=0.5), FakeBackend(), FakeBackend(), FakeBackend()]
        async with run_scheduler(slow, *fast) as harness:
            for number in range(1, 30):
                job = harness.scheduler.submit(make_job(number, count=8))
                await job.answered.wait()
            speed_by_id = {
                key: held.speed.value for key, held in harness.scheduler.held_by_id.items()
            }
            assert speed_by_id["w1"] < 0.7 * min(speed_by_id[key] for key in ("w2", "w3", "w4"))

    run_on_virtual_time(test)


def test_a_low_speed_is_learned_from_runs_that_are_stopped():
    """Guards against a slow backend server that looks fast as its stopped runs do not count."""

    async def test() -> None:
        slow, fast = FakeBackend(work_s=1.0, speed=0.3), FakeBackend(work_s=1.0)
        async with run_scheduler(slow, fast) as harness:
            for number in range(1, 12):
                job = harness.scheduler.submit(make_job(number, count=4, work_s=1.0))
                await job.answered.wait()
                await anyio.sleep(0.3)
            speed_by_id = harness.scheduler.estimates.speeds()
            assert speed_by_id["w1"] < 0.6 * speed_by_id["w2"]

    run_on_virtual_time(test)


def test_run_times_of_very_different_jobs_do_not_rescale_the_speeds():
    """Guards against speeds and run times that drift together until every job is refused."""

    async def test() -> None:
        backends = [FakeBackend(speed=speed) for speed in (0.6, 1.2, 1.2, 1.2)]
        noise = random.Random(2)
        async with run_scheduler(*backends) as harness:
            for number in range(1, 120):
                work_s = 0.2 * math.exp(noise.gauss(0, 0.4))
                for backend in backends:
                    backend.work_s = work_s
                declared_s = work_s * math.exp(noise.gauss(0, 0.4))
                job = harness.scheduler.submit(
                    make_job(number, count=8, work_s=declared_s, deadline_s=9.0), ""
                )
                await job.answered.wait()
                await anyio.sleep(0.01)
            assert 0.15 < harness.scheduler.estimates.run_times.estimate_s("check", 0.2) < 0.27
            assert harness.scheduler.refusal(make_job(999, count=2)) is None

    run_on_virtual_time(test)
