"""A small deployment on virtual time that reports the steps of its requests."""

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
from apricotpoint._settings.kind import KindSettings
from apricotpoint._settings.workers import WorkerSettings
from apricotpoint._wire.jobs import Answer, Claim, ClaimReply, JobRequest

DOMAINS = ["a", "b", "c"]
COORDINATOR, HOLDER, OTHER_ENTRY = "a-1", "b-1", "c-1"
HOME_REGISTRY = "home-c"
WALL_CLOCK_START = 1_800_000_000
_STEP_BY_MESSAGE = {
    "Claim": "claim_sent",
    "ClaimReply": "claim_answered",
    "RunBatch": "batch_sent",
    "BatchResult": "batch_result_sent",
    "SubmitForward": "forward_sent",
    "AnswerForward": "forward_answered",
    "CancelForward": "forwarded",
    "CancelBatch": "cancel_sent",
}
_STEP_BY_RECEIPT = {"RunBatch": "batch_queued", "CancelBatch": "cancel_received"}


class StepNetwork(Network):
    """Reports messages as steps, alters one of them, and holds those of paused processes."""

    system: StepSimulation

    def __init__(self, **arguments: Any) -> None:
        super().__init__(**arguments)
        self.alter: Callable[[Delivery], list[Delivery]] | None = None
        self._for_paused: list[Delivery] = []

    def post(self, delivery: Delivery) -> None:
        """Report the step of a message and queue it."""
        port = self.port_by_id.get(delivery.sender_id)
        if port is None or port.incarnation != delivery.from_incarnation:
            # A task of a killed process may run one step before it ends.
            return
        self._reach(_STEP_BY_MESSAGE, delivery)
        alter, self.alter = self.alter, None
        for item in alter(delivery) if alter else [delivery]:
            super().post(item)

    def release_paused(self) -> None:
        """Deliver what arrived for paused processes."""
        for delivery in self._for_paused:
            heapq.heappush(self._queue, delivery)
        self._for_paused.clear()
        self._changed.set()

    def _deliver(self, delivery: Delivery, now: float) -> None:
        if delivery.receiver_id in self.system.pauses.paused:
            self._for_paused.append(delivery)
            return
        super()._deliver(delivery, now)
        self._reach(_STEP_BY_RECEIPT, delivery)

    def _reach(self, step_by_message: dict[str, str], delivery: Delivery) -> None:
        step = step_by_message.get(type(delivery.message).__name__)
        # The neighbour job is coordinated by another process.
        if step is not None and COORDINATOR in (delivery.sender_id, delivery.receiver_id):
            self.system.step_reached(step)


