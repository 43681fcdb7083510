"""Fair shares of the routes of a service, and the order of the jobs that wait."""

from __future__ import annotations

import math

import attrs
import pytest
from pool_harness import FakeBackend, make_job, on_virtual_time, run_scheduler
from pool_load import (
    VAN_BACKENDS,
    VAN_JOB_TAIL_MIX,
    VAN_SWING,
    JobCounts,
    make_van_backends,
    replay,
)

from apricotpoint._pool.decisions import joborder
from apricotpoint._pool.decisions.deadlines import MAX_DEADLINE_S
from apricotpoint._pool.decisions.routeshares import fair_shares
from apricotpoint._pool.runs.job import Job
from apricotpoint._pool.runs.routedemand import RouteDemand
from apricotpoint._wire.pool import PoolJob, Room

SEEDS = (1, 2, 3, 4)
THROUGHPUT = 90_000.0


def replay_overload(seed: int, load: float) -> dict[str, JobCounts]:
    """Replay the part of the load that one holder of 15 backend servers gets."""
    holder = 15
    return replay(
        load=load * holder / VAN_BACKENDS,
        seconds=30.0,
        seed=seed,
        backends=make_van_backends(holder),
        mix=VAN_JOB_TAIL_MIX,
        swing=VAN_SWING,
    )


def mean(values: list[float]) -> float:
    return sum(values) / len(values)


def job_of(route: str, *, service: str = "order-desk") -> PoolJob:
    return attrs.evolve(make_job(1, kind=route), service=service)


def offer(demand: RouteDemand, rate_by_route: dict[str, float], *, until: float) -> None:
    """Have each route offer work at a constant rate, in ten jobs a second."""
    for step in range(int(until * 10)):
        for route, rate in rate_by_route.items():
            request, now = job_of(route), step / 10
            uses_share = not demand.exceeds_share(request, now)
            demand.record(request, rate / 10, now, uses_share=uses_share)


@pytest.mark.parametrize(
    ("offered_by_route", "throughput", "expected"),
    [
        ({"a": 10.0, "b": 20.0}, 50.0, {"a": 10.0, "b": 20.0}),
        # What the route leaves that offers little is divided among the others.
        ({"a": 10.0, "b": 50.0, "c": 90.0}, 90.0, {"a": 10.0, "b": 40.0, "c": 40.0}),
        ({"a": 50.0, "b": 50.0}, 60.0, {"a": 30.0, "b": 30.0}),
        ({"a": 50.0}, 0.0, {"a": 0.0}),
        ({"a": 50.0}, -1.0, {"a": 0.0}),
        ({}, 60.0, {}),
    ],
)
def test_a_route_gets_what_it_offers_up_to_an_equal_share(
    offered_by_route: dict[str, float], throughput: float, expected: dict[str, float]
):
    """Guards against a route that is cut although it offers less than an equal share."""
    assert fair_shares(offered_by_route, throughput) == expected


def test_only_the_route_that_offers_more_than_its_share_exceeds_it():
    """Guards against a burst of one route that is paid for by the others."""
    demand = RouteDemand(lambda *_: THROUGHPUT)
    offer(demand, {"quiet": 20_000.0, "burst": 140_000.0}, until=3.0)
    assert not demand.exceeds_share(job_of("quiet"), 3.0)
    exceeds = [demand.exceeds_share(job_of("burst"), 3.0)]
    for step in range(1, 40):
        now = 3.0 + step / 20
        exceeds.append(demand.exceeds_share(job_of("burst"), now))
        demand.record(job_of("burst"), 7_000.0, now, uses_share=not exceeds[-1])
        demand.record(job_of("quiet"), 1_000.0, now, uses_share=True)
    # It gets about 70,000 of the 140,000 per second that it offers.
    assert 0.35 <= mean(exceeds) <= 0.65


@pytest.mark.parametrize("throughput", [THROUGHPUT, 0.0, math.nan])
def test_no_route_is_limited_without_overload_or_known_throughput(throughput: float):
    """Guards against jobs put back where there is room, or while no backend server answers."""
    demand = RouteDemand(lambda *_: throughput)
    rate = 20_000.0 if throughput == THROUGHPUT else 500_000.0
    offer(demand, {"a": rate, "b": rate * 2}, until=3.0)
    assert not demand.exceeds_share(job_of("a"), 3.0)
    assert not demand.exceeds_share(job_of("b"), 3.0)
    assert not demand.exceeds_share(job_of("new"), 3.0)


def test_a_route_alone_is_not_limited_once_the_others_are_silent():
    """Guards against an order of the queue that changes where no route competes."""
    demand = RouteDemand(lambda *_: THROUGHPUT)
    offer(demand, {"former": 50_000.0}, until=1.0)
    for step in range(200):
        now = 1.0 + step / 10
        demand.record(job_of("alone"), 30_000.0, now, uses_share=True)
    assert not demand.exceeds_share(job_of("alone"), 21.0)
    assert not demand.exceeds_share(job_of("former"), 21.0)
    # Without any job for long, all are forgotten.
    assert not demand.exceeds_share(job_of("alone"), 1_000.0)


