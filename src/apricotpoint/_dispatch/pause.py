"""Detection of times in which the process did not run."""

from __future__ import annotations

import attrs
import logbook

from apricotpoint._core.counters import Counters

# A tick that is later than this means that the process did not run. What it
# reads in the time after may have waited in its buffers.
_MAX_TICK_GAP_S = 1.0
_DISTRUST_S = 0.5

_LOG = logbook.Logger(__name__)


@attrs.define(eq=False)
class PauseDetector:
    """Notices late ticks.

    Announcements read before `trusted_from` may have waited during a pause;
    silence of others counts from `listening_since`.
    """

    counters: Counters
    last_tick_at: float = 0.0
    trusted_from: float = 0.0
    listening_since: float = 0.0

    def start(self, now: float) -> None:
        """Start to observe."""
        self.last_tick_at = self.listening_since = now

    def check(self, now: float) -> None:
        """Look for a pause before something that depends on leases."""
        if now - self.last_tick_at > _MAX_TICK_GAP_S:
            self.trusted_from = now + _DISTRUST_S
            self.listening_since = now
            self.last_tick_at = now
            self.counters.add("holder.pauses")
            _LOG.warning("the process did not run for a time; its leases are renewed first")

    def tick(self, now: float) -> None:
        """Record a tick."""
        self.check(now)
        self.last_tick_at = now
