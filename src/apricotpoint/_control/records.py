"""Append-only record files with checksums and group commit."""

from __future__ import annotations

import os
import struct
from collections.abc import Callable

import anyio
import msgspec
import xxhash

from apricotpoint._control.storage import Storage
from apricotpoint._core.codes import ResultCode
from apricotpoint._core.errors import ApricotError

# Magic, payload length, index, checksum of the payload, checksum of the header.
_HEADER = struct.Struct("<4sIQQQ")
_MAGIC = b"aprc"
_CHECKSUMMED_HEADER_BYTES = _HEADER.size - 8
_DECODER = msgspec.msgpack.Decoder(list[bytes])


class RecordFile:
    """An append-only file of records, in which concurrent writers share one sync.

    All payloads appended between two syncs are written as one record. Only
    one sync runs at a time, so a crash can leave only the last record torn;
    `open` truncates it. Any other damage raises `ApricotError` 5102 in `open`,
    a missing record 5101.
    """

    def __init__(self, storage: Storage, name: str) -> None:
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
        self.size = 0
        self.truncated_bytes = 0

    async def open(self) -> list[bytes]:
        """Open or create the file and return all payloads in the order they were appended."""
        created = not self._path.exists()
        try:
            self._descriptor = os.open(self._path, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600)
            data = self._path.read_bytes()
        except OSError as error:
            raise self._storage.record_failure(error, self._path) from error
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
        return payloads

    async def write_first_record(self) -> None:
        """Write and sync an empty first record into a new file.

        With this record a file that has lost its whole content can be told
        from a new file.
        """
        await self._write_pending()

    def close(self) -> None:
        """Close the file; payloads that are not synced are lost."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1

    def append(self, payload: bytes) -> int:
        """Queue a payload and return its sequence number for `sync`."""
        self._storage.check()
        self._pending.append(payload)
        self._appended_count += 1
        return self._appended_count

    async def sync(self, sequence: int | None = None) -> None:
        """Return when the payload with this sequence number, by default the last, is durable.

        Raises `ApricotError` 5103 or 5104 if a write or sync has failed, now
        or at any time before.
        """
        target = self._appended_count if sequence is None else sequence
        while self._synced_count < target:
            self._storage.check()
            if self._write_in_progress:
                await self._write_finished.wait()
                continue
            # A cancelled writer must not abort the sync that other writers wait for.
            with anyio.CancelScope(shield=True):
                await self._write_pending()
        self._storage.check()

    async def rewrite(self, make_payloads: Callable[[], list[bytes]]) -> None:
        """Replace the whole file atomically by one record with new payloads.

        `make_payloads` is called while no sync runs. Its result must include
        everything appended so far, because queued payloads are discarded.
        """
        while self._write_in_progress:
            await self._write_finished.wait()
        self._storage.check()
        with anyio.CancelScope(shield=True):
            self._write_in_progress = True
            try:
                await self._rewrite(make_payloads())
            finally:
                self._finish_write()

    async def _write_pending(self) -> None:
        self._write_in_progress = True
        group, self._pending = self._pending, []
        target = self._appended_count
        try:
            record = _encode_record(self._next_index, group)
            self._storage.write(self._descriptor, record, self._path)
            await self._storage.sync(self._descriptor, self._path)
            self._next_index += 1
            self.size += len(record)
            self._synced_count = target
        finally:
            self._finish_write()

    async def _rewrite(self, payloads: list[bytes]) -> None:
        self._pending = []
        target = self._appended_count
        temporary = self._storage.folder / f"{self._name}.new"
        record = _encode_record(1, payloads)
        try:
            descriptor = os.open(
                temporary, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o600
            )
        except OSError as error:
            raise self._storage.record_failure(error, temporary) from error
        try:
            self._storage.write(descriptor, record, temporary)
            await self._storage.sync(descriptor, temporary)
            await self._storage.rename(temporary, self._path)
        except BaseException:
            os.close(descriptor)
            raise
        os.close(self._descriptor)
        self._descriptor = descriptor
        self._next_index = 2
        self.size = len(record)
        self._synced_count = target

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
