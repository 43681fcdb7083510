"""Composition of the scheduling components of an entry process."""

from __future__ import annotations

import random as random_module
from collections.abc import Awaitable, Callable, Collection
from contextlib import AsyncExitStack
from types import TracebackType

from apricotpoint._core.counters import Counters
from apricotpoint._core.timers import TimerService
from apricotpoint._dispatch.cluster import Cluster
from apricotpoint._dispatch.estimator import RunTimeEstimator
from apricotpoint._dispatch.exchange import CancelOnBackend, FetchResult, SendToBackend
from apricotpoint._dispatch.holder import LeaseHolder
from apricotpoint._jobs.coordinator import DRAIN_GRACE_S, Coordinator
from apricotpoint._link.transport import Transport
from apricotpoint._wire.configuration import Configuration
from apricotpoint._wire.jobs import Claim, ClaimReply
from apricotpoint._wire.load import LoadReport


class EntryComponents:
    """Cluster view, lease holder and coordinator of one incarnation of an entry process.

    The program, the bench and the fuzz tests share this composition, so that the
    measured and tested system is the one that runs in production. Use it as an
    async context manager.
    """

    def __init__(
        self,
        *,
        entry_id: str,
        incarnation: int,
        failure_domain: str,
        weight: float,
        caller_address: str,
        transport: Transport,
        timers: TimerService,
        counters: Counters,
        random: random_module.Random,
        entry_ids: Callable[[], Collection[str]],
        configuration: Callable[[], Configuration],
        configuration_current: Callable[[], bool],
        claim: Callable[[Claim], Awaitable[ClaimReply]],
        send_to_backend: SendToBackend,
        fetch_result: FetchResult,
        cancel_on_backend: CancelOnBackend,
        drain_grace_s: float = DRAIN_GRACE_S,
    ) -> None:
        self.draining = False
        self._failure_domain = failure_domain
        self._weight = weight
        self._caller_address = caller_address
        self._configuration = configuration
        self._stack = AsyncExitStack()
        estimator = RunTimeEstimator()
        self.cluster = Cluster(
            entry_id=entry_id,
            incarnation=incarnation,
            transport=transport,
            timers=timers,
            make_report=self.report,
            entry_ids=entry_ids,
        )
        self.holder = LeaseHolder(
            entry_id=entry_id,
            incarnation=incarnation,
            failure_domain=failure_domain,
            weight=weight,
            transport=transport,
            timers=timers,
            counters=counters,
            random=random,
            cluster=self.cluster,
            estimator=estimator,
            configuration=configuration,
            draining=lambda: self.draining,
            send_to_backend=send_to_backend,
            fetch_result=fetch_result,
            cancel_on_backend=cancel_on_backend,
        )
        self.coordinator = Coordinator(
            entry_id=entry_id,
            incarnation=incarnation,
            failure_domain=failure_domain,
            transport=transport,
            timers=timers,
            counters=counters,
            random=random,
            holder=self.holder,
            cluster=self.cluster,
            estimator=estimator,
            claim=claim,
            configuration=configuration,
            configuration_current=configuration_current,
            caller_address=caller_address,
            drain_grace_s=drain_grace_s,
        )

    async def __aenter__(self) -> EntryComponents:
        for component in (self.cluster, self.holder, self.coordinator):
            await self._stack.enter_async_context(component)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool | None:
        return await self._stack.__aexit__(exc_type, exc, traceback)

    def start_draining(self) -> None:
        """Refuse new jobs and hand over the backend servers; repeated calls have no effect."""
        if not self.draining:
            self.draining = True
            self.coordinator.start_draining()

    def stop_draining(self) -> None:
        """Accept jobs and backend servers again."""
        self.draining = False
        self.coordinator.stop_draining()

    def idle(self) -> bool:
        """Return whether no work is in progress."""
        return self.coordinator.idle() and self.holder.idle()

    def report(self) -> LoadReport:
        """Return the load report that is sent to the other entry processes."""
        backends = self.holder.backend_loads()
        return LoadReport(
            config_version=self._configuration().version,
            draining=self.draining,
            weight=self._weight,
            held_slots=sum(backend.slots for backend in backends),
            backends=backends,
            queued_s_by_service=self.holder.queued_s_by_service(),
            queued_tasks=self.holder.queued_tasks(),
            failure_domain=self._failure_domain,
            caller_address=self._caller_address,
            tasks_by_team=self.coordinator.tasks_by_team(),
        )
