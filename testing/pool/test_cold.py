"""Backend servers that are slow for some time after their start."""

from __future__ import annotations

import random

import anyio
import attrs
import pytest
from pool_harness import FakeBackend, make_announcement, make_job, on_virtual_time, run_scheduler
from test_relay import Relays, announcement, run_with_relays

from apricotpoint._pool.decisions import cold
from apricotpoint._pool.estimates import Estimates
from apricotpoint._pool.holders.roster import Roster
from apricotpoint._pool.holders.roster import digest as digest_of
from apricotpoint._pool.runs.coldbackends import ColdBackends, Slowdown
from apricotpoint._pool.runs.heldbackend import HeldBackend
from apricotpoint._pool.runs.job import Job, Run
from apricotpoint._pool.scheduler import Scheduler
from apricotpoint._wire.pool import BackendsHeard, PoolBackend, Room

COLD_S = 20.0
# Factor by which runs take longer at the beginning of a cold period, in the tests.
TRUE_SLOWDOWN = 4.0


def chill(scheduler: Scheduler, backend_id: str, remaining_s: float = COLD_S) -> None:
    """Announce that a held backend server is cold."""
    known = scheduler.held_by_id[backend_id].announcement
    sequence = known.sequence + 1
    scheduler.announce(attrs.evolve(known, sequence=sequence, cold_remaining_s=remaining_s))


def test_the_slowdown_is_learned_and_falls_to_one():
    """Guards against a wrong initial slowdown that stays, and one that outlasts the cold period."""
    source, first = random.Random(1), cold.INITIAL_SLOWDOWN
    for _ in range(200):
        share = source.uniform(0.1, 1.0)
        ratio = cold.slowdown(TRUE_SLOWDOWN, share) * source.uniform(0.85, 1.15)
        first = cold.learn(first, share, ratio, same_job=True)
    assert first == pytest.approx(TRUE_SLOWDOWN, rel=0.15)
    assert [cold.slowdown(3.0, share) for share in (1.0, 0.5, 0.0)] == [3.0, 2.0, 1.0]


@on_virtual_time
async def test_long_tasks_avoid_a_cold_backend_server_and_short_ones_use_it():
    """Guards against long jobs that are late on a cold backend server while a warm one is idle."""
    async with run_scheduler(FakeBackend(work_s=0.9), FakeBackend(work_s=0.9)) as harness:
        chill(harness.scheduler, "w1")
        long = harness.scheduler.submit(make_job(1, count=2, work_s=0.9, deadline_s=1.6))
        await anyio.sleep(0.05)
        assert [run.backend.backend_id for run in long.active_runs()] == ["w2", "w2"]
        await long.answered.wait()
        short = harness.scheduler.submit(make_job(2, work_s=0.1, base_latency_s=0.5))
        await anyio.sleep(0.05)
        assert [run.backend.backend_id for run in short.active_runs()] == ["w1"]


@on_virtual_time
async def test_runs_on_a_cold_backend_server_do_not_change_its_learned_speed():
    """Guards against a backend server that counts as slow long after it has become warm."""
    cold_backend = FakeBackend(work_s=0.1, speed=1 / TRUE_SLOWDOWN)
    async with run_scheduler(cold_backend, FakeBackend(work_s=0.1)) as harness:
        scheduler = harness.scheduler
        for number in range(1, 31):
            chill(scheduler, "w1")
            fields = {"count": 4, "work_s": 0.1, "base_latency_s": 2.0, "deadline_s": 9.0}
            await scheduler.submit(make_job(number, **fields)).answered.wait()
        speeds, now = scheduler.estimates.speeds(), anyio.current_time()
        assert speeds["w1"] == pytest.approx(speeds["w2"], rel=0.1)
        held = scheduler.held_by_id["w1"]
        assert held.slowdown(now) == pytest.approx(TRUE_SLOWDOWN, rel=0.25)
        assert held.expected_speed(now + COLD_S) == held.speed.value
        chill(scheduler, "w1", 0.0)
        assert held.expected_speed(now) == held.speed.value


