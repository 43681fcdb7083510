"""The lease holder: queues tasks and sends them to the backend servers it holds."""

from __future__ import annotations

import heapq
import math
from collections import deque
from collections.abc import Callable
from random import Random
from types import TracebackType
from typing import Any

import anyio
import anyio.abc
import attrs
import logbook

from apricotpoint._core.counters import Counters
from apricotpoint._core.timers import Subscription, TimerService
from apricotpoint._dispatch.announce import choose_holder
from apricotpoint._dispatch.backend import BackendView
from apricotpoint._dispatch.binding import Candidate, Policy, make_policy, within_backlog
from apricotpoint._dispatch.budget import RetryBudget
from apricotpoint._dispatch.cluster import Cluster
from apricotpoint._dispatch.estimator import KindEstimator
from apricotpoint._dispatch.exchange import (
    AnswerLostError,
    AskBackend,
    CancelOnBackend,
    NotSentError,
    RunStatus,
    SendToBackend,
    Start,
    StartResult,
)
from apricotpoint._dispatch.lease import TAKEOVER_WAIT_S, Lease
from apricotpoint._dispatch.queue import Batch, FairQueue, HeldTask, TaskState
from apricotpoint._dispatch.received import ReceivedBatches
from apricotpoint._link.transport import Sender, Transport
from apricotpoint._wire.announce import Announced, Announcement, AnnouncementReply, HolderName
from apricotpoint._wire.configuration import Configuration, ServiceConfig, TeamConfig
from apricotpoint._wire.load import BackendLoad
from apricotpoint._wire.tasks import (
    BatchResult,
    CancelBatch,
    OutcomeStatus,
    RunBatch,
    TaskOutcome,
)

ANNOUNCE_PERIOD_S = 0.5
# A new holder is named soon, instead of after another period.
_CHANGED_PERIOD_S = 0.05
_TICK_S = 0.25
_HOLDER_SILENT_S = 2.5
_LIVE_S = 1.0
# Load reports contain a promised backend server after at most this time.
_PROMISE_S = 0.5
# A tick that is later than this means that the process did not run. What it
# reads in the time after may have waited in its buffers.
_PAUSE_S = 1.0
_AFTER_PAUSE_S = 0.5
# Queued tasks wait this long for an eligible backend server; with the tick
# they are answered within 1 s.
_NO_BACKEND_S = 0.5
# A sent task without a lease on its backend server is asked for after this time.
_LEASE_GONE_S = 3.0
# After a handover its answers are still expected on the open connections.
_HANDED_OVER_S = 30.0
_ASK_LIMIT_S = 4.0
_ASK_TIMEOUT_S = 2.0
_FIRST_ASK_WAIT_S = 0.05
_LONGEST_ASK_WAIT_S = 0.5
# Tasks looked at beyond those that can be bound: bounds the cost of a pass
# while tasks wait for faster slots.
_MAX_ASIDE = 32
_SHORTEST_REVISIT_S = 0.005
_OVERDUE_REVISIT_S = 0.05

# A team that the configuration in force here does not have yet.
_DEFAULT_TEAM = TeamConfig("")

_LOG = logbook.Logger(__name__)


@attrs.define(eq=False)
class _Service:
    """Queue and backend servers of one service at this holder."""

    name: str
    queue: FairQueue
    policy_name: str = ""
    policy: Policy | None = None
    view_by_id: dict[str, BackendView] = attrs.Factory(dict)
    eligible_ids: set[str] = attrs.Factory(set)
    without_backend_since: float | None = None
    revisit_at: float = math.inf


