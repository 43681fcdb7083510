"""Execution of jobs: sends their tasks to lease holders and collects the outcomes."""

from __future__ import annotations

import random as random_module
from collections.abc import Callable

import attrs
import msgspec

from apricotpoint._core.codes import ResultCode
from apricotpoint._core.counters import Counters
from apricotpoint._core.timers import TimerService
from apricotpoint._jobs.answers import AnswerBuilder
from apricotpoint._jobs.job import Batch, Job, TaskState
from apricotpoint._jobs.placement import PendingTask, Placement, make_policies
from apricotpoint._jobs.protocols import ClusterView, Estimator, LocalLeaseHolder
from apricotpoint._jobs.schedule import NO_JOB, Schedule
from apricotpoint._jobs.table import JobTable, KeyRecord
from apricotpoint._jobs.views import ServiceViews
from apricotpoint._link.transport import Sender, Transport
from apricotpoint._wire.configuration import Configuration
from apricotpoint._wire.tasks import (
    BatchResult,
    BatchTask,
    CancelBatch,
    OutcomeStatus,
    RunBatch,
    TaskOutcome,
)

# Lease holders get a deadline that is earlier by the smaller of these margins,
# so that their report of tasks that were not started arrives before the job's
# deadline and the answer can say that nothing ran.
_HOLDER_DEADLINE_MARGIN_S = 0.02
_HOLDER_DEADLINE_MARGIN_SHARE = 0.05
_FIRST_RETRY_DELAY_S = 0.05
_MAX_RETRY_DELAY_S = 0.5
# Limit for tasks that lease holders return without starting them; with the
# delays above it is reached after 6 s. Waiting for a backend server sends no
# message and does not count; it is limited by the deadline only.
_MAX_PLACEMENTS_PER_TASK = 16
# Cancellations to one lease holder within this time are sent in one message.
_CANCEL_BATCH_WINDOW_S = 0.002
# Size counted for a retained answer in addition to its results.
_ANSWER_OVERHEAD_BYTES = 200

_RESTARTABLE_CODES = frozenset(
    {
        ResultCode.DEADLINE_BEFORE_START,
        ResultCode.NO_BACKEND,
        ResultCode.HOME_UNREACHABLE,
    }
)
_ENCODER = msgspec.msgpack.Encoder(enc_hook=repr)


