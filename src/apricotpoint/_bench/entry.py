"""One entry process of the rig: the production parts wired to fakes."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable, Collection
from contextlib import AsyncExitStack
from types import TracebackType
from typing import Any

import anyio
import anyio.abc

from apricotpoint._bench.network import Network
from apricotpoint._core.counters import Counters
from apricotpoint._core.timers import TimerService
from apricotpoint._dispatch.cluster import Cluster
from apricotpoint._dispatch.estimator import KindEstimator
from apricotpoint._dispatch.exchange import BackendAddress, Start, StartResult
from apricotpoint._dispatch.holder import Holder
from apricotpoint._jobs.coordinator import Coordinator
from apricotpoint._wire.configuration import Configuration
from apricotpoint._wire.jobs import Claim, ClaimReply
from apricotpoint._wire.load import LoadReport


class RigEntry:
    """An entry process: cluster view, lease holder and coordinator on a fake link."""

    def __init__(
        self,
        *,
        entry_id: str,
        incarnation: int,
        failure_domain: str,
        weight: float,
        network: Network,
        entry_ids: Callable[[], Collection[str]],
        generator: Any,
        configuration: Callable[[], Configuration],
        claim: Callable[[Claim], Awaitable[ClaimReply]],
        send_to_backend: Callable[[BackendAddress, list[Start]], AsyncIterator[StartResult]],
        ask_backend: Callable[[BackendAddress, str], Awaitable[StartResult]],
        cancel_on_backend: Callable[[BackendAddress, list[str]], Awaitable[None]],
    ) -> None:
        self.entry_id = entry_id
        self.failure_domain = failure_domain
        self.weight = weight
        self.draining = False
        self.counters = Counters()
        self._configuration = configuration
        self._port = network.add(entry_id, incarnation)
        self._timers = TimerService(wall=lambda: 1_800_000_000 + anyio.current_time())
        self._stack = AsyncExitStack()
        estimator = KindEstimator()
        self.cluster = Cluster(
            entry_id=entry_id,
            incarnation=incarnation,
            transport=self._port,
            timers=self._timers,
            make_report=self._report,
            entry_ids=entry_ids,
        )
        self.holder = Holder(
            entry_id=entry_id,
            incarnation=incarnation,
            failure_domain=failure_domain,
            weight=weight,
            transport=self._port,
            timers=self._timers,
            counters=self.counters,
            random=generator,
            cluster=self.cluster,
            estimator=estimator,
            configuration=configuration,
            draining=lambda: self.draining,
            send_to_backend=send_to_backend,
            ask_backend=ask_backend,
            cancel_on_backend=cancel_on_backend,
        )
        self.coordinator = Coordinator(
            entry_id=entry_id,
            incarnation=incarnation,
            failure_domain=failure_domain,
            transport=self._port,
            timers=self._timers,
            counters=self.counters,
            random=generator,
            holder=self.holder,
            cluster=self.cluster,
            estimator=estimator,
            claim=claim,
            configuration=configuration,
            configuration_current=lambda: True,
            caller_address=f"{entry_id}.callers",
        )

    async def __aenter__(self) -> RigEntry:
        group = anyio.create_task_group()
        await self._stack.enter_async_context(group)
        group.start_soon(self._port.run)
        self._stack.callback(group.cancel_scope.cancel)
        await self._stack.enter_async_context(self._timers)
        await self._stack.enter_async_context(self.cluster)
        await self._stack.enter_async_context(self.holder)
        await self._stack.enter_async_context(self.coordinator)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool | None:
        return await self._stack.__aexit__(exc_type, exc, traceback)

    def _report(self) -> LoadReport:
        backends = self.holder.backend_loads()
        return LoadReport(
            config_version=self._configuration().version,
            draining=self.draining,
            weight=self.weight,
            held_slots=sum(backend.slots for backend in backends),
            backends=backends,
            queued_s_by_service=self.holder.queued_s_by_service(),
            queued_tasks=self.holder.queued_tasks(),
            failure_domain=self.failure_domain,
            caller_address=f"{self.entry_id}.callers",
            tasks_by_team=self.coordinator.tasks_by_team(),
        )
