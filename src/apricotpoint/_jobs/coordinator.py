"""The job coordinator: starts the job of a key once and answers each submission of the key."""

from __future__ import annotations

import random as random_module
from collections.abc import Awaitable, Callable
from types import TracebackType
from typing import Any

import anyio
import anyio.abc
import attrs

from apricotpoint._core.codes import Meaning, ResultCode
from apricotpoint._core.counters import Counters
from apricotpoint._core.errors import ApricotError
from apricotpoint._core.keys import CLOCK_SKEW_ALLOWANCE_S, MAX_VALIDITY_S, IssuedKey, parse_key
from apricotpoint._core.timers import TimerService
from apricotpoint._jobs import admission, rows
from apricotpoint._jobs.answers import AnswerBuilder
from apricotpoint._jobs.home import HomeRegistryClient
from apricotpoint._jobs.job import Job
from apricotpoint._jobs.lookups import ISSUED_KEY_VALIDITY_S, LookupsAndCancels
from apricotpoint._jobs.protocols import ClusterView, Estimator, LocalLeaseHolder
from apricotpoint._jobs.remote import RemoteCoordinators
from apricotpoint._jobs.runner import JobRunner
from apricotpoint._jobs.table import JobTable, KeyRecord
from apricotpoint._jobs.views import MAX_REPORT_AGE_S, ServiceViews
from apricotpoint._link.transport import Sender, Transport
from apricotpoint._wire.configuration import Configuration, TeamConfig
from apricotpoint._wire.jobs import (
    Answer,
    AnswerForward,
    CancelForward,
    Claim,
    ClaimReply,
    JobLookup,
    JobRequest,
    SubmitForward,
)

MAX_KEYS_PER_REQUEST = 1_000
# Default time after the start of draining during which jobs under keys that this
# process issued earlier are still accepted.
DRAIN_GRACE_S = 6.0

_MAINTENANCE_INTERVAL_S = 0.25
_MAX_FINISHED_ROWS = 1_000


