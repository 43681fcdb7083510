"""Plays the faults of a series on the processes, links, backend servers and callers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio

from apricotpoint._soak.deployment import Deployment
from apricotpoint._soak.series import Fault, FaultKind, Series
from apricotpoint._soak.words import JobShape

# A successor that was announced starts this long before the process that it replaces is stopped.
PLANNED_LEAD_S = 2.0
FLAPS = 3
BURST_CALLERS = 30
DELAY_S = 0.15
# 2 Mbit/s, the least of the users' sites.
NARROW_BYTES_PER_S = 250_000
ACKNOWLEDGEMENT_WAIT_S = 8.0
DEADLY_SHAPE = JobShape(1, 500, deadly=True)


class Conductor:
    """Plays each fault in a task of its own; missing targets of a shortened series are skipped."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._processes, self._fleet = deployment.processes, deployment.fleet
        self._play_by_kind: dict[FaultKind, Callable[[Fault], Awaitable[None]]] = {
            FaultKind.FREEZE: self._freeze,
            FaultKind.KILL: self._kill,
            FaultKind.STOP: self._stop,
            FaultKind.HANG_UP: self._hang_up,
            FaultKind.POWER_LOSS: self._kill,
            FaultKind.LOSE_DISK: self._lose_disk,
            FaultKind.REPLACE: self._replace,
            FaultKind.REPLACE_PLANNED: self._replace_planned,
            FaultKind.ADD: self._add,
            FaultKind.ADD_UNCOUNTED: self._add,
            FaultKind.LOSE_UNCOUNTED: self._lose_for_good,
            FaultKind.FINAL: self._final,
            FaultKind.CUT: self._cut,
            FaultKind.SPLIT: self._cut,
            FaultKind.SILENCE: self._silence,
            FaultKind.DELAY: self._delay,
            FaultKind.RESET: self._reset,
            FaultKind.NARROW: self._delay,
            FaultKind.BURST: self._burst,
            FaultKind.ODD_ANNOUNCEMENTS: self._odd_announcements,
            FaultKind.DEADLY_JOB: self._deadly_job,
            FaultKind.BACKEND_LEAVES: self._backend_leaves,
            FaultKind.BACKEND_FLAPS: self._backend_flaps,
            FaultKind.BACKEND_SHRINKS: self._backend_shrinks,
        }

    async def play(self, series: Series) -> None:
        """Play all faults at their times, and return when the last one is over."""
        began_at = anyio.current_time()

        async def play_one(fault: Fault) -> None:
            await anyio.sleep_until(began_at + fault.at_s)
            self._deployment.sightings.note(f"fault {fault}")
            await self._play_by_kind[fault.kind](fault)
            self._deployment.sightings.last_back_at = self._deployment.sightings.now()

        async with anyio.create_task_group() as group:
            for fault in series.faults:
                group.start_soon(play_one, fault)
            await anyio.sleep(series.seconds)

    async def _freeze(self, fault: Fault) -> None:
        for target in fault.targets:
            self._processes.freeze(target)
        await anyio.sleep(fault.duration_s)
        for target in fault.targets:
            self._processes.thaw(target)

    async def _kill(self, fault: Fault) -> None:
        killed = [target for target in fault.targets if self._processes.kill(target)]
        await anyio.sleep(fault.duration_s)
        self._start(killed)

    async def _stop(self, fault: Fault) -> None:
        for target in fault.targets:
            # Even ones get further signals while they stop.
            await self._processes.stop(target, repeated=fault.number % 2 == 0)
        await anyio.sleep(fault.duration_s)
        self._start(fault.targets)

    async def _hang_up(self, fault: Fault) -> None:
        for target in fault.targets:
            self._processes.hang_up(target)

    async def _lose_disk(self, fault: Fault) -> None:
        killed = [target for target in fault.targets if self._processes.kill(target)]
        for target in killed:
            self._processes.lose_disk(target)
        await anyio.sleep(fault.duration_s)
        self._start(killed)

    async def _replace(self, fault: Fault) -> None:
        old, new = fault.targets
        if not self._is_known(old):
            return
        domain = self._processes.member(old).failure_domain
        self._processes.kill(old)
        self._deployment.remove_control(old)
        await anyio.sleep(fault.duration_s)
        await self._deployment.add_control(new, domain)

    async def _replace_planned(self, fault: Fault) -> None:
        old, new = fault.targets
        if not self._is_known(old):
            return
        await self._deployment.add_control(new, self._processes.member(old).failure_domain)
        await anyio.sleep(PLANNED_LEAD_S)
        await self._processes.stop(old)
        self._deployment.remove_control(old)

    async def _add(self, fault: Fault) -> None:
        domains = self._deployment.settings.failure_domains
        for target in fault.targets:
            domain = domains[int(target.rpartition("-")[2]) % len(domains)]
            counted = fault.kind is not FaultKind.ADD_UNCOUNTED
            await self._deployment.add_control(target, domain, counted=counted)

    async def _lose_for_good(self, fault: Fault) -> None:
        for target in fault.targets:
            self._processes.kill(target)
            self._deployment.remove_control(target)

    async def _final(self, fault: Fault) -> None:
        acknowledged = self._deployment.operators.acknowledged
        with anyio.move_on_after(ACKNOWLEDGEMENT_WAIT_S):
            await acknowledged.wait()
        controls = list(self._deployment.control_addresses())
        killed = [control for control in controls if self._processes.kill(control)]
        for target in fault.targets:
            if target in killed:
                self._processes.lose_disk(target)
        await anyio.sleep(fault.duration_s)
        self._start(killed)

    async def _cut(self, fault: Fault) -> None:
        """Cut the targets off from all others, or only from the other control processes."""
        others = set(self._processes.ids()) - set(fault.targets)
        if fault.kind is FaultKind.SPLIT:
            others &= set(self._deployment.control_addresses())
        relays = self._deployment.links.between(set(fault.targets), others)
        with self._deployment.disturbed_links(fault.targets):
            for relay in relays:
                relay.cut()
            await anyio.sleep(fault.duration_s)
            for relay in relays:
                relay.join()

    async def _silence(self, fault: Fault) -> None:
        others = set(self._processes.ids()) - set(fault.targets)
        # Odd ones in one direction only.
        both = fault.number % 2 == 0
        with self._deployment.disturbed_links(fault.targets):
            for relay in self._deployment.links.between(set(fault.targets), others):
                relay.silence(both=both)

    async def _delay(self, fault: Fault) -> None:
        others = set(self._processes.ids()) - set(fault.targets)
        relays = self._deployment.links.between(set(fault.targets), others)
        with self._deployment.disturbed_links(fault.targets):
            for relay in relays:
                if fault.kind is FaultKind.NARROW:
                    relay.bytes_per_s = NARROW_BYTES_PER_S
                else:
                    relay.delay_s = DELAY_S
            await anyio.sleep(fault.duration_s)
            for relay in relays:
                relay.delay_s = relay.bytes_per_s = 0.0

    async def _reset(self, fault: Fault) -> None:
        others = set(self._processes.ids()) - set(fault.targets)
        with self._deployment.disturbed_links(fault.targets):
            for relay in self._deployment.links.between(set(fault.targets), others):
                relay.reset()

    async def _burst(self, fault: Fault) -> None:
        stopped = anyio.Event()
        async with anyio.create_task_group() as group:
            for _ in range(BURST_CALLERS):
                group.start_soon(self._deployment.make_caller().run, stopped)
            await anyio.sleep(fault.duration_s)
            stopped.set()

    async def _deadly_job(self, fault: Fault) -> None:
        await self._deployment.make_caller().submit(DEADLY_SHAPE)

    async def _backend_leaves(self, fault: Fault) -> None:
        for slot in fault.targets:
            await self._fleet.leave(slot)

    async def _backend_flaps(self, fault: Fault) -> None:
        for _ in range(FLAPS):
            for slot in fault.targets:
                self._fleet.crash(slot)
            await anyio.sleep(fault.duration_s / FLAPS)

    async def _backend_shrinks(self, fault: Fault) -> None:
        shrunk = [self._fleet.backend_by_slot[slot] for slot in fault.targets]
        for backend in shrunk:
            backend.cpu //= 2
        await anyio.sleep(fault.duration_s)
        for backend in shrunk:
            backend.cpu *= 2

    async def _odd_announcements(self, fault: Fault) -> None:
        for slot in fault.targets:
            await self._fleet.announce_oddly(slot)

    def _is_known(self, process_id: str) -> bool:
        return process_id in self._processes.ids()

    def _start(self, targets: list[str]) -> None:
        for target in targets:
            if self._is_known(target):
                self._processes.start(target)