class StepSimulation(Simulation):
    """Entry processes a-1, b-1 and c-1, a key registry in c and backend servers.

    `reach` runs the planned fault when its step is reached for the first time.
    `blocked_links` has pairs of failure domains (sender, receiver).
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
            kinds=[KindSettings(name="check", median_s=0.1)],
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
        self._home_scope: anyio.CancelScope

    def step_reached(self, step: str, *, backend_id: str = "") -> None:
        """Cause the fault if it is planned for this step."""
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
        """Return how often each task started."""
        return sum((item.count_by_task for item in self.backends()), Counter())

    def is_blocked(self, first: str, second: str) -> bool:
        """Return whether messages of the first process do not reach the second."""
        return (self.domain_by_process[first], self.domain_by_process[second]) in self.blocked_links

    def call_later(self, seconds: float, action: Callable[[], Any]) -> None:
        """Do something later; a coroutine function is awaited."""

        async def later() -> None:
            await anyio.sleep(seconds)
            done = action()
            if isinstance(done, Awaitable):
                await done

        self.group.start_soon(later)

    def block_links(self, *pairs: tuple[str, str], heal_s: float) -> None:
        """Cut failure domains for a time."""
        self.blocked_links.update(pairs)

        def heal() -> None:
            self.blocked_links.difference_update(pairs)
            self.network.release_blocked()

        self.call_later(heal_s, heal)

    def pause(self, process: str, seconds: float) -> None:
        """Pause a process and wake it later."""
        self.pauses.pause(process)
        self.ever_paused.add(process)

        def wake() -> None:
            self.pauses.resume(process)
            self.network.release_paused()

        self.call_later(seconds, wake)

    def kill_home_registry(self) -> None:
        """Kill the key registry; it restarts with its disk 1.5 s later."""
        self._home_scope.cancel()
        self.network.remove(HOME_REGISTRY)
        self.call_later(1.5, lambda: self.group.start_soon(self._serve_home))

    def restart_entry(self, entry_id: str) -> None:
        """Kill an entry process; a new incarnation starts 3 s later."""
        self.kill_entry(entry_id)
        self.call_later(3.0, lambda: self.start_entry(entry_id, entry_id[0], 1.0))

    def make_caller_key(self, name: str) -> str:
        """Return a caller key whose home is in failure domain c."""
        keys = (f"{name}-{number}" for number in range(100))
        return next(key for key in keys if home_domain("t", key, DOMAINS) == "c")

    def spawn(self, entry_id: str, call: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Run a request handler as a task of an entry process."""
        self.calls_by_entry[entry_id].start_soon(call)

    async def run_scenario(self, scenario: Callable[[StepSimulation], Awaitable[None]]) -> None:
        """Run a scenario in the started deployment."""
        self.pauses = ProcessPauses()
        async with anyio.create_task_group() as group:
            self.group = self._group = group
            group.start_soon(self.network.run)
            self.domain_by_process[HOME_REGISTRY] = "home"
            await group.start(self._serve_home)
            await self.start_entries()
            # With load reports of all entry processes a backend server gets a
            # holder in its own failure domain.
            await anyio.sleep(0.3)
            for backend in self.backend_by_id.values():
                group.start_soon(self._announce, backend)
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

    async def _serve_home(
        self, *, task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        storage = Storage(self._folder, sync=self._sync)
        timers = TimerService(wall=lambda: WALL_CLOCK_START + anyio.current_time())
        registry = KeyRegistry(storage, timers=timers, counters=Counters(), disk_replaced_at=None)
        with anyio.CancelScope() as self._home_scope:
            await registry.open()
            port = self.network.add(HOME_REGISTRY, int(anyio.current_time() * 1000) + 1)

            async def claim(_: object, message: Any) -> object:
                try:
                    reply = await registry.claim(message)
                except Exception:
                    # The control process ends without an answer.
                    self.network.remove(HOME_REGISTRY)
                    await anyio.sleep_forever()
                self.step_reached("claim_synced")
                # A kill at this step takes effect before the reply is sent.
                await anyio.lowlevel.checkpoint()
                return reply

            port.request_handlers_by_type[Claim] = claim
            task_status.started()
            await port.run()

    async def _sync(self, _: int) -> None:
        await anyio.sleep(0.002)
        if self.sync_error is not None:
            raise self.sync_error

    async def _claim(self, claim: Claim) -> ClaimReply:
        port = self.network.port_by_id.get(claim.entry_id)
        if port is None:
            # The entry process was killed in this moment.
            await anyio.sleep_forever()
        assert port is not None
        return await make_claim_sender(port, {"c": HOME_REGISTRY}, DOMAINS)(claim)

    async def _announce(self, worker: FakeBackend) -> None:
        # The first announcement is answered with a holder, the second reaches it.
        await self._announce_once(worker)
        await anyio.sleep(0.05)
        await self._announce_once(worker)
        await super()._announce(worker)

    async def _announce_once(self, worker: FakeBackend) -> None:
        assert isinstance(worker, DetachedBackend)
        if anyio.current_time() < worker.announcements_paused_until:
            return
        reachable = [
            running
            for entry_id, running in self.running_by_id.items()
            if entry_id not in self.pauses.paused and not self._worker_cut(entry_id, worker)
        ]
        if worker.dead or not reachable:
            return
        running = self.random.choice(reachable)
        worker.apply(running.entry.holder.announce(worker.announcement()))

    def _worker_cut(self, entry_id: str, worker: FakeBackend) -> bool:
        # A connection needs both directions.
        ids = entry_id, worker.backend_id
        return self.is_blocked(*ids) or self.is_blocked(*reversed(ids))

    async def _send(
        self, entry_id: str, address: BackendAddress, starts: list[Start]
    ) -> AsyncIterator[StartResult]:
        if self.backend_by_id[address.backend_id].incarnation != address.incarnation:
            raise NotSentError("another incarnation")
        async for result in super()._send(entry_id, address, starts):
            yield result

    async def _ask(self, entry_id: str, address: BackendAddress, start_id: str) -> StartResult:
        backend = self.backend_by_id[address.backend_id]
        assert isinstance(backend, DetachedBackend)
        await anyio.sleep(0.001)
        if (
            backend.dead
            or self._worker_cut(entry_id, backend)
            or backend.incarnation != address.incarnation
        ):
            raise ResponseLostError(f"{backend.backend_id} cannot be asked")
        return backend.ask(start_id)

    async def _cancel(self, entry_id: str, address: BackendAddress, start_ids: list[str]) -> None:
        await super()._cancel(entry_id, address, start_ids)
        self.step_reached("backend_cancelled", backend_id=address.backend_id)

    def _make_workers(self) -> dict[str, FakeBackend]:
        workers = super()._make_workers()
        backends: dict[str, FakeBackend] = {}
        for domain, (backend_id, worker) in zip(
            self._backend_domains, workers.items(), strict=True
        ):
            fields: dict[str, Any] = {
                str(field.alias): getattr(worker, field.name)
                for field in attrs.fields(FakeBackend)
                if field.init
            }
            fields |= {"failure_domain": domain, "speed": 1.0}
            backends[backend_id] = DetachedBackend(**fields, system=self)
            self.domain_by_process[backend_id] = domain
        return backends
