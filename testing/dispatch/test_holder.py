"""The lease holder under faults: no second start, and one outcome for each task."""

from __future__ import annotations

import json

import anyio
import pytest
from holder_rig import LOAD_REPORT, LOCAL_COORDINATOR, THIS_HOLDER, FakeBackend, Rig, run_scenario

from apricotpoint._link.transport import Sender
from apricotpoint._wire.announce import Announced, GuardState, HolderName
from apricotpoint._wire.configuration import Configuration, Evacuation, ServiceConfig, TeamConfig
from apricotpoint._wire.load import LoadReport
from apricotpoint._wire.tasks import (
    BatchResult,
    BatchTask,
    CancelBatch,
    OutcomeStatus,
    RunBatch,
    TaskSpec,
)

OTHER_HOLDER = HolderName("e2", 1)
RETRIES_ENABLED = Configuration(
    service_by_name={"desk": ServiceConfig("desk", retry_idempotent=True)}
)


@pytest.mark.parametrize("backend", ["trio", "asyncio"])
def test_tasks_of_one_batch_share_exchanges_and_never_exceed_the_slots(backend: str):
    """Guards against one exchange per task, and against more running tasks than slots."""

    async def scenario(rig: Rig) -> None:
        start_ids = rig.run(6)
        with anyio.fail_after(10):
            await rig.answered.wait()
        assert rig.holder.idle()
        assert rig.statuses(start_ids) == {"done"}
        assert len(rig.replies) == 1
        assert len(server.exchanges[0]) == 2
        json.dumps(rig.holder.dump())

    server = FakeBackend("b1")
    run_scenario(scenario, server, backend=backend)
    assert server.max_busy == 2


def test_nothing_is_sent_without_a_lease_and_queued_tasks_are_refused_promptly():
    """Guards against sends after the lease expired, and against tasks left in the queue.

    The backend server stops announcing itself while its slots are busy, so the lease
    expires 2 s later; the queued tasks are refused within another second.
    """

    async def scenario(rig: Rig) -> None:
        first = rig.run(2, work_s=5.0, spec={"payload": 5.0})
        queued = rig.run(3)
        await anyio.sleep(0.6)
        server.silent = True
        await anyio.sleep(3.0)
        assert rig.statuses(queued) == {"not_started"}
        assert max(rig.outcome_at.values()) < 0.5 + 2.0 + 1.0
        late = rig.run(1)
        await anyio.sleep(1.0)
        assert rig.statuses(late) == {"not_started"}
        assert set(server.started_at) == set(first)
        assert rig.holder.backend_loads() == []

    server = FakeBackend("b1")
    run_scenario(scenario, server)


def test_announcements_received_just_after_a_pause_renew_no_lease():
    """Guards against leases renewed by announcements that waited in a buffer during a pause.

    The process did not run for 10 s, so the announcements that it reads then may be
    older than the lease that they would renew.
    """

    async def scenario(rig: Rig) -> None:
        await anyio.sleep(1.1)
        stale = [server.announcement(1.2 + 0.5 * n) for n in range(4)]
        server.silent = True
        rig.clock.jump(10)
        for announcement in [*stale, FakeBackend("not heard before").announcement(1.2)]:
            rig.holder.handle_announcement(announcement)
        assert not any(load.available for load in rig.holder.backend_loads())
        start_ids = rig.run(1)
        await anyio.sleep(0.7)
        for announcement in [server.announcement(3.5), server.announcement(4.0)]:
            rig.holder.handle_announcement(announcement)
        await anyio.sleep(0.5)
        assert server.started_at == {}
        assert rig.statuses(start_ids) == {"not_started"}
        server.silent = False
        await anyio.sleep(0.6)
        rig.run(1)
        await anyio.sleep(0.1)
        assert len(server.started_at) == 1

    server = FakeBackend("b1")
    run_scenario(scenario, server)


