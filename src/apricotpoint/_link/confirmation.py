"""Messages written to a connection whose arrival the peer has not confirmed yet."""

from __future__ import annotations

from collections import deque
from typing import Generic, TypeVar

import attrs

# A peer that has written a message this long after one of this process, without having received
# it, shows that the connection no longer carries data. Doubled for each connection that replaced
# one in vain, so that a peer that is only slow is not kept from receiving anything.
LOSS_EVIDENCE_S = 0.5
_MAX_DOUBLINGS = 4
# Slowest link for which a long message counts as being under way.
MIN_BYTES_PER_S = 250_000
# Older messages are no longer kept for a repetition.
MAX_UNCONFIRMED_MESSAGES, MAX_UNCONFIRMED_BYTES = 1000, 4 << 20

ItemT = TypeVar("ItemT")


@attrs.frozen
class _Written(Generic[ItemT]):
    item: ItemT
    size: int
    written_at: float


class UnconfirmedMessages(Generic[ItemT]):
    """The messages on one connection of which the peer has not said that they have arrived.

    Times are seconds by the clock that the messages carry. Each message of the peer confirms what
    was written up to a time.
    """

    def __init__(self) -> None:
        self._written: deque[_Written[ItemT]] = deque()
        self._size = 0
        self._replacements_in_vain = 0

    def add(self, item: ItemT, size: int, written_at: float) -> None:
        """Add a message of `size` bytes that is written now."""
        self._written.append(_Written(item, size, written_at))
        self._size += size
        while len(self._written) > MAX_UNCONFIRMED_MESSAGES or (
            self._size > MAX_UNCONFIRMED_BYTES and len(self._written) > 1
        ):
            self._size -= self._written.popleft().size

    def confirm(self, heard_at: float) -> None:
        """Remove the messages written up to `heard_at`, which have arrived."""
        while self._written and self._written[0].written_at <= heard_at:
            self._size -= self._written.popleft().size
            self._replacements_in_vain = 0

    def is_lost(self, peer_wrote_at: float) -> bool:
        """Return whether the oldest message must have arrived before the peer wrote at a time."""
        if not self._written:
            return False
        doublings = min(self._replacements_in_vain, _MAX_DOUBLINGS)
        allowed_s = LOSS_EVIDENCE_S * (1 << doublings)
        allowed_s += self._size / MIN_BYTES_PER_S
        return peer_wrote_at - self._written[0].written_at > allowed_s

    def includes(self, written_from: float) -> bool:
        """Return whether a message that was written at `written_from` or later is unconfirmed."""
        return bool(self._written) and self._written[-1].written_at >= written_from

    def clear(self) -> None:
        """Remove all messages, as their connection is closed for want of use."""
        self._written.clear()
        self._size = 0

    def take(self) -> list[ItemT]:
        """Return the messages in order and remove them, as their connection is replaced."""
        items = [written.item for written in self._written]
        self.clear()
        self._replacements_in_vain += 1
        return items
