"""A simulated backend server that can answer late, twice, in reverse order or not at all."""

from __future__ import annotations

import math
from collections.abc import AsyncIterator, Callable
from typing import Any

import anyio
import anyio.abc
import attrs

from apricotpoint._bench.faultynetwork import Process
from apricotpoint._dispatch.exchange import (
    BackendAddress,
    NotSentError,
    ResponseLostError,
    RunStatus,
    Start,
    StartResult,
)
from apricotpoint._wire.announce import Announcement, AnnouncementReply, GuardState, HolderName

_LATENCY_S = 0.0005
_SILENCE_TIMEOUT_S = 2.0


@attrs.define(eq=False)
class _Connection:
    """A connection for one exchange; while `silent`, it stays open and drops all results."""

    silent: bool = False
    results: list[StartResult | Exception] = attrs.Factory(list)
    changed: anyio.Event = attrs.Factory(anyio.Event)

    def put(self, item: StartResult | Exception) -> None:
        if not self.silent:
            self.results.append(item)
            self.changed.set()


@attrs.define(eq=False)
class FaultyBackend:
    """A backend server; it calls `on_start` with each start, its sender and the time of sending.

    `fails` makes each task fail at once. `lag_s` delays each result and
    `request_lag_s` each request, in seconds. `twice` sends each result twice,
    `in_reverse` sends the results of an exchange together and in reverse order.
    The backend server is leaving from `leaving_at` on.
    """

    process: Process
    group: anyio.abc.TaskGroup
    on_start: Callable[[FaultyBackend, str, Start, float], None]
    is_blocked: Callable[[str, str], bool]
    slots: int = 2
    incarnation: int = 1
    sequence: int = 0
    holder: HolderName | None = None
    followed: bool = False
    leaving_at: float = math.inf
    guard: GuardState = GuardState.RUNNING
    fails: bool = False
    lag_s: float = 0.0
    request_lag_s: float = 0.0
    twice: bool = False
    in_reverse: bool = False
    running: dict[str, anyio.Event] = attrs.Factory(dict)
    stop_status_by_start: dict[str, RunStatus] = attrs.Factory(dict)
    result_by_start: dict[str, StartResult] = attrs.Factory(dict)
    connections: list[_Connection] = attrs.Factory(list)

    @property
    def backend_id(self) -> str:
        """Return the id of the backend server, which is that of its process."""
        return self.process.process_id

    def announcement(self) -> Announcement:
        """Return the next announcement, with the current state."""
        self.sequence += 1
        now = anyio.current_time()
        return Announcement(
            *(self.backend_id, self.incarnation, self.sequence, now, "desk", self.process.domain),
            *("rack", f"127.0.0.1:{self.incarnation}", self.slots, 64, 32, 1000),
            holder=self.holder,
            followed=self.followed,
            running=len(self.running),
            leaving=self.leaving_at <= now,
            guard=self.guard,
        )

    def apply(self, reply: AnnouncementReply) -> None:
        """Switch to the lease holder named in the reply to an announcement."""
        if reply.holder is not None and reply.holder != self.holder:
            self.followed = self.holder is not None
            self.holder = reply.holder

    def restart(self) -> None:
        """Start a new incarnation without the tasks and results of the previous one."""
        self.incarnation += 1
        self.sequence = 0
        self.holder, self.followed = None, False
        self.leaving_at = math.inf
        self.guard = GuardState.RUNNING
        self.result_by_start.clear()
        self.running.clear()
        for connection in self.connections:
            connection.put(ResponseLostError(f"{self.backend_id} died"))

    def silence_connections(self) -> None:
        """Drop all results on the open connections, as when a firewall loses their state."""
        for connection in self.connections:
            connection.silent = True

    def stop_tasks(self, status: RunStatus, start_ids: list[str] | None = None) -> None:
        """End the given running tasks, or all, with the status `STOPPED` or `CANCELLED`."""
        for start_id in list(self.running) if start_ids is None else start_ids:
            if start_id in self.running:
                self.stop_status_by_start[start_id] = status
                self.running[start_id].set()

    async def send(
        self, sender: Process, address: BackendAddress, starts: list[Start]
    ) -> AsyncIterator[StartResult]:
        """Run starts as one exchange and yield their results as they arrive.

        Raises `NotSentError` if the backend server is unreachable or full, and
        `ResponseLostError` if it dies or the connection is silent for 2 s.
        """
        sent_at = anyio.current_time()
        await anyio.sleep(_LATENCY_S)
        if sender.dead or not self._is_reachable(sender, address):
            raise NotSentError(f"{self.backend_id} is unreachable")
        connection = _Connection()
        self.connections.append(connection)
        try:
            self.group.start_soon(self._handle, sender, address, starts, connection, sent_at)
            silent_s = 0.0
            unanswered = {start.start_id for start in starts}
            while silent_s < _SILENCE_TIMEOUT_S:
                connection.changed = anyio.Event()
                alive = not connection.silent and self._is_reachable(sender, address)
                while alive and connection.results:
                    silent_s = 0.0
                    item = connection.results.pop(0)
                    if isinstance(item, Exception):
                        raise item
                    unanswered.discard(item.start_id)
                    yield item
                if not unanswered:
                    return
                with anyio.move_on_after(0.25):
                    await connection.changed.wait()
                alive = not connection.silent and self._is_reachable(sender, address)
                silent_s = (
                    0.0 if alive and self._has_heartbeats(starts, connection) else silent_s + 0.25
                )
            raise ResponseLostError(f"{self.backend_id} is silent")
        finally:
            self.connections.remove(connection)

    async def fetch_result(
        self, sender: Process, address: BackendAddress, start_id: str
    ) -> StartResult:
        """Return the result of a start, or whether it is running or unknown.

        Raises `ResponseLostError` if the backend server is unreachable.
        """
        await anyio.sleep(2 * _LATENCY_S)
        if sender.dead or not self._is_reachable(sender, address):
            raise ResponseLostError(f"{self.backend_id} is unreachable")
        known = self.result_by_start.get(start_id)
        status = RunStatus.RUNNING if start_id in self.running else RunStatus.UNKNOWN
        return known or StartResult(start_id, status)

    async def cancel(self, sender: Process, address: BackendAddress, ids: list[str]) -> None:
        """Cancel those of the starts that are running."""
        await anyio.sleep(_LATENCY_S)
        if self._is_reachable(sender, address):
            self.stop_tasks(RunStatus.CANCELLED, ids)

    def _is_reachable(self, sender: Process, address: BackendAddress) -> bool:
        blocked = self.is_blocked(sender.process_id, self.backend_id)
        blocked = blocked or self.is_blocked(self.backend_id, sender.process_id)
        return not (self.process.dead or blocked or address.incarnation != self.incarnation)

    def _has_heartbeats(self, starts: list[Start], connection: _Connection) -> bool:
        return bool(connection.results) or any(
            start.start_id in self.running or start.start_id in self.result_by_start
            for start in starts
        )

    async def _handle(
        self,
        sender: Process,
        address: BackendAddress,
        starts: list[Start],
        connection: _Connection,
        sent_at: float,
    ) -> None:
        await anyio.sleep(self.request_lag_s)
        if self.process.dead or address.incarnation != self.incarnation:
            return
        if len(self.running) + len(starts) > self.slots:
            connection.put(NotSentError(f"{self.backend_id} is full", refused=True))
            return
        results: list[StartResult] = []
        async with anyio.create_task_group() as group:
            for start in starts:
                self.running[start.start_id] = anyio.Event()
                self.on_start(self, sender.process_id, start, sent_at)
                group.start_soon(self._run, start, address, results, connection)
        for result in reversed(results):
            connection.put(result)

    async def _run(
        self, start: Start, address: BackendAddress, completed: list[Any], connection: _Connection
    ) -> None:
        run_s = 0.0 if self.fails else start.payload["run_s"]
        with anyio.move_on_after(run_s):
            await self.running[start.start_id].wait()
        if address.incarnation != self.incarnation or self.process.dead:
            return
        del self.running[start.start_id]
        failed = RunStatus.FAILED if self.fails else RunStatus.OK
        status = self.stop_status_by_start.pop(start.start_id, failed)
        value = start.payload if status is RunStatus.OK else None
        result = StartResult(start.start_id, status, value, "" if value else "failed", run_s)
        self.result_by_start[start.start_id] = result
        if self.in_reverse:
            completed.append(result)
            return
        await anyio.sleep(self.lag_s)
        for _ in range(1 + self.twice):
            connection.put(result)
