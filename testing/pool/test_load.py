"""Replayed load on virtual time: lower bounds of the jobs in time and of the value earned."""

from __future__ import annotations

import pytest
from pool_harness import FakeBackend
from pool_load import MIX, JobCounts, complete_share, earned_share, make_backends, replay

# Loads relative to the data sheets of the deployments, of which a part is replayed: 0.6 is a
# quiet day, 1.0 a day with faults (three quarters of the resources), 1.2 one of high load without
# faults, 2.0 and 2.4 are bursts.
QUIET, USUAL, HIGH, OVERLOAD, PEAK = 0.6, 1.0, 1.2, 2.0, 2.4
# Backend servers and failure domains of a whole deployment; loads are for the 8 backend servers
# of one failure domain.
WHOLE, DOMAINS = 24, 3
# The users' target for a quiet day; it applies while the resources are enough for all work.
QUIET_TARGET = 0.95


def share(counts: JobCounts) -> float:
    return counts.earned_value / counts.offered_value


@pytest.mark.parametrize("load", [QUIET, USUAL])
def test_jobs_are_in_time_while_resources_are_sufficient(load: float):
    """Guards against long jobs on slow backend servers, and refusals while others are idle.

    While placement ignored deadlines, long jobs earned 0.82 of their value at a load of 1.0, and
    all jobs together 0.937.
    """
    counts_by_kind = replay(load=DOMAINS * load, backends=make_backends(WHOLE))
    assert complete_share(counts_by_kind) > 0.99
    assert earned_share(counts_by_kind) > QUIET_TARGET


@pytest.mark.parametrize("load", [USUAL, HIGH])
def test_a_single_holder_serves_more_than_one_for_each_failure_domain(load: float):
    """Guards against jobs with many tasks that wait in one domain while others are idle."""
    whole = replay(load=DOMAINS * load, backends=make_backends(WHOLE))
    assert earned_share(whole) > earned_share(replay(load=load))
    assert complete_share(whole) > complete_share(replay(load=load))


def test_jobs_are_accepted_under_high_load():
    """Guards against refusals while resources are free, as by forecasts from the mean backlog."""
    counts_by_kind = replay(load=HIGH)
    assert complete_share(counts_by_kind) > 0.9
    assert earned_share(counts_by_kind) > 0.75


@pytest.mark.parametrize("load", [OVERLOAD, PEAK])
def test_under_overload_no_kind_of_job_starves(load: float):
    """Guards against a job order that serves one kind of jobs at the cost of another."""
    counts_by_seed = [replay(load=load, seed=seed) for seed in (1, 2)]
    for kind in MIX:
        assert sum(share(counts[kind.name]) for counts in counts_by_seed) / 2 > 0.25


def test_under_overload_few_jobs_fail_at_their_deadline():
    """Guards against jobs that are accepted, wait until their deadline and then fail."""
    for counts in replay(load=OVERLOAD).values():
        assert counts.failed <= 0.2 * counts.submitted


def test_a_burst_of_one_kind_leaves_no_backlog():
    """Guards against a backlog that stays after a burst has ended."""
    burst = (MIX[0], MIX[1], type(MIX[2])("middle", 60.0, 2, 0.2, 0.01, 1))
    replay(load=1.0, seconds=4.0, mix=burst)
    healthy = replay(load=1.0, seconds=20.0)
    assert complete_share(healthy) > 0.9


def fail_fast(passed_s: float, backends: list[FakeBackend]) -> None:
    backends[1].fails = passed_s > 5.0


def stall(passed_s: float, backends: list[FakeBackend]) -> None:
    backends[1].stalls = passed_s > 5.0


def slow_down(passed_s: float, backends: list[FakeBackend]) -> None:
    backends[1].speed = backends[2].speed = 0.2 if 5.0 < passed_s < 12.0 else 1.2


def become_unreachable(passed_s: float, backends: list[FakeBackend]) -> None:
    backends[1].unreachable = backends[2].unreachable = 5.0 < passed_s < 9.0


@pytest.mark.parametrize("inject_faults", [fail_fast, stall, slow_down, become_unreachable])
def test_faulty_backend_servers_cost_little_more_than_their_resources(inject_faults: object):
    """Guards against faulty or unreachable backend servers that still get their share of tasks."""
    healthy = replay(load=HIGH, backends=make_backends())
    faulty = replay(load=HIGH, backends=make_backends(), inject_faults=inject_faults)  # type: ignore[arg-type]
    # At most two of eight backend servers are faulty, for most of the time.
    assert complete_share(faulty) > 0.7 * complete_share(healthy)
