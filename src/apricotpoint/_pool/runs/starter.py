"""Sends the starts and stops of runs to their backend servers."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import logbook

from apricotpoint._core.counters import Counters
from apricotpoint._core.timers import TimerService
from apricotpoint._pool.decisions import evacuation
from apricotpoint._pool.runs import localwaits
from apricotpoint._pool.runs.backendclient import StartOutcome, StartRequest
from apricotpoint._pool.runs.heldbackend import HeldBackend
from apricotpoint._pool.runs.job import Run, RunState, Task
from apricotpoint._pool.runs.leases import Leases

STOP_RETRY_PERIOD_S = 0.02

_log = logbook.Logger("pool")


class StartObserver(Protocol):
    """Receives the outcomes of starts; no method may block."""

    def run_confirmed(self, run: Run) -> None:
        """Handle a run that its backend server has started."""

    def run_refused(self, run: Run, outcome: StartOutcome) -> None:
        """Handle a run that its backend server has not started; it is removed already."""


class RunStarter:
    """Starts tasks on backend servers and stops their runs.

    `next_run` returns the number of the next run of a task. `may_start` tells whether the claims
    of this process are known to be still its own. `spawn` is described at `Leases`. Set `observer`
    before the first start; it refers back to the starter.
    """

    def __init__(
        self,
        *,
        leases: Leases,
        timers: TimerService,
        counters: Counters,
        spawn: Callable[..., None],
        next_run: Callable[[Task], int],
        may_start: Callable[[], bool],
    ) -> None:
        self.observer: StartObserver
        self._leases = leases
        self._timers = timers
        self._counters = counters
        self._spawn = spawn
        self._next_run = next_run
        self._may_start = may_start

    def start(self, task: Task, held: HeldBackend, now: float) -> None:
        """Reserve resources for a run of the task and send its start."""
        job = task.job
        locality = job.request.locality
        if locality is not None and locality.together and not job.group_location:
            job.group_location = held.location
        remote_factor = job.remote_factor(held.location)
        run = Run(
            task=task,
            number=self._next_run(task),
            backend=held,
            token=held.token,
            sent_at=now,
            expected_s=job.estimate_s * remote_factor / held.expected_speed(now),
            slowdown=held.slowdown(now),
            cold_share=0.0 if held.warmth is None else held.warmth.share(now),
            remote_factor=remote_factor,
        )
        task.run = run
        task.run_count += 1
        job.started = True
        held.add(run, job.request.room)
        self._counters.add("pool.starts")
        localwaits.record_start(run, self._counters, now)
        self._spawn(self._send_start, run)

    async def _send_start(self, run: Run) -> None:
        held, now = run.backend, self._timers.now()
        if not self._may_start():
            # The process was paused since the dispatch; its jobs end with its claims.
            self._counters.add("pool.starts_withheld")
            return
        if not evacuation.may_start(held.starts_end_at, now, job_started=True):
            # The grace period has ended since the dispatch, as the process was held up.
            self._counters.add("pool.starts_withheld_evacuated")
            self._handle_refusal(run, StartOutcome.TOO_LATE)
            return
        held.lease_limit_at = self._leases.lease_limit_at(held)
        lease_until_ms = held.lease_until_ms(now)
        if lease_until_ms is None:
            # Its origin, or that of a run there, has ended meanwhile.
            self._handle_refusal(run, StartOutcome.TOO_LATE)
            return
        start_request = StartRequest(
            key=run.key,
            spec=run.task.job.request.spec,
            lease_until_ms=lease_until_ms,
            token=run.token,
        )
        outcome = await held.client.start(start_request)
        if held.run_by_key.get(run.key) is not run:
            return
        if outcome is StartOutcome.STARTED:
            run.state = RunState.RUNNING
            run.confirmed_at = self._timers.now()
            self.observer.run_confirmed(run)
            await self._leases.watch_started_run(run)
        elif outcome is StartOutcome.UNKNOWN:
            await held.client.renew_connections()
            await self._leases.resolve(run)
        else:
            self._handle_refusal(run, outcome)

    def _handle_refusal(self, run: Run, outcome: StartOutcome) -> None:
        held, now, job = run.backend, self._timers.now(), run.task.job
        self._counters.add(f"pool.refused_{outcome.value}")
        _log.info(
            "backend server {} refused to start run {} of task {}: {}",
            held.backend_id,
            run.number,
            run.task.name,
            outcome.value,
        )
        held.remove(run, job.request.room)
        run.task.run = None
        if outcome is StartOutcome.NO_ROOM:
            held.record_full(now)
        elif outcome is StartOutcome.NOT_LISTENING:
            # No further starts there until a renewal of the lease is answered.
            held.is_responsive, held.refuses_connections = False, True
        elif outcome is StartOutcome.UNHEALTHY:
            held.health.record_failure(now)
        self.observer.run_refused(run, outcome)

    def stop(self, run: Run) -> None:
        """Have a run stopped, as soon as it is known that it was started."""
        run.stopping = True
        if run.state is RunState.RUNNING:
            self._spawn(self._send_stop, run)

    async def _send_stop(self, run: Run) -> None:
        held = run.backend
        while held.run_by_key.get(run.key) is run and not held.released:
            if await held.client.stop(run.key, held.token):
                return
            await self._timers.sleep(STOP_RETRY_PERIOD_S)