def test_a_new_holder_waits_and_counts_the_tasks_of_the_earlier_one():
    """Guards against an overloaded backend server after a takeover.

    The earlier holder may send until its lease expires, and its tasks use slots until
    the announcements show that they have ended.
    """

    async def scenario(rig: Rig) -> None:
        server.running = 3  # The earlier holder sends tasks until its lease expires.
        await anyio.sleep(2.4)
        assert [load.available for load in rig.holder.backend_loads()] == [False]
        await anyio.sleep(0.7)
        rig.run(4, work_s=0.2, spec={"payload": 0.2})
        await anyio.sleep(0.1)
        assert len(server.started_at) == 1, (
            "three of four slots are used by tasks of the earlier holder"
        )
        server.running = 0
        await anyio.sleep(2.0)
        assert len(server.started_at) == 4
        rig.run(4, work_s=0.2)
        await anyio.sleep(0.1)
        assert len(server.started_at) == 8

    server = FakeBackend("b1", slots=4, running=1, followed=True)
    run_scenario(scenario, server)


def test_alternating_holder_names_never_complete_the_wait_for_a_takeover():
    """Guards against two lease holders at once.

    Each announcement that is missing here may have renewed the lease of another holder.
    """

    async def scenario(rig: Rig) -> None:
        for _ in range(12):
            rig.holder.handle_announcement(server.announcement(rig.timers.now()))
            server.sequence += 1  # Stands for an announcement that named another holder.
            await anyio.sleep(0.5)
        assert not any(load.available for load in rig.holder.backend_loads())

    server = FakeBackend("b1", followed=True)
    run_scenario(scenario, server, announces=False)


def test_an_announcement_that_names_another_holder_ends_the_lease_at_once():
    """Guards against sends by the former holder after a handover."""

    async def scenario(rig: Rig) -> None:
        server.holder = OTHER_HOLDER
        rig.announce_all()
        rig.run(1)
        await anyio.sleep(0.2)
        assert server.started_at == {}
        assert isinstance(rig.transport.sent[0][1], Announced)

    run_scenario(scenario, server := FakeBackend("b1"))


def test_an_unreachable_holder_is_replaced_and_a_live_one_is_kept():
    """Guards against a backend server that keeps an unreachable holder or changes a live one."""

    async def scenario(rig: Rig) -> None:
        rig.transport.receive("e2", LOAD_REPORT)
        server.holder = OTHER_HOLDER
        await anyio.sleep(2.4)
        rig.announce_all()
        assert server.holder == OTHER_HOLDER
        await anyio.sleep(0.2)
        rig.announce_all()
        assert server.holder == THIS_HOLDER

    run_scenario(scenario, server := FakeBackend("b1", holder=None), announces=False)


def test_backend_servers_that_announce_together_are_spread_over_holders():
    """Guards against one holder for all backend servers that announce between two load reports."""

    async def scenario(rig: Rig) -> None:
        far = LoadReport(1, False, 1.0, 0, [], {}, 0, "toluca", "")
        rig.transport.receive("e2", LOAD_REPORT)
        rig.transport.receive("e3", far)
        for server in servers:
            server.holder = rig.holder.handle_announcement(server.announcement(0.0)).holder
        assert [server.holder for server in servers].count(THIS_HOLDER) == 4
        assert [server.holder for server in servers].count(OTHER_HOLDER) == 4

    servers = [FakeBackend(f"b{n}", holder=None) for n in range(8)]
    run_scenario(scenario, *servers, announces=False)


def test_a_draining_holder_hands_over_and_finishes_its_sent_tasks():
    """Guards against results lost by a drain.

    The backend server gets another holder at once, and the results of the tasks sent
    before still arrive on the open exchanges.
    """

    async def scenario(rig: Rig) -> None:
        start_ids = rig.run(2, work_s=8.0, spec={"payload": 8.0})
        await anyio.sleep(0.1)
        rig.transport.receive("e2", LoadReport(1, False, 1.0, 0, [], {}, 0, "toluca", ""))
        rig.draining = True
        rig.announce_all()
        assert server.holder == OTHER_HOLDER
        await anyio.sleep(9)
        assert rig.statuses(start_ids) == {"done"}
        assert rig.holder.idle()

    run_scenario(scenario, server := FakeBackend("b1"))


