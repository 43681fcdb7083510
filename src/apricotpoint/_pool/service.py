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
from apricotpoint._link.transport import PeerUnreachable, RequestNotSent, Sender
from apricotpoint._pool.decisions import claims, evacuation, forwarding, nearholders
from apricotpoint._pool.holders.members import EntryMembers
from apricotpoint._pool.runs.attempts import Attempts, PassedOnJob
from apricotpoint._pool.runs.job import Job, Origin
from apricotpoint._pool.scheduler import Scheduler
from apricotpoint._pool.transport import DynamicTransport
from apricotpoint._wire.pool import PoolAnswer, PoolCancel, PoolJob, PoolLoad

# Time without contact after which a process counts as unreachable. The process that waits for a
# job and the one that schedules it both use it: the first answers its caller at about the time
# at which the second stops the job, so no run is left when the caller sends the job again.
PEER_TIMEOUT_S = 0.9
PEER_CHECK_PERIOD_S = 0.1
# The answer of the scheduling process may arrive this long after the deadline of the job.
REPLY_MARGIN_S = 0.3
# Number of times that a job is routed again because the chosen process is draining.
MAX_REROUTES = 3
# Time for which a job waits while no entry process holds backend servers: another process claims
# them within a second after their last holder became unreachable.
HOLDER_TIMEOUT_S = 1.0
HOLDER_POLL_S = 0.02
# A job that could not be sent to its scheduling process may be sent again after this time, by which
# another process has taken over its backend servers.
NOT_SENT_RETRY_AFTER_S = 1.0
# Backlog that halves the jobs which a holder without free room gets.
BACKLOG_HALVING_S = 0.1

# Refusals that occur while backend servers change their holder; the job is routed again.
NO_HOLDER_CODES = (ResultCode.NO_BACKEND, ResultCode.DRAINING)

_CANCELLED = PoolAnswer(int(ResultCode.CANCELLED_BEFORE_START), "cancelled before its start")

_log = logbook.Logger("jobs")


