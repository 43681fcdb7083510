"""Learned speed of a backend server."""

from __future__ import annotations

import attrs

# Factor on the weight of earlier observations at each new one; about the last 20
# tasks count.
_DECAY = 0.95
_MIN_SPEED = 0.02
_MAX_SPEED = 50.0
# Weight of the initial speed of 1, in seconds of work.
_PRIOR_WORK_S = 0.2
# With fewer observations, long run times on a slow backend server would be taken
# for long tasks.
_MIN_OBSERVATIONS = 3


@attrs.define(eq=False)
class Speed:
    """Ratio of estimated work to run time, with exponential decay.

    Work is the run time in seconds at speed 1.
    """

    _work_s: float = _PRIOR_WORK_S
    _run_s: float = _PRIOR_WORK_S

    _observations: int = 0

    @property
    def is_learned(self) -> bool:
        """Whether the speed is reliable enough to convert run times to work."""
        return self._observations >= _MIN_OBSERVATIONS

    @property
    def value(self) -> float:
        """Seconds of work done per second of run time."""
        return min(max(self._work_s / self._run_s, _MIN_SPEED), _MAX_SPEED)

    def observe(self, work_s: float, run_s: float) -> None:
        """Record a task estimated at `work_s` that ran for `run_s`."""
        if work_s <= 0 or run_s <= 0:
            return
        self._observations += 1
        self._work_s = self._work_s * _DECAY + work_s
        self._run_s = self._run_s * _DECAY + run_s
