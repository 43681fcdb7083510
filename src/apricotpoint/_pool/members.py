"""Discovery and liveness of the control and entry processes, as seen by one entry process."""

from __future__ import annotations

from collections.abc import Callable, Collection
from types import TracebackType
from typing import Protocol

import anyio
import anyio.abc
import logbook

from apricotpoint._core.timers import PeriodicTimer, TimerService
from apricotpoint._link.transport import PeerUnreachable, Sender, Transport
from apricotpoint._pool.roster import Roster
from apricotpoint._wire.pool import BackendsHeard, EntryHello, EntryStatus, EntryWelcome

# Period of the status that every entry process sends to all others, also as a heartbeat.
STATUS_PERIOD_S = 0.2
# The own status, which is read for each job that is routed, is cached for this time.
OWN_STATUS_MAX_AGE_S = 0.1
# An entry process is live if its last status is not older than this.
LIVENESS_TIMEOUT_S = 1.0
# Period and time-out of the `EntryHello` requests to the control processes.
HELLO_PERIOD_S = 1.0
HELLO_TIMEOUT_S = 0.8
# Period of these requests until the first one is answered.
INITIAL_HELLO_PERIOD_S = 0.15
# An entry process without contact for this long is removed.
ENTRY_EXPIRY_S = 30.0

_log = logbook.Logger("members")


class DynamicTransport(Transport, Protocol):
    """A transport to which peers can be added and removed."""

    def add_peer(self, peer_id: str, address: str) -> None:
        """Open a link to a peer; does nothing if there is one already."""

    def remove_peer(self, peer_id: str) -> None:
        """Close the link to a peer; does nothing if there is none."""


