"""A simulated entry process with claims and a configuration feed, on the faulty network."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import anyio
import anyio.abc

from apricotpoint._bench.faultynetwork import FaultyNetwork, Process
from apricotpoint._bench.simulatedentry import SimulatedEntry
from apricotpoint._control.claims import make_claim_sender
from apricotpoint._control.feed import ConfigurationFeed
from apricotpoint._wire.configuration import Configuration
from apricotpoint._wire.jobs import Claim, ClaimReply

_VM_STATE_PERIOD_S = 0.25


class FaultyEntry(SimulatedEntry):
    """A `SimulatedEntry` that claims keys and receives the configuration as in production.

    Its wiring equals that of the program: the configuration is fetched before the
    other parts start, and the process drains or stops if the configuration says so
    for its VM. `on_stopped` is called while it says stop. Set `stopping` to keep
    the process draining.
    """

    def __init__(
        self,
        process: Process,
        network: FaultyNetwork,
        control_by_domain: dict[str, str],
        **arguments: Any,
    ) -> None:
        super().__init__(
            entry_id=process.process_id,
            failure_domain=process.domain,
            weight=1.0,
            network=network,
            configuration=self._active_configuration,
            claim=self._send_claim,
            **arguments,
        )
        self._claims = make_claim_sender(self._port, control_by_domain, sorted(control_by_domain))
        self.stopping = False
        self.on_stopped: Callable[[], None] = lambda: None
        self.feed = ConfigurationFeed(
            transport=self._port,
            control_ids=sorted(control_by_domain.values()),
            timers=self._timers,
            counters=self.counters,
        )

    async def _send_claim(self, claim: Claim) -> ClaimReply:
        return await self._claims(claim)

    async def __aenter__(self) -> FaultyEntry:
        group = await self._stack.enter_async_context(anyio.create_task_group())
        self._stack.callback(group.cancel_scope.cancel)
        group.start_soon(self._port.run)
        for part in (self._timers, self.feed, self._parts):
            await self._stack.enter_async_context(part)
        self._timers.every(_VM_STATE_PERIOD_S, self._apply_vm_state)
        return self

    def _apply_vm_state(self) -> None:
        if self.entry_id in self.feed.configuration().stopped_vms:
            self.on_stopped()
        views = self.cluster.live_entries(10.0)
        self.feed.fetch_if_newer(max(view.report.config_version for view in views))
        drained = self.entry_id in self.feed.configuration().drained_vms
        if drained and not self.draining:
            self.start_draining()
        elif self.draining and not (drained or self.stopping):
            self._parts.stop_draining()

    def _active_configuration(self) -> Configuration:
        return self.feed.configuration()
