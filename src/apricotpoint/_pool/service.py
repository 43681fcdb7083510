"""Routes each job to the entry process that schedules it, and its answer back."""

from __future__ import annotations

import math
import random as random_module
from collections.abc import Collection
from types import TracebackType

import anyio
import attrs
import logbook

from apricotpoint._core.codes import ResultCode
from apricotpoint._core.counters import Counters
from apricotpoint._core.timers import PeriodicTimer, TimerService
from apricotpoint._link.transport import Sender
from apricotpoint._pool.decisions import evacuation, forwarding, nearholders
from apricotpoint._pool.holderchoice import HolderChooser
from apricotpoint._pool.holders.members import EntryMembers
from apricotpoint._pool.jobdescription import describe_job
from apricotpoint._pool.remotesubmission import (
    PEER_CHECK_PERIOD_S,
    PEER_TIMEOUT_S,
    RemoteSubmission,
)
from apricotpoint._pool.runs.attempts import Attempts
from apricotpoint._pool.runs.job import Job, Origin
from apricotpoint._pool.scheduler import Scheduler
from apricotpoint._pool.transport import DynamicTransport
from apricotpoint._wire.pool import PoolAnswer, PoolCancel, PoolJob

# Number of times that a job is routed again because the chosen process is draining.
MAX_REROUTES = 3
# Time for which a job waits while no entry process holds backend servers: another process claims
# them within a second after their last holder became unreachable.
HOLDER_TIMEOUT_S = 1.0
HOLDER_POLL_S = 0.02
# Longest time from the end of a submission that waits for an earlier one to its answer.
CANCELLATION_CHECK_PERIOD_S = 0.1

# Refusals that occur while backend servers change their holder; the job is routed again.
NO_HOLDER_CODES = (ResultCode.NO_BACKEND, ResultCode.DRAINING)

_CANCELLED = PoolAnswer(int(ResultCode.CANCELLED_BEFORE_START), "cancelled before its start")

_log = logbook.Logger("jobs")


