"""The lease holder: queues tasks and sends them to the backend servers whose lease it holds."""

from __future__ import annotations

import math
from collections.abc import Callable
from random import Random
from types import TracebackType
from typing import Any

import anyio
import anyio.abc

from apricotpoint._core.counters import Counters
from apricotpoint._core.timers import PeriodicTimer, TimerService
from apricotpoint._dispatch.announcements import AnnouncementHandler
from apricotpoint._dispatch.binder import Binder
from apricotpoint._dispatch.budget import RetryBudget
from apricotpoint._dispatch.cancellation import Canceller
from apricotpoint._dispatch.cluster import Cluster
from apricotpoint._dispatch.context import HolderContext, Service, any_can_run
from apricotpoint._dispatch.estimator import RunTimeEstimator
from apricotpoint._dispatch.exchange import CancelOnBackend, FetchResult, SendToBackend
from apricotpoint._dispatch.expiry import QueueExpiry
from apricotpoint._dispatch.holderrows import backend_load, backend_row
from apricotpoint._dispatch.outcomes import OutcomeReporter
from apricotpoint._dispatch.pause import PauseDetector
from apricotpoint._dispatch.queue import Batch, HeldTask, TaskState
from apricotpoint._dispatch.recovery import ResultRecovery
from apricotpoint._dispatch.results import ResultHandler
from apricotpoint._dispatch.sending import TaskSender
from apricotpoint._link.transport import Sender, Transport
from apricotpoint._wire.announce import Announced, Announcement, AnnouncementReply, HolderName
from apricotpoint._wire.configuration import Configuration
from apricotpoint._wire.load import BackendLoad
from apricotpoint._wire.tasks import BatchResult, CancelBatch, RunBatch

_TICK_S = 0.25


