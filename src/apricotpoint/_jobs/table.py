"""The job table, which keeps one record for each key until the key expires."""

from __future__ import annotations

import heapq
import itertools
from collections import OrderedDict
from collections.abc import Callable

import attrs

from apricotpoint._jobs.job import Job
from apricotpoint._wire.jobs import Answer

# The record of a finished job of one task takes 1.1 kB with its answer (by
# tracemalloc), so a full table takes about 220 MB in addition to the contents of
# the retained answers.
MAX_RECORDS = 200_000
MAX_ANSWERS = 20_000
MAX_ANSWER_BYTES = 16_000_000


@attrs.define(eq=False)
class KeyRecord:
    """The state of one key at its coordinator.

    `fingerprint` identifies the request; it is empty if the key was cancelled
    before its use. `expires_at` is wall time in seconds. `job` is set while
    outcomes may still arrive. `answer` is the retained answer, and `code` its
    result code, which is kept when the answer is dropped. `claimed` means that the key
    belongs to this incarnation: it was issued here, or the key registry of its home
    domain has granted the claim. `restartable` means that no task of the job has
    started or can start, so a resubmission may start the job again. `answer_bytes` is
    the size counted for the answer.
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
    answer_bytes: int = 0


class JobTable:
    """Records by (team, key), with limits on their number and on the retained answers.

    `on_answer_dropped`, if set, is called with each record whose answer is
    dropped to stay within the limits. The record itself is kept until the key
    expires, because without it the job of the key could be started again.
    """

    def __init__(
        self,
        *,
        on_answer_dropped: Callable[[KeyRecord], None] | None = None,
        max_records: int = MAX_RECORDS,
        max_answers: int = MAX_ANSWERS,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
    ) -> None:
        self._record_by_key: dict[tuple[str, str], KeyRecord] = {}
        self._retained: OrderedDict[tuple[str, str], KeyRecord] = OrderedDict()
        self._retained_bytes = 0
        self._team_keys_by_expiry: dict[int, list[tuple[str, str]]] = {}
        self._expiry_heap: list[int] = []
        self.on_answer_dropped = on_answer_dropped
        self._max_records = max_records
        self._max_answers = max_answers
        self._max_answer_bytes = max_answer_bytes

    def __len__(self) -> int:
        return len(self._record_by_key)

    @property
    def retained_bytes(self) -> int:
        """Total size in bytes counted for the retained answers."""
        return self._retained_bytes

    @property
    def full(self) -> bool:
        """Whether the table has reached its limit of records."""
        return len(self._record_by_key) >= self._max_records

    def next_expiry(self) -> int | None:
        """Return the wall time in seconds at which the next key expires, None without any key."""
        return self._expiry_heap[0] if self._expiry_heap else None

    def get(self, team: str, key: str) -> KeyRecord | None:
        """Return the record of a key, None if there is none."""
        return self._record_by_key.get((team, key))

    def add(self, record: KeyRecord) -> bool:
        """Add a record and return True; return False if the table is full."""
        if self.full:
            return False
        team_key = (record.team, record.key)
        self._record_by_key[team_key] = record
        self._schedule_expiry(team_key, record.expires_at)
        return True

    def remove(self, record: KeyRecord) -> None:
        """Remove the record of a key whose job this incarnation must not start."""
        self._uncount_answer(record)
        self._record_by_key.pop((record.team, record.key), None)

    def retain_answer(self, record: KeyRecord, answer_bytes: int) -> None:
        """Count the answer of a record as the newest, and drop the oldest beyond the limits."""
        team_key = (record.team, record.key)
        if self._record_by_key.get(team_key) is not record:
            return
        self._uncount_answer(record)
        record.answer_bytes = answer_bytes
        self._retained[team_key] = record
        self._retained_bytes += answer_bytes
        while (
            len(self._retained) > self._max_answers or self._retained_bytes > self._max_answer_bytes
        ):
            _, oldest = self._retained.popitem(last=False)
            self._retained_bytes -= oldest.answer_bytes
            oldest.answer_bytes = 0
            oldest.answer = None
            if self.on_answer_dropped is not None:
                self.on_answer_dropped(oldest)

    def discard_answer(self, record: KeyRecord) -> None:
        """Discard the answer of a record whose job is started again."""
        self._uncount_answer(record)
        record.answer = None

    def latest_answered(self, count: int) -> list[KeyRecord]:
        """Return up to `count` records with retained answers, newest first."""
        return list(itertools.islice(reversed(self._retained.values()), count))

    def expire(self, wall_time: float) -> list[KeyRecord]:
        """Remove and return the records whose keys have expired at `wall_time`, in seconds.

        They may include records whose jobs still wait for outcomes.
        """
        expired: list[KeyRecord] = []
        while self._expiry_heap and self._expiry_heap[0] <= wall_time:
            for team_key in self._team_keys_by_expiry.pop(heapq.heappop(self._expiry_heap)):
                record = self._record_by_key.get(team_key)
                if record is None or record.expires_at > wall_time:
                    continue
                self._uncount_answer(record)
                del self._record_by_key[team_key]
                expired.append(record)
        return expired

    def _schedule_expiry(self, team_key: tuple[str, str], expires_at: float) -> None:
        expiry_second = int(expires_at) + 1
        team_keys = self._team_keys_by_expiry.get(expiry_second)
        if team_keys is None:
            self._team_keys_by_expiry[expiry_second] = team_keys = []
            heapq.heappush(self._expiry_heap, expiry_second)
        team_keys.append(team_key)

    def _uncount_answer(self, record: KeyRecord) -> None:
        if self._retained.pop((record.team, record.key), None) is not None:
            self._retained_bytes -= record.answer_bytes
            record.answer_bytes = 0
