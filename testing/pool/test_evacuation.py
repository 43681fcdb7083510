"""Evacuated failure domains: what starts there, what becomes of jobs, and where others go."""

from __future__ import annotations

import math
import random
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import anyio
import attrs
import pytest
from pool_cluster import ALL_DOMAINS_CORES, ONE_DOMAIN_CORES, Cluster, FakeOrders, run_cluster
from pool_harness import FakeBackend, make_announcement, make_job, on_virtual_time, run_scheduler

from apricotpoint._core.codes import ResultCode
from apricotpoint._pool.decisions import evacuation
from apricotpoint._pool.decisions.evacuation import EVACUATION_GRACE_S
from apricotpoint._pool.decisions.verdicts import Evidence
from apricotpoint._pool.runs.health import Health
from apricotpoint._pool.runs.heldbackend import HeldBackend
from apricotpoint._pool.runs.job import Job
from apricotpoint._wire.pool import EntryStatus, EntrySummary, PoolJob, PoolLoad

DOMAINS = (("e1", "a"), ("e2", "a"), ("e3", "b"), ("e4", "c"))
BACKEND_IDS = ("a1", "a2", "b1", "b2", "c1", "c2")
# Time until entry processes have learned of an order.
PROPAGATION_S = 0.3
LOAD_PER_S = 34


@asynccontextmanager
async def run_with_orders(
    *, cores: float = ONE_DOMAIN_CORES, version: int = 1
) -> AsyncIterator[tuple[Cluster, FakeOrders]]:
    orders = FakeOrders(version=version)
    async with run_cluster(
        cores=cores, domains=DOMAINS, backend_ids=BACKEND_IDS, orders=orders
    ) as cluster:
        yield cluster, orders


def starts_in(cluster: Cluster, domain: str) -> int:
    return sum(len(cluster.backend_by_id[key].starts) for key in BACKEND_IDS if key[0] == domain)


async def submit_each(
    cluster: Cluster, entry_ids: list[str], first: int, **fields: float
) -> list[int]:
    """Submit a job to each entry process at once; return the codes of the answers."""
    codes: list[int] = []

    async def submit(entry_id: str, job: PoolJob) -> None:
        codes.append((await cluster.entry_by_id[entry_id].service.submit(job)).code)

    async with anyio.create_task_group() as group:
        for number, entry_id in enumerate(entry_ids, first):
            group.start_soon(submit, entry_id, make_job(number, **fields))
    return codes


def test_a_task_starts_in_an_evacuated_domain_only_in_the_grace_period():
    """Guards against starts of new jobs there, and late ones, as of a process that was cut off."""
    assert evacuation.may_start(None, 10.0, job_started=False)
    assert not evacuation.may_start(10.0, 9.9, job_started=False)
    held = HeldBackend(make_announcement(), FakeBackend(), token=1, is_responsive=True)
    held.starts_end_at = 10.0
    assert [held.can_start(make_job(), now) for now in (9.9, 10.0)] == [True, False]
    assert not held.is_schedulable(9.9)
    graces_s = [evacuation.grace_s(age_s, 5.0) for age_s in (0, 2, 3.4, 6, math.inf)]
    assert graces_s == pytest.approx([EVACUATION_GRACE_S, EVACUATION_GRACE_S, 0.5, 0, 0])


def test_holders_of_evacuated_domains_only_are_left_out():
    """Guards against jobs that are sent to a holder which returns them."""
    parts_by_id = {"e1": ["a"], "e2": ["a#1"], "e3": ["a", "b"], "e4": ["c"]}
    status_by_id = {
        key: EntryStatus("a", False, 1, dict.fromkeys(parts, 1), ["w1"], PoolLoad(0.0, 1, 1))
        for key, parts in parts_by_id.items()
    }
    assert list(evacuation.usable_holders(status_by_id, {"a"})) == ["e3", "e4"]
    assert evacuation.usable_holders(status_by_id, ()) == status_by_id
    summaries = {key: EntrySummary(key, key[0], 1.0, 0.0) for key in ("a1", "b1")}
    assert evacuation.prefer_usable(summaries, {"a"}) == ["b1"]
    assert evacuation.prefer_usable(summaries, {"a", "b"}) == ["a1", "b1"]


