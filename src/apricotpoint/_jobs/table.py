"""The job table: one record for each key until the key expires."""

from __future__ import annotations

import heapq
import itertools
from collections import OrderedDict
from collections.abc import Callable

import attrs

from apricotpoint._jobs.job import Job
from apricotpoint._wire.jobs import Answer

# A finished job of one task takes 1.1 kB with its answer (tracemalloc), so a
# full table takes about 220 MB and the bytes of the retained answers.
MAX_RECORDS = 200_000
MAX_ANSWERS = 20_000
MAX_ANSWER_BYTES = 16_000_000


@attrs.define(eq=False)
class KeyRecord:
    """What the coordinator knows of one key.

    `expires_at` is wall time in seconds. `job` is set while outcomes may still
    arrive. `answer` is the retained answer; `code` stays when it is dropped.
    `claimed` means that the home has recorded this incarnation.
    `restartable` means that no task of the key has started or can start.
    """

    team: str
    key: str
    fingerprint: str
    expires_at: float
    job: Job | None = None
    answer: Answer | None = None
    code: int = 0
    claimed: bool = False
    restartable: bool = False
    size: int = 0


class JobTable:
    """Records by (team, key), with bounds on records and on retained answers.

    `dropped`, if set, is called with each record whose answer is dropped to
    stay within the bounds. Records themselves are only removed at expiry, because a
    removed record would allow a second start of its key.
    """

    def __init__(
        self,
        *,
        dropped: Callable[[KeyRecord], None] | None = None,
        max_records: int = MAX_RECORDS,
        max_answers: int = MAX_ANSWERS,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
    ) -> None:
        self._record_by_key: dict[tuple[str, str], KeyRecord] = {}
        self._retained: OrderedDict[tuple[str, str], KeyRecord] = OrderedDict()
        self._retained_bytes = 0
        self._keys_by_expiry: dict[int, list[tuple[str, str]]] = {}
        self._expiries: list[int] = []
        self.dropped = dropped
        self._max_records = max_records
        self._max_answers = max_answers
        self._max_answer_bytes = max_answer_bytes

    def __len__(self) -> int:
        return len(self._record_by_key)

    @property
    def retained_bytes(self) -> int:
        """Bytes of the retained answers."""
        return self._retained_bytes

    @property
    def full(self) -> bool:
        """Whether no further record can be added."""
        return len(self._record_by_key) >= self._max_records

    def next_expiry(self) -> int | None:
        """Return the wall time at which the next records expire."""
        return self._expiries[0] if self._expiries else None

    def get(self, team: str, key: str) -> KeyRecord | None:
        """Return the record of a key."""
        return self._record_by_key.get((team, key))

    def add(self, record: KeyRecord) -> bool:
        """Add a record; False if the table is full."""
        if self.full:
            return False
        name = (record.team, record.key)
        self._record_by_key[name] = record
        self._schedule(name, record.expires_at)
        return True

    def remove(self, record: KeyRecord) -> None:
        """Remove the record of a key that belongs to another coordinator."""
        self._forget_answer(record)
        self._record_by_key.pop((record.team, record.key), None)

    def retain_answer(self, record: KeyRecord, size: int) -> None:
        """Count an answer of `size` bytes as the latest and drop the oldest beyond the bounds."""
        name = (record.team, record.key)
        if self._record_by_key.get(name) is not record:
            return
        self._forget_answer(record)
        record.size = size
        self._retained[name] = record
        self._retained_bytes += size
        while (
            len(self._retained) > self._max_answers or self._retained_bytes > self._max_answer_bytes
        ):
            _, oldest = self._retained.popitem(last=False)
            self._retained_bytes -= oldest.size
            oldest.size = 0
            oldest.answer = None
            if self.dropped is not None:
                self.dropped(oldest)

    def discard_answer(self, record: KeyRecord) -> None:
        """Stop counting the answer of a record that is started again."""
        self._forget_answer(record)
        record.answer = None

    def latest(self, count: int) -> list[KeyRecord]:
        """Return up to `count` records with the latest answers, newest first."""
        return list(itertools.islice(reversed(self._retained.values()), count))

    def expire(self, wall: float) -> list[KeyRecord]:
        """Remove and return the records whose keys expired before `wall`.

        A record whose job still awaits outcomes is returned as well.
        """
        expired: list[KeyRecord] = []
        while self._expiries and self._expiries[0] <= wall:
            for name in self._keys_by_expiry.pop(heapq.heappop(self._expiries)):
                record = self._record_by_key.get(name)
                if record is None or record.expires_at > wall:
                    continue
                self._forget_answer(record)
                del self._record_by_key[name]
                expired.append(record)
        return expired

    def _schedule(self, name: tuple[str, str], expires_at: float) -> None:
        second = int(expires_at) + 1
        names = self._keys_by_expiry.get(second)
        if names is None:
            self._keys_by_expiry[second] = names = []
            heapq.heappush(self._expiries, second)
        names.append(name)

    def _forget_answer(self, record: KeyRecord) -> None:
        if self._retained.pop((record.team, record.key), None) is not None:
            self._retained_bytes -= record.size
            record.size = 0
