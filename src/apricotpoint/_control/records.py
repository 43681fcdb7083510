"""Append-only record files with checksums and group commit."""

from __future__ import annotations

import os
import struct
from collections import deque
from collections.abc import Callable
from pathlib import Path

import anyio
import msgspec
import xxhash

from apricotpoint._control.storage import DiskFullError, Storage
from apricotpoint._core.codes import ResultCode
from apricotpoint._core.errors import ApricotError

# Magic, payload length, index, checksum of the payload, checksum of the header.
_HEADER = struct.Struct("<4sIQQQ")
_MAGIC = b"aprc"
_CHECKSUMMED_HEADER_BYTES = _HEADER.size - 8
_DECODER = msgspec.msgpack.Decoder(list[bytes])
# Writers of a dropped group look it up as soon as they run again; no group is written by then.
_DROPPED_GROUPS_KEPT = 64


class RecordFile:
    """An append-only file of records, in which concurrent writers share one sync.

    All payloads appended between two syncs are written as one record. Only
    one sync runs at a time, so a crash can leave only the last record torn;
    `open` truncates it. Any other damage raises `ApricotError` 5102 in `open`,
    a missing record 5101.

    When the disk is full, the file is truncated to its last synced record, and
    `sync` raises `DiskFullError`. Without `on_dropped` the payloads stay queued, in
    their order, until the retry of the storage has written them. With it they
    are dropped: `on_dropped` is called with them, and their writers get
    `DiskFullError`.
    """

    def __init__(
        self,
        storage: Storage,
        name: str,
        *,
        on_dropped: Callable[[list[bytes]], None] | None = None,
    ) -> None:
        self._storage = storage
        self._name = name
        self._path = storage.folder / name
        self._descriptor = -1
        self._next_index = 1
        self._pending: list[bytes] = []
        self._appended_count = 0
        self._synced_count = 0
        self._write_in_progress = False
        self._write_finished = anyio.Event()
        self._on_dropped = on_dropped
        self._dropped_sequences: deque[range] = deque(maxlen=_DROPPED_GROUPS_KEPT)
        self._required_rewrite: Callable[[], list[bytes]] | None = None
        self.size = 0
        self.truncated_bytes = 0

    async def open(self) -> list[bytes]:
        """Open or create the file and return all payloads in the order they were appended."""
        created = not self._path.exists()
        try:
            self._descriptor = os.open(self._path, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600)
            data = self._path.read_bytes()
        except OSError as error:
            raise self._storage.explain(error, self._path) from error
        # A crash may have left it; on a full disk it takes space that the file needs.
        await self._storage.remove(self._temporary_path)
        payloads, end = self._scan(data)
        self.size = end
        self.truncated_bytes = len(data) - end
        if self.truncated_bytes:
            os.ftruncate(self._descriptor, end)
            await self._storage.sync(self._descriptor, self._path)
        if created:
            folder = os.open(self._storage.folder, os.O_RDONLY)
            try:
                await self._storage.sync(folder, self._storage.folder)
            finally:
                os.close(folder)
        self._storage.register(self._flush)
        return payloads

    async def write_first_record(self) -> None:
        """Write and sync an empty first record into a new file.

        With this record a file that has lost its whole content can be told
        from a new file.
        """
        await self._write_pending()

    def close(self) -> None:
        """Close the file; payloads that are not synced are lost."""
        self._storage.unregister(self._flush)
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1

    @property
    def synced_count(self) -> int:
        """How many payloads are synced or dropped."""
        return self._synced_count

    @property
    def is_synced(self) -> bool:
        """Whether nothing waits to be written or synced."""
        return self._synced_count == self._appended_count

    @property
    def is_writing(self) -> bool:
        """Whether a write or sync is in progress."""
        return self._write_in_progress

    @property
    def queued_bytes(self) -> int:
        """The size of the payloads that are queued and not being written."""
        return sum(map(len, self._pending))

    def append(self, payload: bytes) -> int:
        """Queue a payload and return its sequence number for `sync`."""
        self._storage.check()
        self._pending.append(payload)
        self._appended_count += 1
        return self._appended_count

    async def sync(self, sequence: int | None = None) -> None:
        """Return when the payload with this sequence number, by default the last, is durable.

        Raises `DiskFullError` if it cannot be stored for now, and `ApricotError` 5103
        or 5104 if a sync has failed, now or at any time before.
        """
        target = self._appended_count if sequence is None else sequence
        while self._synced_count < target:
            self._storage.check()
            if self._write_in_progress:
                await self._write_finished.wait()
                continue
            # Only the retry of the storage writes then, however many writers wait.
            self._storage.check_space()
            # A cancelled writer must not abort the sync that other writers wait for.
            with anyio.CancelScope(shield=True):
                await self._write_pending()
        self._storage.check()
        if any(target in dropped for dropped in self._dropped_sequences):
            raise DiskFullError(OSError("its group was dropped, as the disk was full"), self._path)

    async def rewrite(
        self, make_payloads: Callable[[], list[bytes]], *, required: bool = False
    ) -> None:
        """Replace the whole file atomically by one record with new payloads.

        `make_payloads` is called while no sync runs. Its result must include
        everything appended so far, because queued payloads are discarded.

        Raises `DiskFullError` if there is no free space for the new file, which is
        removed. If the rewrite is `required`, because the present content of
        the file does not go with what is appended from now on, nothing is
        written until it has succeeded; otherwise it is given up.
        """
        if required:
            self._required_rewrite = make_payloads
            self._appended_count += 1
            await self.sync()
            return
        while self._write_in_progress:
            await self._write_finished.wait()
        self._storage.check()
        with anyio.CancelScope(shield=True):
            self._write_in_progress = True
            group, self._pending = self._pending, []
            target = self._appended_count
            try:
                await self._rewrite(make_payloads())
                self._synced_count = target
            except DiskFullError:
                self._pending = group + self._pending
                raise
            finally:
                self._finish_write()

    async def _flush(self) -> bool:
        """Write what is queued; return whether there was anything."""
        while self._write_in_progress:
            await self._write_finished.wait()
        if self.is_synced:
            return False
        with anyio.CancelScope(shield=True):
            await self._write_pending()
        return True

    async def _write_pending(self) -> None:
        self._write_in_progress = True
        group, self._pending = self._pending, []
        target = self._appended_count
        try:
            if self._required_rewrite is not None:
                await self._rewrite(self._required_rewrite())
            else:
                await self._append_record(group)
            self._synced_count = target
        except DiskFullError as error:
            if self._on_dropped is None:
                self._pending = group + self._pending
            else:
                # Their writers, who wait for this write, get the same error.
                group += self._pending
                self._pending = []
                target = self._appended_count
                self._dropped_sequences.append(range(self._synced_count + 1, target + 1))
                self._synced_count = target
                self._on_dropped(group)
            self._storage.mark_full(error)
            raise
        finally:
            self._finish_write()

    async def _append_record(self, group: list[bytes]) -> None:
        record = _encode_record(self._next_index, group)
        try:
            await self._storage.write_and_sync(self._descriptor, record, self._path)
        except DiskFullError:
            # Need not be synced: until the next record is synced, whatever a crash leaves
            # here is a torn last record, which `open` truncates.
            await self._storage.truncate(self._descriptor, self.size, self._path)
            raise
        self._next_index += 1
        self.size += len(record)

    async def _rewrite(self, payloads: list[bytes]) -> None:
        temporary = self._temporary_path
        record = _encode_record(1, payloads)
        # A rewrite that is required from now on is not covered by these payloads.
        required, self._required_rewrite = self._required_rewrite, None
        descriptor = -1
        try:
            descriptor = await self._storage.create(temporary)
            await self._storage.write_and_sync(descriptor, record, temporary)
            await self._storage.rename(temporary, self._path)
        except BaseException as error:
            if descriptor >= 0:
                os.close(descriptor)
            if self._required_rewrite is None:
                self._required_rewrite = required
            if isinstance(error, DiskFullError):
                await self._storage.remove(temporary)
            raise
        os.close(self._descriptor)
        self._descriptor = descriptor
        self._next_index = 2
        self.size = len(record)

    @property
    def _temporary_path(self) -> Path:
        return self._storage.folder / f"{self._name}.new"

    def _finish_write(self) -> None:
        self._write_in_progress = False
        self._write_finished.set()
        self._write_finished = anyio.Event()

    def _scan(self, data: bytes) -> tuple[list[bytes], int]:
        """Return all payloads and the end of the last valid record.

        A torn last record ends the scan; damage before the last record raises.
        """
        payloads: list[bytes] = []
        offset = 0
        while offset < len(data):
            header = _parse_header(data, offset)
            if header is None:
                if _has_header_after(data, offset + 1):
                    raise self._corruption_error(offset, "the header checksum does not match")
                break
            length, index, checksum = header
            body = data[offset + _HEADER.size : offset + _HEADER.size + length]
            end = offset + _HEADER.size + length
            if len(body) < length or xxhash.xxh3_64_intdigest(body) != checksum:
                if end < len(data):
                    raise self._corruption_error(offset, "the payload checksum does not match")
                break
            if index != self._next_index:
                raise ApricotError(
                    ResultCode.LOG_TORN,
                    f"{self._path} has record {index} at byte {offset} where record "
                    f"{self._next_index} is expected",
                    remedy="replace the disk content: initialise the folder again without --first",
                )
            payloads.extend(_DECODER.decode(body))
            self._next_index += 1
            offset = end
        return payloads, offset

    def _corruption_error(self, offset: int, cause: str) -> ApricotError:
        return ApricotError(
            ResultCode.LOG_CHECKSUM,
            f"{self._path} is damaged at byte {offset}: {cause}",
            remedy="replace the disk content: initialise the folder again without --first",
        )


