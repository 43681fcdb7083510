"""The backend servers that one entry process holds, and the renewals of their leases."""

from __future__ import annotations

from collections.abc import Callable, Collection

import logbook

from apricotpoint._core.counters import Counters
from apricotpoint._core.timers import TimerService
from apricotpoint._pool.decisions import leaselimit
from apricotpoint._pool.runs.backendclient import BackendClient
from apricotpoint._pool.runs.heldbackend import HeldBackend
from apricotpoint._pool.runs.job import Job, Origin, Run
from apricotpoint._pool.runs.renewal import LeaseRenewer, RunObserver
from apricotpoint._wire.pool import PoolBackend

_log = logbook.Logger("pool")


class Leases:
    """Backend servers by id on which this process holds the lease, each with its renewals.

    `spawn` starts a coroutine function with its arguments in the task group of the scheduler.
    `make_client` returns a client for an announced backend server, which is closed when its
    renewals end. `on_renewal_failed` is called with the id of a held backend server whose renewals
    ended by an unexpected error. `origin_alive_at` is described at `Scheduler`. Set `observer`
    before the first lease is acquired; it refers back to the leases.
    """

    def __init__(
        self,
        *,
        timers: TimerService,
        counters: Counters,
        spawn: Callable[..., None],
        make_client: Callable[[PoolBackend], BackendClient],
        origin_alive_at: Callable[[Origin], float],
        on_renewal_failed: Callable[[str], None],
    ) -> None:
        self.observer: RunObserver
        self.held_by_id: dict[str, HeldBackend] = {}
        self.make_client = make_client
        self._timers = timers
        self._counters = counters
        self._spawn = spawn
        self._origin_alive_at = origin_alive_at
        self._on_renewal_failed = on_renewal_failed
        self._renewer_by_id: dict[str, LeaseRenewer] = {}

    def acquire(self, announcement: PoolBackend, token: int, *, speed: float | None = None) -> None:
        """Start to hold the lease of a backend server with this fencing token.

        `speed` is the speed that its previous holder learned, None if it is not known. No task
        starts there before the first renewal is answered.
        """
        held = HeldBackend(announcement, self.make_client(announcement), token)
        if speed is not None:
            held.speed.restore(speed)
        held.lease_expires_at = self._timers.now()
        renewer = LeaseRenewer(
            held,
            observer=self.observer,
            timers=self._timers,
            counters=self._counters,
            lease_limit_at=self.lease_limit_at,
        )
        self.held_by_id[announcement.backend_id] = held
        self._renewer_by_id[announcement.backend_id] = renewer
        self._spawn(self._run_renewer, held, renewer)
        self._counters.add("pool.backends_taken")
        _log.info(
            "acquiring backend server {} with fencing token {}", announcement.backend_id, token
        )

    async def _run_renewer(self, held: HeldBackend, renewer: LeaseRenewer) -> None:
        """Renew a lease; an unexpected error costs this backend server, not the process."""
        try:
            await renewer.run()
        except Exception:
            _log.exception("renewals of the lease on backend server {} failed", held.backend_id)
            self._counters.add("pool.renewal_errors")
            if self.held_by_id.get(held.backend_id) is held:
                self._on_renewal_failed(held.backend_id)
            await held.client.close()

    def lease_limit_at(self, held: HeldBackend) -> float:
        """Return the time beyond which a lease must not be renewed, because of the runs there."""
        runs = held.run_by_key.values()
        return leaselimit.lease_limit_at(runs, origin_alive_at=self._origin_alive_at)

    def allows_start(self, held: HeldBackend, job: Job) -> bool:
        """Return whether the lease of a run of this job could last long enough."""
        return leaselimit.allows_start(held, job, origin_alive_at=self._origin_alive_at)

    def update(self, announcement: PoolBackend) -> bool:
        """Process an announcement; False if it is outdated or its backend server is not held."""
        held = self.held_by_id.get(announcement.backend_id)
        if held is None:
            return False
        known = held.announcement
        # Another incarnation under the same id counts its announcements anew.
        if (announcement.born_ms, announcement.sequence) < (known.born_ms, known.sequence):
            return False
        if announcement.leaving and not known.leaving:
            _log.info(
                "backend server {} is shutting down; starting no more tasks there",
                announcement.backend_id,
            )
        if announcement.room != known.room:
            held.full_until = 0.0
        held.announcement = announcement
        return True

    def release(self, backend_id: str, reason: str) -> Collection[Run]:
        """Stop renewing a lease; return the runs that may still be active there, now removed."""
        held = self.held_by_id.pop(backend_id, None)
        renewer = self._renewer_by_id.pop(backend_id, None)
        if held is None or renewer is None:
            return ()
        renewer.release()
        self._counters.add("pool.backends_released")
        _log.info(
            "released backend server {}: {}; {} runs are active there",
            backend_id,
            reason,
            len(held.run_by_key),
        )
        runs = list(held.run_by_key.values())
        for run in runs:
            held.remove(run, run.task.job.request.room)
            run.task.run = None
        return runs

    async def watch_started_run(self, run: Run) -> None:
        """Have the progress of a run reported that was just started."""
        renewer = self._renewer_by_id.get(run.backend.backend_id)
        if renewer is not None:
            await renewer.watch_started_run()

    async def resolve(self, run: Run) -> None:
        """Find out whether a start that got no answer was carried out."""
        renewer = self._renewer_by_id.get(run.backend.backend_id)
        if renewer is not None:
            await renewer.resolve(run)
