"""The link to one peer: queues, reliable stream and connection."""

from __future__ import annotations

import math
from collections import deque

import anyio
import attrs
import pynng

from apricotpoint._core.counters import Counters
from apricotpoint._core.timers import TimerService
from apricotpoint._wire import codec

HEARTBEAT_PERIOD_S = 0.4
PEER_TIMEOUT_S = 1.5
RETRANSMIT_TIMEOUT_S = 1.0
# Unreliable messages that waited longer than this are dropped. Load reports
# are stale after 1 s, and requests of the control processes time out by then.
MAX_QUEUE_TIME_S = 2.0
MAX_QUEUED_MESSAGES = 1000
MAX_UNACKNOWLEDGED_MESSAGES = 2000
MAX_MESSAGE_BYTES = 64 << 20
# Messages wait in this process and not in the socket, so that their age is known.
_SOCKET_BUFFER = 16
# A burst of reliable messages is acknowledged before the next heartbeat, so
# that the sender's queue does not fill up.
_ACKNOWLEDGE_AFTER = 256


@attrs.frozen
class Redial:
    """Tells a peer that nothing is heard from it, so that it opens a new connection.

    Only the peer can replace the connection on which it sends, and it cannot
    see that this connection has gone silent.
    """


@attrs.frozen
class NewerIncarnation:
    """Tells a process that messages of it are dropped, because a higher incarnation was heard."""

    incarnation: int


codec.register(Redial, NewerIncarnation)


@attrs.frozen
class _Queued:
    message: object
    queued_at: float
    request_id: int = 0
    is_reply: bool = False