@pytest.mark.parametrize(
    "extra_fields",
    [{"leaving": True}, {"guard": GuardState.STOP}, {"guard": GuardState.CHECKPOINT}],
)
def test_leaving_and_guard_states_stop_new_sends(extra_fields: dict[str, object]):
    """Guards against sends to a backend server that leaves or that the platform stops."""

    async def scenario(rig: Rig) -> None:
        server.extra_fields = extra_fields
        rig.announce_all()
        start_ids = rig.run(2)
        await anyio.sleep(1.1)
        assert rig.statuses(start_ids) == {"not_started"}
        assert server.started_at == {}

    run_scenario(scenario, server := FakeBackend("b1"))


def test_a_refused_send_returns_the_task_to_the_queue():
    """Guards against tasks lost by a refused send, and against a busy loop of refused sends."""

    async def scenario(rig: Rig) -> None:
        start_ids = rig.run(3)
        await anyio.sleep(0.5)
        assert rig.counters.get("holder.wasted.refused") <= 8, "refused sends must back off"
        server.mode = "ok"
        await anyio.sleep(3)
        assert rig.statuses(start_ids) == {"done"}

    run_scenario(scenario, server := FakeBackend("b1", mode="refuse"))


def test_results_are_matched_by_start_id_whatever_their_order():
    """Guards against results assigned by position; here they arrive in reverse order."""

    async def scenario(rig: Rig) -> None:
        start_ids = rig.run(2)
        await anyio.sleep(1)
        assert {name: rig.outcomes[name].value for name in start_ids} == {
            name: name for name in start_ids
        }, "a result was assigned to another task"

    run_scenario(scenario, FakeBackend("b1", mode="reverse"))


@pytest.mark.parametrize(
    ("result_reply", "status"), [("result", "done"), ("unknown", "unknown"), ("lost", "unknown")]
)
def test_a_lost_result_is_requested_and_its_task_is_not_started_again(
    result_reply: str, status: str
):
    """Guards against a second start after a lost response, because the first may have run.

    The result is requested instead, and the task keeps its slot while it is unknown.
    """

    async def scenario(rig: Rig) -> None:
        start_ids = rig.run(2, spec={"idempotent": True})
        await anyio.sleep(0.01)
        loads = rig.holder.backend_loads()
        assert loads[0].free_slots == 0 or result_reply == "result", (
            "a task without a known outcome keeps its slot"
        )
        # A second start would now be possible.
        rig.backend_by_id["b2"].mode = "ok"
        await anyio.sleep(8)
        assert rig.statuses(start_ids) == {status}
        assert rig.starts() == 2

    run_scenario(
        scenario,
        FakeBackend("b1", mode="lose", result_reply=result_reply),
        FakeBackend("b2", mode="refuse"),
    )


def test_a_task_that_still_runs_after_a_lost_response_keeps_its_slot_until_it_ends():
    """Guards against an unknown outcome, or a reused slot, of a task that is still running."""

    async def scenario(rig: Rig) -> None:
        start_ids = rig.run(1)
        await anyio.sleep(20)
        assert rig.statuses(start_ids) == {None}
        assert rig.holder.backend_loads()[0].free_slots == 1
        server.result_reply = "result"
        await anyio.sleep(1)
        assert rig.statuses(start_ids) == {"done"}

    run_scenario(scenario, server := FakeBackend("b1", mode="lose", result_reply="running"))


