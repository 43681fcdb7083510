"""HTTP exchanges with backend servers, each of one batch."""

from __future__ import annotations

import anyio
import logbook

from apricotpoint._dispatch.backend import BackendView
from apricotpoint._dispatch.budget import RetryBudget
from apricotpoint._dispatch.context import HolderContext
from apricotpoint._dispatch.exchange import (
    NotSentError,
    ResponseLostError,
    RunStatus,
    SendToBackend,
    Start,
    StartResult,
)
from apricotpoint._dispatch.expiry import QueueExpiry
from apricotpoint._dispatch.pause import PauseDetector
from apricotpoint._dispatch.queue import HeldTask, TaskState
from apricotpoint._dispatch.recovery import ResultRecovery
from apricotpoint._dispatch.results import ResultHandler

_LOG = logbook.Logger(__name__)


class TaskSender:
    """Sends bound tasks to their backend servers and handles the results.

    Tasks of one batch on one backend server share an exchange.
    """

    def __init__(
        self,
        context: HolderContext,
        *,
        pause: PauseDetector,
        expiry: QueueExpiry,
        results: ResultHandler,
        recovery: ResultRecovery,
        budget: RetryBudget,
        send_to_backend: SendToBackend,
    ) -> None:
        self._context = context
        self._counters = context.counters
        self._pause = pause
        self._expiry = expiry
        self._results = results
        self._recovery = recovery
        self._budget = budget
        self._send_to_backend = send_to_backend

    def start(self, exchanges: list[list[HeldTask]]) -> None:
        """Start one exchange for each list; its tasks are bound to the same backend server."""
        for tasks in exchanges:
            view = tasks[0].view
            assert view is not None
            self._context.task_group().start_soon(self._exchange, view, tasks)

    async def _exchange(self, view: BackendView, tasks: list[HeldTask]) -> None:
        starts = self._prepare_starts(view, tasks)
        if not starts:
            return
        pending = {start.start_id: view.task_by_start_id[start.start_id] for start in starts}
        finished = 0
        not_sent: NotSentError | None = None
        scope = anyio.CancelScope()
        view.exchanges.add(scope)
        try:
            with scope:
                async for result in self._send_to_backend(view.address, starts):
                    finished += self._handle_result(view, pending, result)
        except NotSentError as error:
            not_sent = error
        except ResponseLostError:
            self._counters.add("holder.answers_lost")
            view.record_network_error(self._context.timers.now())
        except Exception:
            # A failure of one exchange must not end the others; the results of its
            # tasks are requested.
            self._counters.add("holder.exchange_errors")
            _LOG.exception(
                "exchange of {} starts with backend server {} failed; requesting their results",
                len(starts),
                view.backend_id,
            )
        finally:
            view.exchanges.discard(scope)
        self._context.schedule_binding(self._context.service(view.announcement.service))
        if not_sent and not finished:
            self._return_unsent(view, list(pending.values()), not_sent)
            return
        for task in pending.values():
            self._recovery.recover(view, task)

    def _prepare_starts(self, view: BackendView, tasks: list[HeldTask]) -> list[Start]:
        """Mark the tasks that may still be sent as sent; release the others.

        Lease, cancellation and deadline are checked immediately before the send,
        because they may have changed since the task was bound.
        """
        now = self._context.timers.now()
        self._pause.check(now)
        self._context.apply_configuration()
        may_send = view.is_eligible(now)
        starts: list[Start] = []
        returned: list[HeldTask] = []
        for task in tasks:
            remaining_s = task.batch.deadline_at - now
            if may_send and not task.cancelled and remaining_s > 0:
                task.state = TaskState.SENT
                task.sent_at = now
                self._budget.record_send(now)
                spec = task.spec
                starts.append(
                    Start(spec.start_id, spec.spec.kind, spec.spec.payload, int(remaining_s * 1000))
                )
                continue
            view.release(task)
            returned.append(task)
        self._expiry.requeue(returned, now)
        if starts:
            self._counters.add("holder.exchanges")
            self._counters.add("holder.sent", len(starts))
        return starts

    def _return_unsent(self, view: BackendView, tasks: list[HeldTask], error: NotSentError) -> None:
        now = self._context.timers.now()
        view.record_network_error(now)
        if error.refused:
            self._counters.add("holder.wasted.refused")
        else:
            self._counters.add("holder.connect_errors")
        for task in tasks:
            view.release(task)
        self._counters.add("holder.not_sent", len(tasks))
        self._expiry.requeue(tasks, now)

    def _handle_result(
        self, view: BackendView, pending: dict[str, HeldTask], result: StartResult
    ) -> int:
        if result.status in (RunStatus.RUNNING, RunStatus.UNKNOWN):
            return 0
        task = pending.pop(result.start_id, None)
        if task is None or task.state is not TaskState.SENT:
            self._counters.add("holder.wasted.unknown_result")
            return 0
        self._results.finish(view, task, result)
        return 1
