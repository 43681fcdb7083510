"""Fakes of the parts that the coordinator uses, and a small system of entry processes."""

from __future__ import annotations

import contextlib
import random
from collections.abc import AsyncIterator, Awaitable, Callable

import anyio
import attrs
import trio.testing

from apricotpoint._core.counters import Counters
from apricotpoint._core.timers import TimerService
from apricotpoint._jobs.coordinator import Coordinator
from apricotpoint._jobs.table import JobTable
from apricotpoint._link.transport import PeerUnreachable, Sender
from apricotpoint._wire.configuration import Configuration, ServiceConfig, TeamConfig
from apricotpoint._wire.jobs import Claim, ClaimReply, JobRequest
from apricotpoint._wire.load import BackendLoad, LoadReport
from apricotpoint._wire.tasks import (
    BatchResult,
    CancelBatch,
    OutcomeStatus,
    RunBatch,
    TaskOutcome,
    TaskSpec,
)

WALL_START = 1_800_000_000.0
CONFIGURATION = Configuration(
    version=3,
    service_by_name={"hem": ServiceConfig("hem"), "none": ServiceConfig("none")},
    team_by_name={"t": TeamConfig("t"), "small": TeamConfig("small", quota_tasks=8)},
)


@attrs.frozen
class FakeEntryView:
    """An entry process with its load report, as the cluster view returns it."""

    entry_id: str
    incarnation: int
    report: LoadReport
    age_s: float


class FakeHolder:
    """A lease holder that records batches and reports DONE for their tasks after `run_s` seconds.

    If `run_s` is None, a test reports the outcomes. `starts` lists the start ids of
    the tasks that ran.
    """

    def __init__(self, entry: FakeEntry) -> None:
        self.entry = entry
        self.run_s: float | None = 0.1
        self.loads = [load(f"{entry.entry_id}-b")]
        self.queued_s = 0.0
        self.batches: list[tuple[RunBatch, Callable[[BatchResult], None]]] = []
        self.cancels: list[list[int]] = []
        self.cancel_outcome = OutcomeStatus.NOT_STARTED
        self.starts: list[str] = []

    def run(
        self, coordinator: Sender, batch: RunBatch, reply: Callable[[BatchResult], None]
    ) -> None:
        """Record a batch, and run it if `run_s` is set."""
        self.batches.append((batch, reply))
        if self.run_s is not None:
            self.entry.system.group.start_soon(self._run, len(self.batches) - 1, self.run_s)

    async def _run(self, number: int, run_s: float) -> None:
        await anyio.sleep(run_s)
        self.report(number)

    def report(self, number: int, status: OutcomeStatus = OutcomeStatus.DONE) -> None:
        """Report the same outcome for all tasks of the batch with this index."""
        batch, reply = self.batches[number]
        if status is not OutcomeStatus.NOT_STARTED:
            self.starts += [item.start_id for item in batch.tasks]
        outcomes = [
            TaskOutcome(item.start_id, status, value=item.spec.payload, run_s=0.1)
            for item in batch.tasks
        ]
        reply(BatchResult(batch.batch_id, outcomes))

    def cancel(self, coordinator: Sender, batch_ids: list[int]) -> None:
        """Report `cancel_outcome` for all tasks of the batches."""
        self.cancels.append(batch_ids)
        for number, (batch, _) in enumerate(self.batches):
            if batch.batch_id in batch_ids:
                self.report(number, self.cancel_outcome)

    def backend_loads(self) -> list[BackendLoad]:
        """Return the loads that the test has set."""
        return self.loads

    def queued_s_by_service(self) -> dict[str, float]:
        """Return the queued run time that the test has set."""
        return {"hem": self.queued_s}

    def queued_tasks(self) -> int:
        """Return the number of queued tasks of 0.1 s each."""
        return int(self.queued_s * 10)


class FakeEstimator:
    """Predicts the declared run time, or 0.1 s without one."""

    def estimate(self, service: str, kind: str, declared_s: float | None) -> float:
        """Return the declared run time."""
        return 0.1 if declared_s is None else declared_s

    def observe(self, service: str, kind: str, declared_s: float | None, work_s: float) -> None:
        """Ignore a run."""
        pass