def test_a_new_incarnation_ends_the_tasks_of_the_old_one_as_unknown():
    """Guards against tasks that wait for results of an incarnation that was replaced."""

    async def scenario(rig: Rig) -> None:
        start_ids = rig.run(2)
        await anyio.sleep(0.2)
        server.incarnation, server.sequence, server.mode = 2, 0, "ok"
        rig.announce_all()
        await anyio.sleep(0.01)
        assert rig.statuses(start_ids) == {"unknown"}
        again = rig.run(2)
        await anyio.sleep(0.2)
        assert rig.statuses(again) == {"done"}

    run_scenario(scenario, server := FakeBackend("b1", mode="hang"))


def test_a_hanging_exchange_ends_a_bounded_time_after_the_lease():
    """Guards against tasks without an outcome.

    The exchange hangs, the lease expires, and requests for the results fail.
    """

    async def scenario(rig: Rig) -> None:
        start_ids = rig.run(2)
        await anyio.sleep(0.1)
        server.silent = True
        await anyio.sleep(12)
        assert rig.statuses(start_ids) == {"unknown"}
        assert rig.holder.idle()

    run_scenario(scenario, server := FakeBackend("b1", mode="hang", result_reply="lost"))


@pytest.mark.parametrize(
    ("count", "idempotent", "sends", "expected"),
    [(1, True, 20, 2), (1, False, 20, 1), (2, True, 20, 2), (1, True, 0, 1)],
)
def test_only_single_idempotent_tasks_with_budget_start_a_second_time(
    count: int, idempotent: bool, sends: int, expected: int
):
    """Guards against second starts that are unsafe or exceed the retry budget.

    Without earlier sends the budget allows no retry.
    """

    async def scenario(rig: Rig) -> None:
        rig.run(sends)
        await anyio.sleep(2)
        lost.mode, other.mode = "lose", "unreachable"
        before = rig.starts()
        start_ids = rig.run(count, single=True, spec={"idempotent": idempotent})
        await anyio.sleep(0.01)
        lost.mode = other.mode = "ok"
        await anyio.sleep(6)
        assert rig.starts() - before == expected
        if expected > count:
            assert rig.statuses(start_ids) == {"done"}
            assert start_ids[0] in other.started_at
        else:
            assert rig.statuses(start_ids) == {"unknown"}

    lost = FakeBackend("b1", result_reply="unknown")
    other = FakeBackend("b2")
    run_scenario(scenario, lost, other, configuration=RETRIES_ENABLED)


def test_a_deadline_that_passes_in_the_queue_is_answered_not_started_in_time():
    """Guards against late outcomes and starts after the deadline.

    The deadline passes in the queue, or had passed already because the link delayed
    the batch by 0.6 s.
    """

    async def scenario(rig: Rig) -> None:
        rig.run(2, work_s=3.0, spec={"payload": 3.0})
        start_ids = rig.run(4, deadline_left_s=0.5)
        late = rig.run(1, deadline_left_s=0.5, sender=Sender("e1", 1, age_s=0.6))
        await anyio.sleep(0.51)
        assert rig.statuses(start_ids + late) == {"not_started"}
        assert rig.holder.queued_tasks() == 0
        await anyio.sleep(5)
        assert rig.starts() == 2

    run_scenario(scenario, FakeBackend("b1"))


def test_cancelled_tasks_cost_nothing_when_queued_and_one_message_when_sent():
    """Guards against starts of cancelled tasks, and against one cancel message per batch."""

    async def scenario(rig: Rig) -> None:
        sent = rig.run(2, batch_id=101, spec={"payload": 2.0}) + rig.run(
            2, batch_id=102, spec={"payload": 2.0}
        )
        await anyio.sleep(0.05)
        queued = rig.run(50, batch_id=103)
        await anyio.sleep(0.05)
        for batch_id in (101, 102, 103, 103, 999):
            rig.holder.cancel(LOCAL_COORDINATOR, [batch_id])
        bound = rig.run(1, batch_id=104)
        await anyio.sleep(0.02)
        assert server.cancels == [sent]
        assert rig.statuses(queued) == {"not_started"}
        assert set(server.started_at) == set(sent)
        assert rig.counters.get("holder.wasted.cancel_unknown") >= 1
        await anyio.sleep(3)
        assert rig.statuses(sent + bound) == {"done"}

    run_scenario(scenario, server := FakeBackend("b1", slots=4))


