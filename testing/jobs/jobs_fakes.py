"""Stand-ins for the parts around the coordinator, and a small system of entry processes."""

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

WALL = 1_800_000_000.0
CONFIGURATION = Configuration(
    version=3,
    service_by_name={"hem": ServiceConfig("hem"), "none": ServiceConfig("none")},
    team_by_name={"t": TeamConfig("t"), "small": TeamConfig("small", quota_tasks=8)},
)


@attrs.frozen
class FakeEntryView:
    """A load report with its sender."""

    entry_id: str
    incarnation: int
    report: LoadReport
    age_s: float


class FakeHolder:
    """Records batches; runs them for `run_s` if it is set, else a test reports the outcomes."""

    def __init__(self, entry: FakeEntry) -> None:
        self.entry = entry
        self.run_s: float | None = 0.1
        self.loads = [load(f"{entry.entry_id}-b")]
        self.queued_s = 0.0
        self.batches: list[tuple[RunBatch, Callable[[BatchResult], None]]] = []
        self.cancels: list[list[int]] = []
        self.on_cancel = OutcomeStatus.NOT_STARTED
        self.starts: list[str] = []

    def run(
        self, coordinator: Sender, batch: RunBatch, reply: Callable[[BatchResult], None]
    ) -> None:
        """Keep a batch and start it."""
        self.batches.append((batch, reply))
        if self.run_s is not None:
            self.entry.system.group.start_soon(self._run, len(self.batches) - 1, self.run_s)

    async def _run(self, number: int, run_s: float) -> None:
        await anyio.sleep(run_s)
        self.report(number)

    def report(self, number: int, status: OutcomeStatus = OutcomeStatus.DONE) -> None:
        """Report one outcome for all tasks of a batch."""
        batch, reply = self.batches[number]
        if status is not OutcomeStatus.NOT_STARTED:
            self.starts += [item.start_id for item in batch.tasks]
        outcomes = [
            TaskOutcome(item.start_id, status, value=item.spec.payload, run_s=0.1)
            for item in batch.tasks
        ]
        reply(BatchResult(batch.batch_id, outcomes))

    def cancel(self, coordinator: Sender, batch_ids: list[int]) -> None:
        """Report `on_cancel` for the batches."""
        self.cancels.append(batch_ids)
        for number, (batch, _) in enumerate(self.batches):
            if batch.batch_id in batch_ids:
                self.report(number, self.on_cancel)

    def backend_loads(self) -> list[BackendLoad]:
        """Return `loads`."""
        return self.loads

    def queued_s_by_service(self) -> dict[str, float]:
        """Return `queued_s`."""
        return {"hem": self.queued_s}

    def queued_tasks(self) -> int:
        """Return ten tasks for each queued second."""
        return int(self.queued_s * 10)


class FakeEstimator:
    """Believes every declaration."""

    def estimate(self, service: str, kind: str, declared_s: float | None) -> float:
        """Return the declared run time."""
        return 0.1 if declared_s is None else declared_s

    def observe(self, service: str, kind: str, declared_s: float | None, work_s: float) -> None:
        """Learn nothing."""
        pass


class FakeTransport:
    """Passes messages at once, unless a cut is in the way."""

    def __init__(self, entry: FakeEntry) -> None:
        self.entry = entry
        self.handlers_by_type: dict = {}
        self.request_handlers_by_type: dict = {}
        self.sent: list[tuple[str, object]] = []

    def send(self, peer_id: str, message: object, *, reliable: bool = False) -> bool:
        """Handle a message at the peer."""
        self.sent.append((peer_id, message))
        peer = self.entry.system.reach(self.entry.entry_id, peer_id)
        if peer is None:
            return peer_id in self.entry.system.entry_by_id
        sender = Sender(self.entry.entry_id, self.entry.incarnation)
        if isinstance(message, RunBatch):
            me = Sender(peer.entry_id, peer.incarnation)

            def reply(result: BatchResult) -> None:
                if self.entry.system.reach(peer.entry_id, self.entry.entry_id):
                    self.handlers_by_type[BatchResult](me, result)

            peer.holder.run(sender, message, reply)
        elif isinstance(message, CancelBatch):
            peer.holder.cancel(sender, message.batch_ids)
        return True

    async def request(self, peer_id: str, message: object, *, timeout_s: float) -> object:
        """Call the request handler of the peer."""
        self.sent.append((peer_id, message))
        peer = self.entry.system.reach(self.entry.entry_id, peer_id)
        if peer is None:
            await anyio.sleep(timeout_s)
            raise PeerUnreachable(peer_id)
        handler = peer.transport.request_handlers_by_type[type(message)]
        sender = Sender(self.entry.entry_id, self.entry.incarnation)
        with anyio.move_on_after(timeout_s):
            return await handler(sender, message)
        raise PeerUnreachable(peer_id)

    def peers(self) -> list[str]:
        """Return all entry processes."""
        return list(self.entry.system.entry_by_id)

    def seconds_since_contact(self, peer_id: str) -> float:
        """Return 0."""
        return 0.0

    def incarnation_of(self, peer_id: str) -> int | None:
        """Return the incarnation that runs."""
        peer = self.entry.system.entry_by_id.get(peer_id)
        return None if peer is None else peer.incarnation


