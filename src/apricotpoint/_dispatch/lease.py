"""Lease of an entry process on one backend server."""

from __future__ import annotations

import attrs

LEASE_DURATION_S = 2.0
# Longer than LEASE_DURATION_S, so that the lease of the earlier holder has expired by then.
TAKEOVER_WAIT_S = 2.5

# Seconds per second by which the minimum clock offset is raised. Two clocks
# drift apart by up to 100 ppm, so a minimum that is never raised would shorten
# every lease over time.
_DRIFT_RATE = 0.0005


@attrs.define(eq=False)
class Lease:
    """Period in which this process may send tasks to a backend server.

    Times are in seconds of the local monotonic clock. Each announcement renews
    the lease for `LEASE_DURATION_S` from the time at which it was sent. That
    time is estimated from the smallest difference between the two clocks that
    was observed, so a delayed announcement renews the lease for less time.
    """

    starts_at: float
    expires_at: float = 0.0
    last_sequence: int = 0
    _min_clock_offset_s: float | None = None
    _offset_updated_at: float = 0.0

    def held(self, now: float) -> bool:
        """Return whether the lease has begun and not expired at `now`."""
        return self.starts_at <= now < self.expires_at

    def renew(
        self,
        *,
        sequence: int,
        clock_s: float,
        received_at: float,
        has_earlier_holder: bool,
        holder_since: int = 0,
    ) -> bool:
        """Apply an announcement that names this process as the lease holder.

        `clock_s` is the clock of the backend server at sending, `received_at` the
        local one at receipt. Returns False, and changes nothing, if the announcement
        is not newer than the last one.

        `has_earlier_holder` says that the backend server named another holder
        before. An announcement that is missing from the sequence may then have
        named another holder, so the takeover wait starts again if the lease is
        not held. It does not if `holder_since`, the first sequence number since
        which every announcement names this process, covers the gap; otherwise a
        backend server that loses every second announcement would never be used.
        """
        if sequence <= self.last_sequence:
            return False
        named_throughout = 0 < holder_since <= self.last_sequence
        may_have_named_other = sequence != self.last_sequence + 1 and not named_throughout
        if (
            has_earlier_holder
            and may_have_named_other
            and self.last_sequence
            and not self.held(received_at)
        ):
            self.starts_at = received_at + TAKEOVER_WAIT_S
        self.last_sequence = sequence
        clock_offset_s = received_at - clock_s
        if self._min_clock_offset_s is None:
            self._min_clock_offset_s = clock_offset_s
        else:
            drift_s = (received_at - self._offset_updated_at) * _DRIFT_RATE
            self._min_clock_offset_s = min(clock_offset_s, self._min_clock_offset_s + drift_s)
        self._offset_updated_at = received_at
        sent_at = clock_s + self._min_clock_offset_s
        self.expires_at = max(self.expires_at, sent_at + LEASE_DURATION_S)
        return True