def test_a_repeated_batch_starts_nothing_and_a_replaced_coordinator_is_dropped():
    """Guards against tasks started twice by a batch that is delivered twice.

    A coordinator that restarts gets no results of its earlier incarnation, and batches
    of that incarnation that arrive later start nothing.
    """

    async def scenario(rig: Rig) -> None:
        rig.transport.incarnation_by_peer["e2"] = 1
        tasks = [BatchTask(name, TaskSpec("hem", 1.0), 1.0) for name in ["new", "s0", "s1", "s2"]]
        batch = RunBatch(1, "desk", "a", 60.0, tasks[1:])
        rig.transport.receive("e2", batch)
        rig.transport.receive("e2", batch)
        await anyio.sleep(0.1)
        rig.transport.incarnation_by_peer["e2"] = 2
        rig.transport.receive("e2", RunBatch(1, "desk", "a", 60.0, tasks[:1]), 2)
        rig.transport.receive("e2", RunBatch(2, "desk", "a", 60.0, tasks[1:]), 1)
        await anyio.sleep(5)
        assert sorted(server.started_at) == ["new", "s0", "s1"]
        results = [message for _, message in rig.transport.sent if isinstance(message, BatchResult)]
        assert [outcome.start_id for result in results for outcome in result.outcomes] == ["new"]
        assert rig.counters.get("holder.wasted.repeated_batch") == 1
        assert rig.counters.get("holder.wasted.stale_coordinator") == 1
        assert rig.holder.idle()

    run_scenario(scenario, server := FakeBackend("b1"))


def test_a_result_that_the_link_cannot_take_is_kept_and_sent_later():
    """Guards against results lost while the queue of the link is full."""

    async def scenario(rig: Rig) -> None:
        rig.transport.accepts = False
        task = BatchTask("s", TaskSpec("hem"), 0.1)
        rig.transport.receive("e2", RunBatch(1, "desk", "a", 9.0, [task]))
        await anyio.sleep(1)
        assert not rig.holder.idle()
        rig.transport.accepts = True
        await anyio.sleep(0.5)
        assert sum(isinstance(message, BatchResult) for _, message in rig.transport.sent) == 1
        assert rig.holder.idle()
        rig.transport.receive("e2", CancelBatch([1]))

    run_scenario(scenario, FakeBackend("b1"))


def test_a_backend_server_that_fails_every_task_is_quarantined_until_it_recovers():
    """Guards against a backend server that fails many tasks because failing frees its slots fast.

    It is used again after it recovered.
    """

    async def scenario(rig: Rig) -> None:
        for _ in range(100):
            rig.run(4, work_s=0.1)
            await anyio.sleep(0.1)
        assert len(bad.started_at) <= 20
        bad.mode = "ok"
        for _ in range(300):
            rig.run(10, work_s=0.1)
            await anyio.sleep(0.1)
        assert len(bad.started_at) > 100
        assert rig.counters.get("holder.quarantine.left") == 1

    bad = FakeBackend("b1", slots=4, mode="fail")
    run_scenario(scenario, bad, FakeBackend("b2", slots=4), FakeBackend("b3", slots=4))


def test_failures_of_the_tasks_themselves_quarantine_at_most_a_third():
    """Guards against quarantine of all backend servers by tasks that fail everywhere."""

    async def scenario(rig: Rig) -> None:
        for _ in range(100):
            rig.run(6)
            await anyio.sleep(0.1)
        quarantined = [load for load in rig.holder.backend_loads() if load.quarantined]
        assert len(quarantined) == 1

    run_scenario(scenario, *(FakeBackend(f"b{n}", mode="fail") for n in range(5)))


