"""Settings of the workers, the backend servers of a described deployment."""

from __future__ import annotations

import math

import attrs

from apricotpoint._settings import checks


@attrs.frozen
class WorkerSettings:
    """Number, size and speeds of the backend servers of a deployment.

    `cores`, `memory_mb`, `slots` and `connections` are per backend server. Speeds
    are relative and range from `slowest` to `fastest`.
    """

    count: int = attrs.field(validator=checks.between(1, 10_000, "workers"))
    cores: int = attrs.field(validator=checks.between(1, 1024, "cores"))
    memory_mb: int = attrs.field(validator=checks.between(1, 16_000_000, "MB"))
    per_rack: int = attrs.field(default=8, validator=checks.between(1, 1000, "workers"))
    slots: int = attrs.field(default=8, validator=checks.between(1, 1024, "slots"))
    connections: int = attrs.field(default=64, validator=checks.between(1, 4096, "connections"))
    slowest: float = attrs.field(default=0.5, validator=checks.between(0.01, 100, ""))
    fastest: float = attrs.field(default=2.0, validator=checks.between(0.01, 100, ""))

    def speeds(self) -> list[float]:
        """Return the relative speed of each backend server.

        Speeds form a geometric series. Neighbours in the list differ widely, so
        that each rack and failure domain has slow and fast backend servers.
        """
        if self.count == 1:
            return [self.slowest]
        ratio = (self.fastest / self.slowest) ** (1 / (self.count - 1))
        series = [self.slowest * ratio**step for step in range(self.count)]
        stride = _coprime_stride(self.count)
        return [series[(index * stride) % self.count] for index in range(self.count)]


def _coprime_stride(count: int) -> int:
    # A stride of about 0.618 (the golden ratio) of the count spreads speeds evenly.
    stride = max(1, round(count * 0.618))
    while math.gcd(stride, count) != 1:
        stride += 1
    return stride