@on_virtual_time
async def test_a_waiting_job_is_returned_at_once_and_a_started_one_ends_with_the_grace_period():
    """Guards against jobs that wait in an evacuated domain until their deadline."""
    # Two tasks fit, and each takes longer than the grace period.
    async with run_scheduler(FakeBackend(work_s=2.0)) as harness:
        scheduler = harness.scheduler
        started = scheduler.submit(make_job(1, count=3, work_s=0.9, deadline_s=9.0))
        await anyio.sleep(0.1)
        waiting = scheduler.submit(make_job(2, work_s=0.9, deadline_s=9.0))
        await anyio.sleep(0.1)
        assert (started.started, waiting.started) == (True, False)
        scheduler.set_evacuated({"a"})
        refusal = scheduler.refusal(make_job(3))
        assert refusal is not None
        assert waiting.answer is not None
        assert waiting.answer.code == refusal.code == ResultCode.DRAINING
        assert scheduler.load().capacity == scheduler.load().free == 0
        await anyio.sleep(EVACUATION_GRACE_S - 0.05)
        assert started.answer is None
        await anyio.sleep(0.1)
        assert started.answer is not None
        assert started.answer.code == ResultCode.DEADLINE_AFTER_START
        assert len(harness.backend_by_id["w1"].starts) == 2
        assert harness.counters.get("pool.starts_withheld_evacuated") == 2
        assert harness.counters.snapshot()["pool.evacuated_domains"] == 1
        scheduler.set_evacuated(set())
        assert scheduler.refusal(make_job(4)) is None
        assert harness.counters.snapshot()["pool.evacuated_domains"] == 0


@pytest.mark.parametrize(("count", "work_s"), [(6, 0.3), (2, 2.5)])
@on_virtual_time
async def test_a_job_that_has_started_finishes_in_an_evacuated_domain(count: int, work_s: float):
    """Guards against the loss of finished work, and against running tasks that are stopped."""
    async with run_scheduler(FakeBackend(work_s=work_s)) as harness:
        request = make_job(1, count=count, work_s=work_s, deadline_s=9.0)
        job = harness.scheduler.submit(request)
        await anyio.sleep(0.1)
        assert harness.scheduler.set_evacuated({"a"})
        assert not harness.scheduler.set_evacuated({"a"})
        await job.answered.wait()
        assert job.answer is not None
        assert job.answer.code == ResultCode.COMPLETE


@on_virtual_time
async def test_a_trial_moves_away_from_an_evacuated_domain():
    """Guards against a task that waits for a backend server on which it may not start any more."""
    async with run_scheduler(FakeBackend(work_s=0.5), FakeBackend(work_s=0.6)) as harness:
        scheduler = harness.scheduler
        held, other = scheduler.held_by_id.values()
        scheduler.announce(attrs.evolve(other.announcement, failure_domain="b", sequence=2))
        for number in range(1, 5):
            scheduler.submit(make_job(number, work_s=0.5))
        await anyio.sleep(0.05)
        suspect = make_job(9, deadline_s=9.0)
        names, lost = [f"{suspect.job_id}.0.0.0"], make_announcement("lost")
        scheduler.crashes.record(lost, 0, names, Evidence.CRASHED, alone=False)
        job = scheduler.submit(suspect)
        await anyio.sleep(0.1)
        assert held.trial is job.tasks[0]
        scheduler.set_evacuated({"a"}, grace_s=0.0)
        await anyio.sleep(0.7)
        assert [run.backend for run in job.active_runs()] == [other]