def test_a_result_that_no_message_can_carry_fails_its_task():
    """Guards against a caller that waits for a result which cannot be passed on."""

    async def scenario(rig: Rig) -> None:
        rig.run(1)
        await anyio.sleep(1)
        (outcome,) = rig.outcomes.values()
        assert (outcome.status, outcome.value) == (OutcomeStatus.FAILED, None)
        assert "64" in outcome.error

    run_scenario(scenario, FakeBackend("b1", mode="huge"))


def test_a_team_far_over_its_quota_hardly_delays_another():
    """Guards against the backlog of one team that delays the tasks of another."""

    async def scenario(rig: Rig) -> None:
        rig.run(2000, team="big", deadline_left_s=1e4)
        await anyio.sleep(1)
        for _ in range(10):
            sent_at = rig.timers.now()
            start_ids = rig.run(2, team="small", deadline_left_s=1e4)
            await anyio.sleep(1)
            assert max(rig.outcome_at[start_id] for start_id in start_ids) - sent_at < 0.35
        assert rig.holder.queued_tasks() > 1000

    teams = {"big": TeamConfig("big", quota_tasks=10), "small": TeamConfig("small", quota_tasks=10)}
    run_scenario(
        scenario, FakeBackend("b1", slots=4), configuration=Configuration(team_by_name=teams)
    )


def test_tasks_wait_for_a_fast_slot_where_that_ends_sooner_but_slack_takes_the_slow_one():
    """Guards against slow free slots used where waiting for a fast one ends sooner.

    Tasks with slack leave the fast slots to others.
    """

    async def scenario(rig: Rig) -> None:
        await rig.learn_speeds(4)
        slow_before = len(slow.started_at)
        rig.run(4, spec={"payload": 0.1})
        await anyio.sleep(2)
        assert len(slow.started_at) == slow_before, "0.2 s on the fast one beat 1 s on the slow one"
        rig.run(1, slack_s=5.0)
        await anyio.sleep(2)
        assert len(slow.started_at) == slow_before + 1

    fast, slow = FakeBackend("b1", slots=2), FakeBackend("b2", slots=2, speed=0.1)
    run_scenario(scenario, fast, slow)


def test_a_task_that_waits_for_a_straggler_eventually_takes_a_slower_slot():
    """Guards against a task that waits without end for a slot taken by a straggler."""

    async def scenario(rig: Rig) -> None:
        await rig.learn_speeds(4)
        fast.mode = "hang"
        rig.run(1)
        await anyio.sleep(0.05)
        start_ids = rig.run(1)
        await anyio.sleep(6)
        assert rig.statuses(start_ids) == {"done"}
        assert start_ids[0] in slow.started_at

    fast, slow = FakeBackend("b1", slots=1), FakeBackend("b2", slots=1, speed=0.1)
    run_scenario(scenario, fast, slow)


@pytest.mark.parametrize("policy", ["random", "round_robin", "least_outstanding", "two_choices"])
def test_baseline_policies_complete_all_tasks_and_use_all_backend_servers(policy: str):
    """Guards against placement policies that lose tasks or do not use a backend server."""

    async def scenario(rig: Rig) -> None:
        start_ids = rig.run(200, deadline_left_s=100.0)
        await anyio.sleep(40)
        assert rig.statuses(start_ids) == {"done"}
        assert min(len(server.started_at) for server in servers) > 20

    servers = [FakeBackend(f"b{n}", speed=1.0 + n) for n in range(3)]
    rules = {"desk": ServiceConfig("desk", policy=policy)}
    run_scenario(scenario, *servers, configuration=Configuration(service_by_name=rules))


