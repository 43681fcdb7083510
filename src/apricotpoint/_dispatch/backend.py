"""A backend server as its lease holder sees it."""

from __future__ import annotations

from collections import deque

import anyio
import attrs

from apricotpoint._dispatch.exchange import BackendAddress
from apricotpoint._dispatch.lease import Lease
from apricotpoint._dispatch.quarantine import Quarantine
from apricotpoint._dispatch.queue import HeldTask
from apricotpoint._dispatch.speed import Speed
from apricotpoint._wire.announce import Announcement, GuardState
from apricotpoint._wire.tasks import TaskSpec

# Usage in announcements lags by up to a second, which is two announcements.
_USAGE_WINDOWS = 3
# A request lost in the network may still arrive for as long as a connection
# may be silent before it is closed.
_STRAY_S = 2.0
_FIRST_REST_S = 0.05
_LONGEST_REST_S = 2.0


@attrs.define(eq=False)
class BackendView:
    """State of one incarnation of a backend server at its lease holder.

    `foreign` counts slots used by tasks that this holder does not follow: those
    of an earlier holder, and those whose outcome was reported as not known.
    """

    announcement: Announcement
    lease: Lease
    heard_at: float
    speed: Speed = attrs.Factory(Speed)
    quarantine: Quarantine = attrs.Factory(Quarantine)
    busy_by_start: dict[str, HeldTask] = attrs.Factory(dict)
    cancel_ids: list[str] = attrs.Factory(list)
    exchanges: set[anyio.CancelScope] = attrs.Factory(set)
    asks: set[anyio.CancelScope] = attrs.Factory(set)
    foreign: int = 0
    foreign_until: float = 0.0
    rest_until: float = 0.0
    network_errors: int = 0
    network_probe: HeldTask | None = None
    blocked: bool = False
    guards: bool = True
    handed_over: bool = False
    dead: bool = False
    _least_busy: deque[int] = attrs.field(factory=lambda: deque([0], maxlen=_USAGE_WINDOWS))

    @property
    def backend_id(self) -> str:
        """Id of the backend server."""
        return self.announcement.backend_id

    @property
    def address(self) -> BackendAddress:
        """Where this incarnation is reached."""
        said = self.announcement
        return BackendAddress(said.backend_id, said.incarnation, said.address, said.connections)

    @property
    def current_speed(self) -> float:
        """Learned speed, reduced while the platform throttles the backend server."""
        if self.guards and self.announcement.guard is GuardState.THROTTLED:
            return self.speed.value * min(max(self.announcement.throttle, 0.01), 1.0)
        return self.speed.value

    def eligible(self, now: float) -> bool:
        """Return whether the rules allow new tasks, whether or not a slot is free."""
        said = self.announcement
        if self.dead or self.blocked or said.leaving or not self.lease.held(now):
            return False
        if self.guards and said.guard in (GuardState.CHECKPOINT, GuardState.STOP):
            return False
        return self.quarantine.allowed(said.slots, now) > 0

    def free_slots(self, now: float) -> int:
        """Return how many tasks may be sent now, if it is eligible."""
        if now < self.rest_until:
            return 0
        said = self.announcement
        allowed = self.quarantine.allowed(said.slots, now)
        busy = len(self.busy_by_start)
        connections = said.connections - len(self.exchanges)
        free = max(0, min(said.slots - busy - self.foreign, allowed - busy, connections))
        if self.network_errors:
            # One task tries the network, so that the others do not wait for its timeout.
            return 0 if self.network_probe else min(free, 1)
        return free

    def fits(self, spec: TaskSpec) -> bool:
        """Return whether the backend server has what the task needs."""
        said = self.announcement
        return (
            spec.cores <= said.cores
            and spec.memory_mb <= said.memory_mb
            and spec.accelerators <= said.accelerators
        )

    def slot_times(self, now: float) -> list[float]:
        """Return for each usable slot when it is predicted to be free, earliest first.

        A task that runs longer than predicted is expected to run for another
        half of the time it has run so far.
        """
        free = self.free_slots(now)
        times = [now] * free
        for task in self.busy_by_start.values():
            if task.ends_at > now:
                times.append(task.ends_at)
            else:
                times.append(now + max(0.01, (now - task.sent_at) * 0.5))
        times.sort()
        return times

    def occupy(self, task: HeldTask, now: float) -> None:
        """Give a slot to a task."""
        task.sent_at = now
        task.ends_at = now + task.spec.estimate_s / self.current_speed
        task.view = self
        self.busy_by_start[task.spec.start_id] = task
        if self.network_errors:
            self.network_probe = task

    def release(self, task: HeldTask) -> None:
        """Free the slot of a task."""
        self.busy_by_start.pop(task.spec.start_id, None)
        if self.network_probe is task:
            self.network_probe = None
        self._least_busy[-1] = min(self._least_busy[-1], len(self.busy_by_start))

    def lose(self, task: HeldTask, now: float) -> None:
        """Keep the slot of a task that is no longer followed until usage shows it free."""
        self.release(task)
        self.foreign += 1
        self.foreign_until = now + _STRAY_S

    def hear(self, announcement: Announcement, now: float) -> None:
        """Take over what an announcement says."""
        self.announcement = announcement
        self.heard_at = now
        others = max(0, announcement.running - min(self._least_busy))
        if now < self.lease.starts_at:
            # The earlier holder may still send until its lease ends.
            self.foreign = others
        elif now >= self.foreign_until:
            self.foreign = min(self.foreign, others)
        self._least_busy.append(len(self.busy_by_start))

    def end(self) -> None:
        """Give up this incarnation: its exchanges and requests for results end."""
        self.dead = True
        for scope in [*self.exchanges, *self.asks]:
            scope.cancel()

    def network_failed(self, now: float) -> None:
        """Rest after a network error or refusal, longer after each one."""
        rest_s = min(_FIRST_REST_S * 2**self.network_errors, _LONGEST_REST_S)
        self.network_errors = min(self.network_errors + 1, 10)
        self.rest_until = now + rest_s
        self.network_probe = None
