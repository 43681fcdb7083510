"""Lists of processes that one entry process has received from the control processes."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from apricotpoint._wire.pool import EntryListChanges, EntrySummary, EntryWelcome

# A list that was not confirmed for this long is ignored while another control process answers:
# several periods in which entry processes make themselves known.
LIST_EXPIRY_S = 7.0
# The list of a control process that has collected it for less than this may lack processes: those
# without backend servers make themselves known every 2 s.
COMPLETE_AFTER_S = 5.0


@attrs.define(eq=False)
class _ProcessList:
    """The last list of a control process, and what former ones had while it may be incomplete."""

    digest: int
    control_ids: list[str]
    summary_by_entry: dict[str, EntrySummary]
    former_by_entry: dict[str, EntrySummary]
    is_complete: bool
    confirmed_at: float


class EntryDirectory:
    """Control and entry processes by the lists of all control processes that answer.

    The last lists are kept when no control process answers any more, and until one that answers has
    had time to collect a list since its start. `revision` rises when the known entry processes
    change. `now` returns monotonic seconds.
    """

    def __init__(self, *, now: Callable[[], float]) -> None:
        self.revision = 0
        self.control_ids: set[str] = set()
        self.summary_by_entry: dict[str, EntrySummary] = {}
        self._now = now
        self._list_by_control: dict[str, _ProcessList] = {}

    def digest(self, control_id: str) -> int:
        """Return the digest of the last list of a control process, 0 if there is none."""
        known = self._list_by_control.get(control_id)
        return known.digest if known is not None else 0

    def update(self, control_id: str, welcome: EntryWelcome) -> None:
        """Process the answer of a control process."""
        known = self._list_by_control.get(control_id)
        if welcome.entries is not None:
            summaries = {summary.entry_id: summary for summary in welcome.entries}
        elif known is not None and welcome.changes and welcome.changes.base_digest == known.digest:
            summaries = _apply(welcome.changes, known.summary_by_entry)
        elif known is not None and known.digest == welcome.list_digest:
            summaries = known.summary_by_entry
        else:
            # An answer to an earlier request; the next one brings the list.
            return
        is_complete = welcome.listening_s >= COMPLETE_AFTER_S
        former: dict[str, EntrySummary] = {}
        if known is not None and not is_complete:
            former = {**known.former_by_entry, **known.summary_by_entry}
        self._list_by_control[control_id] = _ProcessList(
            welcome.list_digest,
            welcome.control_ids,
            summaries,
            former,
            is_complete,
            self._now(),
        )
        is_unchanged = (
            known is not None
            and known.summary_by_entry is summaries
            and known.is_complete == is_complete
            and known.former_by_entry.keys() == former.keys()
            and known.control_ids == welcome.control_ids
        )
        # A holder gets dozens of answers a second, and nearly all of them change nothing.
        if (is_complete and self._remove_expired()) or not is_unchanged:
            self._merge()

    def _remove_expired(self) -> bool:
        """Drop the lists that were not confirmed lately; return whether there were any."""
        now = self._now()
        expired = [
            control_id
            for control_id, item in self._list_by_control.items()
            if now - item.confirmed_at > LIST_EXPIRY_S
        ]
        for control_id in expired:
            del self._list_by_control[control_id]
        return bool(expired)

    def _merge(self) -> None:
        self.control_ids = {
            control_id for item in self._list_by_control.values() for control_id in item.control_ids
        }
        merged: dict[str, EntrySummary] = {}
        lists = [item.summary_by_entry for item in self._list_by_control.values()]
        if not self._has_complete_list():
            # Former lists name processes that may have ended since, so they are a last resort.
            lists += [item.former_by_entry for item in self._list_by_control.values()]
        for summary_by_entry in lists:
            for entry_id, summary in summary_by_entry.items():
                other = merged.get(entry_id)
                if other is None or _age_key(other) < _age_key(summary):
                    merged[entry_id] = summary
        if merged != self.summary_by_entry:
            self.summary_by_entry = merged
            self.revision += 1

    def _has_complete_list(self) -> bool:
        now = self._now()
        return any(
            item.is_complete and now - item.confirmed_at <= LIST_EXPIRY_S
            for item in self._list_by_control.values()
        )


def _apply(
    changes: EntryListChanges, summary_by_entry: dict[str, EntrySummary]
) -> dict[str, EntrySummary]:
    changed = {summary.entry_id: summary for summary in changes.changed}
    kept = summary_by_entry.keys() - set(changes.removed)
    return {key: summary_by_entry[key] for key in kept} | changed


def _age_key(summary: EntrySummary) -> tuple[float, int]:
    return summary.started_at, summary.revision
