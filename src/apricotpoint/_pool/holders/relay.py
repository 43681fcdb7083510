"""Forwards announcements of backend servers from a control process to all entry processes."""

from __future__ import annotations

from collections.abc import Callable, Collection
from types import TracebackType

import attrs

from apricotpoint._core.timers import PeriodicTimer, TimerService
from apricotpoint._link.transport import Sender, Transport
from apricotpoint._pool.decisions.verdicts import Evidence
from apricotpoint._pool.holders.crashes import CrashHistory
from apricotpoint._pool.holders.entrylist import EntryList
from apricotpoint._pool.holders.roster import Roster
from apricotpoint._wire.pool import (
    BackendsHeard,
    EntryHello,
    EntryWelcome,
    LostRun,
    LostRunChanges,
    PoolBackend,
)

# New and changed announcements that arrive within this period are forwarded in one message.
RELAY_PERIOD_S = 0.05
# The same for repeated announcements from failure domains that an entry process watches, and
# from all others. They only show that the backend server is still there.
WATCHED_RELAY_PERIOD_S = 0.25
REPEATED_RELAY_PERIOD_S = 3.0
# The list of live entry processes is made anew after this time, or when one of them changes:
# hundreds of processes ask for it.
LIST_MAX_AGE_S = 0.5
CRASH_EXPIRY_PERIOD_S = 1.0
# An entry process that has not sent `EntryHello` for this long gets no announcements.
ENTRY_TIMEOUT_S = 5.0


@attrs.define(eq=False)
class _Entry:
    """An entry process and the repeated announcements that are still to be forwarded to it."""

    hello: EntryHello
    last_contact_at: float
    repeated_due_at: float
    repeated_ids: set[str] = attrs.Factory(set)


