"""The age of messages of a peer, whose clock is not synchronized with the own one."""

from __future__ import annotations

import math

# Offsets are forgotten after one to two such periods, so that clocks of different rates cannot
# make a message look younger than it is by more than the drift of that time.
_WINDOW_S = 10.0


class PeerClock:
    """Bounds the age of the messages of one incarnation of a peer.

    Each process records its least offset: the least difference between the time at which a
    message of the peer arrived, by the own clock, and the time at which it was sent, by that of
    the peer. A message takes no negative time, so the least offsets of both processes add up to
    at least zero, and a message is at most as old as its own offset plus the least offset that
    the peer has recorded. The bound exceeds the age by the fastest way of a message in the other
    direction; it holds however long a message waited in sockets of either process or on the way.
    """

    def __init__(self) -> None:
        # The latest time at which the peer sent a message that has arrived, by its own clock.
        self.heard_at: float | None = None
        self._least_offset_s = self._former_least_offset_s = math.inf
        self._window_ends_at = -math.inf
        self._peer_least_offset_s: float | None = None

    def record_arrival(self, sent_at: float, now: float) -> None:
        """Record a message that was sent at `sent_at` by the clock of the peer, in seconds."""
        self._advance(now)
        self.heard_at = sent_at if self.heard_at is None else max(self.heard_at, sent_at)
        self._least_offset_s = min(self._least_offset_s, now - sent_at)

    def record_peer_offset(self, least_offset_s: float) -> None:
        """Record the least offset that the peer has sent last."""
        self._peer_least_offset_s = least_offset_s

    def least_offset_s(self, now: float) -> float | None:
        """Return the least offset of the last seconds, None if no message arrived in them."""
        self._advance(now)
        least_s = min(self._least_offset_s, self._former_least_offset_s)
        return least_s if least_s < math.inf else None

    def age_s(self, sent_at: float, now: float) -> float | None:
        """Return the most seconds that a message took that arrives now, None if not known."""
        if self._peer_least_offset_s is None:
            return None
        return max(0.0, now - sent_at + self._peer_least_offset_s)

    def _advance(self, now: float) -> None:
        if now < self._window_ends_at:
            return
        is_next = now < self._window_ends_at + _WINDOW_S
        self._former_least_offset_s = self._least_offset_s if is_next else math.inf
        self._least_offset_s = math.inf
        self._window_ends_at = now + _WINDOW_S
