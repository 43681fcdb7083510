"""Results of tasks: what they teach about backend servers and kinds of tasks."""

from __future__ import annotations

import logbook

from apricotpoint._dispatch.backend import BackendView
from apricotpoint._dispatch.context import LIVE_S, HolderContext
from apricotpoint._dispatch.exchange import RunStatus, StartResult
from apricotpoint._dispatch.outcomes import Outcomes
from apricotpoint._dispatch.queue import HeldTask
from apricotpoint._wire.tasks import OutcomeStatus, TaskOutcome

_LOG = logbook.Logger(__name__)


class Results:
    """Finishes sent tasks and keeps speeds, estimates and quarantines up to date."""

    def __init__(self, context: HolderContext, outcomes: Outcomes) -> None:
        self._context = context
        self._outcomes = outcomes

    def finish(self, view: BackendView, task: HeldTask, result: StartResult) -> None:
        """Apply the result of a sent task."""
        now = self._context.timers.now()
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
                self._context.estimator.observe(
                    batch.service, spec.kind, spec.declared_s, run_s * speed
                )
            view.speed.observe(task.spec.estimate_s, run_s * throttle)
            if view.quarantine.succeeded(view.announcement.slots, now):
                self._context.counters.add("holder.quarantine.left")
                _LOG.info("backend server {} left quarantine", view.backend_id)
        elif result.status is RunStatus.FAILED:
            status = OutcomeStatus.FAILED
            self._record_failure(view, batch.service, now)
        else:
            # A stopped or cancelled task may have run in part.
            status = OutcomeStatus.UNKNOWN
            error = error or f"{result.status.value} by its backend server"
        self._outcomes.conclude(
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
        self._context.mark(self._context.service(view.announcement.service))

    def _record_failure(self, view: BackendView, service: str, now: float) -> None:
        if not self._context.rules(service).quarantine:
            return
        if view.quarantine.failed(now, may_enter=lambda: self._may_quarantine(service)):
            self._context.counters.add("holder.quarantine.entered")
            _LOG.warning("backend server {} is in quarantine", view.backend_id)

    def _may_quarantine(self, service: str) -> bool:
        """Return whether at most a third of the service's backend servers would be in quarantine.

        One is always allowed, because a service of one or two has no third.
        """
        total = quarantined = 0
        for entry in self._context.cluster.live_entries(LIVE_S):
            if entry.entry_id == self._context.name.entry_id:
                continue
            for load in entry.report.backends:
                if load.service == service:
                    total += 1
                    quarantined += load.quarantined
        own = self._context.service(service).view_by_id.values()
        total += len(own)
        quarantined += sum(view.quarantine.active for view in own)
        return quarantined < max(1, total // 3)
