"""Run times of kinds of jobs and speeds of backend servers, learned from their runs.

Both are averaged as logarithms, because their errors are factors.
"""

from __future__ import annotations

import math
import statistics
from collections import OrderedDict
from collections.abc import Sequence

import attrs

# Weights of a new observation in the moving averages.
KIND_WEIGHT = 0.05
SPEED_WEIGHT = 0.05
# Run times of the jobs of a kind differ by a factor of 1.4, those of the tasks of one job by 15%:
# a comparison with the estimate for the kind says little about the speed.
KIND_COMPARISON_WEIGHT = 0.01
# If this many runs in a row differ from the other tasks of their jobs by more than this logarithm
# of a factor, and in the same direction, the speed of the backend server has changed; the average
# then follows with the larger weight. Before that they do not count: of some deployments, 3% of
# the tasks take 7 times as long, on whichever backend server. Taken at once for a change, they
# spread the learned speeds of equal backend servers from 0.07 to 4.3 (replay of `VAN_MIX`).
CHANGE_THRESHOLD_LOG, CHANGE_WEIGHT, CHANGE_RUNS = 0.6, 0.4, 3
# Number of kinds kept; the least recently used one is dropped.
MAX_KINDS = 1024
# Weight of the declared time in the geometric mean with the average of the kind. Both are wrong
# by about the same factor, so they count the same.
DECLARED_WEIGHT = 0.5
# Number of observations as which a speed learned by another process counts.
RESTORED_OBSERVATIONS = 20
# Speeds of the backend servers of the deployments differ by a factor of 2.2. One that is slower
# than the median by more than a factor of e is faulty and left out of the mean speed.
OUTLIER_LOG = 1.0
MIN_SPEED, MAX_SPEED = 0.02, 20.0
# Speeds that differ by less than about this factor are in the same class.
SPEED_CLASS_FACTOR = 1.25


@attrs.define(eq=False)
class _Mean:
    """Mean of logarithms: the arithmetic mean at first, later exponentially weighted."""

    weight: float
    count: int = 0
    value: float = 0.0

    def add(self, value: float, *, least_weight: float = 0.0) -> None:
        self.count += 1
        weight = max(self.weight, 1 / self.count, least_weight)
        self.value += (value - self.value) * weight


class KindRunTimes:
    """Run time of a task at speed 1, and its ratio to the declared time, by kind of job."""

    def __init__(self) -> None:
        self._work_by_kind: OrderedDict[str, _Mean] = OrderedDict()
        self._ratio_by_kind: OrderedDict[str, _Mean] = OrderedDict()

    def estimate_s(self, kind: str, declared_s: float) -> float:
        """Return the expected run time in seconds at speed 1; the declared one for a new kind."""
        work = self._work_by_kind.get(kind)
        ratio = self._ratio_by_kind.get(kind)
        if work is None or ratio is None:
            return declared_s
        declared = math.log(max(declared_s, 1e-3)) + ratio.value
        return math.exp(DECLARED_WEIGHT * declared + (1 - DECLARED_WEIGHT) * work.value)

    def observe(self, kind: str, declared_s: float, work_s: float) -> None:
        """Record a run that took `work_s` seconds, converted to speed 1."""
        logarithm = math.log(max(work_s, 1e-3))
        _mean(self._work_by_kind, kind).add(logarithm)
        _mean(self._ratio_by_kind, kind).add(logarithm - math.log(max(declared_s, 1e-3)))

    def shift(self, logarithm: float) -> None:
        """Rescale all run times by a factor, given as its logarithm, together with the speeds."""
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
    """Return the mean of logarithms of speeds, leaving out faulty slow backend servers."""
    if not logs:
        return 0.0
    lowest = statistics.median(logs) - OUTLIER_LOG
    return statistics.fmean([value for value in logs if value >= lowest])


class Speed:
    """Learned speed of one backend server relative to the mean of all; 1 before any run.

    `value` is the speed; `speed_class` is the same integer for about equal speeds and grows with
    the speed.
    """

    value: float
    speed_class: int

    def __init__(self) -> None:
        self._mean = _Mean(SPEED_WEIGHT)
        # An initial observation of speed 1 keeps the first run from determining the speed alone.
        self._mean.add(0.0)
        # Observations in a row that deviate, negative if they are slower.
        self._deviating_runs = 0
        self._update()

    def restore(self, value: float) -> None:
        """Replace the learned speed by one that another process has learned."""
        self._mean = _Mean(SPEED_WEIGHT, count=RESTORED_OBSERVATIONS, value=math.log(value))
        self._update()

    def _update(self) -> None:
        self.value = math.exp(self._mean.value)
        self.speed_class = round(self._mean.value / math.log(SPEED_CLASS_FACTOR))

    @property
    def log(self) -> float:
        """Natural logarithm of the learned speed."""
        return self._mean.value

    def shift(self, logarithm: float) -> None:
        """Rescale the speed by a factor, given as its logarithm."""
        self._mean.value += logarithm
        self._update()

    def observe(self, expected_s: float, took_s: float, *, same_job: bool) -> None:
        """Record a run that took `took_s` and was expected to take `expected_s` at speed 1.

        Pass `same_job` if the expectation is from other tasks of the same job; one from the kind
        counts much less.
        """
        ratio = max(expected_s, 1e-3) / max(took_s, 1e-3)
        logarithm = math.log(min(max(ratio, MIN_SPEED), MAX_SPEED))
        if not same_job:
            self._mean.value += (logarithm - self._mean.value) * KIND_COMPARISON_WEIGHT
        else:
            self._observe_in_job(logarithm)
        self._update()

    def _observe_in_job(self, logarithm: float) -> None:
        deviation = logarithm - self._mean.value
        if abs(deviation) <= CHANGE_THRESHOLD_LOG:
            self._deviating_runs = 0
            self._mean.add(logarithm)
            return
        direction = 1 if deviation > 0 else -1
        if self._deviating_runs * direction < 0:
            self._deviating_runs = 0
        self._deviating_runs += direction
        if abs(self._deviating_runs) >= CHANGE_RUNS:
            self._mean.add(logarithm, least_weight=CHANGE_WEIGHT)
