"""State of a backend server at its lease holder."""

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

# The number of running tasks in an announcement is up to 1 s old, which is two
# announcement periods, so it is compared with the fewest tasks tracked in this many.
_USAGE_WINDOW_ANNOUNCEMENTS = 3
# A request without a response may still reach the backend server until the
# connection is closed, which happens after 2 s of silence.
_DELAYED_REQUEST_S = 2.0
_INITIAL_BACKOFF_S = 0.05
_MAX_BACKOFF_S = 2.0


@attrs.define(eq=False)
class BackendView:
    """State of one incarnation of a backend server at its lease holder.

    `untracked_slots` counts the slots used by tasks that this holder does not track:
    those of an earlier holder, and those whose outcome was reported as unknown.
    Until `untracked_kept_until` announcements do not reduce it. `blocked` means
    drained or stopped by the configuration, and `obeys_guards` that the service
    obeys the announced guard state of the platform. `network_errors` counts the
    consecutive network errors and refusals; after one, a single `probe_task` is sent
    until a task ends with a result. `handed_over` means that another entry process
    was named as the holder. `discarded` means that this incarnation was replaced or
    removed; nothing is sent to it any more.
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
    untracked_slots: int = 0
    untracked_kept_until: float = 0.0
    backoff_until: float = 0.0
    network_errors: int = 0
    probe_task: HeldTask | None = None
    blocked: bool = False
    obeys_guards: bool = True
    handed_over: bool = False
    discarded: bool = False
    # Minimum number of tracked tasks between consecutive announcements, latest last.
    _min_busy_by_window: deque[int] = attrs.field(
        factory=lambda: deque([0], maxlen=_USAGE_WINDOW_ANNOUNCEMENTS)
    )

    @property
    def backend_id(self) -> str:
        """Id of the backend server."""
        return self.announcement.backend_id

    @property
    def address(self) -> BackendAddress:
        """Address, incarnation and connection limit, as announced last."""
        announcement = self.announcement
        return BackendAddress(
            announcement.backend_id,
            announcement.incarnation,
            announcement.address,
            announcement.connections,
        )

    @property
    def effective_speed(self) -> float:
        """Learned speed, reduced by the throttle factor while the platform throttles it."""
        if self.obeys_guards and self.announcement.guard is GuardState.THROTTLED:
            return self.speed.value * min(max(self.announcement.throttle, 0.01), 1.0)
        return self.speed.value

    def is_eligible(self, now: float) -> bool:
        """Return whether new tasks may be sent at `now`, not counting whether a slot is free."""
        announcement = self.announcement
        if self.discarded or self.blocked or announcement.leaving or not self.lease.held(now):
            return False
        if self.obeys_guards and announcement.guard in (GuardState.CHECKPOINT, GuardState.STOP):
            return False
        return self.quarantine.allowed_tasks(announcement.slots, now) > 0

    def free_slots(self, now: float) -> int:
        """Return how many tasks may be sent at `now`; the caller checks `is_eligible`."""
        if now < self.backoff_until:
            return 0
        announcement = self.announcement
        allowed = self.quarantine.allowed_tasks(announcement.slots, now)
        busy = len(self.task_by_start_id)
        connections = announcement.connections - len(self.exchanges)
        free = max(
            0, min(announcement.slots - busy - self.untracked_slots, allowed - busy, connections)
        )
        if self.network_errors:
            # One task probes the connection, so that the others do not wait for its timeout.
            return 0 if self.probe_task else min(free, 1)
        return free

    def can_run(self, spec: TaskSpec) -> bool:
        """Return whether the total cores, memory and accelerators meet the requirements."""
        announcement = self.announcement
        return (
            spec.cores <= announcement.cores
            and spec.memory_mb <= announcement.memory_mb
            and spec.accelerators <= announcement.accelerators
        )

    def slot_free_times(self, now: float) -> list[float]:
        """Return when each free or used slot is predicted to be free, earliest first.

        A task that runs longer than predicted is expected to take another half
        of its run time so far.
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
        """Assign a slot to a task and predict its end."""
        task.sent_at = now
        task.ends_at = now + task.spec.estimate_s / self.effective_speed
        task.view = self
        self.task_by_start_id[task.spec.start_id] = task
        if self.network_errors:
            self.probe_task = task

    def release(self, task: HeldTask) -> None:
        """Free the slot of a task; does nothing if the task has none."""
        self.task_by_start_id.pop(task.spec.start_id, None)
        if self.probe_task is task:
            self.probe_task = None
        self._min_busy_by_window[-1] = min(self._min_busy_by_window[-1], len(self.task_by_start_id))

    def stop_tracking(self, task: HeldTask, now: float) -> None:
        """Count the slot of a task as untracked until an announcement shows that it is free."""
        self.release(task)
        self.untracked_slots += 1
        self.untracked_kept_until = now + _DELAYED_REQUEST_S

    def update(self, announcement: Announcement, now: float) -> None:
        """Apply a newer announcement of this incarnation; it may change `untracked_slots`."""
        self.announcement = announcement
        self.last_contact_at = now
        untracked = max(0, announcement.running - min(self._min_busy_by_window))
        if now < self.lease.starts_at:
            # The earlier holder may still send tasks until its lease expires.
            self.untracked_slots = untracked
        elif now >= self.untracked_kept_until:
            self.untracked_slots = min(self.untracked_slots, untracked)
        self._min_busy_by_window.append(len(self.task_by_start_id))

    def discard(self) -> None:
        """Discard this incarnation and cancel its exchanges and result requests."""
        self.discarded = True
        for scope in [*self.exchanges, *self.result_requests]:
            scope.cancel()

    def record_network_error(self, now: float) -> None:
        """Back off after a network error or refusal: 50 ms at first, doubled each time to 2 s."""
        backoff_s = min(_INITIAL_BACKOFF_S * 2**self.network_errors, _MAX_BACKOFF_S)
        self.network_errors = min(self.network_errors + 1, 10)
        self.backoff_until = now + backoff_s
        self.probe_task = None