@on_virtual_time
async def test_jobs_of_an_evacuated_domain_run_in_the_others():
    """Guards against callers of an evacuated domain that are refused while others have capacity."""
    async with run_with_orders() as (cluster, orders):
        near = [cluster.backend_by_id[key] for key in ("a1", "a2")]
        entry = cluster.entry_by_id["e1"]
        for backend in near:
            backend.work_s = 3.0
        async with anyio.create_task_group() as group:
            # The first takes all capacity of the domain, the second waits there. Forwarded ones
            # are not sent to another holder instead.
            for number in (1, 2):
                job = make_job(number, count=4, work_s=3.0, deadline_s=20.0, base_latency_s=9.0)
                group.start_soon(entry.service.submit, attrs.evolve(job, forwarded=True))
                await anyio.sleep(0.05)
            assert starts_in(cluster, "b") + starts_in(cluster, "c") == 0
            orders.give("a", active=True)
            await anyio.sleep(PROPAGATION_S)
            assert starts_in(cluster, "b") + starts_in(cluster, "c") == 4
            group.cancel_scope.cancel()
        before = starts_in(cluster, "a")
        # The long jobs above count as arriving work, so late jobs would be refused for a while.
        await anyio.sleep(PROPAGATION_S + 5.0)
        # Processes there that hold nothing get the load of the others, too.
        assert {"e3", "e4"} <= cluster.entry_by_id["e2"].members.live_entries().keys()
        assert set(await submit_each(cluster, ["e1", "e2"] * 6, 10)) == {ResultCode.COMPLETE}
        assert starts_in(cluster, "a") == before
        assert entry.counters.get("pool.jobs_rerouted_evacuated") == 1
        assert min(starts_in(cluster, "b"), starts_in(cluster, "c")) >= 4
        assert entry.counters.get("jobs.routed_elsewhere_evacuated") >= 6
        orders.give("a", active=False)
        for backend in near:
            backend.work_s = 0.2
        await anyio.sleep(4.0)
        await submit_each(cluster, ["e1", "e2"], 30)
        assert starts_in(cluster, "a") == before + 2


@on_virtual_time
async def test_a_share_of_several_domains_keeps_its_other_backend_servers():
    """Guards against a holder that is left out because one of its domains is evacuated."""
    async with run_with_orders(cores=2 * ALL_DOMAINS_CORES) as (cluster, orders):
        orders.give("a", active=True)
        await anyio.sleep(PROPAGATION_S)
        # More than the other domains have room for, and some of it in the grace period.
        codes = await submit_each(cluster, ["e1", "e3", "e4"] * 4, 1, base_latency_s=1.0)
        assert set(codes) == {ResultCode.COMPLETE}
        assert starts_in(cluster, "a") == 0
        assert [len(held) for held in cluster.holders().values() if held] == [len(BACKEND_IDS)]


@on_virtual_time
async def test_a_process_that_was_cut_off_grants_no_grace_period_for_an_old_order():
    """Guards against starts long after an order by a process that hears of it after a cut."""
    async with run_with_orders() as (cluster, orders):
        for key in ("a1", "a2"):
            cluster.backend_by_id[key].work_s = 1.0
        # The domain is cut off, so its holder keeps its backend servers.
        cluster.partition("a")
        for entry_id in ("e1", "e2"):
            cluster.network.isolate(entry_id)
        orders.give("a", active=True)
        await anyio.sleep(6.0)
        scheduler = cluster.entry_by_id["e1"].scheduler
        assert cluster.entry_by_id["e1"].held() == ["a1", "a2"]
        assert not scheduler.evacuations.domains
        job = scheduler.submit(make_job(1, count=8, work_s=0.5, deadline_s=30.0))
        await anyio.sleep(0.1)
        assert job.started
        cluster.heal()
        with anyio.fail_after(5.0):
            await job.answered.wait()
        before = starts_in(cluster, "a")
        assert job.answer is not None
        # Another process may claim the domain in the moment in which the cut ends.
        assert job.answer.code in {ResultCode.DEADLINE_AFTER_START, ResultCode.BACKEND_LOST}
        await anyio.sleep(2.0)
        assert scheduler.evacuations.domains == {"a"}
        assert starts_in(cluster, "a") == before


@on_virtual_time
async def test_a_process_that_restarts_starts_nothing_before_it_knows_the_orders():
    """Guards against starts in an evacuated domain by a process that has not heard of the order."""
    async with run_with_orders() as (cluster, orders):
        orders.give("a", active=True)
        await anyio.sleep(PROPAGATION_S)
        for entry_id in ("e1", "e2"):
            cluster.entry_by_id[entry_id].kill()
            await cluster.restart(entry_id)
        assert cluster.entry_by_id["e1"].scheduler.evacuations.domains == {"a"}
        await anyio.sleep(3.0)
        assert set(await submit_each(cluster, ["e1", "e2"] * 2, 10)) == {ResultCode.COMPLETE}
        assert starts_in(cluster, "a") == 0


