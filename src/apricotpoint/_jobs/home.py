"""Claims of caller keys at the key registry of their home domain."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio

from apricotpoint._core.codes import ResultCode
from apricotpoint._core.counters import Counters
from apricotpoint._core.errors import ApricotError
from apricotpoint._core.keys import CLOCK_SKEW_ALLOWANCE_S
from apricotpoint._core.timers import TimerService
from apricotpoint._jobs.table import KeyRecord
from apricotpoint._link.transport import PeerUnreachable
from apricotpoint._wire.jobs import Claim, ClaimReply


class HomeRegistryClient:
    """Claims caller keys at the key registries for one incarnation of an entry process."""

    def __init__(
        self,
        *,
        entry_id: str,
        incarnation: int,
        claim: Callable[[Claim], Awaitable[ClaimReply]],
        timers: TimerService,
        counters: Counters,
    ) -> None:
        self._entry_id = entry_id
        self._incarnation = incarnation
        self._claim = claim
        self._timers = timers
        self._counters = counters

    async def request_claim(
        self, record: KeyRecord, deadline_at: float, *, check_only: bool
    ) -> ClaimReply | None:
        """Claim a key and return the reply; None if there is none by the deadline.

        With `check_only` the registry is only asked for an existing claim.
        """
        message = Claim(
            team=record.team,
            key=record.key,
            valid_until=int(record.expires_at - CLOCK_SKEW_ALLOWANCE_S),
            fingerprint=record.fingerprint,
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

    def other_coordinator(self, record: KeyRecord, reply: ClaimReply) -> tuple[str, int] | None:
        """Return the entry id and incarnation of the other coordinator that a reply names.

        None means that no other coordinator has the key. Raises `ApricotError`
        if the registry refused the claim, or if the key belongs to an earlier
        incarnation of this process, so that its job must not be started.
        """
        if reply.code != ResultCode.ACCEPTED:
            raise ApricotError(
                ResultCode(reply.code),
                f"the key registry of the home domain refused the claim of key {record.key!r}",
            )
        if not reply.existing or (reply.entry_id, reply.incarnation) == (
            self._entry_id,
            self._incarnation,
        ):
            return None
        if reply.entry_id == self._entry_id:
            raise ApricotError(
                ResultCode.COORDINATOR_UNREACHABLE,
                f"key {record.key!r} belongs to incarnation {reply.incarnation:x} of "
                f"{self._entry_id}, which has ended",
            )
        return reply.entry_id, reply.incarnation
