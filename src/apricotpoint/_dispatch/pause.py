"""Detection of times in which the process did not run."""

from __future__ import annotations

import attrs
import logbook

from apricotpoint._core.counters import Counters

# A tick that is later than this means that the process did not run. What it
# reads in the time after may have waited in its buffers.
_PAUSE_S = 1.0
_AFTER_PAUSE_S = 0.5

_LOG = logbook.Logger(__name__)


@attrs.define(eq=False)
class PauseDetector:
    """Notices late ticks.

    Announcements read before `trusts_at` may have waited during a pause;
    silence of others counts from `hears_since`.
    """

    counters: Counters
    ticked_at: float = 0.0
    trusts_at: float = 0.0
    hears_since: float = 0.0

    def begin(self, now: float) -> None:
        """Start to observe."""
        self.ticked_at = self.hears_since = now

    def check(self, now: float) -> None:
        """Look for a pause before something that depends on leases."""
        if now - self.ticked_at > _PAUSE_S:
            self.trusts_at = now + _AFTER_PAUSE_S
            self.hears_since = now
            self.ticked_at = now
            self.counters.add("holder.pauses")
            _LOG.warning("the process did not run for a time; its leases are renewed first")

    def tick(self, now: float) -> None:
        """Record a tick."""
        self.check(now)
        self.ticked_at = now
