"""Test rig: a lease holder with a fake transport and fake backend servers on virtual time."""

from __future__ import annotations

import itertools
from collections.abc import AsyncIterator, Awaitable, Callable
from random import Random
from typing import Any

import anyio
import attrs
import trio.testing

from apricotpoint._core.counters import Counters
from apricotpoint._core.timers import TimerService
from apricotpoint._dispatch.cluster import Cluster
from apricotpoint._dispatch.estimator import RunTimeEstimator
from apricotpoint._dispatch.exchange import (
    BackendAddress,
    NotSentError,
    ResponseLostError,
    RunStatus,
    Start,
    StartResult,
)
from apricotpoint._dispatch.holder import LeaseHolder
from apricotpoint._link.transport import Handler, RequestHandler, Sender
from apricotpoint._wire.announce import Announcement, HolderName
from apricotpoint._wire.configuration import Configuration
from apricotpoint._wire.load import LoadReport
from apricotpoint._wire.tasks import BatchResult, BatchTask, RunBatch, TaskOutcome, TaskSpec

THIS_HOLDER = HolderName("e1", 1)
LOCAL_COORDINATOR = Sender("e1", 1)
LOAD_REPORT = LoadReport(1, False, 1.0, 0, [], {}, 0, "puebla", "")


@attrs.define
class FakeTransport:
    """Records sent messages; `accepts` False simulates a full queue of the link."""

    handlers_by_type: dict[type, Handler] = attrs.Factory(dict)
    request_handlers_by_type: dict[type, RequestHandler] = attrs.Factory(dict)
    incarnation_by_peer: dict[str, int] = attrs.Factory(dict)
    sent: list[tuple[str, object]] = attrs.Factory(list)
    accepts: bool = True

    def send(self, peer_id: str, message: object, *, reliable: bool = False) -> bool:
        """Record the message."""
        if self.accepts:
            self.sent.append((peer_id, message))
        return self.accepts

    def peers(self) -> list[str]:
        """Return the peers with an incarnation."""
        return list(self.incarnation_by_peer)

    def incarnation_of(self, peer_id: str) -> int | None:
        """Return the incarnation set by the test."""
        return self.incarnation_by_peer.get(peer_id)

    def receive(self, peer_id: str, message: object, incarnation: int = 1):
        """Deliver a message from a peer."""
        self.handlers_by_type[type(message)](Sender(peer_id, incarnation), message)


@attrs.define
class FakeBackend:
    """A simulated backend server.

    `mode` is the reaction to starts: ok, fail (each task), refuse, unreachable, lose
    (the response), hang, reverse (the order of results) or huge (results beyond 64 bits).
    `result_reply` is the reaction to a request for a result: result, running, unknown or lost.
    `silent` stops its announcements, which contain `extra_fields`.
    """

    backend_id: str
    speed: float = 1.0
    slots: int = 2
    mode: str = "ok"
    result_reply: str = "result"
    incarnation: int = 1
    sequence: int = 0
    holder: HolderName | None = THIS_HOLDER
    followed: bool = False
    running: int = 0
    extra_fields: dict[str, Any] = attrs.Factory(dict)
    silent: bool = False
    started_at: dict[str, float] = attrs.Factory(dict)
    exchanges: list[list[str]] = attrs.Factory(list)
    cancels: list[list[str]] = attrs.Factory(list)
    busy: int = 0
    max_busy: int = 0

    def announcement(self, clock_s: float) -> Announcement:
        """Return the next announcement."""
        self.sequence += 1
        identity = (self.backend_id, self.incarnation, self.sequence, clock_s)
        location = ("desk", "puebla", "r1", "127.0.0.1:1")
        holder_fields = {"holder": self.holder, "followed": self.followed, "running": self.running}
        return Announcement(
            *identity, *location, self.slots, 64, 32, 1000, **holder_fields, **self.extra_fields
        )


