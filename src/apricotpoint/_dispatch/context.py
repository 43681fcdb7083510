"""State shared by the parts of a lease holder."""

from __future__ import annotations

import math
from collections.abc import Callable
from random import Random

import anyio
import anyio.abc
import attrs

from apricotpoint._core.counters import Counters
from apricotpoint._core.timers import TimerService
from apricotpoint._dispatch.backend import BackendView
from apricotpoint._dispatch.cluster import Cluster
from apricotpoint._dispatch.estimator import RunTimeEstimator
from apricotpoint._dispatch.policies import Policy
from apricotpoint._dispatch.queue import FairQueue, HeldTask
from apricotpoint._link.transport import Transport
from apricotpoint._wire.announce import Announcement, HolderName
from apricotpoint._wire.configuration import Configuration, ServiceConfig, TeamConfig

# Entry processes whose latest load report is older count as not live: they are
# assigned no backend servers.
MAX_REPORT_AGE_S = 1.0

# Used for a team that the active configuration does not contain yet.
_UNKNOWN_TEAM_CONFIG = TeamConfig("")


@attrs.define(eq=False)
class Service:
    """Queue and backend servers of one service at this lease holder.

    `eligible_ids` are the eligible backend servers at the last check, and
    `no_backend_since` is the time since when none was eligible while tasks were
    queued. A binding pass is due at `next_pass_at` at the latest.
    """

    name: str
    queue: FairQueue
    policy_name: str = ""
    policy: Policy | None = None
    view_by_id: dict[str, BackendView] = attrs.Factory(dict)
    eligible_ids: set[str] = attrs.Factory(set)
    no_backend_since: float | None = None
    next_pass_at: float = math.inf


@attrs.define(eq=False)
class HolderContext:
    """External dependencies and shared state of the parts of one lease holder.

    `blocked` are the ids of the backend servers that are drained or stopped, and
    `evacuated_domains` the failure domains in which nothing more is started.
    `services_to_bind` are the names of the services with a binding pass due, and
    `wake` is set when any work is due.
    """

    name: HolderName
    transport: Transport
    timers: TimerService
    counters: Counters
    random: Random
    cluster: Cluster
    estimator: RunTimeEstimator
    configuration: Callable[[], Configuration]
    draining: Callable[[], bool]
    service_by_name: dict[str, Service] = attrs.Factory(dict)
    view_by_id: dict[str, BackendView] = attrs.Factory(dict)
    blocked: frozenset[str] = frozenset()
    evacuated_domains: frozenset[str] = frozenset()
    services_to_bind: set[str] = attrs.Factory(set)
    wake: anyio.Event = attrs.Factory(anyio.Event)
    group: anyio.abc.TaskGroup | None = None
    _applied_configuration: Configuration | None = None

    def task_group(self) -> anyio.abc.TaskGroup:
        """Return the task group of the holder; call it only between its entry and exit."""
        assert self.group is not None
        return self.group

    def service(self, name: str) -> Service:
        """Return the state of a service, created at its first use."""
        service = self.service_by_name.get(name)
        if service is None:
            service = self.service_by_name[name] = Service(name, FairQueue(self._team_weight))
        return service

    def service_config(self, service: str) -> ServiceConfig:
        """Return the active configuration of a service, or the defaults if it has none."""
        return self.configuration().service_by_name.get(service) or ServiceConfig(service)

    def apply_configuration(self) -> None:
        """Apply a changed configuration to the backend servers; cheap if it is unchanged."""
        configuration = self.configuration()
        if configuration is self._applied_configuration:
            return
        self._applied_configuration = configuration
        self.blocked = frozenset(configuration.drained_backends + configuration.stopped_backends)
        self.evacuated_domains = frozenset(configuration.evacuated_domains())
        for view in self.view_by_id.values():
            view.blocked = self.is_blocked(view.announcement)
            view.obeys_guards = self.service_config(view.announcement.service).guards

    def is_blocked(self, announcement: Announcement) -> bool:
        """Return whether an operator ordered that a backend server starts nothing more."""
        return (
            announcement.backend_id in self.blocked
            or announcement.failure_domain in self.evacuated_domains
        )

    def schedule_binding(self, service: Service) -> None:
        """Request a binding pass for a service at the next wake-up of the holder."""
        self.services_to_bind.add(service.name)
        self.wake.set()

    def queued_tasks(self) -> int:
        """Return the number of queued tasks of all services."""
        return sum(service.queue.count for service in self.service_by_name.values())

    def _team_weight(self, team: str) -> float:
        team_config = self.configuration().team_by_name.get(team)
        team_config = team_config or _UNKNOWN_TEAM_CONFIG
        return team_config.quota_tasks * team_config.weight


def any_can_run(task: HeldTask, views: list[BackendView]) -> bool:
    """Return whether one of the backend servers meets the requirements of the task."""
    return any(view.can_run(task.spec.spec) for view in views)
