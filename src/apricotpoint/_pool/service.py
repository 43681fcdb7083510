"""Brings each job to the process that schedules it, and its answer back."""

from __future__ import annotations

from collections.abc import Callable
from types import TracebackType

import anyio
import attrs
import logbook

from apricotpoint._core.codes import ResultCode
from apricotpoint._core.counters import Counters
from apricotpoint._core.timers import Subscription, TimerService
from apricotpoint._link.transport import PeerUnreachable, Sender, Transport
from apricotpoint._pool import claims
from apricotpoint._pool.job import Job
from apricotpoint._pool.members import EntryMembers
from apricotpoint._pool.scheduler import Scheduler
from apricotpoint._wire.pool import PoolAnswer, PoolCancel, PoolJob

# Silence in seconds after which a process that schedules, or waits for, a job is
# given up. Both ends use it: whoever waits gives up at about the moment when
# the other end stops the job, before the caller may send it again.
LOST_S = 0.9
WATCH_S = 0.1
# A scheduling process may answer this long after the deadline, in seconds.
REPLY_SLACK_S = 0.3
# A submission is routed this often if the processes chosen stop meanwhile.
MAX_ROUTES = 3
# While backend servers change hands, a submission waits this long, in seconds, for a
# holder: another process claims them within a second of the loss of the last one.
HOLDER_WAIT_S = 1.0
HOLDER_POLL_S = 0.02
# Another process is preferred if its predicted wait is shorter by this factor.
FORWARD_SHARE = 0.5

# Refusals that only tell that backend servers change hands.
UNHELD = (ResultCode.NO_BACKEND, ResultCode.DRAINING)

_log = logbook.Logger("jobs")


