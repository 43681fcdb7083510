"""Each job starts once, and every submission gets one correct answer by its deadline."""

from __future__ import annotations

import json
from collections.abc import Callable

import anyio
import attrs
import pytest
from jobs_fakes import (
    WALL_START,
    FakeEntry,
    FakeSystem,
    load,
    request,
    run_scenario,
    running_system,
    submit_and_append,
)

from apricotpoint._jobs.table import JobTable
from apricotpoint._link.transport import Sender
from apricotpoint._wire.configuration import ServiceConfig
from apricotpoint._wire.jobs import Answer, CancelForward, JobRequest, SubmitForward
from apricotpoint._wire.tasks import BatchResult, OutcomeStatus, RunBatch, TaskOutcome, TaskSpec

Reply = Callable[[BatchResult], None]


def issue_key(entry: FakeEntry):
    return entry.coordinator.issue_keys(1)[0]


def done_outcome(batch: RunBatch, index: int):
    return TaskOutcome(batch.tasks[index].start_id, OutcomeStatus.DONE, value=index, error="bent")


def codes(answers: list[Answer]):
    return [answer.code for answer in answers]


@pytest.mark.parametrize("backend", ["asyncio", "trio"])
def test_results_are_complete_and_in_order_on_both_event_loops(backend: str):
    """Guards against code that works on one event loop only, and against results out of order."""

    async def main() -> None:
        async with running_system() as (_, a, _b):
            a.holder.run_s = 0.0
            answer = await a.coordinator.submit(request(issue_key(a), 3, deadline_ms=60_000))
            assert (answer.code, answer.results, answer.config_version) == (1000, [0, 1, 2], 3)
            assert a.coordinator.idle()

    anyio.run(main, backend=backend)


@pytest.mark.parametrize("caller_key", [False, True])
@pytest.mark.parametrize("at_s", [0.0, 0.005, 0.05, 0.2])
@pytest.mark.parametrize("via", ["a", "b"])
def test_resubmission_at_any_step_starts_no_task_twice(caller_key: bool, at_s: float, via: str):
    """Guards against a second start by a resubmission.

    It arrives before, during or after the claim, the run and the answer, at the same entry
    process or at another one.
    """

    async def scenario(system: FakeSystem, a: FakeEntry, b: FakeEntry) -> None:
        system.home_delay_s = 0.01
        job = request("order-1" if caller_key else issue_key(a), 2)
        answers = []
        async with anyio.create_task_group() as group:
            group.start_soon(submit_and_append, a, job, answers)
            await anyio.sleep(at_s + 0.001)
            group.start_soon(submit_and_append, system.entry_by_id[via], job, answers)
        assert codes(answers) == [1000, 1000]
        assert answers[0].results == answers[1].results == [0, 1]
        assert len(system.all_start_ids()) == 2

    run_scenario(scenario)


def test_unreachable_or_restarted_coordinator_gives_3101():
    """Guards against a second start of a job whose coordinator is unreachable or has restarted.

    Another process, or the new incarnation, cannot know whether the job has run.
    """

    async def scenario(system: FakeSystem, a: FakeEntry, b: FakeEntry) -> None:
        for job in (request(issue_key(a)), request("order-1")):
            answers = []
            async with anyio.create_task_group() as group:
                group.start_soon(submit_and_append, a, job, answers)
                await anyio.sleep(0.05)
                system.isolated_ids = {"a"}
                answer = await b.coordinator.submit(job)
                system.isolated_ids = set()
            assert (answer.code, codes(answers)) == (3101, [1000])
        job = request("order-2")
        unused = request(issue_key(a))
        assert (await a.coordinator.submit(job)).code == 1000
        before = len(system.all_start_ids())
        again = await system.start("a", incarnation=2)
        for entry in (again, b):
            assert codes([await entry.coordinator.submit(item) for item in (job, unused)]) == [
                3101,
                3101,
            ]
        assert before == 3
        assert not system.all_start_ids()

    run_scenario(scenario)


