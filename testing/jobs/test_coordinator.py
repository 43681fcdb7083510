"""Jobs start once, and every submission gets one true answer by its deadline."""

from __future__ import annotations

import json
from collections.abc import Callable

import anyio
import attrs
import pytest
from jobs_fakes import (
    WALL,
    FakeEntry,
    FakeSystem,
    load,
    play,
    request,
    running_system,
    submit_later,
)

from apricotpoint._jobs.table import JobTable
from apricotpoint._link.transport import Sender
from apricotpoint._wire.configuration import ServiceConfig
from apricotpoint._wire.jobs import Answer, CancelForward, JobRequest, SubmitForward
from apricotpoint._wire.tasks import BatchResult, OutcomeStatus, RunBatch, TaskOutcome, TaskSpec

Reply = Callable[[BatchResult], None]


def issue(entry: FakeEntry):
    return entry.coordinator.issue_keys(1)[0]


def outcome_of(batch: RunBatch, index: int):
    return TaskOutcome(batch.tasks[index].start_id, OutcomeStatus.DONE, value=index, error="bent")


def codes(answers: list[Answer]):
    return [answer.code for answer in answers]


@pytest.mark.parametrize("backend", ["asyncio", "trio"])
def test_job_is_complete_and_in_order_on_both_event_loops(backend: str):
    async def main() -> None:
        async with running_system() as (_, a, _b):
            a.holder.run_s = 0.0
            answer = await a.coordinator.submit(request(issue(a), 3, deadline_ms=60_000))
            assert (answer.code, answer.results, answer.config_version) == (1000, [0, 1, 2], 3)
            assert a.coordinator.idle()

    anyio.run(main, backend=backend)


@pytest.mark.parametrize("caller_key", [False, True])
@pytest.mark.parametrize("at_s", [0.0, 0.005, 0.05, 0.2])
@pytest.mark.parametrize("via", ["a", "b"])
def test_resubmission_at_every_step_starts_nothing_twice(caller_key: bool, at_s: float, via: str):
    async def scenario(system: FakeSystem, a: FakeEntry, b: FakeEntry) -> None:
        system.home_delay_s = 0.01
        job = request("order-1" if caller_key else issue(a), 2)
        answers = []
        async with anyio.create_task_group() as group:
            group.start_soon(submit_later, a, job, answers)
            await anyio.sleep(at_s + 0.001)
            group.start_soon(submit_later, system.entry_by_id[via], job, answers)
        assert codes(answers) == [1000, 1000]
        assert answers[0].results == answers[1].results == [0, 1]
        assert len(system.all_starts()) == 2

    play(scenario)


def test_unreachable_or_replaced_coordinator_is_not_known():
    async def scenario(system: FakeSystem, a: FakeEntry, b: FakeEntry) -> None:
        for job in (request(issue(a)), request("order-1")):
            answers = []
            async with anyio.create_task_group() as group:
                group.start_soon(submit_later, a, job, answers)
                await anyio.sleep(0.05)
                system.cut = {"a"}
                answer = await b.coordinator.submit(job)
                system.cut = set()
            assert (answer.code, codes(answers)) == (3101, [1000])
        job = request("order-2")
        unused = request(issue(a))
        assert (await a.coordinator.submit(job)).code == 1000
        before = len(system.all_starts())
        again = await system.start("a", incarnation=2)
        for entry in (again, b):
            assert codes([await entry.coordinator.submit(item) for item in (job, unused)]) == [
                3101,
                3101,
            ]
        assert before == 3
        assert not system.all_starts()

    play(scenario)


def test_unreachable_home_starts_nothing_and_the_key_can_be_used_later():
    async def scenario(system: FakeSystem, a: FakeEntry, b: FakeEntry) -> None:
        system.home_cut = True
        job = request("order-1", deadline_ms=500)
        start = anyio.current_time()
        assert (await a.coordinator.submit(job)).code == 3102
        assert anyio.current_time() - start <= 0.5
        # A refusal without proof from the home would be a guess.
        assert (await a.coordinator.submit(request("x", service="gone"))).code == 3102
        system.home_cut = False
        system.home_delay_s = 0.7
        assert (await a.coordinator.submit(job)).code == 3102
        system.home_delay_s = 0.0
        # The claim of a was recorded although its reply was lost, so b asks a.
        assert (await b.coordinator.submit(job)).code == 1000
        assert (await a.coordinator.submit(job)).code == 1000
        assert len(system.all_starts()) == 1

    play(scenario)


