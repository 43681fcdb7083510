"""Cancellation of batches at the lease holder."""

from __future__ import annotations

import logbook

from apricotpoint._dispatch.backend import BackendView
from apricotpoint._dispatch.context import HolderContext
from apricotpoint._dispatch.exchange import CancelOnBackend
from apricotpoint._dispatch.outcomes import OutcomeReporter
from apricotpoint._dispatch.queue import TaskState
from apricotpoint._link.transport import Sender

_LOG = logbook.Logger(__name__)


class Canceller:
    """Cancels queued tasks at once, and sent tasks with one message per backend server and pass."""

    def __init__(
        self, context: HolderContext, outcomes: OutcomeReporter, cancel_on_backend: CancelOnBackend
    ) -> None:
        self._context = context
        self._outcomes = outcomes
        self._cancel_on_backend = cancel_on_backend
        self._view_to_cancel_by_id: dict[int, BackendView] = {}

    def cancel(self, coordinator: Sender, batch_ids: list[int]) -> None:
        """Cancel batches of a coordinator; ids that are not open are counted and ignored."""
        for batch_id in batch_ids:
            batch = self._outcomes.open_batch(coordinator, batch_id)
            if batch is None:
                self._context.counters.add("holder.wasted.cancel_unknown")
                continue
            queue = self._context.service(batch.service).queue
            self._outcomes.refuse(
                queue.remove(batch),
                "cancelled",
                "cancelled while queued at the lease holder",
            )
            for task in batch.tasks:
                if task.cancelled or task.state not in (TaskState.BOUND, TaskState.SENT):
                    continue
                task.cancelled = True
                if task.state is TaskState.SENT and task.view:
                    task.view.start_ids_to_cancel.append(task.spec.start_id)
                    self._view_to_cancel_by_id[id(task.view)] = task.view
                    self._context.wake.set()

    def pending(self) -> bool:
        """Return whether `flush` has messages to send."""
        return bool(self._view_to_cancel_by_id)

    def flush(self) -> None:
        """Send the cancellations collected since the last call, without blocking."""
        views, self._view_to_cancel_by_id = self._view_to_cancel_by_id, {}
        for view in views.values():
            start_ids, view.start_ids_to_cancel = view.start_ids_to_cancel, []
            running_start_ids = [
                start_id for start_id in start_ids if start_id in view.task_by_start_id
            ]
            if running_start_ids and not view.discarded:
                self._context.counters.add("holder.cancel_messages")
                self._context.task_group().start_soon(self._send, view, running_start_ids)

    async def _send(self, view: BackendView, start_ids: list[str]) -> None:
        try:
            await self._cancel_on_backend(view.address, start_ids)
        except Exception:
            self._context.counters.add("holder.cancel_errors")
            _LOG.exception(
                "cancelling {} starts on backend server {} failed", len(start_ids), view.backend_id
            )
