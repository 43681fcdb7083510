"""Forwarding of requests to the coordinators in other entry processes."""

from __future__ import annotations

import anyio
import attrs

from apricotpoint._core.codes import ResultCode
from apricotpoint._core.counters import Counters
from apricotpoint._core.timers import TimerService
from apricotpoint._jobs.answers import AnswerBuilder
from apricotpoint._jobs.protocols import ClusterView
from apricotpoint._jobs.views import MAX_REPORT_AGE_S
from apricotpoint._link.transport import PeerUnreachable, Transport
from apricotpoint._wire.jobs import Answer, AnswerForward, JobRequest, SubmitForward

# Time before the deadline that is left for the reply to a forwarded request.
_FORWARD_MARGIN_S = 0.02


class RemoteCoordinators:
    """Forwards requests to other coordinators, named by entry id and incarnation.

    If no reply arrives, the answer has code 3101, because the other coordinator
    may have handled the request.
    """

    def __init__(
        self,
        *,
        entry_id: str,
        transport: Transport,
        cluster: ClusterView,
        timers: TimerService,
        counters: Counters,
        answers: AnswerBuilder,
    ) -> None:
        self._entry_id = entry_id
        self._transport = transport
        self._cluster = cluster
        self._timers = timers
        self._counters = counters
        self._answers = answers

    async def forward(
        self,
        request: JobRequest,
        coordinator: tuple[str, int],
        deadline_at: float,
        *,
        attach_only: bool,
    ) -> Answer:
        """Forward a submission to the coordinator of its key and return the answer."""
        entry_id, incarnation = coordinator
        remaining_s = deadline_at - self._timers.now()
        if not self._may_be_running(coordinator):
            self._counters.add("forwards.lost_incarnation")
            return self._unreachable(
                request.key,
                f"incarnation {incarnation:x} of {entry_id}, the coordinator of the key, has ended",
            )
        forwarded_s = max(remaining_s - _FORWARD_MARGIN_S, remaining_s / 2)
        message = SubmitForward(
            request=attrs.evolve(request, deadline_ms=max(int(forwarded_s * 1000), 1)),
            attach_only=attach_only,
        )
        self._counters.add("forwards.sent")
        try:
            with anyio.fail_after(remaining_s):
                reply = await self._transport.request(entry_id, message, timeout_s=remaining_s)
        except (PeerUnreachable, TimeoutError):
            reply = None
        if isinstance(reply, AnswerForward) and reply.answer is not None:
            return reply.answer
        self._counters.add("forwards.unreachable")
        return self._unreachable(request.key, f"coordinator {entry_id} is unreachable")

    async def ask(
        self, coordinator: tuple[str, int], message: object, key: str, *, timeout_s: float
    ) -> AnswerForward:
        """Forward a lookup or cancellation to the coordinator of its key."""
        entry_id, _ = coordinator
        if self._may_be_running(coordinator):
            try:
                reply = await self._transport.request(entry_id, message, timeout_s=timeout_s)
            except PeerUnreachable:
                reply = None
            if isinstance(reply, AnswerForward):
                return reply
        answer = self._unreachable(key, f"coordinator {entry_id} is unreachable")
        return AnswerForward(answer=answer, found=False)

    async def ask_all(self, message: object, key: str, *, timeout_s: float) -> AnswerForward:
        """Forward a lookup or cancellation of a caller key to all live entry processes.

        Returns the first reply that knows the key; `found` is false if none does.
        """
        found: list[AnswerForward] = []
        async with anyio.create_task_group() as group:

            async def ask(coordinator: tuple[str, int]) -> None:
                reply = await self.ask(coordinator, message, key, timeout_s=timeout_s)
                if reply.found:
                    found.append(reply)
                    group.cancel_scope.cancel()

            for item in self._cluster.live_entries(MAX_REPORT_AGE_S):
                if item.entry_id != self._entry_id:
                    group.start_soon(ask, (item.entry_id, item.incarnation))
        return found[0] if found else AnswerForward(answer=None, found=False)

    def _may_be_running(self, coordinator: tuple[str, int]) -> bool:
        """Return False if the incarnation is known to have ended.

        It has if it is one of this process, since keys of the present one are not
        forwarded, or if a message from another incarnation of its process arrived.
        """
        entry_id, incarnation = coordinator
        latest = self._transport.incarnation_of(entry_id)
        return entry_id != self._entry_id and latest in (None, incarnation)

    def _unreachable(self, key: str, message: str) -> Answer:
        return self._answers.make(key, ResultCode.COORDINATOR_UNREACHABLE, message)
