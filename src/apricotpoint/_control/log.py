"""The replicated log of one replica on disk, with its term and vote."""

from __future__ import annotations

import attrs
import msgspec

from apricotpoint._control.messages import Entry, Snapshot
from apricotpoint._control.records import RecordFile
from apricotpoint._control.storage import DiskFullError, Storage

# A snapshot replaces older entries after this many committed entries.
COMPACT_AFTER_ENTRIES = 1_000
# The same for their size, as each entry that replaces a document holds all of it.
COMPACT_AFTER_BYTES = 8 << 20
# Entries older than the snapshot that are kept, so that a replica slightly behind can be sent
# entries instead of the whole snapshot.
_ENTRIES_KEPT_BEFORE_SNAPSHOT = 200
_BYTES_KEPT_BEFORE_SNAPSHOT = 2 << 20
# Size of an entry without the texts of its change.
_ENTRY_OVERHEAD_BYTES = 100

FILE_NAME = "log"


@attrs.frozen
class _TermAndVote:
    term: int
    voted_for: str


@attrs.frozen
class _CompactionBase:
    index: int
    term: int
    snapshot: Snapshot


@attrs.frozen
class _Record:
    """One payload of the file; `entry` replaces all earlier entries from `index` on."""

    ballot: _TermAndVote | None = None
    base: _CompactionBase | None = None
    index: int = 0
    entry: Entry | None = None


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_Record)


def entry_bytes(entry: Entry) -> int:
    """Return the approximate size of an entry in a message or on disk."""
    arguments = entry.change.arguments if entry.change is not None else {}
    texts = sum(len(value) for value in arguments.values() if isinstance(value, str))
    return _ENTRY_OVERHEAD_BYTES + texts


