"""Load patterns replayed on virtual time: what callers get must not fall behind."""

from __future__ import annotations

import pytest
from pool_harness import FakeBackend
from pool_load import MIX, JobCounts, complete_share, earned_share, make_backends, replay

# Loads relative to the sheets of the deployments, of which a share is played: 0.6 is a quiet
# day, 1.0 a day with trouble (three quarters of the room), 1.2 one of high load without
# trouble, 2.0 and 2.4 are bursts.
QUIET, USUAL, HIGH, OVERLOAD, PEAK = 0.6, 1.0, 1.2, 2.0, 2.4
# Backend servers of a whole deployment; loads are for the 8 of a failure domain.
WHOLE, DOMAINS = 24, 3
# The users' target for a quiet day; it holds as long as there is room for all work.
QUIET_TARGET = 0.95


def share(counts: JobCounts) -> float:
    return counts.earned_value / counts.offered_value


@pytest.mark.parametrize("load", [QUIET, USUAL])
def test_jobs_are_in_time_as_long_as_there_is_room(load: float):
    """Guards against long jobs on slow backend servers, and refusals with others free.

    Before the deadline decided where a task starts, long jobs earned 0.82 at a load of 1.0
    and all together 0.937.
    """
    counts_by_kind = replay(load=DOMAINS * load, backends=make_backends(WHOLE))
    assert complete_share(counts_by_kind) > 0.99
    assert earned_share(counts_by_kind) > QUIET_TARGET


@pytest.mark.parametrize("load", [USUAL, HIGH])
def test_one_pool_serves_more_than_a_pool_for_each_failure_domain(load: float):
    """Guards against a holder for each failure domain, whose wide jobs wait beside free room."""
    whole = replay(load=DOMAINS * load, backends=make_backends(WHOLE))
    assert earned_share(whole) > earned_share(replay(load=load))
    assert complete_share(whole) > complete_share(replay(load=load))


def test_a_day_of_high_load_is_served():
    """Guards against refusals while there is room: a forecast from the mean backlog made them."""
    counts_by_kind = replay(load=HIGH)
    assert complete_share(counts_by_kind) > 0.9
    assert earned_share(counts_by_kind) > 0.75


@pytest.mark.parametrize("load", [OVERLOAD, PEAK])
def test_under_overload_no_kind_is_shut_out(load: float):
    """Guards against an order that serves one kind at the cost of another."""
    counts_by_seed = [replay(load=load, seed=seed) for seed in (1, 2)]
    for kind in MIX:
        assert sum(share(counts[kind.name]) for counts in counts_by_seed) / 2 > 0.25


def test_under_overload_nothing_waits_for_its_deadline_untried():
    """Guards against jobs that are held to the end and then refused."""
    for counts in replay(load=OVERLOAD).values():
        assert counts.failed <= 0.2 * counts.submitted


def test_a_burst_of_one_kind_is_over_when_it_ends():
    """Guards against a backlog that outlasts the burst."""
    burst = (MIX[0], MIX[1], type(MIX[2])("middle", 60.0, 2, 0.2, 0.01, 1))
    replay(load=1.0, seconds=4.0, mix=burst)
    healthy = replay(load=1.0, seconds=20.0)
    assert complete_share(healthy) > 0.9


def fail_fast(passed_s: float, backends: list[FakeBackend]) -> None:
    backends[1].fails = passed_s > 5.0


def hang(passed_s: float, backends: list[FakeBackend]) -> None:
    backends[1].stalls = passed_s > 5.0


def slow_down(passed_s: float, backends: list[FakeBackend]) -> None:
    backends[1].speed = backends[2].speed = 0.2 if 5.0 < passed_s < 12.0 else 1.2


def go_dark(passed_s: float, backends: list[FakeBackend]) -> None:
    backends[1].unreachable = backends[2].unreachable = 5.0 < passed_s < 9.0


@pytest.mark.parametrize("inject_faults", [fail_fast, hang, slow_down, go_dark])
def test_a_faulty_quarter_costs_little_more_than_its_room(inject_faults: object):
    """Guards against backend servers that fail, hang, slow down or vanish and keep their share."""
    healthy = replay(load=HIGH, backends=make_backends())
    faulty = replay(load=HIGH, backends=make_backends(), inject_faults=inject_faults)  # type: ignore[arg-type]
    # Two of eight are at fault for the larger part of the time, at most.
    assert complete_share(faulty) > 0.7 * complete_share(healthy)
