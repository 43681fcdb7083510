"""Review of waiting jobs, slots for tasks of scattered sizes, and the share served by size."""

from __future__ import annotations

from unittest.mock import patch

import attrs
import pytest
from pool_harness import (
    FakeBackend,
    make_announcement,
    make_job,
    on_virtual_time,
    run_scheduler,
)
from pool_load import (
    VAN_BACKENDS,
    VAN_MIX,
    VAN_SWING,
    JobCounts,
    credit_share,
    make_van_backends,
    replay,
)

from apricotpoint._pool.decisions import waiting
from apricotpoint._pool.decisions.forecast import SlotForecast
from apricotpoint._pool.estimates import Estimates
from apricotpoint._pool.runs.heldbackend import HeldBackend
from apricotpoint._pool.runs.job import Job, Run
from apricotpoint._pool.runs.learning import Speed
from apricotpoint._pool.runs.review import WaitReview
from apricotpoint._wire.pool import Room

SEEDS = (1, 2, 3)


def replay_van(seed: int, *, holder: int, load: float = 1.0) -> dict[str, JobCounts]:
    """Replay the part of the load that one holder of `holder` backend servers gets."""
    return replay(
        load=load * holder / VAN_BACKENDS,
        seconds=30.0,
        seed=seed,
        backends=make_van_backends(holder),
        mix=VAN_MIX,
        swing=VAN_SWING,
    )


def make_held(cpu: int, *used_until: tuple[int, float]) -> HeldBackend:
    """Return a backend server with runs of these sizes and ends."""
    held = HeldBackend(
        make_announcement(room=Room(cpu, 1000)), FakeBackend(), token=1, is_responsive=True
    )
    for number, (run_cpu, ends_at) in enumerate(used_until):
        job = waiting_job(number, sent_at=0.0, cpu=run_cpu)
        run = Run(job.tasks[0], 1, held, 1, sent_at=0.0, expected_s=ends_at)
        held.add(run, job.request.room)
    return held


def waiting_job(
    number: int, *, sent_at: float, work_s: float = 0.5, cpu: int = 14_000, count: int = 1
) -> Job:
    request = attrs.evolve(make_job(number, work_s=work_s, count=count), room=Room(cpu, 1))
    return Job(request=request, origin=None, arrived_at=sent_at, estimate_s=work_s)


@pytest.mark.parametrize(
    ("now", "busy_s", "arrival_ratio", "refused"),
    [
        # In time, though it waits.
        (0.1, 0.2, 0.5, False),
        # Late, and jobs in time take all that becomes free.
        (0.5, 0.2, 0.95, True),
        # Late, but little work arrives, so it ends in useful time.
        (0.5, 0.2, 0.3, False),
        # Late, but an idle moment serves it now.
        (0.8, 0.0, 0.95, False),
        # Late, and its caller has waited for so long that only a certain start helps.
        (0.8, 0.1, 0.7, True),
        # The same without work that could go ahead of it.
        (0.8, 0.1, 0.3, False),
    ],
)
def test_a_waiting_job_is_refused_when_it_will_not_be_served(
    *, now: float, busy_s: float, arrival_ratio: float, refused: bool
):
    """Guards against jobs held until their deadline in vain, and refusals beside free room."""
    job = waiting_job(9, sent_at=0.0)
    held = make_held(14_000, (14_000, now + busy_s)) if busy_s else make_held(14_000)
    selected = waiting.select_refused(
        [job], SlotForecast([held], 12_600, now), now, fastest=1.0, arrival_ratio=arrival_ratio
    )
    assert [refusal.job for refusal in selected] == [job] * refused


def test_no_job_is_refused_while_nothing_is_known_of_the_backend_servers():
    """Guards against refusals during a partition, when no backend server can be counted on."""
    job = waiting_job(1, sent_at=0.0)
    nothing = SlotForecast([], 14_000, 1.0)
    assert not list(waiting.select_refused([job], nothing, 1.0, fastest=1.0, arrival_ratio=2.0))