class JobRunner:
    """Runs the open jobs of a coordinator and counts the tasks in flight of each team.

    An open job has tasks without an outcome; `unanswered` holds the numbers of
    those within their deadline. A job is closed when each of its tasks has an
    outcome, and its answer is retained in the job table. No method blocks,
    except `run`.
    """

    def __init__(
        self,
        *,
        entry_id: str,
        incarnation: int,
        transport: Transport,
        timers: TimerService,
        counters: Counters,
        random: random_module.Random,
        holder: LocalLeaseHolder,
        cluster: ClusterView,
        views: ServiceViews,
        estimator: Estimator,
        configuration: Callable[[], Configuration],
        answers: AnswerBuilder,
        table: JobTable,
    ) -> None:
        self.views = views
        self.record_by_job: dict[int, KeyRecord] = {}
        self.unanswered: set[int] = set()
        self.tasks_by_team: dict[str, int] = {}
        self.batch_ids_by_holder: dict[tuple[str, int], set[int]] = {}
        self._entry_id = entry_id
        self._incarnation = incarnation
        self._own_sender = Sender(entry_id, incarnation)
        self._transport = transport
        self._timers = timers
        self._counters = counters
        self._policy_by_name = make_policies(random)
        self._holder = holder
        self._cluster = cluster
        self._estimator = estimator
        self._configuration = configuration
        self._answers = answers
        self._table = table
        table.on_answer_dropped = self._on_answer_dropped
        self._schedule = Schedule(timers=timers, counters=counters, open_jobs=self.record_by_job)
        self._batch_by_id: dict[int, Batch] = {}
        self._cancellations_by_holder: dict[tuple[str, int], list[int]] = {}
        self._last_batch_id = 0
        transport.handlers_by_type[BatchResult] = self._handle_result

    async def run(self) -> None:
        """Handle deadlines, retries and cancellations of jobs when they are due; never returns."""
        await self._schedule.run()

    def add(self, record: KeyRecord, job: Job) -> None:
        """Register a new job, counting its tasks for its team; `place` starts it."""
        record.job = job
        job.quota_held = len(job.specs)
        self.tasks_by_team[job.team] = self.tasks_by_team.get(job.team, 0) + job.quota_held
        self.record_by_job[job.number] = record
        self.unanswered.add(job.number)
        self._counters.add("jobs.accepted")
        self._counters.add("tasks.accepted", len(job.specs))
        self._schedule.call_at(job.deadline_at, job.number, self._on_deadline)

    def cancel(self, record: KeyRecord, job: Job) -> None:
        """Cancel the tasks of a job.

        While the claim of its key is pending, the job is only marked as cancelled; it is
        closed when the key registry of the home domain answers.
        """
        if job.cancelled:
            return
        job.cancelled = True
        self._counters.add("jobs.cancelled")
        if job.claim_pending:
            return
        job.mark_waiting_not_started()
        self._schedule_cancellations(job)
        self.close_if_finished(record, job)

    def handle_restarted_holders(self) -> None:
        """Set the tasks sent to lease holders that have restarted since to UNKNOWN."""
        for holder_id, incarnation in list(self.batch_ids_by_holder):
            if holder_id == self._entry_id:
                continue
            if self._transport.incarnation_of(holder_id) not in (None, incarnation):
                self._mark_tasks_unknown(holder_id, incarnation)

    def counts(self) -> dict[str, int]:
        """Return the numbers of open jobs, batches and scheduled calls for the state dump."""
        return {
            "open_jobs": len(self.record_by_job),
            "unanswered_jobs": len(self.unanswered),
            "open_batches": len(self._batch_by_id),
            "scheduled": len(self._schedule),
        }

    def place(self, record: KeyRecord, job: Job) -> None:
        """Send the waiting tasks of a job to lease holders by the placement policy of its service.

        Tasks that cannot be placed or sent are retried later.
        """
        indexes = job.waiting_indexes()
        if not indexes:
            self.close_if_finished(record, job)
            return
        tasks = [PendingTask(i, job.specs[i], job.estimates_s[i]) for i in indexes]
        service = self._configuration().service_by_name.get(job.service)
        policy = service.policy if service is not None else "predicted"
        place = self._policy_by_name.get(policy, self._policy_by_name["predicted"])
        view = self.views.view_of(job.service)
        placed = place(tasks, view.holders) if view.holders else []
        latest_finish_s = max((placement.finish_s for placement in placed), default=0.0)
        placed_by_holder: dict[str, list[Placement]] = {}
        for placement in placed:
            placed_by_holder.setdefault(placement.holder.entry_id, []).append(placement)
        for placements in placed_by_holder.values():
            # Outcomes reported while an earlier batch was sent may have ended the job.
            waiting = [
                placement
                for placement in placements
                if job.states[placement.index] is TaskState.WAITING
            ]
            if waiting:
                self._send_batch(job, waiting, latest_finish_s)
        if job.open_tasks() == 0:
            self.close_if_finished(record, job)
            return
        if job.count_by_state[TaskState.WAITING]:
            self._retry_later(record, job)

    def _send_batch(self, job: Job, placements: list[Placement], latest_finish_s: float) -> None:
        holder = placements[0].holder
        self._last_batch_id += 1
        remaining_s = job.deadline_at - self._timers.now()
        margin_s = min(_HOLDER_DEADLINE_MARGIN_S, _HOLDER_DEADLINE_MARGIN_SHARE * remaining_s)
        message = RunBatch(
            batch_id=self._last_batch_id,
            service=job.service,
            team=job.team,
            deadline_left_s=remaining_s - margin_s,
            tasks=[
                BatchTask(
                    start_id=job.mark_placed(placement.index),
                    spec=placement.spec,
                    estimate_s=placement.estimate_s,
                    rank=rank,
                    slack_s=max(latest_finish_s - placement.finish_s, 0.0),
                )
                for rank, placement in enumerate(placements)
            ],
            single=len(job.states) == 1,
        )
        incarnation = holder.incarnation
        if not holder.local:
            # The transport sends to the latest incarnation that it has received
            # from, which may be newer than the one in the load report.
            incarnation = self._transport.incarnation_of(holder.entry_id) or incarnation
        batch = Batch(
            self._last_batch_id,
            job,
            holder.entry_id,
            incarnation,
            starts=[(placement.index, job.attempts[placement.index]) for placement in placements],
        )
        # The batch is registered first: the local lease holder may report outcomes
        # before `run` returns.
        job.batch_by_id[batch.batch_id] = batch
        self._batch_by_id[batch.batch_id] = batch
        holder_name = (batch.holder_id, batch.incarnation)
        self.batch_ids_by_holder.setdefault(holder_name, set()).add(batch.batch_id)
        self._counters.add("tasks.placed", len(placements))
        if holder.local:
            self._counters.add("batches.local")
            self._holder.run(self._own_sender, message, self._apply_local_result)
            return
        message = attrs.evolve(message, load=self._cluster.report_for(holder.entry_id))
        if self._transport.send(holder.entry_id, message, reliable=True):
            self._counters.add("batches.remote")
            for placement in placements:
                self.views.record_sent_task(
                    job.service, holder.entry_id, placement.spec, placement.estimate_s
                )
            return
        self._counters.add("batches.not_sent")
        self._remove_batch(batch)
        for placement in placements:
            job.set_state(placement.index, TaskState.WAITING)
        self.views.invalidate()

    def _retry_later(self, record: KeyRecord, job: Job) -> None:
        if job.retry_scheduled:
            return
        delay_s = min(
            _FIRST_RETRY_DELAY_S * 2 ** min(job.placement_retries, 10), _MAX_RETRY_DELAY_S
        )
        job.placement_retries += 1
        job.retry_scheduled = True
        self._counters.add("placements.delayed")
        self._schedule.call_at(self._timers.now() + delay_s, job.number, self._retry)

    def _retry(self, number: int) -> None:
        record = self.record_by_job.get(number)
        if record is None or record.job is None:
            return
        job = record.job
        job.retry_scheduled = False
        if not (job.cancelled or job.deadline_passed):
            self.place(record, job)

    def _apply_local_result(self, result: BatchResult) -> None:
        self._apply_result(self._entry_id, self._incarnation, result)

    def _handle_result(self, sender: Sender, message: object) -> None:
        assert isinstance(message, BatchResult)
        if message.load is not None:
            self._cluster.record_report(sender, message.load)
        self._apply_result(sender.peer_id, sender.incarnation, message)

    def _apply_result(self, holder_id: str, incarnation: int, result: BatchResult) -> None:
        """Apply the outcomes of a batch.

        Outcomes that match no open batch or start, such as repeated reports,
        are counted and ignored.
        """
        batch = self._batch_by_id.get(result.batch_id)
        if batch is None or (batch.holder_id, batch.incarnation) != (holder_id, incarnation):
            self._counters.add("outcomes.unmatched", len(result.outcomes))
            return
        job = batch.job
        record = self.record_by_job.get(job.number)
        if record is None:
            self._counters.add("outcomes.unmatched", len(result.outcomes))
            self._remove_batch(batch)
            return
        for outcome in result.outcomes:
            self._apply_outcome(batch, outcome)
        if batch.open_tasks == 0:
            self._remove_batch(batch)
        if job.cannot_complete():
            job.mark_waiting_not_started()
        if job.open_tasks() == 0:
            self.close_if_finished(record, job)
        elif job.count_by_state[TaskState.WAITING]:
            self._retry_later(record, job)

    def _apply_outcome(self, batch: Batch, outcome: TaskOutcome) -> None:
        job = batch.job
        index = job.index_of_start(outcome.start_id)
        was_placed = index is not None and job.states[index] is TaskState.PLACED
        if index is None or not job.apply_outcome(index, outcome):
            self._counters.add("outcomes.unmatched")
            return
        self._counters.add(f"outcomes.{outcome.status.value}")
        if not was_placed:
            return
        batch.open_tasks -= 1
        self._release_quota(job, 1)
        if outcome.status is OutcomeStatus.NOT_STARTED:
            self.views.invalidate()
            self._requeue(job, index)
            return
        self.views.record_ended_task(
            job.service, batch.holder_id, outcome.backend_id, job.estimates_s[index]
        )
        if outcome.status is not OutcomeStatus.DONE:
            return
        self.views.record_run_time(job.service, outcome.run_s)
        # The local lease holder passes its own runs to the estimator.
        if batch.holder_id != self._entry_id and job.specs:
            spec = job.specs[index]
            work_s = outcome.run_s * outcome.speed
            self._estimator.observe(job.service, spec.kind, spec.declared_s, work_s)

    def _requeue(self, job: Job, index: int) -> None:
        """Queue a task that was not started for another placement.

        Does nothing if the job is cancelled or past its deadline, or the task
        has reached the limit of placements.
        """
        if job.cancelled or job.deadline_passed or job.attempts[index] >= _MAX_PLACEMENTS_PER_TASK:
            return
        job.set_state(index, TaskState.WAITING)
        job.quota_held += 1
        self.tasks_by_team[job.team] = self.tasks_by_team.get(job.team, 0) + 1
        self._counters.add("tasks.placed_again")

    def _on_deadline(self, number: int) -> None:
        record = self.record_by_job.get(number)
        if record is not None and record.job is not None:
            self.handle_deadline(record, record.job)

    def handle_deadline(self, record: KeyRecord, job: Job) -> None:
        """Close a job at its deadline, or cancel its batches if tasks may be running.

        In the second case the job stays open for outcomes that arrive later, and its
        submissions are answered with code 3103.
        """
        if job.closed.is_set() or job.deadline_passed:
            return
        job.deadline_passed = True
        if job.claim_pending:
            # A claim reply that arrives later must not start the job; the key
            # may belong to another coordinator.
            self.close(record, job, ResultCode.HOME_UNREACHABLE)
            return
        job.mark_waiting_not_started()
        if job.open_tasks() == 0:
            self.close_if_finished(record, job)
            return
        self._counters.add("jobs.deadline_passed")
        self._schedule_cancellations(job)
        self._release_quota(job, job.quota_held)
        self.unanswered.discard(job.number)
        job.specs = []
        record.code = ResultCode.DEADLINE_AFTER_START
        self._table.retain_answer(record, len(_ENCODER.encode(job.values)))

    def close_if_finished(self, record: KeyRecord, job: Job) -> None:
        """Close an open job if all its tasks have an outcome."""
        if job.open_tasks() == 0 and job.number in self.record_by_job:
            self.close(record, job, job.final_code())

    def close(self, record: KeyRecord, job: Job, code: ResultCode) -> None:
        """Set the final answer of a job, retain it and wake the submissions that wait."""
        job.answer = answer = self._answers.final_answer(job, record.key, code)
        record.answer = job.answer
        record.code = code
        record.restartable = code in _RESTARTABLE_CODES
        if job.deadline_passed:
            self._counters.add("jobs.closed_late")
        self._release_quota(job, job.quota_held)
        self.remove_job(record, job)
        self._counters.add(f"jobs.closed.{int(code)}")
        self._counters.record("job", self._timers.now() - job.created_at)
        content = answer.results if answer.results is not None else answer.failed
        results_bytes = len(_ENCODER.encode(content)) if content else 0
        self._table.retain_answer(record, results_bytes + _ANSWER_OVERHEAD_BYTES)
        job.closed.set()

    def _on_answer_dropped(self, record: KeyRecord) -> None:
        """Stop collecting the outcomes of a job past its deadline whose values were dropped."""
        self._counters.add("answers.dropped")
        job = record.job
        if job is None or not job.deadline_passed:
            return
        self.remove_job(record, job)

    def remove_job(self, record: KeyRecord, job: Job) -> None:
        """Remove a job from the open jobs, with its batches, and from its key record."""
        for batch in list(job.batch_by_id.values()):
            self._remove_batch(batch)
        self.record_by_job.pop(job.number, None)
        self.unanswered.discard(job.number)
        record.job = None

    def _release_quota(self, job: Job, count: int) -> None:
        count = min(count, job.quota_held)
        if not count:
            return
        job.quota_held -= count
        remaining = self.tasks_by_team[job.team] - count
        if remaining:
            self.tasks_by_team[job.team] = remaining
        else:
            del self.tasks_by_team[job.team]

    def _remove_batch(self, batch: Batch) -> None:
        batch.job.batch_by_id.pop(batch.batch_id, None)
        if self._batch_by_id.pop(batch.batch_id, None) is None:
            return
        holder_name = (batch.holder_id, batch.incarnation)
        ids = self.batch_ids_by_holder[holder_name]
        ids.discard(batch.batch_id)
        if not ids:
            del self.batch_ids_by_holder[holder_name]

    def _schedule_cancellations(self, job: Job) -> None:
        """Add the open batches of a job to the next cancellation messages.

        The first one starts a window, at whose end all are sent.
        """
        for batch in job.batch_by_id.values():
            if batch.cancel_sent:
                continue
            batch.cancel_sent = True
            if not self._cancellations_by_holder:
                self._schedule.call_at(
                    self._timers.now() + _CANCEL_BATCH_WINDOW_S, NO_JOB, self._send_cancellations
                )
            holder_name = (batch.holder_id, batch.incarnation)
            self._cancellations_by_holder.setdefault(holder_name, []).append(batch.batch_id)

    def _send_cancellations(self, _: int) -> None:
        cancellations, self._cancellations_by_holder = self._cancellations_by_holder, {}
        for (holder_id, incarnation), batch_ids in cancellations.items():
            open_ids = [batch_id for batch_id in batch_ids if batch_id in self._batch_by_id]
            if not open_ids:
                continue
            self._counters.add("cancels.sent")
            if (holder_id, incarnation) == (self._entry_id, self._incarnation):
                self._holder.cancel(self._own_sender, open_ids)
            elif not self._transport.send(
                holder_id, CancelBatch(batch_ids=open_ids), reliable=True
            ):
                self._counters.add("cancels.not_sent")
                for batch_id in open_ids:
                    # The cancellation is repeated at the deadline of the job.
                    self._batch_by_id[batch_id].cancel_sent = False

    def _mark_tasks_unknown(self, holder_id: str, incarnation: int) -> None:
        """Set the tasks sent to an ended incarnation of a lease holder to UNKNOWN."""
        self._counters.add("holders.lost")
        jobs: dict[int, Job] = {}
        for batch_id in list(self.batch_ids_by_holder.get((holder_id, incarnation), ())):
            batch = self._batch_by_id[batch_id]
            jobs[batch.job.number] = batch.job
            for index, attempt in batch.starts:
                job = batch.job
                if job.attempts[index] == attempt and job.states[index] is TaskState.PLACED:
                    job.set_state(index, TaskState.UNKNOWN)
                    self._release_quota(job, 1)
            self._remove_batch(batch)
        for number, job in jobs.items():
            job.mark_waiting_not_started()
            record = self.record_by_job.get(number)
            if record is not None:
                self.close_if_finished(record, job)
