"""The mesh over real sockets: lost connections, restarts and invalid input."""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable, Collection
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
from apricotpoint._link.traffic import Traffic
from apricotpoint._link.transport import PeerUnreachable, RequestNotSent, Sender
from apricotpoint._wire import codec
from apricotpoint._wire.jobs import CancelForward, JobLookup
from apricotpoint._wire.tasks import CancelBatch

KEYS = [b"key-of-the-processes", b"the-former-key-of-them"]


class TcpProxy:
    """TCP proxy whose open connections can be made to drop all data without a reset."""

    def __init__(self) -> None:
        self.target = 0
        self.port = 0
        self.closed = False
        self.connections = 0
        self._blackholed_up_to = 0
        self._flowing = anyio.Event()
        self._flowing.set()

    def blackhole(self) -> None:
        """Drop all further data on the open connections, but keep them open."""
        self._blackholed_up_to = self.connections

    def hold(self) -> None:
        """Hold up all further data until `release`."""
        self._flowing = anyio.Event()

    def release(self) -> None:
        """Forward the data held up."""
        self._flowing.set()

    async def run(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        """Accept and forward connections until cancelled."""
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
        task_status.started()
        await listener.serve(self._forward)

    async def _forward(self, stream: anyio.abc.SocketStream) -> None:
        self.connections += 1
        number = self.connections
        with suppress(OSError, anyio.BrokenResourceError, anyio.EndOfStream):
            async with stream, await anyio.connect_tcp("127.0.0.1", self.target) as upstream:

                async def copy(source: anyio.abc.ByteStream, to: anyio.abc.ByteStream) -> None:
                    with suppress(anyio.BrokenResourceError, anyio.ClosedResourceError):
                        async for data in source:
                            await self._flowing.wait()
                            if number > self._blackholed_up_to and not self.closed:
                                await to.send(data)
                    group.cancel_scope.cancel()

                async with anyio.create_task_group() as group:
                    group.start_soon(copy, stream, upstream)
                    group.start_soon(copy, upstream, stream)


class ProcessPair:
    """Processes a and b, each of which reaches the other through a proxy."""

    def __init__(self, timers: TimerService) -> None:
        self.timers = timers
        self.proxy_to = {"a": TcpProxy(), "b": TcpProxy()}
        self.counters = {"a": Counters(), "b": Counters()}
        self.received: list[tuple[Sender, CancelBatch]] = []

    def handled_batch_ids(self) -> list[int]:
        """Return the batch ids of all messages that were handled, in order."""
        return [message.batch_ids[0] for _, message in self.received]

    @asynccontextmanager
    async def process(  # noqa: ANN201
        self,
        name: str,
        incarnation: int = 1,
        keys: list[bytes] = KEYS,
        idle_after_s: float = math.inf,
        dated_types: Collection[type] = (),
    ):
        """Run one incarnation of a process on a new port."""
        other = "b" if name == "a" else "a"
        port = free_port()
        self.proxy_to[name].target = port
        mesh = Mesh(
            process_id=name,
            incarnation=incarnation,
            listen=f"127.0.0.1:{port}",
            address_by_peer={other: f"127.0.0.1:{self.proxy_to[other].port}"},
            keys=keys,
            timers=self.timers,
            counters=self.counters[name],
            idle_after_s=idle_after_s,
            dated_types=dated_types,
        )
        mesh.handlers_by_type[CancelBatch] = lambda sender, message: self.received.append(
            (sender, message)
        )
        async with mesh:
            yield mesh


def free_port() -> int:
    with pynng.Pull0() as probe:
        return int(str(probe.listen("tcp://127.0.0.1:0").local_address).split(":")[1])


def run_with_pair(check: Callable[[ProcessPair], Awaitable[None]]) -> None:
    async def run() -> None:
        async with anyio.create_task_group() as group, TimerService() as timers:
            pair = ProcessPair(timers)
            for proxy in pair.proxy_to.values():
                await group.start(proxy.run)
            with anyio.fail_after(20):
                await check(pair)
            group.cancel_scope.cancel()

    anyio.run(run)


async def wait_until(condition: Callable[[], bool]) -> None:
    while not condition():  # noqa: ASYNC110
        await anyio.sleep(0.005)


def test_reliable_messages_arrive_once_and_in_order_over_lost_connections():
    """Guards against lost or repeated messages when a connection drops data without a reset."""

    async def check(pair: ProcessPair) -> None:
        async with pair.process("a") as a, pair.process("b"):
            for number in range(300):
                assert a.send("b", CancelBatch([number]), reliable=True)
                if number in (100, 200):
                    await wait_until(lambda at=number: len(pair.received) > at - 50)
                    pair.proxy_to["b"].blackhole()
            await wait_until(lambda: len(pair.received) >= 300)
            await anyio.sleep(1.1)
            assert pair.handled_batch_ids() == list(range(300))

    run_with_pair(check)


def test_each_direction_recovers_when_its_connection_goes_silent():
    """Guards against a sender that never replaces its connection, because it still receives.

    Data sent on a connection that drops it causes no error at the sender.
    """

    async def check(pair: ProcessPair) -> None:
        async with pair.process("a") as a, pair.process("b") as b:
            for receiver, mesh, other in (("a", a, "b"), ("b", b, "a")):
                await wait_until(lambda m=mesh, o=other: m.seconds_since_contact(o) < 0.5)
                proxy = pair.proxy_to[receiver]
                connections = proxy.connections
                proxy.blackhole()
                # All contact from here on comes over a connection that was opened since.
                with anyio.fail_after(2 * peer.PEER_TIMEOUT_S):
                    await wait_until(lambda p=proxy, n=connections: p.connections > n)
                    replaced_at = anyio.current_time()
                    await wait_until(
                        lambda m=mesh, o=other, at=replaced_at: (
                            m.seconds_since_contact(o) < anyio.current_time() - at
                        )
                    )

    run_with_pair(check)


def test_restarted_receiver_gets_only_messages_sent_to_its_incarnation():
    """Guards against tasks of a batch for an ended incarnation that start in the next one."""

    async def check(pair: ProcessPair) -> None:
        async with pair.process("a") as a:
            async with pair.process("b", 1):
                await wait_until(lambda: a.incarnation_of("b") == 1)
                a.send("b", CancelBatch([1]), reliable=True)
                await wait_until(lambda: pair.handled_batch_ids() == [1])
            for number in (2, 3):
                a.send("b", CancelBatch([number]), reliable=True)
            async with pair.process("b", 2):
                await wait_until(lambda: a.incarnation_of("b") == 2)
                a.send("b", CancelBatch([4]), reliable=True)
                await wait_until(lambda: len(pair.received) > 1)
                assert pair.handled_batch_ids() == [1, 4]

    run_with_pair(check)


def test_queued_message_carries_its_age():
    """Guards against deadlines that ignore the time that a message was queued at its sender."""

    async def check(pair: ProcessPair) -> None:
        async with pair.process("a") as a:
            a.send("b", CancelBatch([1]), reliable=True)
            await anyio.sleep(0.5)
            async with pair.process("b"):
                await wait_until(lambda: len(pair.received) == 1)
                assert pair.received[0][0].age_s >= 0.5

    run_with_pair(check)


def test_queues_to_an_unreachable_peer_are_bounded_and_expire(monkeypatch: pytest.MonkeyPatch):
    """Guards against unbounded memory, and against a queue that stays full of stale messages."""
    monkeypatch.setattr(peer, "MAX_QUEUE_TIME_S", 0.5)
    monkeypatch.setattr(peer, "PEER_TIMEOUT_S", 0.6)

    async def check(pair: ProcessPair) -> None:
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
            await wait_until(lambda: pair.counters["a"].get("link.expired") > 0)
            assert a.send("b", CancelBatch([0]))

    run_with_pair(check)


def test_link_to_an_unreachable_peer_does_not_busy_loop(monkeypatch: pytest.MonkeyPatch):
    """Guards against a loop that uses a whole processor because the socket buffer is full."""
    iterations = 0
    maintain = PeerLink._maintain

    def count_iterations(link: PeerLink, now: float) -> None:
        nonlocal iterations
        iterations += 1
        maintain(link, now)

    monkeypatch.setattr(PeerLink, "_maintain", count_iterations)

    async def check(pair: ProcessPair) -> None:
        async with pair.process("a") as a:
            a.send("b", CancelBatch([1]), reliable=True)
            await anyio.sleep(0.6)
            for number in range(100):
                a.send("b", CancelBatch([number]))
            await anyio.sleep(0.6)
            assert iterations < 30

    run_with_pair(check)


def test_both_sides_may_queue_reliable_messages_before_first_contact():
    """Guards against processes that wait for each other's incarnation and never send."""

    async def check(pair: ProcessPair) -> None:
        async with pair.process("a") as a, pair.process("b") as b:
            a.send("b", CancelBatch([1]), reliable=True)
            b.send("a", CancelBatch([2]), reliable=True)
            await wait_until(lambda: sorted(pair.handled_batch_ids()) == [1, 2])

    run_with_pair(check)


def test_request_gets_its_own_reply_or_times_out():
    """Guards against replies that are matched by order, and against waits without an end."""

    async def check(pair: ProcessPair) -> None:
        async with pair.process("a") as a, pair.process("b") as b:

            async def answer(sender: Sender, message: object) -> object:
                assert isinstance(message, JobLookup)
                if message.key == "fails":
                    raise ValueError(message.key)
                await anyio.sleep(message.wait_s)
                return CancelForward(sender.peer_id, message.key)

            b.request_handlers_by_type[JobLookup] = answer
            await wait_until(lambda: a.incarnation_of("b") == b.incarnation_of("a") == 1)
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

    run_with_pair(check)


def test_invalid_input_is_counted_and_dropped():
    """Guards against a receiver that stops at malformed data or at an error of a handler."""

    async def check(pair: ProcessPair) -> None:
        async with pair.process("a") as a, pair.process("b") as b:
            valid = codec.encode(codec.Envelope("a", 1, CancelBatch([7])), KEYS[1])
            wrong_key = codec.encode(codec.Envelope("a", 1, CancelBatch([8])), b"another-key")
            unknown_sender = codec.encode(codec.Envelope("x", 1, CancelBatch([9])), KEYS[0])
            await wait_until(lambda: b.incarnation_of("a") == 1)
            with pynng.Push0(dial=f"tcp://127.0.0.1:{pair.proxy_to['b'].target}") as push:
                for data in (b"", b"x" * 100, valid[:-1], wrong_key, unknown_sender, valid):
                    push.send(data)
                await wait_until(lambda: pair.handled_batch_ids() == [7])
            counters = pair.counters["b"]
            assert counters.get("link.undecodable") == 4
            assert counters.get("link.unknown_sender") == 1
            b.handlers_by_type[CancelBatch] = lambda sender, message: 1 // 0
            a.send("b", CancelBatch([1]), reliable=True)
            await wait_until(lambda: counters.get("link.handler_errors") == 1)
            del b.handlers_by_type[CancelBatch]
            a.send("b", CancelBatch([2]), reliable=True)
            await wait_until(lambda: counters.get("link.unhandled") == 1)

    run_with_pair(check)


def test_heartbeat_is_sent_only_when_nothing_else_is():
    """Guards against heartbeats that add to the traffic of a busy link."""

    async def check(pair: ProcessPair) -> None:
        async with AsyncExitStack() as stack:
            a = await stack.enter_async_context(pair.process("a"))
            await stack.enter_async_context(pair.process("b"))
            await wait_until(lambda: a.seconds_since_contact("b") < 1)
            sent = pair.counters["a"].get("link.sent")
            for number in range(8):
                a.send("b", CancelBatch([number]))
                await anyio.sleep(0.1)
            assert pair.counters["a"].get("link.sent") - sent == 8

    run_with_pair(check)


def test_stale_and_repeated_envelopes_are_dropped():
    """Guards against a reliable message that is handled twice or out of order."""

    async def run() -> None:
        async with TimerService() as timers:
            counters = Counters()
            link = PeerLink(
                traffic=Traffic(),
                process_id="b", incarnation=5, peer_id="a", address="", key=KEYS[0],
                timers=timers, counters=counters, on_unsent_request=lambda *_: None,
                is_awaited=lambda _: False,
            )  # fmt: skip

            def accept(incarnation: int, sequence: int, to: int = 5, **more: bool) -> bool:
                return link.accept(
                    codec.Envelope(
                        "a", incarnation, codec.UnknownMessage("New"), sequence=sequence,
                        peer_incarnation=to, **more,
                    ),
                    timers.boot_time(),
                )  # fmt: skip

            assert [accept(2, 1), accept(2, 1), accept(2, 3), accept(2, 2)] == [1, 0, 0, 1]
            assert not accept(2, 3, to=4)
            assert not accept(1, 1)
            assert [accept(3, 2), accept(3, 1), accept(2, 3)] == [0, 1, 0]
            assert not accept(3, 0, to=4, is_reply=True)

    anyio.run(run)


def test_a_request_is_handled_once_if_its_first_copy_arrives_after_the_repeated_one():
    """Guards against a job that runs after its repeated request was refused as not run."""

    async def check(pair: ProcessPair) -> None:
        async with pair.process("b") as b:
            handled: list[object] = []

            async def handle(_: Sender, message: object) -> object:
                handled.append(message)
                return message

            b.request_handlers_by_type[CancelBatch] = handle

            def receive(request_id: int, *, repeated: bool) -> None:
                envelope = codec.Envelope(
                    "a", 1, CancelBatch([request_id]), request_id=request_id,
                    peer_incarnation=1, repeated=repeated,
                )  # fmt: skip
                b._handle(codec.encode(envelope, KEYS[0]))

            receive(7, repeated=False)
            receive(9, repeated=True)
            receive(9, repeated=False)
            receive(9, repeated=True)
            # Not handled before, though a later one was.
            receive(8, repeated=False)
            await anyio.sleep(0.05)
            assert handled == [CancelBatch([7]), CancelBatch([9]), CancelBatch([8])]

    run_with_pair(check)


def test_process_with_a_lower_incarnation_than_an_earlier_one_ends():
    """Guards against a process that runs on although all peers drop its messages.

    Incarnations come from the wall clock, so they decrease if it is set back.
    """

    async def check(pair: ProcessPair) -> None:
        async with pair.process("a") as a:
            async with pair.process("b", incarnation=8):
                await wait_until(lambda: a.incarnation_of("b") == 8)
            with pytest.raises(ExceptionGroup) as caught:
                async with pair.process("b", incarnation=7):
                    await anyio.sleep_forever()
            assert caught.group_contains(ApricotError, match="incarnation 8 of b")
            # Late messages of incarnation 8 must not end a later one.
            async with pair.process("b", incarnation=9) as b:
                await wait_until(lambda: a.incarnation_of("b") == 9)
                b._check_incarnation("a", 8)

    run_with_pair(check)


TOO_LARGE = 1 << 64


def test_a_message_that_cannot_be_encoded_ends_neither_link_nor_process():
    """Guards against a request that ends each process that passes it on to another one."""

    async def check(pair: ProcessPair) -> None:
        async with pair.process("a") as a, pair.process("b"):
            a.send("b", CancelBatch([1]), reliable=True)
            a.send("b", CancelBatch([TOO_LARGE]), reliable=True)
            a.send("b", CancelBatch([TOO_LARGE]))
            a.send("b", CancelBatch([2]), reliable=True)
            await wait_until(lambda: len(pair.received) == 2)
            assert pair.handled_batch_ids() == [1, 2]
            assert pair.counters["a"].get("link.unencodable") == 2

    run_with_pair(check)


def test_a_request_that_cannot_be_encoded_fails_at_once():
    """Guards against a caller that waits until its deadline for a request that was not sent."""

    async def check(pair: ProcessPair) -> None:
        async with pair.process("a") as a, pair.process("b") as b:
            await wait_until(lambda: a.incarnation_of("b") == 1)
            with anyio.fail_after(1.0), pytest.raises(PeerUnreachable, match="cannot be encoded"):
                await a.request("b", CancelBatch([TOO_LARGE]), timeout_s=10.0)

            async def reply(_: Sender, message: object) -> object:
                return CancelBatch([TOO_LARGE])

            b.request_handlers_by_type[CancelBatch] = reply
            with anyio.fail_after(1.0), pytest.raises(PeerUnreachable, match="could not be sent"):
                await a.request("b", CancelBatch([1]), timeout_s=10.0)

    run_with_pair(check)


def test_only_a_request_that_no_connection_has_taken_is_withdrawn():
    """Guards against an unknown outcome of a request that was never sent, and a false certainty."""

    async def test() -> None:
        async with (
            TimerService() as timers,
            Mesh(
                process_id="a",
                incarnation=1,
                listen=f"127.0.0.1:{free_port()}",
                address_by_peer={"b": f"127.0.0.1:{free_port()}"},
                keys=KEYS,
                timers=timers,
                counters=Counters(),
            ) as mesh,
            anyio.create_task_group() as group,
        ):
            with pytest.raises(RequestNotSent):
                await mesh.request("unknown", JobLookup("t", "1", 0.0), timeout_s=1.0)
            # The socket takes the first ones, which it would send as soon as it is connected.
            requests = [JobLookup("t", str(number), 0.0) for number in range(40)]
            not_sent: list[object] = []

            async def send(message: JobLookup) -> None:
                try:
                    await mesh.request("b", message, timeout_s=5.0)
                except RequestNotSent:
                    not_sent.append(message)

            for message in requests:
                group.start_soon(send, message)
            await anyio.sleep(0.3)
            assert not mesh.withdraw("b", requests[0])
            assert mesh.withdraw("b", requests[-1])
            assert not mesh.withdraw("b", requests[-1])
            await anyio.sleep(0.05)
            assert not_sent == [requests[-1]]
            group.cancel_scope.cancel()

    anyio.run(test)