def test_unreachable_home_starts_no_task_and_the_key_stays_usable():
    """Guards against a start or a refusal of a caller key without a reply from its home.

    The claim may also be recorded while its reply is lost.
    """

    async def scenario(system: FakeSystem, a: FakeEntry, b: FakeEntry) -> None:
        system.home_unreachable = True
        job = request("order-1", deadline_ms=500)
        start = anyio.current_time()
        assert (await a.coordinator.submit(job)).code == 3102
        assert anyio.current_time() - start <= 0.5
        # A refusal without proof from the home would be a guess.
        assert (await a.coordinator.submit(request("x", service="gone"))).code == 3102
        system.home_unreachable = False
        system.home_delay_s = 0.7
        assert (await a.coordinator.submit(job)).code == 3102
        system.home_delay_s = 0.0
        # The claim of a was recorded although its reply was lost, so b asks a.
        assert (await b.coordinator.submit(job)).code == 1000
        assert (await a.coordinator.submit(job)).code == 1000
        assert len(system.all_start_ids()) == 1

    run_scenario(scenario)


def test_no_entry_process_refuses_a_caller_key_started_by_another():
    """Guards against "did not run" for a job that runs at another entry process.

    Overload, an unknown service, draining or a key conflict would refuse a new job at b, but the
    key was started at a.
    """

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

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("change", "code"),
    [
        ({"key": "a b"}, 2101),
        ({"tasks": []}, 2101),
        ({"deadline_ms": 0}, 2101),
        ({"valid_until": None}, 2101),
        ({"valid_until": int(WALL_START) + 3_601}, 2101),
        ({"valid_until": int(WALL_START)}, 3105),
        ({"key": f"~a.1.{int(WALL_START)}.1"}, 3105),
        ({"key": f"~a.1.{int(WALL_START) + 9_000}.1"}, 2101),
        ({"service": "gone"}, 2112),
        ({"team": "gone"}, 2112),
        ({"tasks": [TaskSpec("cut", declared_s=float("nan"))]}, 2101),
        ({"tasks": [TaskSpec("cut", cores=33)]}, 2106),
        ({"service": "none"}, 2109),
    ],
)
def test_invalid_or_infeasible_request_is_refused_with_its_code(change: dict, code: int):
    """Guards against the start of a job to be refused, and against quota left in use by it."""

    async def scenario(system: FakeSystem, a: FakeEntry, b: FakeEntry) -> None:
        answer = await a.coordinator.submit(attrs.evolve(request("order-1"), **change))
        assert answer.code == code
        assert not a.holder.batches
        assert not b.holder.batches
        assert a.coordinator.dump()["tasks_by_team"] == {}

    run_scenario(scenario)


def test_backend_server_that_appears_within_the_deadline_is_used():
    """Guards against an early refusal when no backend server is known at the submission."""

    async def scenario(system: FakeSystem, a: FakeEntry, b: FakeEntry) -> None:
        loads, a.holder.loads, b.holder.loads = a.holder.loads, [], []
        answers = []
        async with anyio.create_task_group() as group:
            group.start_soon(
                submit_and_append, a, request(issue_key(a), deadline_ms=3_000), answers
            )
            await anyio.sleep(1.0)
            a.holder.loads = loads
        assert codes(answers) == [1000]

    run_scenario(scenario)


def test_whole_quota_is_usable_at_any_entry_process_and_counts_tasks_of_all():
    """Guards against quota divided in equal shares, or counted for one entry process only.

    Equal shares would refuse a second job at one entry process while quota is unused.
    """

    async def scenario(system: FakeSystem, a: FakeEntry, b: FakeEntry) -> None:
        def job(entry: FakeEntry, n: int) -> JobRequest:
            return request(issue_key(entry), n, team="small")

        answers = []
        async with anyio.create_task_group() as group:
            group.start_soon(submit_and_append, a, job(a, 5), answers)
            group.start_soon(submit_and_append, a, job(a, 2), answers)
            await anyio.sleep(0.03)
            assert (await a.coordinator.submit(job(a, 2))).code == 2103
            assert (await b.coordinator.submit(job(b, 2))).code == 2103
            assert (await b.coordinator.submit(job(b, 1))).code == 1000
        assert codes(answers) == [1000, 1000]
        assert (await a.coordinator.submit(job(a, 8))).code == 1000
        assert (await a.coordinator.submit(job(a, 9))).code == 2103

    run_scenario(scenario)


