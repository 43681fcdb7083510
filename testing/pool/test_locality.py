"""Tasks that run faster in one location: waits, starts elsewhere, forecasts and learning."""

from __future__ import annotations

import random
from unittest.mock import Mock

import attrs
import logbook
import pytest
from locality_load import LOADS, play_all
from pool_harness import (
    FakeBackend,
    make_announcement,
    make_job,
    run_on_virtual_time,
    run_scheduler,
)

from apricotpoint._core.codes import ResultCode
from apricotpoint._core.counters import Counters
from apricotpoint._pool.decisions import locations, nearholders
from apricotpoint._pool.decisions.cold import ColdPeriod
from apricotpoint._pool.decisions.locality import Choice, Objective, waiting_pays
from apricotpoint._pool.runs.coldbackends import Slowdown, Warmth
from apricotpoint._pool.runs.heldbackend import HeldBackend
from apricotpoint._pool.runs.job import Job, Run
from apricotpoint._pool.service import PoolService
from apricotpoint._wire.pool import EntryStatus, Locality, PoolJob, PoolLoad

NEAR_P = Locality("p", False, 3.0)


def local_job(
    number: int = 1, *, preference: Locality | None = NEAR_P, **options: object
) -> PoolJob:
    return attrs.evolve(make_job(number, **options), locality=preference)  # type: ignore[arg-type]


def make_choice(*, near_wait_s: float, factor: float = 3.0, **changes: float) -> Choice:
    objective = Objective(0.0, 0.06, 1.6, 1.5, work_s=changes.pop("work_s", 0.2), spread=0.3)
    choice = Choice(objective, near_wait_s, 0.3, 1.0, 1 / factor, factor, price=0.0, waited_s=0.0)
    return attrs.evolve(choice, **changes)


@pytest.mark.parametrize("load", LOADS)
def test_the_decision_is_close_to_the_best_fixed_rule_on_each_load(load: str):
    """Guards against a rule that fits one load only; without the decision, one load fails.

    Always starting elsewhere loses where waiting pays, always waiting where it does not.
    """
    seeds = (1, 2)
    credits = [play_all(load, rule, seeds).credit for rule in ("start now", "wait")]
    decided = play_all(load, "decision", seeds).credit
    assert decided >= max(credits) - 0.03
    assert decided >= min(credits) + 0.03


def test_the_decision_is_better_than_any_fixed_rule_if_waiting_pays_for_some():
    """Guards against one rule for jobs that lose little elsewhere and others that lose much."""
    load = "waiting pays for some"
    others = [play_all(load, rule).credit for rule in ("start now", "wait", "fixed wait")]
    assert play_all(load, "decision").credit > max(others) + 0.02


def test_a_crowd_uses_the_capacity_of_other_locations():
    """Guards against many tasks in line for one location while other capacity is free."""
    figures = play_all("crowd", "decision")
    assert figures.remote > 0.3
    assert figures.in_time > 0.9
    assert figures.refused < 0.05


@pytest.mark.parametrize(
    ("choice", "pays"),
    [
        # In time near after a short wait, late elsewhere.
        (make_choice(near_wait_s=0.05), True),
        # Late near as well by then.
        (make_choice(near_wait_s=0.5), False),
        # In time elsewhere: nothing is gained, unless others need what it occupies.
        (make_choice(near_wait_s=0.05, factor=1.3), False),
        (make_choice(near_wait_s=0.01, factor=1.3, price=1.0), True),
        # Missing the deadline elsewhere.
        (make_choice(near_wait_s=0.1, work_s=0.7), True),
        # No run there is predicted to end.
        (make_choice(near_wait_s=float("inf")), False),
    ],
)
def test_a_wait_pays_only_if_the_answer_is_worth_more(choice: Choice, pays: bool):
    """Guards against waits of a fixed length, and against starts that make a job late."""
    assert waiting_pays(choice) is pays


def test_a_job_that_is_late_everywhere_does_not_wait():
    """Guards against a wait from which nothing is left to gain."""
    choice = make_choice(near_wait_s=0.01, price=1.0)
    late = attrs.evolve(choice, objective=attrs.evolve(choice.objective, age_s=0.6))
    assert not waiting_pays(late)


