"""Connections of one direction that go silent while those of the other one carry data."""

from __future__ import annotations

import math
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

import anyio
import pytest
from test_mesh import ProcessPair, run_with_pair, wait_until

from apricotpoint._link.confirmation import (
    LOSS_EVIDENCE_S,
    MIN_BYTES_PER_S,
    UnconfirmedMessages,
)
from apricotpoint._link.mesh import Mesh
from apricotpoint._link.transport import PeerUnreachable, Sender
from apricotpoint._wire.jobs import JobLookup
from apricotpoint._wire.tasks import CancelBatch

# Well below the time-out after which a link without any contact is opened anew.
RECOVERY_S = 1.4
REQUEST = JobLookup("t", "k", 0.0)


@asynccontextmanager
async def steady_messages(mesh: Mesh, peer_id: str) -> AsyncIterator[None]:
    """Send a message each 0.2 s, as a holder sends its status."""

    async def send() -> None:
        while True:
            mesh.send(peer_id, CancelBatch([0]))
            await anyio.sleep(0.2)

    async with anyio.create_task_group() as group:
        group.start_soon(send)
        yield
        group.cancel_scope.cancel()


def count_requests(mesh: Mesh) -> list[object]:
    handled: list[object] = []

    async def answer(_: Sender, message: object) -> object:
        handled.append(message)
        return message

    mesh.request_handlers_by_type[JobLookup] = answer
    return handled


@pytest.mark.parametrize("idle_after_s", [30.0, math.inf])
@pytest.mark.parametrize("silent", ["request", "reply"])
def test_a_request_is_answered_although_its_connection_went_silent(
    silent: str, idle_after_s: float
):
    """Guards against a connection that stays broken as the other one carries messages."""

    async def check(pair: ProcessPair) -> None:
        async with (
            pair.process("a", idle_after_s=idle_after_s) as a,
            pair.process("b", idle_after_s=idle_after_s) as b,
            steady_messages(a, "b"),
            steady_messages(b, "a"),
        ):
            handled = count_requests(b)
            await a.request("b", REQUEST, timeout_s=2.0)
            pair.proxy_to["b" if silent == "request" else "a"].blackhole()
            await a.request("b", REQUEST, timeout_s=RECOVERY_S)
            assert len(handled) == 2
            await a.request("b", REQUEST, timeout_s=0.3)

    run_with_pair(check)


def test_a_long_request_is_answered_although_its_connection_went_silent():
    """Guards against polls that wait on a silent connection until they time out."""

    async def check(pair: ProcessPair) -> None:
        async with (
            pair.process("a", idle_after_s=30.0) as a,
            pair.process("b", idle_after_s=30.0) as b,
            steady_messages(b, "a"),
        ):
            released = anyio.Event()

            async def answer(_: Sender, message: object) -> object:
                await released.wait()
                return message

            b.request_handlers_by_type[JobLookup] = answer
            async with anyio.create_task_group() as group:

                async def poll() -> None:
                    await a.request("b", REQUEST, timeout_s=5.0)

                group.start_soon(poll)
                await anyio.sleep(0.5)
                pair.proxy_to["a"].blackhole()
                released.set()
                with anyio.fail_after(RECOVERY_S):
                    a.send("b", CancelBatch([1]))
                    await anyio.sleep(LOSS_EVIDENCE_S + 0.1)
                    # Any message of the requester shows that the reply has not arrived.
                    a.send("b", CancelBatch([2]))
                    await wait_until(lambda: not a._pending_request_by_id)

    run_with_pair(check)


def test_a_request_that_did_not_arrive_is_not_repeated_to_the_next_incarnation():
    """Guards against a job that a process and its next incarnation both run."""

    async def check(pair: ProcessPair) -> None:
        async with pair.process("a", idle_after_s=30.0) as a, anyio.create_task_group() as group:

            async def request() -> None:
                with suppress(PeerUnreachable):
                    await a.request("b", REQUEST, timeout_s=2.0)

            async with pair.process("b", idle_after_s=30.0) as b:
                count_requests(b)
                await a.request("b", REQUEST, timeout_s=2.0)
                pair.proxy_to["b"].blackhole()
                group.start_soon(request)
                await anyio.sleep(0.1)
            async with (
                pair.process("b", incarnation=2, idle_after_s=30.0) as b,
                steady_messages(b, "a"),
            ):
                handled = count_requests(b)
                await wait_until(lambda: a.incarnation_of("b") == 2)
                await anyio.sleep(1.5)
                assert handled == []
                await a.request("b", REQUEST, timeout_s=2.0)
                assert len(handled) == 1

    run_with_pair(check)


def test_connections_that_carry_all_messages_are_kept():
    """Guards against new connections under load, or for links that carry messages one way only."""

    async def check(pair: ProcessPair) -> None:
        async with (
            pair.process("a", idle_after_s=30.0) as a,
            pair.process("b", idle_after_s=30.0) as b,
            steady_messages(a, "b"),
        ):
            count_requests(b)
            for _ in range(15):
                await a.request("b", REQUEST, timeout_s=2.0)
                await anyio.sleep(0.1)
            assert pair.counters["a"].get("link.redials") == 0
            assert pair.counters["b"].get("link.redials") == 0

    run_with_pair(check)


def test_a_long_message_has_the_time_that_a_slow_link_needs():
    """Guards against a connection that is replaced while a long message is under way."""
    unconfirmed = UnconfirmedMessages[str]()
    unconfirmed.add("document", 2 * MIN_BYTES_PER_S, 10.0)
    assert not unconfirmed.is_lost(10.0 + 2.0)
    assert unconfirmed.is_lost(10.0 + 2.0 + LOSS_EVIDENCE_S + 0.1)


def test_a_slow_peer_gets_more_time_with_each_replacement():
    """Guards against connections that are replaced before any message has arrived on them."""
    unconfirmed = UnconfirmedMessages[str]()
    for factor in (1, 2, 4):
        unconfirmed.add("job", 0, 10.0)
        assert not unconfirmed.is_lost(10.0 + 0.9 * factor * LOSS_EVIDENCE_S)
        assert unconfirmed.is_lost(10.0 + 1.1 * factor * LOSS_EVIDENCE_S)
        assert unconfirmed.take() == ["job"]
    unconfirmed.add("job", 0, 10.0)
    unconfirmed.confirm(10.0)
    unconfirmed.add("job", 0, 20.0)
    assert unconfirmed.is_lost(20.0 + 1.1 * LOSS_EVIDENCE_S)
