"""Runs simulated tasks."""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Callable
from random import Random
from types import TracebackType

import anyio
import anyio.abc
import attrs

from apricotpoint._backend.ledger import Ledger
from apricotpoint._backend.settings import BackendSettings
from apricotpoint._dispatch.exchange import RunStatus, Start, StartResult

KEPT_RESULTS = 10_000


@attrs.define(eq=False)
class _Run:
    start: Start
    began_at: float
    ends_at: float
    status: RunStatus
    value: object
    exchange: Exchange


@attrs.define(eq=False)
class Exchange:
    """The results of the starts that came in one request."""

    running: int
    results: list[StartResult] = attrs.Factory(list)
    changed: anyio.Event = attrs.Factory(anyio.Event)

    def put(self, result: StartResult) -> None:
        """Add a result and wake the reader."""
        self.running -= 1
        self.results.append(result)
        self.changed.set()

    def take(self) -> list[StartResult]:
        """Return the results that were not taken yet."""
        taken, self.results = self.results, []
        self.changed = anyio.Event()
        return taken


class Runner:
    """The slots of a simulated backend server.

    One task sleeps until the next run ends, so a run costs no task of its
    own. It never deduplicates: two starts with one id run twice. Use as an
    async context manager.
    """

    def __init__(self, settings: BackendSettings, *, ledger: Ledger) -> None:
        self.settings = settings
        self.ledger = ledger
        self.stopping = False
        self._random = Random(settings.seed)
        self._runs: list[_Run] = []
        self._result_by_id: OrderedDict[str, StartResult] = OrderedDict()
        self._changed = anyio.Event()
        self._emptied = anyio.Event()
        self._group: anyio.abc.TaskGroup | None = None

    async def __aenter__(self) -> Runner:
        self._group = anyio.create_task_group()
        await self._group.__aenter__()
        self._group.start_soon(self._finish_runs)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool | None:
        assert self._group is not None
        self._group.cancel_scope.cancel()
        return await self._group.__aexit__(exc_type, exc, traceback)

    def running(self) -> int:
        """Return the number of runs in progress."""
        return len(self._runs)

    def begin(self, starts: list[Start]) -> Exchange | None:
        """Begin all starts, or none and return None if there are not enough slots."""
        behaviour = self.settings.behaviour
        full = len(self._runs) + len(starts) > self.settings.slots
        if full or behaviour.refuse or self.stopping:
            self.ledger.refused += len(starts)
            return None
        now = anyio.current_time()
        exchange = Exchange(running=len(starts))
        for start in starts:
            self.ledger.add(start.start_id, start.payload)
            fails = self._random.random() < behaviour.fail_probability
            run_s = behaviour.fail_after_s if fails else self._run_s(start)
            status = RunStatus.FAILED if fails else RunStatus.OK
            value = None if fails else self._value(start)
            self._runs.append(_Run(start, now, now + run_s, status, value, exchange))
        self._changed.set()
        return exchange

    def _value(self, start: Start) -> dict[str, object]:
        value: dict[str, object] = {"backend": self.settings.backend_id}
        if isinstance(start.payload, dict):
            # Callers check by these that an answer belongs to their own tasks.
            value |= {
                name: start.payload[name] for name in ("job", "task") if name in start.payload
            }
        return value

    def result(self, start_id: str) -> StartResult:
        """Return the kept result of a start, or RUNNING or UNKNOWN."""
        if any(run.start.start_id == start_id for run in self._runs):
            return StartResult(start_id, RunStatus.RUNNING)
        return self._result_by_id.get(start_id) or StartResult(start_id, RunStatus.UNKNOWN)

    def cancel(self, start_ids: list[str]) -> None:
        """End the runs of these starts."""
        wanted = set(start_ids)
        self.end_where(lambda run: run.start.start_id in wanted, RunStatus.CANCELLED)

    def stop_all(self) -> None:
        """End all runs, as the platform does when it stops a worker."""
        self.end_where(lambda _: True, RunStatus.STOPPED)

    def end_where(self, condition: Callable[[_Run], bool], status: RunStatus) -> None:
        """End the runs that meet a condition."""
        ended = [run for run in self._runs if condition(run)]
        for run in ended:
            self._end(run, status, None)
        if status is RunStatus.CANCELLED:
            self.ledger.cancelled += len(ended)

    async def idle(self) -> None:
        """Wait until no run is in progress."""
        while self._runs:
            self._emptied = anyio.Event()
            await self._emptied.wait()

    def _run_s(self, start: Start) -> float:
        payload = start.payload
        run_s = payload.get("run_s") if isinstance(payload, dict) else None
        if not isinstance(run_s, int | float) or not 0 <= run_s < math.inf:
            run_s = self.settings.default_run_s
        behaviour = self.settings.behaviour
        speed = self.settings.speed * max(behaviour.throttle, 0.001)
        return run_s / speed * behaviour.slow_factor

    async def _finish_runs(self) -> None:
        while True:
            self._changed = anyio.Event()
            now = _now()
            for run in [run for run in self._runs if run.ends_at <= now]:
                self._end(run, run.status, run.value)
            next_at = min((run.ends_at for run in self._runs), default=math.inf)
            with anyio.move_on_after(next_at - now):
                await self._changed.wait()

    def _end(self, run: _Run, status: RunStatus, value: object) -> None:
        self._runs.remove(run)
        result = StartResult(
            start_id=run.start.start_id,
            status=status,
            value=value,
            error="simulated failure" if status is RunStatus.FAILED else "",
            run_s=_now() - run.began_at,
        )
        self._result_by_id[run.start.start_id] = result
        while len(self._result_by_id) > KEPT_RESULTS:
            self._result_by_id.popitem(last=False)
        run.exchange.put(result)
        if not self._runs:
            self._emptied.set()


def _now() -> float:
    return anyio.current_time()
