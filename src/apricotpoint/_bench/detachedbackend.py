"""A simulated backend server for fault injection, whose tasks outlive their connection."""

from __future__ import annotations

import math
from collections.abc import AsyncIterator, Callable
from typing import Any

import anyio
import attrs

from apricotpoint._bench.fakebackend import FakeBackend
from apricotpoint._dispatch.exchange import (
    NotSentError,
    ResponseLostError,
    RunStatus,
    Start,
    StartResult,
)
from apricotpoint._wire.announce import GuardState

# Guarantee P6: no task starts on a leaving backend server after this time.
_LEAVING_GRACE_S = 2.0
_SILENCE_TIMEOUT_S = 2.0
_HEARTBEAT_PERIOD_S = 0.5


@attrs.define(eq=False)
class _Exchange:
    """A connection with a batch of starts; while `silent`, it stays open but no data passes."""

    silent: bool = False
    results: list[StartResult] = attrs.Factory(list)
    changed: anyio.Event = attrs.Factory(anyio.Event)


@attrs.define(eq=False)
class DetachedBackend(FakeBackend):
    """Runs each start in an asynchronous task of its own and keeps all results for `fetch_result`.

    It reports the steps of the job under test to the `StepSimulation` in
    `system`. `late_starts` counts the starts that arrive over 2 s after
    `leaving_at`, which guarantee P6 forbids. It sends no announcements before
    `announcements_paused_until`, and no task ends before `stalled_until`.
    """

    system: Any = None
    leaving_at: float = math.inf
    late_starts: int = 0
    announcements_paused_until: float = 0.0
    stalled_until: float = 0.0
    result_by_start: dict[str, StartResult] = attrs.Factory(dict)
    scope_by_start: dict[str, anyio.CancelScope] = attrs.Factory(dict)
    exchanges: list[_Exchange] = attrs.Factory(list)

    async def serve(
        self, starts: list[Start], *, latency_s: float, is_blocked: Callable[[], bool]
    ) -> AsyncIterator[StartResult]:
        """Run starts and yield their results until the connection is lost.

        Raises `NotSentError` if no task started, and `ResponseLostError` if the backend
        server dies or the connection is silent for 2 s.
        """
        if self.dead or is_blocked():
            await anyio.sleep(latency_s)
            raise NotSentError(f"{self.backend_id} is unreachable")
        exchange = _Exchange()
        self.exchanges.append(exchange)
        incarnation = self.incarnation
        is_main = any(_is_main_job(start) for start in starts)
        self._report_step("start_written", is_main=is_main)
        await anyio.sleep(latency_s)
        if not (self.dead or self.incarnation != incarnation or exchange.silent or is_blocked()):
            if self.running + len(starts) > self.slots:
                self.refused += len(starts)
                raise NotSentError(f"{self.backend_id} is full", refused=True)
            for start in starts:
                self._start_task(start, exchange)
        remaining, silent_s = len(starts), 0.0
        while remaining:
            if self.dead or self.incarnation != incarnation:
                raise ResponseLostError(f"{self.backend_id} died")
            if exchange.silent or is_blocked():
                if silent_s >= _SILENCE_TIMEOUT_S:
                    raise ResponseLostError(f"{self.backend_id} is silent")
                silent_s += _HEARTBEAT_PERIOD_S
                await anyio.sleep(_HEARTBEAT_PERIOD_S)
                continue
            if not exchange.results:
                exchange.changed = anyio.Event()
                with anyio.move_on_after(_HEARTBEAT_PERIOD_S):
                    await exchange.changed.wait()
                continue
            result = exchange.results.pop(0)
            remaining -= 1
            yield result
            self._report_step("result_received", is_main=is_main)

    def fetch_result(self, start_id: str) -> StartResult:
        """Return the result of a start, or whether it is running or unknown."""
        status = RunStatus.RUNNING if start_id in self.scope_by_start else RunStatus.UNKNOWN
        return self.result_by_start.get(start_id, StartResult(start_id, status))

    def cancel(self, start_ids: list[str]) -> None:
        """Cancel those of the starts that are running."""
        self.cancel_messages += 1
        for start_id in start_ids:
            if start_id in self.scope_by_start:
                self._stop(start_id, RunStatus.CANCELLED)

    def stop_all_by_guard(self, guard: GuardState) -> None:
        """Set the guard state and stop every running task, as the guard of the platform does."""
        self.guard = guard
        for start_id in list(self.scope_by_start):
            self._stop(start_id, RunStatus.STOPPED)

    def kill(self) -> None:
        """Kill the backend server; its running tasks end without a result."""
        self.dead = True
        scopes, self.scope_by_start = self.scope_by_start, {}
        for scope in scopes.values():
            scope.cancel()
        for exchange in self.exchanges:
            exchange.changed.set()

    def restart(self) -> None:
        """Start a new incarnation without the results of the previous one."""
        self.incarnation += 1
        self.sequence = 0
        self.dead = self.followed = False
        self.holder = None
        self.running = 0
        self.result_by_start, self.scope_by_start, self.exchanges = {}, {}, []

    def _report_step(self, step: str, *, is_main: bool) -> None:
        if is_main:
            self.system.step_reached(step, backend_id=self.backend_id)

    def _start_task(self, start: Start, exchange: _Exchange) -> None:
        self.late_starts += anyio.current_time() > self.leaving_at + _LEAVING_GRACE_S
        end_s, _, _, status = self._begin(start)
        scope = self.scope_by_start[start.start_id] = anyio.CancelScope()
        run_s = end_s - anyio.current_time()
        self.system.group.start_soon(self._run, start, exchange, scope, run_s, status)
        self._report_step("backend_running", is_main=_is_main_job(start))

    async def _run(
        self,
        start: Start,
        exchange: _Exchange,
        scope: anyio.CancelScope,
        run_s: float,
        status: RunStatus,
    ) -> None:
        with scope:
            await anyio.sleep(run_s)
            await anyio.sleep(max(self.stalled_until - anyio.current_time(), 0))
            self.result_by_start[start.start_id] = self._result(start, status)
        if scope is not self.scope_by_start.get(start.start_id):
            # The backend server was killed while the task ran.
            return
        del self.scope_by_start[start.start_id]
        self.running -= 1
        exchange.results.append(self.result_by_start[start.start_id])
        exchange.changed.set()

    def _stop(self, start_id: str, status: RunStatus) -> None:
        self.result_by_start[start_id] = StartResult(start_id, status)
        self.scope_by_start[start_id].cancel()


def _is_main_job(start: Start) -> bool:
    return str(start.payload["id"]).startswith("main.")
