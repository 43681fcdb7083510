"""Evacuated failure domains as one entry process knows them."""

from __future__ import annotations

import math
from collections.abc import Callable, Collection

import logbook

from apricotpoint._core.counters import Counters
from apricotpoint._pool.runs.heldbackend import HeldBackend

_log = logbook.Logger("pool")


class Evacuations:
    """Evacuated failure domains, each with the end of its grace period.

    With `awaits_orders` nothing starts anywhere until the orders are known. `domains` are the
    evacuated ones. `now` returns monotonic seconds.
    """

    def __init__(self, *, now: Callable[[], float], counters: Counters) -> None:
        self.awaits_orders = False
        self.domains: frozenset[str] = frozenset()
        self._now = now
        self._counters = counters
        self._starts_end_at_by_domain: dict[str, float] = {}

    def is_active(self) -> bool:
        """Return whether a failure domain is evacuated or the orders are not known yet."""
        return self.awaits_orders or bool(self.domains)

    def set(self, domains: Collection[str], grace_s: float) -> bool:
        """Replace the evacuated domains; return whether anything has changed.

        `grace_s` is the grace period of those that were not evacuated before.
        """
        known, was_awaiting = self.domains, self.awaits_orders
        self.domains, self.awaits_orders = frozenset(domains), False
        if self.domains == known and not was_awaiting:
            return False
        for domain in sorted(self.domains - known):
            self._starts_end_at_by_domain[domain] = self._now() + grace_s
            _log.notice(
                "failure domain {} is evacuated: no job starts there, and jobs that have started "
                "may start tasks there for {:.3f} s",
                domain,
                grace_s,
            )
        for domain in sorted(known - self.domains):
            del self._starts_end_at_by_domain[domain]
            _log.notice("failure domain {} is not evacuated any more", domain)
        self._counters.set_gauge("pool.evacuated_domains", len(self.domains))
        return True

    def apply(self, held: HeldBackend) -> None:
        """Set the end of the grace period of a held backend server."""
        if self.awaits_orders:
            held.starts_end_at = -math.inf
            return
        held.starts_end_at = self._starts_end_at_by_domain.get(held.announcement.failure_domain)
