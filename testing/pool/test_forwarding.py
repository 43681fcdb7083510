"""To which other holder a refused job goes."""

from __future__ import annotations

import math

import anyio
import attrs
from pool_cluster import run_cluster
from pool_harness import make_job, run_on_virtual_time

from apricotpoint._core.codes import ResultCode
from apricotpoint._pool.decisions.forwarding import MAX_FORWARDS, Holder, choose_holder
from apricotpoint._wire.pool import PoolLoad

FULL = PoolLoad(backlog_s=0.5, free=0, capacity=60)
ROOMY = PoolLoad(backlog_s=0.0, free=20, capacity=60)
REQUEST = make_job(count=8)


def chosen_id(*others: Holder, refused_by: tuple[str, ...] = ()) -> str | None:
    request = attrs.evolve(REQUEST, refused_by=list(refused_by))
    choice = choose_holder(request, FULL, others)
    return None if choice is None else choice[0].entry_id


def test_an_old_report_counts_less():
    """Guards against jobs sent to a holder whose free room others have taken since its report."""
    old, recent = Holder("e2", ROOMY, 1.5), Holder("e3", attrs.evolve(ROOMY, free=12), 0.1)
    assert chosen_id(old, recent) == "e3"
    assert chosen_id(attrs.evolve(old, age_s=0.1), recent) == "e2"
    assert chosen_id(attrs.evolve(old, age_s=math.inf)) is None


def test_a_job_goes_to_a_second_holder_but_not_to_a_third():
    """Guards against a refusal while a third domain has room, and jobs that wander or return."""
    others = Holder("e2", ROOMY, 0.1), Holder("e3", ROOMY, 0.1), Holder("e4", ROOMY, 0.1)
    assert chosen_id(*others) == "e2"
    assert chosen_id(*others, refused_by=("e2",)) == "e3"
    assert MAX_FORWARDS == 2
    assert chosen_id(*others, refused_by=("e2", "e3")) is None


def test_a_job_stays_where_no_holder_can_start_it_sooner():
    """Guards against jobs that are sent from one full holder to the next."""
    assert chosen_id(Holder("e2", FULL, 0.0), Holder("e3", PoolLoad(0.0, 0, 0), 0.0)) is None


def test_a_job_is_served_in_the_second_domain_that_it_is_moved_to():
    """Guards against a refusal while a third domain has room, as reports were late by one burst."""

    async def test() -> None:
        domains = [("e1", "a"), ("e2", "b"), ("e3", "c")]
        backend_ids = ("a1", "a2", "b1", "b2", "c1", "c2")
        async with run_cluster(domains=domains, backend_ids=backend_ids) as cluster:
            e1, e2, e3 = (cluster.entry_by_id[key] for key in ("e1", "e2", "e3"))
            # By their last reports, e2 has more room than e3. Distant holders get a report each
            # 0.6 s; no job is submitted at the instant of one, as the order would be a chance.
            await anyio.sleep(0.25)
            for number in (1, 2):
                e3.scheduler.submit(make_job(number, work_s=0.9))
            await anyio.sleep(0.62)
            cluster.network.delay_by_pair["e2", "e1"] = 0.1
            for number, entry in enumerate([e1, e2] * 4, 3):
                entry.scheduler.submit(make_job(number, work_s=0.9))
            await anyio.sleep(0.005)
            answer = await e1.service.submit(make_job(99, count=2, work_s=0.2))
            assert answer.code == ResultCode.COMPLETE
            assert [entry.counters.get("jobs.forwarded") for entry in (e1, e2, e3)] == [1, 1, 0]

    run_on_virtual_time(test)


def test_a_job_that_is_refused_after_a_wait_is_served_in_another_domain():
    """Guards against a refusal while others have room, as runs took far longer than declared."""

    async def test() -> None:
        async with run_cluster(domains=[("e1", "a"), ("e2", "b")]) as cluster:
            e1 = cluster.entry_by_id["e1"]
            for backend_id in ("a1", "a2"):
                cluster.backend_by_id[backend_id].work_s = 1.45
            for number in range(1, 5):
                e1.scheduler.submit(make_job(number, work_s=0.1))
            await anyio.sleep(0.02)
            answer = await e1.service.submit(make_job(99, work_s=0.2))
            assert answer.code == ResultCode.COMPLETE
            assert e1.counters.get("jobs.forwarded_after_wait") == 1
            assert e1.counters.get("jobs.forwarded") == 0

    run_on_virtual_time(test)
