"""The age of messages that were held up on the way or in the sockets of a stopped process."""

from __future__ import annotations

import anyio
import pytest
from test_mesh import ProcessPair, run_with_pair, wait_until

from apricotpoint._link.clock import PeerClock
from apricotpoint._link.mesh import Mesh
from apricotpoint._link.transport import Sender
from apricotpoint._wire.jobs import JobLookup
from apricotpoint._wire.tasks import CancelBatch

HELD_UP_S = 1.2


async def exchange(one: Mesh, peer_id: str) -> None:
    await one.request(peer_id, JobLookup("t", "k", 0.0), timeout_s=5.0)


def record_requests(mesh: Mesh, senders: list[Sender]) -> None:
    async def answer(sender: Sender, message: object) -> object:
        senders.append(sender)
        return message

    mesh.request_handlers_by_type[JobLookup] = answer


@pytest.mark.parametrize("idle_after_s", [float("inf"), 30.0])
def test_a_message_that_was_held_up_tells_its_age(idle_after_s: float):
    """Guards against messages that waited for a stopped process and are taken for new."""

    async def check(pair: ProcessPair) -> None:
        async with (
            pair.process("a", idle_after_s=idle_after_s) as a,
            pair.process("b", idle_after_s=idle_after_s) as b,
        ):
            record_requests(b, [])
            await exchange(a, "b")
            await exchange(a, "b")
            pair.proxy_to["b"].hold()
            a.send("b", CancelBatch([1]))
            await anyio.sleep(HELD_UP_S)
            pair.proxy_to["b"].release()
            await wait_until(lambda: pair.handled_batch_ids() == [1])
            a.send("b", CancelBatch([2]))
            await wait_until(lambda: pair.handled_batch_ids() == [1, 2])
            old, new = (sender for sender, _ in pair.received)
            assert HELD_UP_S <= old.age_s < HELD_UP_S + 0.3
            assert new.age_s < 0.3

    run_with_pair(check)


def test_a_message_that_was_held_up_shows_a_peer_of_the_time_of_its_sending():
    """Guards against a process that looks alive by what it sent before it ended."""

    async def check(pair: ProcessPair) -> None:
        async with (
            pair.process("a", idle_after_s=30.0) as a,
            pair.process("b", idle_after_s=30.0) as b,
        ):
            record_requests(b, [])
            await exchange(a, "b")
            await exchange(a, "b")
            pair.proxy_to["b"].hold()
            a.send("b", CancelBatch([1]))
            await anyio.sleep(HELD_UP_S)
            pair.proxy_to["b"].release()
            await wait_until(lambda: pair.handled_batch_ids() == [1])
            assert b.seconds_since_contact("a") < 0.3
            assert b.seconds_since_alive("a") >= HELD_UP_S

    run_with_pair(check)


def test_the_first_request_of_a_process_is_dated_by_a_probe():
    """Guards against a job that is refused, or taken for new, as nothing was exchanged before."""

    async def check(pair: ProcessPair) -> None:
        senders: list[Sender] = []
        async with (
            pair.process("a", idle_after_s=30.0) as a,
            pair.process("b", idle_after_s=30.0, dated_types=[JobLookup]) as b,
        ):
            record_requests(b, senders)
            await exchange(a, "b")
            assert pair.counters["b"].get("link.clock_probes") == 1
            await exchange(a, "b")
            assert pair.counters["b"].get("link.clock_probes") == 1
            assert all(sender.age_s < 0.3 for sender in senders)

    run_with_pair(check)


def test_a_first_request_that_was_held_up_tells_its_age():
    """Guards against an old job that is the first message between two processes."""

    async def check(pair: ProcessPair) -> None:
        senders: list[Sender] = []
        async with (
            pair.process("a", idle_after_s=30.0) as a,
            pair.process("b", idle_after_s=30.0, dated_types=[JobLookup]) as b,
        ):
            record_requests(b, senders)
            pair.proxy_to["b"].hold()
            async with anyio.create_task_group() as group:
                group.start_soon(exchange, a, "b")
                await anyio.sleep(HELD_UP_S)
                pair.proxy_to["b"].release()
            assert senders[0].age_s >= HELD_UP_S

    run_with_pair(check)


def test_a_request_whose_sender_does_not_answer_has_no_known_age():
    """Guards against an old job that is started as its origin cannot be asked any more."""

    async def check(pair: ProcessPair) -> None:
        senders: list[Sender] = []
        async with (
            pair.process("a", idle_after_s=30.0) as a,
            pair.process("b", idle_after_s=30.0, dated_types=[JobLookup]) as b,
        ):
            record_requests(b, senders)
            pair.proxy_to["a"].hold()
            async with anyio.create_task_group() as group:
                group.start_soon(exchange, a, "b")
                await wait_until(lambda: len(senders) == 1)
                pair.proxy_to["a"].release()
            assert senders[0].age_s == float("inf")

    run_with_pair(check)


def test_the_age_is_at_least_the_true_one_whatever_the_clocks_show():
    """Guards against an age that depends on synchronized clocks, or on the first delays."""
    ahead_s = 5000.0
    one, other = PeerClock(), PeerClock()
    assert one.age_s(7.0, 0.0) is None
    # Messages to `other` take 0.4 s at first and then 0.002 s; those to `one` 0.003 s.
    for at, transit_s in ((0.0, 0.4), (1.0, 0.002)):
        other.record_arrival(at, at + transit_s + ahead_s)
        least_s = other.least_offset_s(at + transit_s + ahead_s)
        assert least_s is not None
        one.record_peer_offset(least_s)
        age_s = one.age_s(at + 0.5 + ahead_s, at + 0.503)
        assert age_s == pytest.approx(0.003 + transit_s)
    assert one.age_s(2.0 + ahead_s, 5.0) == pytest.approx(3.002)


def test_offsets_of_long_ago_are_forgotten():
    """Guards against clocks of different rates, by which messages look younger and younger."""
    clock = PeerClock()
    clock.record_arrival(0.0, 0.001)
    assert clock.least_offset_s(5.0) == pytest.approx(0.001)
    clock.record_arrival(60.0, 60.2)
    assert clock.least_offset_s(60.2) == pytest.approx(0.2)
    assert clock.least_offset_s(120.0) is None
