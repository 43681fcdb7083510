"""Lookups and cancellations of jobs by their key."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from apricotpoint._core.codes import ResultCode
from apricotpoint._core.counters import Counters
from apricotpoint._core.errors import ApricotError
from apricotpoint._core.keys import CLOCK_SKEW_ALLOWANCE_S, IssuedKey, parse_key
from apricotpoint._jobs.answers import AnswerBuilder
from apricotpoint._jobs.remote import RemoteCoordinators
from apricotpoint._jobs.runner import JobRunner
from apricotpoint._jobs.table import JobTable, KeyRecord
from apricotpoint._link.transport import Sender
from apricotpoint._wire.jobs import Answer, AnswerForward, CancelForward, JobLookup

ISSUED_KEY_VALIDITY_S = 600

_CANCEL_TIMEOUT_S = 5.0
_PEER_TIMEOUT_S = 1.0


class LookupsAndCancels:
    """Answers lookups and cancellations, or forwards them to the coordinator of the key."""

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
        wall_time: Callable[[], float],
    ) -> None:
        self._entry_id = entry_id
        self._incarnation = incarnation
        self._table = table
        self._runner = runner
        self._remote = remote
        self._answers = answers
        self._counters = counters
        self._wall_time = wall_time

    async def lookup(self, team: str, key: str, wait_s: float) -> AnswerForward:
        """Return the answer of a key, waiting up to `wait_s` seconds for its job to end.

        In the reply `answer` is None if the job is still running or the key is not
        known; `found` is false if the key is not known.
        """
        self._counters.add("lookups.received")
        try:
            parsed_key = parse_key(key)
        except ApricotError as error:
            return AnswerForward(answer=self._answers.refusal(key, error), found=False)
        return await self._ask_coordinator(
            parsed_key,
            team,
            key,
            answer_locally=lambda: self._lookup_locally(team, key, wait_s),
            message=JobLookup(team=team, key=key, wait_s=wait_s),
            timeout_s=wait_s + _PEER_TIMEOUT_S,
        )

    async def cancel(self, team: str, key: str) -> Answer:
        """Cancel the job of a key and return its final answer."""
        self._counters.add("cancels.received")
        try:
            parsed_key = parse_key(key)
        except ApricotError as error:
            return self._answers.refusal(key, error)
        reply = await self._ask_coordinator(
            parsed_key,
            team,
            key,
            answer_locally=lambda: self._cancel_locally(team, key),
            message=CancelForward(team=team, key=key),
            timeout_s=_CANCEL_TIMEOUT_S + _PEER_TIMEOUT_S,
        )
        if reply.answer is not None:
            return reply.answer
        return self._answers.make(
            key, ResultCode.COORDINATOR_UNREACHABLE, "no job is known under the key"
        )

    async def handle_lookup(self, sender: Sender, message: object) -> AnswerForward:
        """Answer a lookup that another entry process has forwarded."""
        assert isinstance(message, JobLookup)
        return await self._lookup_locally(message.team, message.key, message.wait_s)

    async def handle_cancel(self, sender: Sender, message: object) -> AnswerForward:
        """Answer a cancellation that another entry process has forwarded."""
        assert isinstance(message, CancelForward)
        return await self._cancel_locally(message.team, message.key)

    async def _cancel_locally(self, team: str, key: str) -> AnswerForward:
        record = self._table.get(team, key)
        if record is None:
            return self._cancel_unused_key(team, key)
        job = record.job
        if job is None:
            if record.restartable and record.claimed:
                record.restartable = False
                record.code = ResultCode.CANCELLED_BEFORE_START
                record.answer = self._answers.make(key, ResultCode.CANCELLED_BEFORE_START)
            return AnswerForward(answer=self._answers.retained_answer(record))
        self._runner.cancel(record, job)
        await job.wait_closed(_CANCEL_TIMEOUT_S)
        if job.forward_to is not None:
            return await self._remote.ask(
                job.forward_to, CancelForward(team=team, key=key), key, timeout_s=_CANCEL_TIMEOUT_S
            )
        return AnswerForward(answer=self._answers.current_answer(record, job))

    def _cancel_unused_key(self, team: str, key: str) -> AnswerForward:
        """Cancel an unused key that this incarnation issued, so that no job can start under it."""
        parsed_key = parse_key(key)
        if (
            not isinstance(parsed_key, IssuedKey)
            or (parsed_key.entry_id, parsed_key.incarnation) != (self._entry_id, self._incarnation)
            or not 0 <= parsed_key.expires_at - self._wall_time() <= ISSUED_KEY_VALIDITY_S
        ):
            return AnswerForward(answer=None, found=False)
        record = KeyRecord(
            team=team,
            key=key,
            fingerprint="",
            expires_at=parsed_key.expires_at + CLOCK_SKEW_ALLOWANCE_S,
            code=ResultCode.CANCELLED_BEFORE_START,
            claimed=True,
        )
        if not self._table.add(record):
            return AnswerForward(answer=None, found=False)
        self._counters.add("jobs.cancelled_unused")
        return AnswerForward(answer=self._answers.retained_answer(record))

    async def _lookup_locally(self, team: str, key: str, wait_s: float) -> AnswerForward:
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
        parsed_key: IssuedKey | str,
        team: str,
        key: str,
        *,
        answer_locally: Callable[[], Awaitable[AnswerForward]],
        message: object,
        timeout_s: float,
    ) -> AnswerForward:
        """Answer here, or ask the coordinator that the key names.

        A caller key names none, so all live entry processes are asked for it.
        """
        if self._table.get(team, key) is not None:
            return await answer_locally()
        if isinstance(parsed_key, IssuedKey):
            coordinator = (parsed_key.entry_id, parsed_key.incarnation)
            if coordinator == (self._entry_id, self._incarnation):
                return await answer_locally()
            return await self._remote.ask(coordinator, message, key, timeout_s=timeout_s)
        return await self._remote.ask_all(message, key, timeout_s=timeout_s)
