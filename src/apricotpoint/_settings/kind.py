"""Settings of one kind of task in the workload of a described deployment."""

from __future__ import annotations

import attrs

from apricotpoint._settings import checks


@attrs.frozen
class TaskKindSettings:
    """Log-normal distribution of the run times of one kind of task.

    `median_s` is the median run time in seconds on a backend server of speed
    1, `sigma` the standard deviation of its logarithm, and `share` the frequency
    relative to other kinds.
    """

    name: str = attrs.field(validator=checks.name)
    median_s: float = attrs.field(validator=checks.between(0.001, 60, "seconds"))
    sigma: float = attrs.field(default=0.3, validator=checks.between(0, 2, ""))
    share: float = attrs.field(default=1.0, validator=checks.between(0, 1000, ""))
    idempotent: bool = False
