"""Run times of kinds of jobs and speeds of backend servers, learned from ended runs."""

from __future__ import annotations

import math
import statistics
from collections import OrderedDict
from collections.abc import Sequence

import attrs

# Weight of a new observation once enough have been seen.
KIND_WEIGHT = 0.05
SPEED_WEIGHT = 0.05
# Jobs of a kind differ by a factor of 1.4, tasks of one job by 15%, so a comparison with
# the kind tells little.
KIND_COMPARISON_WEIGHT = 0.01
# Compared with other tasks of its job, a run that is off by more than this factor, as a
# logarithm, means that the backend server has changed; the speed follows at this weight.
CHANGE_THRESHOLD_LOG, CHANGE_WEIGHT = 0.6, 0.4
# Kinds kept; the one unused for longest is forgotten.
MAX_KINDS = 1024
# Declared times and the mean of a kind err by about the same factor, so both
# count the same in the estimate, as exponents of a geometric mean.
DECLARED_WEIGHT = 0.5
# A speed that was learned elsewhere counts as this many observations.
RESTORED_OBSERVATIONS = 20
# Backend servers of the deployments differ by a factor of 2.2. What is slower than the
# median by more than e has a fault and does not change the scale.
OUTLIER_LOG = 1.0
MIN_SPEED, MAX_SPEED = 0.02, 20.0
# Learned speeds that differ by less than this factor count as the same.
SPEED_CLASS_FACTOR = 1.25


@attrs.define(eq=False)
class _Mean:
    """Mean of logarithms: plain at first, exponentially weighted later."""

    weight: float
    count: int = 0
    value: float = 0.0

    def add(self, value: float, *, least_weight: float = 0.0) -> None:
        self.count += 1
        weight = max(self.weight, 1 / self.count, least_weight)
        self.value += (value - self.value) * weight


class KindRunTimes:
    """Run time of a task at speed 1 by kind, and how far declared times are off."""

    def __init__(self) -> None:
        self._work_by_kind: OrderedDict[str, _Mean] = OrderedDict()
        self._ratio_by_kind: OrderedDict[str, _Mean] = OrderedDict()

    def estimate_s(self, kind: str, declared_s: float) -> float:
        """Return the expected run time in seconds at speed 1."""
        work = self._work_by_kind.get(kind)
        ratio = self._ratio_by_kind.get(kind)
        if work is None or ratio is None:
            return declared_s
        declared = math.log(max(declared_s, 1e-3)) + ratio.value
        return math.exp(DECLARED_WEIGHT * declared + (1 - DECLARED_WEIGHT) * work.value)

    def observe(self, kind: str, declared_s: float, work_s: float) -> None:
        """Count a run that took `work_s` seconds, converted to speed 1."""
        logarithm = math.log(max(work_s, 1e-3))
        _mean(self._work_by_kind, kind).add(logarithm)
        _mean(self._ratio_by_kind, kind).add(logarithm - math.log(max(declared_s, 1e-3)))

    def shift(self, logarithm: float) -> None:
        """Change the scale of all run times together with that of all speeds."""
        for mean_by_kind in (self._work_by_kind, self._ratio_by_kind):
            for mean in mean_by_kind.values():
                mean.value += logarithm


def _mean(mean_by_kind: OrderedDict[str, _Mean], kind: str) -> _Mean:
    mean = mean_by_kind.get(kind)
    if mean is None:
        mean = mean_by_kind[kind] = _Mean(KIND_WEIGHT)
        if len(mean_by_kind) > MAX_KINDS:
            mean_by_kind.popitem(last=False)
    mean_by_kind.move_to_end(kind)
    return mean


def mean_speed_log(logs: Sequence[float]) -> float:
    """Return the mean of logarithms of speeds, without backend servers that have turned slow."""
    if not logs:
        return 0.0
    lowest = statistics.median(logs) - OUTLIER_LOG
    return statistics.fmean([value for value in logs if value >= lowest])


class Speed:
    """Speed of one backend server against the mean of all; 1 until something is known.

    `value` is the learned speed; `speed_class` is the same for about the same speeds.
    """

    value: float
    speed_class: int

    def __init__(self) -> None:
        self._mean = _Mean(SPEED_WEIGHT)
        # One pseudo-observation of speed 1 keeps the first run from deciding alone.
        self._mean.add(0.0)
        self._update()

    def restore(self, value: float) -> None:
        """Start from a speed that was learned elsewhere."""
        self._mean = _Mean(SPEED_WEIGHT, count=RESTORED_OBSERVATIONS, value=math.log(value))
        self._update()

    def _update(self) -> None:
        self.value = math.exp(self._mean.value)
        self.speed_class = round(self._mean.value / math.log(SPEED_CLASS_FACTOR))

    @property
    def log(self) -> float:
        """The logarithm of the learned speed."""
        return self._mean.value

    def shift(self, logarithm: float) -> None:
        """Change the scale of the speed."""
        self._mean.value += logarithm
        self._update()

    def observe(self, expected_s: float, took_s: float, *, same_job: bool) -> None:
        """Count a run that was expected to take `expected_s` at speed 1.

        With `same_job`, the expectation is from other tasks of the same job.
        """
        ratio = max(expected_s, 1e-3) / max(took_s, 1e-3)
        logarithm = math.log(min(max(ratio, MIN_SPEED), MAX_SPEED))
        if not same_job:
            self._mean.value += (logarithm - self._mean.value) * KIND_COMPARISON_WEIGHT
        else:
            has_changed = abs(logarithm - self._mean.value) > CHANGE_THRESHOLD_LOG
            self._mean.add(logarithm, least_weight=CHANGE_WEIGHT if has_changed else 0.0)
        self._update()
