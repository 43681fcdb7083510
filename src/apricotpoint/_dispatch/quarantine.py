"""Quarantine of a backend server that fails its tasks."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import attrs

_IN_A_ROW = 5
_WINDOW = 20
_FIRST_REST_S = 1.0
_LONGEST_REST_S = 30.0


@attrs.define(eq=False)
class Quarantine:
    """Outcomes of the last tasks of a backend server and its rest after failures.

    After a rest one probe task is allowed. Each success then doubles the
    number of allowed tasks up to the number of slots.
    """

    active: bool = False
    probe_at: float = 0.0
    _allowed: int = 0
    _rest_s: float = _FIRST_REST_S
    _in_a_row: int = 0
    _last: deque[bool] = attrs.field(factory=lambda: deque(maxlen=_WINDOW))

    def allowed(self, slots: int, now: float) -> int:
        """Return how many tasks may run at `now`."""
        if not self.active:
            return slots
        if now < self.probe_at:
            return 0
        return min(self._allowed, slots)

    def succeeded(self, slots: int, now: float) -> bool:
        """Record a task that did not fail; True if this ends the quarantine."""
        self._in_a_row = 0
        self._last.append(True)
        if not self.active or now < self.probe_at:
            return False
        self._allowed *= 2
        if self._allowed <= slots:
            return False
        self.active = False
        self._rest_s = _FIRST_REST_S
        self._last.clear()
        return True

    def failed(self, now: float, *, may_enter: Callable[[], bool]) -> bool:
        """Record a failed task; True if the backend server begins to rest.

        `may_enter` returns False if too many others are in quarantine already;
        then it continues.
        """
        self._in_a_row += 1
        self._last.append(False)
        if self.active:
            if now < self.probe_at:
                # A task that was sent before the quarantine began.
                return False
            self._rest_s = min(self._rest_s * 2, _LONGEST_REST_S)
        elif not self._over_limit() or not may_enter():
            return False
        self.active = True
        self._allowed = 1
        self.probe_at = now + self._rest_s
        return True

    def _over_limit(self) -> bool:
        return self._in_a_row >= _IN_A_ROW or self._last.count(False) * 2 > _WINDOW