def test_refusal_of_a_started_caller_key_by_another_entry_is_never_given():
    # Each of these conditions refuses new jobs at b, but the key runs at a.
    async def scenario(system: FakeSystem, a: FakeEntry, b: FakeEntry) -> None:
        job = request("order-1", deadline_ms=2_000)
        assert (await a.coordinator.submit(job)).code == 1000
        b.holder.loads = [load("x", slots=8, free=0)]
        a.holder.loads = []
        b.holder.queued_s = 1_000.0
        assert (await b.coordinator.submit(request("order-2"))).code == 2104
        assert (await b.coordinator.submit(job)).code == 1000
        system.configuration = attrs.evolve(system.configuration, service_by_name={})
        assert (await b.coordinator.submit(job)).code == 1000
        b.coordinator.start_draining()
        assert (await b.coordinator.submit(job)).code == 1000
        assert (await b.coordinator.submit(request("order-1", 2))).code == 2107
        assert "order-2" not in system.claim_by_key

    play(scenario)


@pytest.mark.parametrize(
    ("change", "code"),
    [
        ({"key": "a b"}, 2101),
        ({"tasks": []}, 2101),
        ({"deadline_ms": 0}, 2101),
        ({"valid_until": None}, 2101),
        ({"valid_until": int(WALL) + 3_601}, 2101),
        ({"valid_until": int(WALL)}, 3105),
        ({"key": f"~a.1.{int(WALL)}.1"}, 3105),
        ({"key": f"~a.1.{int(WALL) + 9_000}.1"}, 2101),
        ({"service": "gone"}, 2112),
        ({"team": "gone"}, 2112),
        ({"tasks": [TaskSpec("cut", declared_s=float("nan"))]}, 2101),
        ({"tasks": [TaskSpec("cut", cores=33)]}, 2106),
        ({"service": "none"}, 2109),
    ],
)
def test_request_that_must_not_start_is_refused_with_its_code(change: dict, code: int):
    async def scenario(system: FakeSystem, a: FakeEntry, b: FakeEntry) -> None:
        answer = await a.coordinator.submit(attrs.evolve(request("order-1"), **change))
        assert answer.code == code
        assert not a.holder.batches
        assert not b.holder.batches
        assert a.coordinator.dump()["tasks_by_team"] == {}

    play(scenario)


def test_backend_server_that_appears_within_the_deadline_is_used():
    async def scenario(system: FakeSystem, a: FakeEntry, b: FakeEntry) -> None:
        loads, a.holder.loads, b.holder.loads = a.holder.loads, [], []
        answers = []
        async with anyio.create_task_group() as group:
            group.start_soon(submit_later, a, request(issue(a), deadline_ms=3_000), answers)
            await anyio.sleep(1.0)
            a.holder.loads = loads
        assert codes(answers) == [1000]

    play(scenario)


def test_quota_is_usable_at_any_entry_and_counts_tasks_of_all_of_them():
    """Equal shares would refuse a second job at one entry while the quota is unused."""

    async def scenario(system: FakeSystem, a: FakeEntry, b: FakeEntry) -> None:
        def job(entry: FakeEntry, n: int) -> JobRequest:
            return request(issue(entry), n, team="small")

        answers = []
        async with anyio.create_task_group() as group:
            group.start_soon(submit_later, a, job(a, 5), answers)
            group.start_soon(submit_later, a, job(a, 2), answers)
            await anyio.sleep(0.03)
            assert (await a.coordinator.submit(job(a, 2))).code == 2103
            assert (await b.coordinator.submit(job(b, 2))).code == 2103
            assert (await b.coordinator.submit(job(b, 1))).code == 1000
        assert codes(answers) == [1000, 1000]
        assert (await a.coordinator.submit(job(a, 8))).code == 1000
        assert (await a.coordinator.submit(job(a, 9))).code == 2103

    play(scenario)