def test_both_sides_of_a_partition_together_stay_within_a_quota():
    """Guards against a quota exceeded during a network partition.

    Without reports from the other side, each side would use the whole quota.
    """

    async def scenario(system: FakeSystem, a: FakeEntry, b: FakeEntry) -> None:
        system.isolated_ids = {"b"}
        for entry in (a, b):
            answers = []
            async with anyio.create_task_group() as group:
                for n in (5, 3, 2, 1):
                    job = request(issue_key(entry), n, team="small")
                    group.start_soon(submit_and_append, entry, job, answers)
                    await anyio.sleep(0.001)
            assert codes(answers) == [2103, 2103, 1000, 1000]
        system.configuration = attrs.evolve(system.configuration, stopped_vms=["b"])
        job = request(issue_key(a), 8, team="small")
        assert (await a.coordinator.submit(job)).code == 1000

    run_scenario(scenario)


def test_only_jobs_of_one_task_are_marked_single():
    """Guards against a retry of a task that is not its job's only one.

    The lease holder may retry an idempotent task only in a batch that is marked single.
    """

    async def scenario(system: FakeSystem, a: FakeEntry, b: FakeEntry) -> None:
        for n in (1, 2):
            await a.coordinator.submit(request(issue_key(a), n))
        batches = [batch for entry in (a, b) for batch, _ in entry.holder.batches]
        assert [(len(batch.tasks), batch.single) for batch in batches] == [(1, True), (2, False)]

    run_scenario(scenario)


def test_overload_gives_a_retry_delay_and_the_key_stays_usable():
    """Guards against a refusal for overload that uses up its key or gives no retry delay."""

    async def scenario(system: FakeSystem, a: FakeEntry, b: FakeEntry) -> None:
        for entry in (a, b):
            entry.holder.loads = [load(entry.entry_id, free=0)]
            entry.holder.queued_s = 16.0
        job = request(issue_key(a))
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

    run_scenario(scenario)


def test_full_job_table_refuses_new_keys_and_keeps_known_keys():
    """Guards against a full job table that removes records, which would allow a second start."""

    async def scenario(system: FakeSystem, a: FakeEntry, b: FakeEntry) -> None:
        system.make_table = lambda: JobTable(max_records=2, max_answers=1)
        c = await system.start("c")
        jobs = [request(key, 2) for key in c.coordinator.issue_keys(3)]
        assert codes([await c.coordinator.submit(job) for job in jobs]) == [1000, 1000, 2104]
        # The first answer was dropped, but not the knowledge that the job ran.
        assert codes([await c.coordinator.submit(job) for job in jobs]) == [1003, 1000, 2104]
        assert len(system.all_start_ids()) == 4
        await anyio.sleep(606)
        assert codes([await c.coordinator.submit(job) for job in jobs]) == [3105] * 3
        assert c.coordinator.dump()["table_entries"] == 0

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("run_s", "cancel_outcome", "code", "later"),
    [
        (None, OutcomeStatus.NOT_STARTED, 3103, 2105),
        (None, OutcomeStatus.DONE, 3103, 1000),
        (None, OutcomeStatus.UNKNOWN, 3103, 3106),
        (0.5, OutcomeStatus.DONE, 1000, 1000),
    ],
)
def test_deadline_gives_3103_unless_nothing_started_and_late_results_complete(
    run_s: float | None, cancel_outcome: OutcomeStatus, code: int, later: int
):
    """Guards against a late answer, and against late outcomes that are lost.

    What the lease holder reports after the deadline decides the later answers of the key.
    """

    async def scenario(system: FakeSystem, a: FakeEntry, b: FakeEntry) -> None:
        a.holder.run_s, a.holder.cancel_outcome = run_s, cancel_outcome
        job = request(issue_key(a), 2)
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
        assert len(system.all_start_ids()) == 2

    run_scenario(scenario)