def test_a_queued_task_is_refused_when_the_last_backend_server_that_can_run_it_is_stopped():
    """Guards against tasks left in the queue that no remaining backend server can run."""

    async def scenario(rig: Rig) -> None:
        rig.run(4, work_s=3.0, spec={"payload": 3.0})
        start_ids = rig.run(2, spec={"accelerators": 1})
        await anyio.sleep(0.1)
        assert rig.statuses(start_ids) == {None}
        rig.configuration = Configuration(stopped_backends=["b1"])
        await anyio.sleep(1)
        assert rig.statuses(start_ids) == {"not_started"}

    run_scenario(scenario, FakeBackend("b1", extra_fields={"accelerators": 2}), FakeBackend("b2"))


def test_a_long_queue_uses_every_slot_at_once():
    """Guards against slow slots left idle while a long queue waits for fast ones."""

    async def scenario(rig: Rig) -> None:
        await rig.learn_speeds(12)
        rig.run(300, deadline_left_s=100.0)
        await anyio.sleep(0.01)
        assert [load.free_slots for load in rig.holder.backend_loads()] == [0, 0]

    run_scenario(scenario, FakeBackend("b1", slots=8), FakeBackend("b2", slots=4, speed=0.1))


def test_a_second_start_that_is_never_sent_is_not_reported_as_not_started():
    """Guards against a wrong 'not started' for a retry, because the first start may have run."""

    async def scenario(rig: Rig) -> None:
        rig.run(20)
        await anyio.sleep(2)
        lost.mode, other.mode = "lose", "unreachable"
        start_ids = rig.run(1, single=True, spec={"idempotent": True}, deadline_left_s=1.0)
        await anyio.sleep(2)
        assert start_ids[0] in lost.started_at
        assert rig.counters.get("holder.retries") == 1
        assert rig.statuses(start_ids) == {"unknown"}

    lost = FakeBackend("b1", result_reply="unknown")
    other = FakeBackend("b2")
    run_scenario(scenario, lost, other, configuration=RETRIES_ENABLED)


def test_a_cancellation_is_sent_without_waiting_for_another_event():
    """Guards against a cancel message that is delayed because nothing wakes the dispatch loop."""

    async def scenario(rig: Rig) -> None:
        sent = rig.run(1, batch_id=1, spec={"payload": 2.0})
        await anyio.sleep(0.01)
        rig.holder.cancel(LOCAL_COORDINATOR, [1])
        await anyio.sleep(0.01)
        assert server.cancels == [sent]

    run_scenario(scenario, server := FakeBackend("b1"))


def test_the_slot_of_a_task_whose_outcome_stays_unknown_is_not_reused_at_once():
    """Guards against an overloaded backend server: a task of unknown outcome may still run."""

    async def scenario(rig: Rig) -> None:
        start_ids = rig.run(1)
        await anyio.sleep(1.0)
        server.mode = "ok"
        assert rig.statuses(start_ids) == {"unknown"}
        assert rig.holder.rows()[0]["foreign"] == 1
        await anyio.sleep(3.0)
        assert rig.holder.rows()[0]["foreign"] == 0

    run_scenario(scenario, server := FakeBackend("b1", mode="lose", result_reply="unknown"))


@pytest.mark.parametrize(
    "event", ["drain before binding", "drain after binding", "evacuation after binding", "cancel"]
)
def test_drains_and_cancellations_are_checked_up_to_the_send(event: str):
    """Guards against sends after an order or cancellation that comes before or after binding."""

    async def scenario(rig: Rig) -> None:
        start_ids = rig.run(1, batch_id=7)
        if event != "drain before binding":
            rig.holder._bind(rig.holder._service("desk"), rig.timers.now())
        if event == "cancel":
            rig.holder.cancel(LOCAL_COORDINATOR, [7])
        elif event == "evacuation after binding":
            orders = {"puebla": Evacuation(True, 1, "c", 0.0)}
            rig.configuration = Configuration(evacuation_by_domain=orders)
        else:
            rig.configuration = Configuration(drained_backends=["b1"])
        await anyio.sleep(1.1)
        assert rig.statuses(start_ids) == {"not_started"}
        assert server.started_at == {}

    run_scenario(scenario, server := FakeBackend("b1"))