class FakeTransport:
    """Delivers messages immediately, unless the sender or the peer is isolated."""

    def __init__(self, entry: FakeEntry) -> None:
        self.entry = entry
        self.handlers_by_type: dict = {}
        self.request_handlers_by_type: dict = {}
        self.sent: list[tuple[str, object]] = []

    def send(self, peer_id: str, message: object, *, reliable: bool = False) -> bool:
        """Deliver a message to the lease holder of the peer; False if the peer is unknown."""
        self.sent.append((peer_id, message))
        peer = self.entry.system.reachable_entry(self.entry.entry_id, peer_id)
        if peer is None:
            return peer_id in self.entry.system.entry_by_id
        sender = Sender(self.entry.entry_id, self.entry.incarnation)
        if isinstance(message, RunBatch):
            peer_sender = Sender(peer.entry_id, peer.incarnation)

            def reply(result: BatchResult) -> None:
                if self.entry.system.reachable_entry(peer.entry_id, self.entry.entry_id):
                    self.handlers_by_type[BatchResult](peer_sender, result)

            peer.holder.run(sender, message, reply)
        elif isinstance(message, CancelBatch):
            peer.holder.cancel(sender, message.batch_ids)
        return True

    async def request(self, peer_id: str, message: object, *, timeout_s: float) -> object:
        """Return the reply of the request handler of the peer."""
        self.sent.append((peer_id, message))
        peer = self.entry.system.reachable_entry(self.entry.entry_id, peer_id)
        if peer is None:
            await anyio.sleep(timeout_s)
            raise PeerUnreachable(peer_id)
        handler = peer.transport.request_handlers_by_type[type(message)]
        sender = Sender(self.entry.entry_id, self.entry.incarnation)
        with anyio.move_on_after(timeout_s):
            return await handler(sender, message)
        raise PeerUnreachable(peer_id)

    def peers(self) -> list[str]:
        """Return the ids of all entry processes."""
        return list(self.entry.system.entry_by_id)

    def seconds_since_contact(self, peer_id: str) -> float:
        """Return 0: every peer is in contact."""
        return 0.0

    def incarnation_of(self, peer_id: str) -> int | None:
        """Return the incarnation of the peer that runs now."""
        peer = self.entry.system.entry_by_id.get(peer_id)
        return None if peer is None else peer.incarnation


class FakeEntry:
    """An entry process with its coordinator; it also implements its cluster view."""

    def __init__(self, system: FakeSystem, entry_id: str, incarnation: int) -> None:
        self.system = system
        self.entry_id = entry_id
        self.incarnation = incarnation
        self.counters = Counters()
        self.transport = FakeTransport(self)
        self.holder = FakeHolder(self)
        self.draining = False
        self.coordinator = Coordinator(
            entry_id=entry_id,
            incarnation=incarnation,
            failure_domain="puebla",
            transport=self.transport,
            timers=system.timers,
            counters=self.counters,
            random=random.Random(7),
            holder=self.holder,
            cluster=self,
            estimator=FakeEstimator(),
            claim=lambda claim: system.home(self.entry_id, claim),
            configuration=lambda: system.configuration,
            configuration_current=lambda: True,
            caller_address=f"http://{entry_id}",
            drain_grace_s=system.drain_grace_s,
            table=system.make_table(),
        )

    def live_entries(self, max_age_s: float) -> list[FakeEntryView]:
        """Return the entry processes that are reachable from this one."""
        return [
            FakeEntryView(entry.entry_id, entry.incarnation, entry.make_report(), 0.1)
            for entry in self.system.entry_by_id.values()
            if self.system.reachable_entry(self.entry_id, entry.entry_id)
        ]

    def unreachable_entries(self, max_age_s: float) -> list[str]:
        """Return the ids of the entry processes that are not reachable from this one."""
        return [
            entry_id
            for entry_id in self.system.entry_by_id
            if not self.system.reachable_entry(self.entry_id, entry_id)
        ]

    def report_for(self, entry_id: str) -> LoadReport | None:
        """Return no report: `live_entries` reads the current state instead."""
        return None

    def record_report(self, sender: Sender, report: LoadReport) -> None:
        """Ignore a report, since `live_entries` reads the current state."""

    def make_report(self) -> LoadReport:
        """Return the current load of this entry process."""
        return LoadReport(
            config_version=3,
            draining=self.draining,
            weight=1.0,
            held_slots=8,
            backends=self.holder.loads,
            queued_s_by_service={"hem": self.holder.queued_s},
            queued_tasks=self.holder.queued_tasks(),
            failure_domain="puebla",
            caller_address=f"http://{self.entry_id}",
            tasks_by_team=self.coordinator.tasks_by_team(),
        )


