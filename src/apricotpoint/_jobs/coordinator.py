"""The coordinator: it starts each job once and answers every submission of its key."""

from __future__ import annotations

import heapq
import random as random_module
from collections.abc import Awaitable, Callable, Iterable
from types import TracebackType
from typing import Any

import anyio
import anyio.abc
import attrs
import msgspec

from apricotpoint._core.codes import Meaning, ResultCode
from apricotpoint._core.counters import Counters
from apricotpoint._core.errors import ApricotError
from apricotpoint._core.keys import CLOCK_ALLOWANCE_S, IssuedKey, parse_key
from apricotpoint._core.timers import TimerService
from apricotpoint._jobs import admission
from apricotpoint._jobs.job import Batch, Job, TaskState
from apricotpoint._jobs.placement import Placed, TaskView, make_policies
from apricotpoint._jobs.ports import ClusterView, Estimator, LocalHolder
from apricotpoint._jobs.table import Entry, JobTable
from apricotpoint._jobs.views import MAX_REPORT_AGE_S, Views
from apricotpoint._link.transport import PeerUnreachable, Sender, Transport
from apricotpoint._wire.configuration import Configuration
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
from apricotpoint._wire.tasks import (
    BatchResult,
    BatchTask,
    CancelBatch,
    OutcomeStatus,
    RunBatch,
    TaskOutcome,
)

ISSUED_KEY_VALIDITY_S = 600
MAX_KEYS_ISSUED = 1_000
# Unused keys of this process are accepted for this long after draining starts.
DRAIN_GRACE_S = 6.0

# Lease holders give up queued tasks this much before the deadline, so that
# their report arrives in time to prove that nothing started.
_HOLDER_MARGIN_S = 0.02
_HOLDER_MARGIN_SHARE = 0.05
# Time kept back for the answer of the process to which a request is forwarded.
_FORWARD_MARGIN_S = 0.02
_RETRY_FIRST_S = 0.05
_RETRY_MAX_S = 0.5
# Reached after 6 s of retries; a job that waits for a backend server costs no
# message and is only bounded by its deadline.
_MAX_PLACEMENTS = 16
# Cancellations within this time go to a lease holder as one message.
_CANCEL_WAVE_S = 0.002
_CANCEL_WAIT_S = 5.0
_PEER_TIMEOUT_S = 1.0
_TICK_S = 0.25
_MAX_FINISHED_ROWS = 1_000
_NO_JOB = 0
# The schedule is compacted when it holds more than two items for each open
# job and this many more, so finished jobs with distant deadlines do not add up.
_SCHEDULE_SLACK = 10_000
# Bytes counted for a retained answer besides its results.
_ANSWER_OVERHEAD = 200

_RESTARTABLE = frozenset(
    {
        ResultCode.OVER_QUOTA,
        ResultCode.OVERLOADED,
        ResultCode.DEADLINE_BEFORE_START,
        ResultCode.CANNOT_RUN,
        ResultCode.NO_BACKEND,
        ResultCode.DRAINING,
        ResultCode.UNKNOWN_SERVICE,
        ResultCode.HOME_UNREACHABLE,
    }
)
_ENCODER = msgspec.msgpack.Encoder(enc_hook=repr)


