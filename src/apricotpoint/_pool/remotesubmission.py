"""Submission of jobs to other entry processes, and the cancellation of those passed on."""

from __future__ import annotations

import anyio
import logbook

from apricotpoint._core.codes import ResultCode
from apricotpoint._core.counters import Counters
from apricotpoint._core.timers import TimerService
from apricotpoint._link.transport import PeerUnreachable, RequestNotSent
from apricotpoint._pool.holders.members import EntryMembers
from apricotpoint._pool.runs.attempts import Attempts, PassedOnJob
from apricotpoint._pool.transport import DynamicTransport
from apricotpoint._wire.pool import PoolAnswer, PoolCancel, PoolJob

# Time without contact after which a process counts as unreachable. The process that waits for a
# job and the one that schedules it both use it: the first answers its caller at about the time
# at which the second stops the job, so no run is left when the caller sends the job again.
PEER_TIMEOUT_S = 0.9
PEER_CHECK_PERIOD_S = 0.1
# The answer of the scheduling process may arrive this long after the deadline of the job.
REPLY_MARGIN_S = 0.3
# A job that could not be sent to its scheduling process may be sent again after this time, by which
# another process has taken over its backend servers.
NOT_SENT_RETRY_AFTER_S = 1.0

_log = logbook.Logger("jobs")


class RemoteSubmission:
    """Passes jobs on to other entry processes; records them in `attempts` while they are open."""

    def __init__(
        self,
        *,
        members: EntryMembers,
        attempts: Attempts,
        transport: DynamicTransport,
        timers: TimerService,
        counters: Counters,
    ) -> None:
        self._members = members
        self._attempts = attempts
        self._transport = transport
        self._timers = timers
        self._counters = counters

    async def submit(self, target: str, request: PoolJob) -> PoolAnswer:
        """Pass a job on to `target` and return its answer.

        Returns `REPLY_MARGIN_S` after the deadline at the latest. If `target` is unreachable, the
        answer has code `COORDINATOR_UNREACHABLE`, or `NO_BACKEND` if the job was not sent.
        """
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
            self.cancel(passed_on)
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

    def cancel(self, job: PassedOnJob) -> None:
        """Cancel a job at the process that it was passed on to."""
        # Reliable, as nothing else ends the job while its target hears from this process.
        request = job.request
        message = PoolCancel(request.job_id, request.attempt)
        self._transport.send(job.target, message, reliable=True)
