"""Execution of simulated tasks."""

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

MAX_STORED_RESULTS = 10_000


@attrs.define(eq=False)
class _Run:
    start: Start
    began_at: float
    ends_at: float
    status: RunStatus
    value: object
    stream: ResultStream


@attrs.define(eq=False)
class ResultStream:
    """Results of the starts of one request, in the order in which the runs ended.

    `running` is the number of its starts that have no result yet.
    """

    running: int
    results: list[StartResult] = attrs.Factory(list)
    changed: anyio.Event = attrs.Factory(anyio.Event)

    def put(self, result: StartResult) -> None:
        """Add a result and wake the task that waits for `changed`."""
        self.running -= 1
        self.results.append(result)
        self.changed.set()

    def take(self) -> list[StartResult]:
        """Return the results that were added since the last call."""
        taken, self.results = self.results, []
        self.changed = anyio.Event()
        return taken


class Runner:
    """Runs tasks in the slots of a simulated backend server.

    A single background task sleeps until the next run ends, so a run needs no
    task of its own. Starts are not deduplicated: two starts with the same id run
    twice. Use it as an async context manager.
    """

    def __init__(self, settings: BackendSettings, *, ledger: Ledger) -> None:
        self.settings = settings
        self.ledger = ledger
        self.stopping = False
        self._random = Random(settings.seed)
        self._runs: list[_Run] = []
        self._result_by_id: OrderedDict[str, StartResult] = OrderedDict()
        self._runs_changed = anyio.Event()
        self._became_idle = anyio.Event()
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

    def begin(self, starts: list[Start]) -> ResultStream | None:
        """Run all starts, or run none and return None.

        None are run without enough free slots, while the behaviour is `refuse`, and
        while the server is stopping.
        """
        behaviour = self.settings.behaviour
        lacks_slots = len(self._runs) + len(starts) > self.settings.slots
        if lacks_slots or behaviour.refuse or self.stopping:
            self.ledger.refused += len(starts)
            return None
        now = anyio.current_time()
        stream = ResultStream(running=len(starts))
        for start in starts:
            self.ledger.add(start.start_id, start.payload)
            fails = self._random.random() < behaviour.fail_probability
            run_s = behaviour.fail_after_s if fails else self._run_s(start)
            status = RunStatus.FAILED if fails else RunStatus.OK
            value = None if fails else self._value(start)
            self._runs.append(_Run(start, now, now + run_s, status, value, stream))
        self._runs_changed.set()
        return stream

    def _value(self, start: Start) -> dict[str, object]:
        value: dict[str, object] = {"backend": self.settings.backend_id}
        if isinstance(start.payload, dict):
            # Clients check with these that results belong to their own tasks.
            value |= {
                name: start.payload[name] for name in ("job", "task") if name in start.payload
            }
        return value

    def result(self, start_id: str) -> StartResult:
        """Return the stored result of a start, or one with status RUNNING or UNKNOWN."""
        if any(run.start.start_id == start_id for run in self._runs):
            return StartResult(start_id, RunStatus.RUNNING)
        return self._result_by_id.get(start_id) or StartResult(start_id, RunStatus.UNKNOWN)

    def cancel(self, start_ids: list[str]) -> None:
        """End the runs of these starts; ids without a run are ignored."""
        ids_to_cancel = set(start_ids)
        self._end_matching(lambda run: run.start.start_id in ids_to_cancel, RunStatus.CANCELLED)

    def stop_all(self) -> None:
        """End all runs with status STOPPED, as the platform does when it stops a worker."""
        self._end_matching(lambda _: True, RunStatus.STOPPED)

    def _end_matching(self, condition: Callable[[_Run], bool], status: RunStatus) -> None:
        """End the runs that meet a condition with this status and without a value."""
        ended = [run for run in self._runs if condition(run)]
        for run in ended:
            self._end(run, status, None)
        if status is RunStatus.CANCELLED:
            self.ledger.cancelled += len(ended)

    async def idle(self) -> None:
        """Wait until no run is in progress."""
        while self._runs:
            self._became_idle = anyio.Event()
            await self._became_idle.wait()

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
            self._runs_changed = anyio.Event()
            now = _now()
            for run in [run for run in self._runs if run.ends_at <= now]:
                self._end(run, run.status, run.value)
            next_at = min((run.ends_at for run in self._runs), default=math.inf)
            with anyio.move_on_after(next_at - now):
                await self._runs_changed.wait()

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
        while len(self._result_by_id) > MAX_STORED_RESULTS:
            self._result_by_id.popitem(last=False)
        run.stream.put(result)
        if not self._runs:
            self._became_idle.set()


def _now() -> float:
    return anyio.current_time()
