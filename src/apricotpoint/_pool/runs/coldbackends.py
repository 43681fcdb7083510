"""Backend servers that are cold, by their announcements, and how much slower they are."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from apricotpoint._pool.decisions import cold
from apricotpoint._pool.decisions.cold import ColdPeriod
from apricotpoint._wire.pool import PoolBackend


@attrs.define(eq=False)
class Slowdown:
    """Slowdown at the beginning of a cold period, learned from runs on cold backend servers."""

    value: float = cold.INITIAL_SLOWDOWN

    def observe(self, share: float, ratio: float, *, same_job: bool) -> None:
        """Record a run; the arguments are described at `cold.learn`."""
        self.value = cold.learn(self.value, share, ratio, same_job=same_job)


@attrs.frozen
class Warmth:
    """Cold period of a backend server together with the slowdown that is learned for all."""

    period: ColdPeriod
    slowdown: Slowdown

    def share(self, now: float) -> float:
        """Return the share of the cold period that is still ahead, from 0 to 1."""
        return self.period.share(now)

    def factor(self, now: float) -> float:
        """Return the factor by which runs that start now take longer."""
        return cold.slowdown(self.slowdown.value, self.period.share(now))


class ColdBackends:
    """Cold periods of all announced backend servers, held by this process or not.

    The time left counts from the arrival of an announcement, which may be long before the backend
    server is acquired. `slowdown` is learned elsewhere. `now` returns monotonic seconds.
    """

    def __init__(self, *, now: Callable[[], float], slowdown: Slowdown) -> None:
        self._slowdown = slowdown
        self._now = now
        self._period_by_id: dict[str, ColdPeriod] = {}
        self._born_ms_by_id: dict[str, int] = {}

    def record(self, announcement: PoolBackend) -> None:
        """Record the cold period in an announcement that has just arrived."""
        backend_id, now = announcement.backend_id, self._now()
        if announcement.cold_remaining_s <= 0:
            self._period_by_id.pop(backend_id, None)
            self._born_ms_by_id.pop(backend_id, None)
            return
        is_same = self._born_ms_by_id.get(backend_id) == announcement.born_ms
        known = self._period_by_id.get(backend_id) if is_same else None
        period = cold.extend(known, announcement.cold_remaining_s, now)
        if period is not None:
            self._period_by_id[backend_id] = period
            self._born_ms_by_id[backend_id] = announcement.born_ms

    def warmth(self, backend_id: str) -> Warmth | None:
        """Return what is known of a cold backend server, None if it is warm."""
        period = self._period_by_id.get(backend_id)
        if period is None:
            return None
        if self._now() >= period.until:
            del self._period_by_id[backend_id], self._born_ms_by_id[backend_id]
            return None
        return Warmth(period, self._slowdown)
