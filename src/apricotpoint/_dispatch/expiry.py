"""Refusal of queued tasks that cannot start any more, and return of unsent tasks."""

from __future__ import annotations

import heapq
import math

import anyio

from apricotpoint._dispatch.context import HolderContext, Service, any_can_run
from apricotpoint._dispatch.outcomes import OutcomeReporter
from apricotpoint._dispatch.queue import Batch, HeldTask, TaskState

# Queued tasks are refused after this time without an eligible backend server.
# The check runs at each tick, so they are answered within 1 s.
_NO_BACKEND_LIMIT_S = 0.5


class QueueExpiry:
    """Refuses queued tasks whose deadline passed or that no backend server can run."""

    def __init__(self, context: HolderContext, outcomes: OutcomeReporter) -> None:
        self._context = context
        self._outcomes = outcomes
        self._deadlines: list[tuple[float, int, Batch]] = []
        self._last_number = 0
        self._new_deadline = anyio.Event()

    def add(self, batch: Batch) -> None:
        """Have the tasks of a batch that are still queued at its deadline refused."""
        self._last_number += 1
        heapq.heappush(self._deadlines, (batch.deadline_at, self._last_number, batch))
        if self._deadlines[0][2] is batch:
            self._new_deadline.set()

    async def run(self) -> None:
        """Refuse tasks at their deadlines; runs until cancelled."""
        while True:
            self._new_deadline = anyio.Event()
            now = self._context.timers.now()
            while self._deadlines and self._deadlines[0][0] <= now:
                batch = heapq.heappop(self._deadlines)[2]
                if not batch.remaining or batch.dropped:
                    continue
                queue = self._context.service(batch.service).queue
                self._outcomes.refuse(
                    queue.remove(batch),
                    "deadline",
                    "the deadline passed while the task was queued at the lease holder",
                )
                self._outcomes.report(batch)
            wait_s = self._deadlines[0][0] - now if self._deadlines else math.inf
            with anyio.move_on_after(wait_s):
                await self._new_deadline.wait()

    def requeue(self, tasks: list[HeldTask], now: float) -> None:
        """Put bound tasks that were not sent back into the queue.

        Cancelled tasks and those past their deadline are refused. All tasks must
        be of the same service.
        """
        returned = []
        for task in tasks:
            if task.batch.dropped:
                task.state = TaskState.DONE
                self._context.counters.add("holder.dropped")
            elif task.cancelled:
                self._outcomes.refuse(
                    [task], "cancelled", "cancelled while waiting to be sent to a backend server"
                )
            elif task.batch.deadline_at <= now:
                self._outcomes.refuse(
                    [task],
                    "deadline",
                    "the deadline passed while the task waited to be sent to a backend server",
                )
            else:
                task.state = TaskState.QUEUED
                returned.append(task)
        if returned:
            service = self._context.service(returned[0].batch.service)
            service.queue.put_back(returned)
            self._context.schedule_binding(service)

    def check_service(self, service: Service, now: float) -> None:
        """Refuse the queued tasks of a service that no backend server can run."""
        views = [view for view in service.view_by_id.values() if view.is_eligible(now)]
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
                queued_tasks,
                "no_backend",
                "the lease holder has no eligible backend server of the service",
            )
        if service.queue.count and views and changed:
            unplaceable = service.queue.remove_where(lambda task: not any_can_run(task, views))
            self._outcomes.refuse(
                unplaceable,
                "no_backend",
                "no eligible backend server of the lease holder meets the task's requirements",
            )
        if service.queue.count:
            self._context.schedule_binding(service)
