"""Passes the orders to evacuate failure domains from the configuration on to one entry process."""

from __future__ import annotations

import logbook

from apricotpoint._control.feed import ConfigurationFeed
from apricotpoint._pool.decisions import evacuation
from apricotpoint._pool.scheduler import Scheduler
from apricotpoint._pool.service import PoolService
from apricotpoint._wire.configuration import Configuration, Evacuation

_log = logbook.Logger("entry")


class EvacuationOrders:
    """Applies the orders of each new configuration, and has no task start before the first one.

    Create it before the feed is started. `timeout_s` is the time after an order from which nothing
    may start in its failure domain.
    """

    def __init__(
        self,
        *,
        feed: ConfigurationFeed,
        scheduler: Scheduler,
        service: PoolService,
        timeout_s: float,
    ) -> None:
        self._feed = feed
        self._service = service
        self._timeout_s = timeout_s
        self._order_by_domain: dict[str, Evacuation] = {}
        # An order that was given before the start of this process is not known yet.
        scheduler.evacuations.awaits_orders = True
        feed.subscribe(self._apply)

    def _apply(self, configuration: Configuration) -> None:
        orders, known = configuration.evacuation_by_domain, self._order_by_domain
        for domain, order in sorted(orders.items()):
            if order != known.get(domain):
                _log.notice(
                    "learned of order {} of command {}: failure domain {} is {} as of "
                    "configuration version {}",
                    order.order,
                    order.command_id,
                    domain,
                    "evacuated" if order.active else "restored",
                    configuration.version,
                )
        self._order_by_domain = orders
        self._service.set_evacuated(
            {domain for domain, order in orders.items() if order.active},
            grace_s=evacuation.grace_s(self._feed.unconfirmed_s(), self._timeout_s),
        )
