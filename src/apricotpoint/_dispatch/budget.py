"""Budget of second starts as a share of all starts."""

from __future__ import annotations

import attrs

_MAX_RETRY_RATIO = 0.1
_WINDOW_S = 10


@attrs.define(eq=False)
class RetryBudget:
    """Allows retries up to 10% of the sends of the last 10 s."""

    _sends_by_second: list[int] = attrs.field(factory=lambda: [0] * _WINDOW_S)
    _retries_by_second: list[int] = attrs.field(factory=lambda: [0] * _WINDOW_S)
    _current_second: int = 0

    def sent(self, now: float) -> None:
        """Count one send."""
        self._advance(now)
        self._sends_by_second[self._current_second % _WINDOW_S] += 1

    def try_acquire(self, now: float) -> bool:
        """Use the budget for one retry; False if it is used up."""
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
