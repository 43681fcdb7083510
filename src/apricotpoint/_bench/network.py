"""In-memory network between processes with latency and partitions."""

from __future__ import annotations

import heapq
import itertools
import math
from collections import Counter
from collections.abc import Callable

import anyio
import attrs

from apricotpoint._link.transport import Handler, PeerUnreachable, RequestHandler, Sender


@attrs.frozen(order=True)
class Delivery:
    """A message in transit; sorts by the time of delivery and then by number.

    `request_id` is 0 except for requests and replies. `to_incarnation` is the last
    incarnation of the receiver known to the sender, None before first contact.
    """

    due_at: float
    number: int
    sender_id: str = attrs.field(order=False)
    receiver_id: str = attrs.field(order=False)
    message: object = attrs.field(order=False)
    request_id: int = attrs.field(order=False, default=0)
    is_reply: bool = attrs.field(order=False, default=False)
    reliable: bool = attrs.field(order=False, default=False)
    sent_at: float = attrs.field(order=False, default=0.0)
    to_incarnation: int | None = attrs.field(order=False, default=None)
    from_incarnation: int = attrs.field(order=False, default=0)


class Network:
    """Delivers messages between ports after a latency, in order for each pair of processes.

    `latency_s` returns the one-way latency between two process ids, `is_blocked`
    whether messages from the first to the second do not pass. Blocked reliable
    messages are kept until `release_blocked`; others are lost. `count_by_type`
    counts the messages sent by the name of their class.
    """

    def __init__(
        self,
        *,
        latency_s: Callable[[str, str], float],
        is_blocked: Callable[[str, str], bool] = lambda _sender, _receiver: False,
    ) -> None:
        self.latency_s = latency_s
        self.is_blocked = is_blocked
        self.port_by_id: dict[str, Port] = {}
        self.count_by_type: Counter[str] = Counter()
        self._queue: list[Delivery] = []
        self._blocked: list[Delivery] = []
        self._numbers = itertools.count(1)
        self._changed = anyio.Event()

    def add(self, process_id: str, incarnation: int) -> Port:
        """Connect a process and return its port; disconnect its previous incarnation."""
        port = Port(self, process_id, incarnation)
        self.port_by_id[process_id] = port
        return port

    def remove(self, process_id: str) -> None:
        """Disconnect a process."""
        self.port_by_id.pop(process_id, None)

    def post(self, delivery: Delivery) -> None:
        """Queue a message for delivery."""
        self.count_by_type[type(delivery.message).__name__] += 1
        heapq.heappush(self._queue, delivery)
        if self._queue[0] is delivery:
            self._changed.set()

    def number(self) -> int:
        """Return the next sequence number, which messages and requests share."""
        return next(self._numbers)

    def release_blocked(self) -> None:
        """Queue the kept reliable messages again; call it when links are no longer blocked."""
        blocked, self._blocked = self._blocked, []
        for delivery in blocked:
            heapq.heappush(self._queue, delivery)
        self._changed.set()

    async def run(self) -> None:
        """Deliver messages until cancelled."""
        while True:
            self._changed = anyio.Event()
            now = anyio.current_time()
            while self._queue and self._queue[0].due_at <= now:
                self._deliver(heapq.heappop(self._queue), now)
            if not self._queue:
                await self._changed.wait()
                continue
            with anyio.move_on_after(self._queue[0].due_at - now):
                await self._changed.wait()

    def _deliver(self, delivery: Delivery, now: float) -> None:
        if self.is_blocked(delivery.sender_id, delivery.receiver_id):
            if delivery.reliable:
                self._blocked.append(delivery)
            return
        port = self.port_by_id.get(delivery.receiver_id)
        if port is None:
            return
        # A reliable stream ends with the incarnations at both ends, so its messages do too.
        if delivery.reliable and delivery.to_incarnation not in (None, port.incarnation):
            return
        port.receive(delivery, now)


