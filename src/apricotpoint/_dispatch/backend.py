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
_USAGE_WINDOW_ANNOUNCEMENTS = 3
# A request lost in the network may still arrive for as long as a connection
# may be silent before it is closed.
_DELAYED_REQUEST_S = 2.0
_INITIAL_BACKOFF_S = 0.05
_MAX_BACKOFF_S = 2.0


@attrs.define(eq=False)
class BackendView:
    """State of one incarnation of a backend server at its lease holder.

    `foreign` counts slots used by tasks that this holder does not follow: those
    of an earlier holder, and those whose outcome was reported as not known.
    """

    announcement: Announcement
    lease: Lease
    last_contact_at: float
    speed: Speed = attrs.Factory(Speed)
    quarantine: Quarantine = attrs.Factory(Quarantine)
    task_by_start_id: dict[str, HeldTask] = attrs.Factory(dict)
    start_ids_to_cancel: list[str] = attrs.Factory(list)
    exchanges: set[anyio.CancelScope] = attrs.Factory(set)
    result_requests: set[anyio.CancelScope] = attrs.Factory(set)
    foreign: int = 0
    foreign_kept_until: float = 0.0
    backoff_until: float = 0.0
    network_errors: int = 0
    probe_task: HeldTask | None = None
    blocked: bool = False
    guards: bool = True
    handed_over: bool = False
    discarded: bool = False
    _min_busy_by_window: deque[int] = attrs.field(
        factory=lambda: deque([0], maxlen=_USAGE_WINDOW_ANNOUNCEMENTS)
    )

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
    def effective_speed(self) -> float:
        """Learned speed, reduced while the platform throttles the backend server."""
        if self.guards and self.announcement.guard is GuardState.THROTTLED:
            return self.speed.value * min(max(self.announcement.throttle, 0.01), 1.0)
        return self.speed.value

    def eligible(self, now: float) -> bool:
        """Return whether the rules allow new tasks, whether or not a slot is free."""
        said = self.announcement
        if self.discarded or self.blocked or said.leaving or not self.lease.held(now):
            return False
        if self.guards and said.guard in (GuardState.CHECKPOINT, GuardState.STOP):
            return False
        return self.quarantine.allowed(said.slots, now) > 0

    def free_slots(self, now: float) -> int:
        """Return how many tasks may be sent now, if it is eligible."""
        if now < self.backoff_until:
            return 0
        said = self.announcement
        allowed = self.quarantine.allowed(said.slots, now)
        busy = len(self.task_by_start_id)
        connections = said.connections - len(self.exchanges)
        free = max(0, min(said.slots - busy - self.foreign, allowed - busy, connections))
        if self.network_errors:
            # One task tries the network, so that the others do not wait for its timeout.
            return 0 if self.probe_task else min(free, 1)
        return free

    def fits(self, spec: TaskSpec) -> bool:
        """Return whether the backend server has what the task needs."""
        said = self.announcement
        return (
            spec.cores <= said.cores
            and spec.memory_mb <= said.memory_mb
            and spec.accelerators <= said.accelerators
        )

    def slot_free_times(self, now: float) -> list[float]:
        """Return for each usable slot when it is predicted to be free, earliest first.

        A task that runs longer than predicted is expected to run for another
        half of the time it has run so far.
        """
        free = self.free_slots(now)
        times = [now] * free
        for task in self.task_by_start_id.values():
            if task.ends_at > now:
                times.append(task.ends_at)
            else:
                times.append(now + max(0.01, (now - task.sent_at) * 0.5))
        times.sort()
        return times

    def occupy(self, task: HeldTask, now: float) -> None:
        """Give a slot to a task."""
        task.sent_at = now
        task.ends_at = now + task.spec.estimate_s / self.effective_speed
        task.view = self
        self.task_by_start_id[task.spec.start_id] = task
        if self.network_errors:
            self.probe_task = task

    def release(self, task: HeldTask) -> None:
        """Free the slot of a task."""
        self.task_by_start_id.pop(task.spec.start_id, None)
        if self.probe_task is task:
            self.probe_task = None
        self._min_busy_by_window[-1] = min(self._min_busy_by_window[-1], len(self.task_by_start_id))

    def stop_tracking(self, task: HeldTask, now: float) -> None:
        """Keep the slot of a task that is no longer followed until usage shows it free."""
        self.release(task)
        self.foreign += 1
        self.foreign_kept_until = now + _DELAYED_REQUEST_S

    def update(self, announcement: Announcement, now: float) -> None:
        """Take over what an announcement says."""
        self.announcement = announcement
        self.last_contact_at = now
        untracked = max(0, announcement.running - min(self._min_busy_by_window))
        if now < self.lease.starts_at:
            # The earlier holder may still send until its lease ends.
            self.foreign = untracked
        elif now >= self.foreign_kept_until:
            self.foreign = min(self.foreign, untracked)
        self._min_busy_by_window.append(len(self.task_by_start_id))

    def end(self) -> None:
        """Give up this incarnation: its exchanges and requests for results end."""
        self.discarded = True
        for scope in [*self.exchanges, *self.result_requests]:
            scope.cancel()

    def record_network_error(self, now: float) -> None:
        """Rest after a network error or refusal, longer after each one."""
        backoff_s = min(_INITIAL_BACKOFF_S * 2**self.network_errors, _MAX_BACKOFF_S)
        self.network_errors = min(self.network_errors + 1, 10)
        self.backoff_until = now + backoff_s
        self.probe_task = None
