"""The newest known start of each control process, to detect an outdated disk."""

from __future__ import annotations

import anyio
import msgspec

from apricotpoint._control.messages import StartCheck, StartCheckReply
from apricotpoint._control.storage import DiskFullError, Storage
from apricotpoint._core.codes import ResultCode
from apricotpoint._core.errors import DECODE_ERRORS, ApricotError

_FILE_NAME = "starts"
_DECODER = msgspec.json.Decoder(dict[str, StartCheck])


class NewestStarts:
    """The newest start that each control process has reported, kept in a synced file."""

    def __init__(self, storage: Storage) -> None:
        self._storage = storage
        self._newest_by_id: dict[str, StartCheck] = {}
        self._lock = anyio.Lock()

    def open(self) -> None:
        """Read the file, if there is one; raise `ApricotError` 5102 if it cannot be decoded."""
        path = self._storage.folder / _FILE_NAME
        if not path.exists():
            return
        try:
            self._newest_by_id = _DECODER.decode(path.read_bytes())
        except DECODE_ERRORS as error:
            raise ApricotError(
                ResultCode.LOG_CHECKSUM,
                f"file of process starts {path} cannot be read: {error}",
                remedy="replace the disk content: initialise the folder again without --first",
            ) from error

    async def report(self, node_id: str, start: StartCheck) -> StartCheckReply:
        """Record a start unless a newer one is known; return the reply once it is synced.

        If the disk is full, nothing is recorded, and the reply says so.
        """
        async with self._lock:
            known = self._newest_by_id.get(node_id)
            if known is not None and _is_newer(known, start):
                return StartCheckReply(newest=known, newer=True)
            if known != start:
                newest_by_id = {**self._newest_by_id, node_id: start}
                try:
                    await self._storage.replace_file(
                        _FILE_NAME, msgspec.json.encode(newest_by_id, order="sorted")
                    )
                except DiskFullError:
                    return StartCheckReply(newest=start, newer=False, stored=False)
                self._newest_by_id = newest_by_id
        return StartCheckReply(newest=start, newer=False)


def _is_newer(known: StartCheck, start: StartCheck) -> bool:
    """Return whether `known` is newer than `start`, or both come from copies of one disk."""
    if known.disk_id != start.disk_id:
        return known.initialised_at >= start.initialised_at
    if known.start_counter == start.start_counter:
        return known.start_nonce != start.start_nonce
    return known.start_counter > start.start_counter
