"""Quarantine of a backend server whose tasks fail."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import attrs

_CONSECUTIVE_FAILURE_LIMIT = 5
_WINDOW_TASKS = 20
_INITIAL_BACKOFF_S = 1.0
_MAX_BACKOFF_S = 30.0


@attrs.define(eq=False)
class Quarantine:
    """Circuit breaker of a backend server, with exponential backoff.

    Quarantine begins after `_CONSECUTIVE_FAILURE_LIMIT` consecutive failures, or when
    more than half of the last `_WINDOW_TASKS` tasks failed. After the backoff, at
    `probe_at`, one probe task is allowed. Each success then doubles the number of
    allowed tasks until it exceeds the number of slots, which ends the quarantine.
    """

    active: bool = False
    probe_at: float = 0.0
    _allowed_tasks: int = 0
    _backoff_s: float = _INITIAL_BACKOFF_S
    _consecutive_failures: int = 0
    _recent_successes: deque[bool] = attrs.field(factory=lambda: deque(maxlen=_WINDOW_TASKS))

    def allowed_tasks(self, slots: int, now: float) -> int:
        """Return how many tasks may run at once at `now`, at most `slots`."""
        if not self.active:
            return slots
        if now < self.probe_at:
            return 0
        return min(self._allowed_tasks, slots)

    def record_success(self, slots: int, now: float) -> bool:
        """Record a task that did not fail; return whether this ends the quarantine."""
        self._consecutive_failures = 0
        self._recent_successes.append(True)
        if not self.active or now < self.probe_at:
            return False
        self._allowed_tasks *= 2
        if self._allowed_tasks <= slots:
            return False
        self.active = False
        self._backoff_s = _INITIAL_BACKOFF_S
        self._recent_successes.clear()
        return True

    def record_failure(self, now: float, *, may_enter: Callable[[], bool]) -> bool:
        """Record a failed task; return whether a backoff begins.

        `may_enter` returns False if too many other backend servers are in
        quarantine; this one then stays in use.
        """
        self._consecutive_failures += 1
        self._recent_successes.append(False)
        if self.active:
            if now < self.probe_at:
                # The task was sent before the quarantine or its latest backoff began.
                return False
            self._backoff_s = min(self._backoff_s * 2, _MAX_BACKOFF_S)
        elif not self._fails_too_often() or not may_enter():
            return False
        self.active = True
        self._allowed_tasks = 1
        self.probe_at = now + self._backoff_s
        return True

    def _fails_too_often(self) -> bool:
        return (
            self._consecutive_failures >= _CONSECUTIVE_FAILURE_LIMIT
            or self._recent_successes.count(False) * 2 > _WINDOW_TASKS
        )