class EntryMembers:
    """Discovers control and entry processes and keeps the last status of each entry process.

    Use it as an async context manager. `seeds` returns the ids of the control processes to ask
    first. Each control process that answers names all control and entry processes that it knows.
    They are kept, so that the entry processes still find each other when all control processes
    become unreachable later. `first_welcome_at` is the monotonic time of the first such answer,
    None before it. `speed_by_backend` has the learned speeds that other processes report.
    """

    def __init__(
        self,
        *,
        entry_id: str,
        failure_domain: str,
        seeds: Callable[[], Collection[str]],
        transport: DynamicTransport,
        address_of: Callable[[str], str],
        timers: TimerService,
        roster: Roster,
        make_status: Callable[[], EntryStatus],
    ) -> None:
        self.entry_id = entry_id
        self._failure_domain = failure_domain
        self._seeds = seeds
        self._transport = transport
        self._address_of = address_of
        self._timers = timers
        self._roster = roster
        self._make_status = make_status
        self._control_ids: set[str] = set()
        self._status_by_entry: dict[str, EntryStatus] = {}
        self._last_contact_at_by_entry: dict[str, float] = {}
        self._status: EntryStatus | None = None
        self._status_at = 0.0
        self._previously_live: set[str] = set()
        self.first_welcome_at: float | None = None
        self.speed_by_backend: dict[str, float] = {}
        self._subscription: PeriodicTimer | None = None
        self._group: anyio.abc.TaskGroup | None = None

    async def __aenter__(self) -> EntryMembers:
        self._transport.handlers_by_type[EntryStatus] = self._on_status
        self._transport.handlers_by_type[BackendsHeard] = self._on_announcements
        self._subscription = self._timers.every(STATUS_PERIOD_S, self.send_status)
        self._group = anyio.create_task_group()
        await self._group.__aenter__()
        self._group.start_soon(self._hello_loop)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool | None:
        assert self._group is not None
        if self._subscription:
            self._subscription.cancel()
        self._group.cancel_scope.cancel()
        return await self._group.__aexit__(exc_type, exc, traceback)

    def control_ids(self) -> list[str]:
        """Return the ids of the known control processes, those of the seeds included."""
        return sorted(self._control_ids | set(self._seeds()))

    def live_entries(self) -> dict[str, EntryStatus]:
        """Return the status of all live entry processes by id, this one included."""
        now = self._timers.now()
        live = {
            entry_id: status
            for entry_id, status in self._status_by_entry.items()
            if now - self._last_contact_at_by_entry[entry_id] <= LIVENESS_TIMEOUT_S
        }
        live[self.entry_id] = self._own_status()
        return live

    def _own_status(self) -> EntryStatus:
        now = self._timers.now()
        if self._status is None or now - self._status_at > OWN_STATUS_MAX_AGE_S:
            self._status, self._status_at = self._make_status(), now
        return self._status

    def seconds_since_contact(self, entry_id: str) -> float:
        """Return the seconds since the last status of an entry process, which must be known."""
        return self._timers.now() - self._last_contact_at_by_entry[entry_id]

    def has_live_peers(self) -> bool:
        """Return whether another entry process is live, or none was ever known."""
        return len(self.live_entries()) > 1 or not self._status_by_entry

    def send_status(self) -> None:
        """Send a new status to all entry processes, and remove those without contact for long."""
        self._status = None
        status = self._own_status()
        for entry_id in list(self._last_contact_at_by_entry):
            self._transport.send(entry_id, status)
        self._update_live_entries()
        now = self._timers.now()
        for entry_id, last_contact_at in list(self._last_contact_at_by_entry.items()):
            if now - last_contact_at > ENTRY_EXPIRY_S:
                del self._last_contact_at_by_entry[entry_id]
                self._status_by_entry.pop(entry_id, None)
                self._transport.remove_peer(entry_id)

    def _update_live_entries(self) -> None:
        live = set(self.live_entries()) - {self.entry_id}
        for entry_id in sorted(live - self._previously_live):
            _log.info("entry process {} is live", entry_id)
        for entry_id in sorted(self._previously_live - live):
            _log.warning(
                "entry process {} is unreachable: no status within {} s",
                entry_id,
                LIVENESS_TIMEOUT_S,
            )
        self._previously_live = live
        known = self._roster.announcement_by_id
        self.speed_by_backend = {
            key: speed for key, speed in self.speed_by_backend.items() if key in known
        }

    def _on_status(self, sender: Sender, message: object) -> None:
        assert isinstance(message, EntryStatus)
        self._status_by_entry[sender.peer_id] = message
        self.speed_by_backend.update(message.speed_by_backend)
        self._last_contact_at_by_entry[sender.peer_id] = self._timers.now() - sender.age_s

    def _on_announcements(self, _: Sender, message: object) -> None:
        assert isinstance(message, BackendsHeard)
        self._roster.update(message)

    async def _hello_loop(self) -> None:
        while True:
            async with anyio.create_task_group() as group:
                for control_id in self.control_ids():
                    self._transport.add_peer(control_id, self._address_of(control_id))
                    group.start_soon(self._send_hello, control_id)
                if self.first_welcome_at is None:
                    # One answer is enough to start with; the slower ones are not waited for.
                    await self._timers.sleep(INITIAL_HELLO_PERIOD_S)
                    group.cancel_scope.cancel()
            await self._timers.sleep(
                HELLO_PERIOD_S if self.first_welcome_at else INITIAL_HELLO_PERIOD_S
            )

    async def _send_hello(self, control_id: str) -> None:
        try:
            welcome = await self._transport.request(
                control_id, EntryHello(self._failure_domain), timeout_s=HELLO_TIMEOUT_S
            )
        except PeerUnreachable:
            return
        assert isinstance(welcome, EntryWelcome)
        if self.first_welcome_at is None:
            self.first_welcome_at = self._timers.now()
        self._control_ids |= set(welcome.control_ids)
        self._roster.update(BackendsHeard(welcome.backends))
        for entry_id in welcome.domain_by_entry:
            if entry_id != self.entry_id and entry_id not in self._last_contact_at_by_entry:
                self._transport.add_peer(entry_id, self._address_of(entry_id))
                self._last_contact_at_by_entry[entry_id] = (
                    self._timers.now() - LIVENESS_TIMEOUT_S - STATUS_PERIOD_S
                )
                self._transport.send(entry_id, self._make_status())
