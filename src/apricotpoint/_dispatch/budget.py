"""Retry budget as a share of all sends."""

from __future__ import annotations

import attrs

_MAX_RETRY_RATIO = 0.1
_WINDOW_S = 10


@attrs.define(eq=False)
class RetryBudget:
    """Limits retries to 10% of the sends of the last 10 s.

    Times are in seconds of one monotonic clock.
    """

    _sends_by_second: list[int] = attrs.field(factory=lambda: [0] * _WINDOW_S)
    _retries_by_second: list[int] = attrs.field(factory=lambda: [0] * _WINDOW_S)
    _current_second: int = 0

    def record_send(self, now: float) -> None:
        """Count one send at `now`, first sends and retries alike."""
        self._advance(now)
        self._sends_by_second[self._current_second % _WINDOW_S] += 1

    def try_acquire(self, now: float) -> bool:
        """Take one retry from the budget; return False if it is used up."""
        self._advance(now)
        if sum(self._retries_by_second) + 1 > sum(self._sends_by_second) * _MAX_RETRY_RATIO:
            return False
        self._retries_by_second[self._current_second % _WINDOW_S] += 1
        return True

    def _advance(self, now: float) -> None:
        second = int(now)
        for passed in range(max(self._current_second + 1, second - _WINDOW_S + 1), second + 1):
            self._sends_by_second[passed % _WINDOW_S] = 0
            self._retries_by_second[passed % _WINDOW_S] = 0
        self._current_second = max(self._current_second, second)