class LeaseHolder:
    """Holds leases on backend servers, queues tasks and sends them there.

    Each task of a batch gets exactly one outcome, unless its coordinator is
    replaced by a new incarnation. Use it as an async context manager. All
    methods must be called on the event loop; none of them blocks.
    """

    def __init__(
        self,
        *,
        entry_id: str,
        incarnation: int,
        failure_domain: str,
        weight: float,
        transport: Transport,
        timers: TimerService,
        counters: Counters,
        random: Random,
        cluster: Cluster,
        estimator: RunTimeEstimator,
        configuration: Callable[[], Configuration],
        draining: Callable[[], bool],
        send_to_backend: SendToBackend,
        fetch_result: FetchResult,
        cancel_on_backend: CancelOnBackend,
    ) -> None:
        self._name = HolderName(entry_id, incarnation)
        self._failure_domain = failure_domain
        self._weight = weight
        self._transport = transport
        self._timers = timers
        self._counters = counters
        context = HolderContext(
            name=self._name,
            transport=transport,
            timers=timers,
            counters=counters,
            random=random,
            cluster=cluster,
            estimator=estimator,
            configuration=configuration,
            draining=draining,
        )
        budget = RetryBudget()
        self._context = context
        self._pause = PauseDetector(counters)
        self._outcomes = OutcomeReporter(context)
        self._expiry = QueueExpiry(context, self._outcomes)
        self._canceller = Canceller(context, self._outcomes, cancel_on_backend)
        self._announcements = AnnouncementHandler(context, self._pause)
        self._binder = Binder(context, self._outcomes)
        results = ResultHandler(context, self._outcomes)
        self._task_sender = TaskSender(
            context,
            pause=self._pause,
            expiry=self._expiry,
            results=results,
            recovery=ResultRecovery(context, self._outcomes, results, budget, fetch_result),
            budget=budget,
            send_to_backend=send_to_backend,
        )
        self._subscription: PeriodicTimer | None = None

    async def __aenter__(self) -> LeaseHolder:
        self._pause.start(self._timers.now())
        handlers = self._transport.handlers_by_type
        handlers[RunBatch] = self._handle_run
        handlers[CancelBatch] = self._handle_cancel
        handlers[Announced] = self._announcements.handle_forwarded
        self._subscription = self._timers.every(_TICK_S, self._tick)
        self._context.group = anyio.create_task_group()
        await self._context.group.__aenter__()
        self._context.group.start_soon(self._dispatch)
        self._context.group.start_soon(self._expiry.run)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool | None:
        group = self._context.task_group()
        if self._subscription:
            self._subscription.cancel()
        for message_type in (RunBatch, CancelBatch, Announced):
            self._transport.handlers_by_type.pop(message_type, None)
        group.cancel_scope.cancel()
        return await group.__aexit__(exc_type, exc, traceback)

    def run(
        self, coordinator: Sender, batch: RunBatch, reply: Callable[[BatchResult], None]
    ) -> None:
        """Queue a batch; `reply` is called with its outcomes, in one or more parts.

        A batch received before and a batch of a replaced coordinator are ignored.
        """
        received = self._outcomes.batches_of(coordinator)
        if received is None:
            self._counters.add("holder.wasted.stale_coordinator")
            return
        if not received.record(batch.batch_id):
            self._counters.add("holder.wasted.repeated_batch")
            return
        now = self._timers.now()
        accepted = Batch(
            coordinator=coordinator,
            batch_id=batch.batch_id,
            service=batch.service,
            team=batch.team,
            deadline_at=now + batch.deadline_left_s - coordinator.age_s,
            single=batch.single and len(batch.tasks) == 1,
            reply=reply,
            remaining=len(batch.tasks),
        )
        accepted.tasks = [HeldTask(accepted, task) for task in batch.tasks]
        received.open_batch_by_id[accepted.batch_id] = accepted
        self._counters.add("holder.batches")
        self._counters.add("holder.tasks", len(accepted.tasks))
        if not accepted.tasks:
            self._outcomes.report(accepted)
            return
        service = self._service(batch.service)
        limit = self._context.service_config(batch.service).max_tasks_queued
        if accepted.deadline_at <= now:
            self._outcomes.refuse(
                accepted.tasks,
                "deadline",
                "the deadline passed before the batch reached the lease holder",
            )
        elif service.queue.count + len(accepted.tasks) > limit:
            self._outcomes.refuse(
                accepted.tasks,
                "queue_full",
                f"the queue of service {batch.service} at the lease holder is full (limit {limit})",
            )
        else:
            self._enqueue(service, accepted, now)

    def cancel(self, coordinator: Sender, batch_ids: list[int]) -> None:
        """Cancel batches: queued tasks are not sent, sent ones are cancelled by message.

        Their outcomes are still reported.
        """
        self._canceller.cancel(coordinator, batch_ids)

    def queued_tasks(self) -> int:
        """Return the number of queued tasks."""
        return self._context.queued_tasks()

    def queued_s_by_service(self) -> dict[str, float]:
        """Return the predicted run time at speed 1 in seconds of the queued tasks by service."""
        return {
            service.name: service.queue.work_s
            for service in self._context.service_by_name.values()
            if service.queue.count
        }

    def idle(self) -> bool:
        """Return whether no task is queued or sent and every outcome was reported."""
        return self._outcomes.idle() and not self.queued_tasks()

    def handle_announcement(self, announcement: Announcement) -> AnnouncementReply:
        """Handle an announcement that a backend server sent to this process.

        Returns the lease holder that the backend server must name next.
        """
        return self._announcements.handle_announcement(announcement)

    def backend_loads(self) -> list[BackendLoad]:
        """Return the load of the backend servers whose lease has not expired, begun or not."""
        now = self._timers.now()
        self._context.apply_configuration()
        return [
            backend_load(view, now)
            for view in self._context.view_by_id.values()
            if now < view.lease.expires_at
        ]

    def rows(self) -> list[dict[str, Any]]:
        """Return one row per backend server for operator queries, with or without a lease."""
        now = self._timers.now()
        return [
            backend_row(view, now, holder=self._name.entry_id)
            for view in self._context.view_by_id.values()
        ]

    def dump(self) -> dict[str, Any]:
        """Return the state of the holder for the state dump, as JSON-serialisable data."""
        return {
            "entry_id": self._name.entry_id,
            "incarnation": self._name.incarnation,
            "failure_domain": self._failure_domain,
            "weight": self._weight,
            "draining": self._context.draining(),
            "idle": self.idle(),
            "queued_tasks": self.queued_tasks(),
            "queued_s_by_service": self.queued_s_by_service(),
            "queued_by_service_and_team": {
                service.name: service.queue.queued_by_team()
                for service in self._context.service_by_name.values()
            },
            "open_batches_by_coordinator": {
                peer_id: len(received.open_batch_by_id)
                for peer_id, received in self._outcomes.batches_by_coordinator.items()
            },
            "unsent_results": len(self._outcomes.unsent_results),
            "backends": self.rows(),
        }

    def _handle_run(self, sender: Sender, message: object) -> None:
        assert isinstance(message, RunBatch)
        if message.load is not None:
            self._context.cluster.record_report(sender, message.load)
        self.run(sender, message, self._outcomes.reply_to(sender))

    def _handle_cancel(self, sender: Sender, message: object) -> None:
        assert isinstance(message, CancelBatch)
        self.cancel(sender, message.batch_ids)

    def _enqueue(self, service: Service, batch: Batch, now: float) -> None:
        tasks = batch.tasks
        views = [view for view in service.view_by_id.values() if view.is_eligible(now)]
        if views:
            # Without this check, a task that no backend server can run would wait until
            # a slot is free that it cannot use.
            unplaceable = [task for task in tasks if not any_can_run(task, views)]
            if unplaceable:
                self._outcomes.refuse(
                    unplaceable,
                    "no_backend",
                    "no eligible backend server of the lease holder meets the task's requirements",
                )
                tasks = [task for task in tasks if task.state is TaskState.QUEUED]
        if not tasks:
            return
        service.queue.add(batch, tasks)
        self._expiry.add(batch)
        self._context.schedule_binding(service)

    def _service(self, name: str) -> Service:
        return self._context.service(name)

    def _tick(self) -> None:
        now = self._timers.now()
        self._pause.tick(now)
        self._context.apply_configuration()
        self._outcomes.drop_replaced_coordinators()
        self._outcomes.retry_unsent()
        self._announcements.check_leases(now)
        for service in self._context.service_by_name.values():
            self._expiry.check_service(service, now)

    async def _dispatch(self) -> None:
        """At each wake-up bind queued tasks, then send cancellations and report outcomes."""
        context = self._context
        while True:
            # All events of one turn of the event loop are handled in one pass.
            next_pass_at = min(
                (service.next_pass_at for service in context.service_by_name.values()),
                default=math.inf,
            )
            with anyio.move_on_after(max(0.0, next_pass_at - self._timers.now())):
                await context.wake.wait()
            context.wake = anyio.Event()
            now = self._timers.now()
            for service in list(context.service_by_name.values()):
                if service.name in context.services_to_bind or service.next_pass_at <= now:
                    context.services_to_bind.discard(service.name)
                    self._bind(service, now)
            self._canceller.flush()
            self._outcomes.flush()
            if not (
                context.services_to_bind or self._outcomes.pending() or self._canceller.pending()
            ):
                context.wake = anyio.Event()

    def _bind(self, service: Service, now: float) -> None:
        self._task_sender.start(self._binder.bind(service, now))