@on_virtual_time
async def test_no_task_starts_until_the_first_configuration_is_known():
    """Guards against starts by a process that cannot know which failure domains are evacuated."""
    async with run_with_orders(version=0) as (cluster, orders):
        job = cluster.entry_by_id["e1"].scheduler.submit(make_job(1, deadline_s=9.0))
        codes = await submit_each(cluster, ["e1", "e3"], 2)
        assert set(codes) <= {ResultCode.DRAINING, ResultCode.NO_BACKEND}
        assert job.answer is not None
        assert job.answer.code == ResultCode.DRAINING
        assert sum(starts_in(cluster, domain) for domain in "abc") == 0
        orders.give("b", active=True)
        await anyio.sleep(1.0)
        assert set(await submit_each(cluster, ["e1", "e3"], 10)) == {ResultCode.COMPLETE}
        assert starts_in(cluster, "b") == 0


class NoStarts(Health):
    """Withholds all starts, of which nothing but the dispatch knows."""

    def allows_start(self, now: float, running: int) -> bool:
        """Return that no task may start."""
        return False


def replay_orders(evacuate: Callable[[Cluster, FakeOrders], None]) -> tuple[float, int]:
    """Replay some seconds of short jobs, during which domain a is evacuated.

    Returns the share of jobs in time and the number of starts in the domain after the grace period.
    """
    in_time: list[bool] = []
    late_starts: list[int] = []
    late_from = 60 + int(LOAD_PER_S * (PROPAGATION_S + EVACUATION_GRACE_S))

    @on_virtual_time
    async def replay() -> None:
        source = random.Random(1)

        async def submit(cluster: Cluster, number: int) -> None:
            began_at = anyio.current_time()
            codes = await submit_each(cluster, [source.choice(["e1", "e2", "e3", "e4"])], number)
            took_s = anyio.current_time() - began_at
            in_time.append(codes == [ResultCode.COMPLETE] and took_s <= 0.06 + 1.6 * 0.2)

        async with run_with_orders() as (cluster, orders), anyio.create_task_group() as group:
            for number in range(1, 201):
                group.start_soon(submit, cluster, number)
                if number == 50:
                    evacuate(cluster, orders)
                if number >= late_from:
                    late_starts.append(starts_in(cluster, "a"))
                await anyio.sleep(source.expovariate(LOAD_PER_S))
            await anyio.sleep(2.0)

    replay()
    return sum(in_time) / len(in_time), late_starts[-1] - late_starts[0]


def test_an_evacuation_under_load_costs_no_more_than_the_lost_capacity():
    """Guards against jobs that are lost although the remaining domains could serve them.

    Two of the three domains have capacity for 40 jobs a second. "Without the decision" nothing
    starts in the domain either, but its jobs wait there.
    """

    def without_decision(cluster: Cluster, _: FakeOrders) -> None:
        for entry in cluster.entry_by_id.values():
            for backend_id, held in entry.scheduler.held_by_id.items():
                if backend_id[0] == "a":
                    held.health = NoStarts()

    undisturbed, undisturbed_starts = replay_orders(lambda *_: None)
    evacuated, late_starts = replay_orders(lambda _, orders: orders.give("a", active=True))
    without, _ = replay_orders(without_decision)
    assert undisturbed_starts > 0
    assert late_starts == 0
    # Measured: 1.0, 0.94 and 0.705. The remaining capacity is enough but for bursts.
    assert evacuated > undisturbed - 0.1
    assert evacuated > without + 0.1


def test_jobs_are_not_reviewed_where_no_backend_server_is_evacuated():
    """Guards against a review of all waiting jobs at each tick of processes in other domains."""
    held = HeldBackend(make_announcement(), FakeBackend(), 1)
    jobs = iter([Job(make_job(), None, arrived_at=0.0, estimate_s=0.2)])
    assert not list(evacuation.decide(jobs, [held], 0.0))
    assert len(list(jobs)) == 1
