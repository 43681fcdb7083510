"""Backoff of backend servers on which runs fail or stall."""

from __future__ import annotations

import attrs

# Backoff after the first of consecutive failures, and its growth with each further one. The first
# is short, because even a healthy backend server fails one task in 500.
INITIAL_BACKOFF_S = 0.2
BACKOFF_FACTOR = 3.0
MAX_BACKOFF_S = 5.0
# Runs in a row that have to succeed before a backend server counts as sound again. One that fails
# half of its runs would otherwise be sound after every second one.
CLEARING_SUCCESSES = 3


@attrs.define(eq=False)
class Health:
    """Failures of a backend server since it was last sound, and the backoff after each.

    After the backoff, one task at a time may run until `CLEARING_SUCCESSES` have ended as done in a
    row. Times are monotonic seconds.
    """

    failure_count: int = 0
    backoff_until: float = 0.0
    success_count: int = 0

    @property
    def is_sound(self) -> bool:
        """Whether nothing has failed there of late."""
        return not self.failure_count

    def record_failure(self, now: float) -> None:
        """Record a run that failed or stalled, or a start that was refused as unhealthy."""
        backoff_s = min(INITIAL_BACKOFF_S * BACKOFF_FACTOR**self.failure_count, MAX_BACKOFF_S)
        self.failure_count = min(self.failure_count + 1, 16)
        self.success_count = 0
        self.backoff_until = max(self.backoff_until, now + backoff_s)

    def record_success(self) -> None:
        """Record a run that ended as done, which ends the backoff."""
        self.backoff_until = 0.0
        self.success_count += 1
        if self.success_count >= CLEARING_SUCCESSES:
            self.failure_count = 0

    def allows_start(self, now: float, running: int) -> bool:
        """Return whether another task may start beside `running` active runs."""
        if now < self.backoff_until:
            return False
        return not self.failure_count or not running