def test_runs_far_from_their_data_do_not_change_the_slowdown():
    """Guards against a slowdown that grows by the penalty of another location."""
    estimates = Estimates({}, lambda _: True)
    held = HeldBackend(make_announcement(location="q"), FakeBackend(), 1)
    for number in range(20):
        job = Job(make_job(number), None, arrived_at=0.0, estimate_s=0.2)
        run = Run(job.tasks[0], 1, held, 1, 0.0, 1.2, cold_share=1.0, remote_factor=3.0)
        job.completed_runs.append((run, 0.2 * cold.INITIAL_SLOWDOWN * run.remote_factor))
        estimates.learn_from(job)
    assert estimates.slowdown.value == pytest.approx(cold.INITIAL_SLOWDOWN)


def test_the_time_left_counts_from_the_arrival_of_the_announcement():
    """Guards against a warm backend server that a new holder takes for cold."""
    now = 100.0
    backends = ColdBackends(now=lambda: now, slowdown=Slowdown())
    backends.record(attrs.evolve(make_announcement("w1"), cold_remaining_s=10.0))
    now = 105.0
    warmth = backends.warmth("w1")
    assert warmth is not None
    assert warmth.factor(now) == pytest.approx(1.5)
    now = 110.0
    assert backends.warmth("w1") is None
    # Another incarnation has a period of its own.
    backends.record(attrs.evolve(make_announcement("w1"), born_ms=7, cold_remaining_s=2.0))
    warmth = backends.warmth("w1")
    assert warmth is not None
    assert warmth.share(now) == 1.0


def test_a_countdown_is_relayed_once_and_named_as_of_now():
    """Guards against a message to hundreds of processes for each heartbeat of a cold server."""

    async def check(relays: Relays) -> None:
        first, second = relays.relay_by_id.values()
        await relays.greet("c1")
        for sequence in range(1, 41):
            # Every other heartbeat is late by 0.3 s.
            remaining_s = 8.0 - 0.15 * sequence + 0.3 * (sequence % 2)
            first.announce(attrs.evolve(announcement(sequence), cold_remaining_s=remaining_s))
            await anyio.sleep(0.15)
        assert sum(len(message.heard) for message in relays.received) == 1
        # The other control process has heard of it once, 6 s ago.
        (known,) = (await relays.greet("c2", needs_backends=True)).backends
        assert known.cold_remaining_s == pytest.approx(2.0, abs=0.5)
        second.announce(attrs.evolve(announcement(50), cold_remaining_s=0.0))
        await anyio.sleep(0.1)
        assert [item.cold_remaining_s for item in relays.received[-1].heard] == [0.0]
        (known,) = (await relays.greet("c2", needs_backends=True)).backends
        assert known.cold_remaining_s == 0.0

    run_with_relays(check)


def test_a_frozen_countdown_is_a_change_and_the_digest_has_none():
    """Guards against differences that add up unnoticed, and changes that each heartbeat reports."""
    now = 0.0
    roster = Roster(now=lambda: now)
    roster.update(BackendsHeard([attrs.evolve(announcement(1), cold_remaining_s=9.0)]))
    repeated = []
    for sequence in range(2, 6):
        now += 0.2
        item = attrs.evolve(announcement(sequence), cold_remaining_s=9.0)
        repeated.append(roster.is_repetition(item))
        roster.update(BackendsHeard([item]))
    assert repeated == [True, True, False, True]
    assert digest_of(announcement(1)) == digest_of(item)
    # As computed by the release before cold backend servers.
    room = Room(1, 2, 3)
    former = PoolBackend("w", "s", "a:1", "d", room, ["x", "y"], leaving=True, sequence=7)
    assert digest_of(attrs.evolve(former, born_ms=99)) == 1024343894