class Coordinator:
    """Coordinates the jobs whose keys belong to this incarnation of an entry process.

    Those are the keys that it issued and the caller keys that it has claimed at the
    key registry of their home domain. Use it as an async context manager. A job
    continues to run when the submissions that wait for it are cancelled.
    """

    def __init__(
        self,
        *,
        entry_id: str,
        incarnation: int,
        failure_domain: str,
        transport: Transport,
        timers: TimerService,
        counters: Counters,
        random: random_module.Random,
        holder: LocalLeaseHolder,
        cluster: ClusterView,
        estimator: Estimator,
        claim: Callable[[Claim], Awaitable[ClaimReply]],
        configuration: Callable[[], Configuration],
        configuration_current: Callable[[], bool],
        caller_address: str,
        drain_grace_s: float = DRAIN_GRACE_S,
        table: JobTable | None = None,
    ) -> None:
        self._entry_id = entry_id
        self._incarnation = incarnation
        self._failure_domain = failure_domain
        self._transport = transport
        self._timers = timers
        self._counters = counters
        self._cluster = cluster
        self._estimator = estimator
        self._configuration = configuration
        self._configuration_current = configuration_current
        self._caller_address = caller_address
        self._drain_grace_s = drain_grace_s
        self._table = table if table is not None else JobTable()
        self._answers = AnswerBuilder(
            entry_id=entry_id,
            counters=counters,
            cluster=cluster,
            configuration=configuration,
            configuration_current=configuration_current,
        )
        self._home = HomeRegistryClient(
            entry_id=entry_id,
            incarnation=incarnation,
            claim=claim,
            timers=timers,
            counters=counters,
        )
        self._views = ServiceViews(
            entry_id=entry_id,
            incarnation=incarnation,
            holder=holder,
            cluster=cluster,
            timers=timers,
        )
        self._runner = JobRunner(
            entry_id=entry_id,
            incarnation=incarnation,
            transport=transport,
            timers=timers,
            counters=counters,
            random=random,
            holder=holder,
            cluster=cluster,
            views=self._views,
            estimator=estimator,
            configuration=configuration,
            answers=self._answers,
            table=self._table,
        )
        self._remote = RemoteCoordinators(
            entry_id=entry_id,
            transport=transport,
            cluster=cluster,
            timers=timers,
            counters=counters,
            answers=self._answers,
        )
        self._lookups = LookupsAndCancels(
            entry_id=entry_id,
            incarnation=incarnation,
            table=self._table,
            runner=self._runner,
            remote=self._remote,
            answers=self._answers,
            counters=counters,
            wall_time=self._wall_time,
        )
        self._last_job_number = 0
        self._last_key_sequence = 0
        self._latest_wall_time = 0.0
        self._waiting_submissions = 0
        self._draining_since: float | None = None
        self._last_issue_at: float | None = None
        self._task_group: anyio.abc.TaskGroup | None = None
        transport.request_handlers_by_type[SubmitForward] = self._handle_submit
        transport.request_handlers_by_type[JobLookup] = self._lookups.handle_lookup
        transport.request_handlers_by_type[CancelForward] = self._lookups.handle_cancel

    async def __aenter__(self) -> Coordinator:
        self._task_group = anyio.create_task_group()
        await self._task_group.__aenter__()
        self._task_group.start_soon(self._runner.run)
        self._maintenance_timer = self._timers.every(_MAINTENANCE_INTERVAL_S, self._run_maintenance)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool | None:
        assert self._task_group is not None
        self._maintenance_timer.cancel()
        self._task_group.cancel_scope.cancel()
        return await self._task_group.__aexit__(exc_type, exc, traceback)

    def issue_keys(self, count: int) -> list[str]:
        """Return `count` new keys whose jobs only this incarnation may start.

        Raises `ApricotError` with code 2110 while draining, and with code 2101
        if `count` is not from 1 to `MAX_KEYS_PER_REQUEST`.
        """
        if self._draining_since is not None:
            raise self._draining_error()
        if not 1 <= count <= MAX_KEYS_PER_REQUEST:
            raise ApricotError(
                ResultCode.MALFORMED,
                f"{count} keys were requested",
                remedy=f"request 1 to {MAX_KEYS_PER_REQUEST} keys",
            )
        expires_at = int(self._wall_time()) + ISSUED_KEY_VALIDITY_S
        first = self._last_key_sequence + 1
        self._last_key_sequence += count
        self._last_issue_at = self._timers.now()
        self._counters.add("keys.issued", count)
        return [
            str(IssuedKey(self._entry_id, self._incarnation, expires_at, sequence))
            for sequence in range(first, first + count)
        ]

    async def submit(self, request: JobRequest, attach_only: bool = False) -> Answer:
        """Start the job of a key, or attach to it, and return its answer by the deadline.

        Errors are returned as answers with their result code. With `attach_only`
        no job is started under a caller key that is not in the job table.
        """
        self._counters.add("submits.received")
        started_at = self._timers.now()
        self._waiting_submissions += 1
        try:
            key = admission.check_well_formed(request)
            answer = await self._submit(
                request, key, started_at + request.deadline_ms / 1000, attach_only=attach_only
            )
        except ApricotError as error:
            answer = self._answers.refusal(request.key, error)
        finally:
            self._waiting_submissions -= 1
        self._counters.add(f"answers.{int(answer.code)}")
        self._counters.record("submit", self._timers.now() - started_at)
        return answer

    async def lookup(self, team: str, key: str, wait_s: float) -> AnswerForward:
        """Return the answer of a key, waiting up to `wait_s` seconds for its job to end.

        In the reply `answer` is None if the job is still running or the key is not
        known; `found` is false if the key is not known.
        """
        return await self._lookups.lookup(team, key, wait_s)

    async def cancel(self, team: str, key: str) -> Answer:
        """Cancel the job of a key and return its final answer.

        The code is 2108 if no task has started, 3104 if any may have, or that of
        the complete answer if all results arrived before the cancellation.
        """
        return await self._lookups.cancel(team, key)

    def start_draining(self) -> None:
        """Refuse new jobs, except under keys issued here until the grace period ends."""
        if self._draining_since is None:
            self._draining_since = self._timers.now()
            self._counters.add("drain.started")

    def stop_draining(self) -> None:
        """Accept new jobs and issue keys again."""
        self._draining_since = None

    def idle(self) -> bool:
        """Return whether no job and no submission waits for an answer.

        While draining, callers may still use the keys that this process issued
        last, so it is not idle until the grace period after the last issue has passed.
        """
        if self._runner.unanswered or self._waiting_submissions:
            return False
        if self._draining_since is None or self._last_issue_at is None:
            return True
        return self._timers.now() - self._last_issue_at >= self._drain_grace_s

    def rows(self, table: str = "jobs") -> list[dict[str, Any]]:
        """Return rows of the table `jobs` or `tasks` for operator queries.

        `jobs` holds the unfinished jobs and the 1,000 finished jobs answered last,
        `tasks` the tasks of the unfinished jobs.
        """
        open_records = list(self._runner.record_by_job.values())
        if table == "tasks":
            return [
                row
                for record in open_records
                for row in rows.task_rows(record, coordinator=self._entry_id)
            ]
        finished = [
            record
            for record in self._table.latest_answered(_MAX_FINISHED_ROWS)
            if record.job is None
        ]
        now = self._timers.now()
        return [
            rows.job_row(record, coordinator=self._entry_id, now=now)
            for record in open_records + finished
        ]

    def tasks_by_team(self) -> dict[str, int]:
        """Return the number of tasks in flight by team, for teams that have any."""
        return dict(self._runner.tasks_by_team)

    def dump(self) -> dict[str, Any]:
        """Return the state of the coordinator as JSON-serialisable data."""
        return {
            "entry_id": self._entry_id,
            "incarnation": self._incarnation,
            "failure_domain": self._failure_domain,
            "draining": self._draining_since is not None,
            "idle": self.idle(),
            "config_version": self._configuration().version,
            "config_current": self._configuration_current(),
            "table_entries": len(self._table),
            "retained_bytes": self._table.retained_bytes,
            **self._runner.counts(),
            "open_batches_by_holder": {
                f"{holder_id}/{incarnation:x}": len(ids)
                for (holder_id, incarnation), ids in self._runner.batch_ids_by_holder.items()
            },
            "tasks_by_team": self.tasks_by_team(),
        }

    async def _submit(
        self, request: JobRequest, key: IssuedKey | str, deadline_at: float, *, attach_only: bool
    ) -> Answer:
        """Attach to the job of a key, forward the request to its coordinator or start the job."""
        record = self._table.get(request.team, request.key)
        if record is not None:
            return await self._handle_resubmission(record, request, key, deadline_at)
        if isinstance(key, IssuedKey):
            admission.check_expiry(key, key.expires_at, self._wall_time())
            if (key.entry_id, key.incarnation) != (self._entry_id, self._incarnation):
                return await self._remote.forward(
                    request, (key.entry_id, key.incarnation), deadline_at, attach_only=False
                )
            expires_at = key.expires_at
        else:
            assert request.valid_until is not None
            expires_at = request.valid_until
            if attach_only:
                return self._answers.make(
                    request.key,
                    ResultCode.COORDINATOR_UNREACHABLE,
                    "this process has no job under the key",
                )
        record = KeyRecord(
            team=request.team,
            key=request.key,
            fingerprint=admission.request_fingerprint(request),
            expires_at=expires_at + CLOCK_SKEW_ALLOWANCE_S,
            claimed=isinstance(key, IssuedKey),
        )
        try:
            admission.check_expiry(key, expires_at, self._wall_time())
        except ApricotError as error:
            # A key whose validity exceeds the limit by at most the clock allowance
            # may have been accepted by an entry process whose clock is ahead.
            if not record.claimed and expires_at - self._wall_time() <= (
                MAX_VALIDITY_S + CLOCK_SKEW_ALLOWANCE_S
            ):
                return await self._refuse(record, request, deadline_at, error)
            raise
        return await self._start(record, request, deadline_at, in_table=False)

    async def _handle_resubmission(
        self, record: KeyRecord, request: JobRequest, key: IssuedKey | str, deadline_at: float
    ) -> Answer:
        """Answer the submission of a key in the job table; start its job again if possible."""
        fingerprint = admission.request_fingerprint(request)
        if record.fingerprint not in ("", fingerprint):
            error = ApricotError(
                ResultCode.KEY_CONFLICT,
                f"key {request.key!r} was used for a different request",
                remedy="use a new key for each job",
            )
            # While the claim of the first request is pending, the key may belong to
            # another coordinator, which may have started this request.
            unclaimed = attrs.evolve(record, fingerprint=fingerprint, job=None)
            return await self._refuse(unclaimed, request, deadline_at, error)
        self._counters.add("submits.repeated")
        if record.job is not None:
            return await self._wait_for_answer(record, record.job, request, deadline_at)
        if not record.restartable:
            return self._answers.retained_answer(record)
        valid_until = key.expires_at if isinstance(key, IssuedKey) else request.valid_until
        assert valid_until is not None
        admission.check_expiry(key, valid_until, self._wall_time())
        return await self._start(record, request, deadline_at, in_table=True)

    async def _start(
        self, record: KeyRecord, request: JobRequest, deadline_at: float, *, in_table: bool
    ) -> Answer:
        """Admit a job that has not started, start it and wait for its answer.

        `in_table` tells whether the key is in the job table already.
        """
        estimate = self._estimator.estimate
        estimates_s = [
            estimate(request.service, spec.kind, spec.declared_s) for spec in request.tasks
        ]
        try:
            self._check_admission(record, request, sum(estimates_s), in_table=in_table)
        except ApricotError as error:
            return await self._refuse(record, request, deadline_at, error)
        if not in_table:
            self._table.add(record)
        self._table.discard_answer(record)
        record.restartable = False
        record.code = 0
        self._last_job_number += 1
        job = Job.from_request(
            request,
            estimates_s=estimates_s,
            number=self._last_job_number,
            incarnation=self._incarnation,
            now=self._timers.now(),
            deadline_at=deadline_at,
        )
        self._runner.add(record, job)
        if record.claimed:
            self._runner.place(record, job)
        else:
            job.claim_pending = True
            assert self._task_group is not None
            self._task_group.start_soon(self._claim_and_place, record, job)
        return await self._wait_for_answer(record, job, request, deadline_at)

    def _check_admission(
        self, record: KeyRecord, request: JobRequest, work_s: float, *, in_table: bool
    ) -> None:
        """Raise `ApricotError` if the job must not start now.

        Checks draining, names, quota, load and, for a new key, the space in the job table.
        """
        if self._draining_since is not None:
            key = parse_key(record.key)
            in_grace_period = self._timers.now() - self._draining_since < self._drain_grace_s
            if not (in_grace_period and isinstance(key, IssuedKey)):
                raise self._draining_error()
        service, team = admission.find_service_and_team(request, self._configuration())
        self._check_quota(team, len(request.tasks))
        admission.check_load(request, service, self._views.view_of(request.service), work_s)
        if not in_table and self._table.full:
            expiry = self._table.next_expiry()
            wait_s = expiry - self._wall_time() if expiry is not None else 1.0
            raise admission.OverloadError(
                f"the job table is full: it holds {len(self._table)} keys", retry_after_s=wait_s
            )

    def _check_quota(self, team: TeamConfig, tasks: int) -> None:
        """Raise `ApricotError` if the tasks would exceed the quota of a team."""
        others = [item for item in self._views.live_entries() if item.entry_id != self._entry_id]
        in_flight = self._runner.tasks_by_team.get(team.name, 0)
        in_flight += sum(item.report.tasks_by_team.get(team.name, 0) for item in others)
        configuration = self._configuration()
        # Processes on VMs that an operator has drained or stopped admit no jobs.
        excluded = {*configuration.drained_vms, *configuration.stopped_vms}
        unreachable = set(self._cluster.unreachable_entries(MAX_REPORT_AGE_S)) - excluded
        admission.check_quota(
            team,
            tasks=tasks,
            in_flight=in_flight,
            live_entries=len(others) + 1,
            unreachable_entries=len(unreachable),
        )

    async def _refuse(
        self, record: KeyRecord, request: JobRequest, deadline_at: float, error: ApricotError
    ) -> Answer:
        """Raise the error if no task of the key can have started.

        A caller key may belong to another coordinator, so the key registry of its home
        domain is asked first. If it names one, the request is forwarded to it; if the
        registry is unreachable, the error has code 3102, since the outcome is unknown.
        """
        if record.claimed or error.code.meaning is not Meaning.NOT_RUN:
            raise error
        reply = await self._home.request_claim(record, deadline_at, check_only=True)
        if reply is None:
            raise ApricotError(
                ResultCode.HOME_UNREACHABLE, "the key registry of the home domain is unreachable"
            ) from error
        coordinator = self._home.other_coordinator(record, reply)
        if coordinator is None:
            raise error
        return await self._remote.forward(request, coordinator, deadline_at, attach_only=True)

    async def _claim_and_place(self, record: KeyRecord, job: Job) -> None:
        """Claim a caller key at the key registry of its home domain, then place the job.

        Closes the job without starting it if the claim fails or the key belongs
        to another coordinator.
        """
        reply = await self._home.request_claim(record, job.deadline_at, check_only=False)
        job.claim_pending = False
        if job.closed.is_set():
            return
        if reply is None:
            # The registry may have recorded the claim although its reply was lost,
            # so the record stays and a resubmission may claim the key again.
            self._runner.close(record, job, ResultCode.HOME_UNREACHABLE)
            return
        try:
            coordinator = self._home.other_coordinator(record, reply)
        except ApricotError as error:
            self._runner.close(record, job, error.code)
            self._table.remove(record)
            return
        if coordinator is not None:
            job.forward_to = coordinator
            self._counters.add("claims.existing")
            self._runner.close(record, job, ResultCode.COORDINATOR_UNREACHABLE)
            self._table.remove(record)
            return
        record.claimed = True
        self._counters.add("claims.granted")
        if job.cancelled or job.deadline_passed:
            job.mark_waiting_not_started()
            self._runner.close_if_finished(record, job)
            return
        self._runner.place(record, job)

    async def _wait_for_answer(
        self, record: KeyRecord, job: Job, request: JobRequest, deadline_at: float
    ) -> Answer:
        """Wait for a job until the deadline of one submission, and return its answer."""
        await job.wait_closed(deadline_at - self._timers.now())
        if not job.closed.is_set() and self._timers.now() >= job.deadline_at:
            self._runner.handle_deadline(record, job)
        if job.forward_to is not None:
            return await self._remote.forward(
                request, job.forward_to, deadline_at, attach_only=True
            )
        return self._answers.current_answer(record, job)

    async def _handle_submit(self, sender: Sender, message: object) -> AnswerForward:
        assert isinstance(message, SubmitForward)
        request = message.request
        remaining_ms = max(request.deadline_ms - int(sender.age_s * 1000), 1)
        try:
            key = parse_key(request.key)
        except ApricotError as error:
            return AnswerForward(answer=self._answers.refusal(request.key, error))
        issued_here = isinstance(key, IssuedKey) and (key.entry_id, key.incarnation) == (
            self._entry_id,
            self._incarnation,
        )
        # A forwarded request is not forwarded again, and only the coordinator of
        # its key may start it.
        answer = await self.submit(
            attrs.evolve(request, deadline_ms=remaining_ms),
            attach_only=message.attach_only or not issued_here,
        )
        return AnswerForward(answer=answer)

    def _wall_time(self) -> float:
        """Return wall time that never decreases, so that an expired key stays expired."""
        self._latest_wall_time = max(self._latest_wall_time, self._timers.wall_time())
        return self._latest_wall_time

    def _run_maintenance(self) -> None:
        """Expire keys, and set the tasks sent to restarted lease holders to UNKNOWN."""
        for record in self._table.expire(self._wall_time()):
            self._counters.add("table.expired")
            # A job within its deadline continues and answers its submissions.
            if record.job is not None and record.job.deadline_passed:
                self._runner.remove_job(record, record.job)
        self._counters.set_gauge("table.entries", len(self._table))
        self._counters.set_gauge("jobs.open", len(self._runner.record_by_job))
        self._runner.handle_restarted_holders()

    def _draining_error(self) -> ApricotError:
        return ApricotError(
            ResultCode.DRAINING,
            f"entry process {self._entry_id} is draining",
            remedy="submit to another entry process",
        )