async def _play_one_wait(
    work_s: float, busy_s: float, *, declared_s: float | None = None
) -> tuple[list[str], dict[str, float]]:
    near, far = FakeBackend(location="p"), FakeBackend(location="q")
    async with run_scheduler(near, far) as harness:
        for backend in (near, far):
            backend.location_by_job["f" * 16] = "p"
            backend.penalty_by_job["f" * 16] = 3.0
        for number in (1, 2):
            near.work_s_by_task[f"{number:016x}.0.0.0"] = busy_s
            harness.scheduler.submit(local_job(number, work_s=declared_s or busy_s))
        await harness.settle(0.01)
        near.work_s = far.work_s = work_s
        job = harness.scheduler.submit(local_job(int("f" * 16, 16), work_s=work_s))
        await job.answered.wait()
        assert job.answer is not None
        assert job.answer.code == ResultCode.COMPLETE
        name = f"{job.request.job_id}.0.0.0"
        places = [b.location for b in (near, far) if name in {key.task for key in b.starts}]
        return places, harness.counters.snapshot()


@pytest.mark.parametrize(("busy_s", "place"), [(0.08, "p"), (0.6, "q")])
def test_a_task_waits_for_its_location_only_for_a_short_time(busy_s: float, place: str):
    """Guards against counters that do not tell where tasks started and how long they waited."""

    async def test() -> None:
        places, counts = await _play_one_wait(0.2, busy_s)
        assert places == [place]
        assert counts["pool.starts_near"] == (3 if place == "p" else 2)
        assert counts.get("pool.starts_elsewhere", 0) == (place == "q")
        assert counts.get("pool.location_wait.count", 0) == (place == "p")

    run_on_virtual_time(test)


def test_a_wait_that_did_not_pay_is_counted_and_logged():
    """Guards against a wait for a run that never ends, and against a late job without a reason."""

    async def test() -> None:
        with logbook.TestHandler() as log:
            places, counts = await _play_one_wait(0.2, 1.2, declared_s=0.08)
        assert places == ["q"]
        assert counts["pool.location_waits_lost"] == 1
        assert 100 < counts["pool.location_wait.p50_ms"] < 400
        (line,) = [record.message for record in log.records if "for location" in record.message]
        assert "1 of 1 tasks have waited for location 'p', of which 0 have not started" in line

    run_on_virtual_time(test)


def test_a_group_stays_in_the_location_with_room_for_all():
    """Guards against a group that is split although one location has room for all its tasks."""

    async def test() -> None:
        fleet = [FakeBackend(location=location) for location in "pqq"]
        async with run_scheduler(*fleet) as harness:
            group = local_job(count=4, preference=Locality("", True, 3.0))
            job = harness.scheduler.submit(group)
            await job.answered.wait()
            assert [len(backend.starts) for backend in fleet] == [0, 2, 2]
            # Larger than any location: split, as waiting would make it late.
            group = local_job(2, count=6, preference=Locality("", True, 1.3))
            job = harness.scheduler.submit(group)
            await job.answered.wait()
            assert [len(backend.starts) for backend in fleet] == [2, 4, 4]

    run_on_virtual_time(test)


def test_a_location_that_is_not_held_is_not_waited_for_and_its_penalty_is_forecast():
    """Guards against waits for a location that never comes, and against forecasts without it."""

    async def test() -> None:
        async with run_scheduler(FakeBackend(location="q"), FakeBackend()) as harness:
            scheduler = harness.scheduler
            assert scheduler.refusal(local_job(preference=None)) is None
            refusal = scheduler.refusal(local_job(work_s=0.5))
            assert refusal is not None
            assert refusal.code == ResultCode.OVERLOADED
            assert "run time of 1.500 s" in refusal.reason
            mild = local_job(2, preference=Locality("p", False, 1.3))
            assert scheduler.refusal(mild) is None
            job = scheduler.submit(mild)
            await harness.settle(0.01)
            assert job.started
            # The objective is based on the work near the data.
            assert job.objective_s == pytest.approx(0.06 + 1.6 * 0.2)
            assert job.tasks[0].run is not None
            assert job.tasks[0].run.expected_s == pytest.approx(0.26)

    run_on_virtual_time(test)


