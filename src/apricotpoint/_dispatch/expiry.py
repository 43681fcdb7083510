"""Deadlines of queued tasks, and tasks that return to the queue."""

from __future__ import annotations

import heapq
import math

import anyio

from apricotpoint._dispatch.context import HolderContext, Service, fits_any
from apricotpoint._dispatch.outcomes import OutcomeReporter
from apricotpoint._dispatch.queue import Batch, HeldTask, TaskState

# Queued tasks wait this long for an eligible backend server; with the tick
# they are answered within 1 s.
_NO_BACKEND_LIMIT_S = 0.5


class QueueExpiry:
    """Refuses queued tasks that can no longer start."""

    def __init__(self, context: HolderContext, outcomes: OutcomeReporter) -> None:
        self._context = context
        self._outcomes = outcomes
        self._deadlines: list[tuple[float, int, Batch]] = []
        self._last_number = 0
        self._new_deadline = anyio.Event()

    def add(self, batch: Batch) -> None:
        """Refuse what is still queued of a batch at its deadline."""
        self._last_number += 1
        heapq.heappush(self._deadlines, (batch.deadline_at, self._last_number, batch))
        if self._deadlines[0][2] is batch:
            self._new_deadline.set()

    async def run(self) -> None:
        """Keep the deadlines until cancelled."""
        while True:
            self._new_deadline = anyio.Event()
            now = self._context.timers.now()
            while self._deadlines and self._deadlines[0][0] <= now:
                batch = heapq.heappop(self._deadlines)[2]
                if not batch.remaining or batch.dropped:
                    continue
                queue = self._context.service(batch.service).queue
                self._outcomes.refuse(
                    queue.remove(batch), "deadline", "the deadline passed in the queue"
                )
                self._outcomes.report(batch)
            wait_s = self._deadlines[0][0] - now if self._deadlines else math.inf
            with anyio.move_on_after(wait_s):
                await self._new_deadline.wait()

    def requeue(self, tasks: list[HeldTask], now: float) -> None:
        """Return bound tasks to the queue, unless they were cancelled or are too late."""
        returned = []
        for task in tasks:
            if task.batch.dropped:
                task.state = TaskState.DONE
                self._context.counters.add("holder.dropped")
            elif task.cancelled:
                self._outcomes.refuse([task], "cancelled", "cancelled before start")
            elif task.batch.deadline_at <= now:
                self._outcomes.refuse([task], "deadline", "the deadline passed before the send")
            else:
                task.state = TaskState.QUEUED
                returned.append(task)
        if returned:
            service = self._context.service(returned[0].batch.service)
            service.queue.put_back(returned)
            self._context.schedule_binding(service)

    def check_service(self, service: Service, now: float) -> None:
        """Refuse queued tasks for which there is no backend server now."""
        views = [view for view in service.view_by_id.values() if view.eligible(now)]
        eligible_ids = {view.backend_id for view in views}
        changed = service.eligible_ids != eligible_ids
        service.eligible_ids = eligible_ids
        if not service.queue.count or views:
            service.no_backend_since = None
        elif service.no_backend_since is None:
            service.no_backend_since = now
        elif now - service.no_backend_since >= _NO_BACKEND_LIMIT_S:
            queued_tasks = service.queue.remove_where(lambda task: True)
            self._outcomes.refuse(
                queued_tasks, "no_backend", "the lease holder has no backend server now"
            )
        if service.queue.count and views and changed:
            unplaceable = service.queue.remove_where(lambda task: not fits_any(task, views))
            self._outcomes.refuse(unplaceable, "no_backend", "no held backend server fits the task")
        if service.queue.count:
            self._context.schedule_binding(service)
