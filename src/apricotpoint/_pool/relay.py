"""Forwards announcements of backend servers from a control process to all entry processes."""

from __future__ import annotations

from collections.abc import Callable, Collection
from types import TracebackType

from apricotpoint._core.timers import PeriodicTimer, TimerService
from apricotpoint._link.transport import Sender, Transport
from apricotpoint._pool.roster import Roster
from apricotpoint._wire.pool import BackendsHeard, EntryHello, EntryWelcome, PoolBackend

# Announcements that arrive within this period are forwarded in one message.
RELAY_PERIOD_S = 0.05
# An entry process that has not sent `EntryHello` for this long gets no announcements.
ENTRY_TIMEOUT_S = 5.0


class AnnouncementRelay:
    """Collects announcements at one control process and forwards them to the entry processes.

    Use it as an async context manager. It also answers `EntryHello`, by which entry processes
    make themselves known and learn of each other. `control_ids` returns the ids of all control
    processes known here.
    """

    def __init__(
        self,
        *,
        transport: Transport,
        timers: TimerService,
        control_ids: Callable[[], Collection[str]],
    ) -> None:
        self._transport = transport
        self._timers = timers
        self._control_ids = control_ids
        self._roster = Roster(now=timers.now)
        self._pending_by_id: dict[str, PoolBackend] = {}
        self._unregistered: set[str] = set()
        self._entry_by_id: dict[str, tuple[float, str]] = {}
        self._subscription: PeriodicTimer | None = None

    async def __aenter__(self) -> AnnouncementRelay:
        self._transport.request_handlers_by_type[EntryHello] = self._on_hello
        self._subscription = self._timers.every(RELAY_PERIOD_S, self._flush)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._subscription:
            self._subscription.cancel()
        self._transport.request_handlers_by_type.pop(EntryHello, None)

    def announce(self, announcement: PoolBackend) -> None:
        """Accept an announcement and forward it with the next message."""
        self._roster.update(BackendsHeard([announcement]))
        self._pending_by_id[announcement.backend_id] = announcement

    def unregister(self, backend_id: str) -> None:
        """Remove a backend server that is shutting down, and tell the entry processes."""
        self._roster.update(BackendsHeard([], [backend_id]))
        self._pending_by_id.pop(backend_id, None)
        self._unregistered.add(backend_id)

    def _live_entries(self) -> dict[str, str]:
        now = self._timers.now()
        return {
            entry_id: domain
            for entry_id, (last_contact_at, domain) in self._entry_by_id.items()
            if now - last_contact_at <= ENTRY_TIMEOUT_S
        }

    def _flush(self) -> None:
        self._roster.remove_unreachable()
        if not self._pending_by_id and not self._unregistered:
            return
        message = BackendsHeard(list(self._pending_by_id.values()), sorted(self._unregistered))
        self._pending_by_id, self._unregistered = {}, set()
        for entry_id in self._live_entries():
            self._transport.send(entry_id, message)

    async def _on_hello(self, sender: Sender, message: object) -> object:
        assert isinstance(message, EntryHello)
        known = sender.peer_id in self._live_entries()
        self._entry_by_id[sender.peer_id] = (self._timers.now(), message.failure_domain)
        return EntryWelcome(
            control_ids=sorted(self._control_ids()),
            domain_by_entry=self._live_entries(),
            # A known entry process has got the earlier announcements and is sent each new one.
            backends=[] if known else list(self._roster.announcement_by_id.values()),
        )
