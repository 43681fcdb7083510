"""What the parts of the lease holder share: services, backend servers and wake-ups."""

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
from apricotpoint._wire.announce import HolderName
from apricotpoint._wire.configuration import Configuration, ServiceConfig, TeamConfig

# Other entry processes not heard from for this time get nothing new.
MAX_REPORT_AGE_S = 1.0

# A team that the configuration in force here does not have yet.
_UNKNOWN_TEAM_CONFIG = TeamConfig("")


@attrs.define(eq=False)
class Service:
    """Queue and backend servers of one service at this holder."""

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

    `services_to_bind` names the services to be bound in the next pass; `wake` is set when
    a pass is due.
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
    services_to_bind: set[str] = attrs.Factory(set)
    wake: anyio.Event = attrs.Factory(anyio.Event)
    group: anyio.abc.TaskGroup | None = None
    _applied_configuration: Configuration | None = None

    def tasks(self) -> anyio.abc.TaskGroup:
        """Return the task group of the holder, which must have been entered."""
        assert self.group is not None
        return self.group

    def service(self, name: str) -> Service:
        """Return the state of a service, new if the holder has none yet."""
        service = self.service_by_name.get(name)
        if service is None:
            service = self.service_by_name[name] = Service(name, FairQueue(self._team_weight))
        return service

    def service_config(self, service: str) -> ServiceConfig:
        """Return the configuration of a service."""
        return self.configuration().service_by_name.get(service) or ServiceConfig(service)

    def apply_configuration(self) -> None:
        """Update the backend servers after a change of the configuration."""
        configuration = self.configuration()
        if configuration is self._applied_configuration:
            return
        self._applied_configuration = configuration
        self.blocked = frozenset(configuration.drained_backends + configuration.stopped_backends)
        for view in self.view_by_id.values():
            view.blocked = view.backend_id in self.blocked
            view.guards = self.service_config(view.announcement.service).guards

    def schedule_binding(self, service: Service) -> None:
        """Have a service bound in the next pass."""
        self.services_to_bind.add(service.name)
        self.wake.set()

    def queued_tasks(self) -> int:
        """Return the number of tasks that wait for a slot."""
        return sum(service.queue.count for service in self.service_by_name.values())

    def _team_weight(self, team: str) -> float:
        team_config = self.configuration().team_by_name.get(team)
        team_config = team_config or _UNKNOWN_TEAM_CONFIG
        return team_config.quota_tasks * team_config.weight


def fits_any(task: HeldTask, views: list[BackendView]) -> bool:
    """Return whether one of the backend servers has what the task needs."""
    return any(view.fits(task.spec.spec) for view in views)
