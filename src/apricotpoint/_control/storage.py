"""Durable writes to the data folder; the first failed write or sync ends its use."""

from __future__ import annotations

import errno
import os
from collections.abc import Awaitable, Callable
from pathlib import Path

import anyio
import anyio.to_thread

from apricotpoint._core.codes import ResultCode
from apricotpoint._core.errors import ApricotError

SyncFunction = Callable[[int], Awaitable[None]]
WriteFunction = Callable[[int, bytes], int]


async def sync_in_thread(descriptor: int) -> None:
    """Run fdatasync in a worker thread, so that it does not block the event loop."""
    await anyio.to_thread.run_sync(os.fdatasync, descriptor)


class Storage:
    """The data folder of one process.

    The first failed write or sync is kept in `failure`, and every later use
    raises it again: after a failed fdatasync the kernel may drop the dirty
    pages and report success for the next call, so nothing written since the
    last successful sync can be relied on.
    """

    def __init__(
        self,
        folder: Path,
        *,
        sync: SyncFunction = sync_in_thread,
        write: WriteFunction = os.write,
    ) -> None:
        self.folder = folder
        self.failure: ApricotError | None = None
        self.failed = anyio.Event()
        self._sync = sync
        self._write = write

    def check(self) -> None:
        """Raise the first write or sync failure again, if there was one."""
        if self.failure is not None:
            raise self.failure

    def write(self, descriptor: int, data: bytes, path: Path) -> None:
        """Write all of `data`; raise `ApricotError` 5104 or 5103 if that fails."""
        self.check()
        view = memoryview(data)
        try:
            while view:
                view = view[self._write(descriptor, bytes(view)) :]
        except OSError as error:
            raise self.record_failure(error, path) from error

    async def sync(self, descriptor: int, path: Path) -> None:
        """Sync a file or folder to disk; raise `ApricotError` 5103 or 5104 if that fails."""
        self.check()
        try:
            await self._sync(descriptor)
        except OSError as error:
            raise self.record_failure(error, path) from error
        self.check()

    def record_failure(self, error: OSError, path: Path) -> ApricotError:
        """Record a file system error, unless there was one before, and return the first one."""
        if self.failure is None:
            full = error.errno in (errno.ENOSPC, errno.EDQUOT)
            self.failure = ApricotError(
                ResultCode.DISK_FULL if full else ResultCode.SYNC_FAILED,
                f"{path} cannot be written: {error.strerror or error}",
                remedy="free space on the disk and restart the process"
                if full
                else "check the disk; replace it if it reports errors, then restart the process",
            )
            self.failed.set()
        return self.failure

    async def replace_file(self, name: str, data: bytes) -> None:
        """Replace a small file atomically: write a new file, sync, rename, sync the folder.

        Raises `ApricotError` 5103 or 5104 if that fails.
        """
        path = self.folder / name
        temporary = self.folder / f"{name}.new"
        self.check()
        with anyio.CancelScope(shield=True):
            try:
                descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
            except OSError as error:
                raise self.record_failure(error, temporary) from error
            try:
                self.write(descriptor, data, temporary)
                await self.sync(descriptor, temporary)
            finally:
                os.close(descriptor)
            await self.rename(temporary, path)

    async def rename(self, source: Path, target: Path) -> None:
        """Rename a synced file, replacing the target, and sync the folder."""
        self.check()
        try:
            os.replace(source, target)
            descriptor = os.open(self.folder, os.O_RDONLY)
        except OSError as error:
            raise self.record_failure(error, target) from error
        try:
            await self.sync(descriptor, self.folder)
        finally:
            os.close(descriptor)