class Holder:
    """Holds leases on backend servers, queues tasks for them and sends them.

    Use it as an async context manager. All methods must be called on the
    event loop; none of them blocks.
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
        estimator: KindEstimator,
        configuration: Callable[[], Configuration],
        draining: Callable[[], bool],
        send_to_backend: SendToBackend,
        ask_backend: AskBackend,
        cancel_on_backend: CancelOnBackend,
    ) -> None:
        self._name = HolderName(entry_id, incarnation)
        self._failure_domain = failure_domain
        self._weight = weight
        self._transport = transport
        self._timers = timers
        self._counters = counters
        self._random = random
        self._cluster = cluster
        self._estimator = estimator
        self._configuration = configuration
        self._draining = draining
        self._send_to_backend = send_to_backend
        self._ask_backend = ask_backend
        self._cancel_on_backend = cancel_on_backend

        self._service_by_name: dict[str, _Service] = {}
        self._view_by_id: dict[str, BackendView] = {}
        self._received_by_peer: dict[str, ReceivedBatches] = {}
        self._deadlines: list[tuple[float, int, Batch]] = []
        self._deadline_number = 0
        self._promised: deque[tuple[float, str, int]] = deque()
        self._unsent: deque[tuple[Sender, BatchResult]] = deque()
        self._budget = RetryBudget()
        self._applied: Configuration | None = None
        self._blocked: frozenset[str] = frozenset()

        self._dirty: set[str] = set()
        self._to_report: dict[int, Batch] = {}
        self._to_cancel: dict[int, BackendView] = {}
        self._wake = anyio.Event()
        self._new_deadline = anyio.Event()
        self._ticked_at = 0.0
        self._trusts_at = 0.0
        self._hears_since = 0.0
        self._subscription: Subscription | None = None
        self._group: anyio.abc.TaskGroup | None = None

    async def __aenter__(self) -> Holder:
        now = self._timers.now()
        self._ticked_at = self._hears_since = now
        handlers = self._transport.handlers_by_type
        handlers[RunBatch] = self._handle_run
        handlers[CancelBatch] = self._handle_cancel
        handlers[Announced] = self._handle_announced
        self._subscription = self._timers.every(_TICK_S, self._tick)
        self._group = anyio.create_task_group()
        await self._group.__aenter__()
        self._group.start_soon(self._dispatch)
        self._group.start_soon(self._expire)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool | None:
        assert self._group is not None
        if self._subscription:
            self._subscription.cancel()
        for message_type in (RunBatch, CancelBatch, Announced):
            self._transport.handlers_by_type.pop(message_type, None)
        self._group.cancel_scope.cancel()
        return await self._group.__aexit__(exc_type, exc, traceback)

    # Batches

    def run(
        self, coordinator: Sender, batch: RunBatch, reply: Callable[[BatchResult], None]
    ) -> None:
        """Queue a batch; `reply` is called with its outcomes, in one or more parts."""
        received = self._received(coordinator)
        if received is None:
            self._counters.add("holder.wasted.stale_coordinator")
            return
        if not received.remember(batch.batch_id):
            self._counters.add("holder.wasted.repeated_batch")
            return
        now = self._timers.now()
        held = Batch(
            coordinator=coordinator,
            batch_id=batch.batch_id,
            service=batch.service,
            team=batch.team,
            deadline_at=now + batch.deadline_left_s - coordinator.age_s,
            single=batch.single and len(batch.tasks) == 1,
            reply=reply,
            remaining=len(batch.tasks),
        )
        held.tasks = [HeldTask(held, task) for task in batch.tasks]
        received.open_by_id[held.batch_id] = held
        self._counters.add("holder.batches")
        self._counters.add("holder.tasks", len(held.tasks))
        if not held.tasks:
            self._report(held)
            return
        service = self._service(batch.service)
        if held.deadline_at <= now:
            self._refuse(held.tasks, "deadline", "the deadline had passed on arrival")
        elif service.queue.count + len(held.tasks) > self._rules(batch.service).max_tasks_queued:
            self._refuse(held.tasks, "queue_full", "the queue of the lease holder is full")
        else:
            self._enqueue(service, held, now)

    def _enqueue(self, service: _Service, batch: Batch, now: float) -> None:
        tasks = batch.tasks
        views = [view for view in service.view_by_id.values() if view.eligible(now)]
        if views:
            # Without this check a misfit waits until a slot that it cannot use is free.
            misfits = [task for task in tasks if not _fits_any(task, views)]
            if misfits:
                self._refuse(misfits, "no_backend", "no held backend server fits the task")
                tasks = [task for task in tasks if task.state is TaskState.QUEUED]
        if not tasks:
            return
        service.queue.add(batch, tasks)
        self._add_deadline(batch)
        self._mark(service)

    def cancel(self, coordinator: Sender, batch_ids: list[int]) -> None:
        """Cancel batches: queued tasks are not started, sent ones are cancelled where they run."""
        received = self._received_by_peer.get(coordinator.peer_id)
        for batch_id in batch_ids:
            batch = None
            if received and received.incarnation == coordinator.incarnation:
                batch = received.open_by_id.get(batch_id)
            if batch is None:
                self._counters.add("holder.wasted.cancel_unknown")
                continue
            queue = self._service(batch.service).queue
            self._refuse(queue.remove(batch), "cancelled", "cancelled before start")
            for task in batch.tasks:
                if task.cancelled or task.state not in (TaskState.BOUND, TaskState.SENT):
                    continue
                task.cancelled = True
                if task.state is TaskState.SENT and task.view:
                    task.view.cancel_ids.append(task.spec.start_id)
                    self._to_cancel[id(task.view)] = task.view
                    self._wake.set()

    def queued_tasks(self) -> int:
        """Return the number of tasks that wait for a slot."""
        return sum(service.queue.count for service in self._service_by_name.values())

    def queued_s_by_service(self) -> dict[str, float]:
        """Return the predicted run time in seconds of the queued tasks, by service."""
        return {
            service.name: service.queue.work_s
            for service in self._service_by_name.values()
            if service.queue.count
        }

    def idle(self) -> bool:
        """Return whether no task is queued or sent and every outcome has been reported."""
        return not (
            self._to_report
            or self._unsent
            or self.queued_tasks()
            or any(received.open_by_id for received in self._received_by_peer.values())
        )

    # Announcements

    def announce(self, announcement: Announcement) -> AnnouncementReply:
        """Handle an announcement that a backend server sent to this process."""
        now = self._timers.now()
        self._check_pause(now)
        holder = announcement.holder
        if holder == self._name and not self._draining():
            self._hear(announcement)
            return AnnouncementReply(holder, ANNOUNCE_PERIOD_S)
        if holder and holder != self._name:
            self._see_other_holder(announcement)
            if self._is_live(holder, now):
                if not self._transport.send(holder.entry_id, Announced(announcement)):
                    self._counters.add("holder.announcements.not_forwarded")
                return AnnouncementReply(holder, ANNOUNCE_PERIOD_S)
        chosen = self._choose(announcement, now)
        if chosen is None or chosen == holder:
            if holder == self._name:
                # No other entry process can take the backend server.
                self._hear(announcement)
            else:
                self._counters.add("holder.announcements.without_holder")
            return AnnouncementReply(holder, ANNOUNCE_PERIOD_S)
        self._counters.add("holder.announcements.holder_chosen")
        view = self._view_by_id.get(announcement.backend_id)
        if view and holder == self._name:
            view.handed_over = True
        return AnnouncementReply(chosen, _CHANGED_PERIOD_S)

    def backend_loads(self) -> list[BackendLoad]:
        """Return the load of the backend servers whose lease is held or about to begin."""
        now = self._timers.now()
        self._apply_configuration()
        loads = []
        for view in self._view_by_id.values():
            if now >= view.lease.expires_at:
                continue
            said = view.announcement
            available = view.eligible(now)
            loads.append(
                BackendLoad(
                    backend_id=said.backend_id,
                    service=said.service,
                    failure_domain=said.failure_domain,
                    slots=said.slots,
                    free_slots=view.free_slots(now) if available else 0,
                    speed=view.current_speed,
                    available=available,
                    cores=said.cores,
                    memory_mb=said.memory_mb,
                    accelerators=said.accelerators,
                    quarantined=view.quarantine.active,
                )
            )
        return loads

    # Queries

    def rows(self) -> list[dict[str, Any]]:
        """Return one row for each backend server known here, for operator queries."""
        now = self._timers.now()
        return [self._row(view, now) for view in self._view_by_id.values()]

    def dump(self) -> dict[str, Any]:
        """Return the state of the holder as JSON-able data."""
        return {
            "entry_id": self._name.entry_id,
            "incarnation": self._name.incarnation,
            "failure_domain": self._failure_domain,
            "weight": self._weight,
            "draining": self._draining(),
            "idle": self.idle(),
            "queued_tasks": self.queued_tasks(),
            "queued_s_by_service": self.queued_s_by_service(),
            "queued_by_service_and_team": {
                service.name: service.queue.queued_by_team()
                for service in self._service_by_name.values()
            },
            "open_batches_by_coordinator": {
                peer_id: len(received.open_by_id)
                for peer_id, received in self._received_by_peer.items()
            },
            "unsent_results": len(self._unsent),
            "backends": self.rows(),
        }

    def _row(self, view: BackendView, now: float) -> dict[str, Any]:
        said = view.announcement
        return {
            "backend_id": said.backend_id,
            "incarnation": said.incarnation,
            "service": said.service,
            "failure_domain": said.failure_domain,
            "rack": said.rack,
            "address": said.address,
            "holder": self._name.entry_id,
            "slots": said.slots,
            "sent": len(view.busy_by_start),
            "foreign": view.foreign,
            "speed": round(view.current_speed, 3),
            "eligible": view.eligible(now),
            "lease_left_s": round(max(0.0, view.lease.expires_at - now), 3),
            "lease_begins_in_s": round(max(0.0, view.lease.starts_at - now), 3),
            "quarantined": view.quarantine.active,
            "blocked": view.blocked,
            "leaving": said.leaving,
            "guard": said.guard.value,
            "network_errors": view.network_errors,
            "heard_ago_s": round(now - view.heard_at, 3),
        }

    # Messages from other processes

    def _handle_run(self, sender: Sender, message: object) -> None:
        assert isinstance(message, RunBatch)

        def reply(result: BatchResult) -> None:
            # Earlier results that wait for the link go first.
            if self._unsent or not self._send_result(sender, result):
                self._unsent.append((sender, result))

        self.run(sender, message, reply)

    def _handle_cancel(self, sender: Sender, message: object) -> None:
        assert isinstance(message, CancelBatch)
        self.cancel(sender, message.batch_ids)

    def _handle_announced(self, sender: Sender, message: object) -> None:
        assert isinstance(message, Announced)
        self._check_pause(self._timers.now())
        if message.announcement.holder != self._name:
            self._counters.add("holder.announcements.other_holder")
            return
        if self._draining() and self._choose(message.announcement, self._timers.now()):
            # The next announcement is answered with another holder.
            self._counters.add("holder.announcements.draining")
            return
        self._hear(message.announcement)

    def _send_result(self, sender: Sender, result: BatchResult) -> bool:
        if self._is_replaced(sender):
            self._counters.add("holder.wasted.result_for_replaced")
            return True
        return self._transport.send(sender.peer_id, result, reliable=True)

    def _is_replaced(self, sender: Sender) -> bool:
        if sender.peer_id == self._name.entry_id:
            return sender.incarnation != self._name.incarnation
        latest = self._transport.incarnation_of(sender.peer_id)
        return latest is not None and latest != sender.incarnation

    def _received(self, coordinator: Sender) -> ReceivedBatches | None:
        if self._is_replaced(coordinator):
            return None
        received = self._received_by_peer.get(coordinator.peer_id)
        if received and received.incarnation != coordinator.incarnation:
            self._drop_coordinator(coordinator.peer_id)
            received = None
        if received is None:
            received = ReceivedBatches(coordinator.incarnation)
            self._received_by_peer[coordinator.peer_id] = received
        return received

    def _drop_coordinator(self, peer_id: str) -> None:
        received = self._received_by_peer.pop(peer_id)
        for batch in received.open_by_id.values():
            batch.dropped = True
            self._to_report.pop(id(batch), None)
            for task in self._service(batch.service).queue.remove(batch):
                task.state = TaskState.DONE
                self._counters.add("holder.dropped")
            for task in batch.tasks:
                task.cancelled = task.cancelled or task.state is TaskState.BOUND
        self._counters.add("holder.coordinators_replaced")

    # Announcements in detail

    def _hear(self, announcement: Announcement) -> None:
        now = self._timers.now()
        self._counters.add("holder.announcements")
        if now < self._trusts_at:
            self._counters.add("holder.announcements.after_pause")
            return
        known = self._view_by_id.get(announcement.backend_id)
        if known and known.announcement.incarnation != announcement.incarnation:
            older = announcement.incarnation < known.announcement.incarnation
            if older and now - known.heard_at < _HOLDER_SILENT_S:
                self._counters.add("holder.announcements.old_incarnation")
                return
            self._forget(known)
            self._counters.add("holder.backends.new_incarnation")
        view = self._view_by_id.get(announcement.backend_id)
        is_new = view is None
        if view is None:
            waits_s = TAKEOVER_WAIT_S if announcement.followed else 0.0
            view = BackendView(announcement, Lease(now + waits_s), now)
            if known:
                view.speed = known.speed
        replaces = announcement.followed
        if not view.lease.renew(
            sequence=announcement.sequence,
            clock_s=announcement.clock_s,
            received_at=now,
            replaces=replaces,
        ):
            self._counters.add("holder.announcements.old")
            return
        if is_new:
            self._add_view(view)
        service = self._service(announcement.service)
        view.guards = self._rules(service.name).guards
        view.blocked = announcement.backend_id in self._blocked
        view.handed_over = False
        view.hear(announcement, now)
        if service.queue.count:
            self._mark(service)

    def _add_view(self, view: BackendView) -> None:
        said = view.announcement
        # The earlier holder's tasks are those that the usage shows.
        view.foreign = min(said.running, said.slots) if said.followed else 0
        self._view_by_id[view.backend_id] = view
        self._service(said.service).view_by_id[view.backend_id] = view
        self._counters.add("holder.backends.held")

    def _forget(self, view: BackendView) -> None:
        view.end()
        self._view_by_id.pop(view.backend_id, None)
        service = self._service(view.announcement.service)
        service.view_by_id.pop(view.backend_id, None)
        self._mark(service)

    def _see_other_holder(self, announcement: Announcement) -> None:
        view = self._view_by_id.get(announcement.backend_id)
        if view is None or view.announcement.incarnation != announcement.incarnation:
            return
        if announcement.sequence > view.lease.last_sequence and not view.handed_over:
            view.handed_over = True
            view.lease.expires_at = min(view.lease.expires_at, self._timers.now())
            self._counters.add("holder.backends.handed_over")

    def _is_live(self, holder: HolderName, now: float) -> bool:
        heard = self._cluster.view(holder.entry_id)
        if heard is None:
            # Just after a start or a pause nobody has been heard yet.
            return now - self._hears_since < _HOLDER_SILENT_S
        if heard.incarnation != holder.incarnation or heard.report.draining:
            return False
        return min(heard.age_s, now - self._hears_since) < _HOLDER_SILENT_S

    def _choose(self, announcement: Announcement, now: float) -> HolderName | None:
        configuration = self._configuration()
        excluded = {*configuration.drained_vms, *configuration.stopped_vms}
        if self._draining():
            excluded.add(self._name.entry_id)
        while self._promised and now - self._promised[0][0] > _PROMISE_S:
            self._promised.popleft()
        promised_slots: dict[str, int] = {}
        for _, entry_id, slots in self._promised:
            promised_slots[entry_id] = promised_slots.get(entry_id, 0) + slots
        chosen = choose_holder(
            self._cluster.live(_LIVE_S),
            failure_domain=announcement.failure_domain,
            excluded=excluded,
            promised_slots=promised_slots,
        )
        if chosen:
            self._promised.append((now, chosen.entry_id, announcement.slots))
        return chosen

    # Time

    def _check_pause(self, now: float) -> None:
        if now - self._ticked_at > _PAUSE_S:
            self._trusts_at = now + _AFTER_PAUSE_S
            self._hears_since = now
            self._ticked_at = now
            self._counters.add("holder.pauses")
            _LOG.warning("the process did not run for a time; its leases are renewed first")

    def _tick(self) -> None:
        now = self._timers.now()
        self._check_pause(now)
        self._ticked_at = now
        self._apply_configuration()
        for peer_id, received in list(self._received_by_peer.items()):
            if self._is_replaced(Sender(peer_id, received.incarnation)):
                self._drop_coordinator(peer_id)
        while self._unsent and self._send_result(*self._unsent[0]):
            self._unsent.popleft()
        for view in list(self._view_by_id.values()):
            self._check_lease_gone(view, now)
        for service in self._service_by_name.values():
            self._check_service(service, now)

    def _check_lease_gone(self, view: BackendView, now: float) -> None:
        gone_s = now - view.lease.expires_at
        if gone_s < _LEASE_GONE_S:
            return
        if not view.busy_by_start and gone_s > _HANDED_OVER_S:
            self._forget(view)
            self._counters.add("holder.backends.forgotten")
        elif view.exchanges and gone_s > (_HANDED_OVER_S if view.handed_over else _LEASE_GONE_S):
            self._counters.add("holder.backends.lease_gone")
            for scope in view.exchanges:
                scope.cancel()

    def _check_service(self, service: _Service, now: float) -> None:
        views = [view for view in service.view_by_id.values() if view.eligible(now)]
        eligible_ids = {view.backend_id for view in views}
        changed = service.eligible_ids != eligible_ids
        service.eligible_ids = eligible_ids
        if not service.queue.count or views:
            service.without_backend_since = None
        elif service.without_backend_since is None:
            service.without_backend_since = now
        elif now - service.without_backend_since >= _NO_BACKEND_S:
            everything = service.queue.remove_where(lambda task: True)
            self._refuse(everything, "no_backend", "the lease holder has no backend server now")
        if service.queue.count and views and changed:
            misfits = service.queue.remove_where(lambda task: not _fits_any(task, views))
            self._refuse(misfits, "no_backend", "no held backend server fits the task")
        if service.queue.count:
            self._mark(service)

    def _add_deadline(self, batch: Batch) -> None:
        self._deadline_number += 1
        heapq.heappush(self._deadlines, (batch.deadline_at, self._deadline_number, batch))
        if self._deadlines[0][2] is batch:
            self._new_deadline.set()

    async def _expire(self) -> None:
        while True:
            self._new_deadline = anyio.Event()
            now = self._timers.now()
            while self._deadlines and self._deadlines[0][0] <= now:
                batch = heapq.heappop(self._deadlines)[2]
                if not batch.remaining or batch.dropped:
                    continue
                queue = self._service(batch.service).queue
                self._refuse(queue.remove(batch), "deadline", "the deadline passed in the queue")
                self._report(batch)
            wait_s = self._deadlines[0][0] - now if self._deadlines else math.inf
            with anyio.move_on_after(wait_s):
                await self._new_deadline.wait()

    # Binding

    def _service(self, name: str) -> _Service:
        service = self._service_by_name.get(name)
        if service is None:
            service = self._service_by_name[name] = _Service(name, FairQueue(self._share))
        return service

    def _rules(self, service: str) -> ServiceConfig:
        return self._configuration().service_by_name.get(service) or ServiceConfig(service)

    def _share(self, team: str) -> float:
        rules = self._configuration().team_by_name.get(team)
        rules = rules or _DEFAULT_TEAM
        return rules.quota_tasks * rules.weight

    def _apply_configuration(self) -> None:
        configuration = self._configuration()
        if configuration is self._applied:
            return
        self._applied = configuration
        self._blocked = frozenset(configuration.drained_backends + configuration.stopped_backends)
        for view in self._view_by_id.values():
            view.blocked = view.backend_id in self._blocked
            view.guards = self._rules(view.announcement.service).guards

    def _mark(self, service: _Service) -> None:
        self._dirty.add(service.name)
        self._wake.set()

    async def _dispatch(self) -> None:
        while True:
            # What happens in one turn of the event loop is handled together.
            revisit_at = min(
                (service.revisit_at for service in self._service_by_name.values()),
                default=math.inf,
            )
            with anyio.move_on_after(max(0.0, revisit_at - self._timers.now())):
                await self._wake.wait()
            self._wake = anyio.Event()
            now = self._timers.now()
            for service in list(self._service_by_name.values()):
                if service.name in self._dirty or service.revisit_at <= now:
                    self._dirty.discard(service.name)
                    self._bind(service, now)
            self._flush()

    def _flush(self) -> None:
        assert self._group is not None
        views, self._to_cancel = self._to_cancel, {}
        for view in views.values():
            start_ids, view.cancel_ids = view.cancel_ids, []
            still_sent = [start_id for start_id in start_ids if start_id in view.busy_by_start]
            if still_sent and not view.dead:
                self._counters.add("holder.cancel_messages")
                self._group.start_soon(self._cancel_starts, view, still_sent)
        batches, self._to_report = self._to_report, {}
        for batch in batches.values():
            outcomes, batch.outcomes = batch.outcomes, []
            self._counters.add("holder.result_messages")
            if not batch.remaining:
                # The batch stays in the heap of deadlines; its payloads need not.
                batch.tasks.clear()
            batch.reply(BatchResult(batch.batch_id, outcomes))
        if not (self._dirty or self._to_report or self._to_cancel):
            self._wake = anyio.Event()

    def _bind(self, service: _Service, now: float) -> None:
        service.revisit_at = math.inf
        queue = service.queue
        if not queue.count:
            return
        self._apply_configuration()
        candidates = self._candidates(service, now)
        free = sum(candidate.free for candidate in candidates)
        capacity = sum(len(candidate.slot_times) * candidate.speed for candidate in candidates)
        aside: list[HeldTask] = []
        tasks_by_exchange: dict[tuple[int, int], list[HeldTask]] = {}
        policy = self._policy(service)
        while free and len(aside) < _MAX_ASIDE:
            task = queue.take()
            if task is None:
                break
            if task.batch.deadline_at <= now:
                self._refuse([task], "deadline", "the deadline passed in the queue")
                continue
            fitting = [
                candidate
                for candidate in candidates
                if candidate.view.fits(task.spec.spec) and candidate.view.backend_id != task.avoid
            ]
            if not fitting:
                self._refuse([task], "no_backend", "no held backend server fits the task")
                continue
            chosen = policy(task, fitting, self._random)
            if chosen and not chosen.free:
                chosen = within_backlog(task, fitting, queue.work_s / capacity) or chosen
            if chosen is None or not chosen.free:
                aside.append(task)
                if chosen is None:
                    continue
            else:
                free -= 1
                chosen.free -= 1
                task.state = TaskState.BOUND
                chosen.view.occupy(task, now)
                exchange = (id(chosen.view), id(task.batch))
                tasks_by_exchange.setdefault(exchange, []).append(task)
            work_s = task.spec.estimate_s / chosen.speed
            heapq.heapreplace(chosen.slot_times, chosen.slot_times[0] + work_s)
        queue.put_back(aside)
        self._start_exchanges(list(tasks_by_exchange.values()))
        if queue.count:
            service.revisit_at = self._next_visit(service, candidates if free else [], now)

    def _candidates(self, service: _Service, now: float) -> list[Candidate]:
        candidates = []
        for view in service.view_by_id.values():
            if view.eligible(now):
                times = view.slot_times(now)
                if times:
                    free = view.free_slots(now)
                    candidates.append(Candidate(view, view.current_speed, free, times))
        return candidates

    def _next_visit(self, service: _Service, waited_for: list[Candidate], now: float) -> float:
        times = [
            task.ends_at
            for candidate in waited_for
            for task in candidate.view.busy_by_start.values()
        ]
        for view in service.view_by_id.values():
            times.extend((view.rest_until, view.quarantine.probe_at, view.lease.starts_at))
        # Overdue tasks are looked at again after a short time, because their
        # predicted end moves while they run.
        later = [time for time in times if time > now]
        if waited_for:
            later.append(now + _OVERDUE_REVISIT_S)
        return max(min(later, default=math.inf), now + _SHORTEST_REVISIT_S)

    def _policy(self, service: _Service) -> Policy:
        name = self._rules(service.name).policy
        if service.policy is None or service.policy_name != name:
            service.policy_name = name
            service.policy = make_policy(name)
        return service.policy

    # Exchanges

    def _start_exchanges(self, exchanges: list[list[HeldTask]]) -> None:
        assert self._group is not None
        for tasks in exchanges:
            view = tasks[0].view
            assert view is not None
            self._group.start_soon(self._exchange, view, tasks)

    async def _exchange(self, view: BackendView, tasks: list[HeldTask]) -> None:
        starts = self._prepare(view, tasks)
        if not starts:
            return
        pending = {start.start_id: view.busy_by_start[start.start_id] for start in starts}
        answered = 0
        not_sent: NotSentError | None = None
        scope = anyio.CancelScope()
        view.exchanges.add(scope)
        try:
            with scope:
                async for result in self._send_to_backend(view.address, starts):
                    answered += self._take_result(view, pending, result)
        except NotSentError as error:
            not_sent = error
        except AnswerLostError:
            self._counters.add("holder.answers_lost")
            view.network_failed(self._timers.now())
        except Exception:
            # A fault in one exchange must not end the others; its tasks are asked for.
            self._counters.add("holder.exchange_errors")
            _LOG.exception("exchange with backend server {} failed", view.backend_id)
        finally:
            view.exchanges.discard(scope)
        self._mark(self._service(view.announcement.service))
        if not_sent and not answered:
            self._return_unsent(view, list(pending.values()), not_sent)
            return
        for task in pending.values():
            self._resolve_later(view, task)

    def _prepare(self, view: BackendView, tasks: list[HeldTask]) -> list[Start]:
        """Check each task immediately before the send and mark it as sent."""
        now = self._timers.now()
        self._check_pause(now)
        self._apply_configuration()
        may_send = view.eligible(now)
        starts: list[Start] = []
        returned: list[HeldTask] = []
        for task in tasks:
            left_s = task.batch.deadline_at - now
            if may_send and not task.cancelled and left_s > 0:
                task.state = TaskState.SENT
                task.sent_at = now
                self._budget.sent(now)
                spec = task.spec
                starts.append(
                    Start(spec.start_id, spec.spec.kind, spec.spec.payload, int(left_s * 1000))
                )
                continue
            view.release(task)
            returned.append(task)
        self._requeue(returned, now)
        if starts:
            self._counters.add("holder.exchanges")
            self._counters.add("holder.sent", len(starts))
        return starts

    def _return_unsent(self, view: BackendView, tasks: list[HeldTask], error: NotSentError) -> None:
        now = self._timers.now()
        view.network_failed(now)
        if error.refused:
            self._counters.add("holder.wasted.refused")
        else:
            self._counters.add("holder.connect_errors")
        for task in tasks:
            view.release(task)
        self._counters.add("holder.not_sent", len(tasks))
        self._requeue(tasks, now)

    def _requeue(self, tasks: list[HeldTask], now: float) -> None:
        """Return bound tasks to the queue, unless they were cancelled or are too late."""
        returned = []
        for task in tasks:
            if task.batch.dropped:
                task.state = TaskState.DONE
                self._counters.add("holder.dropped")
            elif task.cancelled:
                self._refuse([task], "cancelled", "cancelled before start")
            elif task.batch.deadline_at <= now:
                self._refuse([task], "deadline", "the deadline passed before the send")
            else:
                task.state = TaskState.QUEUED
                returned.append(task)
        if returned:
            service = self._service(returned[0].batch.service)
            service.queue.put_back(returned)
            self._mark(service)

    def _take_result(
        self, view: BackendView, pending: dict[str, HeldTask], result: StartResult
    ) -> int:
        if result.status in (RunStatus.RUNNING, RunStatus.UNKNOWN):
            return 0
        task = pending.pop(result.start_id, None)
        if task is None or task.state is not TaskState.SENT:
            self._counters.add("holder.wasted.unknown_result")
            return 0
        self._finish(view, task, result)
        return 1

    def _finish(self, view: BackendView, task: HeldTask, result: StartResult) -> None:
        now = self._timers.now()
        view.release(task)
        view.network_errors = 0
        speed = view.current_speed
        run_s = result.run_s if result.run_s > 0 else now - task.sent_at
        batch = task.batch
        status, error = OutcomeStatus.DONE, result.error
        if result.status is RunStatus.OK:
            throttle = speed / view.speed.value
            spec = task.spec.spec
            if view.speed.known:
                self._estimator.observe(batch.service, spec.kind, spec.declared_s, run_s * speed)
            view.speed.observe(task.spec.estimate_s, run_s * throttle)
            if view.quarantine.succeeded(view.announcement.slots, now):
                self._counters.add("holder.quarantine.left")
                _LOG.info("backend server {} left quarantine", view.backend_id)
        elif result.status is RunStatus.FAILED:
            status = OutcomeStatus.FAILED
            self._record_failure(view, batch.service, now)
        else:
            # A stopped or cancelled task may have run in part.
            status = OutcomeStatus.UNKNOWN
            error = error or f"{result.status.value} by its backend server"
        self._conclude(
            task,
            TaskOutcome(
                start_id=task.spec.start_id,
                status=status,
                value=result.value if status is OutcomeStatus.DONE else None,
                error=error,
                backend_id=view.backend_id,
                run_s=run_s,
                speed=speed,
            ),
        )
        self._mark(self._service(view.announcement.service))

    def _record_failure(self, view: BackendView, service: str, now: float) -> None:
        if not self._rules(service).quarantine:
            return
        if view.quarantine.failed(now, may_enter=lambda: self._may_quarantine(service)):
            self._counters.add("holder.quarantine.entered")
            _LOG.warning("backend server {} is in quarantine", view.backend_id)

    def _may_quarantine(self, service: str) -> bool:
        """Return whether at most a third of the service's backend servers would be in quarantine.

        One is always allowed, because a service of one or two has no third.
        """
        total = quarantined = 0
        for entry in self._cluster.live(_LIVE_S):
            if entry.entry_id == self._name.entry_id:
                continue
            for load in entry.report.backends:
                if load.service == service:
                    total += 1
                    quarantined += load.quarantined
        own = self._service(service).view_by_id.values()
        total += len(own)
        quarantined += sum(view.quarantine.active for view in own)
        return quarantined < max(1, total // 3)

    # Lost answers

    def _resolve_later(self, view: BackendView, task: HeldTask) -> None:
        assert self._group is not None
        if view.dead:
            self._lose(view, task, "its backend server was replaced by a new incarnation")
        else:
            self._group.start_soon(self._resolve, view, task)

    async def _resolve(self, view: BackendView, task: HeldTask) -> None:
        """Ask for a result until it is known, the backend server is replaced, or time is up."""
        limit_at = self._timers.now() + _ASK_LIMIT_S
        wait_s = _FIRST_ASK_WAIT_S
        reason = "its backend server was replaced by a new incarnation"
        scope = anyio.CancelScope()
        view.asks.add(scope)
        with scope:
            while True:
                result = await self._ask(view, task)
                now = self._timers.now()
                if result is None:
                    reason = "its backend server does not answer"
                elif result.status is RunStatus.UNKNOWN:
                    reason = "its backend server has not received it"
                    break
                elif result.status is not RunStatus.RUNNING:
                    view.asks.discard(scope)
                    self._finish(view, task, result)
                    return
                elif now < view.lease.expires_at + _HANDED_OVER_S:
                    limit_at = now + _ASK_LIMIT_S
                if now >= limit_at:
                    break
                await self._timers.sleep(wait_s)
                wait_s = min(wait_s * 2, _LONGEST_ASK_WAIT_S)
        view.asks.discard(scope)
        self._lose(view, task, reason)

    async def _ask(self, view: BackendView, task: HeldTask) -> StartResult | None:
        self._counters.add("holder.wasted.asks")
        try:
            with anyio.move_on_after(_ASK_TIMEOUT_S):
                return await self._ask_backend(view.address, task.spec.start_id)
        except AnswerLostError:
            self._counters.add("holder.asks_lost")
        except Exception:
            self._counters.add("holder.ask_errors")
            _LOG.exception("request for a result from backend server {} failed", view.backend_id)
        return None

    def _lose(self, view: BackendView, task: HeldTask, reason: str) -> None:
        now = self._timers.now()
        if view.dead:
            view.release(task)
        else:
            view.lose(task, now)
        if self._may_retry(task, now):
            task.sent_before = True
            task.avoid = "" if view.dead else view.backend_id
            task.state = TaskState.QUEUED
            service = self._service(task.batch.service)
            service.queue.put_back([task])
            self._counters.add("holder.retries")
            self._mark(service)
            return
        self._counters.add("holder.lost")
        self._conclude(
            task,
            TaskOutcome(
                start_id=task.spec.start_id,
                status=OutcomeStatus.UNKNOWN,
                error=reason,
                backend_id=view.backend_id,
            ),
        )
        self._mark(self._service(task.batch.service))

    def _may_retry(self, task: HeldTask, now: float) -> bool:
        return (
            task.batch.single
            and task.spec.spec.idempotent
            and not task.sent_before
            and not task.cancelled
            and not task.batch.dropped
            and task.batch.deadline_at > now
            and self._rules(task.batch.service).retry_idempotent
            and self._budget.take(now)
        )

    async def _cancel_starts(self, view: BackendView, start_ids: list[str]) -> None:
        try:
            await self._cancel_on_backend(view.address, start_ids)
        except Exception:
            self._counters.add("holder.cancel_errors")
            _LOG.exception("cancel message to backend server {} failed", view.backend_id)

    # Outcomes

    def _refuse(self, tasks: list[HeldTask], reason: str, message: str) -> None:
        """Answer tasks that were not sent."""
        for task in tasks:
            status = OutcomeStatus.UNKNOWN if task.sent_before else OutcomeStatus.NOT_STARTED
            self._counters.add(f"holder.not_started.{reason}")
            self._conclude(
                task, TaskOutcome(start_id=task.spec.start_id, status=status, error=message)
            )

    def _conclude(self, task: HeldTask, outcome: TaskOutcome) -> None:
        task.state = TaskState.DONE
        batch = task.batch
        batch.remaining -= 1
        self._counters.add(f"holder.outcomes.{outcome.status.value}")
        if batch.dropped:
            return
        batch.outcomes.append(outcome)
        # Results wait for the whole batch, which saves messages. What the
        # coordinator must act on is reported at once.
        if not batch.remaining or outcome.status in (
            OutcomeStatus.NOT_STARTED,
            OutcomeStatus.UNKNOWN,
        ):
            self._report(batch)

    def _report(self, batch: Batch) -> None:
        if batch.dropped:
            return
        if not batch.remaining:
            received = self._received_by_peer.get(batch.coordinator.peer_id)
            if received and received.incarnation == batch.coordinator.incarnation:
                received.open_by_id.pop(batch.batch_id, None)
        if batch.outcomes or not batch.tasks:
            self._to_report[id(batch)] = batch
            self._wake.set()


def _fits_any(task: HeldTask, views: list[BackendView]) -> bool:
    return any(view.fits(task.spec.spec) for view in views)
