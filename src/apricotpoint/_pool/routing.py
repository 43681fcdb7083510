"""Which requests of callers belong to which kind of job."""

from __future__ import annotations

from collections.abc import Iterable

import attrs


@attrs.frozen
class Route:
    """Rules for the requests under one host and prefix of paths.

    Times are in seconds. A job is in time if it takes at most
    `base_latency_s` plus `stretch` times its longest task.
    """

    name: str
    host: str
    prefix: str
    service: str
    timeout_s: float
    base_latency_s: float
    stretch: float
    priority: int
    max_attempts: int


class Routing:
    """The routes of one version of the configuration."""

    def __init__(
        self, version: int = 0, routes: Iterable[Route] = (), *, max_body_bytes: int = 1 << 18
    ) -> None:
        self.version = version
        self.max_body_bytes = max_body_bytes
        self._routes_by_host: dict[str, list[Route]] = {}
        for route in routes:
            self._routes_by_host.setdefault(route.host, []).append(route)
        for same_host in self._routes_by_host.values():
            same_host.sort(key=lambda route: -len(route.prefix))

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of `path`, None if there is none."""
        for route in self._routes_by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None
