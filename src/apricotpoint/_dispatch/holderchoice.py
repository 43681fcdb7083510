"""Choice of the lease holder of a backend server."""

from __future__ import annotations

from collections.abc import Collection, Mapping

from apricotpoint._dispatch.cluster import EntryView
from apricotpoint._wire.announce import HolderName


def choose_holder(
    entries: list[EntryView],
    *,
    failure_domain: str,
    excluded: Collection[str],
    assigned_slots: Mapping[str, int],
) -> HolderName | None:
    """Return the live entry process with the fewest slots relative to its weight.

    Entry processes of `failure_domain` are preferred. `assigned_slots` are the
    slots that this process assigned recently and that the load reports do not
    contain yet; without them all backend servers that announce themselves
    between two reports would get the same holder. Draining and excluded
    processes are left out; None if no other is live.
    """
    candidates = [
        entry for entry in entries if not entry.report.draining and entry.entry_id not in excluded
    ]
    if not candidates:
        return None
    in_domain = [entry for entry in candidates if entry.report.failure_domain == failure_domain]

    def relative_load(entry: EntryView) -> tuple[float, str]:
        slots = entry.report.held_slots + assigned_slots.get(entry.entry_id, 0)
        return slots / max(entry.report.weight, 1e-6), entry.entry_id

    chosen = min(in_domain or candidates, key=relative_load)
    return HolderName(chosen.entry_id, chosen.incarnation)
