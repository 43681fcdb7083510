"""Simulation of a small deployment that injects a fault at a given step of a job."""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from pathlib import Path
from typing import Any

import anyio
import anyio.abc
import anyio.lowlevel
import attrs
import logbook
import trio

from apricotpoint._bench.detachedbackend import DetachedBackend
from apricotpoint._bench.fakebackend import FakeBackend
from apricotpoint._bench.network import Delivery, Network
from apricotpoint._bench.pauses import ProcessPauses
from apricotpoint._bench.simulation import RunningEntry, Simulation
from apricotpoint._control.claims import make_claim_sender
from apricotpoint._control.registry import KeyRegistry
from apricotpoint._control.storage import Storage
from apricotpoint._core.counters import Counters
from apricotpoint._core.errors import ApricotError
from apricotpoint._core.keys import home_domain
from apricotpoint._core.timers import TimerService
from apricotpoint._dispatch.exchange import (
    BackendAddress,
    NotSentError,
    ResponseLostError,
    Start,
    StartResult,
)
from apricotpoint._settings.deployment import DeploymentSettings
from apricotpoint._settings.kind import TaskKindSettings
from apricotpoint._settings.workers import WorkerSettings
from apricotpoint._wire.jobs import Answer, Claim, ClaimReply, JobRequest

DOMAINS = ["a", "b", "c"]
COORDINATOR, HOLDER, OTHER_ENTRY = "a-1", "b-1", "c-1"
HOME_REGISTRY = "home-c"
WALL_CLOCK_START = 1_800_000_000

_log = logbook.Logger("bench")
_STEP_BY_SEND = {
    "Claim": "claim_sent",
    "ClaimReply": "claim_answered",
    "RunBatch": "batch_sent",
    "BatchResult": "batch_result_sent",
    "SubmitForward": "forward_sent",
    "AnswerForward": "forward_answered",
    "CancelForward": "forwarded",
    "CancelBatch": "cancel_sent",
}
_STEP_BY_DELIVERY = {"RunBatch": "batch_queued", "CancelBatch": "cancel_received"}


class StepNetwork(Network):
    """Network that reports steps, alters one message and delays those for paused processes.

    A step is the sending or delivery of a message from or to the coordinator.
    `alter` replaces the next message sent by the messages that it returns.
    """

    system: StepSimulation

    def __init__(self, **arguments: Any) -> None:
        super().__init__(**arguments)
        self.alter: Callable[[Delivery], list[Delivery]] | None = None
        self._undelivered_to_paused: list[Delivery] = []

    def post(self, delivery: Delivery) -> None:
        """Report the step that sending the message is, and queue it."""
        port = self.port_by_id.get(delivery.sender_id)
        if port is None or port.incarnation != delivery.from_incarnation:
            # A task of a killed process runs until its next checkpoint; what it sends is lost.
            return
        self._report_step(_STEP_BY_SEND, delivery)
        alter, self.alter = self.alter, None
        for item in alter(delivery) if alter else [delivery]:
            super().post(item)

    def deliver_to_resumed(self) -> None:
        """Deliver the messages that arrived for processes while they were paused."""
        for delivery in self._undelivered_to_paused:
            heapq.heappush(self._queue, delivery)
        self._undelivered_to_paused.clear()
        self._changed.set()

    def _deliver(self, delivery: Delivery, now: float) -> None:
        if delivery.receiver_id in self.system.pauses.paused:
            self._undelivered_to_paused.append(delivery)
            return
        super()._deliver(delivery, now)
        self._report_step(_STEP_BY_DELIVERY, delivery)

    def _report_step(self, step_by_type: dict[str, str], delivery: Delivery) -> None:
        step = step_by_type.get(type(delivery.message).__name__)
        # A second job, coordinated by another process, runs at the same time.
        if step is not None and COORDINATOR in (delivery.sender_id, delivery.receiver_id):
            self.system.step_reached(step)