@attrs.define
class Rig:
    """The lease holder under test and its dependencies.

    `outcomes` and `outcome_at` are by start id.
    """

    clock: trio.testing.MockClock
    timers: TimerService
    transport: FakeTransport
    counters: Counters
    backend_by_id: dict[str, FakeBackend]
    estimator: RunTimeEstimator
    configuration: Configuration = attrs.Factory(Configuration)
    draining: bool = False
    outcomes: dict[str, TaskOutcome] = attrs.Factory(dict)
    outcome_at: dict[str, float] = attrs.Factory(dict)
    replies: list[BatchResult] = attrs.Factory(list)
    answered: anyio.Event = attrs.Factory(anyio.Event)
    _ids: itertools.count[int] = attrs.Factory(lambda: itertools.count(1))
    holder: LeaseHolder = attrs.field(init=False)
    cluster: Cluster = attrs.field(init=False)

    def report(self) -> LoadReport:
        """Return the load report of the process under test."""
        loads = self.holder.backend_loads()
        slots = sum(load.slots for load in loads)
        return LoadReport(1, self.draining, 1.0, slots, loads, {}, 0, "puebla", "")

    def announce_all(self):
        """Announce each backend server that is not silent, and have it name the holder replied."""
        for backend in self.backend_by_id.values():
            if not backend.silent:
                reply = self.holder.handle_announcement(backend.announcement(self.timers.now()))
                backend.followed |= backend.holder not in (None, reply.holder)
                backend.holder = reply.holder

    def run(
        self,
        count: int = 1,
        *,
        work_s: float = 0.1,
        sender: Sender = LOCAL_COORDINATOR,
        **options: Any,
    ) -> list[str]:
        """Queue a batch of equal tasks and return its start ids."""
        spec = TaskSpec("hem", **options.pop("spec", {}))
        slack_s = options.pop("slack_s", 0.0)
        batch_id = options.pop("batch_id", None) or next(self._ids)
        start_ids = [f"{batch_id}-{index}" for index in range(count)]
        tasks = [BatchTask(start_id, spec, work_s, 0, slack_s) for start_id in start_ids]
        fields = {"team": "a", "deadline_left_s": 10.0, "service": "desk"} | options
        batch = RunBatch(batch_id=batch_id, tasks=tasks, **fields)
        self.holder.run(sender, batch, self.reply)
        return start_ids

    async def learn_speeds(self, count: int):
        """Run 30 batches of equal tasks, so that the speeds are learned."""
        for _ in range(30):
            self.run(count)
            await anyio.sleep(2)

    def reply(self, result: BatchResult):
        """Record outcomes; fail the test if a task gets a second one."""
        self.replies.append(result)
        for outcome in result.outcomes:
            assert outcome.start_id not in self.outcomes, "a task got two outcomes"
            self.outcomes[outcome.start_id] = outcome
            self.outcome_at[outcome.start_id] = self.timers.now()
        self.answered.set()

    def status(self, start_id: str) -> str | None:
        """Return the outcome of a start, None if it has none yet."""
        return self.outcomes[start_id].status.value if start_id in self.outcomes else None

    def statuses(self, start_ids: list[str]) -> set[str | None]:
        """Return the distinct outcomes of starts."""
        return {self.status(start_id) for start_id in start_ids}

    def starts(self) -> int:
        """Return how many tasks all backend servers started."""
        return sum(len(backend.started_at) for backend in self.backend_by_id.values())

    async def send(
        self, address: BackendAddress, starts: list[Start]
    ) -> AsyncIterator[StartResult]:
        """Run starts as `mode` says; fail the test if a task is started twice."""
        backend = self.backend_by_id[address.backend_id]
        if backend.mode in ("refuse", "unreachable"):
            raise NotSentError("no", refused=backend.mode == "refuse")
        backend.exchanges.append([start.start_id for start in starts])
        for start in starts:
            assert start.start_id not in backend.started_at, "a task was started twice"
            backend.started_at[start.start_id] = self.timers.now()
        backend.busy += len(starts)
        backend.max_busy = max(backend.max_busy, backend.busy)
        try:
            if backend.mode == "lose":
                raise ResponseLostError
            if backend.mode == "hang":
                await anyio.sleep_forever()
            for start in reversed(starts) if backend.mode == "reverse" else starts:
                fails = backend.mode == "fail"
                run_s = 0.01 if fails else (start.payload or 0.1) / backend.speed
                await anyio.sleep(
                    max(0, backend.started_at[start.start_id] + run_s - anyio.current_time())
                )
                status = RunStatus.FAILED if fails else RunStatus.OK
                backend.busy -= 1
                value = 1 << 64 if backend.mode == "huge" else start.start_id
                yield StartResult(start.start_id, status, value=value, run_s=run_s)
        finally:
            if backend.mode in ("lose", "hang"):
                backend.busy -= len(starts)

    async def fetch_result(self, address: BackendAddress, start_id: str) -> StartResult:
        """Reply to a request for a result as `result_reply` says."""
        backend = self.backend_by_id[address.backend_id]
        if backend.result_reply == "lost":
            raise ResponseLostError
        if backend.result_reply == "result":
            return StartResult(start_id, RunStatus.OK, run_s=0.1)
        return StartResult(start_id, RunStatus(backend.result_reply))

    async def cancel(self, address: BackendAddress, start_ids: list[str]) -> None:
        """Record one cancel message."""
        self.backend_by_id[address.backend_id].cancels.append(start_ids)


def run_scenario(
    scenario: Callable[[Rig], Awaitable[None]],
    *backends: FakeBackend,
    announces: bool = True,
    configuration: Configuration | None = None,
    backend: str = "trio",
):
    """Run a scenario against a lease holder; with trio, time is virtual.

    With `announces`, the backend servers announce themselves every 0.5 s.
    """
    clock = trio.testing.MockClock(autojump_threshold=0)

    async def main() -> None:
        async with TimerService() as timers:
            rig = Rig(
                clock,
                timers,
                FakeTransport(),
                Counters(),
                {backend.backend_id: backend for backend in backends},
                RunTimeEstimator(),
                configuration or Configuration(),
            )
            common: dict[str, Any] = {"entry_id": "e1", "incarnation": 1, "timers": timers}
            common["transport"] = rig.transport
            cluster = Cluster(make_report=rig.report, entry_ids=lambda: ["e1", "e2"], **common)
            holder = LeaseHolder(
                **common,
                failure_domain="puebla",
                weight=1.0,
                counters=rig.counters,
                random=Random(7),
                cluster=cluster,
                estimator=rig.estimator,
                configuration=lambda: rig.configuration,
                draining=lambda: rig.draining,
                send_to_backend=rig.send,
                fetch_result=rig.fetch_result,
                cancel_on_backend=rig.cancel,
            )
            rig.holder, rig.cluster = holder, cluster
            async with holder, cluster:
                if announces:
                    timers.every(0.5, rig.announce_all)
                    rig.announce_all()
                await scenario(rig)

    options = {"clock": clock} if backend == "trio" else {}
    anyio.run(main, backend=backend, backend_options=options)