def routing_weight(load: PoolLoad) -> float:
    """Return the relative share of the jobs that a holder with this load gets.

    Free room counts most; without any, holders with a short backlog get more.
    """
    return max(load.free, 0) + 1 / (1 + max(load.backlog_s, 0.0) / BACKLOG_HALVING_S)


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
        self._own_domain = own_domain
        self._random = random
        self._members = members
        self._scheduler = scheduler
        self._transport = transport
        self._timers = timers
        self._counters = counters
        self._attempts = Attempts(now=timers.now)
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
            target = self._scheduling_process(draining_ids, request)
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
            self._cancel_passed_on(job)
        scheduled = self._scheduler.find(job_id)
        if scheduled is not None and attempt in (0, scheduled.request.attempt):
            self._scheduler.cancel(job_id, reason)

    def _cancel_passed_on(self, job: PassedOnJob) -> None:
        # Reliable, as nothing else ends the job while its target hears from this process.
        request = job.request
        message = PoolCancel(request.job_id, request.attempt)
        self._transport.send(job.target, message, reliable=True)

    def is_running(self, job_id: str) -> bool:
        """Return whether a job is open that this process schedules or has passed on to another."""
        return bool(self._attempts.find(job_id)) or any(
            job.request.job_id == job_id for job in self._scheduler.unanswered_jobs()
        )

    def _scheduling_process(self, excluded: set[str], request: PoolJob) -> str | None:
        choice = self.holder_choice(excluded, request)
        if choice.weights is not None:
            return self._random.choices(choice.ids, choice.weights)[0]
        if choice.any_of and choice.ids:
            return self._random.choice(choice.ids)
        return choice.ids[0] if choice.ids else None

    def preview(self, request: PoolJob) -> tuple[PoolAnswer | None, str]:
        """Return how this process would refuse a job, None if it would not, and who gets it then.

        The refusal has the least retry-after of those that callers get.
        """
        if self._scheduler.draining:
            return self._refusal(request), ""
        refusal = self._scheduler.refusal(request, spread=lambda: 0.0)
        forward_to = self._less_loaded_process(request) if refusal is not None else None
        return refusal, forward_to or ""

    def holder_choice(self, excluded: set[str], request: PoolJob) -> nearholders.HolderChoice:
        """Return the processes of which one schedules a job: those of the own domain, if any.

        Of several holders one is chosen at random by its free room, so that the entry processes
        do not all send their jobs to the same one until its next status arrives. Holders in the
        location of its data go first while they have free room. Holders of evacuated failure
        domains only are left out.
        """
        evacuated = self._scheduler.evacuations.domains
        live = {
            entry_id: status
            for entry_id, status in self._members.live_entries().items()
            if entry_id not in excluded and not status.draining and status.held
        }
        usable = evacuation.usable_holders(live, evacuated)
        live = nearholders.prefer_near(request, usable, self._members.location_of)
        is_evacuated = self._own_domain in evacuated
        local_ids = [] if is_evacuated else claims.holders(self._own_domain, live)
        if not local_ids and (is_evacuated or len(live) < len(usable)):
            local_ids = list(live)
        if is_evacuated and local_ids:
            self._counters.add("jobs.routed_elsewhere_evacuated")
        if local_ids:
            own_id = self._members.entry_id
            if own_id in local_ids and live[own_id].load.free:
                return nearholders.HolderChoice([own_id])
            weights = [routing_weight(live[entry_id].load) for entry_id in local_ids]
            return nearholders.HolderChoice(local_ids, weights)
        if live:
            best = min(live, key=lambda entry_id: (live[entry_id].load.backlog_s, entry_id))
            return nearholders.HolderChoice([best])
        # Holders of other failure domains send their status to holders only.
        distant = {
            entry_id: summary
            for entry_id, summary in self._members.available_summaries().items()
            if summary.is_holder
            and not summary.draining
            and entry_id not in excluded
            and entry_id != self._members.entry_id
            and summary.failure_domain != self._own_domain
        }
        distant_ids = evacuation.prefer_usable(distant, evacuated)
        if is_evacuated and distant_ids:
            self._counters.add("jobs.routed_elsewhere_evacuated")
        return nearholders.HolderChoice(distant_ids, any_of=True)

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
        self._counters.add("jobs.passed_on")
        self._members.open_link(target)
        passed_on = PassedOnJob(request, target)
        self._attempts.add(passed_on)
        timeout_s = max(request.deadline_s - request.elapsed_s, 0.0) + REPLY_MARGIN_S
        answer: PoolAnswer | None = None
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._cancel_when_unreachable, target, request, group.cancel_scope)
                reply = await self._transport.request(target, request, timeout_s=timeout_s)
                assert isinstance(reply, PoolAnswer)
                answer = reply
                group.cancel_scope.cancel()
        except* RequestNotSent as not_sent:
            self._counters.add("jobs.not_passed_on")
            answer = PoolAnswer(
                int(ResultCode.NO_BACKEND),
                f"the job has not run: {not_sent.exceptions[0]}",
                NOT_SENT_RETRY_AFTER_S,
            )
        except* PeerUnreachable as unreachable:
            _log.warning(
                "job {}: scheduling process {} is unreachable: {}",
                request.job_id,
                target,
                unreachable.exceptions[0],
            )
        finally:
            self._attempts.remove(passed_on)
        if answer is None:
            self._counters.add("jobs.scheduler_lost")
            self._cancel_passed_on(passed_on)
            return PoolAnswer(
                int(ResultCode.COORDINATOR_UNREACHABLE),
                f"scheduling process {target} is unreachable",
            )
        return answer

    async def _cancel_when_unreachable(
        self, target: str, request: PoolJob, scope: anyio.CancelScope
    ) -> None:
        """Cancel a scope when the process that got a job is silent, or was started again.

        A request that was not written to a connection yet is withdrawn instead.

        It sends at least heartbeats. The time before the job was sent does not count: an idle link
        carries no heartbeats.
        """
        began_at, incarnation = self._timers.now(), self._transport.incarnation_of(target)
        while (
            min(self._transport.seconds_since_contact(target), self._timers.now() - began_at)
            <= PEER_TIMEOUT_S
        ):
            await self._timers.sleep(PEER_CHECK_PERIOD_S)
            current = self._transport.incarnation_of(target)
            if incarnation is not None and current != incarnation:
                break
            incarnation = current
        if not self._transport.withdraw(target, request):
            scope.cancel()

    async def _run_locally(self, request: PoolJob, origin: Origin | None) -> PoolAnswer:
        arrived_at, asked = self._timers.now(), request
        # Another attempt may have waited for the same job, and may have been submitted first.
        while (earlier_job := self._scheduler.find(request.job_id)) is not None:
            await earlier_job.answered.wait()
            assert earlier_job.answer is not None
            if earlier_job.answer.code in (ResultCode.COMPLETE, ResultCode.TASKS_FAILED):
                self._counters.add("jobs.repeated")
                return earlier_job.answer
            if not await self._wait_for_earlier_runs(earlier_job, request):
                return earlier_job.answer
            waited_s = self._timers.now() - arrived_at
            request = attrs.evolve(asked, elapsed_s=asked.elapsed_s + waited_s)
            if self._scheduler.find(request.job_id) is earlier_job:
                break
        if self._attempts.is_cancelled(request.attempt) or self._is_lost(origin):
            self._counters.add("jobs.cancelled_unstarted")
            return _CANCELLED
        refusal = self._refusal(request)
        if refusal is not None:
            other = self._less_loaded_process(request)
            if other is None:
                return refusal
            self._counters.add("jobs.forwarded")
            return attrs.evolve(refusal, forward_to=other)
        job = self._scheduler.submit(request, origin)
        await job.answered.wait()
        assert job.answer is not None
        return job.answer

    def _refusal(self, request: PoolJob) -> PoolAnswer | None:
        if self._scheduler.draining:
            return PoolAnswer(int(ResultCode.DRAINING), "this process is shutting down")
        return self._scheduler.refusal(request)

    async def _wait_for_earlier_runs(self, job: Job, request: PoolJob) -> bool:
        """Wait until no run of an earlier submission is left; False if the deadline comes first."""
        with anyio.move_on_after(max(request.deadline_s - request.elapsed_s, 0.0)):
            # Polling is enough: repeated submissions are rare, and the end of a run sets no event.
            while job.active_runs():  # noqa: ASYNC110
                await self._timers.sleep(0.01)
            return True
        return False

    def _less_loaded_process(self, request: PoolJob) -> str | None:
        """Return another holder that can run the job now or much sooner, None if there is none.

        A job that a process which is shutting down refuses is routed anew by its origin.
        """
        if self._scheduler.draining:
            return None
        evacuated = self._scheduler.evacuations.domains
        live = evacuation.usable_holders(self._members.live_entries(), evacuated)
        others = [
            forwarding.Holder(entry_id, status.load, self._members.seconds_since_contact(entry_id))
            for entry_id, status in live.items()
            if entry_id != self._members.entry_id and not status.draining and status.held
        ]
        choice = forwarding.choose_holder(request, self._scheduler.load(), others)
        if choice is None:
            return None
        holder, other_s, own_s = choice
        _log.info(
            "job {} is moved to {}: expected wait {:.3f} s there, {:.3f} s here",
            request.job_id,
            holder.entry_id,
            other_s,
            own_s,
        )
        return holder.entry_id

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
            "job {} of kind {} ended with code {} after {:.3f} s: {}",
            request.job_id,
            request.kind,
            answer.code,
            seconds,
            answer.reason,
        )