def test_not_started_reports_before_the_deadline_give_2105():
    """Guards against code 3103 although the lease holder reported in time that nothing started."""

    async def scenario(system: FakeSystem, a: FakeEntry, b: FakeEntry) -> None:
        a.holder.run_s = None
        answers = []
        async with anyio.create_task_group() as group:
            group.start_soon(submit_and_append, a, request(issue_key(a)), answers)
            await anyio.sleep(0.99)
            a.holder.report(0, OutcomeStatus.NOT_STARTED)
            a.holder.report(0, OutcomeStatus.NOT_STARTED)
        assert codes(answers) == [2105]
        assert a.counters.get("outcomes.unmatched") == 1

    run_scenario(scenario)


def test_tasks_that_were_not_started_are_placed_again_a_bounded_number_of_times():
    """Guards against endless placements of a task that its lease holder always returns.

    Each placement must have a start id of its own.
    """

    async def scenario(system: FakeSystem, a: FakeEntry, b: FakeEntry) -> None:
        a.holder.run_s = None
        run = a.holder.run

        def report_not_started(sender: Sender, batch: RunBatch, reply: Reply) -> None:
            run(sender, batch, reply)
            a.holder.report(len(a.holder.batches) - 1, OutcomeStatus.NOT_STARTED)

        a.holder.run = report_not_started
        b.holder.loads = []
        answer = await a.coordinator.submit(request(issue_key(a), deadline_ms=100_000))
        assert answer.code == 2109
        assert len(a.holder.batches) == 16
        ids = {batch.tasks[0].start_id for batch, _ in a.holder.batches}
        assert len(ids) == 16

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("first", "second", "code"),
    [
        (OutcomeStatus.FAILED, OutcomeStatus.DONE, 1001),
        (OutcomeStatus.UNKNOWN, OutcomeStatus.DONE, 3106),
        (OutcomeStatus.UNKNOWN, OutcomeStatus.NOT_STARTED, 3106),
        (OutcomeStatus.DONE, OutcomeStatus.DONE, 1000),
    ],
)
def test_outcomes_in_parts_out_of_order_and_repeated_give_one_answer(
    first: OutcomeStatus, second: OutcomeStatus, code: int
):
    """Guards against a wrong answer from outcomes that are split, reordered, repeated or foreign.

    Outcomes from another holder, of an old start or with an invalid start id must be ignored.
    """

    async def scenario(system: FakeSystem, a: FakeEntry, b: FakeEntry) -> None:
        a.holder.run_s = None
        answers = []
        async with anyio.create_task_group() as group:
            group.start_soon(submit_and_append, a, request(issue_key(a), 2), answers)
            await anyio.sleep(0.01)
            batch, reply = a.holder.batches[0]
            outcomes = [
                attrs.evolve(done_outcome(batch, index), status=status)
                for index, status in ((1, second), (0, first))
            ]
            if second is OutcomeStatus.NOT_STARTED:
                outcomes.reverse()
            foreign = [attrs.evolve(item, status=OutcomeStatus.UNKNOWN) for item in outcomes]
            a.transport.handlers_by_type[BatchResult](
                Sender("b", 1), BatchResult(batch.batch_id, foreign)
            )
            stale = attrs.evolve(outcomes[0], start_id="1.99.0.1")
            invalid = attrs.evolve(outcomes[0], start_id="nonsense")
            reply(BatchResult(batch.batch_id, [stale, invalid, outcomes[0], outcomes[0]]))
            reply(BatchResult(batch.batch_id, outcomes))
            reply(BatchResult(batch.batch_id, outcomes))
        assert codes(answers) == [code]
        assert (answers[0].results is not None) == (code == 1000)
        assert [item.index for item in answers[0].failed] == ([0] if code == 1001 else [])
        assert a.counters.get("outcomes.unmatched") >= 5

    run_scenario(scenario)