class Port:
    """The `Transport` of one process on a `Network`; call `run` to answer requests."""

    def __init__(self, network: Network, process_id: str, incarnation: int) -> None:
        self.network = network
        self.process_id = process_id
        self.incarnation = incarnation
        self.handlers_by_type: dict[type, Handler] = {}
        self.request_handlers_by_type: dict[type, RequestHandler] = {}
        self._last_contact_at_by_peer: dict[str, float] = {}
        self._incarnation_by_peer: dict[str, int] = {}
        self._reply_by_request: dict[int, object] = {}
        self._reply_event_by_request: dict[int, anyio.Event] = {}
        self._pending_requests: list[tuple[RequestHandler, Sender, Delivery]] = []
        self._pending_requests_changed = anyio.Event()

    def send(self, peer_id: str, message: object, *, reliable: bool = False) -> bool:
        """Queue a message to a peer; return False for a message to the process itself."""
        if peer_id == self.process_id:
            return False
        self._post(peer_id, message, reliable=reliable)
        return True

    async def request(self, peer_id: str, message: object, *, timeout_s: float) -> object:
        """Send a request and return its reply; raise `PeerUnreachable` after `timeout_s`."""
        request_id = self.network.number()
        event = anyio.Event()
        self._reply_event_by_request[request_id] = event
        self._post(peer_id, message, request_id=request_id)
        with anyio.move_on_after(timeout_s):
            await event.wait()
        del self._reply_event_by_request[request_id]
        if not event.is_set():
            raise PeerUnreachable(f"no reply from {peer_id} within {timeout_s:g} s")
        return self._reply_by_request.pop(request_id)

    def withdraw(self, peer_id: str, message: object) -> bool:
        """Return False, as each message is on its way at once."""
        return False

    def peers(self) -> list[str]:
        """Return the ids of all other processes."""
        return [peer_id for peer_id in self.network.port_by_id if peer_id != self.process_id]

    def seconds_since_contact(self, peer_id: str) -> float:
        """Return the seconds since the last message from the peer, infinity before the first."""
        last_contact_at = self._last_contact_at_by_peer.get(peer_id)
        return math.inf if last_contact_at is None else anyio.current_time() - last_contact_at

    def incarnation_of(self, peer_id: str) -> int | None:
        """Return the latest incarnation that a message from the peer named, or None."""
        return self._incarnation_by_peer.get(peer_id)

    def receive(self, delivery: Delivery, now: float) -> None:
        """Pass a delivered message to its handler; drop those of an earlier incarnation."""
        incarnation = delivery.from_incarnation
        if incarnation < self._incarnation_by_peer.get(delivery.sender_id, 0):
            return
        self._last_contact_at_by_peer[delivery.sender_id] = now
        self._incarnation_by_peer[delivery.sender_id] = incarnation
        if delivery.is_reply:
            event = self._reply_event_by_request.get(delivery.request_id)
            if event is not None:
                self._reply_by_request[delivery.request_id] = delivery.message
                event.set()
            return
        age_s = now - delivery.sent_at
        sender = Sender(peer_id=delivery.sender_id, incarnation=incarnation, age_s=age_s)
        request_handler = self.request_handlers_by_type.get(type(delivery.message))
        if delivery.request_id and request_handler is not None:
            self._pending_requests.append((request_handler, sender, delivery))
            self._pending_requests_changed.set()
            return
        handler = self.handlers_by_type.get(type(delivery.message))
        if handler is not None:
            handler(sender, delivery.message)

    async def run(self) -> None:
        """Answer requests until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                self._pending_requests_changed = anyio.Event()
                requests, self._pending_requests = self._pending_requests, []
                for request_handler, sender, delivery in requests:
                    group.start_soon(self._answer, request_handler, sender, delivery)
                await self._pending_requests_changed.wait()

    async def _answer(
        self, request_handler: RequestHandler, sender: Sender, delivery: Delivery
    ) -> None:
        reply = await request_handler(sender, delivery.message)
        self._post(delivery.sender_id, reply, request_id=delivery.request_id, is_reply=True)

    def _post(
        self,
        peer_id: str,
        message: object,
        *,
        request_id: int = 0,
        is_reply: bool = False,
        reliable: bool = False,
    ) -> None:
        now = anyio.current_time()
        self.network.post(
            Delivery(
                due_at=now + self.network.latency_s(self.process_id, peer_id),
                number=self.network.number(),
                sender_id=self.process_id,
                receiver_id=peer_id,
                message=message,
                request_id=request_id,
                is_reply=is_reply,
                reliable=reliable,
                sent_at=now,
                # As on a TCP link, the sender knows the receiver only from its messages.
                to_incarnation=self._incarnation_by_peer.get(peer_id),
                from_incarnation=self.incarnation,
            )
        )
