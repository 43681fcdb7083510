"""Message transport between all processes of the system: one link to each peer."""

from __future__ import annotations

import asyncio
import itertools
import math
import secrets
from collections.abc import Callable, Collection, Mapping, Sequence
from types import TracebackType

import anyio
import anyio.abc
import anyio.lowlevel
import attrs
import logbook
import pynng

from apricotpoint._core.codes import ResultCode
from apricotpoint._core.counters import Counters
from apricotpoint._core.errors import ApricotError
from apricotpoint._core.timers import TimerService
from apricotpoint._link.peer import (
    MAX_MESSAGE_BYTES,
    PEER_TIMEOUT_S,
    ClockProbe,
    NewerIncarnation,
    PeerLink,
)
from apricotpoint._link.traffic import Traffic
from apricotpoint._link.transport import (
    Handler,
    PeerUnreachable,
    RequestHandler,
    RequestNotSent,
    Sender,
)
from apricotpoint._wire import codec

MAX_REQUESTS_IN_PROGRESS = 2000
FLUSH_TIMEOUT_S = 0.5
# A dated request that may be older than this has its age measured by a probe.
DATED_WITHIN_S = 0.1
CLOCK_PROBE_TIMEOUT_S = 0.3
# Messages handled in a row before other tasks of the event loop get to run.
_RECEIVE_BURST_MESSAGES = 64

_log = logbook.Logger("link")


def accept_no_new_peers(_: str) -> str | None:
    """Return None for every id: only the peers of the settings are accepted."""
    return None


class OldIncarnationError(ApricotError):
    """A peer has seen a higher incarnation, `highest`, of this process, and drops its messages."""

    def __init__(self, message: str, *, highest: int) -> None:
        super().__init__(
            ResultCode.OLD_INCARNATION,
            message,
            remedy="correct the wall clock of this VM and start the process again",
        )
        self.highest = highest


@attrs.define(eq=False)
class _PendingRequest:
    peer_id: str
    arrived: anyio.Event = attrs.Factory(anyio.Event)
    reply: object = None
    failure: str = ""
    is_sent: bool = True


