"""Outcomes of tasks and their reporting to coordinators."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import attrs

from apricotpoint._dispatch.context import HolderContext
from apricotpoint._dispatch.queue import Batch, HeldTask, TaskState
from apricotpoint._dispatch.received import ReceivedBatches
from apricotpoint._link.transport import Sender
from apricotpoint._wire.tasks import BatchResult, OutcomeStatus, TaskOutcome


class OutcomeReporter:
    """Records the outcomes of tasks and reports them to the coordinators of their batches."""

    def __init__(self, context: HolderContext) -> None:
        self.batches_by_coordinator: dict[str, ReceivedBatches] = {}
        self.unsent_results: deque[tuple[Sender, BatchResult]] = deque()
        self._context = context
        self._counters = context.counters
        self._batch_to_report_by_id: dict[int, Batch] = {}

    def batches_of(self, coordinator: Sender) -> ReceivedBatches | None:
        """Return the batches of a coordinator; None if a newer incarnation of it is known.

        Drops the batches of an earlier incarnation.
        """
        if self.is_replaced(coordinator):
            return None
        received = self.batches_by_coordinator.get(coordinator.peer_id)
        if received and received.incarnation != coordinator.incarnation:
            self._drop_coordinator(coordinator.peer_id)
            received = None
        if received is None:
            received = ReceivedBatches(coordinator.incarnation)
            self.batches_by_coordinator[coordinator.peer_id] = received
        return received

    def open_batch(self, coordinator: Sender, batch_id: int) -> Batch | None:
        """Return an open batch of this incarnation of a coordinator, None if it has none."""
        received = self.batches_by_coordinator.get(coordinator.peer_id)
        if received is None or received.incarnation != coordinator.incarnation:
            return None
        return received.open_batch_by_id.get(batch_id)

    def is_replaced(self, sender: Sender) -> bool:
        """Return whether another incarnation of the process is the current one."""
        own = self._context.name
        if sender.peer_id == own.entry_id:
            return sender.incarnation != own.incarnation
        current = self._context.transport.incarnation_of(sender.peer_id)
        return current is not None and current != sender.incarnation

    def drop_replaced_coordinators(self) -> None:
        """Drop the batches of coordinators that have a new incarnation."""
        for peer_id, received in list(self.batches_by_coordinator.items()):
            if self.is_replaced(Sender(peer_id, received.incarnation)):
                self._drop_coordinator(peer_id)

    def idle(self) -> bool:
        """Return whether no batch is open and every outcome has been reported."""
        return not (
            self._batch_to_report_by_id
            or self.unsent_results
            or any(received.open_batch_by_id for received in self.batches_by_coordinator.values())
        )

    def pending(self) -> bool:
        """Return whether `flush` has outcomes to report."""
        return bool(self._batch_to_report_by_id)

    def refuse(self, tasks: list[HeldTask], reason: str, message: str) -> None:
        """Record as not started tasks that will not be sent.

        A retry is recorded as unknown, because its first start may have run.
        `reason` is the suffix of the counter, `message` the error of the outcome.
        """
        for task in tasks:
            status = OutcomeStatus.UNKNOWN if task.is_retry else OutcomeStatus.NOT_STARTED
            self._counters.add(f"holder.not_started.{reason}")
            self.record(
                task, TaskOutcome(start_id=task.spec.start_id, status=status, error=message)
            )

    def record(self, task: HeldTask, outcome: TaskOutcome) -> None:
        """Record the final outcome of a task; call it once for each task."""
        task.state = TaskState.DONE
        batch = task.batch
        batch.remaining -= 1
        self._counters.add(f"holder.outcomes.{outcome.status.value}")
        if batch.dropped:
            return
        batch.outcomes.append(outcome)
        # Outcomes are collected until the batch is complete, which saves messages.
        # Those that the coordinator must act on are reported at once.
        if not batch.remaining or outcome.status in (
            OutcomeStatus.NOT_STARTED,
            OutcomeStatus.UNKNOWN,
        ):
            self.report(batch)

    def report(self, batch: Batch) -> None:
        """Have the recorded outcomes of a batch reported by the next `flush`."""
        if batch.dropped:
            return
        if not batch.remaining:
            received = self.batches_by_coordinator.get(batch.coordinator.peer_id)
            if received and received.incarnation == batch.coordinator.incarnation:
                received.open_batch_by_id.pop(batch.batch_id, None)
        if batch.outcomes or not batch.tasks:
            self._batch_to_report_by_id[id(batch)] = batch
            self._context.wake.set()

    def flush(self) -> None:
        """Report the outcomes of the batches passed to `report` since the last call."""
        batches, self._batch_to_report_by_id = self._batch_to_report_by_id, {}
        for batch in batches.values():
            outcomes, batch.outcomes = batch.outcomes, []
            self._counters.add("holder.result_messages")
            if not batch.remaining:
                # The heap of deadlines still refers to the batch; this frees the payloads.
                batch.tasks.clear()
            batch.reply(BatchResult(batch.batch_id, outcomes))

    def reply_to(self, sender: Sender) -> Callable[[BatchResult], None]:
        """Return a function that sends results to a remote coordinator, in order."""

        def reply(result: BatchResult) -> None:
            # Results that did not fit into the queue of the link earlier go first.
            if self.unsent_results or not self._send(sender, result):
                self.unsent_results.append((sender, result))

        return reply

    def retry_unsent(self) -> None:
        """Send the results that the queue of the link had no room for."""
        while self.unsent_results and self._send(*self.unsent_results[0]):
            self.unsent_results.popleft()

    def _send(self, sender: Sender, result: BatchResult) -> bool:
        if self.is_replaced(sender):
            self._counters.add("holder.wasted.result_for_replaced")
            return True
        result = attrs.evolve(result, load=self._context.cluster.report_for(sender.peer_id))
        return self._context.transport.send(sender.peer_id, result, reliable=True)

    def _drop_coordinator(self, peer_id: str) -> None:
        received = self.batches_by_coordinator.pop(peer_id)
        for batch in received.open_batch_by_id.values():
            batch.dropped = True
            self._batch_to_report_by_id.pop(id(batch), None)
            for task in self._context.service(batch.service).queue.remove(batch):
                task.state = TaskState.DONE
                self._counters.add("holder.dropped")
            for task in batch.tasks:
                task.cancelled = task.cancelled or task.state is TaskState.BOUND
        self._counters.add("holder.coordinators_replaced")
