"""Announcements through the control processes, and the lists of processes that they keep."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack

import anyio
import attrs
from pool_cluster import FakeNetwork, FakeTransport
from pool_harness import make_announcement, run_on_virtual_time

from apricotpoint._core.timers import TimerService
from apricotpoint._pool.holders.directory import (
    COMPLETE_AFTER_S,
    LIST_EXPIRY_S,
    EntryDirectory,
)
from apricotpoint._pool.holders.discovery import Discovery
from apricotpoint._pool.holders.relay import REPEATED_RELAY_PERIOD_S, AnnouncementRelay
from apricotpoint._pool.holders.roster import REMOVED_RETENTION_S, UNREACHABLE_TIMEOUT_S, Roster
from apricotpoint._wire.pool import (
    BackendsHeard,
    EntryHello,
    EntrySummary,
    EntryWelcome,
    PoolBackend,
)

CONTROL_IDS = ("c1", "c2")


@attrs.define(eq=False)
class Relays:
    """Two control processes and the entry process `e`."""

    relay_by_id: dict[str, AnnouncementRelay]
    entry: FakeTransport
    received: list[BackendsHeard] = attrs.Factory(list)

    async def greet(self, control_id: str, **fields: object) -> EntryWelcome:
        """Send a hello and return the answer."""
        summary = EntrySummary("e", "a", 1.0, 0.0)
        hello = attrs.evolve(EntryHello(summary, needs_backends=False), **fields)
        welcome = await self.entry.request(control_id, hello, timeout_s=1.0)
        assert isinstance(welcome, EntryWelcome)
        return welcome


class CountingRoster(Roster):
    """Counts the announcements that it gets, repeated ones included."""

    received = 0

    def update(self, message: BackendsHeard) -> None:
        """Count the announcements and process the message."""
        self.received += len(message.heard)
        super().update(message)


def run_with_relays(check: Callable[[Relays], Awaitable[None]]) -> None:
    async def run() -> None:
        async with anyio.create_task_group() as group, AsyncExitStack() as stack:
            timers = await stack.enter_async_context(TimerService())
            network = FakeNetwork(group)
            relay_by_id = {
                key: await stack.enter_async_context(
                    AnnouncementRelay(
                        own_id=key,
                        transport=FakeTransport(network, key),
                        timers=timers,
                        control_ids=lambda: CONTROL_IDS,
                        config_version=lambda: 7,
                    )
                )
                for key in CONTROL_IDS
            }
            relays = Relays(relay_by_id, FakeTransport(network, "e"))

            def receive(_: object, message: object) -> None:
                assert isinstance(message, BackendsHeard)
                relays.received.append(message)

            relays.entry.handlers_by_type[BackendsHeard] = receive
            await check(relays)
            group.cancel_scope.cancel()

    run_on_virtual_time(run)


def announcement(sequence: int, *, leaving: bool = False, born_ms: int = 5) -> PoolBackend:
    return attrs.evolve(
        make_announcement("w1"), sequence=sequence, leaving=leaving, born_ms=born_ms
    )


def test_a_backend_server_that_has_left_is_named_by_no_control_process():
    """Guards against starts on a server that had left, after an entry process was restarted."""

    async def check(relays: Relays) -> None:
        first, second = relays.relay_by_id.values()
        first.announce(announcement(1))
        second.announce(announcement(2))
        await anyio.sleep(0.2)
        first.unregister("w1")
        await anyio.sleep(0.2)
        assert (await relays.greet("c2")).backends == []

    run_with_relays(check)


def test_a_backend_server_that_is_leaving_is_so_at_every_control_process():
    """Guards against new starts on a leaving server, after an entry process was restarted."""

    async def check(relays: Relays) -> None:
        first, second = relays.relay_by_id.values()
        second.announce(announcement(1))
        await anyio.sleep(0.2)
        first.announce(announcement(2, leaving=True))
        await anyio.sleep(0.2)
        assert [item.leaving for item in (await relays.greet("c2")).backends] == [True]

    run_with_relays(check)


def test_repeated_announcements_are_relayed_as_ids_and_seldom():
    """Guards against a message to each of hundreds of processes for every announcement."""

    async def check(relays: Relays) -> None:
        await relays.greet("c1")
        for sequence in range(1, 41):
            relays.relay_by_id["c1"].announce(announcement(sequence))
            await anyio.sleep(0.15)
        assert sum(len(message.heard) for message in relays.received) == 1
        assert sum(message.repeated == ["w1"] for message in relays.received) >= 1
        assert len(relays.received) <= 1 + 6.0 / REPEATED_RELAY_PERIOD_S

    run_with_relays(check)


def test_repeated_announcements_of_watched_domains_are_relayed_with_little_delay():
    """Guards against a holder that takes a failure domain which it reaches for a lost one."""

    async def check(relays: Relays) -> None:
        await relays.greet("c1", watched_domains=["a"])
        for sequence in range(1, 11):
            relays.relay_by_id["c1"].announce(announcement(sequence))
            await anyio.sleep(0.3)
        assert sum(message.repeated == ["w1"] for message in relays.received) >= 8

    run_with_relays(check)


def test_the_list_of_processes_is_sent_only_when_it_has_changed():
    """Guards against lists of hundreds of processes with every answer."""

    async def check(relays: Relays) -> None:
        welcome = await relays.greet("c1")
        assert welcome.entries is not None
        again = await relays.greet("c1", list_digest=welcome.list_digest)
        assert again.entries is None
        draining = EntrySummary("e", "a", 1.0, 0.0, draining=True, revision=1)
        changed = await relays.greet("c1", list_digest=welcome.list_digest, summary=draining)
        assert changed.entries == [draining]

    run_with_relays(check)


def test_a_process_that_accepts_changes_is_sent_those_of_the_list():
    """Guards against lists of hundreds of processes for each process that starts or ends."""

    async def check(relays: Relays) -> None:
        second = FakeTransport(relays.entry._network, "e2")
        hello = EntryHello(EntrySummary("e2", "a", 1.0, 0.0), needs_backends=False)
        await second.request("c1", hello, timeout_s=1.0)
        welcome = await relays.greet("c1", accepts_changes=True)
        assert len(welcome.entries or ()) == 2
        draining = EntrySummary("e", "a", 1.0, 0.0, draining=True, revision=1)
        changed = await relays.greet(
            "c1", list_digest=welcome.list_digest, summary=draining, accepts_changes=True
        )
        assert changed.entries is None
        assert changed.changes is not None
        assert changed.changes.base_digest == welcome.list_digest
        assert (changed.changes.changed, changed.changes.removed) == ([draining], [])

    run_with_relays(check)


def test_a_process_that_starts_fetches_the_announcements_from_one_control_process():
    """Guards against all announcements from each control process to each process that starts."""

    async def check(relays: Relays) -> None:
        for number in range(20):
            for sequence, relay in enumerate(relays.relay_by_id.values()):
                relay.announce(attrs.evolve(announcement(sequence + 1), backend_id=f"w{number}"))
        await anyio.sleep(0.2)
        async with TimerService() as timers:
            roster = CountingRoster(now=timers.now)
            discovery = Discovery(
                summary=EntrySummary("e", "a", 1.0, 0.0),
                seeds=lambda: CONTROL_IDS,
                transport=relays.entry,
                address_of=str,
                timers=timers,
                roster=roster,
            )

            def receive(_: object, message: object) -> None:
                assert isinstance(message, BackendsHeard)
                roster.update(message)
                if roster.take_missing():
                    discovery.request_backends()

            relays.entry.handlers_by_type[BackendsHeard] = receive
            async with discovery:
                await anyio.sleep(0.5)
            assert roster.received == len(roster.announcement_by_id) == 20

    run_with_relays(check)


def test_a_late_announcement_does_not_bring_back_an_incarnation_that_has_left():
    """Guards against a heartbeat, delayed by a partition, of a server that has left or crashed."""
    roster = Roster(now=lambda: 0.0)
    roster.update(BackendsHeard([announcement(3)]))
    roster.update(BackendsHeard([], ["w1"]))
    roster.update(BackendsHeard([announcement(9)]))
    assert not roster.announcement_by_id
    roster.update(BackendsHeard([announcement(1, born_ms=6)]))
    assert roster.announcement_by_id["w1"].born_ms == 6


def test_an_unreachable_backend_server_returns_with_its_next_announcement():
    """Guards against a server that stays unused after it was only cut off for a while."""
    now = 0.0
    roster = Roster(now=lambda: now)
    roster.update(BackendsHeard([announcement(3)]))
    now = UNREACHABLE_TIMEOUT_S + 1
    assert roster.remove_unreachable() == ["w1"]
    roster.update(BackendsHeard([announcement(2)]))
    assert not roster.announcement_by_id
    roster.update(BackendsHeard([announcement(4)]))
    assert roster.announcement_by_id


def test_a_removal_is_forgotten_after_a_while():
    """Guards against a table of removed servers that grows for ever."""
    now = 0.0
    roster = Roster(now=lambda: now)
    roster.update(BackendsHeard([announcement(3)]))
    roster.update(BackendsHeard([], ["w1"]))
    now = REMOVED_RETENTION_S + 1
    roster.remove_unreachable()
    roster.update(BackendsHeard([announcement(1)]))
    assert roster.announcement_by_id


def test_an_unknown_repeated_announcement_is_reported_once():
    """Guards against a server that stays unknown because its only full announcement was lost."""
    roster = Roster(now=lambda: 0.0)
    roster.update(BackendsHeard([], [], ["w1"]))
    assert roster.take_missing()
    assert not roster.take_missing()


def welcome(digest: int, entries: list[EntrySummary] | None) -> EntryWelcome:
    return EntryWelcome(["c1"], digest, entries, [])


def test_lists_are_kept_when_all_control_processes_are_lost():
    """Guards against entry processes that lose each other together with the core."""
    now = 0.0
    directory = EntryDirectory(now=lambda: now)
    directory.update("c1", welcome(7, [EntrySummary("e", "a", 1.0, 0.0)]))
    now = 10 * LIST_EXPIRY_S
    assert list(directory.summary_by_entry) == ["e"]
    assert directory.digest("c1") == 7


def test_the_list_of_a_silent_control_process_expires_while_another_answers():
    """Guards against candidates for claims that have long been replaced."""
    now = 0.0
    directory = EntryDirectory(now=lambda: now)
    directory.update("c1", welcome(7, [EntrySummary("old", "a", 1.0, 0.0)]))
    now = LIST_EXPIRY_S + 1
    directory.update("c2", welcome(8, [EntrySummary("new", "a", 1.0, 0.0)]))
    assert list(directory.summary_by_entry) == ["new"]


def test_a_control_process_that_was_restarted_hides_no_entry_processes():
    """Guards against holders that stop their statuses to others after a restart of the core."""
    now, old, new = 0.0, EntrySummary("old", "a", 1.0, 0.0), EntrySummary("new", "a", 1.0, 0.0)
    directory = EntryDirectory(now=lambda: now)
    for control_id in ("c1", "c2", "c3"):
        directory.update(control_id, welcome(7, [old]))
    now = 2 * LIST_EXPIRY_S
    for control_id in ("c1", "c2"):
        directory.update(control_id, attrs.evolve(welcome(8, [new]), listening_s=0.1))
        assert sorted(directory.summary_by_entry) == ["new", "old"]
    revision = directory.revision
    directory.update("c1", attrs.evolve(welcome(8, None), listening_s=4.0))
    assert directory.revision == revision
    # Lists are complete by then, and say that the old process is gone.
    for control_id in ("c1", "c2"):
        directory.update(control_id, attrs.evolve(welcome(8, None), listening_s=COMPLETE_AFTER_S))
    assert sorted(directory.summary_by_entry) == ["new"]


def test_a_restarted_control_process_brings_no_ended_processes_back():
    """Guards against candidates for claims that have ended while the control process was down."""
    now, ended, new = 0.0, EntrySummary("old", "a", 1.0, 0.0), EntrySummary("new", "a", 1.0, 0.0)
    directory = EntryDirectory(now=lambda: now)
    directory.update("c1", welcome(7, [ended]))
    now = LIST_EXPIRY_S - 1
    directory.update("c2", welcome(8, [new]))
    directory.update("c1", attrs.evolve(welcome(9, []), listening_s=0.1))
    assert sorted(directory.summary_by_entry) == ["new"]


def test_the_newer_of_two_summaries_counts():
    """Guards against a draining process that a slower control process lists as available."""
    directory = EntryDirectory(now=lambda: 0.0)
    draining = EntrySummary("e", "a", 1.0, 5.0, draining=True, revision=1)
    directory.update("c1", welcome(7, [draining]))
    directory.update("c2", welcome(8, [EntrySummary("e", "a", 1.0, 5.0)]))
    assert directory.summary_by_entry["e"].draining
    directory.update("c2", welcome(9, [EntrySummary("e", "a", 1.0, 6.0)]))
    assert not directory.summary_by_entry["e"].draining


def test_a_control_process_names_the_version_of_its_configuration():
    """Guards against a process that polls one silent control process and hears of no change."""

    async def check(relays: Relays) -> None:
        async with TimerService() as timers:
            discovery = Discovery(
                summary=EntrySummary("e", "a", 1.0, 0.0),
                seeds=lambda: CONTROL_IDS,
                transport=relays.entry,
                address_of=str,
                timers=timers,
                roster=Roster(now=timers.now),
            )
            versions: list[int] = []
            discovery.on_config_version = versions.append
            async with discovery:
                await anyio.sleep(0.1)
            assert set(versions) == {7}

    run_with_relays(check)