class FakeSystem:
    """Entry processes and one key registry, with faults between them.

    Entry processes in `isolated_ids` reach only themselves and the key registry. While
    `home_unreachable` is set, claims get no reply.
    """

    def __init__(self, group: anyio.abc.TaskGroup, timers: TimerService) -> None:
        self.group = group
        self.timers = timers
        self.configuration = CONFIGURATION
        self.make_table: Callable[[], JobTable] = JobTable
        self.drain_grace_s = 6.0
        self.isolated_ids: set[str] = set()
        self.home_unreachable = False
        self.home_delay_s = 0.0
        self.claim_by_key: dict[str, Claim] = {}
        self.entry_by_id: dict[str, FakeEntry] = {}

    def reachable_entry(self, source: str, target: str) -> FakeEntry | None:
        """Return the target; None if it is isolated from the source or not running."""
        if source != target and {source, target} & self.isolated_ids:
            return None
        return self.entry_by_id.get(target)

    async def home(self, source: str, claim: Claim) -> ClaimReply:
        """Answer a claim as the key registry of the home domain does."""
        if self.home_unreachable:
            await anyio.sleep(1.0)
            raise PeerUnreachable("home")
        known = self.claim_by_key.get(claim.key)
        if known is None and not claim.check_only:
            self.claim_by_key[claim.key] = claim
        await anyio.sleep(self.home_delay_s)
        if known is None:
            return ClaimReply(4000)
        if known.fingerprint != claim.fingerprint:
            return ClaimReply(2107)
        return ClaimReply(4000, known.entry_id, known.incarnation, existing=True)

    async def start(self, entry_id: str, incarnation: int = 1) -> FakeEntry:
        """Start an incarnation of an entry process, which replaces the one with this id."""
        entry = FakeEntry(self, entry_id, incarnation)
        self.entry_by_id[entry_id] = entry
        started = anyio.Event()

        async def run() -> None:
            async with entry.coordinator:
                started.set()
                await anyio.sleep_forever()

        self.group.start_soon(run)
        await started.wait()
        return entry

    def all_start_ids(self) -> list[str]:
        """Return the start ids of the tasks that ran at the current lease holders."""
        return [start for entry in self.entry_by_id.values() for start in entry.holder.starts]


@contextlib.asynccontextmanager
async def running_system() -> AsyncIterator[tuple[FakeSystem, FakeEntry, FakeEntry]]:
    origin = anyio.current_time()
    timers = TimerService(wall_clock=lambda: WALL_START + anyio.current_time() - origin)
    async with timers, anyio.create_task_group() as group:
        system = FakeSystem(group, timers)
        yield system, await system.start("a"), await system.start("b")
        group.cancel_scope.cancel()


Scenario = Callable[[FakeSystem, FakeEntry, FakeEntry], Awaitable[None]]


def run_scenario(scenario: Scenario) -> None:
    """Run a scenario in virtual time; it fails after 1,000 s of virtual time."""

    async def main() -> None:
        with anyio.fail_after(1_000):
            async with running_system() as (system, a, b):
                await scenario(system, a, b)

    # Trio shuffles tasks that are ready at the same time; a fixed seed makes their order
    # reproducible.
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True  # noqa: SLF001
    trio._core._run._r.seed(11)  # noqa: SLF001
    clock = trio.testing.MockClock(autojump_threshold=0)
    anyio.run(main, backend="trio", backend_options={"clock": clock})


def load(backend_id: str, *, slots: int = 8, free: int = 8, speed: float = 1.0) -> BackendLoad:
    return BackendLoad(
        backend_id=backend_id,
        service="hem",
        failure_domain="puebla",
        slots=slots,
        free_slots=free,
        speed=speed,
        available=True,
        cores=32,
        memory_mb=128_000,
        accelerators=0,
    )


def request(
    key: str,
    tasks: int = 1,
    *,
    deadline_ms: int = 1_000,
    team: str = "t",
    service: str = "hem",
    valid_for_s: int | None = 60,
    **spec: object,
) -> JobRequest:
    valid_until = (
        None if key.startswith("~") or valid_for_s is None else int(WALL_START) + valid_for_s
    )
    specs = [TaskSpec("cut", payload=i, **spec) for i in range(tasks)]
    return JobRequest(key, team, service, deadline_ms, specs, valid_until)


async def submit_and_append(entry: FakeEntry, job: JobRequest, answers: list) -> None:
    """Submit a job and append its answer to `answers`."""
    answers.append(await entry.coordinator.submit(job))
