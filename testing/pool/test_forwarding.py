"""To which other holder a refused job goes."""

from __future__ import annotations

import math
import random

import anyio
import attrs
import pytest
from pool_cluster import Cluster, run_cluster
from pool_harness import make_job, run_on_virtual_time

from apricotpoint._core.codes import ResultCode
from apricotpoint._pool.decisions import forwarding
from apricotpoint._pool.decisions.forwarding import (
    MAX_FORWARDS,
    Holder,
    choose_holder,
    may_go_to_idle_holder,
    weigh_idle_holders,
)
from apricotpoint._pool.decisions.shares import BACKENDS_PER_CORE
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
            # By their last reports, e2 has more room than e3.
            for number in (1, 2):
                e3.scheduler.submit(make_job(number, work_s=0.9))
            await anyio.sleep(0.5)
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


def test_a_job_goes_once_to_a_holder_with_ample_room():
    """Guards against jobs that wander, and that several holders send to the same room."""
    assert may_go_to_idle_holder(REQUEST, 0.1)
    assert not may_go_to_idle_holder(REQUEST, 0.01)
    assert not may_go_to_idle_holder(attrs.evolve(REQUEST, refused_by=["e1"]), 0.1)
    assert not may_go_to_idle_holder(attrs.evolve(REQUEST, forwarded=True), 0.1)
    roomy = attrs.evolve(ROOMY, free=40)
    others = Holder("e2", roomy, 0.0), Holder("e3", ROOMY, 0.0), Holder("e4", roomy, math.inf)
    assert weigh_idle_holders(REQUEST, others) == {"e2": 40}
    # Reports of a domain that is cut off become old, and then count for nothing.
    assert weigh_idle_holders(REQUEST, [Holder("e2", roomy, 1.0)]) == {}


async def _offer_in_one_domain(cluster: Cluster, per_s: float, seconds: float) -> float:
    """Submit jobs of two tasks to e1 and return the share that was in time."""
    source, took_s = random.Random(1), list[float]()

    async def submit(number: int) -> None:
        began_at = anyio.current_time()
        job = make_job(number, count=2, work_s=0.2, deadline_s=1.5)
        answer = await cluster.entry_by_id["e1"].service.submit(job)
        is_complete = answer.code == ResultCode.COMPLETE
        took_s.append(anyio.current_time() - began_at if is_complete else math.inf)

    async with anyio.create_task_group() as group:
        for number in range(int(per_s * seconds)):
            await anyio.sleep(source.expovariate(per_s))
            group.start_soon(submit, number + 1)
    objective_s = 0.06 + 1.6 * 0.2
    return sum(one_s <= objective_s for one_s in took_s) / len(took_s)


@pytest.mark.parametrize("goes_to_idle", [True, False])
def test_jobs_of_a_crowded_domain_use_the_room_of_another(
    goes_to_idle: bool, monkeypatch: pytest.MonkeyPatch
):
    """Guards against jobs that wait, and become late, while another domain is idle."""
    if not goes_to_idle:
        monkeypatch.setattr(forwarding, "WORTHWHILE_WAIT_S", math.inf)
    backend_ids = [f"{domain}{number}" for domain in "ab" for number in range(1, 7)]

    async def test() -> None:
        cores = 6 / BACKENDS_PER_CORE
        domains = [("e1", "a"), ("e2", "b")]
        async with run_cluster(cores=cores, domains=domains, backend_ids=backend_ids) as cluster:
            # As much work as the home domain can do. With an idle neighbour, callers need not wait.
            in_time = await _offer_in_one_domain(cluster, per_s=30.0, seconds=15.0)
            assert (in_time >= 0.99) is goes_to_idle
            assert (cluster.entry_by_id["e1"].counters.get("jobs.forwarded_to_idle") > 0) is (
                goes_to_idle
            )

    run_on_virtual_time(test)
