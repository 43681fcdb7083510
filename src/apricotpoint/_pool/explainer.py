"""Explains to operators where a job would go from this process, and answers other processes."""

from __future__ import annotations

import attrs

from apricotpoint._core.errors import ApricotError
from apricotpoint._core.timers import TimerService
from apricotpoint._link.transport import PeerUnreachable, Sender
from apricotpoint._pool.explanations import ExplanationLimit, explain
from apricotpoint._pool.holders.members import EntryMembers
from apricotpoint._pool.scheduler import Scheduler
from apricotpoint._pool.service import PoolService
from apricotpoint._pool.transport import DynamicTransport
from apricotpoint._wire.explain import ExplainJob, HolderExplanation, HolderRow, JobExplanation
from apricotpoint._wire.pool import PoolAnswer, PoolJob

# An operator waits for the answer; a holder that needs longer is overloaded or not reachable.
ANSWER_TIMEOUT_S = 1.0
MAX_HOLDERS = 64


class Explainer:
    """Answers `ExplainJob`; use as an async context manager.

    It asks the functions by which jobs are routed, admitted and started, and changes nothing.
    """

    def __init__(
        self,
        *,
        service: PoolService,
        members: EntryMembers,
        scheduler: Scheduler,
        transport: DynamicTransport,
        timers: TimerService,
    ) -> None:
        self._service = service
        self._members = members
        self._scheduler = scheduler
        self._transport = transport
        self._timers = timers
        self._routing_limit, self._holder_limit = ExplanationLimit(), ExplanationLimit()

    async def __aenter__(self) -> Explainer:
        self._transport.request_handlers_by_type[ExplainJob] = self._on_request
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self._transport.request_handlers_by_type.pop(ExplainJob, None)

    async def explain(self, request: PoolJob) -> JobExplanation:
        """Return where a job would go now, and what its holder would do with it.

        Raises `ApricotError` with code 2104 under overload, or soon after another explanation.
        """
        self._routing_limit.check(len(self._scheduler.unanswered_jobs()), self._timers.now())
        own_id = self._members.entry_id
        choice = self._service.holder_choice(set(), request)
        share_by_holder = choice.share_by_holder()
        live = self._members.live_entries()
        holders = [
            HolderRow(
                entry_id=entry_id,
                failure_domain=status.failure_domain,
                share=share_by_holder.get(entry_id, 0.0),
                free=status.load.free,
                capacity=status.load.capacity,
                backlog_s=status.load.backlog_s,
                age_s=0.0 if entry_id == own_id else self._members.seconds_since_contact(entry_id),
            )
            for entry_id, status in live.items()
            if status.held and not status.draining
        ]
        # Holders of other failure domains of which only the existence is known.
        holders += [
            HolderRow(entry_id, "", share, 0, 0, 0.0, None)
            for entry_id, share in share_by_holder.items()
            if entry_id not in live
        ]
        holders.sort(key=lambda row: (-row.share, row.entry_id))
        target = max(choice.ids, key=lambda key: share_by_holder[key], default="")
        explanation = JobExplanation(own_id, target, holders[:MAX_HOLDERS], None)
        if not target:
            return attrs.evolve(explanation, reason="no entry process holds backend servers")
        try:
            answer = await self._ask(target, request)
        except PeerUnreachable as error:
            return attrs.evolve(explanation, reason=f"{target} has not answered: {error}")
        if isinstance(answer, PoolAnswer):
            return attrs.evolve(explanation, reason=answer.reason)
        assert isinstance(answer, HolderExplanation)
        return attrs.evolve(explanation, holder=answer)

    async def _ask(self, target: str, request: PoolJob) -> object:
        if target == self._members.entry_id:
            return self._explain_here(request)
        self._members.open_link(target)
        return await self._transport.request(
            target, ExplainJob(request), timeout_s=ANSWER_TIMEOUT_S
        )

    async def _on_request(self, sender: Sender, message: object) -> object:
        assert isinstance(message, ExplainJob)
        elapsed_s = message.job.elapsed_s + sender.age_s
        return self._explain_here(attrs.evolve(message.job, elapsed_s=elapsed_s))

    def _explain_here(self, request: PoolJob) -> HolderExplanation | PoolAnswer:
        now = self._timers.now()
        try:
            self._holder_limit.check(len(self._scheduler.unanswered_jobs()), now)
        except ApricotError as error:
            return PoolAnswer(int(error.code), str(error))
        refusal, forward_to = self._service.preview(request)
        return explain(self._scheduler, request, now, refusal=refusal, forward_to=forward_to)