def test_job_with_ran_and_not_started_tasks_gives_3107_without_results():
    """Guards against a partial answer when only some tasks ran before the deadline."""

    async def scenario(system: FakeSystem, a: FakeEntry, b: FakeEntry) -> None:
        a.holder.run_s = None
        answers = []
        async with anyio.create_task_group() as group:
            group.start_soon(submit_and_append, a, request(issue_key(a), 2), answers)
            await anyio.sleep(0.99)
            batch, reply = a.holder.batches[0]
            done = done_outcome(batch, 0)
            rest = attrs.evolve(done_outcome(batch, 1), status=OutcomeStatus.NOT_STARTED)
            reply(BatchResult(batch.batch_id, [done, rest]))
        assert (codes(answers), answers[0].results) == ([3107], None)

    run_scenario(scenario)


@pytest.mark.parametrize("lost", ["partition", "restart"])
def test_tasks_of_a_lost_lease_holder_are_unknown(lost: str):
    """Guards against a second start of tasks whose lease holder is unreachable or has restarted."""

    async def scenario(system: FakeSystem, a: FakeEntry, b: FakeEntry) -> None:
        a.holder.loads = []
        b.holder.run_s = None
        answers = []
        async with anyio.create_task_group() as group:
            group.start_soon(
                submit_and_append, a, request(issue_key(a), deadline_ms=5_000), answers
            )
            await anyio.sleep(0.01)
            start = anyio.current_time()
            system.isolated_ids = {"b"}
            if lost == "restart":
                await system.start("b", incarnation=2)
        assert codes(answers) == [3103 if lost == "partition" else 3106]
        assert a.coordinator.dump()["tasks_by_team"] == {}
        assert lost == "partition" or anyio.current_time() - start < 0.5
        assert sum(isinstance(message, RunBatch) for _, message in a.transport.sent) == 1

    run_scenario(scenario)


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
    """Guards against different codes for one cancelled job.

    Submissions, cancellations and lookups at both entry processes must give the same code.
    """

    async def scenario(system: FakeSystem, a: FakeEntry, b: FakeEntry) -> None:
        a.holder.run_s = None if at_s == 0.0 else 0.1
        a.holder.cancel_outcome = status
        job = request(issue_key(a), 3)
        answers = []
        async with anyio.create_task_group() as group:
            group.start_soon(submit_and_append, a, job, answers)
            await anyio.sleep(0.01 + at_s)
            answers.append(await b.coordinator.cancel("t", job.key))
            answers.append(await a.coordinator.cancel("t", job.key))
        answers.append((await b.coordinator.lookup("t", job.key, 0)).answer)
        answers.append(await a.coordinator.submit(job))
        assert codes(answers) == [code] * 5
        assert len(a.holder.cancels) == (at_s == 0.0)

    run_scenario(scenario)


def test_cancellations_at_one_time_are_one_message_for_each_holder():
    """Guards against one message for each job when many jobs are cancelled at the same time."""

    async def scenario(system: FakeSystem, a: FakeEntry, b: FakeEntry) -> None:
        a.holder.loads = []
        b.holder.run_s = None
        keys = a.coordinator.issue_keys(20)
        answers = []
        async with anyio.create_task_group() as group:
            for key in keys:
                group.start_soon(submit_and_append, a, request(key), answers)
            await anyio.sleep(0.01)
            for key in keys:
                group.start_soon(a.coordinator.cancel, "t", key)
        assert codes(answers) == [2108] * 20
        assert len(b.holder.cancels) == 1

    run_scenario(scenario)


