"""Log lines and counters about a replica that lags behind its leader."""

from __future__ import annotations

import attrs
import logbook

from apricotpoint._control.replica import Replica
from apricotpoint._core.counters import Counters

# A lag is logged if it lasts longer.
MAX_USUAL_LAG_S = 0.5

_log = logbook.Logger("control")


@attrs.define
class LagRecorder:
    """Records for how long a replica has not applied what its leader has committed."""

    _counters: Counters
    _began_at: float | None = None
    _is_logged: bool = False

    def update(self, replica: Replica, now: float) -> None:
        """Take a sample; `now` is in monotonic seconds."""
        lag = replica.unapplied_entries()
        self._counters.set_gauge("control.unapplied_entries", lag)
        if self._began_at is None:
            self._began_at = now if lag else None
        elif not lag:
            if self._is_logged:
                _log.notice("all committed entries applied after {:.1f} s", now - self._began_at)
            self._began_at, self._is_logged = None, False
        elif not self._is_logged and now - self._began_at > MAX_USUAL_LAG_S:
            self._is_logged = True
            self._counters.add("control.lags")
            _log.notice(
                "lags behind leader {}: {} committed entries are not applied, waits for disk: {}",
                replica.leader_id,
                lag,
                replica.log.is_waiting_for_disk,
            )
