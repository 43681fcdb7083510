"""Replies to lease renewals that overtake each other on different connections."""

from __future__ import annotations

import attrs
import pytest
from pool_harness import FakeBackend, SchedulerHarness, make_job, on_virtual_time, run_scheduler

from apricotpoint._pool.runs.backendclient import LeaseReply, RunKey
from apricotpoint._pool.runs.renewal import MAX_REPLY_DELAY_S


def _make_reply(clock_ms: int, *keys: RunKey, born_ms: int = 0) -> LeaseReply:
    return LeaseReply(
        clock_ms=clock_ms, born_ms=born_ms, progress_by_run=dict.fromkeys(keys, 10), ended=[]
    )


def _process(harness: SchedulerHarness, reply: LeaseReply) -> None:
    renewer = harness.scheduler.leases._renewer_by_id["w1"]
    renewer._process_reply(reply, harness.scheduler.held_by_id["w1"].token, 0.0)


@pytest.mark.parametrize("late_s", [0.001, 0.7, MAX_REPLY_DELAY_S])
@on_virtual_time
async def test_an_older_reply_does_not_bring_back_a_run_that_has_ended(late_s: float) -> None:
    """Guards against the stop of a run as one of an earlier holder, after its end was seen."""
    async with run_scheduler(FakeBackend()) as harness:
        held = harness.scheduler.held_by_id["w1"]
        # Of another clock than the fake backend server, so that only the two are compared.
        _process(harness, _make_reply(10_000_000))
        ended = RunKey("ended", 1)
        _process(harness, _make_reply(10_000_000 - int(late_s * 1000), ended))
        assert not held.untracked_runs
        assert harness.counters.get("pool.outdated_replies") == 1


@on_virtual_time
async def test_a_clock_that_was_set_back_does_not_hide_a_backend_server() -> None:
    """Guards against a single reply with a wrong clock, after which all others are ignored."""
    async with run_scheduler(FakeBackend()) as harness:
        _process(harness, _make_reply(10_000_000))
        await harness.settle(0.5)
        job = harness.scheduler.submit(make_job())
        await harness.settle(0.5)
        assert job.answer is not None
        assert job.is_done()


@on_virtual_time
async def test_a_late_reply_of_a_former_incarnation_is_no_restart() -> None:
    """Guards against a live incarnation that counts as lost because of its predecessor."""
    async with run_scheduler(FakeBackend()) as harness:
        held = harness.scheduler.held_by_id["w1"]
        held.client.born_ms = 2  # type: ignore[attr-defined]
        _process(harness, _make_reply(500, born_ms=1))
        _process(harness, _make_reply(600, born_ms=2))
        assert held.born_ms == 2
        _process(harness, _make_reply(500, born_ms=1))
        assert held.born_ms == 2
        await harness.settle(MAX_REPLY_DELAY_S + 0.1)
        # By then it is no late reply: the wall clock of the machine may have been set back.
        _process(harness, attrs.evolve(_make_reply(500), born_ms=1))
        assert held.born_ms == 1
