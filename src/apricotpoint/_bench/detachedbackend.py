"""A fake backend server whose tasks go on when a connection is lost."""

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

# The few seconds of promise P6.
_LEAVING_S = 2.0
_SILENCE_S = 2.0
_HEARTBEAT_S = 0.5


@attrs.define(eq=False)
class _Exchange:
    silent: bool = False
    results: list[StartResult] = attrs.Factory(list)
    changed: anyio.Event = attrs.Factory(anyio.Event)


@attrs.define(eq=False)
class DetachedBackend(FakeBackend):
    """Runs each start in a task of its own and keeps the results for later questions.

    `late_starts` counts those that came over 2 s after it began to leave (P6).
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
        """Run starts and yield their results while the connection is good."""
        if self.dead or is_blocked():
            await anyio.sleep(latency_s)
            raise NotSentError(f"{self.backend_id} cannot be connected")
        exchange = _Exchange()
        self.exchanges.append(exchange)
        incarnation = self.incarnation
        main = any(_is_main(start) for start in starts)
        self._reach("start_written", main=main)
        await anyio.sleep(latency_s)
        if not (self.dead or self.incarnation != incarnation or exchange.silent or is_blocked()):
            if self.running + len(starts) > self.slots:
                self.refused += len(starts)
                raise NotSentError(f"{self.backend_id} is full", refused=True)
            for start in starts:
                self._accept(start, exchange)
        left, quiet_s = len(starts), 0.0
        while left:
            if self.dead or self.incarnation != incarnation:
                raise ResponseLostError(f"{self.backend_id} died")
            if exchange.silent or is_blocked():
                if quiet_s >= _SILENCE_S:
                    raise ResponseLostError(f"{self.backend_id} is silent")
                quiet_s += _HEARTBEAT_S
                await anyio.sleep(_HEARTBEAT_S)
                continue
            if not exchange.results:
                exchange.changed = anyio.Event()
                with anyio.move_on_after(_HEARTBEAT_S):
                    await exchange.changed.wait()
                continue
            result = exchange.results.pop(0)
            left -= 1
            yield result
            self._reach("result_received", main=main)

    def ask(self, start_id: str) -> StartResult:
        """Return what is known of a start."""
        status = RunStatus.RUNNING if start_id in self.scope_by_start else RunStatus.UNKNOWN
        return self.result_by_start.get(start_id, StartResult(start_id, status))

    def cancel(self, start_ids: list[str]) -> None:
        """Cancel running starts."""
        self.cancel_messages += 1
        for start_id in start_ids:
            if start_id in self.scope_by_start:
                self._stop(start_id, RunStatus.CANCELLED)

    def stop_all_by_guard(self, guard: GuardState) -> None:
        """Stop every running task, as the platform's guard does."""
        self.guard = guard
        for start_id in list(self.scope_by_start):
            self._stop(start_id, RunStatus.STOPPED)

    def kill(self) -> None:
        """End the backend server with everything that it runs."""
        self.dead = True
        scopes, self.scope_by_start = self.scope_by_start, {}
        for scope in scopes.values():
            scope.cancel()
        for exchange in self.exchanges:
            exchange.changed.set()

    def restart(self) -> None:
        """Start a new incarnation."""
        self.incarnation += 1
        self.sequence = 0
        self.dead = self.followed = False
        self.holder = None
        self.running = 0
        self.result_by_start, self.scope_by_start, self.exchanges = {}, {}, []

    def _reach(self, step: str, *, main: bool) -> None:
        if main:
            self.system.step_reached(step, backend_id=self.backend_id)

    def _accept(self, start: Start, exchange: _Exchange) -> None:
        self.late_starts += anyio.current_time() > self.leaving_at + _LEAVING_S
        end_s, _, _, status = self._begin(start)
        scope = self.scope_by_start[start.start_id] = anyio.CancelScope()
        run_s = end_s - anyio.current_time()
        self.system.group.start_soon(self._run, start, exchange, scope, run_s, status)
        self._reach("backend_running", main=_is_main(start))

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
            # The backend server was killed.
            return
        del self.scope_by_start[start.start_id]
        self.running -= 1
        exchange.results.append(self.result_by_start[start.start_id])
        exchange.changed.set()

    def _stop(self, start_id: str, status: RunStatus) -> None:
        self.result_by_start[start_id] = StartResult(start_id, status)
        self.scope_by_start[start_id].cancel()


def _is_main(start: Start) -> bool:
    return str(start.payload["id"]).startswith("main.")