def test_both_sides_of_a_cut_together_stay_within_a_quota():
    """Without reports each side would take the whole quota."""

    async def scenario(system: FakeSystem, a: FakeEntry, b: FakeEntry) -> None:
        system.cut = {"b"}
        for entry in (a, b):
            answers = []
            async with anyio.create_task_group() as group:
                for n in (5, 3, 2, 1):
                    job = request(issue(entry), n, team="small")
                    group.start_soon(submit_later, entry, job, answers)
                    await anyio.sleep(0.001)
            assert codes(answers) == [2103, 2103, 1000, 1000]
        system.configuration = attrs.evolve(system.configuration, stopped_vms=["b"])
        job = request(issue(a), 8, team="small")
        assert (await a.coordinator.submit(job)).code == 1000

    play(scenario)


def test_only_jobs_of_one_task_are_marked_single():
    """The holder may retry an idempotent task only if its job has no other."""

    async def scenario(system: FakeSystem, a: FakeEntry, b: FakeEntry) -> None:
        for n in (1, 2):
            await a.coordinator.submit(request(issue(a), n))
        batches = [batch for entry in (a, b) for batch, _ in entry.holder.batches]
        assert [(len(batch.tasks), batch.single) for batch in batches] == [(1, True), (2, False)]

    play(scenario)


def test_overload_says_when_to_try_again_and_the_key_stays_usable():
    async def scenario(system: FakeSystem, a: FakeEntry, b: FakeEntry) -> None:
        for entry in (a, b):
            entry.holder.loads = [load(entry.entry_id, free=0)]
            entry.holder.queued_s = 16.0
        job = request(issue(a))
        answer = await a.coordinator.submit(job)
        assert answer.code == 2104
        assert answer.retry_after_ms >= 50
        hem = ServiceConfig("hem", max_tasks_queued=10)
        system.configuration = attrs.evolve(system.configuration, service_by_name={"hem": hem})
        await anyio.sleep(0.1)
        slow = attrs.evolve(job, deadline_ms=50_000)
        assert (await a.coordinator.submit(slow)).code == 2104
        for entry in (a, b):
            entry.holder.queued_s = 0.0
        await anyio.sleep(0.1)
        assert (await a.coordinator.submit(job)).code == 1000

    play(scenario)


def test_full_table_refuses_truly_and_keeps_known_keys():
    async def scenario(system: FakeSystem, a: FakeEntry, b: FakeEntry) -> None:
        system.make_table = lambda: JobTable(max_records=2, max_answers=1)
        c = await system.start("c")
        jobs = [request(key, 2) for key in c.coordinator.issue_keys(3)]
        assert codes([await c.coordinator.submit(job) for job in jobs]) == [1000, 1000, 2104]
        # The first answer was dropped, but not the knowledge that the job ran.
        assert codes([await c.coordinator.submit(job) for job in jobs]) == [1003, 1000, 2104]
        assert len(system.all_starts()) == 4
        await anyio.sleep(606)
        assert codes([await c.coordinator.submit(job) for job in jobs]) == [3105] * 3
        assert c.coordinator.dump()["table_entries"] == 0

    play(scenario)


@pytest.mark.parametrize(
    ("run_s", "on_cancel", "code", "later"),
    [
        (None, OutcomeStatus.NOT_STARTED, 3103, 2105),
        (None, OutcomeStatus.DONE, 3103, 1000),
        (None, OutcomeStatus.UNKNOWN, 3103, 3106),
        (0.5, OutcomeStatus.DONE, 1000, 1000),
    ],
)
def test_deadline_gives_3103_unless_nothing_started_and_late_results_complete(
    run_s: float | None, on_cancel: OutcomeStatus, code: int, later: int
):
    async def scenario(system: FakeSystem, a: FakeEntry, b: FakeEntry) -> None:
        a.holder.run_s, a.holder.on_cancel = run_s, on_cancel
        job = request(issue(a), 2)
        start = anyio.current_time()
        assert (await a.coordinator.submit(job)).code == code
        assert anyio.current_time() - start <= 1.0
        assert a.coordinator.idle()
        found = await b.coordinator.lookup("t", job.key, 1.0)
        assert found.answer.code == later
        assert len(a.holder.cancels) == (code == 3103)
        a.holder.run_s = 0.1
        again = await a.coordinator.submit(job)
        assert again.code == (1000 if later == 2105 else later)
        assert len(system.all_starts()) == 2

    play(scenario)


