"""Commands across processes: rows, cancellations, resends, and unreachable processes."""

from __future__ import annotations

from functools import partial
from typing import Any

import anyio
import pytest
from operator_fakes import make_system, run_on_virtual_time

from apricotpoint._core.codes import ResultCode
from apricotpoint._link.transport import PeerUnreachable
from apricotpoint._programs.configrows import evacuation_rows
from apricotpoint._wire.configuration import Configuration, Evacuation

CHANGE = "set service order-desk max_queue_s = 20s, guards = false at 7"


def test_show_merges_the_rows_of_all_processes():
    """Guards against rows that lack another process, or ignore the condition or the order."""
    first, _ = make_system()
    result = run_on_virtual_time(
        lambda: first.commands.run("show jobs where state = queued order by key")
    )
    assert result.code is ResultCode.ACCEPTED
    assert [(row["process"], row["key"]) for row in result.rows] == [
        ("puebla-1", "b"),
        ("toluca-1", "c"),
    ]
    assert result.unreachable == []
    assert result.config_version == 7


def test_equal_rows_of_a_replicated_table_are_merged():
    """Guards against one row for each process in tables that all processes replicate.

    The count must show that a process has another configuration.
    """
    first, second = make_system()
    result = run_on_virtual_time(lambda: first.commands.run("show services"))
    assert result.rows == [{"name": "order-desk", "processes": 2}]
    second.configuration = type(second.configuration)()
    result = run_on_virtual_time(lambda: first.commands.run("show services"))
    assert result.rows == [{"name": "order-desk", "processes": 1}]


def test_unreachable_process_is_listed_after_one_second():
    """Guards against incomplete rows that look complete, and queries that hang."""
    first, second = make_system()
    second.transport.unreachable = True

    async def show() -> tuple[Any, float]:
        started = anyio.current_time()
        return await first.commands.run("show jobs"), anyio.current_time() - started

    result, elapsed_s = run_on_virtual_time(show)
    assert result.unreachable == ["toluca-1"]
    assert "toluca-1" in result.message
    assert len(result.rows) == 2
    assert elapsed_s == pytest.approx(1.0)


def test_cancel_reaches_the_owners_of_the_jobs():
    """Guards against a cancellation that misses jobs of other processes."""
    first, second = make_system()
    result = run_on_virtual_time(lambda: first.commands.run("cancel jobs where state = queued"))
    assert result.code is ResultCode.ACCEPTED
    assert first.cancelled == [("hem", "b")]
    assert second.cancelled == [("cut", "c")]
    assert {row["code"] for row in result.rows} == {2108}


def test_resent_cancellation_does_not_cancel_jobs_submitted_later():
    """Guards against a resend that executes the cancellation again.

    Jobs that were submitted after the first execution would be cancelled too. The same command
    id with another condition must be an error on every process.
    """
    first, second = make_system()
    first.cancel_time_s = 0.5

    async def resend() -> Any:
        async with anyio.create_task_group() as group:
            for _ in range(2):
                group.start_soon(first.commands.run, "cancel jobs where team = hem", "c-1")
            await anyio.sleep(0.1)
        first.jobs.append({"team": "hem", "key": "new", "state": "queued", "age_s": 0.0})
        return await first.commands.run("cancel jobs where team = hem", "c-1")

    result = run_on_virtual_time(resend)
    assert sorted(first.cancelled) == [("hem", "a"), ("hem", "b")]
    assert len(result.rows) == 2
    for process in (first, second):
        other = run_on_virtual_time(
            partial(process.commands.run, "cancel jobs where team = cut", "c-1")
        )
        assert other.code is ResultCode.INVALID_COMMAND


def test_cancellation_resent_to_another_process_is_not_executed_again():
    """Guards against a second execution if the resend reaches another process.

    That process must get the stored result from the first one.
    """
    first, second = make_system()
    run_on_virtual_time(lambda: first.commands.run("cancel jobs where team = hem", "c-1"))
    first.jobs.append({"team": "hem", "key": "new", "state": "queued", "age_s": 0.0})
    result = run_on_virtual_time(lambda: second.commands.run("cancel jobs where team = hem", "c-1"))
    assert [row["key"] for row in result.rows] == ["a", "b"]
    assert sorted(first.cancelled) == [("hem", "a"), ("hem", "b")]


def test_cancellation_resent_while_it_runs_elsewhere_is_not_executed_twice():
    """Guards against a second execution while another process executes the first one."""
    first, second = make_system()
    first.cancel_time_s = 0.5

    async def resend() -> Any:
        async with anyio.create_task_group() as group:
            group.start_soon(first.commands.run, "cancel jobs where team = hem", "c-1")
            await anyio.sleep(0.1)
            return await second.commands.run("cancel jobs where team = hem", "c-1")

    assert run_on_virtual_time(resend).code is ResultCode.COORDINATOR_UNREACHABLE
    assert sorted(first.cancelled) == [("hem", "a"), ("hem", "b")]


