"""Results of tasks, and what is learned from them about speeds, run times and failures."""

from __future__ import annotations

import logbook

from apricotpoint._dispatch.backend import BackendView
from apricotpoint._dispatch.context import MAX_REPORT_AGE_S, HolderContext
from apricotpoint._dispatch.exchange import RunStatus, StartResult
from apricotpoint._dispatch.outcomes import OutcomeReporter
from apricotpoint._dispatch.queue import HeldTask
from apricotpoint._wire.codec import find_encode_error
from apricotpoint._wire.tasks import OutcomeStatus, TaskOutcome

_LOG = logbook.Logger(__name__)


class ResultHandler:
    """Records outcomes of sent tasks and updates speeds, run-time estimates and quarantines."""

    def __init__(self, context: HolderContext, outcomes: OutcomeReporter) -> None:
        self._context = context
        self._outcomes = outcomes

    def finish(self, view: BackendView, task: HeldTask, result: StartResult) -> None:
        """Free the slot of a sent task, learn from its result and record its outcome."""
        now = self._context.timers.now()
        view.release(task)
        view.network_errors = 0
        speed = view.effective_speed
        run_s = result.run_s if result.run_s > 0 else now - task.sent_at
        batch = task.batch
        status, error = OutcomeStatus.DONE, result.error
        if result.status is RunStatus.OK:
            throttle = speed / view.speed.value
            spec = task.spec.spec
            if view.speed.is_learned:
                self._context.estimator.observe(
                    batch.service, spec.kind, spec.declared_s, run_s * speed
                )
            view.speed.observe(task.spec.estimate_s, run_s * throttle)
            if view.quarantine.record_success(view.announcement.slots, now):
                self._context.counters.add("holder.quarantine.left")
                _LOG.info(
                    "backend server {} of service {} left quarantine",
                    view.backend_id,
                    batch.service,
                )
            encode_error = find_encode_error(result.value)
            if encode_error is not None:
                status = OutcomeStatus.FAILED
                error = f"its result cannot be passed on: {encode_error}"
        elif result.status is RunStatus.FAILED:
            status = OutcomeStatus.FAILED
            self._record_failure(view, batch.service, now)
        else:
            # A stopped or cancelled task may have run partly.
            status = OutcomeStatus.UNKNOWN
            error = error or f"{result.status.value} by the backend server"
        self._outcomes.record(
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
        self._context.schedule_binding(self._context.service(view.announcement.service))

    def _record_failure(self, view: BackendView, service: str, now: float) -> None:
        if not self._context.service_config(service).quarantine:
            return
        if view.quarantine.record_failure(now, may_enter=lambda: self._may_quarantine(service)):
            self._context.counters.add("holder.quarantine.entered")
            _LOG.warning(
                "backend server {} of service {} is in quarantine; next probe task in {:.1f} s",
                view.backend_id,
                service,
                view.quarantine.probe_at - now,
            )

    def _may_quarantine(self, service: str) -> bool:
        """Return whether one more backend server of the service may enter quarantine.

        At most a third of them may be in quarantine at all lease holders together.
        One is always allowed, because a third of one or two rounds down to none.
        """
        total = quarantined = 0
        for entry in self._context.cluster.live_entries(MAX_REPORT_AGE_S):
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
