"""Backoff of backend servers on which runs fail or stall."""

from __future__ import annotations

import attrs

# Backoff after the first of consecutive failures, and its growth with each further one. The first
# is short, because even a healthy backend server fails one task in 500.
INITIAL_BACKOFF_S = 0.2
BACKOFF_FACTOR = 3.0
MAX_BACKOFF_S = 5.0


@attrs.define(eq=False)
class Health:
    """Consecutive failures of a backend server and the backoff after them.

    After the backoff, one task at a time may run until one has ended as done. Times are monotonic
    seconds.
    """

    failure_count: int = 0
    backoff_until: float = 0.0

    def record_failure(self, now: float) -> None:
        """Record a run that failed or stalled, or a start that was refused as unhealthy."""
        backoff_s = min(INITIAL_BACKOFF_S * BACKOFF_FACTOR**self.failure_count, MAX_BACKOFF_S)
        self.failure_count = min(self.failure_count + 1, 16)
        self.backoff_until = max(self.backoff_until, now + backoff_s)

    def record_success(self) -> None:
        """Record a run that ended as done, which ends the backoff."""
        self.failure_count = 0
        self.backoff_until = 0.0

    def allows_start(self, now: float, running: int) -> bool:
        """Return whether another task may start beside `running` active runs."""
        if now < self.backoff_until:
            return False
        return not self.failure_count or not running