def test_a_job_does_not_wait_behind_the_jobs_of_another_service():
    """Guards against a refusal because of a queue for other backend servers."""
    now, busy, other = 0.1, make_held(14_000, (14_000, 9.0)), make_held(14_000, (14_000, 0.15))
    other.announcement = attrs.evolve(other.announcement, service="other")
    review = WaitReview(Estimates({"w1": busy, "w2": other}, lambda _: True))
    job = waiting_job(1, sent_at=0.0)
    job.request = attrs.evolve(job.request, service="other")
    queue = [waiting_job(number, sent_at=-0.01 * number) for number in range(2, 22)]
    refused = [refusal.job for refusal in review.refusals([*queue, job], now)]
    assert refused
    assert job not in refused


def test_slots_are_counted_by_the_room_that_runs_leave():
    """Guards against a task of 18 cores expected in the place of one of 14."""
    held = make_held(32_000, (14_000, 0.2), (17_000, 0.6))
    small, large = waiting_job(1, sent_at=0.0, work_s=0.1), waiting_job(2, sent_at=0.0, work_s=0.1)
    assert SlotForecast([held], 14_000, 0.0).predict_end(small, ()) == pytest.approx(0.3)
    assert SlotForecast([held], 18_000, 0.0).predict_end(large, ()) == pytest.approx(0.7)


def test_a_few_long_tasks_do_not_count_as_a_change_of_speed():
    """Guards against speeds that scatter by a factor of 60 where 3% of tasks take 7 times as long.

    Three such runs in a row are a change, of which the speed must be learned soon.
    """
    speed = Speed()
    for _ in range(20):
        speed.observe(0.2, 0.2, same_job=True)
    for _ in range(2):
        speed.observe(0.2, 1.4, same_job=True)
        speed.observe(0.2, 0.2, same_job=True)
    assert speed.value > 0.95
    for _ in range(5):
        speed.observe(0.2, 1.0, same_job=True)
    assert speed.value < 0.4


@pytest.mark.parametrize(("holder", "seeds", "least"), [(15, SEEDS, 0.80), (30, (1,), 0.85)])
def test_jobs_are_served_while_room_is_free(holder: int, seeds: tuple[int, ...], least: float):
    """Guards against refusals beside free room under the load of the van routing deployment.

    While single long tasks changed the learned speeds, the credit was 0.69 and 0.81.
    """
    credits = [credit_share(replay_van(seed, holder=holder)) for seed in seeds]
    assert sum(credits) / len(credits) > least


def test_under_lasting_overload_jobs_do_not_wait_in_vain():
    """Guards against late jobs that are held until their deadline, and slots that do not exist.

    The credit was 0.38 without the review and with slots of typical size, 0.44 without the
    review, and 0.47 with slots of typical size.
    """
    credits = [credit_share(replay(load=2.4, seed=seed)) for seed in SEEDS]
    assert sum(credits) / len(credits) > 0.48


def test_large_jobs_are_served_at_least_half_as_often_as_their_route():
    """Guards against an order of the queue or an admission that starves the largest jobs."""
    counts_by_seed = [replay_van(seed, holder=15, load=1.8) for seed in SEEDS]
    for kind in VAN_MIX:
        counts = [counts_by_kind[kind.name] for counts_by_kind in counts_by_seed]
        route = sum(item.served() for item in counts)
        assert sum(item.served(0.9, 1.0) for item in counts) >= 0.5 * route
        assert sum(item.served(0.7, 0.9) for item in counts) >= 0.5 * route


@on_virtual_time
async def test_the_speeds_are_compared_once_for_all_waiting_jobs():
    """Guards against processor time that grows with the backend servers times the waiting jobs."""
    async with run_scheduler(FakeBackend(work_s=1.0)) as harness:
        for number in range(40):
            harness.scheduler.submit(make_job(number, work_s=0.2, deadline_s=9.0, count=2))
        estimates = harness.scheduler.estimates
        with patch.object(estimates, "attainable_speed", wraps=estimates.attainable_speed) as calls:
            await harness.settle(0.1)
        # At most for the check, the review and the dispatch of each of five ticks.
        assert 0 < calls.call_count <= 20
