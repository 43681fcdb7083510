"""An entry process of the simulation: production parts wired to a simulated network."""

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
from apricotpoint._dispatch.exchange import BackendAddress, Start, StartResult
from apricotpoint._programs.components import EntryComponents
from apricotpoint._wire.configuration import Configuration
from apricotpoint._wire.jobs import Claim, ClaimReply


class SimulatedEntry:
    """Cluster view, lease holder and coordinator of one entry process on a simulated network.

    Use it as an async context manager; it runs until the context ends.
    """

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
        fetch_result: Callable[[BackendAddress, str], Awaitable[StartResult]],
        cancel_on_backend: Callable[[BackendAddress, list[str]], Awaitable[None]],
    ) -> None:
        self.entry_id = entry_id
        self.failure_domain = failure_domain
        self.weight = weight
        self.counters = Counters()
        self._port = network.add(entry_id, incarnation)
        self._timers = TimerService(wall_clock=lambda: 1_800_000_000 + anyio.current_time())
        self._stack = AsyncExitStack()
        self._components = EntryComponents(
            entry_id=entry_id,
            incarnation=incarnation,
            failure_domain=failure_domain,
            weight=weight,
            caller_address=f"{entry_id}.callers",
            transport=self._port,
            timers=self._timers,
            counters=self.counters,
            random=generator,
            entry_ids=entry_ids,
            configuration=configuration,
            configuration_current=lambda: True,
            claim=claim,
            send_to_backend=send_to_backend,
            fetch_result=fetch_result,
            cancel_on_backend=cancel_on_backend,
        )
        self.cluster = self._components.cluster
        self.holder = self._components.holder
        self.coordinator = self._components.coordinator

    @property
    def draining(self) -> bool:
        """Whether the entry process refuses new jobs and hands over its backend servers."""
        return self._components.draining

    def start_draining(self) -> None:
        """Refuse new jobs and hand over the backend servers."""
        self._components.start_draining()

    async def __aenter__(self) -> SimulatedEntry:
        group = anyio.create_task_group()
        await self._stack.enter_async_context(group)
        group.start_soon(self._port.run)
        self._stack.callback(group.cancel_scope.cancel)
        await self._stack.enter_async_context(self._timers)
        await self._stack.enter_async_context(self._components)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool | None:
        return await self._stack.__aexit__(exc_type, exc, traceback)
