"""Work that each route offers to one holder, and the jobs that exceed the share of their route."""

from __future__ import annotations

import math
from collections.abc import Callable

import attrs
import logbook

from apricotpoint._pool.decisions import routeshares
from apricotpoint._wire.pool import PoolJob

# Time constant of the average of the offered work. Bursts last for some seconds.
OFFER_WINDOW_S = 1.0
# A route may use in advance what it gets in this time, so that of jobs which arrive at the same
# moment the first ones are within the share.
BURST_S = 0.25
# Shares are found anew after this time: the offered work changes little meanwhile.
SHARES_MAX_AGE_S = 0.05
# Work per second in thousandths of a core below which a route is forgotten.
MIN_RATE = 1.0
# A route that is limited is logged again after this time at the earliest.
LOG_PERIOD_S = 5.0

_log = logbook.Logger("pool")


@attrs.define
class _Route:
    """Work per second that a route has offered of late, and its share, infinity if not limited.

    `available` is the work that jobs may still bring now within the share.
    """

    rate: float = 0.0
    share: float = math.inf
    available: float = math.inf
    logged_at: float = -math.inf


@attrs.define
class _Service:
    """Routes of one service by name, as of the monotonic time `updated_at`."""

    updated_at: float
    shares_at: float = -math.inf
    route_by_name: dict[str, _Route] = attrs.Factory(dict)


class RouteDemand:
    """Measures the work that each route offers, and tells which jobs exceed its fair share.

    Only routes of the same service compete. Work is in seconds at speed 1 times the thousandths of
    a core that it uses. `throughput` returns how much of it the backend servers of a service do per
    second. Times are monotonic seconds. The state is lost with the process, and is there again
    after about `OFFER_WINDOW_S`; until then no route is limited.
    """

    def __init__(self, throughput: Callable[[str, float], float]) -> None:
        self._throughput = throughput
        self._service_by_name: dict[str, _Service] = {}

    def exceeds_share(self, request: PoolJob, now: float) -> bool:
        """Return whether the route of a job that arrives now has used up its share."""
        service = self._service_by_name.get(request.service)
        if service is None:
            return False
        self._update(request.service, service, now)
        route = service.route_by_name.get(request.kind)
        return route is not None and route.available <= 0

    def record(self, request: PoolJob, work: float, now: float, *, uses_share: bool) -> None:
        """Count a job that has arrived, and the work that it uses of the share of its route."""
        service = self._service_by_name.setdefault(request.service, _Service(now))
        self._update(request.service, service, now)
        route = service.route_by_name.setdefault(request.kind, _Route())
        route.rate += work / OFFER_WINDOW_S
        if uses_share:
            route.available -= work

    def _update(self, name: str, service: _Service, now: float) -> None:
        passed_s = max(now - service.updated_at, 0.0)
        service.updated_at = now
        decay = math.exp(-passed_s / OFFER_WINDOW_S)
        for route in service.route_by_name.values():
            route.rate *= decay
            if not math.isinf(route.share):
                refilled = route.available + route.share * passed_s
                route.available = min(refilled, BURST_S * route.share)
        if not 0 <= now - service.shares_at < SHARES_MAX_AGE_S:
            service.shares_at = now
            self._divide(name, service, now)

    def _divide(self, name: str, service: _Service, now: float) -> None:
        """Find the shares of the routes of a service anew."""
        throughput = self._throughput(name, now)
        routes = service.route_by_name
        for key in [key for key, route in routes.items() if route.rate < MIN_RATE]:
            del routes[key]
        share_by_route = routeshares.fair_shares(
            {key: route.rate for key, route in routes.items()}, throughput
        )
        for key, route in routes.items():
            # Without a backend server nothing is known of the throughput, and a route alone
            # competes with none.
            is_limited = throughput > 0 and len(routes) > 1 and share_by_route[key] < route.rate
            route.share = share_by_route[key] if is_limited else math.inf
            route.available = min(route.available, BURST_S * route.share)
            if not is_limited:
                route.available = math.inf
            elif now - route.logged_at >= LOG_PERIOD_S:
                route.logged_at = now
                _log.notice(
                    "route {} of service {} offers {:.1f} cores of work per second, and is limited "
                    "to its fair share of {:.1f} of {:.1f}",
                    key,
                    name,
                    route.rate / 1000,
                    route.share / 1000,
                    throughput / 1000,
                )
