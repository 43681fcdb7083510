"""The key registry of a failure domain: which coordinator has claimed which caller key."""

from __future__ import annotations

from collections import defaultdict
from typing import Any

import msgspec

from apricotpoint._control.records import RecordFile
from apricotpoint._control.storage import DiskFullError, Storage
from apricotpoint._core.codes import ResultCode
from apricotpoint._core.counters import Counters
from apricotpoint._core.keys import CLOCK_SKEW_ALLOWANCE_S, MAX_VALIDITY_S
from apricotpoint._core.timers import TimerService
from apricotpoint._wire.jobs import Claim, ClaimReply

FILE_NAME = "claims"
# A claim takes about 0.5 KB, so the registry stays under 512 MB of memory.
MAX_CLAIMS = 1_000_000
_MIN_COMPACTION_BYTES = 1 << 20

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Claim | float] = msgspec.msgpack.Decoder(Claim | float)


class KeyRegistry:
    """Claims of caller keys, synced to disk before they are granted.

    A claim that finds no free space on the disk is refused and forgotten.

    `disk_replaced_at` is the time in unix seconds at which a lost disk was
    replaced, None for the first disk. Each payload in the file is a claim or
    the highest registry time so far. That time is written before each group
    of claims and at each compaction, so that a deleted claim stays expired
    after a restart with a clock that was set back.
    """

    def __init__(
        self,
        storage: Storage,
        *,
        timers: TimerService,
        counters: Counters,
        disk_replaced_at: float | None,
        max_claims: int = MAX_CLAIMS,
    ) -> None:
        self._storage = storage
        self._file = RecordFile(storage, FILE_NAME, on_dropped=self._forget)
        self._timers = timers
        self._counters = counters
        self._disk_replaced_at = disk_replaced_at
        self._max_claims = max_claims
        self._highest_time = 0.0
        self._persisted_time = 0.0
        # Encoded claims take a third of the memory of `Claim` objects.
        self._encoded_claim_by_key: dict[str, bytes] = {}
        self._keys_by_expiry: defaultdict[int, list[str]] = defaultdict(list)
        self._sequence_by_key: dict[str, int] = {}
        self._expired_until = 0

    async def open(self) -> None:
        """Read the claims from disk; must be called before any other method.

        Raises `ApricotError` 5101 or 5102 for a damaged file.
        """
        for payload in await self._file.open():
            item = _DECODER.decode(payload)
            if isinstance(item, Claim):
                self._index_claim(item, payload)
            else:
                self._highest_time = max(self._highest_time, item)
        self._persisted_time = self._highest_time
        self._delete_expired()

    def close(self) -> None:
        """Close the file; claims that are not synced are lost."""
        self._file.close()

    def now(self) -> float:
        """Return the registry time in unix seconds: the wall time, but never decreasing."""
        self._highest_time = max(self._highest_time, self._timers.wall_time())
        return self._highest_time

    @property
    def claims(self) -> int:
        """The number of claims that are not deleted, synced or not."""
        return len(self._encoded_claim_by_key)

    @property
    def file_bytes(self) -> int:
        """The size of the claims file in bytes, as of the last sync."""
        return self._file.size

    async def claim(self, claim: Claim) -> ClaimReply:
        """Record a claim, or return the one recorded before.

        The code is 2101 if `valid_until` is too far in the future and 2104 if
        the registry or the disk is full; nothing is recorded in any case. With
        `check_only` nothing is recorded, and `existing` says whether the key
        is recorded already.
        """
        now = self.now()
        encoded = self._encoded_claim_by_key.get(_registry_key(claim))
        if claim.valid_until < now:
            return ClaimReply(code=ResultCode.KEY_EXPIRED)
        if encoded is not None:
            return await self._reply_with_recorded(_registry_key(claim), encoded, claim)
        refusal = self._refusal(claim, now)
        if refusal is not None or claim.check_only:
            return ClaimReply(code=refusal or ResultCode.ACCEPTED)
        return await self._record(claim, now)

    def _refusal(self, claim: Claim, now: float) -> ResultCode | None:
        """Return the result code if the claim must be refused, None if it can be recorded."""
        if claim.valid_until > now + MAX_VALIDITY_S + CLOCK_SKEW_ALLOWANCE_S:
            return ResultCode.MALFORMED
        if self._may_have_been_lost(claim):
            self._counters.add("claims.may_be_lost")
            return ResultCode.CLAIM_MAY_BE_LOST
        if claim.check_only:
            return None
        self._delete_expired()
        if self.claims >= self._max_claims:
            self._counters.add("claims.refused_full")
            return ResultCode.OVERLOADED
        if self._storage.full is not None:
            self._counters.add("claims.refused_disk_full")
            return ResultCode.OVERLOADED
        return None

    async def _record(self, claim: Claim, now: float) -> ClaimReply:
        started_at = self._timers.now()
        key = _registry_key(claim)
        if now > self._persisted_time:
            self._file.append(_ENCODER.encode(float(now)))
            self._persisted_time = now
        encoded = _ENCODER.encode(claim)
        sequence = self._file.append(encoded)
        self._index_claim(claim, encoded)
        self._sequence_by_key[key] = sequence
        try:
            await self._file.sync(sequence)
        except DiskFullError:
            self._counters.add("claims.refused_disk_full")
            return ClaimReply(code=ResultCode.OVERLOADED)
        self._sequence_by_key.pop(key, None)
        self._counters.add("claims.granted")
        self._counters.record("claims.latency", self._timers.now() - started_at)
        return ClaimReply(
            code=ResultCode.ACCEPTED, entry_id=claim.entry_id, incarnation=claim.incarnation
        )

    async def compact(self) -> bool:
        """Delete expired claims; rewrite the file if half of it or more is expired.

        More exactly, the file is rewritten if it is at least 1 MiB larger than
        twice the live claims. Returns whether it was rewritten. Raises `DiskFullError`
        if there is no free space for the new file; the present one remains.
        """
        self.now()
        self._delete_expired()
        live_bytes = sum(map(len, self._encoded_claim_by_key.values()))
        if self._file.size < _MIN_COMPACTION_BYTES + 2 * live_bytes:
            return False
        try:
            await self._file.rewrite(self._compacted_payloads)
        except DiskFullError:
            # The time in the payloads was not stored; the next claim writes it again.
            self._persisted_time = 0.0
            raise
        return True

    async def _reply_with_recorded(self, key: str, encoded: bytes, claim: Claim) -> ClaimReply:
        recorded: Any = _DECODER.decode(encoded)
        # The recorded claim must not be reported before it is synced.
        try:
            await self._file.sync(self._sequence_by_key.get(key, 0))
        except DiskFullError:
            self._counters.add("claims.refused_disk_full")
            return ClaimReply(code=ResultCode.OVERLOADED)
        same = recorded.fingerprint == claim.fingerprint
        self._counters.add("claims.existing")
        return ClaimReply(
            code=ResultCode.ACCEPTED if same else ResultCode.KEY_CONFLICT,
            entry_id=recorded.entry_id,
            incarnation=recorded.incarnation,
            existing=True,
        )

    def _compacted_payloads(self) -> list[bytes]:
        self._persisted_time = self.now()
        return [_ENCODER.encode(float(self._persisted_time)), *self._encoded_claim_by_key.values()]

    def _may_have_been_lost(self, claim: Claim) -> bool:
        if self._disk_replaced_at is None:
            return False
        return claim.valid_until <= self._disk_replaced_at + MAX_VALIDITY_S + CLOCK_SKEW_ALLOWANCE_S

    def _index_claim(self, claim: Claim, encoded: bytes) -> None:
        key = _registry_key(claim)
        self._encoded_claim_by_key[key] = encoded
        self._keys_by_expiry[claim.valid_until].append(key)

    def _forget(self, payloads: list[bytes]) -> None:
        """Remove claims that were not stored."""
        for payload in payloads:
            item = _DECODER.decode(payload)
            if not isinstance(item, Claim):
                # The next claim writes the registry time again.
                self._persisted_time = 0.0
                continue
            key = _registry_key(item)
            self._sequence_by_key.pop(key, None)
            if self._encoded_claim_by_key.pop(key, None) is not None:
                self._keys_by_expiry[item.valid_until].remove(key)

    def _delete_expired(self) -> None:
        # A claim is deleted CLOCK_SKEW_ALLOWANCE_S after its last valid second.
        limit = int(self._highest_time) - CLOCK_SKEW_ALLOWANCE_S
        if limit <= self._expired_until:
            return
        self._expired_until = limit
        for valid_until in [item for item in self._keys_by_expiry if item < limit]:
            for key in self._keys_by_expiry.pop(valid_until):
                self._encoded_claim_by_key.pop(key, None)
                self._sequence_by_key.pop(key, None)


def _registry_key(claim: Claim) -> str:
    return f"{claim.team}\0{claim.key}"
