"""A simulated backend server on virtual time that records the starts it receives."""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import AsyncIterator, Callable

import anyio
import attrs

from apricotpoint._dispatch.exchange import (
    NotSentError,
    ResponseLostError,
    RunStatus,
    Start,
    StartResult,
)
from apricotpoint._wire.announce import Announcement, AnnouncementReply, GuardState, HolderName

_FAILURE_RUN_S = 0.002


@attrs.frozen
class CompletedRun:
    """A task that ran to its end; times in seconds of the virtual clock."""

    job: str
    began_at: float
    ended_at: float
    speed: float


@attrs.define(eq=False)
class FakeBackend:
    """One backend server with its speed, slots, faults and a record of its task starts.

    `count_by_task` counts starts by the task id in the payload, so that a second
    start of a task is detected even if it has another start id. `peak_running` is
    the largest number of tasks that ran at the same time. If `fails` is set, each
    task fails after 2 ms. `cancelled` maps each running start with a connection
    to the event that wakes `serve` for a cancellation. Tasks continue when their
    connection is lost; `fetch_result` returns their results.
    """

    backend_id: str
    service: str
    failure_domain: str
    rack: str
    speed: float
    slots: int
    connections: int
    cores: int
    memory_mb: int
    incarnation: int = 1
    fails: bool = False
    dead: bool = False
    leaving: bool = False
    guard: GuardState = GuardState.RUNNING
    throttle: float = 1.0
    running: int = 0
    peak_running: int = 0
    refused: int = 0
    starts: int = 0
    failed_starts: int = 0
    cancel_messages: int = 0
    starts_after_leaving: int = 0
    sequence: int = 0
    holder: HolderName | None = None
    followed: bool = False
    count_by_task: Counter[str] = attrs.Factory(Counter)
    cancelled: dict[str, anyio.Event] = attrs.Factory(dict)
    runs: list[CompletedRun] = attrs.Factory(list)
    _orphan_by_start: dict[str, tuple[float, Start, RunStatus]] = attrs.field(
        factory=dict, init=False
    )
    _lost_result_by_start: dict[str, StartResult] = attrs.field(factory=dict, init=False)
    _cancel_requested: set[str] = attrs.field(factory=set, init=False)

    def announcement(self) -> Announcement:
        """Return the next announcement, with the current state."""
        self.sequence += 1
        self._finish_orphans()
        return Announcement(
            backend_id=self.backend_id,
            incarnation=self.incarnation,
            sequence=self.sequence,
            clock_s=anyio.current_time(),
            service=self.service,
            failure_domain=self.failure_domain,
            rack=self.rack,
            address=f"127.0.0.1:{self.incarnation}",
            slots=self.slots,
            connections=self.connections,
            cores=self.cores,
            memory_mb=self.memory_mb,
            holder=self.holder,
            followed=self.followed,
            running=self.running,
            leaving=self.leaving,
            guard=self.guard,
            throttle=self.throttle,
        )

    def apply(self, reply: AnnouncementReply) -> None:
        """Switch to the lease holder named in the reply to an announcement."""
        if reply.holder is not None and reply.holder != self.holder:
            self.followed = self.holder is not None
            self.holder = reply.holder

    async def serve(
        self, starts: list[Start], *, latency_s: float, is_blocked: Callable[[], bool]
    ) -> AsyncIterator[StartResult]:
        """Run starts that arrive after `latency_s` and yield their results in order of completion.

        Raises `NotSentError` if no task started, and `ResponseLostError` if the backend
        server dies or becomes unreachable.
        """
        await anyio.sleep(latency_s)
        if self.dead or is_blocked():
            raise NotSentError(f"{self.backend_id} is unreachable")
        self._finish_orphans()
        if self.running + len(starts) > self.slots:
            self.refused += len(starts)
            await anyio.sleep(latency_s)
            raise NotSentError(f"{self.backend_id} is full", refused=True)
        pending = [self._begin(start) for start in starts]
        heapq.heapify(pending)
        cancel_event = anyio.Event()
        for start in starts:
            self.cancelled[start.start_id] = cancel_event
        try:
            while pending:
                end_s, start_id, start, status = pending[0]
                with anyio.move_on_after(max(end_s - anyio.current_time(), 0)):
                    await cancel_event.wait()
                if self.dead:
                    raise ResponseLostError(f"{self.backend_id} died")
                if cancel_event.is_set():
                    cancel_event = self._replace_cancel_event(pending)
                    for result in self._remove_cancelled(pending):
                        yield result
                    continue
                heapq.heappop(pending)
                self._release_slot(start_id)
                if status is RunStatus.OK:
                    self._record_run(start, anyio.current_time())
                await anyio.sleep(latency_s)
                if is_blocked():
                    self._lost_result_by_start[start_id] = self._result(start, status)
                    raise ResponseLostError(f"{self.backend_id} is unreachable")
                yield self._result(start, status)
        finally:
            self._detach(pending)

    def fetch_result(self, start_id: str) -> StartResult:
        """Return the result of a start whose connection was lost, or its state without a result."""
        self._finish_orphans()
        result = self._lost_result_by_start.get(start_id)
        if result is not None:
            return result
        running = start_id in self.cancelled or start_id in self._orphan_by_start
        return StartResult(start_id, RunStatus.RUNNING if running else RunStatus.UNKNOWN)

    def cancel(self, start_ids: list[str]) -> None:
        """Cancel those of the starts that are running."""
        self.cancel_messages += 1
        self._finish_orphans()
        for start_id in start_ids:
            if self._orphan_by_start.pop(start_id, None):
                self.running -= 1
                self._lost_result_by_start[start_id] = StartResult(start_id, RunStatus.CANCELLED)
            event = self.cancelled.get(start_id)
            if event is not None:
                self._cancel_requested.add(start_id)
                event.set()

    def _begin(self, start: Start) -> tuple[float, str, Start, RunStatus]:
        self.starts += 1
        self.running += 1
        self.peak_running = max(self.peak_running, self.running)
        self.count_by_task[start.payload["id"]] += 1
        if self.leaving:
            self.starts_after_leaving += 1
        now = anyio.current_time()
        if self.fails:
            self.failed_starts += 1
            return now + _FAILURE_RUN_S, start.start_id, start, RunStatus.FAILED
        run_s = start.payload["run_s"] / (self.speed * self.throttle)
        return now + run_s, start.start_id, start, RunStatus.OK

    def _detach(self, pending: list[tuple[float, str, Start, RunStatus]]) -> None:
        """Let the pending tasks continue without a connection, unless the backend server died."""
        for end_s, start_id, start, status in pending:
            if self.dead:
                self._release_slot(start_id)
            else:
                self.cancelled.pop(start_id, None)
                self._orphan_by_start[start_id] = (end_s, start, status)

    def _finish_orphans(self) -> None:
        """Finish the tasks without a connection whose end time has passed."""
        now = anyio.current_time()
        for start_id, (end_s, start, status) in list(self._orphan_by_start.items()):
            if end_s <= now:
                del self._orphan_by_start[start_id]
                self.running -= 1
                self._lost_result_by_start[start_id] = self._result(start, status)
                if status is RunStatus.OK:
                    self._record_run(start, end_s)

    def _record_run(self, start: Start, now: float) -> None:
        speed = self.speed * self.throttle
        began_at = now - start.payload["run_s"] / speed
        job = start.payload["id"].split(".")[0]
        self.runs.append(CompletedRun(job, began_at, now, speed))

    def _release_slot(self, start_id: str) -> None:
        self.running -= 1
        self.cancelled.pop(start_id, None)

    def _replace_cancel_event(
        self, pending: list[tuple[float, str, Start, RunStatus]]
    ) -> anyio.Event:
        cancel_event = anyio.Event()
        for _, start_id, _, _ in pending:
            self.cancelled[start_id] = cancel_event
        return cancel_event

    def _remove_cancelled(
        self, pending: list[tuple[float, str, Start, RunStatus]]
    ) -> list[StartResult]:
        results = []
        for item in list(pending):
            start_id = item[1]
            if start_id in self._cancel_requested:
                self._cancel_requested.discard(start_id)
                pending.remove(item)
                self._release_slot(start_id)
                results.append(StartResult(start_id=start_id, status=RunStatus.CANCELLED))
        heapq.heapify(pending)
        return results

    def _result(self, start: Start, status: RunStatus) -> StartResult:
        run_s = 0.0 if self.fails else start.payload["run_s"] / (self.speed * self.throttle)
        if status is RunStatus.FAILED:
            return StartResult(start.start_id, status, error="failed at once", run_s=run_s)
        return StartResult(start.start_id, status, value=start.payload["id"], run_s=run_s)