class StepSimulation(Simulation):
    """Entry processes a-1, b-1 and c-1, the key registry of failure domain c, and backend servers.

    `backend_domains` has the failure domain, one letter, of each backend server.
    `step_reached` runs `fault` when `step` is reached for the first time, and sets
    `reached_at`. The job under test has task ids that begin with "main."; the
    test sets `cancel_main` and `resubmit_main`, and `others` has request, answer
    and response time of its other jobs. `blocked_links` has pairs of failure
    domains (sender, receiver) between which no message passes. After `sync_error`
    is set, each sync of the key registry fails with it. `on_running` is called
    once, when the first task of the job under test starts.
    """

    network: StepNetwork

    def __init__(self, folder: Path, backend_domains: str) -> None:
        self._backend_domains = backend_domains
        deployment = DeploymentSettings(
            name="matrix",
            region="r",
            service="hem",
            failure_domains=DOMAINS,
            workers=WorkerSettings(count=len(backend_domains), cores=32, memory_mb=1024, slots=2),
            kinds=[TaskKindSettings(name="check", median_s=0.1)],
            entry_weights=[1.0],
            teams=["t"],
        )
        super().__init__(deployment, policy="predicted", seed=1)
        self.network = StepNetwork(latency_s=self._latency_s, is_blocked=self.is_blocked)
        self.network.system = self
        self.blocked_links: set[tuple[str, str]] = set()
        self.pauses: ProcessPauses
        self.group: anyio.abc.TaskGroup
        self.calls_by_entry: dict[str, anyio.abc.TaskGroup] = {}
        self.step = ""
        self.fault: Callable[[StepSimulation], None] | None = None
        self.reached_at: float | None = None
        self.backend_id = "w-01"
        self.cancel_main: Callable[[], Awaitable[object]]
        self.resubmit_main: Callable[[], Awaitable[object]]
        self.on_running: Callable[[], None] | None = None
        self.ever_paused: set[str] = set()
        self.others: list[tuple[JobRequest, Answer, float]] = []
        self.sync_error: OSError | None = None
        self._folder = folder
        self._home_registry_scope: anyio.CancelScope

    def step_reached(self, step: str, *, backend_id: str = "") -> None:
        """Inject the fault if it is planned for this step and was not injected before.

        `backend_id` names the backend server at which the step was reached.
        """
        if step == "backend_running" and self.on_running is not None:
            on_running, self.on_running = self.on_running, None
            on_running()
        if self.fault is None or step != self.step:
            return
        fault, self.fault = self.fault, None
        self.backend_id = backend_id or self.backend_id
        self.reached_at = anyio.current_time()
        fault(self)

    def backends(self) -> list[DetachedBackend]:
        """Return all backend servers."""
        return [item for item in self.backend_by_id.values() if isinstance(item, DetachedBackend)]

    def starts(self) -> Counter[str]:
        """Return the number of starts of each task, by task id."""
        return sum((item.count_by_task for item in self.backends()), Counter())

    def is_blocked(self, first: str, second: str) -> bool:
        """Return whether messages from the first process to the second are blocked."""
        return (self.domain_by_process[first], self.domain_by_process[second]) in self.blocked_links

    def call_later(self, seconds: float, action: Callable[[], Any]) -> None:
        """Call `action` after a delay and await what it returns if that is awaitable."""

        async def later() -> None:
            await anyio.sleep(seconds)
            done = action()
            if isinstance(done, Awaitable):
                await done

        self.group.start_soon(later)

    def block_links(self, *pairs: tuple[str, str], heal_s: float) -> None:
        """Block pairs of failure domains (sender, receiver) for `heal_s` seconds."""
        self.blocked_links.update(pairs)

        def heal() -> None:
            self.blocked_links.difference_update(pairs)
            self.network.release_blocked()

        self.call_later(heal_s, heal)

    def pause(self, process: str, seconds: float) -> None:
        """Pause a process and resume it after `seconds`."""
        self.pauses.pause(process)
        self.ever_paused.add(process)

        def resume() -> None:
            self.pauses.resume(process)
            self.network.deliver_to_resumed()

        self.call_later(seconds, resume)

    def kill_home_registry(self) -> None:
        """Kill the key registry; it restarts from its disk after 1.5 s."""
        self._home_registry_scope.cancel()
        self.network.remove(HOME_REGISTRY)
        self.call_later(1.5, lambda: self.group.start_soon(self._run_home_registry))

    def restart_entry(self, entry_id: str) -> None:
        """Kill an entry process; a new incarnation starts after 3 s."""
        self.kill_entry(entry_id)
        self.call_later(3.0, lambda: self.start_entry(entry_id, entry_id[0], 1.0))

    def make_caller_key(self, name: str) -> str:
        """Return a key beginning with `name` whose home domain is c."""
        keys = (f"{name}-{number}" for number in range(100))
        return next(key for key in keys if home_domain("t", key, DOMAINS) == "c")

    def spawn(self, entry_id: str, call: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Run a request handler as a task of an entry process; it ends with the process."""
        self.calls_by_entry[entry_id].start_soon(call)

    async def run_scenario(self, scenario: Callable[[StepSimulation], Awaitable[None]]) -> None:
        """Start the deployment, run a scenario in it and stop everything."""
        self.pauses = ProcessPauses()
        async with anyio.create_task_group() as group:
            self.group = self._group = group
            group.start_soon(self.network.run)
            self.domain_by_process[HOME_REGISTRY] = "home"
            await group.start(self._run_home_registry)
            await self.start_entries()
            # The entry processes need each other's load reports to give a backend
            # server a lease holder in its own failure domain.
            await anyio.sleep(0.3)
            for backend in self.backend_by_id.values():
                group.start_soon(self._announce_periodically, backend)
            await anyio.sleep(0.3)
            await scenario(self)
            group.cancel_scope.cancel()

    async def _run_entry(
        self,
        running: RunningEntry,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        entry_id = running.entry.entry_id
        self.pauses.root_task_by_process[entry_id] = trio.lowlevel.current_task()
        with running.scope:
            async with running.entry, anyio.create_task_group() as calls:
                self.calls_by_entry[entry_id] = calls
                task_status.started()
                await anyio.sleep_forever()

    async def _run_home_registry(
        self, *, task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        storage = Storage(self._folder, sync=self._sync)
        timers = TimerService(wall_clock=lambda: WALL_CLOCK_START + anyio.current_time())
        registry = KeyRegistry(storage, timers=timers, counters=Counters(), disk_replaced_at=None)
        with anyio.CancelScope() as self._home_registry_scope:
            await registry.open()
            port = self.network.add(HOME_REGISTRY, int(anyio.current_time() * 1000) + 1)

            async def claim(_: object, message: Any) -> object:
                try:
                    reply = await registry.claim(message)
                except ApricotError as error:
                    # A control process that cannot store a claim exits without an answer.
                    _log.notice("{} ends: a claim cannot be stored: {}", HOME_REGISTRY, error)
                    self.network.remove(HOME_REGISTRY)
                    await anyio.sleep_forever()
                self.step_reached("claim_synced")
                # Lets a kill at this step take effect before the reply is sent.
                await anyio.lowlevel.checkpoint()
                return reply

            port.request_handlers_by_type[Claim] = claim
            task_status.started()
            await port.run()

    async def _sync(self, _: int) -> None:
        await anyio.sleep(0.002)
        if self.sync_error is not None:
            raise self.sync_error

    async def _claim_key(self, claim: Claim) -> ClaimReply:
        port = self.network.port_by_id.get(claim.entry_id)
        if port is None:
            # The entry process was killed, so the claim must not return.
            await anyio.sleep_forever()
        assert port is not None
        return await make_claim_sender(port, {"c": HOME_REGISTRY}, DOMAINS)(claim)

    async def _announce_periodically(self, backend: FakeBackend) -> None:
        # The reply to the first announcement names a lease holder; the second is sent to it.
        await self._announce_once(backend)
        await anyio.sleep(0.05)
        await self._announce_once(backend)
        await super()._announce_periodically(backend)

    async def _announce_once(self, backend: FakeBackend) -> None:
        assert isinstance(backend, DetachedBackend)
        if anyio.current_time() < backend.announcements_paused_until:
            return
        reachable = [
            running
            for entry_id, running in self.running_by_id.items()
            if entry_id not in self.pauses.paused and not self._backend_blocked(entry_id, backend)
        ]
        if backend.dead or not reachable:
            return
        running = self.random.choice(reachable)
        backend.apply(running.entry.holder.handle_announcement(backend.announcement()))

    def _backend_blocked(self, entry_id: str, backend: FakeBackend) -> bool:
        # A TCP connection needs both directions.
        ids = entry_id, backend.backend_id
        return self.is_blocked(*ids) or self.is_blocked(*reversed(ids))

    async def _send(
        self, entry_id: str, address: BackendAddress, starts: list[Start]
    ) -> AsyncIterator[StartResult]:
        if self.backend_by_id[address.backend_id].incarnation != address.incarnation:
            raise NotSentError(f"{address.backend_id} has restarted since its announcement")
        async for result in super()._send(entry_id, address, starts):
            yield result

    async def _fetch_result(
        self, entry_id: str, address: BackendAddress, start_id: str
    ) -> StartResult:
        backend = self.backend_by_id[address.backend_id]
        assert isinstance(backend, DetachedBackend)
        await anyio.sleep(0.001)
        if (
            backend.dead
            or self._backend_blocked(entry_id, backend)
            or backend.incarnation != address.incarnation
        ):
            raise ResponseLostError(f"{backend.backend_id} is unreachable")
        return backend.fetch_result(start_id)

    async def _cancel(self, entry_id: str, address: BackendAddress, start_ids: list[str]) -> None:
        await super()._cancel(entry_id, address, start_ids)
        self.step_reached("backend_cancelled", backend_id=address.backend_id)

    def _make_backends(self) -> dict[str, FakeBackend]:
        plain_backends = super()._make_backends()
        backends: dict[str, FakeBackend] = {}
        for domain, (backend_id, plain_backend) in zip(
            self._backend_domains, plain_backends.items(), strict=True
        ):
            fields: dict[str, Any] = {
                str(field.alias): getattr(plain_backend, field.name)
                for field in attrs.fields(FakeBackend)
                if field.init
            }
            fields |= {"failure_domain": domain, "speed": 1.0}
            backends[backend_id] = DetachedBackend(**fields, system=self)
            self.domain_by_process[backend_id] = domain
        return backends