def test_not_started_reports_before_the_deadline_prove_2105():
    async def scenario(system: FakeSystem, a: FakeEntry, b: FakeEntry) -> None:
        a.holder.run_s = None
        answers = []
        async with anyio.create_task_group() as group:
            group.start_soon(submit_later, a, request(issue(a)), answers)
            await anyio.sleep(0.99)
            a.holder.report(0, OutcomeStatus.NOT_STARTED)
            a.holder.report(0, OutcomeStatus.NOT_STARTED)
        assert codes(answers) == [2105]
        assert a.counters.get("outcomes.unmatched") == 1

    play(scenario)


def test_tasks_that_were_not_started_are_placed_again_a_bounded_number_of_times():
    async def scenario(system: FakeSystem, a: FakeEntry, b: FakeEntry) -> None:
        a.holder.run_s = None
        run = a.holder.run

        def refuse(sender: Sender, batch: RunBatch, reply: Reply) -> None:
            run(sender, batch, reply)
            a.holder.report(len(a.holder.batches) - 1, OutcomeStatus.NOT_STARTED)

        a.holder.run = refuse
        b.holder.loads = []
        answer = await a.coordinator.submit(request(issue(a), deadline_ms=100_000))
        assert answer.code == 2109
        assert len(a.holder.batches) == 16
        ids = {batch.tasks[0].start_id for batch, _ in a.holder.batches}
        assert len(ids) == 16

    play(scenario)


@pytest.mark.parametrize(
    ("first", "second", "code"),
    [
        (OutcomeStatus.FAILED, OutcomeStatus.DONE, 1001),
        (OutcomeStatus.UNKNOWN, OutcomeStatus.DONE, 3106),
        (OutcomeStatus.UNKNOWN, OutcomeStatus.NOT_STARTED, 3106),
        (OutcomeStatus.DONE, OutcomeStatus.DONE, 1000),
    ],
)
def test_outcomes_in_parts_out_of_order_and_repeated_give_one_whole_answer(
    first: OutcomeStatus, second: OutcomeStatus, code: int
):
    async def scenario(system: FakeSystem, a: FakeEntry, b: FakeEntry) -> None:
        a.holder.run_s = None
        answers = []
        async with anyio.create_task_group() as group:
            group.start_soon(submit_later, a, request(issue(a), 2), answers)
            await anyio.sleep(0.01)
            batch, reply = a.holder.batches[0]
            outcomes = [
                attrs.evolve(outcome_of(batch, index), status=status)
                for index, status in ((1, second), (0, first))
            ]
            if second is OutcomeStatus.NOT_STARTED:
                outcomes.reverse()
            lost = [attrs.evolve(item, status=OutcomeStatus.UNKNOWN) for item in outcomes]
            a.transport.handlers_by_type[BatchResult](
                Sender("b", 1), BatchResult(batch.batch_id, lost)
            )
            stale = attrs.evolve(outcomes[0], start_id="1.99.0.1")
            broken = attrs.evolve(outcomes[0], start_id="nonsense")
            reply(BatchResult(batch.batch_id, [stale, broken, outcomes[0], outcomes[0]]))
            reply(BatchResult(batch.batch_id, outcomes))
            reply(BatchResult(batch.batch_id, outcomes))
        assert codes(answers) == [code]
        assert (answers[0].results is not None) == (code == 1000)
        assert [item.index for item in answers[0].failed] == ([0] if code == 1001 else [])
        assert a.counters.get("outcomes.unmatched") >= 5

    play(scenario)


def test_job_with_ran_and_unstarted_tasks_is_3107_and_never_partial():
    async def scenario(system: FakeSystem, a: FakeEntry, b: FakeEntry) -> None:
        a.holder.run_s = None
        answers = []
        async with anyio.create_task_group() as group:
            group.start_soon(submit_later, a, request(issue(a), 2), answers)
            await anyio.sleep(0.99)
            batch, reply = a.holder.batches[0]
            done = outcome_of(batch, 0)
            rest = attrs.evolve(outcome_of(batch, 1), status=OutcomeStatus.NOT_STARTED)
            reply(BatchResult(batch.batch_id, [done, rest]))
        assert (codes(answers), answers[0].results) == ([3107], None)

    play(scenario)


