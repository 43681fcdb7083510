"""The link to one peer: send queue, reliable stream and connection."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable

import anyio
import attrs
import logbook
import pynng

from apricotpoint._core.counters import Counters
from apricotpoint._core.timers import TimerService
from apricotpoint._link.clock import PeerClock
from apricotpoint._link.confirmation import UnconfirmedMessages
from apricotpoint._link.traffic import Traffic
from apricotpoint._wire import codec

HEARTBEAT_PERIOD_S = 0.4
PEER_TIMEOUT_S = 1.5
RETRANSMIT_TIMEOUT_S = 1.0
# What a message whose age is not known may have taken.
UNKNOWN_AGE_S = 1.0
# Requests that have arrived are told from repeated ones as long as no more others follow.
_MAX_REMEMBERED_REQUESTS = 1000
# Shortest time between two connections that replace a silent one.
MIN_REDIAL_INTERVAL_S = 0.5
# Unreliable messages that were queued for longer are dropped: load reports are
# stale after 1 s, and requests of the control processes have timed out by then.
MAX_QUEUE_TIME_S = 2.0
MAX_QUEUED_MESSAGES = 1000
MAX_UNACKNOWLEDGED_MESSAGES = 2000
MAX_MESSAGE_BYTES = 64 << 20
# Pauses between attempts to connect to a peer that does not accept connections.
MIN_RECONNECT_S, MAX_RECONNECT_S = 0.05, 0.15
# Kept small so that messages wait in the queue of this process, where their age is known.
_SOCKET_BUFFER_MESSAGES = 16
# Acknowledges a burst of reliable messages before the next heartbeat, so that the
# unacknowledged messages of the sender do not reach their limit.
_ACKNOWLEDGE_AFTER_MESSAGES = 256

_log = logbook.Logger("link")


@attrs.frozen
class Redial:
    """Asks a peer from which nothing is received to replace the connection on which it sends.

    Only the peer can replace that connection, and it cannot detect that messages
    on it no longer arrive.
    """


@attrs.frozen
class NewerIncarnation:
    """Tells a process that its messages are dropped, because of a higher incarnation of it.

    `incarnation` is the highest one from which the sender has received a message.
    """

    incarnation: int


@attrs.frozen
class ClockProbe:
    """A request that is answered by itself at once, to learn how old another message is."""


codec.register(Redial, NewerIncarnation, ClockProbe)


@attrs.frozen
class _QueuedMessage:
    message: object
    queued_at: float
    request_id: int = 0
    is_reply: bool = False
    repeated: bool = False


class PeerLink:
    """Sends to one peer and keeps the state of both directions.

    Reliable messages from this incarnation to one incarnation of the peer are
    numbered from 1. The receiver accepts them in order and without gaps; all
    that are not acknowledged in time are sent again. `run` opens the connection, and
    writes what could not be written at once. `last_contact_at` is the time of the last message
    received from the peer, `last_alive_at` a time after which it has sent one of those
    received; both are minus infinity if there was none.

    Each process receives on another connection than the one on which it sends, so messages of the
    peer do not show that its own arrive. Therefore each message names the last one that has
    arrived. A connection that has lost messages is replaced, and requests and replies whose
    arrival was not confirmed are sent again; the receiver handles each request once.

    A link that has sent nothing for `idle_after_s` seconds closes its connection; the next
    message opens a new one. Such a link sends heartbeats, and expects them, only while a
    request is open in either direction. With infinity the connection stays open, and
    heartbeats are always sent. `on_unsent_request` is called with the id of a request that cannot
    be sent, and the reason; `is_awaited` tells whether a request of this process still waits for
    its reply. What is sent is counted in `traffic`.
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
        on_unsent_request: Callable[[int, str], None],
        is_awaited: Callable[[int], bool],
        traffic: Traffic,
        idle_after_s: float = math.inf,
    ) -> None:
        self.peer_id = peer_id
        self._traffic = traffic
        self._on_unsent_request = on_unsent_request
        self._is_awaited = is_awaited
        self.peer_incarnation: int | None = None
        self.last_contact_at = self.last_alive_at = -math.inf
        # One probe serves all requests that arrived before it.
        self.clock_lock = anyio.Lock()
        self.clock_probed_at = -math.inf
        self._idle_after_s = idle_after_s
        self._open_requests = 0
        # Since when the peer is expected to send at least heartbeats.
        self._contact_expected_since = -math.inf
        self._process_id = process_id
        self._incarnation = incarnation
        self._address = address
        self._key = key
        self._timers = timers
        self._counters = counters
        self._queue: deque[_QueuedMessage] = deque()
        # Reliable messages without an acknowledgement: the first one has sequence
        # `_acknowledged_sequence + 1`, and the first `_transmitted_count` of them have been sent.
        self._unacknowledged: deque[_QueuedMessage] = deque()
        self._acknowledged_sequence = 0
        self._transmitted_count = 0
        self._retransmit_at = math.inf
        self._received_sequence = 0
        self._acknowledgements_due = 0
        self._clock = PeerClock()
        self._unconfirmed = UnconfirmedMessages[_QueuedMessage]()
        self._request_ids: deque[int] = deque(maxlen=_MAX_REMEMBERED_REQUESTS)
        self._highest_request_id = 0
        self._last_sent_at = -math.inf
        self._dialled_at = -math.inf
        self._redial_requested = False
        self._newer_incarnation_sent_at = -math.inf
        self._wakeup = anyio.Event()
        self._socket: pynng.Push0 | None = None

    def send(self, message: object, *, request_id: int = 0, is_reply: bool = False) -> bool:
        """Queue a message; False if the queue is full."""
        if len(self._queue) >= MAX_QUEUED_MESSAGES:
            self._counters.add("link.queue_full")
            return False
        now = self._timers.now()
        item = _QueuedMessage(message, now, request_id, is_reply)
        # Waking `run` costs more than the message itself, so it is written here if nothing waits.
        is_ready = self._socket is not None and not self._queue and not self._redial_requested
        if is_ready and self._write_message(item, 0, now):
            return True
        self._queue.append(item)
        self._wakeup.set()
        return True

    def send_reliable(self, message: object) -> bool:
        """Queue a reliable message; False if too many are unacknowledged."""
        if len(self._unacknowledged) >= MAX_UNACKNOWLEDGED_MESSAGES:
            self._counters.add("link.queue_full")
            return False
        self._unacknowledged.append(_QueuedMessage(message, self._timers.now()))
        self._wakeup.set()
        return True

    def withdraw(self, message: object) -> int:
        """Remove a request that no connection has taken, and return its id; 0 if there is none."""
        for item in self._queue:
            if item.message is message and item.request_id and not item.repeated:
                self._queue.remove(item)
                self._counters.add("link.withdrawn")
                return item.request_id
        return 0

    def begin_request(self) -> None:
        """Keep up heartbeats until `end_request` was called as often as this."""
        if not self._open_requests:
            self._contact_expected_since = self._timers.now()
            self._wakeup.set()
        self._open_requests += 1

    def end_request(self) -> None:
        """Note the end of a request that was counted by `begin_request`."""
        self._open_requests -= 1

    def replace_connections(self) -> None:
        """Replace the connection of this process, and ask the peer to replace its own."""
        self._redial_requested = True
        self.send(Redial())

    def check_silence(self, since: float) -> None:
        """Replace connections after a request without a reply if they may have lost messages.

        On a link without permanent heartbeats, requests shorter than `PEER_TIMEOUT_S` would
        otherwise be sent for ever on a connection that no longer carries data. `since` is the
        time of the request.
        """
        now = self._timers.now()
        is_recent = now - self._dialled_at < MIN_REDIAL_INTERVAL_S
        if self._idle_after_s == math.inf or is_recent:
            return
        if self.last_contact_at < since:
            self.replace_connections()
        elif self._unconfirmed.includes(since + self._timers.boot_time() - now):
            self._request_redial("a request without a reply did not arrive")

    async def wait_until_flushed(self) -> None:
        """Return when no message waits for transmission or acknowledgement."""
        while self._queue or self._unacknowledged:  # noqa: ASYNC110  # Used only at shutdown.
            await anyio.sleep(0.02)

    def accept(self, envelope: codec.Envelope, arrived_at: float) -> bool:
        """Update the link from a received envelope; False if the caller must drop its message.

        `arrived_at` is the time of its arrival by `TimerService.boot_time`.
        """
        if self.peer_incarnation is None or envelope.incarnation > self.peer_incarnation:
            self._start_peer_incarnation(envelope.incarnation)
        elif envelope.incarnation < self.peer_incarnation:
            # The sequences of older incarnations are no longer known, so handling
            # the message could handle it twice.
            self._counters.add("link.old_incarnation")
            self._send_newer_incarnation()
            return False
        self.last_contact_at = self._timers.now()
        if envelope.sent_at is not None:
            self._clock.record_arrival(envelope.sent_at, arrived_at)
        is_for_this_incarnation = envelope.peer_incarnation == self._incarnation
        if is_for_this_incarnation:
            self._acknowledge(envelope.acknowledged)
            if envelope.least_offset_s is not None:
                self._clock.record_peer_offset(envelope.least_offset_s)
        self._record_alive(envelope, arrived_at)
        if envelope.sent_at is not None:
            if is_for_this_incarnation and envelope.heard_at is not None:
                self._unconfirmed.confirm(envelope.heard_at)
            self._check_for_lost_messages(envelope.sent_at, arrived_at)
        if isinstance(envelope.message, Redial):
            self._redial_requested = True
            self._wakeup.set()
            return False
        if envelope.sequence:
            return is_for_this_incarnation and self._accept_sequence(envelope.sequence)
        if envelope.request_id and not envelope.is_reply:
            return self._accept_request(envelope, is_for_this_incarnation=is_for_this_incarnation)
        # The request id of a reply to an earlier incarnation could match a request of this one.
        return is_for_this_incarnation or not envelope.is_reply

    def age_s(self, envelope: codec.Envelope, arrived_at: float) -> float | None:
        """Return the most seconds since a message was queued by the peer; None if not known.

        `arrived_at` is as for `accept`. For a peer of an older release, which does not send its
        clock, only the time in its queue is known.
        """
        queued_s = max(0.0, envelope.age_s)
        if envelope.sent_at is None:
            return queued_s
        transit_s = self._clock.age_s(envelope.sent_at, arrived_at)
        return None if transit_s is None else queued_s + transit_s

    def _record_alive(self, envelope: codec.Envelope, arrived_at: float) -> None:
        transit_s = None
        if envelope.sent_at is not None:
            transit_s = self._clock.age_s(envelope.sent_at, arrived_at)
        self.last_alive_at = max(self.last_alive_at, self.last_contact_at - (transit_s or 0.0))

    async def run(self) -> None:
        """Send queued messages, heartbeats and acknowledgements until cancelled."""
        try:
            while True:
                self._wakeup = anyio.Event()
                now = self._timers.now()
                self._maintain(now)
                blocked = self._write_pending(now)
                wait_s = max(0.0, self._next_wakeup_at(blocked=blocked) - self._timers.now())
                with anyio.move_on_after(wait_s):
                    if blocked:
                        await anyio.wait_readable(self._current_socket().send_fd)
                    else:
                        await self._wakeup.wait()
        finally:
            self._close_socket()

    def _check_for_lost_messages(self, sent_at: float, arrived_at: float) -> None:
        """Replace the connection if the peer sent a message without having received earlier ones.

        `sent_at` is by the clock of the peer.
        """
        age_s = self._clock.age_s(sent_at, arrived_at)
        if self._unconfirmed.is_lost(arrived_at - (UNKNOWN_AGE_S if age_s is None else age_s)):
            self._request_redial("the peer sends messages, but has not received the own ones")

    def _request_redial(self, reason: str) -> None:
        if self._redial_requested:
            return
        _log.notice("the connection to {} is replaced: {}", self.peer_id, reason)
        self._counters.add("link.silent_connections")
        self._redial_requested = True
        self._wakeup.set()

    def _accept_request(self, envelope: codec.Envelope, *, is_for_this_incarnation: bool) -> bool:
        if self._is_known(envelope.request_id) or (
            envelope.repeated and not is_for_this_incarnation
        ):
            self._counters.add("link.repeated_requests")
            return False
        self._request_ids.append(envelope.request_id)
        self._highest_request_id = max(self._highest_request_id, envelope.request_id)
        return True

    def _is_known(self, request_id: int) -> bool:
        """Return whether a request has arrived before, or is too old to tell.

        The copy that a connection held back may arrive after the repeated one, so a message that is
        not marked as repeated may be known, too. Ids rise, so most need no search.
        """
        if request_id > self._highest_request_id:
            return False
        is_forgotten = (
            len(self._request_ids) == _MAX_REMEMBERED_REQUESTS and request_id < self._request_ids[0]
        )
        return is_forgotten or request_id in self._request_ids

    def _send_newer_incarnation(self) -> None:
        """Send `NewerIncarnation`, at most once in `PEER_TIMEOUT_S`."""
        now = self._timers.now()
        if now - self._newer_incarnation_sent_at >= PEER_TIMEOUT_S:
            self._newer_incarnation_sent_at = now
            self.send(NewerIncarnation(self.peer_incarnation or 0))

    def _start_peer_incarnation(self, incarnation: int) -> None:
        if self.peer_incarnation is not None:
            self._counters.add("link.dropped_for_old_incarnation", len(self._unacknowledged))
            self._unacknowledged.clear()
        self.peer_incarnation = incarnation
        # Its machine may have been started again, too, and with it the clock.
        self._clock = PeerClock()
        # Requests to the former incarnation must not reach this one.
        self._unconfirmed = UnconfirmedMessages[_QueuedMessage]()
        self._request_ids.clear()
        self._highest_request_id = 0
        self._acknowledged_sequence = 0
        self._transmitted_count = 0
        self._received_sequence = 0
        self._acknowledgements_due = 0
        self._wakeup.set()

    def _acknowledge(self, acknowledged: int) -> None:
        count = acknowledged - self._acknowledged_sequence
        if not 0 < count <= self._transmitted_count:
            return
        for _ in range(count):
            self._unacknowledged.popleft()
        self._acknowledged_sequence = acknowledged
        self._transmitted_count -= count
        self._retransmit_at = self._timers.now() + RETRANSMIT_TIMEOUT_S

    def _accept_sequence(self, sequence: int) -> bool:
        if sequence <= self._received_sequence:
            self._counters.add("link.duplicates")
            return False
        if sequence > self._received_sequence + 1:
            self._counters.add("link.gaps")
            return False
        self._received_sequence = sequence
        self._acknowledgements_due += 1
        if self._acknowledgements_due >= _ACKNOWLEDGE_AFTER_MESSAGES:
            self._wakeup.set()
        return True

    def _expects_contact(self) -> bool:
        return self._open_requests > 0 or self._idle_after_s == math.inf

    def _silent_since(self) -> float:
        return max(self.last_contact_at, self._dialled_at, self._contact_expected_since)

    def _is_idle(self, now: float) -> bool:
        return (
            not self._expects_contact()
            and not self._queue
            and not self._unacknowledged
            and now - self._last_sent_at >= self._idle_after_s
        )

    def _maintain(self, now: float) -> None:
        if self._is_idle(now):
            self._close_socket()
            self._unconfirmed.clear()
            return
        is_timed_out = self._expects_contact() and now - self._silent_since() >= PEER_TIMEOUT_S
        if self._socket is None or self._redial_requested or is_timed_out:
            self._redial_requested = False
            self._dial(now)
            if is_timed_out and self.last_contact_at > -math.inf:
                self.send(Redial())
        if self._transmitted_count and now >= self._retransmit_at:
            self._counters.add("link.retransmissions", self._transmitted_count)
            self._transmitted_count = 0
        while self._queue and now - self._queue[0].queued_at > MAX_QUEUE_TIME_S:
            self._queue.popleft()
            self._counters.add("link.expired")
        is_heartbeat_due = (
            self._expects_contact() and now - self._last_sent_at >= HEARTBEAT_PERIOD_S
        )
        is_acknowledgement_due = self._acknowledgements_due >= _ACKNOWLEDGE_AFTER_MESSAGES
        if (is_heartbeat_due or is_acknowledgement_due) and not self._has_output():
            self.send(codec.Nothing())

    def _has_output(self) -> bool:
        # The peer drops reliable messages that do not name its incarnation, which
        # is known only after its first message.
        is_stream_open = self.peer_incarnation is not None
        return bool(self._queue) or (
            is_stream_open and self._transmitted_count < len(self._unacknowledged)
        )

    def _next_wakeup_at(self, *, blocked: bool) -> float:
        due = self._last_sent_at + self._idle_after_s if self._socket is not None else math.inf
        if self._expects_contact():
            due = self._silent_since() + PEER_TIMEOUT_S
            if not blocked:
                due = min(due, self._last_sent_at + HEARTBEAT_PERIOD_S)
        elif self._queue or self._unacknowledged:
            # The connection is in use, for instance because its buffer is full.
            due = self._timers.now() + PEER_TIMEOUT_S
        return min(due, self._retransmit_at) if self._transmitted_count else due

    def _close_socket(self) -> None:
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def _dial(self, now: float) -> None:
        if self._socket is not None:
            self._counters.add("link.redials")
            self._socket.close()
            self._repeat_unconfirmed()
        self._socket = pynng.Push0(
            send_buffer_size=_SOCKET_BUFFER_MESSAGES,
            reconnect_time_min=round(MIN_RECONNECT_S * 1000),
            reconnect_time_max=round(MAX_RECONNECT_S * 1000),
        )
        self._socket.dial(f"tcp://{self._address}", block=False)
        self._dialled_at = now
        # What was sent on the old connection may be lost, so everything unacknowledged
        # is sent again.
        self._transmitted_count = 0

    def _repeat_unconfirmed(self) -> None:
        repeated = [
            attrs.evolve(item, repeated=True)
            for item in self._unconfirmed.take()
            if item.is_reply or (item.request_id and self._is_awaited(item.request_id))
        ]
        self._counters.add("link.repeated", len(repeated))
        self._queue.extendleft(reversed(repeated))

    def _current_socket(self) -> pynng.Push0:
        assert self._socket is not None
        return self._socket

    def _write_pending(self, now: float) -> bool:
        """Write all messages that may be sent now; True if the socket buffer is full."""
        while self._queue:
            if not self._write_message(self._queue[0], 0, now):
                return True
            self._queue.popleft()
        while self._has_output():
            item = self._unacknowledged[self._transmitted_count]
            if not self._write_message(
                item, self._acknowledged_sequence + self._transmitted_count + 1, now
            ):
                return True
            if not self._transmitted_count:
                self._retransmit_at = now + RETRANSMIT_TIMEOUT_S
            self._transmitted_count += 1
        return False

    def _write_message(self, item: _QueuedMessage, sequence: int, now: float) -> bool:
        written_at = self._timers.boot_time()
        data = self._encode_or_replace(item, sequence, now, written_at)
        try:
            self._current_socket().send(data, block=False)
        except pynng.TryAgain:
            return False
        self._unconfirmed.add(item, len(data), written_at)
        self._last_sent_at = now
        self._acknowledgements_due = 0
        self._counters.add("link.sent")
        self._traffic.sent_by_type[type(item.message).__name__].record(len(data))
        return True

    def _encode_or_replace(
        self, item: _QueuedMessage, sequence: int, now: float, written_at: float
    ) -> bytes:
        """Return an encoded message, or an empty one in place of a message that cannot be sent.

        A gap in the sequence would block all later messages, and one message with a value that
        cannot be encoded must not end the process.
        """
        try:
            data = self._encode(item, sequence, now, written_at)
            if len(data) <= MAX_MESSAGE_BYTES:
                return data
            self._counters.add("link.too_long")
            reason = f"it has {len(data)} bytes, {MAX_MESSAGE_BYTES} are allowed"
        except codec.CodecError as error:
            self._counters.add("link.unencodable")
            reason = str(error)
        _log.error(
            "message of type {} to peer {} is not sent: {}",
            type(item.message).__name__,
            self.peer_id,
            reason,
        )
        if item.request_id and not item.is_reply:
            self._on_unsent_request(item.request_id, reason)
        return self._encode(attrs.evolve(item, message=codec.Nothing()), sequence, now, written_at)

    def _encode(self, item: _QueuedMessage, sequence: int, now: float, written_at: float) -> bytes:
        return codec.encode(
            codec.Envelope(
                sender=self._process_id,
                incarnation=self._incarnation,
                message=item.message,
                request_id=item.request_id,
                is_reply=item.is_reply,
                sequence=sequence,
                acknowledged=self._received_sequence,
                peer_incarnation=self.peer_incarnation or 0,
                age_s=now - item.queued_at,
                sent_at=written_at,
                least_offset_s=self._clock.least_offset_s(written_at),
                heard_at=self._clock.heard_at,
                repeated=item.repeated,
            ),
            self._key,
        )
