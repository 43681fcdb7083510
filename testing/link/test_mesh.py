"""Messages between processes survive lost connections, restarts and bad input."""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack, asynccontextmanager, suppress

import anyio
import anyio.abc
import pynng
import pytest

from apricotpoint._core.counters import Counters
from apricotpoint._core.errors import ApricotError
from apricotpoint._core.timers import TimerService
from apricotpoint._link import peer
from apricotpoint._link.mesh import Mesh
from apricotpoint._link.peer import PeerLink
from apricotpoint._link.transport import PeerUnreachable, Sender
from apricotpoint._wire import codec
from apricotpoint._wire.jobs import CancelForward, JobLookup
from apricotpoint._wire.tasks import CancelBatch

KEYS = [b"key-of-the-processes", b"the-former-key-of-them"]


class Relay:
    """Forwards TCP connections; `blackhole` makes the open ones silent for good."""

    def __init__(self) -> None:
        self.target = 0
        self.port = 0
        self.closed = False
        self.connections = 0
        self._silent_up_to = 0

    def blackhole(self) -> None:
        """Forward nothing more on the open connections."""
        self._silent_up_to = self.connections

    async def run(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        """Accept connections until cancelled."""
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
        task_status.started()
        await listener.serve(self._forward)

    async def _forward(self, stream: anyio.abc.SocketStream) -> None:
        self.connections += 1
        number = self.connections
        with suppress(OSError, anyio.BrokenResourceError, anyio.EndOfStream):
            async with stream, await anyio.connect_tcp("127.0.0.1", self.target) as onward:

                async def copy(source: anyio.abc.ByteStream, to: anyio.abc.ByteStream) -> None:
                    with suppress(anyio.BrokenResourceError, anyio.ClosedResourceError):
                        async for data in source:
                            if number > self._silent_up_to and not self.closed:
                                await to.send(data)
                    group.cancel_scope.cancel()

                async with anyio.create_task_group() as group:
                    group.start_soon(copy, stream, onward)
                    group.start_soon(copy, onward, stream)


class Pair:
    """Processes a and b, each of which reaches the other through a relay."""

    def __init__(self, timers: TimerService) -> None:
        self.timers = timers
        self.relay_to = {"a": Relay(), "b": Relay()}
        self.counters = {"a": Counters(), "b": Counters()}
        self.received: list[tuple[Sender, CancelBatch]] = []

    def numbers(self) -> list[int]:
        """Return the batch ids that b has handled."""
        return [message.batch_ids[0] for _, message in self.received]

    @asynccontextmanager
    async def process(self, name: str, incarnation: int = 1, keys: list[bytes] = KEYS):  # noqa: ANN201
        """Run one incarnation of a process."""
        other = "b" if name == "a" else "a"
        port = free_port()
        self.relay_to[name].target = port
        mesh = Mesh(
            process_id=name,
            incarnation=incarnation,
            listen=f"127.0.0.1:{port}",
            address_by_peer={other: f"127.0.0.1:{self.relay_to[other].port}"},
            keys=keys,
            timers=self.timers,
            counters=self.counters[name],
        )
        mesh.handlers_by_type[CancelBatch] = lambda sender, message: self.received.append(
            (sender, message)
        )
        async with mesh:
            yield mesh


def free_port() -> int:
    with pynng.Pull0() as probe:
        return int(str(probe.listen("tcp://127.0.0.1:0").local_address).split(":")[1])


def with_pair(check: Callable[[Pair], Awaitable[None]]) -> None:
    async def run() -> None:
        async with anyio.create_task_group() as group, TimerService() as timers:
            pair = Pair(timers)
            for relay in pair.relay_to.values():
                await group.start(relay.run)
            with anyio.fail_after(20):
                await check(pair)
            group.cancel_scope.cancel()

    anyio.run(run)


async def until(condition: Callable[[], bool]) -> None:
    while not condition():  # noqa: ASYNC110
        await anyio.sleep(0.005)


def test_reliable_messages_arrive_once_and_in_order_over_lost_connections():
    async def check(pair: Pair) -> None:
        async with pair.process("a") as a, pair.process("b"):
            for number in range(300):
                assert a.send("b", CancelBatch([number]), reliable=True)
                if number in (100, 200):
                    await until(lambda at=number: len(pair.received) > at - 50)
                    pair.relay_to["b"].blackhole()
            await until(lambda: len(pair.received) >= 300)
            await anyio.sleep(1.1)
            assert pair.numbers() == list(range(300))

    with_pair(check)


def test_each_direction_recovers_when_its_connection_goes_silent():
    """Guards against a sender that cannot see that only its own connection is dead."""

    async def check(pair: Pair) -> None:
        async with pair.process("a") as a, pair.process("b") as b:
            for receiver, mesh, other in (("a", a, "b"), ("b", b, "a")):
                await until(lambda m=mesh, o=other: m.seconds_since_contact(o) < 0.5)
                pair.relay_to[receiver].blackhole()
                await until(
                    lambda m=mesh, o=other: m.seconds_since_contact(o) > peer.PEER_TIMEOUT_S
                )
                await until(lambda m=mesh, o=other: m.seconds_since_contact(o) < 0.5)

    with_pair(check)


def test_restarted_receiver_gets_only_what_was_sent_to_it():
    """Guards against a batch for a lost incarnation that starts tasks in the next one."""

    async def check(pair: Pair) -> None:
        async with pair.process("a") as a:
            async with pair.process("b", 1):
                await until(lambda: a.incarnation_of("b") == 1)
                a.send("b", CancelBatch([1]), reliable=True)
                await until(lambda: pair.numbers() == [1])
            for number in (2, 3):
                a.send("b", CancelBatch([number]), reliable=True)
            async with pair.process("b", 2):
                await until(lambda: a.incarnation_of("b") == 2)
                a.send("b", CancelBatch([4]), reliable=True)
                await until(lambda: len(pair.received) > 1)
                assert pair.numbers() == [1, 4]

    with_pair(check)


def test_message_that_waited_carries_its_age():
    async def check(pair: Pair) -> None:
        async with pair.process("a") as a:
            a.send("b", CancelBatch([1]), reliable=True)
            await anyio.sleep(0.5)
            async with pair.process("b"):
                await until(lambda: len(pair.received) == 1)
                assert pair.received[0][0].age_s >= 0.5

    with_pair(check)


def test_dead_peer_neither_blocks_nor_grows(monkeypatch: pytest.MonkeyPatch):
    monkeypatch.setattr(peer, "MAX_QUEUE_TIME_S", 0.5)
    monkeypatch.setattr(peer, "PEER_TIMEOUT_S", 0.6)

    async def check(pair: Pair) -> None:
        async with pair.process("a") as a:
            queued = sum(a.send("b", CancelBatch([n])) for n in range(3000))
            reliable = sum(a.send("b", CancelBatch([n]), reliable=True) for n in range(5000))
            assert (queued, reliable) == (
                peer.MAX_QUEUED_MESSAGES,
                peer.MAX_UNACKNOWLEDGED_MESSAGES,
            )
            assert (a.seconds_since_contact("b"), a.incarnation_of("b")) == (math.inf, None)
            assert not a.send("c", CancelBatch([1]))
            with pytest.raises(PeerUnreachable):
                await a.request("b", CancelForward("t", "k"), timeout_s=0.05)
            await until(lambda: pair.counters["a"].get("link.expired") > 0)
            assert a.send("b", CancelBatch([0]))

    with_pair(check)


def test_link_to_a_dead_peer_does_not_spin(monkeypatch: pytest.MonkeyPatch):
    """Guards against a link that is blocked, and retries without a pause."""
    turns = 0
    maintain = PeerLink._maintain

    def count(link: PeerLink, now: float) -> None:
        nonlocal turns
        turns += 1
        maintain(link, now)

    monkeypatch.setattr(PeerLink, "_maintain", count)

    async def check(pair: Pair) -> None:
        async with pair.process("a") as a:
            a.send("b", CancelBatch([1]), reliable=True)
            await anyio.sleep(0.6)
            for number in range(100):
                a.send("b", CancelBatch([number]))
            await anyio.sleep(0.6)
            assert turns < 30

    with_pair(check)


def test_both_sides_may_queue_reliable_messages_before_they_hear_each_other():
    async def check(pair: Pair) -> None:
        async with pair.process("a") as a, pair.process("b") as b:
            a.send("b", CancelBatch([1]), reliable=True)
            b.send("a", CancelBatch([2]), reliable=True)
            await until(lambda: sorted(pair.numbers()) == [1, 2])

    with_pair(check)


def test_request_gets_its_own_reply_or_times_out():
    async def check(pair: Pair) -> None:
        async with pair.process("a") as a, pair.process("b") as b:

            async def answer(sender: Sender, message: object) -> object:
                assert isinstance(message, JobLookup)
                if message.key == "fails":
                    raise ValueError(message.key)
                await anyio.sleep(message.wait_s)
                return CancelForward(sender.peer_id, message.key)

            b.request_handlers_by_type[JobLookup] = answer
            await until(lambda: a.incarnation_of("b") == b.incarnation_of("a") == 1)
            replies: dict[str, object] = {}

            async def ask(key: str, wait_s: float) -> None:
                try:
                    replies[key] = await a.request("b", JobLookup("t", key, wait_s), timeout_s=1)
                except PeerUnreachable:
                    replies[key] = None

            async with anyio.create_task_group() as group:
                for key, wait_s in (("slow", 0.1), ("fast", 0), ("never", 30), ("fails", 0)):
                    group.start_soon(ask, key, wait_s)
            assert replies == {
                "slow": CancelForward("a", "slow"),
                "fast": CancelForward("a", "fast"),
                "never": None,
                "fails": None,
            }

    with_pair(check)


def test_bad_input_is_counted_and_does_no_harm():
    async def check(pair: Pair) -> None:
        async with pair.process("a") as a, pair.process("b") as b:
            good = codec.encode(codec.Envelope("a", 1, CancelBatch([7])), KEYS[1])
            wrong_key = codec.encode(codec.Envelope("a", 1, CancelBatch([8])), b"another-key")
            stranger = codec.encode(codec.Envelope("x", 1, CancelBatch([9])), KEYS[0])
            await until(lambda: b.incarnation_of("a") == 1)
            with pynng.Push0(dial=f"tcp://127.0.0.1:{pair.relay_to['b'].target}") as push:
                for data in (b"", b"x" * 100, good[:-1], wrong_key, stranger, good):
                    push.send(data)
                await until(lambda: pair.numbers() == [7])
            counters = pair.counters["b"]
            assert counters.get("link.undecodable") == 4
            assert counters.get("link.unknown_sender") == 1
            b.handlers_by_type[CancelBatch] = lambda sender, message: 1 // 0
            a.send("b", CancelBatch([1]), reliable=True)
            await until(lambda: counters.get("link.handler_errors") == 1)
            del b.handlers_by_type[CancelBatch]
            a.send("b", CancelBatch([2]), reliable=True)
            await until(lambda: counters.get("link.unhandled") == 1)

    with_pair(check)


def test_heartbeat_goes_out_only_when_nothing_else_is_sent():
    async def check(pair: Pair) -> None:
        async with AsyncExitStack() as stack:
            a = await stack.enter_async_context(pair.process("a"))
            await stack.enter_async_context(pair.process("b"))
            await until(lambda: a.seconds_since_contact("b") < 1)
            sent = pair.counters["a"].get("link.sent")
            for number in range(8):
                a.send("b", CancelBatch([number]))
                await anyio.sleep(0.1)
            assert pair.counters["a"].get("link.sent") - sent == 8

    with_pair(check)


def test_stale_and_repeated_envelopes_are_dropped():
    """Guards against a message of the reliable stream that is handled twice."""

    async def run() -> None:
        async with TimerService() as timers:
            counters = Counters()
            link = PeerLink(
                process_id="b", incarnation=5, peer_id="a", address="", key=KEYS[0],
                timers=timers, counters=counters,
            )  # fmt: skip

            def accept(incarnation: int, sequence: int, to: int = 5, **more: bool) -> bool:
                return link.accept(
                    codec.Envelope(
                        "a", incarnation, codec.UnknownMessage("New"), sequence=sequence,
                        peer_incarnation=to, **more,
                    )
                )  # fmt: skip

            assert [accept(2, 1), accept(2, 1), accept(2, 3), accept(2, 2)] == [1, 0, 0, 1]
            assert not accept(2, 3, to=4)
            assert not accept(1, 1)
            assert [accept(3, 2), accept(3, 1), accept(2, 3)] == [0, 1, 0]
            assert not accept(3, 0, to=4, is_reply=True)

    anyio.run(run)


def test_process_with_a_lower_incarnation_than_before_ends():
    """After its clock went back, peers would drop its messages and it would work unheard."""

    async def check(pair: Pair) -> None:
        async with pair.process("a") as a:
            async with pair.process("b", incarnation=8):
                await until(lambda: a.incarnation_of("b") == 8)
            with pytest.raises(ExceptionGroup) as caught:
                async with pair.process("b", incarnation=7):
                    await anyio.sleep_forever()
            assert caught.group_contains(ApricotError, match="incarnation 8 of b")
            # Late messages of incarnation 8 must not end a later one.
            async with pair.process("b", incarnation=9) as b:
                await until(lambda: a.incarnation_of("b") == 9)
                b._check_incarnation("a", 8)

    with_pair(check)
