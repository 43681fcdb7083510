"""Learned run times of the kinds of tasks."""

from __future__ import annotations

import math
from collections import OrderedDict

import attrs

DEFAULT_WORK_S = 0.25
_LOWEST_S = 0.001
_HIGHEST_S = 3600.0
_MAX_KINDS = 4096
_DECAY = 0.9
# Squared error (of the logarithm) below which a predictor is not trusted more.
_ERROR_FLOOR = 0.0025
# Initial squared error: a factor of about 2.7.
_FIRST_ERROR = 1.0


@attrs.define(eq=False)
class _Kind:
    weight: float = 0.0
    log_work: float = 0.0
    work_error: float = _FIRST_ERROR
    declared_weight: float = 0.0
    log_ratio: float = 0.0
    declared_error: float = _FIRST_ERROR


class RunTimeEstimator:
    """Predicts the run time of a task from its kind and its declaration.

    Both predictors are weighted by the inverse of the squared error that they
    showed for this kind. The kinds used last are kept, at most 4096.
    """

    def __init__(self, *, max_kinds: int = _MAX_KINDS) -> None:
        self._max_kinds = max_kinds
        self._kind_by_name: OrderedDict[tuple[str, str], _Kind] = OrderedDict()

    def __len__(self) -> int:
        return len(self._kind_by_name)

    def estimate(self, service: str, kind: str, declared_s: float | None) -> float:
        """Return the predicted run time in seconds at speed 1."""
        name = (service, kind)
        known = self._kind_by_name.get(name)
        if known is None:
            return _bounded(declared_s if declared_s else DEFAULT_WORK_S)
        self._kind_by_name.move_to_end(name)
        if not declared_s or declared_s <= 0:
            return _bounded(math.exp(known.log_work))
        if not known.declared_weight:
            # Nothing is known of declarations of this kind, so both count equally.
            return _bounded(math.sqrt(_bounded(declared_s) * math.exp(known.log_work)))
        by_work = 1.0 / (known.work_error + _ERROR_FLOOR)
        by_declared = 1.0 / (known.declared_error + _ERROR_FLOOR)
        log_declared = math.log(_bounded(declared_s)) + known.log_ratio
        log_value = (by_work * known.log_work + by_declared * log_declared) / (
            by_work + by_declared
        )
        return _bounded(math.exp(log_value))

    def observe(self, service: str, kind: str, declared_s: float | None, work_s: float) -> None:
        """Record the run time of a task, converted to seconds at speed 1."""
        if work_s <= 0:
            return
        name = (service, kind)
        known = self._kind_by_name.get(name)
        if known is None:
            known = self._kind_by_name[name] = _Kind()
            if len(self._kind_by_name) > self._max_kinds:
                self._kind_by_name.popitem(last=False)
        else:
            self._kind_by_name.move_to_end(name)
        log_work = math.log(_bounded(work_s))
        if known.weight:
            error = (log_work - known.log_work) ** 2
            known.work_error = known.work_error * _DECAY + error * (1 - _DECAY)
        known.weight = known.weight * _DECAY + 1
        known.log_work += (log_work - known.log_work) / known.weight
        if not declared_s or declared_s <= 0:
            return
        log_ratio = log_work - math.log(_bounded(declared_s))
        error = (log_ratio - known.log_ratio) ** 2
        known.declared_error = known.declared_error * _DECAY + error * (1 - _DECAY)
        known.declared_weight = known.declared_weight * _DECAY + 1
        known.log_ratio += (log_ratio - known.log_ratio) / known.declared_weight


def _bounded(seconds: float) -> float:
    return min(max(seconds, _LOWEST_S), _HIGHEST_S)