class FakeEntry:
    """One entry process; it is its own view of the cluster."""

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
        """Return the entry processes that are not cut off."""
        return [
            FakeEntryView(entry.entry_id, entry.incarnation, entry.make_report(), 0.1)
            for entry in self.system.entry_by_id.values()
            if self.system.reach(self.entry_id, entry.entry_id)
        ]

    def unreachable_entries(self, max_age_s: float) -> list[str]:
        """Return the entry processes that are cut off."""
        return [
            entry_id
            for entry_id in self.system.entry_by_id
            if not self.system.reach(self.entry_id, entry_id)
        ]

    def report_for(self, entry_id: str) -> LoadReport | None:
        """Add no report to messages: `live` reads the present state."""
        return None

    def record_report(self, sender: Sender, report: LoadReport) -> None:
        """Ignore a report."""

    def make_report(self) -> LoadReport:
        """Return the present load."""
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
    """Entry processes `a` and `b`, one home registry, and cuts between them."""

    def __init__(self, group: anyio.abc.TaskGroup, timers: TimerService) -> None:
        self.group = group
        self.timers = timers
        self.configuration = CONFIGURATION
        self.make_table: Callable[[], JobTable] = JobTable
        self.drain_grace_s = 6.0
        self.cut: set[str] = set()
        self.home_cut = False
        self.home_delay_s = 0.0
        self.claim_by_key: dict[str, Claim] = {}
        self.entry_by_id: dict[str, FakeEntry] = {}

    def reach(self, source: str, target: str) -> FakeEntry | None:
        """Return the target unless a cut separates it."""
        if source != target and {source, target} & self.cut:
            return None
        return self.entry_by_id.get(target)

    async def home(self, source: str, claim: Claim) -> ClaimReply:
        """Answer a claim as the key registry."""
        if self.home_cut:
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
        """Start an incarnation of an entry process."""
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

    def all_starts(self) -> list[str]:
        """Return the start ids of all holders."""
        return [start for entry in self.entry_by_id.values() for start in entry.holder.starts]


@contextlib.asynccontextmanager
async def running_system() -> AsyncIterator[tuple[FakeSystem, FakeEntry, FakeEntry]]:
    origin = anyio.current_time()
    timers = TimerService(wall=lambda: WALL + anyio.current_time() - origin)
    async with timers, anyio.create_task_group() as group:
        system = FakeSystem(group, timers)
        yield system, await system.start("a"), await system.start("b")
        group.cancel_scope.cancel()


Scenario = Callable[[FakeSystem, FakeEntry, FakeEntry], Awaitable[None]]


def play(scenario: Scenario) -> None:
    """Run a scenario on virtual time; it fails after 1,000 s of it."""

    async def main() -> None:
        with anyio.fail_after(1_000):
            async with running_system() as (system, a, b):
                await scenario(system, a, b)

    # Trio shuffles tasks that are ready at the same time; a fixed seed repeats the order.
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
    valid_until = None if key.startswith("~") or valid_for_s is None else int(WALL) + valid_for_s
    specs = [TaskSpec("cut", payload=i, **spec) for i in range(tasks)]
    return JobRequest(key, team, service, deadline_ms, specs, valid_until)


async def submit_later(entry: FakeEntry, job: JobRequest, answers: list) -> None:
    """Append the answer of a submission to `answers`."""
    answers.append(await entry.coordinator.submit(job))
