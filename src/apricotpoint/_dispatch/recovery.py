"""Recovery of results whose response was lost, and retries of idempotent tasks."""

from __future__ import annotations

import anyio
import logbook

from apricotpoint._dispatch.backend import BackendView
from apricotpoint._dispatch.budget import RetryBudget
from apricotpoint._dispatch.context import HolderContext
from apricotpoint._dispatch.exchange import FetchResult, ResponseLostError, RunStatus, StartResult
from apricotpoint._dispatch.outcomes import OutcomeReporter
from apricotpoint._dispatch.queue import HeldTask, TaskState
from apricotpoint._dispatch.results import ResultHandler
from apricotpoint._wire.tasks import OutcomeStatus, TaskOutcome

# After a handover the results of the tasks sent before still arrive on the open
# connections, for at most this time.
HANDOVER_GRACE_S = 30.0

_RECOVERY_LIMIT_S = 4.0
_REQUEST_TIMEOUT_S = 2.0
_INITIAL_RETRY_DELAY_S = 0.05
_MAX_RETRY_DELAY_S = 0.5

_LOG = logbook.Logger(__name__)


class ResultRecovery:
    """Determines the outcome of sent tasks whose response was lost.

    The result is requested over a new connection. A task with no result is
    started once more on another backend server if its service allows it and the
    task is a single idempotent one; otherwise its outcome is reported as unknown.
    """

    def __init__(
        self,
        context: HolderContext,
        outcomes: OutcomeReporter,
        results: ResultHandler,
        budget: RetryBudget,
        fetch_result: FetchResult,
    ) -> None:
        self._context = context
        self._counters = context.counters
        self._outcomes = outcomes
        self._results = results
        self._budget = budget
        self._fetch_result = fetch_result

    def recover(self, view: BackendView, task: HeldTask) -> None:
        """Determine the outcome of a sent task in the background, without blocking."""
        if view.discarded:
            self._retry_or_report_unknown(
                view, task, "the backend server was replaced by a new incarnation"
            )
        else:
            self._context.task_group().start_soon(self._request_until_known, view, task)

    async def _request_until_known(self, view: BackendView, task: HeldTask) -> None:
        """Request a result until it is known, the backend server is replaced, or time is up."""
        timers = self._context.timers
        give_up_at = timers.now() + _RECOVERY_LIMIT_S
        retry_delay_s = _INITIAL_RETRY_DELAY_S
        reason = "the backend server was replaced by a new incarnation"
        scope = anyio.CancelScope()
        view.result_requests.add(scope)
        with scope:
            while True:
                result = await self._request_result(view, task)
                now = timers.now()
                if result is None:
                    reason = "the backend server did not answer requests for the result"
                elif result.status is RunStatus.UNKNOWN:
                    reason = "the backend server has no record of the start"
                    break
                elif result.status is not RunStatus.RUNNING:
                    view.result_requests.discard(scope)
                    self._results.finish(view, task, result)
                    return
                elif now < view.lease.expires_at + HANDOVER_GRACE_S:
                    give_up_at = now + _RECOVERY_LIMIT_S
                if now >= give_up_at:
                    break
                await timers.sleep(retry_delay_s)
                retry_delay_s = min(retry_delay_s * 2, _MAX_RETRY_DELAY_S)
        view.result_requests.discard(scope)
        self._retry_or_report_unknown(view, task, reason)

    async def _request_result(self, view: BackendView, task: HeldTask) -> StartResult | None:
        self._counters.add("holder.wasted.asks")
        try:
            with anyio.move_on_after(_REQUEST_TIMEOUT_S):
                return await self._fetch_result(view.address, task.spec.start_id)
        except ResponseLostError:
            self._counters.add("holder.asks_lost")
        except Exception:
            self._counters.add("holder.ask_errors")
            _LOG.exception(
                "requesting the result of start {} from backend server {} failed",
                task.spec.start_id,
                view.backend_id,
            )
        return None

    def _retry_or_report_unknown(self, view: BackendView, task: HeldTask, reason: str) -> None:
        now = self._context.timers.now()
        if view.discarded:
            view.release(task)
        else:
            view.stop_tracking(task, now)
        service = self._context.service(task.batch.service)
        if self._may_retry(task, now):
            task.is_retry = True
            task.avoided_backend_id = "" if view.discarded else view.backend_id
            task.state = TaskState.QUEUED
            service.queue.put_back([task])
            self._counters.add("holder.retries")
            self._context.schedule_binding(service)
            return
        self._counters.add("holder.lost")
        self._outcomes.record(
            task,
            TaskOutcome(
                start_id=task.spec.start_id,
                status=OutcomeStatus.UNKNOWN,
                error=reason,
                backend_id=view.backend_id,
            ),
        )
        self._context.schedule_binding(service)

    def _may_retry(self, task: HeldTask, now: float) -> bool:
        return (
            task.batch.single
            and task.spec.spec.idempotent
            and not task.is_retry
            and not task.cancelled
            and not task.batch.dropped
            and task.batch.deadline_at > now
            and self._context.service_config(task.batch.service).retry_idempotent
            and self._budget.try_acquire(now)
        )
