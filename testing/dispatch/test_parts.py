"""Parts of the lease holder on their own."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import anyio
import pytest
from holder_rig import LOCAL, REPORT, FakeBackend, Rig, play

from apricotpoint._dispatch.budget import RetryBudget
from apricotpoint._dispatch.cluster import REPORT_PERIOD_S
from apricotpoint._dispatch.estimator import RunTimeEstimator
from apricotpoint._dispatch.lease import Lease
from apricotpoint._dispatch.quarantine import Quarantine
from apricotpoint._dispatch.queue import Batch, FairQueue, HeldTask
from apricotpoint._dispatch.received import ReceivedBatches
from apricotpoint._dispatch.speed import Speed
from apricotpoint._wire.load import LoadReport
from apricotpoint._wire.tasks import BatchResult, BatchTask, RunBatch, TaskSpec


def renew(lease: Lease, sequence: int, clock_s: float, received_at: float):
    lease.renew(
        sequence=sequence, clock_s=clock_s, received_at=received_at, has_earlier_holder=False
    )


def test_the_delay_of_an_announcement_shortens_the_lease_whatever_the_clock_offset():
    lease = Lease(0.0)
    renew(lease, 1, 5000.0, 10.0)
    renew(lease, 2, 5000.5, 10.5)
    assert lease.expires_at == pytest.approx(12.5)
    renew(lease, 3, 5001.0, 13.0)
    assert lease.expires_at == pytest.approx(13.0, abs=0.01)
    assert not lease.held(13.01)


def test_drifting_clocks_do_not_shorten_the_lease_over_time():
    lease = Lease(0.0)
    for number in range(1, 20_000):
        renew(lease, number, number * 0.5, number * 0.5 * 1.0001)
    assert lease.expires_at - 19_999 * 0.5 * 1.0001 > 1.4


def test_lost_announcements_delay_a_takeover_only_if_they_may_name_another_holder():
    """Guards against a backend server that is never used while one of two entry VMs is dead."""

    def hear(lease: Lease, sequence: int, holder_since: int) -> None:
        at = sequence * 0.5
        lease.renew(
            sequence=sequence,
            clock_s=at,
            received_at=at,
            has_earlier_holder=True,
            holder_since=holder_since,
        )

    unbroken, changed, unsaid = Lease(2.5), Lease(2.5), Lease(2.5)
    for sequence in range(1, 8, 2):
        hear(unbroken, sequence, 1)
        hear(changed, sequence, sequence)
        hear(unsaid, sequence, 0)
    assert unbroken.held(3.5)
    assert not changed.held(3.5)
    assert not unsaid.held(3.5)


def test_a_declaration_counts_only_as_far_as_it_proved_right():
    estimator = RunTimeEstimator()
    random = Random(3)
    assert estimator.estimate("desk", "new", 0.7) == 0.7
    for _ in range(200):
        work_s = random.uniform(0.05, 1.0)
        estimator.observe("desk", "honest", work_s * 2, work_s)
        estimator.observe("desk", "wild", random.uniform(0.01, 100.0), 0.3)
    assert estimator.estimate("desk", "honest", 1.6) == pytest.approx(0.8, rel=0.1)
    assert estimator.estimate("desk", "wild", 100.0) == pytest.approx(0.3, rel=0.1)


def test_the_number_of_kinds_is_bounded():
    estimator = RunTimeEstimator(max_kinds=10)
    for number in range(100):
        estimator.observe("desk", f"kind-{number}", None, 0.1)
    assert len(estimator) == 10


def test_speed_follows_a_backend_server_that_becomes_slower():
    speed = Speed()
    for _ in range(100):
        speed.observe(0.1, 0.05)
    assert speed.value == pytest.approx(2.0, rel=0.05)
    for _ in range(60):
        speed.observe(0.1, 0.5)
    assert speed.value < 0.25


def test_quarantine_probes_with_one_task_and_rests_longer_after_each_failure():
    quarantine = Quarantine()
    for _ in range(4):
        assert not quarantine.failed(0.0, may_enter=lambda: True)
    assert quarantine.failed(0.0, may_enter=lambda: True)
    now, rests = 0.0, []
    for _ in range(7):
        rests.append(quarantine.probe_at - now)
        assert quarantine.allowed(8, quarantine.probe_at - 0.01) == 0
        now = quarantine.probe_at
        assert quarantine.allowed(8, now) == 1
        quarantine.failed(now, may_enter=lambda: True)
    assert rests == [1, 2, 4, 8, 16, 30, 30]
    now = quarantine.probe_at
    allowed = []
    while quarantine.active:
        allowed.append(quarantine.allowed(8, now))
        quarantine.succeeded(8, now)
    assert allowed == [1, 2, 4, 8]


def test_over_half_of_the_last_tasks_failing_begins_quarantine_without_a_row_of_five():
    quarantine = Quarantine()
    began = False
    for number in range(21):
        if number % 3 == 2:
            quarantine.succeeded(8, 0.0)
        else:
            began |= quarantine.failed(0.0, may_enter=lambda: True)
    assert began


def test_retries_stay_within_a_tenth_of_the_sends_of_ten_seconds():
    budget = RetryBudget()
    assert not budget.try_acquire(0.0)
    for _ in range(50):
        budget.sent(1.0)
    assert [budget.try_acquire(2.0) for _ in range(7)] == [True] * 5 + [False] * 2
    assert not budget.try_acquire(30.0)


def test_forgotten_batch_ids_still_count_as_received():
    received = ReceivedBatches(1)
    for batch_id in range(70_000):
        assert received.record(batch_id)
    assert not received.record(0)
    assert not received.record(69_999)


def fill(queue: FairQueue, team: str, batch_id: int, ranks: list[int]) -> Batch:
    batch = Batch(LOCAL, batch_id, "desk", team, 9.0, False, lambda result: None)
    batch.tasks = [
        HeldTask(batch, BatchTask(f"{team}{rank}", TaskSpec("hem"), 0.1, rank)) for rank in ranks
    ]
    queue.add(batch, batch.tasks)
    return batch


def names(queue: FairQueue, count: int) -> list[str]:
    return [task.spec.start_id for _ in range(count) if (task := queue.take())]


def test_teams_share_by_weight_and_ranks_order_a_batch():
    queue = FairQueue({"a": 3.0, "b": 1.0}.__getitem__)
    fill(queue, "a", 1, list(range(99, -1, -1)))
    fill(queue, "b", 2, list(range(100)))
    taken = names(queue, 40)
    assert 29 <= sum(name.startswith("a") for name in taken) <= 31
    ranks = [int(name[1:]) for name in taken if name.startswith("a")]
    assert ranks == sorted(ranks)
    assert queue.count == 160
    assert queue.work_s == pytest.approx(16.0)


def test_a_team_gets_no_credit_for_the_time_in_which_it_had_nothing_queued():
    queue = FairQueue(lambda team: 1.0)
    fill(queue, "b", 0, [0])
    fill(queue, "a", 1, list(range(100)))
    names(queue, 50)
    fill(queue, "b", 2, list(range(100)))
    assert 9 <= sum(name.startswith("b") for name in names(queue, 20)) <= 11


@pytest.mark.parametrize("seed", range(5))
def test_the_queue_loses_and_repeats_no_task(seed: int):
    random = Random(seed)
    queue = FairQueue(lambda team: 1.0)
    expected: set[str] = set()
    batches: list[Batch] = []

    def add() -> None:
        number = len(batches)
        team = f"once-{number}" if number % 9 == 0 else "abc"[number % 3]
        ranks = [10 * number + rank for rank in range(random.randrange(6))]
        batch = fill(queue, team, number, ranks)
        batches.append(batch)
        expected.update(task.spec.start_id for task in batch.tasks)

    def take() -> None:
        for _ in range(random.randrange(4)):
            if task := queue.take():
                expected.remove(task.spec.start_id)

    def look() -> None:
        looked = [task for _ in range(5) if (task := queue.take())]
        queue.put_back(looked)
        again = [task for _ in looked if (task := queue.take())]
        assert again == looked, "tasks that were looked at lost their place"
        queue.put_back(again)

    def remove() -> None:
        if batches:
            for task in queue.remove(random.choice(batches)):
                expected.remove(task.spec.start_id)

    steps: list[Callable[[], None]] = [add, take, look, remove]
    for _ in range(2000):
        random.choice(steps)()
        assert queue.count == len(expected)
    assert set(names(queue, len(expected) + 1)) == expected


def test_a_report_on_a_batch_message_replaces_the_periodic_one():
    """Reports sent in addition to batch messages were almost half of all messages."""

    async def scenario(rig: Rig) -> None:
        def reports() -> int:
            return sum(isinstance(message, LoadReport) for _, message in rig.transport.sent)

        rig.transport.incarnation_by_peer["e2"] = 1
        for number in range(1, 11):
            await anyio.sleep(0.1)
            batch = RunBatch(number, "desk", "a", 60.0, [], load=REPORT)
            rig.transport.receive("e2", batch)
        await anyio.sleep(0.05)
        # Only the report at the start, before the first batch.
        assert reports() == 1
        results = [m for _, m in rig.transport.sent if isinstance(m, BatchResult)]
        assert [result.load is not None for result in results] == [True] * 10
        assert not rig.cluster.unreachable_entries(0.2)
        await anyio.sleep(REPORT_PERIOD_S)
        assert reports() == 2
        await anyio.sleep(0.03)
        assert rig.cluster.report_for("e2") is not None
        assert rig.cluster.report_for("e2") is None

    play(scenario)


def test_reports_are_sent_within_the_heartbeat_of_a_link_and_old_incarnations_are_ignored():
    async def scenario(rig: Rig) -> None:
        rig.transport.incarnation_by_peer.update({"e2": 2, "control-1": 1})
        assert rig.cluster.unreachable_entries(1.0) == ["e2"]
        await anyio.sleep(2.01)
        # Control processes have no use for reports.
        assert {peer_id for peer_id, _ in rig.transport.sent} == {"e2"}
        # A longer period than 0.4 s would be filled up by link heartbeats.
        assert len(rig.transport.sent) >= 2.0 / 0.4
        rig.transport.receive("e2", REPORT, 2)
        rig.transport.receive("e2", REPORT, 1)
        assert [view.incarnation for view in rig.cluster.live_entries(1.0)] == [1, 2]
        assert not rig.cluster.unreachable_entries(1.0)
        await anyio.sleep(1.1)
        assert [view.entry_id for view in rig.cluster.live_entries(1.0)] == ["e1"]
        assert rig.cluster.unreachable_entries(1.0) == ["e2"]

    play(scenario, FakeBackend("b1"))
