"""Lost answers: they are requested until known, and some tasks are started again."""

from __future__ import annotations

import anyio
import logbook

from apricotpoint._dispatch.backend import BackendView
from apricotpoint._dispatch.budget import RetryBudget
from apricotpoint._dispatch.context import HolderContext
from apricotpoint._dispatch.exchange import FetchResult, ResponseLostError, RunStatus, StartResult
from apricotpoint._dispatch.outcomes import Outcomes
from apricotpoint._dispatch.queue import HeldTask, TaskState
from apricotpoint._dispatch.results import Results
from apricotpoint._wire.tasks import OutcomeStatus, TaskOutcome

# After a handover the answers of a backend server are still expected on the
# open connections.
HANDED_OVER_S = 30.0

_ASK_LIMIT_S = 4.0
_ASK_TIMEOUT_S = 2.0
_FIRST_ASK_WAIT_S = 0.05
_LONGEST_ASK_WAIT_S = 0.5

_LOG = logbook.Logger(__name__)


class LostAnswers:
    """Follows sent tasks whose answer did not arrive on their connection."""

    def __init__(
        self,
        context: HolderContext,
        outcomes: Outcomes,
        results: Results,
        budget: RetryBudget,
        fetch_result: FetchResult,
    ) -> None:
        self._context = context
        self._counters = context.counters
        self._outcomes = outcomes
        self._results = results
        self._budget = budget
        self._fetch_result = fetch_result

    def follow(self, view: BackendView, task: HeldTask) -> None:
        """Find out how a sent task ended."""
        if view.dead:
            self._lose(view, task, "its backend server was replaced by a new incarnation")
        else:
            self._context.tasks().start_soon(self._resolve, view, task)

    async def _resolve(self, view: BackendView, task: HeldTask) -> None:
        """Ask for a result until it is known, the backend server is replaced, or time is up."""
        timers = self._context.timers
        limit_at = timers.now() + _ASK_LIMIT_S
        wait_s = _FIRST_ASK_WAIT_S
        reason = "its backend server was replaced by a new incarnation"
        scope = anyio.CancelScope()
        view.asks.add(scope)
        with scope:
            while True:
                result = await self._ask(view, task)
                now = timers.now()
                if result is None:
                    reason = "its backend server does not answer"
                elif result.status is RunStatus.UNKNOWN:
                    reason = "its backend server has not received it"
                    break
                elif result.status is not RunStatus.RUNNING:
                    view.asks.discard(scope)
                    self._results.finish(view, task, result)
                    return
                elif now < view.lease.expires_at + HANDED_OVER_S:
                    limit_at = now + _ASK_LIMIT_S
                if now >= limit_at:
                    break
                await timers.sleep(wait_s)
                wait_s = min(wait_s * 2, _LONGEST_ASK_WAIT_S)
        view.asks.discard(scope)
        self._lose(view, task, reason)

    async def _ask(self, view: BackendView, task: HeldTask) -> StartResult | None:
        self._counters.add("holder.wasted.asks")
        try:
            with anyio.move_on_after(_ASK_TIMEOUT_S):
                return await self._fetch_result(view.address, task.spec.start_id)
        except ResponseLostError:
            self._counters.add("holder.asks_lost")
        except Exception:
            self._counters.add("holder.ask_errors")
            _LOG.exception("request for a result from backend server {} failed", view.backend_id)
        return None

    def _lose(self, view: BackendView, task: HeldTask, reason: str) -> None:
        now = self._context.timers.now()
        if view.dead:
            view.release(task)
        else:
            view.lose(task, now)
        service = self._context.service(task.batch.service)
        if self._may_retry(task, now):
            task.sent_before = True
            task.avoid = "" if view.dead else view.backend_id
            task.state = TaskState.QUEUED
            service.queue.put_back([task])
            self._counters.add("holder.retries")
            self._context.mark(service)
            return
        self._counters.add("holder.lost")
        self._outcomes.conclude(
            task,
            TaskOutcome(
                start_id=task.spec.start_id,
                status=OutcomeStatus.UNKNOWN,
                error=reason,
                backend_id=view.backend_id,
            ),
        )
        self._context.mark(service)

    def _may_retry(self, task: HeldTask, now: float) -> bool:
        return (
            task.batch.single
            and task.spec.spec.idempotent
            and not task.sent_before
            and not task.cancelled
            and not task.batch.dropped
            and task.batch.deadline_at > now
            and self._context.rules(task.batch.service).retry_idempotent
            and self._budget.take(now)
        )