@pytest.mark.parametrize("lost", ["cut", "restart"])
def test_lost_lease_holder_makes_its_tasks_not_known(lost: str):
    async def scenario(system: FakeSystem, a: FakeEntry, b: FakeEntry) -> None:
        a.holder.loads = []
        b.holder.run_s = None
        answers = []
        async with anyio.create_task_group() as group:
            group.start_soon(submit_later, a, request(issue(a), deadline_ms=5_000), answers)
            await anyio.sleep(0.01)
            start = anyio.current_time()
            system.cut = {"b"}
            if lost == "restart":
                await system.start("b", incarnation=2)
        assert codes(answers) == [3103 if lost == "cut" else 3106]
        assert a.coordinator.dump()["tasks_by_team"] == {}
        assert lost == "cut" or anyio.current_time() - start < 0.5
        assert sum(isinstance(message, RunBatch) for _, message in a.transport.sent) == 1

    play(scenario)


@pytest.mark.parametrize(
    ("status", "at_s", "code"),
    [
        (OutcomeStatus.NOT_STARTED, 0.0, 2108),
        (OutcomeStatus.UNKNOWN, 0.0, 3104),
        (OutcomeStatus.DONE, 0.0, 1000),
        (OutcomeStatus.DONE, 0.3, 1000),
    ],
)
def test_cancel_submission_and_lookup_agree_on_one_outcome(
    status: OutcomeStatus, at_s: float, code: int
):
    async def scenario(system: FakeSystem, a: FakeEntry, b: FakeEntry) -> None:
        a.holder.run_s = None if at_s == 0.0 else 0.1
        a.holder.on_cancel = status
        job = request(issue(a), 3)
        answers = []
        async with anyio.create_task_group() as group:
            group.start_soon(submit_later, a, job, answers)
            await anyio.sleep(0.01 + at_s)
            answers.append(await b.coordinator.cancel("t", job.key))
            answers.append(await a.coordinator.cancel("t", job.key))
        answers.append((await b.coordinator.lookup("t", job.key, 0)).answer)
        answers.append(await a.coordinator.submit(job))
        assert codes(answers) == [code] * 5
        assert len(a.holder.cancels) == (at_s == 0.0)

    play(scenario)


def test_a_wave_of_cancellations_is_one_message_for_each_holder():
    async def scenario(system: FakeSystem, a: FakeEntry, b: FakeEntry) -> None:
        a.holder.loads = []
        b.holder.run_s = None
        keys = a.coordinator.issue_keys(20)
        answers = []
        async with anyio.create_task_group() as group:
            for key in keys:
                group.start_soon(submit_later, a, request(key), answers)
            await anyio.sleep(0.01)
            for key in keys:
                group.start_soon(a.coordinator.cancel, "t", key)
        assert codes(answers) == [2108] * 20
        assert len(b.holder.cancels) == 1

    play(scenario)


def test_cancel_during_the_claim_waits_for_the_home():
    async def scenario(system: FakeSystem, a: FakeEntry, b: FakeEntry) -> None:
        system.home_delay_s = 0.1
        job = request("order-1")
        answers = []
        async with anyio.create_task_group() as group:
            group.start_soon(submit_later, a, job, answers)
            await anyio.sleep(0.05)
            answers.append(await a.coordinator.cancel("t", job.key))
        assert codes(answers) == [2108, 2108]
        assert (await b.coordinator.cancel("t", job.key)).code == 2108
        assert (await b.coordinator.submit(job)).code == 2108
        # A key that was cancelled before its use can't start later.
        unused = issue(a)
        assert (await b.coordinator.cancel("t", unused)).code == 2108
        assert (await a.coordinator.submit(request(unused))).code == 2108
        assert (await a.coordinator.cancel("t", "order-9")).code == 3101
        assert not system.all_starts()

    play(scenario)


def test_job_goes_on_when_its_caller_disconnects():
    async def scenario(system: FakeSystem, a: FakeEntry, b: FakeEntry) -> None:
        jobs = [request(issue(a)), request("order-1")]
        for job in jobs:
            with anyio.move_on_after(0.05):
                await a.coordinator.submit(job)
            assert (await a.coordinator.lookup("t", job.key, 0)).answer is None
            assert (await b.coordinator.lookup("t", job.key, 1)).answer.code == 1000
        assert len(system.all_starts()) == 2
        assert not (await a.coordinator.lookup("t", "order-9", 1)).found

    play(scenario)


