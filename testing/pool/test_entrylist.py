"""Lists of entry processes and their changes: the same state everywhere, at the cost of changes."""

from __future__ import annotations

import random

import attrs
from hypothesis import given
from hypothesis import strategies as st

from apricotpoint._pool.holders import entrylist
from apricotpoint._pool.holders.directory import EntryDirectory
from apricotpoint._pool.holders.entrylist import EntryList
from apricotpoint._wire.pool import EntrySummary, EntryWelcome


def summary(entry_id: str, revision: int = 0) -> EntrySummary:
    return EntrySummary(entry_id, "a", 1.0, 0.0, revision=revision)


@attrs.define(eq=False)
class Reader:
    """An entry process that asks for the list; `received` counts the summaries that it got."""

    directory: EntryDirectory = attrs.Factory(lambda: EntryDirectory(now=lambda: 0.0))
    received: int = 0

    def read(self, entries: EntryList) -> None:
        """Ask for the list, and process the answer."""
        known = self.directory.digest("c1")
        changes = entries.changes_since(known)
        whole = entries.summaries() if changes is None and known != entries.digest else None
        self.received += len(whole or ()) + (len(changes.changed) if changes else 0)
        self.directory.update(
            "c1", EntryWelcome(["c1"], entries.digest, whole, [], changes=changes)
        )


@given(st.lists(st.tuples(st.integers(0, 5), st.integers(-1, 2), st.booleans())), st.integers(1, 4))
def test_a_process_that_applies_changes_has_the_list(
    steps: list[tuple[int, int, bool]], known_states: int
):
    """Guards against processes that miss a start, a change or an end of another one."""
    entries, readers, live = EntryList(), [Reader(), Reader()], {}
    limit, entrylist.MAX_KNOWN_STATES = entrylist.MAX_KNOWN_STATES, known_states
    try:
        for number, revision, is_read in steps:
            live.pop(f"e{number}", None)
            if revision >= 0:
                live[f"e{number}"] = summary(f"e{number}", revision)
            entries.update(live)
            # The first one reads each state, the second one some of them.
            for reader in readers if is_read else readers[:1]:
                reader.read(entries)
                assert reader.directory.summary_by_entry == live
    finally:
        entrylist.MAX_KNOWN_STATES = limit


def test_what_a_process_receives_while_others_start_does_not_grow_with_their_square():
    """Guards against whole lists for each change, which cost hundreds of processes most bytes."""
    entries, reader, live = EntryList(), Reader(), {}
    for number in range(400):
        live[f"e{number}"] = summary(f"e{number}")
        entries.update(live)
        reader.read(entries)
    assert reader.directory.summary_by_entry == live
    assert reader.received <= 2 * len(live)


def test_a_process_that_was_away_for_long_gets_the_list():
    """Guards against a record of changes that grows for ever, and against a wrong list."""
    generator = random.Random(1)
    entries, reader, live = EntryList(), Reader(), {"e": summary("e")}
    entries.update(live)
    reader.read(entries)
    for revision in range(3 * entrylist.MAX_KNOWN_STATES):
        # Each process has another id after its restart.
        live.pop(generator.choice(sorted(live)))
        live[f"e{revision}"] = summary(f"e{revision}", revision)
        entries.update(live)
    assert len(entries._revision_by_entry) <= entrylist.MAX_KNOWN_STATES + 2
    reader.read(entries)
    assert reader.directory.summary_by_entry == live
