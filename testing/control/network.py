"""An in-memory network, disks and a cluster of control nodes on virtual time."""

from __future__ import annotations

import math
import random
from collections.abc import Awaitable, Callable

import anyio
import anyio.abc
import trio.testing

from apricotpoint._link.transport import Handler, PeerUnreachable, RequestHandler, Sender
from apricotpoint._wire import codec

KEY = b"test key"
WALL = 1_800_000_000.0
IDS = ["c1", "c2", "c3"]


def run(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test on virtual time that jumps whenever all tasks wait."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    anyio.run(test, backend="trio", backend_options={"clock": clock})


class Network:
    """Delivers messages after 0.5 ms, except where it is told otherwise.

    `cuts` has pairs (sender, receiver); `drop` and `repeat` are probabilities,
    `jitter_s` is the longest random extra delay.
    """

    def __init__(self, group: anyio.abc.TaskGroup, seed: int = 1) -> None:
        self.cuts: set[tuple[str, str]] = set()
        self.drop = self.repeat = self.jitter_s = 0.0
        self.endpoint_by_id: dict[str, Endpoint] = {}
        self.messages = self.bytes = 0
        self.group = group
        self._random = random.Random(seed)

    def isolate(self, peer_id: str, *, inward: bool = True, outward: bool = True) -> None:
        """Cut a process off from all others, in one or both directions."""
        for other in self.endpoint_by_id:
            if outward:
                self.cuts.add((peer_id, other))
            if inward:
                self.cuts.add((other, peer_id))

    def deliver(self, target: str, envelope: codec.Envelope) -> None:
        """Send an envelope on its way."""
        data = codec.encode(envelope, KEY)
        self.messages += 1
        self.bytes += len(data)
        copies = 1 + (self._random.random() < self.repeat)
        for _ in range(copies):
            lost = self._random.random() < self.drop
            if not lost and (envelope.sender, target) not in self.cuts:
                delay_s = 0.0005 + self._random.random() * self.jitter_s
                self.group.start_soon(self._arrive, target, data, delay_s)

    async def _arrive(self, target: str, data: bytes, delay_s: float) -> None:
        await anyio.sleep(delay_s)
        endpoint = self.endpoint_by_id.get(target)
        if endpoint is not None:
            await endpoint.receive(codec.decode(data, [KEY]))


class Endpoint:
    """The transport of one process; a new one replaces it at a restart."""

    def __init__(self, network: Network, peer_id: str) -> None:
        self.handlers_by_type: dict[type, Handler] = {}
        self.request_handlers_by_type: dict[type, RequestHandler] = {}
        self.peer_id = peer_id
        self._network = network
        self._scope = anyio.CancelScope()
        self._reply_by_request: dict[int, tuple[anyio.Event, list[object]]] = {}
        self._incarnation = random.Random(f"{peer_id}{anyio.current_time()}").getrandbits(32)
        network.endpoint_by_id[peer_id] = self

    def close(self) -> None:
        """Stop receiving and end all handlers."""
        if self._network.endpoint_by_id.get(self.peer_id) is self:
            del self._network.endpoint_by_id[self.peer_id]
        self._scope.cancel()

    def send(self, peer_id: str, message: object, *, reliable: bool = False) -> bool:
        """Send a message."""
        self._network.deliver(peer_id, codec.Envelope(self.peer_id, self._incarnation, message))
        return True

    async def request(self, peer_id: str, message: object, *, timeout_s: float) -> object:
        """Send a request and wait for its reply."""
        request_id = len(self._reply_by_request) + 1
        done, replies = self._reply_by_request[request_id] = (anyio.Event(), [])
        envelope = codec.Envelope(self.peer_id, self._incarnation, message, request_id=request_id)
        self._network.deliver(peer_id, envelope)
        with anyio.move_on_after(timeout_s):
            await done.wait()
        if not replies:
            raise PeerUnreachable(peer_id)
        return replies[0]

    async def receive(self, envelope: codec.Envelope) -> None:
        """Handle a message, request or reply."""
        if envelope.is_reply:
            done, replies = self._reply_by_request.get(envelope.request_id, (None, []))
            replies.append(envelope.message)
            if done is not None:
                done.set()
            return
        handler = self.request_handlers_by_type.get(type(envelope.message))
        if handler is None:
            return
        sender = Sender(envelope.sender, envelope.incarnation)
        with anyio.CancelScope() as scope:
            self._network.group.start_soon(self._cancel_with_endpoint, scope)
            reply = await handler(sender, envelope.message)
            if self._scope.cancel_called:
                return
            self._network.deliver(
                envelope.sender,
                codec.Envelope(
                    self.peer_id,
                    self._incarnation,
                    reply,
                    request_id=envelope.request_id,
                    is_reply=True,
                ),
            )

    async def _cancel_with_endpoint(self, scope: anyio.CancelScope) -> None:
        raise NotImplementedError

    def peers(self) -> list[str]:
        """Return all processes that run."""
        return [peer for peer in self._network.endpoint_by_id if peer != self.peer_id]

    def heard_ago(self, peer_id: str) -> float:
        """Return infinity: not used by the control processes."""
        return math.inf

    def incarnation_of(self, peer_id: str) -> int | None:
        """Return None: not used by the control processes."""
        return None