@pytest.mark.parametrize("grace_s", [3.0, 6.0])
def test_draining_refuses_new_jobs_and_accepts_unused_keys_for_a_while(grace_s: float):
    async def scenario(system: FakeSystem, old: FakeEntry, b: FakeEntry) -> None:
        system.drain_grace_s = grace_s
        a = await system.start("a", incarnation=2)
        first, second = a.coordinator.issue_keys(2)
        running = request(issue(a), deadline_ms=20_000)
        a.holder.run_s = grace_s + 2
        answers = []
        async with anyio.create_task_group() as group:
            group.start_soon(submit_later, a, running, answers)
            await anyio.sleep(0.01)
            a.coordinator.start_draining()
            a.draining = True
            refused = await a.coordinator.submit(request("order-1"))
            assert (refused.code, refused.others) == (2110, ["http://b"])
            assert (await b.coordinator.submit(request("order-1"))).code == 1000
            with pytest.raises(Exception, match="2110"):
                a.coordinator.issue_keys(1)
            a.holder.run_s = 0.1
            await anyio.sleep(grace_s - 2)
            assert (await b.coordinator.submit(request(first))).code == 1000
            assert not a.coordinator.idle()
            await anyio.sleep(2)
            assert (await b.coordinator.submit(request(second))).code == 2110
            # A job still runs beyond the grace period.
            assert not a.coordinator.idle()
        assert codes(answers) == [1000]
        assert a.coordinator.idle()
        # Without any job, an issued key still keeps the process from stopping.
        issue(b)
        b.coordinator.start_draining()
        assert not b.coordinator.idle()
        await anyio.sleep(6)
        assert b.coordinator.idle()

    play(scenario)


def test_request_is_forwarded_once_and_messages_are_few():
    async def scenario(system: FakeSystem, a: FakeEntry, b: FakeEntry) -> None:
        job = request(issue(a))
        assert (await b.coordinator.submit(job)).code == 1000
        forwards = [m for _, m in b.transport.sent if isinstance(m, SubmitForward)]
        assert len(forwards) == 1
        assert forwards[0].request.deadline_ms < job.deadline_ms
        assert not a.transport.sent
        foreign = SubmitForward(request("order-1"), attach_only=False)
        reply = await b.transport.request("a", foreign, timeout_s=1.0)
        assert (reply.answer.code, system.claim_by_key) == (3101, {})
        b.transport.sent.pop()
        await b.coordinator.cancel("t", job.key)
        assert [type(m) for _, m in b.transport.sent[1:]] == [CancelForward]
        json.dumps([a.coordinator.dump(), a.coordinator.rows(), a.coordinator.rows("tasks")])
        assert [row["code"] for row in a.coordinator.rows()] == [1000]

    play(scenario)


def test_job_that_fails_while_it_is_placed_sends_no_further_batch():
    async def scenario(system: FakeSystem, a: FakeEntry, b: FakeEntry) -> None:
        a.holder.run_s = None
        run = a.holder.run

        def lose(sender: Sender, batch: RunBatch, reply: Reply) -> None:
            run(sender, batch, reply)
            a.holder.report(len(a.holder.batches) - 1, OutcomeStatus.UNKNOWN)

        a.holder.run = lose
        assert (await a.coordinator.submit(request(issue(a), 16))).code == 3106
        assert len(a.holder.batches) + len(b.holder.batches) == 1

    play(scenario)


def test_repeated_cancellation_sends_no_second_message():
    async def scenario(system: FakeSystem, a: FakeEntry, b: FakeEntry) -> None:
        a.holder.run_s, cancels = None, []
        a.holder.cancel = lambda sender, batch_ids: cancels.append(batch_ids)
        job = request(issue(a))
        answers: list[Answer] = []
        async with anyio.create_task_group() as group:
            group.start_soon(submit_later, a, job, answers)
            for _ in range(3):
                await anyio.sleep(0.1)
                group.start_soon(a.coordinator.cancel, "t", job.key)
        assert (codes(answers), len(cancels)) == ([3104], 1)

    play(scenario)