def test_remote_runs_do_not_change_learned_speeds_and_run_times():
    """Guards against backend servers that look slow, and jobs that look long, by remote runs."""

    async def test() -> None:
        near, far = FakeBackend(location="q"), FakeBackend(location="q")
        async with run_scheduler(near, far) as harness:
            scheduler = harness.scheduler
            for number in range(1, 21):
                for backend in (near, far):
                    backend.location_by_job[f"{number:016x}"] = "p"
                    backend.penalty_by_job[f"{number:016x}"] = 1.5
                job = scheduler.submit(
                    local_job(number, count=2, preference=Locality("p", False, 1.5))
                )
                await job.answered.wait()
            assert scheduler.estimates.run_time_s(local_job()) == pytest.approx(0.2, rel=0.1)
            assert list(scheduler.estimates.speeds().values()) == pytest.approx([1, 1], abs=0.05)

    run_on_virtual_time(test)


def test_the_next_starts_follow_the_ends_that_make_room():
    """Guards against waits for a run whose end makes too little room."""
    held = HeldBackend(make_announcement(location="p"), FakeBackend(), 1, is_responsive=True)
    assert (held.location, make_announcement().location) == ("p", "")
    for number, ends_s in ((1, 0.3), (2, 0.1)):
        job = Job(make_job(number), None, 0.0, ends_s)
        held.add(Run(job.tasks[0], 1, held, 1, 0.0, ends_s), job.request.room)
    room = make_job().room
    assert locations.next_starts(held, room, 0.0) == pytest.approx([0.1, 0.3])
    large = attrs.evolve(room, cpu=24_000)
    assert locations.next_starts(held, large, 0.0) == pytest.approx([0.3])


def test_holders_in_the_location_of_the_data_go_first_while_they_have_room():
    """Guards against jobs that reach a holder without their location, and against a crowd there."""

    def status(held: str, free: int) -> EntryStatus:
        return EntryStatus("a", False, 1, {}, [held], PoolLoad(0.0, free, 4))

    locations_by_id = {"w1": "p", "w2": "q"}
    live = {"e1": status("w1", 1), "e2": status("w2", 4), "e3": status("w3", 4)}

    def choose(job: PoolJob) -> set[str]:
        return set(nearholders.prefer_near(job, live, lambda key: locations_by_id.get(key, "")))

    assert choose(local_job()) == {"e1"}
    assert choose(local_job(preference=None)) == choose(local_job(preference=Locality("", True, 2)))
    assert choose(local_job(preference=Locality("unknown", False, 3.0))) == set(live)
    live["e1"] = status("w1", 0)
    assert choose(local_job()) == set(live)


def test_holders_near_the_data_in_another_domain_share_its_jobs():
    """Guards against entry processes that all send the jobs of a location to the same holder."""

    def status(held: str, part: str) -> EntryStatus:
        return EntryStatus("b", False, 1, {part: 1}, [held], PoolLoad(0.0, 2, 4))

    live = {"e1": status("w1", "a#0"), "e2": status("w2", "b#0"), "e3": status("w2", "b#1")}
    members, scheduler = Mock(), Mock()
    members.entry_id = "e0"
    members.live_entries.return_value = live
    members.location_of = {"w1": "q", "w2": "p"}.__getitem__
    scheduler.evacuations.domains = frozenset()
    service = PoolService(
        own_domain="a",
        members=members,
        scheduler=scheduler,
        transport=Mock(),
        timers=Mock(),
        counters=Counters(),
        random=random.Random(1),
    )
    assert service.holder_choice(set(), local_job()).share_by_holder() == {"e2": 0.5, "e3": 0.5}
    assert service.holder_choice(set(), local_job(preference=None)).ids == ["e1"]


def test_a_task_waits_for_its_location_if_backend_servers_elsewhere_are_cold():
    """Guards against starts on a cold backend server elsewhere that make the job late."""
    near, far = (
        HeldBackend(make_announcement(key, location=place), FakeBackend(), 1, is_responsive=True)
        for key, place in (("w1", "p"), ("w2", "q"))
    )
    blocker = Job(make_job(1), None, 0.0, 0.1)
    near.add(Run(blocker.tasks[0], 1, near, 1, 0.0, 0.05), near.announcement.room)
    blocker.request = attrs.evolve(blocker.request, room=near.announcement.room)
    job = Job(local_job(2, preference=Locality("p", False, 1.3)), None, 0.0, 0.2)

    def start_elsewhere() -> bool:
        # Most of the other backend servers are cold as well.
        choices = locations.LocalityPass([near, *[far] * 20], 0.0, fastest=0.25)
        return choices.choose(job.tasks[0], [far]) is far

    assert start_elsewhere()
    far.warmth = Warmth(ColdPeriod(20.0, 20.0), Slowdown(4.0))
    assert not start_elsewhere()
