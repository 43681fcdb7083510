"""The list of live entry processes at one control process, and its latest changes."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec
import xxhash

from apricotpoint._wire.pool import EntryListChanges, EntrySummary

# Changes since an older state of the list than these are not known; the list is sent instead.
MAX_KNOWN_STATES = 1000


class EntryList:
    """The summaries of the live entry processes, and what has changed since earlier states.

    Hundreds of processes ask for the list again and again, and each start or end of one of them
    changes it, so answers with the whole list would grow with the square of their number. The
    `digest` of a state depends on its content alone; that of an empty list is 0.
    """

    def __init__(self) -> None:
        self.digest = 0
        self._summary_by_entry: dict[str, EntrySummary] = {}
        self._revision = 0
        # In the order of the revisions.
        self._revision_by_digest: dict[int, int] = {0: 0}
        self._revision_by_entry: dict[str, int] = {}
        self._changes_by_digest: dict[int, EntryListChanges | None] = {}

    def summaries(self) -> list[EntrySummary]:
        """Return the summaries, in the order of their ids."""
        return [self._summary_by_entry[key] for key in sorted(self._summary_by_entry)]

    def update(self, summary_by_entry: Mapping[str, EntrySummary]) -> None:
        """Replace the list."""
        former = self._summary_by_entry
        changed = [
            key
            for key in former.keys() | summary_by_entry.keys()
            if former.get(key) != summary_by_entry.get(key)
        ]
        if not changed:
            return
        self._summary_by_entry = dict(summary_by_entry)
        self._revision += 1
        for key in changed:
            self._revision_by_entry[key] = self._revision
            # A sum does not depend on the order, and costs nothing for what has not changed.
            for summary, sign in ((former.get(key), -1), (summary_by_entry.get(key), 1)):
                if summary is not None:
                    self.digest = (self.digest + sign * _summary_digest(summary)) % (1 << 64)
        self._revision_by_digest.pop(self.digest, None)
        self._revision_by_digest[self.digest] = self._revision
        self._changes_by_digest = {}
        if len(self._revision_by_digest) > MAX_KNOWN_STATES:
            del self._revision_by_digest[next(iter(self._revision_by_digest))]
            self._forget_removed()

    def changes_since(self, digest: int) -> EntryListChanges | None:
        """Return the changes since the state with a digest.

        None if that state is not known, or if the list is not longer than the changes.
        """
        if digest not in self._changes_by_digest:
            self._changes_by_digest[digest] = self._find_changes(digest)
        return self._changes_by_digest[digest]

    def _find_changes(self, digest: int) -> EntryListChanges | None:
        since = self._revision_by_digest.get(digest)
        if since is None:
            return None
        keys = sorted(key for key, item in self._revision_by_entry.items() if item > since)
        if len(keys) >= len(self._summary_by_entry):
            return None
        return EntryListChanges(
            digest,
            [self._summary_by_entry[key] for key in keys if key in self._summary_by_entry],
            [key for key in keys if key not in self._summary_by_entry],
        )

    def _forget_removed(self) -> None:
        """Forget removed processes that no known state has."""
        oldest = next(iter(self._revision_by_digest.values()))
        self._revision_by_entry = {
            key: item
            for key, item in self._revision_by_entry.items()
            if item > oldest or key in self._summary_by_entry
        }


def _summary_digest(summary: EntrySummary) -> int:
    return xxhash.xxh3_64_intdigest(msgspec.msgpack.encode(summary))
