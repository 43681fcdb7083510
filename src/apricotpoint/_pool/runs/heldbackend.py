"""State of a backend server at the entry process that holds its lease."""

from __future__ import annotations

import math

import attrs

from apricotpoint._pool.decisions import evacuation
from apricotpoint._pool.runs.backendclient import BackendClient, LeaseReply, RunKey
from apricotpoint._pool.runs.coldbackends import Warmth
from apricotpoint._pool.runs.health import Health
from apricotpoint._pool.runs.job import Run, Task
from apricotpoint._pool.runs.learning import SPEED_CLASS_FACTOR, Speed
from apricotpoint._wire.pool import PoolBackend, PoolJob, Room

# Duration of a lease. A backend server ends its runs by itself this long after the last
# successful renewal by its holder.
LEASE_S = 0.9
# The clock of a backend server may be 2% slow; measured here, a lease may last that much longer.
CLOCK_RATE = 0.98
# A refused start limits the resources that are used for this long; by then a backend server
# announces a room that has shrunk.
FULL_ROOM_S = 1.0
# No task starts under a lease that can last for less than this.
MIN_LEASE_S = 0.2
# Upper bound of the time from the expiry of a lease until its runs are terminated.
LEASE_END_MARGIN_S = 0.06


@attrs.define(eq=False)
class HeldBackend:
    """Lease, runs and resources of one incarnation of a backend server.

    `announcement` is the last one received. `token` is the fencing token: the backend server
    ignores requests with a lower token than it has seen. `lease_expires_at` is the monotonic time
    by which all runs there have been terminated unless the lease is renewed again, and
    `lease_limit_at` the one beyond which it must not be renewed because of its runs.
    `untracked_runs` are runs listed there that belong to no job of this process, such as those of
    an earlier holder. `acknowledged` is the number of the last ended run that was processed.
    `born_ms` is the start of the incarnation in unix milliseconds, 0 if not reported.
    `is_responsive` tells whether the last renewal was answered, `refuses_connections` whether its
    VM has refused a connection since the last answer. After a start that was refused for lack of
    resources, no more than `full_room` is used until `full_until`. `used` are the resources of the
    runs in `run_by_key`. `handing_over` is set while another process waits to acquire the backend
    server: only jobs that have started may start tasks there then. `trial` is a task that may
    crash the backend server (`_pool.decisions.trials`): no other one starts there meanwhile.
    `released` is set when the lease is no longer to be renewed. `starts_end_at` is the end of the
    grace period of its failure domain if that is evacuated, else None. `warmth` is set while the
    backend server is cold.
    """

    announcement: PoolBackend
    client: BackendClient
    token: int
    health: Health = attrs.Factory(Health)
    speed: Speed = attrs.Factory(Speed)
    run_by_key: dict[RunKey, Run] = attrs.Factory(dict)
    untracked_runs: set[RunKey] = attrs.Factory(set)
    used: Room = Room(0, 0)
    acknowledged: int = 0
    born_ms: int = 0
    is_responsive: bool = False
    refuses_connections: bool = False
    lease_expires_at: float = 0.0
    lease_limit_at: float = math.inf
    full_room: Room = Room(0, 0)
    full_until: float = 0.0
    handing_over: bool = False
    trial: Task | None = None
    released: bool = False
    starts_end_at: float | None = None
    warmth: Warmth | None = None
    _clock_offset_ms: float | None = None
    _free: Room | None = None
    _free_for: PoolBackend | None = None

    @property
    def backend_id(self) -> str:
        """Id of the backend server."""
        return self.announcement.backend_id

    @property
    def is_evacuated(self) -> bool:
        """Whether its failure domain is evacuated, or may be as the orders are not known yet."""
        return self.starts_end_at is not None

    @property
    def is_reserved(self) -> bool:
        """Whether only jobs that have started may start tasks here, and not for long."""
        return self.handing_over or self.starts_end_at is not None

    def slowdown(self, now: float) -> float:
        """Return the factor by which runs that start now take longer, as it is cold."""
        return 1.0 if self.warmth is None else self.warmth.factor(now)

    def expected_speed(self, now: float) -> float:
        """Return the speed of a run that starts now."""
        return self.speed.value if self.warmth is None else self.speed.value / self.slowdown(now)

    def expected_speed_class(self, now: float) -> int:
        """Return the class of the expected speed; see `Speed`."""
        if self.warmth is None:
            return self.speed.speed_class
        return round(math.log(self.expected_speed(now)) / math.log(SPEED_CLASS_FACTOR))

    @property
    def location(self) -> str:
        """Location of its machine, empty if it is not announced."""
        return self.announcement.location

    def free(self, now: float) -> Room:
        """Return the resources that no run uses, by the last announcement and refused start."""
        if now < self.full_until:
            return self.announcement.room.limited_to(self.full_room).minus(self.used)
        if self._free is None or self._free_for is not self.announcement:
            self._free, self._free_for = self.announcement.room.minus(self.used), self.announcement
        return self._free

    def can_run(self, request: PoolJob) -> bool:
        """Return whether the backend server could run a task of the job if it were idle."""
        return self.announcement.service == request.service and self.announcement.room.covers(
            request.room
        )

    def has_free_resources(self, request: PoolJob, now: float) -> bool:
        """Return whether the free resources are enough for a task of the job."""
        return self.free(now).covers(request.room)

    def record_full(self, now: float) -> None:
        """Record that a start was refused although the announced room has enough resources.

        The room has shrunk since the last announcement, so the refused start shows what it is.
        """
        self.full_room, self.full_until = self.used, now + FULL_ROOM_S

    def is_eligible(self, now: float) -> bool:
        """Return whether any task may start here now, free resources aside."""
        return self.trial is None and self.accepts_starts(now)

    def accepts_starts(self, now: float) -> bool:
        """Return whether the backend server can start tasks now, be it in a trial."""
        return (
            self.is_responsive
            and not self.announcement.leaving
            and not self.released
            and not self.untracked_runs
            and (
                self.starts_end_at is None
                or evacuation.may_start(self.starts_end_at, now, job_started=True)
            )
            and now + MIN_LEASE_S <= self.lease_limit_at
            and self.health.allows_start(now, len(self.run_by_key))
        )

    def can_start(self, request: PoolJob, now: float) -> bool:
        """Return whether a task of the job may start here now."""
        return (
            self.has_free_resources(request, now)
            and self.can_run(request)
            and self.is_eligible(now)
        )

    def is_schedulable(self, now: float) -> bool:
        """Return whether a forecast may count on the resources here once they are free.

        Unlike `is_eligible`, this ignores short-lived conditions such as a refused start.
        """
        return (
            self.is_responsive
            and self.trial is None
            and not self.announcement.leaving
            and not self.is_reserved
            and now >= self.health.backoff_until
        )

    def add(self, run: Run, room: Room) -> None:
        """Reserve the resources of a run whose start is about to be sent."""
        self.run_by_key[run.key] = run
        self.used = self.used.plus(room)
        self._free = None

    def remove(self, run: Run, room: Room) -> bool:
        """Remove a run and free its resources; return False if it was removed before."""
        if self.run_by_key.pop(run.key, None) is None:
            return False
        if self.trial is run.task:
            self.trial = None
        self.used = self.used.minus(room)
        self._free = None
        return True

    def update_clock(self, reply: LeaseReply, now: float) -> None:
        """Estimate the offset of the clock of the backend server from a reply received now.

        The reply was sent some time ago, so the true clock is ahead of this estimate: leases are
        never longer than intended. Call it before `born_ms` is set from the reply, as another
        incarnation has another clock.
        """
        offset_ms = reply.clock_ms - now * 1000
        has_restarted = reply.born_ms not in (0, self.born_ms)
        if self._clock_offset_ms is None or has_restarted:
            self._clock_offset_ms = offset_ms
        else:
            # The least delayed reply gives the largest and best offset. The decrement per reply
            # lets the estimate follow a clock that is up to 2% slow.
            self._clock_offset_ms = max(offset_ms, self._clock_offset_ms - 20.0)

    def lease_until_ms(self, now: float) -> int | None:
        """Return the end of a lease that begins now, on the clock of the backend server.

        Also moves `lease_expires_at`. None before the first reply and after `lease_limit_at`.
        """
        lease_s = min(LEASE_S, self.lease_limit_at - now)
        if self._clock_offset_ms is None or lease_s <= 0:
            return None
        self.lease_expires_at = max(
            self.lease_expires_at, now + lease_s / CLOCK_RATE + LEASE_END_MARGIN_S
        )
        return int(now * 1000 + self._clock_offset_ms + lease_s * 1000)
