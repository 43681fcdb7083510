"""Run-time prediction by kind of task."""

from __future__ import annotations

import math
from collections import OrderedDict

import attrs

DEFAULT_RUN_TIME_S = 0.25
_MIN_RUN_TIME_S = 0.001
_MAX_RUN_TIME_S = 3600.0
_MAX_KINDS = 4096
_DECAY = 0.9
# Added to the squared error of the logarithm, so that a very small error does not
# give a predictor all the weight.
_ERROR_FLOOR = 0.0025
# Initial squared error of the logarithm: off by a factor of e, about 2.7.
_INITIAL_ERROR = 1.0


@attrs.define(eq=False)
class _KindStatistics:
    weight: float = 0.0
    mean_log_work: float = 0.0
    work_error: float = _INITIAL_ERROR
    declared_weight: float = 0.0
    mean_log_ratio: float = 0.0
    declared_error: float = _INITIAL_ERROR


class RunTimeEstimator:
    """Predicts the run time of a task from its kind and its declared run time.

    The two predictors are the mean of earlier run times of the kind and the
    declared run time, corrected by their mean ratio. Each is weighted by the
    inverse of the squared error that it had for the kind. The kinds used most
    recently are kept, at most 4096.
    """

    def __init__(self, *, max_kinds: int = _MAX_KINDS) -> None:
        self._max_kinds = max_kinds
        self._statistics_by_kind: OrderedDict[tuple[str, str], _KindStatistics] = OrderedDict()

    def __len__(self) -> int:
        return len(self._statistics_by_kind)

    def estimate(self, service: str, kind: str, declared_s: float | None) -> float:
        """Return the predicted run time in seconds at speed 1, 1 ms to 1 h.

        `declared_s` is the run time declared by the caller, None if there is none.
        """
        key = (service, kind)
        statistics = self._statistics_by_kind.get(key)
        if statistics is None:
            return _clamp(declared_s if declared_s else DEFAULT_RUN_TIME_S)
        self._statistics_by_kind.move_to_end(key)
        if not declared_s or declared_s <= 0:
            return _clamp(math.exp(statistics.mean_log_work))
        if not statistics.declared_weight:
            # No declared run time of this kind was observed yet, so both count equally.
            return _clamp(math.sqrt(_clamp(declared_s) * math.exp(statistics.mean_log_work)))
        work_weight = 1.0 / (statistics.work_error + _ERROR_FLOOR)
        declaration_weight = 1.0 / (statistics.declared_error + _ERROR_FLOOR)
        log_declared = math.log(_clamp(declared_s)) + statistics.mean_log_ratio
        log_value = (work_weight * statistics.mean_log_work + declaration_weight * log_declared) / (
            work_weight + declaration_weight
        )
        return _clamp(math.exp(log_value))

    def observe(self, service: str, kind: str, declared_s: float | None, work_s: float) -> None:
        """Learn from a finished task; `work_s` is its run time in seconds at speed 1."""
        if work_s <= 0:
            return
        key = (service, kind)
        statistics = self._statistics_by_kind.get(key)
        if statistics is None:
            statistics = self._statistics_by_kind[key] = _KindStatistics()
            if len(self._statistics_by_kind) > self._max_kinds:
                self._statistics_by_kind.popitem(last=False)
        else:
            self._statistics_by_kind.move_to_end(key)
        log_work = math.log(_clamp(work_s))
        if statistics.weight:
            error = (log_work - statistics.mean_log_work) ** 2
            statistics.work_error = statistics.work_error * _DECAY + error * (1 - _DECAY)
        statistics.weight = statistics.weight * _DECAY + 1
        statistics.mean_log_work += (log_work - statistics.mean_log_work) / statistics.weight
        if not declared_s or declared_s <= 0:
            return
        log_ratio = log_work - math.log(_clamp(declared_s))
        error = (log_ratio - statistics.mean_log_ratio) ** 2
        statistics.declared_error = statistics.declared_error * _DECAY + error * (1 - _DECAY)
        statistics.declared_weight = statistics.declared_weight * _DECAY + 1
        statistics.mean_log_ratio += (
            log_ratio - statistics.mean_log_ratio
        ) / statistics.declared_weight


def _clamp(seconds: float) -> float:
    return min(max(seconds, _MIN_RUN_TIME_S), _MAX_RUN_TIME_S)