def test_cancellation_with_an_unreachable_owner_is_executed_again_on_a_resend():
    """Guards against a stored result that lacks the jobs of a process that was unreachable."""
    first, second = make_system()
    second.transport.unreachable = True
    result = run_on_virtual_time(lambda: first.commands.run("cancel jobs where team = cut", "c-1"))
    assert result.code is ResultCode.COORDINATOR_UNREACHABLE
    assert result.unreachable == ["toluca-1"]
    second.transport.unreachable = False
    result = run_on_virtual_time(lambda: first.commands.run("cancel jobs where team = cut", "c-1"))
    assert result.code is ResultCode.ACCEPTED
    assert second.cancelled == [("cut", "c")]


def test_change_carries_its_base_version_and_the_same_id_on_a_resend():
    """Guards against a change that the replicated log takes for a new one when it is resent."""
    first, second = make_system()
    first.change_error = PeerUnreachable("toluca-c")
    unanswered = run_on_virtual_time(lambda: first.commands.run(f"{CHANGE} as x-1"))
    assert unanswered.code is ResultCode.COORDINATOR_UNREACHABLE
    result = run_on_virtual_time(lambda: second.commands.run(CHANGE, "x-1"))
    assert (result.code, result.version) == (ResultCode.ACCEPTED, 8)
    assert first.changes == second.changes
    (change,) = second.changes
    assert (change.command_id, change.base_version, change.action) == ("x-1", 7, "set_service")
    assert change.arguments == {"max_queue_s": 20.0, "guards": False}


@pytest.mark.parametrize(
    ("text", "code"),
    [
        ("create service order-desk at 7", 4103),
        ("set service order-dsk guards = true at 7", 4104),
        ("remove team hem at 7", 4104),
        ("set service order-desk guards = true, guards = false at 7", 4103),
        ("dump nowhere", 4104),
        ("submit order-desk team hem deadline 1s task quick", 4103),
        ("submit order-desk team hem until 9 deadline 1s task quick payload = x", 4103),
        ("submit order-desk team hem until 9 deadline 1s task quick count = 0", 4103),
        ("submit order-desk team hem until 9 deadline 1s task quick kores = 1", 4103),
        ('drain vm puebla-1 at 7 as "not an id"', 4103),
    ],
)
def test_invalid_command_is_rejected_and_changes_nothing(text: str, code: int):
    """Guards against invalid commands that have an effect or an error without a remedy."""
    first, _ = make_system()
    result = run_on_virtual_time(lambda: first.commands.run(text))
    assert (result.code, first.changes, first.requests) == (code, [], [])
    assert result.message
    assert result.remedy


@pytest.mark.parametrize("base", [6, 8])
def test_existence_is_not_checked_at_other_versions(base: int):
    """Guards against a resent `create` that is rejected because the object exists.

    If the first answer was lost, the resend must get that answer from the replicated log, not
    "already exists".
    """
    first, _ = make_system()
    result = run_on_virtual_time(lambda: first.commands.run(f"create service order-desk at {base}"))
    assert result.code is ResultCode.ACCEPTED


def test_resent_submission_has_the_same_key():
    """Guards against a resent submission that starts a second job under another key."""
    text = 'submit order-desk team hem until 9 deadline 800ms task q count = 2, payload = "[1]"'
    first, second = make_system()
    result = run_on_virtual_time(lambda: first.commands.run(text, "s-1"))
    run_on_virtual_time(lambda: second.commands.run(text, "s-1"))
    assert result.answer.results == [1, 1]
    assert first.requests == second.requests
    (request,) = first.requests
    assert (request.key, request.valid_until, request.deadline_ms) == ("op-s-1", 9, 800)
    assert [task.payload for task in request.tasks] == [[1], [1]]


def test_dump_of_another_process_is_fetched():
    """Guards against the dump of the wrong process, and an internal error without a dump."""
    first, second = make_system()
    assert run_on_virtual_time(lambda: first.commands.run("dump toluca-1")).dump == {
        "process": "toluca-1"
    }
    second.transport.unreachable = True
    result = run_on_virtual_time(lambda: first.commands.run("dump toluca-1"))
    assert result.code is ResultCode.COORDINATOR_UNREACHABLE


def test_evacuation_orders_name_the_last_order_that_is_known():
    """Guards against an order that undoes a newer one, and rows that hide who gave it."""
    first, _ = make_system()
    evacuation = Evacuation(True, 3, "c-1", 1_799_999_000.0)
    first.configuration = Configuration(version=7, evacuation_by_domain={"toluca": evacuation})
    result = run_on_virtual_time(lambda: first.commands.run("restore toluca", "c-2"))
    assert (result.code, result.command_id) == (ResultCode.ACCEPTED, "c-2")
    (change,) = first.changes
    assert (change.action, change.target) == ("finish_evacuation", "toluca")
    expected = {"known_order": 3, "ordered_at": 1_800_000_000.0, "domains": ["puebla", "toluca"]}
    assert change.arguments == expected
    rows = evacuation_rows(first.configuration, ["puebla"])
    assert list(rows[0]) == ["failure_domain", "evacuated", "since", "command_id", "order"]
    assert [tuple(row.values()) for row in rows] == [
        ("puebla", False, None, None, 0),
        ("toluca", True, "2027-01-15T07:43:20+00:00", "c-1", 3),
    ]
