"""When a backend server that fails or does not answer gets tasks again."""

from __future__ import annotations

import attrs

# Rest in seconds after the first failure in a row, and its growth. A sound
# backend server fails one task in 500, so one failure costs it little.
FIRST_REST_S = 0.2
REST_GROWTH = 3.0
LONGEST_REST_S = 5.0


@attrs.define(eq=False)
class Health:
    """Failures in a row, and the rest after them.

    After the rest a backend server gets one task at a time until one has
    ended as done.
    """

    failures: int = 0
    rest_until: float = 0.0

    def failed(self, now: float) -> None:
        """Count a run that failed, stood still or was refused as unhealthy."""
        rest_s = min(FIRST_REST_S * REST_GROWTH**self.failures, LONGEST_REST_S)
        self.failures = min(self.failures + 1, 16)
        self.rest_until = max(self.rest_until, now + rest_s)

    def succeeded(self) -> None:
        """Count a run that ended as done."""
        self.failures = 0
        self.rest_until = 0.0

    def allows(self, now: float, running: int) -> bool:
        """Return whether another task may start beside `running` ones."""
        if now < self.rest_until:
            return False
        return not self.failures or not running
