"""A fake backend server with resources and leases, and a scheduler on virtual time."""

from __future__ import annotations

import functools
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import anyio
import anyio.abc
import attrs
import hypothesis  # noqa: F401
import trio._core._run
import trio.testing

from apricotpoint._core.counters import Counters
from apricotpoint._core.timers import TimerService
from apricotpoint._pool.runs.backendclient import (
    EndedRun,
    LeaseReply,
    RenewalRefused,
    RunKey,
    RunOutcome,
    StartOutcome,
    StartRequest,
)
from apricotpoint._pool.scheduler import Scheduler
from apricotpoint._wire.pool import PoolBackend, PoolJob, Room

ONE_WAY_DELAY_S = 0.001
ANSWER_TIMEOUT_S = 0.15
# Time from a crash of a backend server until its next incarnation answers.
DOWN_S = 3.3
BACKEND_ROOM = Room(32_000, 131_072)
TASK_ROOM = Room(14_000, 64)


def run_on_virtual_time(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test on a virtual clock that advances at once whenever all trio tasks wait."""
    # trio runs the ready tasks in random order; a fixed seed makes a failed test repeatable. trio
    # sorts them before the shuffle only if hypothesis has been imported.
    trio._core._run._r.seed(1)
    clock = trio.testing.MockClock(autojump_threshold=0)
    anyio.run(test, backend="trio", backend_options={"clock": clock})


def on_virtual_time(test: Callable[..., Awaitable[None]]) -> Callable[..., None]:
    """Turn a test that is a coroutine function into one that runs on a virtual clock."""

    @functools.wraps(test)
    def run(**arguments: object) -> None:
        run_on_virtual_time(functools.partial(test, **arguments))

    return run


def make_announcement(
    backend_id: str = "w1", *, room: Room = BACKEND_ROOM, location: str = ""
) -> PoolBackend:
    return PoolBackend(
        backend_id=backend_id,
        service="desk",
        address=f"{backend_id[:2]}.example:1",
        failure_domain="a",
        room=room,
        labels=["plain", location] if location else [],
        leaving=False,
        sequence=1,
    )


def make_job(
    number: int = 1,
    *,
    count: int = 1,
    work_s: float = 0.2,
    kind: str = "check",
    deadline_s: float = 1.5,
    priority: int = 0,
    base_latency_s: float = 0.06,
    max_attempts: int = 2,
) -> PoolJob:
    return PoolJob(
        job_id=f"{number:016x}",
        kind=kind,
        service="desk",
        spec="",
        count=count,
        room=TASK_ROOM,
        estimate_s=work_s,
        priority=priority,
        max_attempts=max_attempts,
        base_latency_s=base_latency_s,
        stretch=1.6,
        elapsed_s=0.0,
        deadline_s=deadline_s,
    )


@attrs.define(eq=False)
class ActiveRun:
    """A run that is active at the fake backend server. Times are seconds of the virtual clock."""

    key: RunKey
    began_at: float
    remaining_s: float
    duration_s: float


class FakeBackend:
    """Implements `BackendClient`; obeys tokens, leases and run numbers like a backend server.

    `work_s_by_task` and `cpu_by_task` override the run time and the processor use of tasks.
    `lose_start_answers` is the number of the next starts that are carried out without an answer,
    `start_delays_s` has the delays of the next starts that are also carried out, but later.
    With `unreachable` requests have no effect, with `drops_answers` renewals have one but get no
    answer. `is_other_incarnation` refuses renewals; with `fails` runs fail, with `stalls` they
    make no progress. Without `guards_room` starts may exceed its room. A start of a task in
    `deadly_tasks` crashes it: it refuses connections for `DOWN_S`, then another incarnation
    answers. It is in `location`; a task of a job in `location_by_job` takes `penalty_by_job` times
    as long elsewhere. A job whose location is empty there gets that of its first start; the backend
    servers share the dict.
    """

    def __init__(self, *, work_s: float = 0.2, speed: float = 1.0, location: str = "") -> None:
        self.location = location
        self.location_by_job: dict[str, str] = {}
        self.penalty_by_job: dict[str, float] = {}
        self.remote_starts = 0
        self.began_at_by_run: dict[RunKey, float] = {}
        self.work_s = work_s
        self.speed = speed
        self.fails = False
        self.stalls = False
        self.unreachable = False
        self.drops_answers = False
        self.is_other_incarnation = False
        self.lose_start_answers = 0
        self.start_delays_s: list[float] = []
        self.token = 0
        self.lease_until = 0.0
        self.room = BACKEND_ROOM
        self.guards_room = True
        self.active_run_by_key: dict[RunKey, ActiveRun] = {}
        self.work_s_by_task: dict[str, float] = {}
        self.cpu_by_task: dict[str, int] = {}
        self.ended: list[EndedRun] = []
        self.last_run_by_task: dict[str, int] = {}
        self.starts: list[RunKey] = []
        self.renewals = 0
        self.born_ms = 0
        self.deadly_tasks: set[str] = set()
        self.crashes: list[RunKey] = []
        self.neighbours_lost: list[RunKey] = []
        self.is_down = False
        self._end_count = 0
        self._run_ended = anyio.Event()

    async def start(self, request: StartRequest) -> StartOutcome:
        """Carry out a start, subject to the injected faults."""
        await anyio.sleep(ONE_WAY_DELAY_S)
        if self.unreachable:
            await anyio.sleep(ANSWER_TIMEOUT_S)
            return StartOutcome.UNKNOWN
        if self.is_down:
            return StartOutcome.NOT_LISTENING
        if request.key.task in self.deadly_tasks and request.token >= self.token:
            self.crash(request.key)
            return StartOutcome.UNKNOWN
        if self.start_delays_s:
            late_s = self.start_delays_s.pop()
            self.group.start_soon(self._start_later, request, late_s)
            await anyio.sleep(ANSWER_TIMEOUT_S)
            return StartOutcome.UNKNOWN
        outcome = self._start(request)
        if self.lose_start_answers:
            self.lose_start_answers -= 1
            await anyio.sleep(ANSWER_TIMEOUT_S)
            return StartOutcome.UNKNOWN
        await anyio.sleep(ONE_WAY_DELAY_S)
        return outcome

    def crash(self, cause: RunKey) -> None:
        """End the process, which loses all runs; another incarnation starts after `DOWN_S`."""
        self.starts.append(cause)
        self.crashes.append(cause)
        self.neighbours_lost += self.active_run_by_key
        self.active_run_by_key.clear()
        self.ended.clear()
        self.last_run_by_task.clear()
        self.token, self.lease_until, self._end_count = 0, 0.0, 0
        self.is_down = True
        self._wake_renewals()
        self.group.start_soon(self._restart)

    async def _restart(self) -> None:
        await anyio.sleep(DOWN_S)
        self.is_down, self.is_other_incarnation = False, True

    def _penalty(self, job_id: str) -> float:
        if job_id not in self.location_by_job:
            return 1.0
        preferred = self.location_by_job[job_id] = self.location_by_job[job_id] or self.location
        self.remote_starts += preferred != self.location
        return 1.0 if preferred == self.location else self.penalty_by_job[job_id]

    def _cpu(self, key: RunKey) -> int:
        return self.cpu_by_task.get(key.task, TASK_ROOM.cpu)

    async def _start_later(self, request: StartRequest, late_s: float) -> None:
        await anyio.sleep(late_s)
        self._start(request)

    def _start(self, request: StartRequest) -> StartOutcome:
        now = anyio.current_time()
        self._advance()
        if request.token < self.token:
            return StartOutcome.FENCED
        self.token = request.token
        until = request.lease_until_ms / 1000
        if until <= now:
            return StartOutcome.TOO_LATE
        self.lease_until = max(self.lease_until, until)
        if request.key in self.active_run_by_key:
            return StartOutcome.STARTED
        if request.key.run <= self.last_run_by_task.get(request.key.task, 0):
            return StartOutcome.OLD_RUN
        used = sum(self._cpu(key) for key in self.active_run_by_key)
        if self.guards_room and used + self._cpu(request.key) > self.room.cpu:
            return StartOutcome.NO_ROOM
        self.starts.append(request.key)
        self.began_at_by_run[request.key] = now
        work_s = self.work_s_by_task.get(request.key.task, self.work_s)
        work_s *= self._penalty(request.key.task.partition(".")[0])
        remaining_s = float("inf") if self.stalls else work_s / self.speed
        self.active_run_by_key[request.key] = ActiveRun(request.key, now, remaining_s, remaining_s)
        self.group.start_soon(self._run, request.key, remaining_s)
        return StartOutcome.STARTED

    async def _run(self, key: RunKey, seconds: float) -> None:
        await anyio.sleep(seconds)
        self._advance()
        if key in self.active_run_by_key:
            self._end(key, RunOutcome.FAILED if self.fails else RunOutcome.DONE)

    def _advance(self) -> None:
        if anyio.current_time() >= self.lease_until:
            for key in list(self.active_run_by_key):
                self._end(key, RunOutcome.LAPSED)

    def _end(self, key: RunKey, end: RunOutcome) -> None:
        del self.active_run_by_key[key]
        self._end_count += 1
        self.last_run_by_task[key.task] = key.run
        self.ended.append(EndedRun(self._end_count, key, end))
        self._wake_renewals()

    def _wake_renewals(self) -> None:
        self._run_ended.set()
        self._run_ended = anyio.Event()

    async def stop(self, key: RunKey, token: int) -> bool:
        """Stop a run; if its start arrives later, that is refused."""
        await anyio.sleep(ONE_WAY_DELAY_S)
        if self.unreachable or self.is_down or token < self.token:
            return False
        self.last_run_by_task[key.task] = max(key.run, self.last_run_by_task.get(key.task, 0))
        if key in self.active_run_by_key:
            self._end(key, RunOutcome.STOPPED)
        await anyio.sleep(ONE_WAY_DELAY_S)
        return True

    async def renew_lease(
        self, *, token: int, acknowledged: int, lease_until_ms: int | None, wait_s: float
    ) -> LeaseReply | None:
        """Renew the lease and wait for the end of a run."""
        self.renewals += 1
        await anyio.sleep(ONE_WAY_DELAY_S)
        if self.unreachable:
            await anyio.sleep(wait_s + ANSWER_TIMEOUT_S)
            return None
        if self.is_down:
            raise RenewalRefused(StartOutcome.NOT_LISTENING)
        self._advance()
        if self.is_other_incarnation:
            raise RenewalRefused(StartOutcome.OTHER_INCARNATION)
        if token < self.token:
            raise RenewalRefused(StartOutcome.FENCED)
        self.token = token
        if lease_until_ms is not None:
            self.lease_until = max(self.lease_until, lease_until_ms / 1000)
        if self.drops_answers:
            await anyio.sleep(wait_s + ANSWER_TIMEOUT_S)
            return None
        self.ended = [end for end in self.ended if end.number > acknowledged]
        if not self.ended:
            with anyio.move_on_after(wait_s):
                await self._run_ended.wait()
        if self.is_down:
            return None
        self._advance()
        now = anyio.current_time()
        await anyio.sleep(ONE_WAY_DELAY_S)
        return LeaseReply(
            clock_ms=int(now * 1000),
            born_ms=self.born_ms,
            progress_by_run={
                key: int(100 * (now - work.began_at) / work.duration_s)
                for key, work in self.active_run_by_key.items()
            },
            ended=list(self.ended),
        )

    async def renew_connections(self) -> None:
        """Do nothing: there are no connections."""

    async def close(self) -> None:
        """Do nothing: there are no connections."""

    group: anyio.abc.TaskGroup


@attrs.define(eq=False)
class SchedulerHarness:
    """A scheduler that holds fake backend servers."""

    scheduler: Scheduler
    counters: Counters
    backend_by_id: dict[str, FakeBackend]

    async def settle(self, seconds: float) -> None:
        """Advance the virtual clock by `seconds`."""
        await anyio.sleep(seconds)


@asynccontextmanager
async def run_scheduler(*backends: FakeBackend) -> AsyncIterator[SchedulerHarness]:
    """Run a scheduler that holds these backend servers, whose ids are w1, w2 and so on."""
    backend_by_id = {f"w{i}": backend for i, backend in enumerate(backends, 1)}
    counters = Counters()
    async with (
        anyio.create_task_group() as group,
        TimerService() as timers,
        Scheduler(
            timers=timers,
            counters=counters,
            random=random.Random(1),
            make_client=lambda announcement: backend_by_id[announcement.backend_id],
        ) as scheduler,
    ):
        for backend_id, backend in backend_by_id.items():
            backend.group = group
            announcement = make_announcement(
                backend_id, room=backend.room, location=backend.location
            )
            scheduler.acquire(announcement, token=100)
        await anyio.sleep(0.05)
        yield SchedulerHarness(scheduler, counters, backend_by_id)
        group.cancel_scope.cancel()
