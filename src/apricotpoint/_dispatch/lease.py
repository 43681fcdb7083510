"""The lease of a holder on one backend server."""

from __future__ import annotations

import attrs

LEASE_DURATION_S = 2.0
# Longer than LEASE_DURATION_S, so that the lease of the earlier holder has ended.
TAKEOVER_WAIT_S = 2.5

# The smallest clock offset rises by this rate, because two clocks drift apart
# by up to 100 ppm and a minimum over all time would shorten every lease.
_DRIFT_RATE = 0.0005


@attrs.define(eq=False)
class Lease:
    """Time until which a backend server accepts this process as its holder.

    Times are in seconds of the local monotonic clock. The lease counts from
    the sending of an announcement: its delay beyond the smallest delay seen
    is subtracted.
    """

    starts_at: float
    expires_at: float = 0.0
    last_sequence: int = 0
    _min_clock_offset_s: float | None = None
    _offset_updated_at: float = 0.0

    def held(self, now: float) -> bool:
        """Return whether new tasks may be sent at `now`."""
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
        """Apply an announcement that names this process; False if it is an old one.

        With `has_earlier_holder`, other holders were named before. A gap in the sequence
        then hides announcements that may have named another holder: while the
        lease has not begun or has lapsed, the wait for it starts again. It
        goes on if `holder_since`, the first sequence of an unbroken run that
        names this process, shows that none of them did; otherwise a backend
        server that loses every second announcement would never be used.
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