class Log:
    """Entries, term and vote in one file, so that one sync covers all of them.

    Changes are visible at once and durable after `sync`; nothing may be
    acknowledged before that. While the disk is full, they stay in memory only
    and are written when there is free space. `base_index` is the index just before the first
    entry in the log; older entries are covered by `snapshot`.
    """

    def __init__(self, storage: Storage, *, initial_members: list[str]) -> None:
        self._storage = storage
        self._file = RecordFile(storage, FILE_NAME)
        self._compaction_failed = False
        self._initial_members = dict.fromkeys(initial_members, "")
        self.term = 0
        self.voted_for = ""
        self.snapshot: Snapshot | None = None
        self.base_index = 0
        self.base_term = 0
        self._entries: list[Entry] = []
        self._membership_indexes: list[int] = []

    async def open(self) -> None:
        """Read the file and truncate a torn last record.

        Raises `ApricotError` 5101 or 5102 for a file that is damaged otherwise.
        """
        for payload in await self._file.open():
            record = _DECODER.decode(payload)
            if record.ballot is not None:
                self.term, self.voted_for = record.ballot.term, record.ballot.voted_for
            if record.base is not None:
                self._set_base(record.base)
            if record.entry is not None:
                self._put_entry(record.index, record.entry)

    def close(self) -> None:
        """Close the file; what was not synced is lost."""
        self._file.close()

    @property
    def file_bytes(self) -> int:
        """The size of the file in bytes, as of the last sync."""
        return self._file.size

    @property
    def is_disk_full(self) -> bool:
        """Whether something that must be stored found no free space, and none was found since."""
        return self._storage.full is not None

    @property
    def unstored_bytes(self) -> int:
        """The size of what waits to be written."""
        return self._file.queued_bytes

    @property
    def is_synced(self) -> bool:
        """Whether all that is in memory is durable."""
        return self._file.is_synced

    @property
    def is_waiting_for_disk(self) -> bool:
        """Whether something is not durable yet and a write or sync is in progress."""
        return self._file.is_writing and not self._file.is_synced

    @property
    def synced_count(self) -> int:
        """A number that grows with each sync that makes something durable."""
        return self._file.synced_count

    @property
    def last_index(self) -> int:
        """The index of the last entry, 0 for an empty log."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry, that of the base for a log without entries."""
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def snapshot_index(self) -> int:
        """The last index that the snapshot covers, 0 without a snapshot."""
        return self.snapshot.index if self.snapshot else 0

    @property
    def membership_index(self) -> int:
        """The index of the entry that set the current members, or of the snapshot that did."""
        return self._membership_indexes[-1] if self._membership_indexes else self.snapshot_index

    def disk_by_member(self) -> dict[str, str]:
        """Return the active members, committed or not, with the disk id of each.

        The disk id is empty until the leader has recorded it.
        """
        if self._membership_indexes:
            members = self.entry(self._membership_indexes[-1]).disk_by_member
            assert members is not None
            return members
        return self.snapshot.state.disk_by_member if self.snapshot else self._initial_members

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at `index`, None if it is not in the log."""
        if index == self.base_index:
            return self.base_term
        if not self.base_index < index <= self.last_index:
            return None
        return self._entries[index - self.base_index - 1].term

    def entry(self, index: int) -> Entry:
        """Return the entry at `index`, which must be in the log."""
        return self._entries[index - self.base_index - 1]

    def entries(self, first: int, limit: int, max_bytes: int | None = None) -> list[Entry]:
        """Return up to `limit` entries from `first` on.

        With `max_bytes` they end with the one that exceeds it, so there is at least one.
        """
        start = first - self.base_index - 1
        entries = self._entries[start : start + limit]
        if max_bytes is None:
            return entries
        size = 0
        for count, entry in enumerate(entries, 1):
            size += entry_bytes(entry)
            if size > max_bytes:
                return entries[:count]
        return entries

    def needs_compaction(self, commit_index: int) -> bool:
        """Return whether a snapshot should replace the entries up to `commit_index`."""
        count = commit_index - self.snapshot_index
        if self._compaction_failed or count >= COMPACT_AFTER_ENTRIES:
            return True
        covered = self.entries(self.snapshot_index + 1, max(count, 0))
        return sum(map(entry_bytes, covered)) >= COMPACT_AFTER_BYTES

    def set_term_and_vote(self, term: int, voted_for: str) -> None:
        """Set the term and the vote given in it, empty for none; durable after `sync`."""
        self.term, self.voted_for = term, voted_for
        self._file.append(_ENCODER.encode(_Record(ballot=_TermAndVote(term, voted_for))))

    def append(self, index: int, entries: list[Entry]) -> None:
        """Write entries from `index` on, in place of all entries there and after it."""
        for offset, entry in enumerate(entries):
            self._put_entry(index + offset, entry)
            self._file.append(_ENCODER.encode(_Record(index=index + offset, entry=entry)))

    async def sync(self) -> None:
        """Return when everything written so far is durable."""
        await self._file.sync()

    async def try_sync(self) -> bool:
        """Do as `sync`, but return False if the disk is full."""
        try:
            await self._file.sync()
        except DiskFullError:
            return False
        return True

    async def compact(self, snapshot: Snapshot) -> None:
        """Discard older entries that `snapshot`, taken from this log, covers.

        Some entries before the snapshot are kept for replicas slightly behind.
        Raises `DiskFullError` if the file cannot be rewritten for now; it still holds
        the older entries then, and `needs_compaction` asks for another attempt.
        """
        base_index = snapshot.index
        kept_bytes = 0
        while base_index > max(self.base_index, snapshot.index - _ENTRIES_KEPT_BEFORE_SNAPSHOT):
            kept_bytes += entry_bytes(self.entry(base_index))
            if kept_bytes > _BYTES_KEPT_BEFORE_SNAPSHOT:
                break
            base_index -= 1
        base_term = self.term_at(base_index)
        assert base_term is not None
        entries = self.entries(base_index + 1, self.last_index)
        self._set_base(_CompactionBase(base_index, base_term, snapshot))
        self._put_entries(entries)
        self._compaction_failed = True
        await self._file.rewrite(self._payloads)
        self._compaction_failed = False

    async def install(self, snapshot: Snapshot) -> None:
        """Install a snapshot sent by the leader.

        Entries after it are kept only if the entry at its index has its term.
        Raises `DiskFullError` if it cannot be stored for now; nothing else is stored
        before it then, as the entries after it do not follow those in the file.
        """
        matches = self.term_at(snapshot.index) == snapshot.term
        entries = self.entries(snapshot.index + 1, self.last_index) if matches else []
        self._set_base(_CompactionBase(snapshot.index, snapshot.term, snapshot))
        self._put_entries(entries)
        await self._file.rewrite(self._payloads, required=True)

    def _set_base(self, base: _CompactionBase) -> None:
        self.base_index, self.base_term, self.snapshot = base.index, base.term, base.snapshot
        self._entries = []
        self._membership_indexes = []

    def _put_entries(self, entries: list[Entry]) -> None:
        for offset, entry in enumerate(entries):
            self._put_entry(self.base_index + 1 + offset, entry)

    def _put_entry(self, index: int, entry: Entry) -> None:
        del self._entries[index - self.base_index - 1 :]
        while self._membership_indexes and self._membership_indexes[-1] >= index:
            self._membership_indexes.pop()
        self._entries.append(entry)
        if entry.disk_by_member is not None:
            self._membership_indexes.append(index)

    def _payloads(self) -> list[bytes]:
        records = [_Record(ballot=_TermAndVote(self.term, self.voted_for))]
        if self.snapshot is not None:
            records.append(
                _Record(base=_CompactionBase(self.base_index, self.base_term, self.snapshot))
            )
        records += [
            _Record(index=self.base_index + 1 + offset, entry=entry)
            for offset, entry in enumerate(self._entries)
        ]
        return [_ENCODER.encode(record) for record in records]