class Mesh:
    """Implements `Transport` with pynng push/pull sockets over TCP.

    A process listens on one pull socket and has one push socket for each
    peer. Incarnations of one process id must increase, because a peer drops
    messages of an incarnation lower than the highest one it has seen. A
    process that is told by a peer of a higher incarnation than its own ends
    with `OldIncarnationError`, because that peer drops its messages. Use
    as an async context manager; register the handlers before it is entered.

    Peers may be added while the mesh runs. `address_of` is called with the id
    of an unknown process that has sent a valid message; it returns the address
    of the new peer, or None to drop the message. Messages are authenticated
    with the first key of `keys`; those received may use any of them. Links that are
    not used for `idle_after_s` seconds close their connections (see `PeerLink`). Open
    requests of `quiet_types` need no heartbeats there: such requests just time out.

    The handlers of requests of `dated_types` learn how old a request is at most. If the messages
    exchanged before do not tell that it is recent, its sender is probed first: what waited for a
    process that was stopped, or for a partition to end, is not taken for new.

    `traffic` has the number and size of messages by type. Works only with the asyncio backend of
    anyio.
    """

    def __init__(
        self,
        *,
        process_id: str,
        incarnation: int,
        listen: str,
        address_by_peer: Mapping[str, str],
        keys: Sequence[bytes],
        timers: TimerService,
        counters: Counters,
        address_of: Callable[[str], str | None] = accept_no_new_peers,
        idle_after_s: float = math.inf,
        quiet_types: Collection[type] = (),
        dated_types: Collection[type] = (),
    ) -> None:
        self.handlers_by_type: dict[type, Handler] = {}
        self.request_handlers_by_type: dict[type, RequestHandler] = {ClockProbe: _return_probe}
        self.traffic = Traffic()
        self._process_id = process_id
        self._incarnation = incarnation
        self._listen = listen
        self._keys = list(keys)
        self._timers = timers
        self._counters = counters
        self._pending_request_by_id: dict[int, _PendingRequest] = {}
        # A random start, so that a late reply to an earlier incarnation matches no request.
        self._request_ids = itertools.count(secrets.randbits(48) + 1)
        self._requests_in_progress = 0
        self._address_of = address_of
        self._idle_after_s = idle_after_s
        self._quiet_types = frozenset({*quiet_types, ClockProbe})
        self._dated_types = frozenset(dated_types)
        self._link_by_id = {
            peer_id: self._make_link(peer_id, address)
            for peer_id, address in address_by_peer.items()
            if peer_id != process_id
        }
        self._cancel_scope_by_id: dict[str, anyio.CancelScope] = {}
        self._group: anyio.abc.TaskGroup | None = None
        self._pull_socket: pynng.Pull0 | None = None

    async def __aenter__(self) -> Mesh:
        self._pull_socket = pynng.Pull0(recv_max_size=MAX_MESSAGE_BYTES)
        try:
            self._pull_socket.listen(f"tcp://{self._listen}")
        except pynng.NNGException as error:
            self._pull_socket.close()
            raise ApricotError(
                ResultCode.INVALID_SETTINGS,
                f"cannot listen on {self._listen}: {error}",
                remedy="stop the process that listens there, or change peer_bind in the settings",
            ) from error
        self._group = anyio.create_task_group()
        await self._group.__aenter__()
        self._group.start_soon(self._receive, self._pull_socket)
        for link in self._link_by_id.values():
            self._start_link(link)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool | None:
        assert self._group is not None
        assert self._pull_socket is not None
        if exc_type is None:
            await self._flush()
        self._group.cancel_scope.cancel()
        try:
            return await self._group.__aexit__(exc_type, exc, traceback)
        finally:
            self._pull_socket.close()

    def send(self, peer_id: str, message: object, *, reliable: bool = False) -> bool:
        """Queue a message; False if the peer is unknown or its queue is full.

        A reliable message is retransmitted until the receiving incarnation has
        acknowledged it, and is handled there once and in order. It is dropped
        if that incarnation ends first. Any other message may be lost.
        """
        link = self._link_by_id.get(peer_id)
        if link is None:
            self._counters.add("link.unknown_peer")
            return False
        return link.send_reliable(message) if reliable else link.send(message)

    async def request(self, peer_id: str, message: object, *, timeout_s: float) -> object:
        """Send a request once and return its reply.

        Raises `RequestNotSent` if the peer is unknown, its queue is full, or the request was
        withdrawn; `PeerUnreachable` if it cannot be encoded or is too long, or no reply arrives
        within `timeout_s`.
        """
        link = self._link_by_id.get(peer_id)
        if link is None:
            raise RequestNotSent(f"peer {peer_id!r} is not known")
        request_id, sent_at = next(self._request_ids), self._timers.now()
        pending = _PendingRequest(peer_id)
        self._pending_request_by_id[request_id] = pending
        needs_heartbeats = type(message) not in self._quiet_types
        if needs_heartbeats:
            link.begin_request()
        try:
            if not link.send(message, request_id=request_id):
                raise RequestNotSent(f"the send queue to peer {peer_id} is full")
            with anyio.move_on_after(timeout_s):
                await pending.arrived.wait()
        finally:
            if needs_heartbeats:
                link.end_request()
            del self._pending_request_by_id[request_id]
        if not pending.arrived.is_set():
            self._counters.add("link.request_timeouts")
            link.check_silence(sent_at)
            raise PeerUnreachable(f"no reply from peer {peer_id} within {timeout_s:g} s")
        if not pending.is_sent:
            raise RequestNotSent(f"the request to peer {peer_id} was withdrawn")
        if pending.failure:
            raise PeerUnreachable(f"the request to peer {peer_id} failed: {pending.failure}")
        return pending.reply

    def withdraw(self, peer_id: str, message: object) -> bool:
        """Withdraw a request that was never written to a connection; False if it may have been.

        `request` then raises `RequestNotSent`.
        """
        link = self._link_by_id.get(peer_id)
        request_id = 0 if link is None else link.withdraw(message)
        pending = self._pending_request_by_id.get(request_id)
        if pending is None:
            return False
        pending.is_sent = False
        pending.arrived.set()
        return True

    def peers(self) -> list[str]:
        """Return the ids of all known peers."""
        return list(self._link_by_id)

    def add_peer(self, peer_id: str, address: str) -> None:
        """Open a link to a peer; no effect if it is known. The mesh must be running."""
        if peer_id == self._process_id or peer_id in self._link_by_id:
            return
        link = self._link_by_id[peer_id] = self._make_link(peer_id, address)
        self._counters.add("link.peers_added")
        self._start_link(link)

    def remove_peer(self, peer_id: str) -> None:
        """Close the link to a peer and drop the messages queued for it."""
        if self._link_by_id.pop(peer_id, None) is None:
            return
        self._counters.add("link.peers_removed")
        scope = self._cancel_scope_by_id.pop(peer_id, None)
        if scope is not None:
            scope.cancel()

    def replace_connections(self, peer_id: str) -> None:
        """Open the connections to and from a peer anew; no effect if the peer is unknown.

        For a peer that is silent although it should send: its connection may be broken unnoticed.
        """
        link = self._link_by_id.get(peer_id)
        if link is not None:
            link.replace_connections()

    def seconds_since_contact(self, peer_id: str) -> float:
        """Return the seconds since the last message from the peer; infinity if there was none."""
        link = self._link_by_id.get(peer_id)
        return math.inf if link is None else self._timers.now() - link.last_contact_at

    def seconds_since_alive(self, peer_id: str) -> float:
        """Return at most how many seconds ago the peer has sent a message that has arrived.

        Unlike `seconds_since_contact`, it counts the time that the message took, if that is known:
        a peer may have ended while its messages were held up. Infinity if there was none.
        """
        link = self._link_by_id.get(peer_id)
        return math.inf if link is None else self._timers.now() - link.last_alive_at

    def incarnation_of(self, peer_id: str) -> int | None:
        """Return the highest incarnation that has sent a message; None if none has."""
        link = self._link_by_id.get(peer_id)
        return None if link is None else link.peer_incarnation

    def _make_link(self, peer_id: str, address: str) -> PeerLink:
        return PeerLink(
            process_id=self._process_id,
            incarnation=self._incarnation,
            peer_id=peer_id,
            address=address,
            key=self._keys[0],
            timers=self._timers,
            counters=self._counters,
            on_unsent_request=self._fail_request,
            is_awaited=self._pending_request_by_id.__contains__,
            traffic=self.traffic,
            idle_after_s=self._idle_after_s,
        )

    def _fail_request(self, request_id: int, reason: str) -> None:
        pending = self._pending_request_by_id.get(request_id)
        if pending is not None:
            pending.failure = reason
            pending.arrived.set()

    def _start_link(self, link: PeerLink) -> None:
        assert self._group is not None
        scope = self._cancel_scope_by_id[link.peer_id] = anyio.CancelScope()

        async def run() -> None:
            with scope:
                await link.run()

        self._group.start_soon(run)

    def _find_or_add_link(self, peer_id: str) -> PeerLink | None:
        if peer_id not in self._link_by_id and peer_id != self._process_id:
            address = self._address_of(peer_id)
            if address is not None:
                self.add_peer(peer_id, address)
        return self._link_by_id.get(peer_id)

    async def _flush(self) -> None:
        """Wait up to `FLUSH_TIMEOUT_S` until live peers have acknowledged all messages."""
        with anyio.move_on_after(FLUSH_TIMEOUT_S, shield=True):
            for link in self._link_by_id.values():
                if self._timers.now() - link.last_contact_at < PEER_TIMEOUT_S:
                    await link.wait_until_flushed()

    async def _receive(self, pull: pynng.Pull0) -> None:
        # Registered once: `anyio.wait_readable` would register and remove the socket for each wait,
        # which makes two more system calls and a pass of the event loop for each message.
        arrived = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_reader(pull.recv_fd, arrived.set)
        try:
            while True:
                await arrived.wait()
                arrived.clear()
                if not self._receive_burst(pull):
                    # The socket stays readable, so the event is set again after other tasks ran.
                    await anyio.lowlevel.checkpoint()
        finally:
            loop.remove_reader(pull.recv_fd)

    def _receive_burst(self, pull: pynng.Pull0) -> bool:
        """Handle the messages that have arrived, up to a limit; False if more may be left."""
        for _ in range(_RECEIVE_BURST_MESSAGES):
            try:
                data = pull.recv(block=False)
            except pynng.TryAgain:
                return True
            except RuntimeError:
                # pynng 0.9 raises this for an empty message, which any program that connects can
                # send.
                self._counters.add("link.undecodable")
                continue
            self._handle(data)
        return False

    def _handle(self, data: bytes) -> None:
        try:
            envelope = codec.decode(data, self._keys)
        except codec.CodecError:
            self._counters.add("link.undecodable")
            return
        self._counters.add("link.received")
        self.traffic.received_by_type[type(envelope.message).__name__].record(len(data))
        link = self._find_or_add_link(envelope.sender)
        if link is None:
            self._counters.add("link.unknown_sender")
            return
        arrived_at = self._timers.boot_time()
        if not link.accept(envelope, arrived_at):
            return
        age_s = link.age_s(envelope, arrived_at)
        known_age_s = max(0.0, envelope.age_s) if age_s is None else age_s
        sender = Sender(envelope.sender, envelope.incarnation, known_age_s)
        if envelope.is_reply:
            self._handle_reply(envelope)
        elif envelope.request_id:
            self._handle_request(link, sender, envelope, arrived_at)
        elif isinstance(envelope.message, NewerIncarnation):
            self._check_incarnation(envelope.sender, envelope.message.incarnation)
        elif not isinstance(envelope.message, codec.Nothing):
            self._handle_message(sender, envelope.message)

    def _check_incarnation(self, peer_id: str, highest_incarnation: int) -> None:
        # A peer also sends this when late messages of an earlier incarnation reach it.
        if highest_incarnation <= self._incarnation:
            return
        raise OldIncarnationError(
            f"peer {peer_id} has seen incarnation {highest_incarnation} of {self._process_id}, "
            f"which is higher than the current one, {self._incarnation}",
            highest=highest_incarnation,
        )

    def _handle_reply(self, envelope: codec.Envelope) -> None:
        pending = self._pending_request_by_id.get(envelope.request_id)
        if pending is None or pending.peer_id != envelope.sender:
            self._counters.add("link.late_replies")
            if type(envelope.message) in self.handlers_by_type:
                # Registered for replies that are of use later, too.
                self._handle_message(
                    Sender(envelope.sender, envelope.incarnation), envelope.message
                )
            return
        if isinstance(envelope.message, codec.UnknownMessage):
            self._counters.add("link.unhandled")
            return
        if isinstance(envelope.message, codec.Nothing):
            self._fail_request(envelope.request_id, "its reply could not be sent")
            return
        pending.reply = envelope.message
        pending.arrived.set()

    def _handle_message(self, sender: Sender, message: object) -> None:
        handler = self.handlers_by_type.get(type(message))
        if handler is None:
            self._counters.add("link.unhandled")
            return
        try:
            handler(sender, message)
        except Exception:
            self._counters.add("link.handler_errors")
            _log.exception(
                "handler of {} from peer {} failed", type(message).__name__, sender.peer_id
            )

    def _handle_request(
        self, link: PeerLink, sender: Sender, envelope: codec.Envelope, arrived_at: float
    ) -> None:
        handler = self.request_handlers_by_type.get(type(envelope.message))
        if handler is None:
            self._counters.add("link.unhandled")
            return
        if self._requests_in_progress >= MAX_REQUESTS_IN_PROGRESS:
            self._counters.add("link.requests_dropped")
            return
        assert self._group is not None
        self._requests_in_progress += 1
        self._group.start_soon(self._answer, handler, link, sender, envelope, arrived_at)

    async def _answer(
        self,
        handler: RequestHandler,
        link: PeerLink,
        sender: Sender,
        envelope: codec.Envelope,
        arrived_at: float,
    ) -> None:
        needs_heartbeats = type(envelope.message) not in self._quiet_types
        if needs_heartbeats:
            link.begin_request()
        try:
            if type(envelope.message) in self._dated_types:
                sender = await self._date(link, sender, envelope, arrived_at)
            reply = await handler(sender, envelope.message)
            link.send(reply, request_id=envelope.request_id, is_reply=True)
        except Exception:
            self._counters.add("link.handler_errors")
            _log.exception(
                "handler of request {} from peer {} failed",
                type(envelope.message).__name__,
                sender.peer_id,
            )
        finally:
            if needs_heartbeats:
                link.end_request()
            self._requests_in_progress -= 1

    async def _date(
        self, link: PeerLink, sender: Sender, envelope: codec.Envelope, arrived_at: float
    ) -> Sender:
        """Return the sender with the age of a request on arrival, after a probe if necessary."""
        age_s = link.age_s(envelope, arrived_at)
        if age_s is None or age_s > DATED_WITHIN_S:
            await self._probe_clock(link, arrived_at)
            age_s = link.age_s(envelope, arrived_at)
        if age_s is None:
            self._counters.add("link.undated")
            return attrs.evolve(sender, age_s=math.inf)
        # The probe has taken time, too.
        return attrs.evolve(sender, age_s=age_s + self._timers.boot_time() - arrived_at)

    async def _probe_clock(self, link: PeerLink, arrived_at: float) -> None:
        """Exchange a message with a peer, unless that was tried since `arrived_at`."""
        async with link.clock_lock:
            if link.clock_probed_at >= arrived_at:
                return
            link.clock_probed_at = self._timers.boot_time()
            self._counters.add("link.clock_probes")
            try:
                await self.request(link.peer_id, ClockProbe(), timeout_s=CLOCK_PROBE_TIMEOUT_S)
            except PeerUnreachable as error:
                _log.info("the age of a request of {} is not known: {}", link.peer_id, error)


async def _return_probe(_: Sender, message: object) -> object:
    return message
