"""Detection of pauses of the process, in which it neither ran nor received messages."""

from __future__ import annotations

import attrs
import logbook

from apricotpoint._core.counters import Counters

# A longer gap between ticks means that the process did not run.
_MAX_TICK_GAP_S = 1.0
# Messages that the process reads within this time after a pause may have waited in
# socket buffers.
_BUFFERED_MESSAGES_S = 0.5

_LOG = logbook.Logger(__name__)


@attrs.define(eq=False)
class PauseDetector:
    """Detects pauses of the process from late ticks.

    Announcements received before `announcements_valid_from` may have waited in a
    socket buffer during a pause, so they renew no lease. Time-outs of other
    processes count from `listening_since` at the earliest, because nothing was
    received during the pause. Times are in seconds of one monotonic clock.
    """

    counters: Counters
    last_tick_at: float = 0.0
    announcements_valid_from: float = 0.0
    listening_since: float = 0.0

    def start(self, now: float) -> None:
        """Begin to measure the time between ticks."""
        self.last_tick_at = self.listening_since = now

    def check(self, now: float) -> None:
        """Detect a pause; call it before any decision that depends on leases."""
        if now - self.last_tick_at > _MAX_TICK_GAP_S:
            self.announcements_valid_from = now + _BUFFERED_MESSAGES_S
            self.listening_since = now
            self.last_tick_at = now
            self.counters.add("holder.pauses")
            _LOG.warning(
                "process was paused for more than {} s; announcements received in the next {} s"
                " renew no lease",
                _MAX_TICK_GAP_S,
                _BUFFERED_MESSAGES_S,
            )

    def tick(self, now: float) -> None:
        """Detect a pause and record a tick."""
        self.check(now)
        self.last_tick_at = now
