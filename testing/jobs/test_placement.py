"""Placement by predicted finish with few batches, the other policies, and the job table."""

from __future__ import annotations

import random

import anyio
import attrs
import pytest
from jobs_fakes import FakeEntry, FakeSystem, load, request, run_scenario, submit_and_append

from apricotpoint._jobs.placement import (
    BackendSlots,
    HolderView,
    PendingTask,
    make_policies,
    place_by_predicted_finish,
)
from apricotpoint._jobs.table import JobTable, KeyRecord
from apricotpoint._wire.configuration import ServiceConfig
from apricotpoint._wire.jobs import Answer
from apricotpoint._wire.tasks import RunBatch, TaskSpec


def make_holder(
    name: str, *backends: tuple[float, int], local: bool = False, backlog_s: float = 0.0
):
    slots_of_backends = [
        BackendSlots.from_load(load(f"{name}{i}", slots=4, free=free, speed=speed))
        for i, (speed, free) in enumerate(backends)
    ]
    return HolderView(name, 1, local, slots_of_backends, backlog_s)


def make_tasks(*seconds: float):
    return [PendingTask(i, TaskSpec("cut"), s) for i, s in enumerate(seconds)]


@pytest.mark.parametrize(
    ("local", "remote", "expected"),
    [
        ((1.0, 4, 0.0), (1.05, 4, 0.0), "local"),
        ((1.0, 4, 0.0), (2.0, 4, 0.0), "remote"),
        ((1.0, 0, 9.0), (1.0, 4, 0.0), "remote"),
        ((1.0, 0, 9.0), (1.0, 0, 9.0), "local"),
    ],
)
def test_single_task_stays_local_unless_another_ends_clearly_earlier(
    local: tuple, remote: tuple, expected: str
):
    """Guards against a remote batch that saves less time than its messages cost."""
    holders = [
        make_holder("remote", remote[:2], backlog_s=remote[2]),
        make_holder("local", local[:2], local=True, backlog_s=local[2]),
    ]
    assert [
        item.holder.entry_id for item in place_by_predicted_finish(make_tasks(0.1), holders)
    ] == [expected]


def test_longest_task_gets_the_fastest_slot_and_full_holders_are_avoided():
    """Guards against a late finish of the longest task, and against freed slots left unused."""
    holders = [make_holder("a", (1.0, 2), local=True), make_holder("b", (3.0, 1), (0.5, 1))]
    placed = {
        item.index: item.holder.entry_id
        for item in place_by_predicted_finish(make_tasks(0.1, 0.9, 0.3), holders)
    }
    assert placed == {1: "b", 2: "a", 0: "a"}
    # A slot that was given back is found again.
    holders[1].remove_task("b0", 0.9)
    assert place_by_predicted_finish(make_tasks(0.9), holders)[0].holder.entry_id == "b"


def test_tasks_go_only_where_their_resources_exist():
    """Guards against placement on backend servers that lack the memory for a task."""
    small, large = make_holder("a", (1.0, 4), local=True), make_holder("b", (0.1, 0))
    for backend in large.backends:
        backend.memory_mb = 500_000
    task = PendingTask(0, TaskSpec("cut", memory_mb=200_000), 0.1)
    for place in make_policies(random.Random(5)).values():
        assert [item.holder.entry_id for item in place([task], [small, large])] == ["b"]
        assert place([task], [small]) == []


def test_all_policies_place_every_task_and_load_aware_ones_avoid_a_full_holder():
    """Guards against tasks omitted by a policy, and load-aware policies that ignore the load."""
    policies = make_policies(random.Random(5))
    share_by_name = {}
    for name, place in policies.items():
        holders = [make_holder("a", (1.0, 0), backlog_s=50.0), make_holder("b", *[(1.0, 4)] * 20)]
        placed = place(make_tasks(*[0.1] * 40), holders)
        assert sorted(item.index for item in placed) == list(range(40))
        share_by_name[name] = sum(item.holder.entry_id == "a" for item in placed)
    assert share_by_name["predicted"] == share_by_name["least_outstanding"] == 0
    assert share_by_name["round_robin"] == 20
    assert share_by_name["two_choices"] <= share_by_name["random"] <= 20


def test_tasks_sent_since_the_report_occupy_their_slots():
    """Guards against two tasks on one slot when both are placed before the next load report."""

    async def scenario(system: FakeSystem, a: FakeEntry, b: FakeEntry) -> None:
        c = await system.start("c")
        a.holder.loads, a.holder.run_s = [], 3.0
        b.holder.loads, c.holder.loads = [load("b1", free=4)], [load("c1", free=4)]
        b.holder.run_s = c.holder.run_s = 0.5
        answers: list[Answer] = []
        async with anyio.create_task_group() as group:
            for number, key in enumerate(a.coordinator.issue_keys(8)):
                group.start_soon(submit_and_append, a, request(key), answers)
                if number == 3:
                    await anyio.sleep(0.03)
        assert [answer.code for answer in answers] == [1000] * 8
        assert (len(b.holder.batches), len(c.holder.batches)) == (4, 4)

    run_scenario(scenario)


def test_a_job_takes_one_batch_for_each_holder_and_follows_the_policy_of_its_service():
    """Guards against several batches of one job to one holder and an ignored placement policy."""

    async def scenario(system: FakeSystem, a: FakeEntry, b: FakeEntry) -> None:
        key, other = a.coordinator.issue_keys(2)
        assert (await a.coordinator.submit(request(key, 16))).code == 1000
        batches = [message for _, message in a.transport.sent if isinstance(message, RunBatch)]
        assert (len(batches), len(a.holder.batches)) == (1, 1)
        hem = ServiceConfig("hem", policy="round_robin")
        system.configuration = attrs.evolve(system.configuration, service_by_name={"hem": hem})
        assert (await a.coordinator.submit(request(other, 2))).code == 1000
        assert [len(batch.tasks) for batch, _ in b.holder.batches][-1] == 1

    run_scenario(scenario)


def test_retained_answers_stay_within_limits_and_records_until_expiry():
    """Guards against memory growth by retained answers, and against records removed too early."""
    dropped = []
    table = JobTable(
        on_answer_dropped=lambda record: dropped.append(record.key),
        max_records=5,
        max_answer_bytes=100,
    )
    records = [KeyRecord("t", f"k{i}", "f", 10.0 + i) for i in range(6)]
    assert [table.add(record) for record in records] == [True] * 5 + [False]
    for record in records:
        table.retain_answer(record, 40)
    assert dropped == ["k0", "k1", "k2"]
    assert table.retained_bytes == 80
    assert [record.key for record in table.expire(12.0)] == ["k0", "k1"]
    assert table.get("t", "k2") is records[2]
    table.remove(records[4])
    assert table.retained_bytes == 40
    assert table.add(records[5])
