"""Unit tests of the parts of the lease holder."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import anyio
import pytest
from holder_rig import LOAD_REPORT, LOCAL_COORDINATOR, FakeBackend, Rig, run_scenario

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
    """Guards against a lease that counts from the arrival of a delayed announcement.

    It must count from the sending, so a longer delay renews the lease for less time.
    """
    lease = Lease(0.0)
    renew(lease, 1, 5000.0, 10.0)
    renew(lease, 2, 5000.5, 10.5)
    assert lease.expires_at == pytest.approx(12.5)
    renew(lease, 3, 5001.0, 13.0)
    assert lease.expires_at == pytest.approx(13.0, abs=0.01)
    assert not lease.held(13.01)


def test_drifting_clocks_do_not_shorten_the_lease_over_time():
    """Guards against leases that become shorter with the uptime.

    The clocks drift apart by 100 ppm, so a minimum offset that is never raised would be
    taken for a growing delay.
    """
    lease = Lease(0.0)
    for number in range(1, 20_000):
        renew(lease, number, number * 0.5, number * 0.5 * 1.0001)
    assert lease.expires_at - 19_999 * 0.5 * 1.0001 > 1.4


def test_lost_announcements_delay_a_takeover_only_if_they_may_name_another_holder():
    """Guards against a backend server that is never used while one of two entry VMs is down.

    Every second announcement goes to that VM and is lost. Only one that may have named
    another holder starts the takeover wait again.
    """

    def announce(lease: Lease, sequence: int, holder_since: int) -> None:
        at = sequence * 0.5
        lease.renew(
            sequence=sequence,
            clock_s=at,
            received_at=at,
            has_earlier_holder=True,
            holder_since=holder_since,
        )

    named_throughout, changed, unspecified = Lease(2.5), Lease(2.5), Lease(2.5)
    for sequence in range(1, 8, 2):
        announce(named_throughout, sequence, 1)
        announce(changed, sequence, sequence)
        announce(unspecified, sequence, 0)
    assert named_throughout.held(3.5)
    assert not changed.held(3.5)
    assert not unspecified.held(3.5)


def test_declared_run_times_are_weighted_by_their_observed_error():
    """Guards against estimates that follow declared run times which proved wrong."""
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
    """Guards against memory that grows with the number of kinds that callers invent."""
    estimator = RunTimeEstimator(max_kinds=10)
    for number in range(100):
        estimator.observe("desk", f"kind-{number}", None, 0.1)
    assert len(estimator) == 10


def test_speed_follows_a_backend_server_that_becomes_slower():
    """Guards against a learned speed that old observations keep too high."""
    speed = Speed()
    for _ in range(100):
        speed.observe(0.1, 0.05)
    assert speed.value == pytest.approx(2.0, rel=0.05)
    for _ in range(60):
        speed.observe(0.1, 0.5)
    assert speed.value < 0.25


def test_quarantine_probes_with_one_task_and_backs_off_longer_after_each_failure():
    """Guards against many tasks lost to a backend server that fails every probe.

    After a success the number of allowed tasks doubles up to the number of slots.
    """
    quarantine = Quarantine()
    for _ in range(4):
        assert not quarantine.record_failure(0.0, may_enter=lambda: True)
    assert quarantine.record_failure(0.0, may_enter=lambda: True)
    now, backoffs_s = 0.0, []
    for _ in range(7):
        backoffs_s.append(quarantine.probe_at - now)
        assert quarantine.allowed_tasks(8, quarantine.probe_at - 0.01) == 0
        now = quarantine.probe_at
        assert quarantine.allowed_tasks(8, now) == 1
        quarantine.record_failure(now, may_enter=lambda: True)
    assert backoffs_s == [1, 2, 4, 8, 16, 30, 30]
    now = quarantine.probe_at
    allowed = []
    while quarantine.active:
        allowed.append(quarantine.allowed_tasks(8, now))
        quarantine.record_success(8, now)
    assert allowed == [1, 2, 4, 8]


def test_quarantine_begins_when_over_half_of_the_last_tasks_failed():
    """Guards against a backend server that fails two of three tasks, never five in a row."""
    quarantine = Quarantine()
    began = False
    for number in range(21):
        if number % 3 == 2:
            quarantine.record_success(8, 0.0)
        else:
            began |= quarantine.record_failure(0.0, may_enter=lambda: True)
    assert began


def test_retries_stay_within_a_tenth_of_the_sends_of_ten_seconds():
    """Guards against a flood of retries when many responses are lost at once."""
    budget = RetryBudget()
    assert not budget.try_acquire(0.0)
    for _ in range(50):
        budget.record_send(1.0)
    assert [budget.try_acquire(2.0) for _ in range(7)] == [True] * 5 + [False] * 2
    assert not budget.try_acquire(30.0)


def test_evicted_batch_ids_still_count_as_received():
    """Guards against tasks started twice by a batch that is repeated after its id was evicted."""
    received = ReceivedBatches(1)
    for batch_id in range(70_000):
        assert received.record(batch_id)
    assert not received.record(0)
    assert not received.record(69_999)


def add_batch(queue: FairQueue, team: str, batch_id: int, ranks: list[int]) -> Batch:
    batch = Batch(LOCAL_COORDINATOR, batch_id, "desk", team, 9.0, False, lambda result: None)
    batch.tasks = [
        HeldTask(batch, BatchTask(f"{team}{rank}", TaskSpec("hem"), 0.1, rank)) for rank in ranks
    ]
    queue.add(batch, batch.tasks)
    return batch


def take_start_ids(queue: FairQueue, count: int) -> list[str]:
    return [task.spec.start_id for _ in range(count) if (task := queue.take())]


def test_teams_share_by_weight_and_ranks_order_a_batch():
    """Guards against shares of teams that do not follow their weights.

    The tasks of a batch are taken by rank, whatever their order in the message.
    """
    queue = FairQueue({"a": 3.0, "b": 1.0}.__getitem__)
    add_batch(queue, "a", 1, list(range(99, -1, -1)))
    add_batch(queue, "b", 2, list(range(100)))
    taken = take_start_ids(queue, 40)
    assert 29 <= sum(name.startswith("a") for name in taken) <= 31
    ranks = [int(name[1:]) for name in taken if name.startswith("a")]
    assert ranks == sorted(ranks)
    assert queue.count == 160
    assert queue.work_s == pytest.approx(16.0)


def test_a_team_gets_no_credit_for_the_time_in_which_it_had_nothing_queued():
    """Guards against a team that takes all slots after a time without tasks."""
    queue = FairQueue(lambda team: 1.0)
    add_batch(queue, "b", 0, [0])
    add_batch(queue, "a", 1, list(range(100)))
    take_start_ids(queue, 50)
    add_batch(queue, "b", 2, list(range(100)))
    assert 9 <= sum(name.startswith("b") for name in take_start_ids(queue, 20)) <= 11


@pytest.mark.parametrize("seed", range(5))
def test_the_queue_loses_and_repeats_no_task(seed: int):
    """Guards against tasks lost or returned twice by random sequences of queue operations."""
    random = Random(seed)
    queue = FairQueue(lambda team: 1.0)
    expected: set[str] = set()
    batches: list[Batch] = []

    def add() -> None:
        number = len(batches)
        team = f"once-{number}" if number % 9 == 0 else "abc"[number % 3]
        ranks = [10 * number + rank for rank in range(random.randrange(6))]
        batch = add_batch(queue, team, number, ranks)
        batches.append(batch)
        expected.update(task.spec.start_id for task in batch.tasks)

    def take() -> None:
        for _ in range(random.randrange(4)):
            if task := queue.take():
                expected.remove(task.spec.start_id)

    def take_and_put_back() -> None:
        taken = [task for _ in range(5) if (task := queue.take())]
        queue.put_back(taken)
        again = [task for _ in taken if (task := queue.take())]
        assert again == taken, "tasks that were put back lost their place in the queue"
        queue.put_back(again)

    def remove() -> None:
        if batches:
            for task in queue.remove(random.choice(batches)):
                expected.remove(task.spec.start_id)

    steps: list[Callable[[], None]] = [add, take, take_and_put_back, remove]
    for _ in range(2000):
        random.choice(steps)()
        assert queue.count == len(expected)
    assert set(take_start_ids(queue, len(expected) + 1)) == expected


def test_a_report_on_a_batch_message_replaces_the_periodic_one():
    """Guards against load reports in addition to those on batch messages.

    Such reports were almost half of all messages.
    """

    async def scenario(rig: Rig) -> None:
        def reports() -> int:
            return sum(isinstance(message, LoadReport) for _, message in rig.transport.sent)

        rig.transport.incarnation_by_peer["e2"] = 1
        for number in range(1, 11):
            await anyio.sleep(0.1)
            batch = RunBatch(number, "desk", "a", 60.0, [], load=LOAD_REPORT)
            rig.transport.receive("e2", batch)
        await anyio.sleep(0.05)
        # Only the report at the start, sent before the first batch.
        assert reports() == 1
        results = [m for _, m in rig.transport.sent if isinstance(m, BatchResult)]
        assert [result.load is not None for result in results] == [True] * 10
        assert not rig.cluster.unreachable_entries(0.2)
        await anyio.sleep(REPORT_PERIOD_S)
        assert reports() == 2
        await anyio.sleep(0.03)
        assert rig.cluster.report_for("e2") is not None
        assert rig.cluster.report_for("e2") is None

    run_scenario(scenario)


def test_reports_are_sent_within_the_heartbeat_of_a_link_and_old_incarnations_are_ignored():
    """Guards against load reports that are too rare, and against those of a replaced process."""

    async def scenario(rig: Rig) -> None:
        rig.transport.incarnation_by_peer.update({"e2": 2, "control-1": 1})
        assert rig.cluster.unreachable_entries(1.0) == ["e2"]
        await anyio.sleep(2.01)
        # Control processes do not use load reports, so none are sent to them.
        assert {peer_id for peer_id, _ in rig.transport.sent} == {"e2"}
        # With a period over 0.4 s the links would send heartbeats in between.
        assert len(rig.transport.sent) >= 2.0 / 0.4
        rig.transport.receive("e2", LOAD_REPORT, 2)
        rig.transport.receive("e2", LOAD_REPORT, 1)
        assert [view.incarnation for view in rig.cluster.live_entries(1.0)] == [1, 2]
        assert not rig.cluster.unreachable_entries(1.0)
        await anyio.sleep(1.1)
        assert [view.entry_id for view in rig.cluster.live_entries(1.0)] == ["e1"]
        assert rig.cluster.unreachable_entries(1.0) == ["e2"]

    run_scenario(scenario, FakeBackend("b1"))