class AnnouncementRelay:
    """Collects announcements at one control process and forwards them to the entry processes.

    Use it as an async context manager. It also answers `EntryHello`, by which entry processes
    make themselves known and learn of each other; a hello that is not a request is answered only
    if there is something new. New and changed announcements are shared with the other control
    processes, so that none of them names a backend server that has left. What is known of tasks
    that crash backend servers is kept, and forwarded in the same way.
    `control_ids` returns the ids of all control processes known here, `own_id` is that of this
    one, `config_version` returns the version of the configuration here.
    """

    def __init__(
        self,
        *,
        own_id: str,
        transport: Transport,
        timers: TimerService,
        control_ids: Callable[[], Collection[str]],
        config_version: Callable[[], int] = lambda: 0,
    ) -> None:
        self._own_id = own_id
        self._transport = transport
        self._timers = timers
        self._control_ids = control_ids
        self._config_version = config_version
        self._roster = Roster(now=timers.now)
        self._changed_by_id: dict[str, PoolBackend] = {}
        self._repeated_ids: set[str] = set()
        self._unregistered: set[str] = set()
        self._entry_by_id: dict[str, _Entry] = {}
        self._list = EntryList()
        self._list_made_at = float("-inf")
        self._listening_since = timers.now()
        self._crashes = CrashHistory(now=timers.now)
        self._lost_run_changes: list[LostRunChanges] = []
        self._subscriptions: list[PeriodicTimer] = []
        self._roster.subscribe(self._crashes.process_announcement)
        self._roster.subscribe_unreachable(self._crashes.record_gone)

    async def __aenter__(self) -> AnnouncementRelay:
        self._listening_since = self._timers.now()
        self._transport.request_handlers_by_type[EntryHello] = self._on_hello
        self._transport.handlers_by_type[EntryHello] = self._on_hello_message
        self._transport.handlers_by_type[BackendsHeard] = self._on_announcements
        self._transport.handlers_by_type[LostRunChanges] = self._on_lost_runs
        self._subscriptions = [
            self._timers.every(RELAY_PERIOD_S, self._forward_changes),
            self._timers.every(WATCHED_RELAY_PERIOD_S, self._forward_repetitions),
            self._timers.every(CRASH_EXPIRY_PERIOD_S, self._crashes.expire),
        ]
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for subscription in self._subscriptions:
            subscription.cancel()
        self._transport.request_handlers_by_type.pop(EntryHello, None)
        self._transport.handlers_by_type.pop(EntryHello, None)
        self._transport.handlers_by_type.pop(BackendsHeard, None)
        self._transport.handlers_by_type.pop(LostRunChanges, None)

    def announce(self, announcement: PoolBackend) -> None:
        """Accept an announcement; forward it within `RELAY_PERIOD_S` if it is new or changed."""
        backend_id = announcement.backend_id
        is_repetition = self._roster.is_repetition(announcement)
        self._roster.update(BackendsHeard([announcement]))
        accepted = self._roster.announcement_by_id.get(backend_id)
        if accepted is not announcement:
            return
        if not is_repetition:
            self._changed_by_id[backend_id] = announcement
        elif backend_id not in self._changed_by_id:
            self._repeated_ids.add(backend_id)

    def unregister(self, backend_id: str) -> None:
        """Remove a backend server that is shutting down, and tell the other processes."""
        self._roster.update(BackendsHeard([], [backend_id]))
        self._changed_by_id.pop(backend_id, None)
        self._repeated_ids.discard(backend_id)
        self._unregistered.add(backend_id)

    def _live_entries(self) -> dict[str, _Entry]:
        now = self._timers.now()
        return {
            entry_id: entry
            for entry_id, entry in self._entry_by_id.items()
            if now - entry.last_contact_at <= ENTRY_TIMEOUT_S
        }

    def _forward_changes(self) -> None:
        self._forward_lost_runs()
        self._roster.remove_unreachable()
        if not self._changed_by_id and not self._unregistered:
            return
        message = BackendsHeard(list(self._changed_by_id.values()), sorted(self._unregistered))
        self._changed_by_id, self._unregistered = {}, set()
        others = [key for key in self._control_ids() if key != self._own_id]
        for peer_id in [*self._live_entries(), *others]:
            self._transport.send(peer_id, message)

    def _forward_lost_runs(self) -> None:
        changes, self._lost_run_changes = self._lost_run_changes, []
        if not changes:
            return
        for entry_id in self._live_entries():
            for message in changes:
                self._transport.send(entry_id, message)

    def _forward_repetitions(self) -> None:
        """Forward repeated announcements: at once if watched, else with those of a period."""
        now = self._timers.now()
        domain_by_id = {
            key: self._roster.announcement_by_id[key].failure_domain
            for key in self._repeated_ids
            if key in self._roster.announcement_by_id
        }
        self._repeated_ids = set()
        for entry_id, entry in self._live_entries().items():
            entry.repeated_ids |= domain_by_id.keys()
            if now >= entry.repeated_due_at:
                due = entry.repeated_ids
                entry.repeated_due_at = now + REPEATED_RELAY_PERIOD_S
            else:
                watched = set(entry.hello.watched_domains)
                due = {key for key, domain in domain_by_id.items() if domain in watched}
            if due:
                entry.repeated_ids = entry.repeated_ids - due
                ids = sorted(due & self._roster.announcement_by_id.keys())
                digests = self._roster.digests(ids)
                self._transport.send(entry_id, BackendsHeard([], [], ids, digests))

    def _on_announcements(self, _: Sender, message: object) -> None:
        """Process what another control process forwards."""
        assert isinstance(message, BackendsHeard)
        self._roster.update(message)

    def _on_lost_runs(self, _: Sender, message: object) -> None:
        assert isinstance(message, LostRunChanges)
        self._crashes.merge(message)
        if message.forward:
            self._lost_run_changes.append(attrs.evolve(message, forward=False))

    async def _on_hello(self, sender: Sender, message: object) -> object:
        assert isinstance(message, EntryHello)
        return self._welcome(sender, message)

    def _on_hello_message(self, sender: Sender, message: object) -> None:
        """Process a hello that asks for no answer; send one if it brings something new."""
        assert isinstance(message, EntryHello)
        welcome = self._welcome(sender, message)
        has_list = welcome.entries is not None or welcome.changes is not None
        if has_list or welcome.backends or welcome.lost_runs:
            self._transport.send(sender.peer_id, welcome)

    def _welcome(self, sender: Sender, message: EntryHello) -> EntryWelcome:
        """Record that an entry process is alive and return what it may have missed."""
        now = self._timers.now()
        known = self._entry_by_id.get(sender.peer_id)
        if known is None or now - known.last_contact_at > ENTRY_TIMEOUT_S:
            known = None
            self._entry_by_id[sender.peer_id] = _Entry(message, now, now + REPEATED_RELAY_PERIOD_S)
            self._list_made_at = float("-inf")
        else:
            if known.hello.summary != message.summary:
                self._list_made_at = float("-inf")
            known.hello, known.last_contact_at = message, now
        self._update_list()
        is_changed = self._list.digest != message.list_digest
        changes = None
        if is_changed and message.accepts_changes:
            changes = self._list.changes_since(message.list_digest)
        # A known entry process has got the earlier announcements and is sent each new one.
        needs_backends = message.needs_backends
        if known is None and not needs_backends:
            needs_backends = not message.accepts_changes
            self._name_announcements(sender.peer_id)
        return EntryWelcome(
            control_ids=sorted(self._control_ids()),
            list_digest=self._list.digest,
            entries=self._list.summaries() if is_changed and changes is None else None,
            changes=changes,
            backends=self._roster.current_announcements() if needs_backends else [],
            lost_runs=self._lost_runs_for(message, needs_all=known is None or needs_backends),
            crash_digest=self._crashes.digest(),
            listening_s=now - self._listening_since,
            config_version=self._config_version(),
        )

    def _lost_runs_for(self, hello: EntryHello, *, needs_all: bool) -> list[LostRun]:
        """Return the lost runs that an entry process may have missed."""
        if needs_all:
            return self._crashes.rows()
        digest = self._crashes.digest()
        if None in (digest, hello.crash_digest) or digest == hello.crash_digest:
            return []
        return self._crashes.rows(Evidence.CRASHED)

    def _name_announcements(self, entry_id: str) -> None:
        """Tell a process which announcements there are; it asks one process for what it lacks."""
        ids = sorted(self._roster.announcement_by_id)
        if ids:
            message = BackendsHeard([], [], ids, self._roster.digests(ids))
            self._transport.send(entry_id, message)

    def _update_list(self) -> None:
        now = self._timers.now()
        if now - self._list_made_at > LIST_MAX_AGE_S:
            live = self._live_entries()
            self._list.update({key: entry.hello.summary for key, entry in live.items()})
            self._list_made_at = now