class Coordinator:
    """Coordinates the jobs whose keys belong to this incarnation of an entry process.

    Use it as an async context manager. Jobs run independently of the
    submissions that wait for them.
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
        holder: LocalHolder,
        cluster: ClusterView,
        estimator: Estimator,
        claim: Callable[[Claim], Awaitable[ClaimReply]],
        configuration: Callable[[], Configuration],
        configuration_current: Callable[[], bool],
        caller_address: str,
        table: JobTable | None = None,
    ) -> None:
        self._entry_id = entry_id
        self._incarnation = incarnation
        self._failure_domain = failure_domain
        self._transport = transport
        self._timers = timers
        self._counters = counters
        self._holder = holder
        self._cluster = cluster
        self._estimator = estimator
        self._claim = claim
        self._configuration = configuration
        self._configuration_current = configuration_current
        self._caller_address = caller_address
        self._self = Sender(entry_id, incarnation)
        self._policies = make_policies(random)
        self._views = Views(
            entry_id=entry_id,
            incarnation=incarnation,
            holder=holder,
            cluster=cluster,
            timers=timers,
        )
        self._table = table if table is not None else JobTable()
        self._table.dropped = self._dropped
        self._entry_by_job: dict[int, Entry] = {}
        self._batch_by_id: dict[int, Batch] = {}
        self._batch_ids_by_holder: dict[tuple[str, int], set[int]] = {}
        self._cancels_by_holder: dict[tuple[str, int], list[int]] = {}
        self._tasks_by_team: dict[str, int] = {}
        self._next_job = 0
        self._next_batch = 0
        self._next_key = 0
        self._latest_wall = 0.0
        self._waiting_calls = 0
        self._unanswered: set[int] = set()
        self._draining_since: float | None = None
        self._last_issue_at: float | None = None
        # (due time, tie breaker, job number, callback). Only the number refers to
        # the job, so that a finished job with a distant deadline holds no memory.
        self._schedule: list[tuple[float, int, int, Callable[[int], None]]] = []
        self._scheduled = 0
        self._wake = anyio.Event()
        self._group: anyio.abc.TaskGroup | None = None
        transport.handlers_by_type[BatchResult] = self._handle_result
        transport.request_handlers_by_type[SubmitForward] = self._handle_submit
        transport.request_handlers_by_type[JobLookup] = self._handle_lookup
        transport.request_handlers_by_type[CancelForward] = self._handle_cancel

    async def __aenter__(self) -> Coordinator:
        self._group = anyio.create_task_group()
        await self._group.__aenter__()
        self._group.start_soon(self._run_schedule)
        self._ticker = self._timers.every(_TICK_S, self._tick)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool | None:
        assert self._group is not None
        self._ticker.cancel()
        self._group.cancel_scope.cancel()
        return await self._group.__aexit__(exc_type, exc, traceback)

    # -- Callers -----------------------------------------------------------------------------

    def issue_keys(self, count: int) -> list[str]:
        """Return new keys whose jobs only this incarnation may start.

        Raises `ApricotError` with code 2110 while draining and 2101 for a wrong count.
        """
        if self._draining_since is not None:
            raise self._draining_error()
        if not 1 <= count <= MAX_KEYS_ISSUED:
            raise ApricotError(
                ResultCode.MALFORMED,
                f"{count} keys were asked for",
                remedy=f"ask for 1 to {MAX_KEYS_ISSUED} keys",
            )
        expires_at = int(self._wall()) + ISSUED_KEY_VALIDITY_S
        first = self._next_key + 1
        self._next_key += count
        self._last_issue_at = self._timers.now()
        self._counters.add("keys.issued", count)
        return [
            str(IssuedKey(self._entry_id, self._incarnation, expires_at, sequence))
            for sequence in range(first, first + count)
        ]

    async def submit(self, request: JobRequest, attach_only: bool = False) -> Answer:
        """Start the job of a key, or join it, and return its answer by the deadline.

        With `attach_only` a job is only joined, never started under a key
        that this process does not know.
        """
        self._counters.add("submits.received")
        started_at = self._timers.now()
        self._waiting_calls += 1
        try:
            key = admission.check_form(request)
            answer = await self._submit(
                request, key, started_at + request.deadline_ms / 1000, attach_only=attach_only
            )
        except ApricotError as error:
            answer = self._refusal(request.key, error)
        finally:
            self._waiting_calls -= 1
        self._counters.add(f"answers.{int(answer.code)}")
        self._counters.record("submit", self._timers.now() - started_at)
        return answer

    async def lookup(self, team: str, key: str, wait_s: float) -> AnswerForward:
        """Return the answer of a key, waiting up to `wait_s` seconds for it."""
        self._counters.add("lookups.received")
        try:
            parsed = parse_key(key)
        except ApricotError as error:
            return AnswerForward(answer=self._refusal(key, error), found=False)
        return await self._ask_owner(
            parsed,
            team,
            key,
            local=lambda: self._lookup_here(team, key, wait_s),
            message=JobLookup(team=team, key=key, wait_s=wait_s),
            timeout_s=wait_s + _PEER_TIMEOUT_S,
        )

    async def cancel(self, team: str, key: str) -> Answer:
        """Cancel the job of a key and return its one outcome.

        The code is 2108 if no task started, 3104 if any may have, or that of
        the complete answer if every result arrived first.
        """
        self._counters.add("cancels.received")
        try:
            parsed = parse_key(key)
        except ApricotError as error:
            return self._refusal(key, error)
        reply = await self._ask_owner(
            parsed,
            team,
            key,
            local=lambda: self._cancel_here(team, key),
            message=CancelForward(team=team, key=key),
            timeout_s=_CANCEL_WAIT_S + _PEER_TIMEOUT_S,
        )
        if reply.answer is not None:
            return reply.answer
        return self._answer(key, ResultCode.COORDINATOR_UNREACHABLE, "the job is not known here")

    def start_draining(self) -> None:
        """Refuse new jobs; unused keys of this process are accepted for 6 s more."""
        if self._draining_since is None:
            self._draining_since = self._timers.now()
            self._counters.add("drain.started")

    def stop_draining(self) -> None:
        """Accept new jobs again."""
        self._draining_since = None

    def idle(self) -> bool:
        """Return whether no job and no caller waits for an answer.

        While draining, callers may still use the keys that this process issued
        last, so it is not idle before the grace period for them has passed.
        """
        if self._unanswered or self._waiting_calls:
            return False
        if self._draining_since is None or self._last_issue_at is None:
            return True
        return self._timers.now() - self._last_issue_at >= DRAIN_GRACE_S

    # -- Rows and dump -----------------------------------------------------------------------

    def rows(self, table: str = "jobs") -> list[dict[str, Any]]:
        """Return rows of the table `jobs` or `tasks` for operator queries.

        Unfinished jobs are listed with their tasks, and up to 1,000 finished jobs.
        """
        open_entries = list(self._entry_by_job.values())
        if table == "tasks":
            return [row for entry in open_entries for row in self._task_rows(entry)]
        rows = [self._job_row(entry) for entry in open_entries]
        rows.extend(
            self._job_row(entry)
            for entry in self._table.latest(_MAX_FINISHED_ROWS)
            if entry.job is None
        )
        return rows

    def dump(self) -> dict[str, Any]:
        """Return the state of the coordinator as JSON-able data."""
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
            "open_jobs": len(self._entry_by_job),
            "unanswered_jobs": len(self._unanswered),
            "open_batches": len(self._batch_by_id),
            "open_batches_by_holder": {
                f"{holder_id}/{incarnation:x}": len(ids)
                for (holder_id, incarnation), ids in self._batch_ids_by_holder.items()
            },
            "tasks_by_team": dict(self._tasks_by_team),
            "scheduled": len(self._schedule),
        }

    def _job_row(self, entry: Entry) -> dict[str, Any]:
        row: dict[str, Any] = {
            "team": entry.team,
            "key": entry.key,
            "coordinator": self._entry_id,
            "code": entry.code,
            "state": "finished",
            "expires_at": entry.expires_at,
        }
        job = entry.job
        if job is None:
            return row
        row["state"] = _job_state(job)
        row["service"] = job.service
        row["age_s"] = self._timers.now() - job.created_at
        row["tasks"] = len(job.states)
        row.update({state.value: count for state, count in job.count_by_state.items()})
        return row

    def _task_rows(self, entry: Entry) -> Iterable[dict[str, Any]]:
        job = entry.job
        if job is None:
            return
        for index, state in enumerate(job.states):
            yield {
                "team": entry.team,
                "key": entry.key,
                "index": index,
                "state": state.value,
                "attempt": job.attempts[index],
                "kind": job.specs[index].kind if job.specs else "",
                "service": job.service,
                "coordinator": self._entry_id,
            }

    # -- Submission --------------------------------------------------------------------------

    async def _submit(
        self, request: JobRequest, key: IssuedKey | str, deadline_at: float, *, attach_only: bool
    ) -> Answer:
        entry = self._table.get(request.team, request.key)
        if entry is not None:
            return await self._resubmit(entry, request, key, deadline_at)
        if isinstance(key, IssuedKey):
            admission.check_validity(key, key.expires_at, self._wall())
            if (key.entry_id, key.incarnation) != (self._entry_id, self._incarnation):
                return await self._forward(
                    request, (key.entry_id, key.incarnation), deadline_at, attach_only=False
                )
            expires_at = key.expires_at
        else:
            assert request.valid_until is not None
            expires_at = request.valid_until
            if attach_only:
                return self._answer(
                    request.key, ResultCode.COORDINATOR_UNREACHABLE, "the key is not known here"
                )
            admission.check_validity(key, expires_at, self._wall())
        entry = Entry(
            team=request.team,
            key=request.key,
            fingerprint=admission.request_fingerprint(request),
            expires_at=expires_at + CLOCK_ALLOWANCE_S,
            claimed=isinstance(key, IssuedKey),
        )
        return await self._start(entry, request, deadline_at, known=False)

    async def _resubmit(
        self, entry: Entry, request: JobRequest, key: IssuedKey | str, deadline_at: float
    ) -> Answer:
        fingerprint = admission.request_fingerprint(request)
        if entry.fingerprint not in ("", fingerprint):
            raise ApricotError(
                ResultCode.KEY_CONFLICT,
                f"key {request.key!r} was used for another request",
                remedy="use a new key for each job",
            )
        self._counters.add("submits.repeated")
        if entry.job is not None:
            return await self._wait(entry, entry.job, request, deadline_at)
        if not entry.restartable:
            return self._retained(entry)
        valid_until = key.expires_at if isinstance(key, IssuedKey) else request.valid_until
        assert valid_until is not None
        admission.check_validity(key, valid_until, self._wall())
        return await self._start(entry, request, deadline_at, known=True)

    async def _start(
        self, entry: Entry, request: JobRequest, deadline_at: float, *, known: bool
    ) -> Answer:
        """Admit a job that has not started, start it and wait for its answer."""
        estimate = self._estimator.estimate
        estimates_s = [
            estimate(request.service, spec.kind, spec.declared_s) for spec in request.tasks
        ]
        try:
            self._admit(entry, request, sum(estimates_s), known=known)
        except ApricotError as error:
            if not entry.claimed:
                owner = await self._owner_elsewhere(entry, deadline_at)
                if owner is not None:
                    return await self._forward(request, owner, deadline_at, attach_only=True)
            raise error
        if not known:
            self._table.add(entry)
        self._table.release(entry)
        entry.restartable = False
        entry.code = 0
        self._next_job += 1
        job = Job.from_request(
            request,
            estimates_s=estimates_s,
            number=self._next_job,
            incarnation=self._incarnation,
            now=self._timers.now(),
            deadline_at=deadline_at,
        )
        entry.job = job
        job.quota_held = len(request.tasks)
        self._tasks_by_team[job.team] = self._tasks_by_team.get(job.team, 0) + job.quota_held
        self._entry_by_job[job.number] = entry
        self._unanswered.add(job.number)
        self._counters.add("jobs.accepted")
        self._counters.add("tasks.accepted", len(request.tasks))
        self._at(deadline_at, job.number, self._pass_deadline_of)
        if entry.claimed:
            self._place(entry, job)
        else:
            job.claim_pending = True
            assert self._group is not None
            self._group.start_soon(self._claim_and_place, entry, job)
        return await self._wait(entry, job, request, deadline_at)

    def _admit(self, entry: Entry, request: JobRequest, work_s: float, *, known: bool) -> None:
        """Raise `ApricotError` if the job must not start now."""
        if self._draining_since is not None:
            unused = parse_key(entry.key)
            grace = self._timers.now() - self._draining_since < DRAIN_GRACE_S
            if not (grace and isinstance(unused, IssuedKey)):
                raise self._draining_error()
        service, team = admission.check_names(request, self._configuration())
        live = sum(1 for item in self._views.live() if not item.report.draining)
        admission.check_quota(
            team,
            tasks=len(request.tasks),
            in_flight=self._tasks_by_team.get(request.team, 0),
            entries=live,
        )
        admission.check_load(request, service, self._views.service(request.service), work_s)
        if not known and self._table.full:
            expiry = self._table.next_expiry()
            wait_s = expiry - self._wall() if expiry is not None else 1.0
            raise admission.OverloadError("the job table is full", retry_after_s=wait_s)

    async def _owner_elsewhere(self, entry: Entry, deadline_at: float) -> tuple[str, int] | None:
        """Return the other coordinator of a caller key that is about to be refused.

        None proves that no task of the key has started. Raises `ApricotError`
        if the home cannot tell.
        """
        reply = await self._ask_home(entry, deadline_at, check_only=True)
        if reply is None:
            raise ApricotError(ResultCode.HOME_UNREACHABLE, "the home of the key cannot be reached")
        return self._read_claim(entry, reply)

    async def _ask_home(
        self, entry: Entry, deadline_at: float, *, check_only: bool
    ) -> ClaimReply | None:
        message = Claim(
            team=entry.team,
            key=entry.key,
            valid_until=int(entry.expires_at - CLOCK_ALLOWANCE_S),
            fingerprint=entry.fingerprint,
            entry_id=self._entry_id,
            incarnation=self._incarnation,
            check_only=check_only,
        )
        self._counters.add("claims.checked" if check_only else "claims.sent")
        reply: ClaimReply | None = None
        with anyio.move_on_after(deadline_at - self._timers.now()):
            try:
                reply = await self._claim(message)
            except PeerUnreachable:
                self._counters.add("claims.unreachable")
        return reply

    def _read_claim(self, entry: Entry, reply: ClaimReply) -> tuple[str, int] | None:
        """Return the other coordinator named by a reply, None if the key is free or ours.

        Raises `ApricotError` if the key must not be started anywhere.
        """
        if reply.code != ResultCode.ACCEPTED:
            raise ApricotError(ResultCode(reply.code), f"the claim of key {entry.key!r} failed")
        if not reply.existing or (reply.entry_id, reply.incarnation) == (
            self._entry_id,
            self._incarnation,
        ):
            return None
        if reply.entry_id == self._entry_id:
            raise ApricotError(
                ResultCode.COORDINATOR_UNREACHABLE,
                f"key {entry.key!r} belongs to an earlier incarnation of {self._entry_id}",
            )
        return reply.entry_id, reply.incarnation

    async def _claim_and_place(self, entry: Entry, job: Job) -> None:
        """Claim a caller key at its home, then place the job."""
        reply = await self._ask_home(entry, job.deadline_at, check_only=False)
        job.claim_pending = False
        if job.closed.is_set():
            return
        if reply is None:
            # The claim may have been recorded for this incarnation, so the
            # entry stays and a resubmission may claim again.
            self._close(entry, job, ResultCode.HOME_UNREACHABLE)
            return
        try:
            owner = self._read_claim(entry, reply)
        except ApricotError as error:
            self._close(entry, job, error.code)
            self._table.remove(entry)
            return
        if owner is not None:
            job.forward_to = owner
            self._counters.add("claims.existing")
            self._close(entry, job, ResultCode.COORDINATOR_UNREACHABLE)
            self._table.remove(entry)
            return
        entry.claimed = True
        self._counters.add("claims.granted")
        if job.cancelled or job.deadline_passed:
            job.close_waiting()
            self._settle(entry, job)
            return
        self._place(entry, job)

    async def _forward(
        self,
        request: JobRequest,
        owner: tuple[str, int],
        deadline_at: float,
        *,
        attach_only: bool,
    ) -> Answer:
        """Pass a submission to its coordinator and return the answer."""
        entry_id, incarnation = owner
        left_s = deadline_at - self._timers.now()
        if entry_id == self._entry_id or self._transport.incarnation_of(entry_id) not in (
            None,
            incarnation,
        ):
            self._counters.add("forwards.lost_incarnation")
            return self._answer(
                request.key,
                ResultCode.COORDINATOR_UNREACHABLE,
                f"the incarnation of {entry_id} that coordinates the key is gone",
            )
        reduced_s = max(left_s - _FORWARD_MARGIN_S, left_s / 2)
        message = SubmitForward(
            request=attrs.evolve(request, deadline_ms=max(int(reduced_s * 1000), 1)),
            attach_only=attach_only,
        )
        self._counters.add("forwards.sent")
        try:
            with anyio.fail_after(left_s):
                reply = await self._transport.request(entry_id, message, timeout_s=left_s)
        except (PeerUnreachable, TimeoutError):
            reply = None
        if isinstance(reply, AnswerForward) and reply.answer is not None:
            return reply.answer
        self._counters.add("forwards.unreachable")
        return self._answer(
            request.key,
            ResultCode.COORDINATOR_UNREACHABLE,
            f"coordinator {entry_id} cannot be reached",
        )

    async def _wait(
        self, entry: Entry, job: Job, request: JobRequest, deadline_at: float
    ) -> Answer:
        """Wait for the end of a job until the deadline of one submission."""
        await self._wait_closed(job, deadline_at - self._timers.now())
        if not job.closed.is_set() and self._timers.now() >= job.deadline_at:
            self._pass_deadline(entry, job)
        if job.forward_to is not None:
            return await self._forward(request, job.forward_to, deadline_at, attach_only=True)
        return self._current(entry, job)

    async def _wait_closed(self, job: Job, seconds: float) -> None:
        if not job.closed.is_set():
            with anyio.move_on_after(seconds):
                await job.closed.wait()

    def _current(self, entry: Entry, job: Job) -> Answer:
        """Return the answer of a job, or what can be said before it ends."""
        if job.answer is not None:
            return job.answer
        if job.claim_pending:
            return self._answer(
                entry.key, ResultCode.HOME_UNREACHABLE, "the home has not answered in time"
            )
        if job.cancelled:
            return self._answer(
                entry.key, ResultCode.CANCELLED_AFTER_START, "cancelled, tasks may have started"
            )
        return self._answer(
            entry.key,
            ResultCode.DEADLINE_AFTER_START,
            "the deadline passed and tasks may have started; look the key up later",
        )

    def _retained(self, entry: Entry) -> Answer:
        if entry.answer is not None:
            self._counters.add("answers.retained")
            return entry.answer
        code = ResultCode(entry.code)
        if code.meaning is Meaning.RAN:
            return self._answer(
                entry.key, ResultCode.ANSWER_DROPPED, "the job ran; its answer is no longer held"
            )
        return self._answer(entry.key, code, "the answer is no longer held in full")

    # -- Placement and outcomes --------------------------------------------------------------

    def _place(self, entry: Entry, job: Job) -> None:
        """Hand the waiting tasks of a job to lease holders."""
        indexes = job.waiting()
        if not indexes:
            self._settle(entry, job)
            return
        tasks = [TaskView(i, job.specs[i], job.estimates_s[i]) for i in indexes]
        service = self._configuration().service_by_name.get(job.service)
        name = service.policy if service is not None else "predicted"
        place = self._policies.get(name, self._policies["predicted"])
        view = self._views.service(job.service)
        placed = place(tasks, view.holders) if view.holders else []
        latest_s = max((item.finish_s for item in placed), default=0.0)
        placed_by_holder: dict[str, list[Placed]] = {}
        for item in placed:
            placed_by_holder.setdefault(item.holder.entry_id, []).append(item)
        for items in placed_by_holder.values():
            # Outcomes reported during an earlier send may have ended the job.
            waiting = [item for item in items if job.states[item.index] is TaskState.WAITING]
            if waiting:
                self._send_batch(job, waiting, latest_s)
        if job.open_tasks() == 0:
            self._settle(entry, job)
            return
        if job.count_by_state[TaskState.WAITING]:
            self._retry_later(entry, job)

    def _send_batch(self, job: Job, items: list[Placed], latest_s: float) -> None:
        holder = items[0].holder
        self._next_batch += 1
        left_s = job.deadline_at - self._timers.now()
        margin_s = min(_HOLDER_MARGIN_S, _HOLDER_MARGIN_SHARE * left_s)
        message = RunBatch(
            batch_id=self._next_batch,
            service=job.service,
            team=job.team,
            deadline_left_s=left_s - margin_s,
            tasks=[
                BatchTask(
                    start_id=job.place(item.index),
                    spec=item.spec,
                    estimate_s=item.estimate_s,
                    rank=rank,
                    slack_s=max(latest_s - item.finish_s, 0.0),
                )
                for rank, item in enumerate(items)
            ],
        )
        incarnation = holder.incarnation
        if not holder.local:
            # The reliable stream is bound to the incarnation that the transport
            # knows, which may be newer than the load report.
            incarnation = self._transport.incarnation_of(holder.entry_id) or incarnation
        batch = Batch(
            self._next_batch,
            job,
            holder.entry_id,
            incarnation,
            starts=[(item.index, job.attempts[item.index]) for item in items],
        )
        # The holder may report outcomes before `run` returns.
        job.batch_by_id[batch.batch_id] = batch
        self._batch_by_id[batch.batch_id] = batch
        name = (batch.holder_id, batch.incarnation)
        self._batch_ids_by_holder.setdefault(name, set()).add(batch.batch_id)
        self._counters.add("tasks.placed", len(items))
        if holder.local:
            self._counters.add("batches.local")
            self._holder.run(self._self, message, self._apply_local)
            return
        if self._transport.send(holder.entry_id, message, reliable=True):
            self._counters.add("batches.remote")
            for item in items:
                self._views.sent(job.service, holder.entry_id, item.spec, item.estimate_s)
            return
        self._counters.add("batches.not_sent")
        self._forget_batch(batch)
        for item in items:
            job.set_state(item.index, TaskState.WAITING)
        self._views.invalidate()

    def _retry_later(self, entry: Entry, job: Job) -> None:
        if job.retry_due:
            return
        delay_s = min(_RETRY_FIRST_S * 2 ** min(job.retries, 10), _RETRY_MAX_S)
        job.retries += 1
        job.retry_due = True
        self._counters.add("placements.delayed")
        self._at(self._timers.now() + delay_s, job.number, self._retry)

    def _retry(self, number: int) -> None:
        entry = self._entry_by_job.get(number)
        if entry is None or entry.job is None:
            return
        job = entry.job
        job.retry_due = False
        if not (job.cancelled or job.deadline_passed):
            self._place(entry, job)

    def _apply_local(self, result: BatchResult) -> None:
        self._apply(self._entry_id, self._incarnation, result)

    def _handle_result(self, sender: Sender, message: object) -> None:
        assert isinstance(message, BatchResult)
        self._apply(sender.peer_id, sender.incarnation, message)

    def _apply(self, holder_id: str, incarnation: int, result: BatchResult) -> None:
        """Apply outcomes; whatever does not match an open start is counted and dropped."""
        batch = self._batch_by_id.get(result.batch_id)
        if batch is None or (batch.holder_id, batch.incarnation) != (holder_id, incarnation):
            self._counters.add("outcomes.unmatched", len(result.outcomes))
            return
        job = batch.job
        entry = self._entry_by_job.get(job.number)
        if entry is None:
            self._counters.add("outcomes.unmatched", len(result.outcomes))
            self._forget_batch(batch)
            return
        for outcome in result.outcomes:
            self._apply_outcome(batch, outcome)
        if batch.open_tasks == 0:
            self._forget_batch(batch)
        if job.is_doomed():
            job.close_waiting()
        if job.open_tasks() == 0:
            self._settle(entry, job)
        elif job.count_by_state[TaskState.WAITING]:
            self._retry_later(entry, job)

    def _apply_outcome(self, batch: Batch, outcome: TaskOutcome) -> None:
        job = batch.job
        index = job.find(outcome.start_id)
        was_placed = index is not None and job.states[index] is TaskState.PLACED
        if index is None or not job.record(index, outcome):
            self._counters.add("outcomes.unmatched")
            return
        self._counters.add(f"outcomes.{outcome.status.value}")
        if not was_placed:
            return
        batch.open_tasks -= 1
        self._release_quota(job, 1)
        if outcome.status is OutcomeStatus.NOT_STARTED:
            self._views.invalidate()
            self._place_again(job, index)
            return
        self._views.ended(job.service, batch.holder_id, outcome.backend_id, job.estimates_s[index])
        if outcome.status is not OutcomeStatus.DONE:
            return
        self._views.learn(job.service, outcome.run_s)
        # The local holder observes its own runs.
        if batch.holder_id != self._entry_id and job.specs:
            spec = job.specs[index]
            work_s = outcome.run_s * outcome.speed
            self._estimator.observe(job.service, spec.kind, spec.declared_s, work_s)

    def _place_again(self, job: Job, index: int) -> None:
        """Let a task that was not started wait again, unless its job cannot succeed."""
        if job.cancelled or job.deadline_passed or job.attempts[index] >= _MAX_PLACEMENTS:
            return
        job.set_state(index, TaskState.WAITING)
        job.quota_held += 1
        self._tasks_by_team[job.team] = self._tasks_by_team.get(job.team, 0) + 1
        self._counters.add("tasks.placed_again")

    def _pass_deadline_of(self, number: int) -> None:
        entry = self._entry_by_job.get(number)
        if entry is not None and entry.job is not None:
            self._pass_deadline(entry, entry.job)

    def _pass_deadline(self, entry: Entry, job: Job) -> None:
        """Answer a job whose deadline has passed and cancel its remaining batches."""
        if job.closed.is_set() or job.deadline_passed:
            return
        job.deadline_passed = True
        if job.claim_pending:
            # A reply that comes later must not start anything; the key may
            # belong to another coordinator.
            self._close(entry, job, ResultCode.HOME_UNREACHABLE)
            return
        job.close_waiting()
        if job.open_tasks() == 0:
            self._settle(entry, job)
            return
        self._counters.add("jobs.deadline_passed")
        self._cancel_batches(job)
        self._release_quota(job, job.quota_held)
        self._unanswered.discard(job.number)
        job.specs = []
        entry.code = ResultCode.DEADLINE_AFTER_START
        self._table.retain(entry, len(_ENCODER.encode(job.values)))

    def _settle(self, entry: Entry, job: Job) -> None:
        """Close a job whose tasks all have an outcome, or correct its answer."""
        if job.open_tasks() == 0 and job.number in self._entry_by_job:
            self._close(entry, job, job.final_code())

    def _close(self, entry: Entry, job: Job, code: ResultCode) -> None:
        """Give a job its answer and forget everything that only running jobs need."""
        results = job.values if code is ResultCode.COMPLETE else None
        failed = job.failed_tasks() if code is ResultCode.TASKS_FAILED else []
        answer = self._answer(entry.key, code, _MESSAGE_BY_CODE.get(code, ""))
        job.answer = attrs.evolve(answer, results=results, failed=failed)
        entry.answer = job.answer
        entry.code = code
        entry.restartable = code in _RESTARTABLE
        if job.deadline_passed:
            self._counters.add("jobs.closed_late")
        self._release_quota(job, job.quota_held)
        self._forget_job(entry, job)
        self._counters.add(f"jobs.closed.{int(code)}")
        self._counters.record("job", self._timers.now() - job.created_at)
        content = results if results is not None else failed
        size = len(_ENCODER.encode(content)) if content else 0
        self._table.retain(entry, size + _ANSWER_OVERHEAD)
        job.closed.set()

    def _dropped(self, entry: Entry) -> None:
        """Forget the collected values of a late job, or a retained answer."""
        self._counters.add("answers.dropped")
        job = entry.job
        if job is None or not job.deadline_passed:
            return
        self._forget_job(entry, job)

    def _forget_job(self, entry: Entry, job: Job) -> None:
        for batch in list(job.batch_by_id.values()):
            self._forget_batch(batch)
        self._entry_by_job.pop(job.number, None)
        self._unanswered.discard(job.number)
        entry.job = None

    def _release_quota(self, job: Job, count: int) -> None:
        count = min(count, job.quota_held)
        if not count:
            return
        job.quota_held -= count
        left = self._tasks_by_team[job.team] - count
        if left:
            self._tasks_by_team[job.team] = left
        else:
            del self._tasks_by_team[job.team]

    def _forget_batch(self, batch: Batch) -> None:
        batch.job.batch_by_id.pop(batch.batch_id, None)
        if self._batch_by_id.pop(batch.batch_id, None) is None:
            return
        name = (batch.holder_id, batch.incarnation)
        ids = self._batch_ids_by_holder[name]
        ids.discard(batch.batch_id)
        if not ids:
            del self._batch_ids_by_holder[name]

    # -- Cancellation and lookup -------------------------------------------------------------

    async def _cancel_here(self, team: str, key: str) -> AnswerForward:
        entry = self._table.get(team, key)
        if entry is None:
            return self._cancel_unused(team, key)
        job = entry.job
        if job is None:
            if entry.restartable and entry.claimed:
                entry.restartable = False
                entry.code = ResultCode.CANCELLED_BEFORE_START
                entry.answer = self._answer(key, ResultCode.CANCELLED_BEFORE_START)
            return AnswerForward(answer=self._retained(entry))
        if not job.cancelled:
            job.cancelled = True
            self._counters.add("jobs.cancelled")
            if not job.claim_pending:
                job.close_waiting()
                if job.open_tasks():
                    self._cancel_batches(job)
                else:
                    self._settle(entry, job)
        await self._wait_closed(job, _CANCEL_WAIT_S)
        if job.forward_to is not None:
            return await self._ask(
                job.forward_to, CancelForward(team=team, key=key), key, timeout_s=_CANCEL_WAIT_S
            )
        return AnswerForward(answer=self._current(entry, job))

    def _cancel_unused(self, team: str, key: str) -> AnswerForward:
        """Cancel a key of this incarnation that was not used, so that it cannot start later."""
        parsed = parse_key(key)
        if (
            not isinstance(parsed, IssuedKey)
            or (parsed.entry_id, parsed.incarnation) != (self._entry_id, self._incarnation)
            or not 0 <= parsed.expires_at - self._wall() <= ISSUED_KEY_VALIDITY_S
        ):
            return AnswerForward(answer=None, found=False)
        entry = Entry(
            team=team,
            key=key,
            fingerprint="",
            expires_at=parsed.expires_at + CLOCK_ALLOWANCE_S,
            code=ResultCode.CANCELLED_BEFORE_START,
            claimed=True,
        )
        if not self._table.add(entry):
            return AnswerForward(answer=None, found=False)
        self._counters.add("jobs.cancelled_unused")
        return AnswerForward(answer=self._retained(entry))

    def _cancel_batches(self, job: Job) -> None:
        """Send a cancellation of the open batches of a job with the present wave."""
        for batch in job.batch_by_id.values():
            if batch.cancel_sent:
                continue
            batch.cancel_sent = True
            if not self._cancels_by_holder:
                self._at(self._timers.now() + _CANCEL_WAVE_S, _NO_JOB, self._send_cancels)
            name = (batch.holder_id, batch.incarnation)
            self._cancels_by_holder.setdefault(name, []).append(batch.batch_id)

    def _send_cancels(self, _: int) -> None:
        cancels, self._cancels_by_holder = self._cancels_by_holder, {}
        for (holder_id, incarnation), batch_ids in cancels.items():
            open_ids = [item for item in batch_ids if item in self._batch_by_id]
            if not open_ids:
                continue
            self._counters.add("cancels.sent")
            if (holder_id, incarnation) == (self._entry_id, self._incarnation):
                self._holder.cancel(self._self, open_ids)
            elif not self._transport.send(
                holder_id, CancelBatch(batch_ids=open_ids), reliable=True
            ):
                self._counters.add("cancels.not_sent")
                for batch_id in open_ids:
                    # The deadline of the job repeats the cancellation.
                    self._batch_by_id[batch_id].cancel_sent = False

    async def _lookup_here(self, team: str, key: str, wait_s: float) -> AnswerForward:
        entry = self._table.get(team, key)
        if entry is None:
            return AnswerForward(answer=None, found=False)
        job = entry.job
        if job is None:
            return AnswerForward(answer=self._retained(entry))
        await self._wait_closed(job, wait_s)
        if job.forward_to is not None:
            return await self._ask(
                job.forward_to,
                JobLookup(team=team, key=key, wait_s=0),
                key,
                timeout_s=_PEER_TIMEOUT_S,
            )
        if job.answer is None and not job.deadline_passed:
            return AnswerForward(answer=None)
        return AnswerForward(answer=self._current(entry, job))

    async def _ask_owner(
        self,
        parsed: IssuedKey | str,
        team: str,
        key: str,
        *,
        local: Callable[[], Awaitable[AnswerForward]],
        message: object,
        timeout_s: float,
    ) -> AnswerForward:
        """Ask the coordinator of a key, or every live entry process for a caller key."""
        if self._table.get(team, key) is not None:
            return await local()
        if isinstance(parsed, IssuedKey):
            owner = (parsed.entry_id, parsed.incarnation)
            if owner == (self._entry_id, self._incarnation):
                return await local()
            return await self._ask(owner, message, key, timeout_s=timeout_s)
        found: list[AnswerForward] = []
        async with anyio.create_task_group() as group:

            async def ask(owner: tuple[str, int]) -> None:
                reply = await self._ask(owner, message, key, timeout_s=timeout_s)
                if reply.found:
                    found.append(reply)
                    group.cancel_scope.cancel()

            for item in self._cluster.live(MAX_REPORT_AGE_S):
                if item.entry_id != self._entry_id:
                    group.start_soon(ask, (item.entry_id, item.incarnation))
        return found[0] if found else AnswerForward(answer=None, found=False)

    async def _ask(
        self, owner: tuple[str, int], message: object, key: str, *, timeout_s: float
    ) -> AnswerForward:
        entry_id, incarnation = owner
        if entry_id != self._entry_id and self._transport.incarnation_of(entry_id) in (
            None,
            incarnation,
        ):
            try:
                reply = await self._transport.request(entry_id, message, timeout_s=timeout_s)
            except PeerUnreachable:
                reply = None
            if isinstance(reply, AnswerForward):
                return reply
        answer = self._answer(
            key, ResultCode.COORDINATOR_UNREACHABLE, f"coordinator {entry_id} cannot be reached"
        )
        return AnswerForward(answer=answer, found=False)

    async def _handle_submit(self, sender: Sender, message: object) -> AnswerForward:
        assert isinstance(message, SubmitForward)
        request = message.request
        left_ms = max(request.deadline_ms - int(sender.age_s * 1000), 1)
        try:
            key = parse_key(request.key)
        except ApricotError as error:
            return AnswerForward(answer=self._refusal(request.key, error))
        owned = isinstance(key, IssuedKey) and (key.entry_id, key.incarnation) == (
            self._entry_id,
            self._incarnation,
        )
        # A request is forwarded once: only its coordinator may start it.
        answer = await self.submit(
            attrs.evolve(request, deadline_ms=left_ms),
            attach_only=message.attach_only or not owned,
        )
        return AnswerForward(answer=answer)

    async def _handle_lookup(self, sender: Sender, message: object) -> AnswerForward:
        assert isinstance(message, JobLookup)
        return await self._lookup_here(message.team, message.key, message.wait_s)

    async def _handle_cancel(self, sender: Sender, message: object) -> AnswerForward:
        assert isinstance(message, CancelForward)
        return await self._cancel_here(message.team, message.key)

    # -- Time --------------------------------------------------------------------------------

    def _wall(self) -> float:
        """Return wall time that never goes back, so that an expired key stays expired."""
        self._latest_wall = max(self._latest_wall, self._timers.wall())
        return self._latest_wall

    def _at(self, due_at: float, number: int, callback: Callable[[int], None]) -> None:
        """Call `callback` with a job number at a monotonic time."""
        self._scheduled += 1
        heapq.heappush(self._schedule, (due_at, self._scheduled, number, callback))
        if len(self._schedule) > 2 * len(self._entry_by_job) + _SCHEDULE_SLACK:
            self._schedule = [
                item
                for item in self._schedule
                if item[2] == _NO_JOB or item[2] in self._entry_by_job
            ]
            heapq.heapify(self._schedule)
            self._counters.add("schedule.compacted")
        if self._schedule[0][1] == self._scheduled:
            self._wake.set()

    async def _run_schedule(self) -> None:
        while True:
            self._wake = anyio.Event()
            now = self._timers.now()
            while self._schedule and self._schedule[0][0] <= now:
                _, _, number, callback = heapq.heappop(self._schedule)
                callback(number)
            wait_s = self._schedule[0][0] - now if self._schedule else float("inf")
            if wait_s > 0:
                with anyio.move_on_after(wait_s):
                    await self._wake.wait()

    def _tick(self) -> None:
        """Expire keys, and give up batches of holders that have a new incarnation."""
        for entry in self._table.expire(self._wall()):
            self._counters.add("table.expired")
            # A job within its deadline goes on and answers its submissions.
            if entry.job is not None and entry.job.deadline_passed:
                self._forget_job(entry, entry.job)
        self._counters.set_gauge("table.entries", len(self._table))
        self._counters.set_gauge("jobs.open", len(self._entry_by_job))
        for holder_id, incarnation in list(self._batch_ids_by_holder):
            if holder_id == self._entry_id:
                continue
            if self._transport.incarnation_of(holder_id) not in (None, incarnation):
                self._lose_holder(holder_id, incarnation)

    def _lose_holder(self, holder_id: str, incarnation: int) -> None:
        """Mark the open tasks of a lost incarnation as unknown."""
        self._counters.add("holders.lost")
        jobs: dict[int, Job] = {}
        for batch_id in list(self._batch_ids_by_holder.get((holder_id, incarnation), ())):
            batch = self._batch_by_id[batch_id]
            jobs[batch.job.number] = batch.job
            for index, attempt in batch.starts:
                job = batch.job
                if job.attempts[index] == attempt and job.states[index] is TaskState.PLACED:
                    job.set_state(index, TaskState.UNKNOWN)
                    self._release_quota(job, 1)
            self._forget_batch(batch)
        for number, job in jobs.items():
            job.close_waiting()
            entry = self._entry_by_job.get(number)
            if entry is not None:
                self._settle(entry, job)

    # -- Answers -----------------------------------------------------------------------------

    def _answer(self, key: str, code: ResultCode, message: str = "") -> Answer:
        return Answer(
            key=key,
            code=int(code),
            message=message,
            config_version=self._configuration().version,
            config_current=self._configuration_current(),
        )

    def _refusal(self, key: str, error: ApricotError) -> Answer:
        self._counters.add(f"refusals.{int(error.code)}")
        message = f"{error.message}: {error.remedy}" if error.remedy else error.message
        answer = self._answer(key, error.code, message)
        if isinstance(error, admission.OverloadError):
            return attrs.evolve(answer, retry_after_ms=error.retry_after_ms)
        if error.code is ResultCode.DRAINING:
            return attrs.evolve(answer, others=self._other_addresses())
        return answer

    def _draining_error(self) -> ApricotError:
        return ApricotError(
            ResultCode.DRAINING,
            f"entry process {self._entry_id} is draining",
            remedy="submit to one of the other entry processes",
        )

    def _other_addresses(self) -> list[str]:
        return [
            item.report.caller_address
            for item in self._cluster.live(MAX_REPORT_AGE_S)
            if item.entry_id != self._entry_id and not item.report.draining
        ]


def _job_state(job: Job) -> str:
    if job.deadline_passed:
        return "late"
    if job.cancelled:
        return "cancelling"
    if job.claim_pending:
        return "claiming"
    return "running" if job.count_by_state[TaskState.PLACED] else "waiting"


_MESSAGE_BY_CODE = {
    ResultCode.TASKS_FAILED: "every task ran and some failed",
    ResultCode.DEADLINE_BEFORE_START: "the deadline passed before any task started",
    ResultCode.CANCELLED_BEFORE_START: "cancelled before any task started",
    ResultCode.CANCELLED_AFTER_START: "cancelled after tasks may have started",
    ResultCode.NO_BACKEND: "no backend server of the service is available",
    ResultCode.HOME_UNREACHABLE: "the home of the key cannot be reached",
    ResultCode.COORDINATOR_UNREACHABLE: "the coordinator of the key cannot be reached",
    ResultCode.BACKEND_LOST: "a backend server was lost while it ran a task",
    ResultCode.PARTLY_RAN: "some tasks ran and some did not",
}