class PoolService:
    """Submission of jobs at one entry process.

    Use it as an async context manager. `own_domain` is the failure domain of
    this process, whose backend servers are preferred in a large pool; `shared`
    tells whether the pool has one holder for all failure domains.
    """

    def __init__(
        self,
        *,
        own_domain: str,
        members: EntryMembers,
        scheduler: Scheduler,
        transport: Transport,
        timers: TimerService,
        counters: Counters,
        shared: Callable[[], bool],
    ) -> None:
        self._own_domain = own_domain
        self._shared = shared
        self._members = members
        self._scheduler = scheduler
        self._transport = transport
        self._timers = timers
        self._counters = counters
        self._target_by_job: dict[str, str] = {}
        self._waiting_ids: set[str] = set()
        self._subscription: Subscription | None = None

    async def __aenter__(self) -> PoolService:
        self._transport.request_handlers_by_type[PoolJob] = self._on_job
        self._transport.handlers_by_type[PoolCancel] = self._on_cancel
        self._subscription = self._timers.every(WATCH_S, self._drop_orphans)
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

    async def submit(self, request: PoolJob) -> PoolAnswer:
        """Run a job and return its answer when it has ended."""
        began_at = self._timers.now()
        wait_until = began_at + min(HOLDER_WAIT_S, request.deadline_s - request.elapsed_s)
        answer = PoolAnswer(int(ResultCode.NO_BACKEND), "no process holds backend servers", 1.0)
        stopping: set[str] = set()
        while True:
            target = self._scheduling_process(stopping)
            if target is not None:
                passed_s = self._timers.now() - began_at
                current = attrs.evolve(request, elapsed_s=request.elapsed_s + passed_s)
                answer = await self._submit_to(target, current)
                if answer.code == ResultCode.DRAINING and len(stopping) < MAX_ROUTES:
                    stopping.add(target)
                    continue
            if answer.code not in UNHELD or self._timers.now() >= wait_until:
                break
            stopping.clear()
            if not await self._wait_for_holder(request.job_id):
                answer = PoolAnswer(int(ResultCode.CANCELLED_BEFORE_START), "the caller has left")
                break
        self._log_answer(request, answer, self._timers.now() - began_at)
        return answer

    async def _wait_for_holder(self, job_id: str) -> bool:
        """Wait before a job is routed again; False if its caller has left meanwhile."""
        self._waiting_ids.add(job_id)
        await self._timers.sleep(HOLDER_POLL_S)
        if job_id not in self._waiting_ids:
            return False
        self._waiting_ids.discard(job_id)
        return True

    def cancel(self, job_id: str) -> None:
        """Give up a job whose caller has left."""
        self._waiting_ids.discard(job_id)
        target = self._target_by_job.get(job_id)
        if target is not None:
            self._transport.send(target, PoolCancel(job_id))
        self._scheduler.cancel(job_id, "the caller has left")

    def knows(self, job_id: str) -> bool:
        """Return whether a job is being run for a caller of this process."""
        return job_id in self._target_by_job or any(
            job.request.job_id == job_id for job in self._scheduler.jobs()
        )

    def _scheduling_process(self, excluded: set[str]) -> str | None:
        live = {
            entry_id: status
            for entry_id, status in self._members.live().items()
            if entry_id not in excluded
        }
        own = claims.scheduling_process(self._own_domain, live, shared=self._shared())
        if own is not None and live[own].held:
            return own
        others = [
            (status.load.backlog_s, entry_id)
            for entry_id, status in live.items()
            if status.held and not status.draining
        ]
        return min(others)[1] if others else own

    async def _submit_to(self, target: str, request: PoolJob) -> PoolAnswer:
        if target == self._members.entry_id:
            return await self._run_here(request, "")
        self._counters.add("jobs.passed_on")
        self._target_by_job[request.job_id] = target
        timeout_s = max(request.deadline_s - request.elapsed_s, 0.0) + REPLY_SLACK_S
        answer: PoolAnswer | None = None
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._watch, target, group.cancel_scope)
                reply = await self._transport.request(target, request, timeout_s=timeout_s)
                assert isinstance(reply, PoolAnswer)
                answer = reply
                group.cancel_scope.cancel()
        except* PeerUnreachable as unreachable:
            _log.warning("job {}: {}", request.job_id, unreachable.exceptions[0])
        finally:
            self._target_by_job.pop(request.job_id, None)
        if answer is None:
            self._counters.add("jobs.scheduler_lost")
            return PoolAnswer(
                int(ResultCode.COORDINATOR_UNREACHABLE), f"{target} does not answer any more"
            )
        return answer

    async def _watch(self, target: str, scope: anyio.CancelScope) -> None:
        while self._transport.seconds_since_contact(target) <= LOST_S:
            await self._timers.sleep(WATCH_S)
        scope.cancel()

    async def _run_here(self, request: PoolJob, origin: str) -> PoolAnswer:
        known = self._scheduler.find(request.job_id)
        if known is not None:
            await known.answered.wait()
            assert known.answer is not None
            if known.answer.code in (ResultCode.COMPLETE, ResultCode.TASKS_FAILED):
                self._counters.add("jobs.repeated")
                return known.answer
            if not await self._wait_until_gone(known, request):
                return known.answer
        if self._scheduler.draining:
            return PoolAnswer(int(ResultCode.DRAINING), "this process is stopping")
        refusal = self._scheduler.refusal(request)
        if refusal is not None:
            other = None if request.forwarded else self._less_loaded(request)
            if other is None:
                return refusal
            self._counters.add("jobs.forwarded")
            return await self._submit_to(other, attrs.evolve(request, forwarded=True))
        job = self._scheduler.submit(request, origin)
        await job.answered.wait()
        assert job.answer is not None
        return job.answer

    async def _wait_until_gone(self, job: Job, request: PoolJob) -> bool:
        """Wait for the runs of an earlier submission; False if they outlast the deadline."""
        with anyio.move_on_after(max(request.deadline_s - request.elapsed_s, 0.0)):
            # A repeated submission is rare, and the end of a run offers no event.
            while job.runs():  # noqa: ASYNC110
                await self._timers.sleep(0.01)
            return True
        return False

    def _less_loaded(self, request: PoolJob) -> str | None:
        """Return a process in another failure domain that can take the job sooner."""
        own_s = self._scheduler.load().backlog_s if self._scheduler.held_by_id else float("inf")
        waits = [
            (status.load.backlog_s, entry_id)
            for entry_id, status in self._members.live().items()
            if entry_id != self._members.entry_id
            and not status.draining
            and status.held
            and (status.load.free >= request.count or status.load.backlog_s < own_s * FORWARD_SHARE)
        ]
        return min(waits)[1] if waits else None

    async def _on_job(self, sender: Sender, message: object) -> object:
        assert isinstance(message, PoolJob)
        late = attrs.evolve(message, elapsed_s=message.elapsed_s + sender.age_s)
        return await self._run_here(late, sender.peer_id)

    def _on_cancel(self, sender: Sender, message: object) -> None:
        assert isinstance(message, PoolCancel)
        self.cancel(message.job_id)

    def _drop_orphans(self) -> None:
        """Stop jobs whose entry process is lost: it has told the caller by now."""
        for job in self._scheduler.jobs():
            if job.origin and self._transport.seconds_since_contact(job.origin) > LOST_S:
                self._counters.add("jobs.orphaned")
                self._scheduler.cancel(job.request.job_id, f"{job.origin} does not answer any more")

    def _log_answer(self, request: PoolJob, answer: PoolAnswer, seconds: float) -> None:
        self._counters.add(f"jobs.answers_{answer.code}")
        self._counters.record("jobs.latency", seconds)
        log = _log.info if answer.code == ResultCode.COMPLETE else _log.notice
        log(
            "job {} of {} ended with {} after {:.3f} s: {}",
            request.job_id,
            request.kind,
            answer.code,
            seconds,
            answer.reason,
        )
