"""A backend server as the entry process that holds it sees it."""

from __future__ import annotations

import attrs

from apricotpoint._pool.exchange import BackendCalls, Holding, RunKey
from apricotpoint._pool.health import Health
from apricotpoint._pool.job import Run
from apricotpoint._pool.learning import Speed
from apricotpoint._wire.pool import PoolBackend, PoolJob, Room

# Lease in seconds. What runs on a backend server ends by itself this long after
# its holder was last able to renew the lease.
LEASE_S = 0.9
# The clock of a backend server may be 2% slow, so a lease lasts longer here.
CLOCK_RATE = 0.98
# Covers the time between the end of a lease and the moment when the run is gone.
LAPSE_MARGIN_S = 0.06


@attrs.define(eq=False)
class HeldBackend:
    """Lease, runs and room of one life of a backend server.

    `token` is the fencing token: the backend server ignores orders with a
    lower one than it has seen. `lapsed_at` is the time on the own clock at
    which everything ordered so far has certainly ended if nothing more is
    ordered. `foreign` are runs found there that no job here knows.
    """

    said: PoolBackend
    calls: BackendCalls
    token: int
    health: Health = attrs.Factory(Health)
    speed: Speed = attrs.Factory(Speed)
    run_by_key: dict[RunKey, Run] = attrs.Factory(dict)
    foreign: set[RunKey] = attrs.Factory(set)
    used: Room = Room(0, 0)
    acknowledged: int = 0
    born_ms: int = 0
    answered: bool = False
    lapsed_at: float = 0.0
    full_until: float = 0.0
    released: bool = False
    _clock_offset_ms: float | None = None
    _free: Room | None = None
    _free_of: PoolBackend | None = None

    @property
    def backend_id(self) -> str:
        """Id of the backend server."""
        return self.said.backend_id

    def free(self) -> Room:
        """Return the room that no run uses."""
        if self._free is None or self._free_of is not self.said:
            self._free, self._free_of = self.said.room.minus(self.used), self.said
        return self._free

    def serves(self, request: PoolJob) -> bool:
        """Return whether the backend server could run a task of the job if it were empty."""
        return self.said.service == request.service and self.said.room.covers(request.room)

    def has_room(self, request: PoolJob) -> bool:
        """Return whether a task of the job fits beside the runs that are there."""
        return self.free().covers(request.room)

    def usable(self, now: float) -> bool:
        """Return whether tasks may start here, apart from room."""
        return (
            self.answered
            and not self.said.leaving
            and not self.released
            and not self.foreign
            and now >= self.full_until
            and self.health.allows(now, len(self.run_by_key))
        )

    def can_start(self, request: PoolJob, now: float) -> bool:
        """Return whether a task of the job may start here now."""
        return self.has_room(request) and self.serves(request) and self.usable(now)

    def takes_tasks(self, now: float) -> bool:
        """Return whether tasks may be expected to start here as soon as there is room."""
        return self.answered and not self.said.leaving and now >= self.health.rest_until

    def add(self, run: Run, room: Room) -> None:
        """Count a run that is about to be ordered."""
        self.run_by_key[run.key] = run
        self.used = self.used.plus(room)
        self._free = None

    def remove(self, run: Run, room: Room) -> bool:
        """Forget a run and free its room; False if it is not known."""
        if self.run_by_key.pop(run.key, None) is None:
            return False
        self.used = self.used.minus(room)
        self._free = None
        return True

    def hear_clock(self, holding: Holding, now: float) -> None:
        """Take over the clock of the backend server from an answer received now.

        The answer has been on its way for some time, so the true clock is
        later than this: leases are never longer than intended.
        """
        offset_ms = holding.clock_ms - now * 1000
        if self._clock_offset_ms is None or self.born_ms != holding.born_ms:
            self._clock_offset_ms = offset_ms
        else:
            # A slow clock falls behind by at most 2%; the largest recent offset is the best.
            self._clock_offset_ms = max(offset_ms, self._clock_offset_ms - 20.0)

    def lease_until_ms(self, now: float) -> int | None:
        """Return the end of a lease that begins now, on the clock of the backend server."""
        if self._clock_offset_ms is None:
            return None
        self.lapsed_at = max(self.lapsed_at, now + LEASE_S / CLOCK_RATE + LAPSE_MARGIN_S)
        return int(now * 1000 + self._clock_offset_ms + LEASE_S * 1000)
