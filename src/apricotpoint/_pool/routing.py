"""Routes that map the requests of callers to kinds of jobs."""

from __future__ import annotations

from collections.abc import Iterable

import attrs


@attrs.frozen
class Route:
    """Settings of the jobs requested under one host and path prefix.

    The latency objective of a job is `base_latency_s` plus `stretch` times the run time of its
    longest task. A smaller `priority` is more urgent. `max_attempts` is the number of failures
    of one task after which its job has failed.
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
    """The routes of one version of the configuration; version 0 is none.

    Hosts of routes must be in lower case.
    """

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
        """Return the route of the host with the longest prefix of `path`, None if there is none."""
        for route in self._routes_by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None