async def create_record_file(storage: Storage, name: str) -> None:
    """Create a synced record file with its first, empty record in a new data folder."""
    file = RecordFile(storage, name)
    await file.open()
    try:
        await file.write_first_record()
    finally:
        file.close()


def check_record_file(storage: Storage, name: str) -> None:
    """Raise `ApricotError` 5101 if a record file is missing or has no valid first record."""
    path = storage.folder / name
    header = b""
    if path.exists():
        with path.open("rb") as file:
            header = file.read(_HEADER.size)
    if _parse_header(header, 0) is None:
        raise ApricotError(
            ResultCode.LOG_TORN,
            f"{path} has lost its content: there is no valid first record",
            remedy="replace the disk content: initialise the folder again without --first",
        )


def _encode_record(index: int, payloads: list[bytes]) -> bytes:
    body = msgspec.msgpack.encode(payloads)
    checked = _HEADER.pack(_MAGIC, len(body), index, xxhash.xxh3_64_intdigest(body), 0)
    checked = checked[:_CHECKSUMMED_HEADER_BYTES]
    return checked + xxhash.xxh3_64_digest(checked)[::-1] + body


def _parse_header(data: bytes, offset: int) -> tuple[int, int, int] | None:
    raw = data[offset : offset + _HEADER.size]
    if len(raw) < _HEADER.size:
        return None
    magic, length, index, checksum, header_checksum = _HEADER.unpack(raw)
    if (
        magic != _MAGIC
        or xxhash.xxh3_64_intdigest(raw[:_CHECKSUMMED_HEADER_BYTES]) != header_checksum
    ):
        return None
    return length, index, checksum


def _has_header_after(data: bytes, start: int) -> bool:
    """Return whether there is a valid header at or after `start`.

    If so, the record before it cannot be the torn last one.
    """
    offset = data.find(_MAGIC, start)
    while offset >= 0:
        if _parse_header(data, offset) is not None:
            return True
        offset = data.find(_MAGIC, offset + 1)
    return False
