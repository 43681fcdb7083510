"""When a backend server that fails or does not answer gets tasks again."""

from __future__ import annotations

import attrs

# Rest in seconds after the first failure in a row, and its growth. A sound
# backend server fails one task in 500, so one failure costs it little.
INITIAL_BACKOFF_S = 0.2
BACKOFF_FACTOR = 3.0
MAX_BACKOFF_S = 5.0


@attrs.define(eq=False)
class Health:
    """Failures in a row, and the rest after them.

    After the rest a backend server gets one task at a time until one has
    ended as done.
    """

    failure_count: int = 0
    backoff_until: float = 0.0

    def failed(self, now: float) -> None:
        """Count a run that failed, stood still or was refused as unhealthy."""
        rest_s = min(INITIAL_BACKOFF_S * BACKOFF_FACTOR**self.failure_count, MAX_BACKOFF_S)
        self.failure_count = min(self.failure_count + 1, 16)
        self.backoff_until = max(self.backoff_until, now + rest_s)

    def succeeded(self) -> None:
        """Count a run that ended as done."""
        self.failure_count = 0
        self.backoff_until = 0.0

    def allows_start(self, now: float, running: int) -> bool:
        """Return whether another task may start beside `running` ones."""
        if now < self.backoff_until:
            return False
        return not self.failure_count or not running
