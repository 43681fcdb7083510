"""Links that open for a message and close when idle, with heartbeats only for open requests."""

from __future__ import annotations

from contextlib import suppress

import anyio
import pytest
from test_mesh import ProcessPair, run_with_pair, wait_until

from apricotpoint._link.transport import PeerUnreachable, Sender
from apricotpoint._pool.remotesubmission import PEER_TIMEOUT_S
from apricotpoint._wire.jobs import CancelForward, JobLookup
from apricotpoint._wire.tasks import CancelBatch

IDLE_AFTER_S = 0.3


def test_an_idle_link_is_closed_and_opened_again_for_the_next_message():
    """Guards against connections and heartbeats between all pairs of hundreds of processes."""

    async def check(pair: ProcessPair) -> None:
        async with (
            pair.process("a", idle_after_s=IDLE_AFTER_S) as a,
            pair.process("b", idle_after_s=IDLE_AFTER_S),
        ):
            a.send("b", CancelBatch([1]))
            await wait_until(lambda: pair.handled_batch_ids() == [1])
            await anyio.sleep(2 * IDLE_AFTER_S + 0.5)
            assert pair.counters["a"].get("link.sent") == 1
            assert pair.counters["b"].get("link.sent") == 0
            assert pair.proxy_to["a"].connections == 0
            assert pair.proxy_to["b"].connections == 1
            a.send("b", CancelBatch([2]))
            await wait_until(lambda: pair.handled_batch_ids() == [1, 2])
            assert pair.proxy_to["b"].connections == 2

    run_with_pair(check)


def test_both_sides_send_heartbeats_while_a_request_is_open():
    """Guards against a long job whose entry process and scheduler count as lost to each other."""

    async def check(pair: ProcessPair) -> None:
        async with (
            pair.process("a", idle_after_s=IDLE_AFTER_S) as a,
            pair.process("b", idle_after_s=IDLE_AFTER_S) as b,
        ):

            async def answer(_: Sender, message: object) -> object:
                await anyio.sleep(1.7)
                return message

            b.request_handlers_by_type[CancelForward] = answer
            async with anyio.create_task_group() as group:

                async def request() -> None:
                    await a.request("b", CancelForward("t", "k"), timeout_s=3.0)

                group.start_soon(request)
                await anyio.sleep(0.8)
                for _ in range(14):
                    assert a.seconds_since_contact("b") < PEER_TIMEOUT_S
                    assert b.seconds_since_contact("a") < PEER_TIMEOUT_S
                    await anyio.sleep(0.05)

    run_with_pair(check)


def test_a_request_after_a_long_silence_keeps_its_connection():
    """Guards against a new connection for each request that follows a pause."""

    async def check(pair: ProcessPair) -> None:
        async with (
            pair.process("a", idle_after_s=30.0) as a,
            pair.process("b", idle_after_s=30.0) as b,
        ):

            async def answer(_: Sender, message: object) -> object:
                return message

            b.request_handlers_by_type[JobLookup] = answer
            await a.request("b", JobLookup("t", "k", 0.0), timeout_s=2.0)
            await anyio.sleep(1.8)
            await a.request("b", JobLookup("t", "k", 0.0), timeout_s=2.0)
            assert pair.counters["a"].get("link.redials") == 0

    run_with_pair(check)


def test_a_receiver_can_have_a_silent_connection_replaced():
    """Guards against a process that counts as lost because its connection went silent."""

    async def check(pair: ProcessPair) -> None:
        async with (
            pair.process("a", idle_after_s=30.0) as a,
            pair.process("b", idle_after_s=30.0) as b,
        ):
            a.send("b", CancelBatch([1]))
            await wait_until(lambda: pair.handled_batch_ids() == [1])
            pair.proxy_to["b"].blackhole()
            a.send("b", CancelBatch([2]))
            await anyio.sleep(0.2)
            assert pair.handled_batch_ids() == [1]
            b.replace_connections("a")
            while pair.handled_batch_ids() == [1]:
                # What is sent before the connection is replaced is lost with it.
                a.send("b", CancelBatch([3]))
                await anyio.sleep(0.02)
            assert set(pair.handled_batch_ids()) == {1, 3}

    run_with_pair(check)


@pytest.mark.parametrize("silent", ["a", "b", "ab"])
def test_short_requests_recover_from_silent_connections(silent: str):
    """Guards against a control process that stays unreachable over connections gone silent.

    Requests to it time out before the time after which a silent link is opened anew.
    """

    async def check(pair: ProcessPair) -> None:
        async with (
            pair.process("a", idle_after_s=30.0) as a,
            pair.process("b", idle_after_s=30.0) as b,
        ):

            async def answer(_: Sender, message: object) -> object:
                return message

            b.request_handlers_by_type[JobLookup] = answer
            await a.request("b", JobLookup("t", "k", 0.0), timeout_s=2.0)
            for name in silent:
                pair.proxy_to[name].blackhole()
            answered = False
            with anyio.fail_after(6):
                while not answered:
                    with suppress(PeerUnreachable):
                        await a.request("b", JobLookup("t", "k", 0.0), timeout_s=0.5)
                        answered = True

    run_with_pair(check)