class PoolService:
    """Submission and cancellation of the jobs of callers at one entry process.

    Use it as an async context manager. `own_domain` is the failure domain of this process, whose
    holders are preferred.
    """

    def __init__(
        self,
        *,
        own_domain: str,
        members: EntryMembers,
        scheduler: Scheduler,
        transport: DynamicTransport,
        timers: TimerService,
        counters: Counters,
        random: random_module.Random,
    ) -> None:
        self._chooser = HolderChooser(
            own_domain=own_domain,
            members=members,
            scheduler=scheduler,
            counters=counters,
            random=random,
        )
        self._random = random
        self._members = members
        self._scheduler = scheduler
        self._transport = transport
        self._timers = timers
        self._counters = counters
        self._attempts = Attempts(now=timers.now)
        self._remote = RemoteSubmission(
            members=members,
            attempts=self._attempts,
            transport=transport,
            timers=timers,
            counters=counters,
        )
        # Attempts of the callers of this process that have no answer yet, with their jobs.
        self._job_id_by_attempt: dict[int, str] = {}
        self._subscription: PeriodicTimer | None = None

    async def __aenter__(self) -> PoolService:
        self._transport.request_handlers_by_type[PoolJob] = self._on_job
        self._transport.handlers_by_type[PoolCancel] = self._on_cancel
        self._subscription = self._timers.every(PEER_CHECK_PERIOD_S, self._cancel_orphaned_jobs)
        self._scheduler.origin_alive_at = self._origin_alive_at
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._subscription:
            self._subscription.cancel()
        self._transport.request_handlers_by_type.pop(PoolJob, None)
        self._transport.handlers_by_type.pop(PoolCancel, None)

    def set_evacuated(
        self, domains: Collection[str], *, grace_s: float = evacuation.EVACUATION_GRACE_S
    ) -> None:
        """Replace the evacuated failure domains; see `Scheduler.set_evacuated`."""
        # Entry processes there choose among all holders, so they need the load of each.
        self._members.evacuated_domains = frozenset(domains)
        if self._scheduler.set_evacuated(domains, grace_s=grace_s):
            self._members.send_status()

    def new_attempt(self) -> int:
        """Return a number for one request by which a caller submits a job."""
        return self._random.getrandbits(62) + 1

    async def submit(self, request: PoolJob) -> PoolAnswer:
        """Run a job and return its answer when it has ended.

        Returns by the deadline of the job, plus `REPLY_MARGIN_S` if another process schedules it.
        If the scheduling process is unreachable, the answer has code `COORDINATOR_UNREACHABLE`.
        A request without an attempt is given a new one.
        """
        if not request.attempt:
            request = attrs.evolve(request, attempt=self.new_attempt())
        self._job_id_by_attempt[request.attempt] = request.job_id
        try:
            return await self._submit(request)
        finally:
            del self._job_id_by_attempt[request.attempt]

    async def _submit(self, request: PoolJob) -> PoolAnswer:
        began_at = self._timers.now()
        wait_until = began_at + min(HOLDER_TIMEOUT_S, request.deadline_s - request.elapsed_s)
        answer = PoolAnswer(
            int(ResultCode.NO_BACKEND), "no entry process holds backend servers", 1.0
        )
        draining_ids: set[str] = set()
        while True:
            target = self._chooser.scheduling_process(draining_ids, request)
            if target is not None:
                passed_s = self._timers.now() - began_at
                current = attrs.evolve(request, elapsed_s=request.elapsed_s + passed_s)
                answer = await self._submit_to(target, current)
                refused_by: list[str] = []
                while answer.forward_to and len(refused_by) < forwarding.MAX_FORWARDS:
                    refused_by.append(target)
                    target = answer.forward_to
                    answer = await self._submit_forwarded(target, request, began_at, refused_by)
                if answer.code == ResultCode.DRAINING and len(draining_ids) < MAX_REROUTES:
                    draining_ids.add(target)
                    continue
            if answer.code not in NO_HOLDER_CODES or self._timers.now() >= wait_until:
                break
            draining_ids.clear()
            await self._timers.sleep(HOLDER_POLL_S)
            if self._attempts.is_cancelled(request.attempt):
                answer = _CANCELLED
                break
        self._log_answer(request, answer, self._timers.now() - began_at)
        return answer

    def cancel(
        self, job_id: str, attempt: int = 0, reason: str = "cancelled by its caller"
    ) -> None:
        """Cancel a job, here and at the process that schedules it; unknown jobs are ignored.

        With an `attempt` only that one ends, so that an earlier attempt, whose caller has left,
        does not end a later one.
        """
        own = [key for key, value in self._job_id_by_attempt.items() if value == job_id]
        for cancelled in [attempt] if attempt else own:
            self._attempts.record_cancellation(cancelled)
        for job in self._attempts.find(job_id, attempt):
            self._remote.cancel(job)
        scheduled = self._scheduler.find(job_id)
        if scheduled is not None and attempt in (0, scheduled.request.attempt):
            self._scheduler.cancel(job_id, reason)

    def is_running(self, job_id: str) -> bool:
        """Return whether a job is open that this process schedules or has passed on to another."""
        return bool(self._attempts.find(job_id)) or any(
            job.request.job_id == job_id for job in self._scheduler.unanswered_jobs()
        )

    def preview(self, request: PoolJob) -> tuple[PoolAnswer | None, str]:
        """Return how this process would refuse a job, None if it would not, and who gets it then.

        The refusal has the least retry-after of those that callers get.
        """
        if self._scheduler.draining:
            return self._refusal(request), ""
        refusal = self._scheduler.refusal(request, spread=lambda: 0.0)
        forward_to = self._chooser.less_loaded_process(request) if refusal is not None else None
        return refusal, forward_to or ""

    def holder_choice(self, excluded: set[str], request: PoolJob) -> nearholders.HolderChoice:
        """Return the processes of which one schedules a job; see `HolderChooser`."""
        return self._chooser.holder_choice(excluded, request)

    async def _submit_forwarded(
        self, target: str, request: PoolJob, began_at: float, refused_by: list[str]
    ) -> PoolAnswer:
        """Submit a job to the process that another one has named instead of running it.

        The process that took the job from its caller does this itself, so that the one that
        schedules it knows when its caller sends it again.
        """
        if self._attempts.is_cancelled(request.attempt):
            return _CANCELLED
        elapsed_s = request.elapsed_s + self._timers.now() - began_at
        return await self._submit_to(
            target,
            attrs.evolve(
                request,
                elapsed_s=elapsed_s,
                forwarded=len(refused_by) >= forwarding.MAX_FORWARDS,
                refused_by=list(refused_by),
            ),
        )

    async def _submit_to(self, target: str, request: PoolJob) -> PoolAnswer:
        if target == self._members.entry_id:
            return await self._run_locally(request, None)
        return await self._remote.submit(target, request)

    async def _run_locally(self, request: PoolJob, origin: Origin | None) -> PoolAnswer:
        arrived_at = self._timers.now()
        answer = await self._answer_of_earlier(request, arrived_at)
        if answer is not None:
            return answer
        waited_s = self._timers.now() - arrived_at
        request = attrs.evolve(request, elapsed_s=request.elapsed_s + waited_s)
        if self._attempts.is_cancelled(request.attempt) or self._is_lost(origin):
            self._counters.add("jobs.cancelled_unstarted")
            return _CANCELLED
        refusal = self._refusal(request)
        if refusal is not None:
            self._scheduler.record_refused(request)
            other = self._chooser.less_loaded_process(request)
            if other is None:
                return refusal
            self._counters.add("jobs.forwarded")
            return attrs.evolve(refusal, forward_to=other)
        job = self._scheduler.submit(request, origin)
        await job.answered.wait()
        return self._forwarded_after_wait(job)

    def _forwarded_after_wait(self, job: Job) -> PoolAnswer:
        """Return the answer to a job, with another holder for one that was refused after a wait."""
        assert job.answer is not None
        if job.started or job.answer.code != ResultCode.OVERLOADED:
            return job.answer
        now = self._timers.now()
        fastest = self._scheduler.estimates.attainable_speed(now)
        if not self._scheduler.estimates.can_meet_deadline(job, now, fastest=fastest):
            return job.answer
        other = self._chooser.less_loaded_process(job.request)
        if other is None:
            return job.answer
        self._counters.add("jobs.forwarded_after_wait")
        return attrs.evolve(job.answer, forward_to=other)

    def _refusal(self, request: PoolJob) -> PoolAnswer | None:
        if self._scheduler.draining:
            return PoolAnswer(int(ResultCode.DRAINING), "this process is shutting down")
        return self._scheduler.refusal(request)

    async def _answer_of_earlier(self, request: PoolJob, arrived_at: float) -> PoolAnswer | None:
        """Wait for earlier submissions of a job that arrived at this monotonic time.

        Returns None if this one has to run, as they did not end with a result.
        """
        # Another attempt may have waited for the same job, and may have been submitted first.
        while (earlier_job := self._scheduler.find(request.job_id)) is not None:
            ended = await self._wait_for_answer(earlier_job, request, arrived_at)
            if ended is not None:
                return ended
            assert earlier_job.answer is not None
            if earlier_job.answer.code in (ResultCode.COMPLETE, ResultCode.TASKS_FAILED):
                self._counters.add("jobs.repeated")
                return earlier_job.answer
            if not await self._wait_for_earlier_runs(earlier_job, request, arrived_at):
                return earlier_job.answer
            if self._scheduler.find(request.job_id) is earlier_job:
                break
        return None

    async def _wait_for_answer(
        self, earlier_job: Job, request: PoolJob, arrived_at: float
    ) -> PoolAnswer | None:
        """Wait until an earlier submission is answered, and return None.

        Returns the answer to `request`, which arrived at `arrived_at`, if its deadline passes
        first or its caller leaves. The deadlines of the two are independent.
        """
        with anyio.move_on_after(self._remaining_s(request, arrived_at)):
            while not earlier_job.answered.is_set():
                if self._attempts.is_cancelled(request.attempt):
                    return _CANCELLED
                with anyio.move_on_after(CANCELLATION_CHECK_PERIOD_S):
                    await earlier_job.answered.wait()
            return None
        self._counters.add("jobs.repeated_too_long")
        return PoolAnswer(
            int(ResultCode.DEADLINE_AFTER_START), "an earlier submission of the job has not ended"
        )

    async def _wait_for_earlier_runs(self, job: Job, request: PoolJob, arrived_at: float) -> bool:
        """Wait until no run of an earlier submission is left; False if the deadline comes first."""
        with anyio.move_on_after(self._remaining_s(request, arrived_at)):
            # Polling is enough: repeated submissions are rare, and the end of a run sets no event.
            while job.active_runs():  # noqa: ASYNC110
                await self._timers.sleep(0.01)
            return True
        return False

    def _remaining_s(self, request: PoolJob, arrived_at: float) -> float:
        """Return the seconds to the deadline of a job that arrived at this monotonic time."""
        waited_s = self._timers.now() - arrived_at
        return max(request.deadline_s - request.elapsed_s - waited_s, 0.0)

    async def _on_job(self, sender: Sender, message: object) -> object:
        assert isinstance(message, PoolJob)
        if sender.age_s > PEER_TIMEOUT_S:
            # Its origin may have given it up, and its caller may have sent it again elsewhere.
            self._counters.add("jobs.outdated")
            _log.notice(
                "job {} from entry process {} is refused: it may have been sent {:.3f} s ago",
                message.job_id,
                sender.peer_id,
                sender.age_s,
            )
            return PoolAnswer(
                int(ResultCode.NO_BACKEND), "the request took too long to reach its scheduler"
            )
        request = attrs.evolve(
            message,
            elapsed_s=message.elapsed_s + sender.age_s,
            attempt=message.attempt or self.new_attempt(),
        )
        return await self._run_locally(request, Origin(sender.peer_id, sender.incarnation))

    def _on_cancel(self, _: Sender, message: object) -> None:
        assert isinstance(message, PoolCancel)
        self.cancel(message.job_id, message.attempt)

    def _is_lost(self, origin: Origin | None) -> bool:
        """Return whether the process that waits for an answer has ended or is unreachable.

        It has answered its callers by now, or their connections are broken: they submit their
        jobs again.
        """
        if origin is None:
            return False
        return self._timers.now() - self._origin_alive_at(origin) > PEER_TIMEOUT_S

    def _origin_alive_at(self, origin: Origin) -> float:
        """Return the last time at which an origin is known to have been alive.

        Messages that were held up may have been sent by a process that has ended since. Minus
        infinity if it has been started again.
        """
        if self._transport.incarnation_of(origin.entry_id) != origin.incarnation:
            return -math.inf
        return self._timers.now() - self._transport.seconds_since_alive(origin.entry_id)

    def _cancel_orphaned_jobs(self) -> None:
        """Cancel jobs that are scheduled here and for which nobody waits."""
        for job in self._scheduler.unanswered_jobs():
            request, origin = job.request, job.origin
            if origin is None or not self._is_lost(origin):
                continue
            if self._attempts.is_cancelled(request.attempt):
                continue
            self._counters.add("jobs.orphaned")
            reason = f"entry process {origin.entry_id} is unreachable or was started again"
            self.cancel(request.job_id, request.attempt, reason)

    def _log_answer(self, request: PoolJob, answer: PoolAnswer, seconds: float) -> None:
        self._counters.add(f"jobs.answers_{answer.code}")
        self._counters.record("jobs.latency", seconds)
        log = _log.info if answer.code == ResultCode.COMPLETE else _log.notice
        log(
            "job {} of kind {} ended with code {} after {:.3f} s: {}; {}",
            request.job_id,
            request.kind,
            answer.code,
            seconds,
            answer.reason,
            describe_job(request),
        )