class PeerLink:
    """Sends to one peer and keeps the state of both directions.

    The sequence of a reliable message is its place in the stream from this
    incarnation to one incarnation of the peer. `run` is the one task that
    writes to the connection.
    """

    def __init__(
        self,
        *,
        process_id: str,
        incarnation: int,
        peer_id: str,
        address: str,
        key: bytes,
        timers: TimerService,
        counters: Counters,
    ) -> None:
        self.peer_id = peer_id
        self.peer_incarnation: int | None = None
        self.heard_at = -math.inf
        self._process_id = process_id
        self._incarnation = incarnation
        self._address = address
        self._key = key
        self._timers = timers
        self._counters = counters
        self._queue: deque[_Queued] = deque()
        # Reliable messages that are not acknowledged; the first one has
        # sequence `_acknowledged + 1`, and `_transmitted` of them are sent.
        self._stream: deque[_Queued] = deque()
        self._acknowledged = 0
        self._transmitted = 0
        self._retransmit_at = math.inf
        self._received = 0
        self._received_unacknowledged = 0
        self._sent_at = -math.inf
        self._dialled_at = -math.inf
        self._redial_asked = False
        self._told_newer_at = -math.inf
        self._wake = anyio.Event()
        self._socket: pynng.Push0 | None = None

    def send(self, message: object, *, request_id: int = 0, is_reply: bool = False) -> bool:
        """Queue a message; False if the queue is full."""
        if len(self._queue) >= MAX_QUEUED_MESSAGES:
            self._counters.add("link.queue_full")
            return False
        item = _Queued(message, self._timers.now(), request_id, is_reply)
        self._queue.append(item)
        self._wake.set()
        return True

    def send_reliable(self, message: object) -> bool:
        """Queue a message of the reliable stream; False if too many are unacknowledged."""
        if len(self._stream) >= MAX_UNACKNOWLEDGED_MESSAGES:
            self._counters.add("link.queue_full")
            return False
        self._stream.append(_Queued(message, self._timers.now()))
        self._wake.set()
        return True

    async def flushed(self) -> None:
        """Wait until nothing waits here for transmission or acknowledgement."""
        while self._queue or self._stream:  # noqa: ASYNC110  # Only used at the end.
            await anyio.sleep(0.02)

    def accept(self, envelope: codec.Envelope) -> bool:
        """Update the link from a received envelope; False if its message must be dropped."""
        if self.peer_incarnation is None or envelope.incarnation > self.peer_incarnation:
            self._begin_incarnation(envelope.incarnation)
        elif envelope.incarnation < self.peer_incarnation:
            # Handling it could repeat a message whose sequence is forgotten.
            self._counters.add("link.old_incarnation")
            self._tell_newer_incarnation()
            return False
        self.heard_at = self._timers.now()
        is_for_me = envelope.peer_incarnation == self._incarnation
        if is_for_me:
            self._acknowledge(envelope.acknowledged)
        if isinstance(envelope.message, Redial):
            self._redial_asked = True
            self._wake.set()
            return False
        if envelope.sequence:
            return is_for_me and self._accept_sequence(envelope.sequence)
        # A reply to an earlier incarnation could match a request of this one.
        return is_for_me or not envelope.is_reply

    async def run(self) -> None:
        """Write to the connection until cancelled."""
        try:
            while True:
                self._wake = anyio.Event()
                now = self._timers.now()
                self._maintain(now)
                blocked = self._write(now)
                wait_s = max(0.0, self._next_due(blocked=blocked) - self._timers.now())
                with anyio.move_on_after(wait_s):
                    if blocked:
                        await anyio.wait_readable(self._open_socket().send_fd)
                    else:
                        await self._wake.wait()
        finally:
            if self._socket is not None:
                self._socket.close()

    def _tell_newer_incarnation(self) -> None:
        """Answer messages of an old incarnation, at most once each `PEER_TIMEOUT_S`."""
        now = self._timers.now()
        if now - self._told_newer_at >= PEER_TIMEOUT_S:
            self._told_newer_at = now
            self.send(NewerIncarnation(self.peer_incarnation or 0))

    def _begin_incarnation(self, incarnation: int) -> None:
        if self.peer_incarnation is not None:
            self._counters.add("link.dropped_for_old_incarnation", len(self._stream))
            self._stream.clear()
        self.peer_incarnation = incarnation
        self._acknowledged = 0
        self._transmitted = 0
        self._received = 0
        self._received_unacknowledged = 0
        self._wake.set()

    def _acknowledge(self, acknowledged: int) -> None:
        count = acknowledged - self._acknowledged
        if not 0 < count <= self._transmitted:
            return
        for _ in range(count):
            self._stream.popleft()
        self._acknowledged = acknowledged
        self._transmitted -= count
        self._retransmit_at = self._timers.now() + RETRANSMIT_TIMEOUT_S

    def _accept_sequence(self, sequence: int) -> bool:
        if sequence <= self._received:
            self._counters.add("link.duplicates")
            return False
        if sequence > self._received + 1:
            self._counters.add("link.gaps")
            return False
        self._received = sequence
        self._received_unacknowledged += 1
        if self._received_unacknowledged >= _ACKNOWLEDGE_AFTER:
            self._wake.set()
        return True

    def _maintain(self, now: float) -> None:
        is_silent = now - max(self.heard_at, self._dialled_at) >= PEER_TIMEOUT_S
        if self._socket is None or self._redial_asked or is_silent:
            self._redial_asked = False
            self._dial(now)
            if is_silent and self.heard_at > -math.inf:
                self.send(Redial())
        if self._transmitted and now >= self._retransmit_at:
            self._counters.add("link.retransmissions", self._transmitted)
            self._transmitted = 0
        while self._queue and now - self._queue[0].queued_at > MAX_QUEUE_TIME_S:
            self._queue.popleft()
            self._counters.add("link.expired")
        is_heartbeat_due = now - self._sent_at >= HEARTBEAT_PERIOD_S
        is_acknowledgement_due = self._received_unacknowledged >= _ACKNOWLEDGE_AFTER
        if (is_heartbeat_due or is_acknowledgement_due) and not self._has_output():
            self.send(codec.Nothing())

    def _has_output(self) -> bool:
        # The peer drops reliable messages that do not name its incarnation, so
        # they wait for the first message from it.
        is_stream_open = self.peer_incarnation is not None
        return bool(self._queue) or (is_stream_open and self._transmitted < len(self._stream))

    def _next_due(self, *, blocked: bool) -> float:
        due = max(self.heard_at, self._dialled_at) + PEER_TIMEOUT_S
        if not blocked:
            due = min(due, self._sent_at + HEARTBEAT_PERIOD_S)
        return min(due, self._retransmit_at) if self._transmitted else due

    def _dial(self, now: float) -> None:
        if self._socket is not None:
            self._counters.add("link.redials")
            self._socket.close()
        self._socket = pynng.Push0(
            send_buffer_size=_SOCKET_BUFFER, reconnect_time_min=50, reconnect_time_max=500
        )
        self._socket.dial(f"tcp://{self._address}", block=False)
        self._dialled_at = now
        # What was on the old connection may be lost.
        self._transmitted = 0

    def _open_socket(self) -> pynng.Push0:
        assert self._socket is not None
        return self._socket

    def _write(self, now: float) -> bool:
        """Write what is due; True if the connection takes no more at present."""
        while self._queue:
            if not self._write_one(self._queue[0], 0, now):
                return True
            self._queue.popleft()
        while self._has_output():
            item = self._stream[self._transmitted]
            if not self._write_one(item, self._acknowledged + self._transmitted + 1, now):
                return True
            if not self._transmitted:
                self._retransmit_at = now + RETRANSMIT_TIMEOUT_S
            self._transmitted += 1
        return False

    def _write_one(self, item: _Queued, sequence: int, now: float) -> bool:
        data = self._encode(item, sequence, now)
        if len(data) > MAX_MESSAGE_BYTES:
            self._counters.add("link.too_long")
            # The sequence must not have a gap.
            empty = attrs.evolve(item, message=codec.Nothing())
            data = self._encode(empty, sequence, now)
        try:
            self._open_socket().send(data, block=False)
        except pynng.TryAgain:
            return False
        self._sent_at = now
        self._received_unacknowledged = 0
        self._counters.add("link.sent")
        return True

    def _encode(self, item: _Queued, sequence: int, now: float) -> bytes:
        return codec.encode(
            codec.Envelope(
                sender=self._process_id,
                incarnation=self._incarnation,
                message=item.message,
                request_id=item.request_id,
                is_reply=item.is_reply,
                sequence=sequence,
                acknowledged=self._received,
                peer_incarnation=self.peer_incarnation or 0,
                age_s=now - item.queued_at,
            ),
            self._key,
        )
