"""A kind of task in a described workload."""

from __future__ import annotations

import attrs

from apricotpoint._settings import checks


@attrs.frozen
class TaskKindSettings:
    """Run times of one kind of task.

    `median_s` is the median run time in seconds on a backend server of speed
    1, `sigma` the standard deviation of its logarithm, `share` the relative
    frequency.
    """

    name: str = attrs.field(validator=checks.name)
    median_s: float = attrs.field(validator=checks.between(0.001, 60, "seconds"))
    sigma: float = attrs.field(default=0.3, validator=checks.between(0, 2, ""))
    share: float = attrs.field(default=1.0, validator=checks.between(0, 1000, ""))
    idempotent: bool = False
