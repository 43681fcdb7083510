"""Lookups and cancellations of jobs by their key."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from apricotpoint._core.codes import ResultCode
from apricotpoint._core.counters import Counters
from apricotpoint._core.errors import ApricotError
from apricotpoint._core.keys import CLOCK_ALLOWANCE_S, IssuedKey, parse_key
from apricotpoint._jobs.answers import AnswerBuilder
from apricotpoint._jobs.remote import RemoteCoordinators
from apricotpoint._jobs.runner import JobRunner
from apricotpoint._jobs.table import JobTable, KeyRecord
from apricotpoint._link.transport import Sender
from apricotpoint._wire.jobs import Answer, AnswerForward, CancelForward, JobLookup

ISSUED_KEY_VALIDITY_S = 600

_CANCEL_WAIT_S = 5.0
_PEER_TIMEOUT_S = 1.0


class LookupsAndCancels:
    """Answers lookups and cancellations, here or at the coordinator of the key."""

    def __init__(
        self,
        *,
        entry_id: str,
        incarnation: int,
        table: JobTable,
        runner: JobRunner,
        remote: RemoteCoordinators,
        answers: AnswerBuilder,
        counters: Counters,
        wall: Callable[[], float],
    ) -> None:
        self._entry_id = entry_id
        self._incarnation = incarnation
        self._table = table
        self._runner = runner
        self._remote = remote
        self._answers = answers
        self._counters = counters
        self._wall = wall

    async def lookup(self, team: str, key: str, wait_s: float) -> AnswerForward:
        """Return the answer of a key, waiting up to `wait_s` seconds for it."""
        self._counters.add("lookups.received")
        try:
            parsed = parse_key(key)
        except ApricotError as error:
            return AnswerForward(answer=self._answers.refusal(key, error), found=False)
        return await self._ask_coordinator(
            parsed,
            team,
            key,
            local=lambda: self._lookup_here(team, key, wait_s),
            message=JobLookup(team=team, key=key, wait_s=wait_s),
            timeout_s=wait_s + _PEER_TIMEOUT_S,
        )

    async def cancel(self, team: str, key: str) -> Answer:
        """Cancel the job of a key and return its one outcome."""
        self._counters.add("cancels.received")
        try:
            parsed = parse_key(key)
        except ApricotError as error:
            return self._answers.refusal(key, error)
        reply = await self._ask_coordinator(
            parsed,
            team,
            key,
            local=lambda: self._cancel_here(team, key),
            message=CancelForward(team=team, key=key),
            timeout_s=_CANCEL_WAIT_S + _PEER_TIMEOUT_S,
        )
        if reply.answer is not None:
            return reply.answer
        return self._answers.make(
            key, ResultCode.COORDINATOR_UNREACHABLE, "the job is not known here"
        )

    async def handle_lookup(self, sender: Sender, message: object) -> AnswerForward:
        """Answer a lookup that another entry process passed on."""
        assert isinstance(message, JobLookup)
        return await self._lookup_here(message.team, message.key, message.wait_s)

    async def handle_cancel(self, sender: Sender, message: object) -> AnswerForward:
        """Answer a cancellation that another entry process passed on."""
        assert isinstance(message, CancelForward)
        return await self._cancel_here(message.team, message.key)

    async def _cancel_here(self, team: str, key: str) -> AnswerForward:
        record = self._table.get(team, key)
        if record is None:
            return self._cancel_unused(team, key)
        job = record.job
        if job is None:
            if record.restartable and record.claimed:
                record.restartable = False
                record.code = ResultCode.CANCELLED_BEFORE_START
                record.answer = self._answers.make(key, ResultCode.CANCELLED_BEFORE_START)
            return AnswerForward(answer=self._answers.retained_answer(record))
        self._runner.cancel(record, job)
        await job.wait_closed(_CANCEL_WAIT_S)
        if job.forward_to is not None:
            return await self._remote.ask(
                job.forward_to, CancelForward(team=team, key=key), key, timeout_s=_CANCEL_WAIT_S
            )
        return AnswerForward(answer=self._answers.current_answer(record, job))

    def _cancel_unused(self, team: str, key: str) -> AnswerForward:
        """Cancel a key of this incarnation that was not used, so that it cannot start later."""
        parsed = parse_key(key)
        if (
            not isinstance(parsed, IssuedKey)
            or (parsed.entry_id, parsed.incarnation) != (self._entry_id, self._incarnation)
            or not 0 <= parsed.expires_at - self._wall() <= ISSUED_KEY_VALIDITY_S
        ):
            return AnswerForward(answer=None, found=False)
        record = KeyRecord(
            team=team,
            key=key,
            fingerprint="",
            expires_at=parsed.expires_at + CLOCK_ALLOWANCE_S,
            code=ResultCode.CANCELLED_BEFORE_START,
            claimed=True,
        )
        if not self._table.add(record):
            return AnswerForward(answer=None, found=False)
        self._counters.add("jobs.cancelled_unused")
        return AnswerForward(answer=self._answers.retained_answer(record))

    async def _lookup_here(self, team: str, key: str, wait_s: float) -> AnswerForward:
        record = self._table.get(team, key)
        if record is None:
            return AnswerForward(answer=None, found=False)
        job = record.job
        if job is None:
            return AnswerForward(answer=self._answers.retained_answer(record))
        await job.wait_closed(wait_s)
        if job.forward_to is not None:
            return await self._remote.ask(
                job.forward_to,
                JobLookup(team=team, key=key, wait_s=0),
                key,
                timeout_s=_PEER_TIMEOUT_S,
            )
        if job.answer is None and not job.deadline_passed:
            return AnswerForward(answer=None)
        return AnswerForward(answer=self._answers.current_answer(record, job))

    async def _ask_coordinator(
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
            coordinator = (parsed.entry_id, parsed.incarnation)
            if coordinator == (self._entry_id, self._incarnation):
                return await local()
            return await self._remote.ask(coordinator, message, key, timeout_s=timeout_s)
        return await self._remote.ask_all(message, key, timeout_s=timeout_s)