def test_cancellation_during_a_claim_waits_for_the_home():
    """Guards against a start after a cancellation that came during the claim or before any use."""

    async def scenario(system: FakeSystem, a: FakeEntry, b: FakeEntry) -> None:
        system.home_delay_s = 0.1
        job = request("order-1")
        answers = []
        async with anyio.create_task_group() as group:
            group.start_soon(submit_and_append, a, job, answers)
            await anyio.sleep(0.05)
            answers.append(await a.coordinator.cancel("t", job.key))
        assert codes(answers) == [2108, 2108]
        assert (await b.coordinator.cancel("t", job.key)).code == 2108
        assert (await b.coordinator.submit(job)).code == 2108
        # A key that was cancelled before its use can't start later.
        unused = issue_key(a)
        assert (await b.coordinator.cancel("t", unused)).code == 2108
        assert (await a.coordinator.submit(request(unused))).code == 2108
        assert (await a.coordinator.cancel("t", "order-9")).code == 3101
        assert not system.all_start_ids()

    run_scenario(scenario)


def test_job_continues_when_its_caller_disconnects():
    """Guards against a job that ends or is lost when its caller disconnects."""

    async def scenario(system: FakeSystem, a: FakeEntry, b: FakeEntry) -> None:
        jobs = [request(issue_key(a)), request("order-1")]
        for job in jobs:
            with anyio.move_on_after(0.05):
                await a.coordinator.submit(job)
            assert (await a.coordinator.lookup("t", job.key, 0)).answer is None
            assert (await b.coordinator.lookup("t", job.key, 1)).answer.code == 1000
        assert len(system.all_start_ids()) == 2
        assert not (await a.coordinator.lookup("t", "order-9", 1)).found

    run_scenario(scenario)


@pytest.mark.parametrize("grace_s", [3.0, 6.0])
def test_draining_refuses_new_jobs_and_accepts_issued_keys_for_the_grace_period(grace_s: float):
    """Guards against refused issued keys, or a process that stops too early, while it drains.

    The process is idle only when its jobs have ended and the grace period has passed.
    """

    async def scenario(system: FakeSystem, old: FakeEntry, b: FakeEntry) -> None:
        system.drain_grace_s = grace_s
        a = await system.start("a", incarnation=2)
        first, second = a.coordinator.issue_keys(2)
        running = request(issue_key(a), deadline_ms=20_000)
        a.holder.run_s = grace_s + 2
        answers = []
        async with anyio.create_task_group() as group:
            group.start_soon(submit_and_append, a, running, answers)
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
        issue_key(b)
        b.coordinator.start_draining()
        assert not b.coordinator.idle()
        await anyio.sleep(6)
        assert b.coordinator.idle()

    run_scenario(scenario)


def test_submission_is_forwarded_once_with_one_message():
    """Guards against forwarding loops and additional messages between entry processes."""

    async def scenario(system: FakeSystem, a: FakeEntry, b: FakeEntry) -> None:
        job = request(issue_key(a))
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

    run_scenario(scenario)


def test_job_that_fails_during_its_placement_sends_no_further_batch():
    """Guards against batches of a job that failed while an earlier batch was being sent."""

    async def scenario(system: FakeSystem, a: FakeEntry, b: FakeEntry) -> None:
        a.holder.run_s = None
        run = a.holder.run

        def report_unknown(sender: Sender, batch: RunBatch, reply: Reply) -> None:
            run(sender, batch, reply)
            a.holder.report(len(a.holder.batches) - 1, OutcomeStatus.UNKNOWN)

        a.holder.run = report_unknown
        assert (await a.coordinator.submit(request(issue_key(a), 16))).code == 3106
        assert len(a.holder.batches) + len(b.holder.batches) == 1

    run_scenario(scenario)


def test_repeated_cancellation_sends_no_second_message():
    """Guards against one message for each repetition of a cancellation."""

    async def scenario(system: FakeSystem, a: FakeEntry, b: FakeEntry) -> None:
        a.holder.run_s, cancels = None, []
        a.holder.cancel = lambda sender, batch_ids: cancels.append(batch_ids)
        job = request(issue_key(a))
        answers: list[Answer] = []
        async with anyio.create_task_group() as group:
            group.start_soon(submit_and_append, a, job, answers)
            for _ in range(3):
                await anyio.sleep(0.1)
                group.start_soon(a.coordinator.cancel, "t", job.key)
        assert (codes(answers), len(cancels)) == ([3104], 1)

    run_scenario(scenario)
