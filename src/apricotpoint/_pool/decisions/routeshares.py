"""Max-min fair shares of the throughput of a holder among the routes whose jobs it runs.

The load pattern behind it is overload in which one route asks for more than the others: at the peak
of a load that swings, in a burst of one route, or after backend servers were lost. Ordered by slack
alone, jobs of all routes wait for each other, and those of routes with long jobs are refused after
a wait, although their route asks for less than its share.
"""

from __future__ import annotations

from collections.abc import Mapping


def fair_shares(offered_by_route: Mapping[str, float], throughput: float) -> dict[str, float]:
    """Return how much of the throughput each route gets, in the unit of `offered_by_route`.

    A route that offers at most an equal share gets all that it offers; what it leaves is divided
    equally among the others. Without overload each route gets what it offers.
    """
    share_by_route: dict[str, float] = {}
    remaining = max(throughput, 0.0)
    routes = sorted(offered_by_route, key=lambda route: (offered_by_route[route], route))
    for position, route in enumerate(routes):
        share = min(offered_by_route[route], remaining / (len(routes) - position))
        share_by_route[route] = share
        remaining -= share
    return share_by_route