def test_routes_of_different_services_do_not_compete():
    """Guards against a share of backend servers that cannot run the jobs of a route."""
    demand = RouteDemand(lambda service, _: THROUGHPUT if service == "order-desk" else 1e9)
    offer(demand, {"a": 200_000.0, "b": 20_000.0}, until=2.0)
    other = job_of("a", service="other")
    demand.record(other, 200_000.0, 2.0, uses_share=True)
    assert demand.exceeds_share(job_of("a"), 2.0)
    assert not demand.exceeds_share(other, 2.0)


def test_a_route_is_no_longer_limited_once_its_burst_has_ended():
    """Guards against a route that pays for an earlier burst, also if the clock stands still."""
    demand = RouteDemand(lambda *_: THROUGHPUT)
    offer(demand, {"burst": 300_000.0, "other": 20_000.0}, until=3.0)
    assert demand.exceeds_share(job_of("burst"), 3.0)
    assert demand.exceeds_share(job_of("burst"), 2.9)
    assert not demand.exceeds_share(job_of("burst"), 6.0)


def test_under_overload_a_route_within_its_share_is_served_as_often_as_one_above_it():
    """Guards against long jobs that are refused after a wait behind those of a larger route.

    Without shares, 0.78 of the long and 0.79 of the middle jobs that can be served are, although
    the long ones offer half as much work.
    """
    counts = [replay_overload(seed, 2.2) for seed in SEEDS]
    long = mean([counts_by_kind["long"].served() for counts_by_kind in counts])
    middle = mean([counts_by_kind["middle"].served() for counts_by_kind in counts])
    assert long >= middle


def test_under_overload_the_largest_jobs_are_served_about_as_often_as_their_route():
    """Guards against long jobs that start when any error of their estimate makes them too late.

    About half of the largest tenth can be served at all, so that it is served half as often as the
    route only if those are served about as often as others. Without a margin in the order of the
    queue they are served 0.85 times as often.
    """
    counts = [replay_overload(seed, 2.0)["long"] for seed in SEEDS]
    largest = mean([item.served(0.9, 1.0) for item in counts])
    assert largest >= 0.9 * mean([item.served() for item in counts])


def make_waiting(
    work_s: float, *, number: int = 1, over_share: bool = False, started: bool = False
) -> Job:
    request = attrs.evolve(make_job(number, work_s=work_s, deadline_s=1.5), base_latency_s=0.06)
    return Job(
        request, None, arrived_at=0.0, estimate_s=work_s, over_share=over_share, started=started
    )


def test_a_job_within_the_share_of_its_route_goes_before_one_that_exceeds_it():
    """Guards against shares without effect, and against started jobs that lose their work."""
    within, over = make_waiting(0.2), make_waiting(0.1, over_share=True)
    late, started = make_waiting(0.01), make_waiting(0.2, over_share=True, started=True)
    jobs = sorted([late, over, within, started], key=lambda job: joborder.order_key(job, 0.1, 1.0))
    assert jobs == [started, within, over, late]


def test_a_job_that_an_error_of_its_estimate_would_make_too_late_goes_first():
    """Guards against a margin that counts for the objective only, which follows the run time."""
    long, middle = make_waiting(1.05), make_waiting(0.2)
    assert joborder.slack_s(middle, 0.0, 1.0) < joborder.slack_s(long, 0.0, 1.0)
    assert joborder.order_key(long, 0.0, 1.0) < joborder.order_key(middle, 0.0, 1.0)


@pytest.mark.parametrize("deadline_s", [1.0, MAX_DEADLINE_S])
@on_virtual_time
async def test_a_job_with_huge_figures_does_not_limit_its_route(deadline_s: float):
    """Guards against one odd job after which its route counts as offering too much for minutes."""
    async with run_scheduler(FakeBackend(work_s=0.1)) as harness:
        scheduler = harness.scheduler
        huge = make_job(1, kind="a", work_s=1e305, deadline_s=deadline_s)
        for odd in (huge, attrs.evolve(huge, room=Room(10**15, 1))):
            assert scheduler.refusal(odd) is not None
            scheduler.record_refused(odd)
        await harness.settle(10.0)
        scheduler.submit(make_job(2, kind="b", work_s=0.01))
        await harness.settle(0.1)
        room = Room(4_000, 1)
        jobs = [
            scheduler.submit(attrs.evolve(make_job(number, kind="a", work_s=0.5), room=room))
            for number in range(3, 9)
        ]
        # Less than half of what the backend server does in a second.
        assert not any(job.over_share for job in jobs)
