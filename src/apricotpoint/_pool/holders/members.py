"""Statuses and liveness of the other entry processes, as seen by one entry process."""

from __future__ import annotations

import random as random_module
from collections.abc import Callable, Mapping
from types import TracebackType

import anyio
import anyio.abc
import attrs
import logbook

from apricotpoint._core.timers import PeriodicTimer, TimerService
from apricotpoint._link.transport import PeerUnreachable, Sender
from apricotpoint._pool.decisions.shares import domain_of
from apricotpoint._pool.holders.discovery import Discovery
from apricotpoint._pool.holders.roster import Roster
from apricotpoint._pool.transport import DynamicTransport
from apricotpoint._wire.pool import (
    BackendsHeard,
    EntryProbe,
    EntryStatus,
    EntrySummary,
)

# Period of the status that a holder sends, also as a heartbeat.
STATUS_PERIOD_S = 0.2
# Learned speeds are sent with one status in so many, because they change slowly.
SPEEDS_EVERY_STATUSES = 5
# The own status, which is read for each job that is routed, is cached for this time.
OWN_STATUS_MAX_AGE_S = 0.1
# Processes that have no share in the failure domains of a holder get one status in so many.
DISTANT_EVERY_STATUSES = 3
# A holder is live if its last status is not older than this; the second figure is for a holder
# without a claim in the own failure domain, which sends its status less often.
LIVENESS_TIMEOUT_S, DISTANT_LIVENESS_TIMEOUT_S = 1.0, 1.6
# Time after a process has become a holder until all others send their status to it: they learn of
# it within a second, and distant holders send a status each 0.6 s.
HOLDER_OBSERVATION_S = 1.8
# A holder without contact for this long is asked for its status over new connections, because a
# connection may go silent while its process is well.
SUSPICION_TIMEOUT_S, DISTANT_SUSPICION_TIMEOUT_S = 0.5, 1.0
# Shortest time between two rounds of probes, and their time-out.
PROBE_PERIOD_S = 0.2
PROBE_TIMEOUT_S = 0.5
# Number of other entry processes that are probed for contact with anyone.
PROBED_PEERS = 2
# An entry process without contact for this long is removed.
ENTRY_EXPIRY_S = 30.0

_log = logbook.Logger("members")


def holds_in_domain(status: EntryStatus, domain: str) -> bool:
    """Return whether a process claims a part of a failure domain."""
    return any(domain_of(part) == domain for part in status.term_by_claim)


class EntryMembers:
    """Sends the status of one entry process and keeps the last status of each holder.

    Use it as an async context manager. Only holders send their status, to the processes in
    `audience_domains` and to the other holders; all others are known by the summaries that
    `discovery` has. Holders in `shared_domains`, those of the shares of the own failure domain,
    are asked for their status when they become known. Processes in `evacuated_domains` get the
    status of each holder. `last_contact_at` is the time of the last
    message from any process, None before it, and `holder_since` the time since which this process
    is a holder. `speed_by_backend` has the learned speeds that
    other processes report.
    """

    def __init__(
        self,
        *,
        discovery: Discovery,
        transport: DynamicTransport,
        address_of: Callable[[str], str],
        timers: TimerService,
        roster: Roster,
        random: random_module.Random,
        make_status: Callable[[], EntryStatus],
    ) -> None:
        self.discovery = discovery
        self.entry_id = discovery.summary.entry_id
        self.audience_domains: frozenset[str] = frozenset()
        self.shared_domains: frozenset[str] = frozenset()
        self.evacuated_domains: frozenset[str] = frozenset()
        self.last_contact_at: float | None = None
        self.holder_since: float | None = None
        self.speed_by_backend: dict[str, float] = {}
        self._transport = transport
        self._address_of = address_of
        self._timers = timers
        self._roster = roster
        self._random = random
        self._make_status = make_status
        self._status_by_entry: dict[str, EntryStatus] = {}
        self._last_contact_at_by_entry: dict[str, float] = {}
        self._suspected: set[str] = set()
        self._newcomers: set[str] = set()
        self._probed_at = float("-inf")
        self._status: EntryStatus | None = None
        self._status_at = 0.0
        self._status_count = 0
        # What the last status said that must reach everyone at once when it changes.
        self._sent_state: object = None
        self._previously_live: set[str] = set()
        self._subscription: PeriodicTimer | None = None
        self._group: anyio.abc.TaskGroup | None = None

    async def __aenter__(self) -> EntryMembers:
        self._transport.handlers_by_type[EntryStatus] = self._on_status
        self._transport.handlers_by_type[BackendsHeard] = self._on_announcements
        self._transport.request_handlers_by_type[EntryProbe] = self._on_probe
        self._subscription = self._timers.every(STATUS_PERIOD_S, self.send_status)
        self._group = anyio.create_task_group()
        await self._group.__aenter__()
        self.discovery.on_welcome = self._on_welcome
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

    def summaries(self) -> dict[str, EntrySummary]:
        """Return the summaries of all known entry processes by id, this one included."""
        return {**self.discovery.directory.summary_by_entry, self.entry_id: self.discovery.summary}

    def available_summaries(self) -> dict[str, EntrySummary]:
        """Return the summaries of all known entry processes without holders that are silent."""
        available = self.summaries()
        for entry_id, status in self._status_by_entry.items():
            summary = available.get(entry_id)
            if (
                summary is not None
                and (status.term_by_claim or status.held)
                and summary.started_at <= status.started_at
                and self._expects_status(status)
                and self.seconds_since_contact(entry_id) > self._liveness_timeout_s(status)
            ):
                del available[entry_id]
        return available

    def live_entries(self) -> dict[str, EntryStatus]:
        """Return the last status of all live holders by id, and that of this process."""
        now = self._timers.now()
        live = {
            entry_id: status
            for entry_id, status in self._status_by_entry.items()
            if now - self._last_contact_at_by_entry[entry_id] <= self._liveness_timeout_s(status)
        }
        live[self.entry_id] = self._own_status()
        return live

    def known_statuses(self) -> list[EntryStatus]:
        """Return the last status of each holder of the last `ENTRY_EXPIRY_S`, live or not."""
        return [*self._status_by_entry.values(), self._own_status()]

    def _own_status(self) -> EntryStatus:
        now = self._timers.now()
        if self._status is None or now - self._status_at > OWN_STATUS_MAX_AGE_S:
            self._status, self._status_at = self._make_status(), now
        return self._status

    def _is_near(self, status: EntryStatus) -> bool:
        return holds_in_domain(status, self.discovery.summary.failure_domain)

    def _expects_status(self, status: EntryStatus) -> bool:
        """Return whether the silence of a holder shows anything.

        Distant holders send their status only to holders, and to others by chance.
        """
        if self._is_near(status):
            return True
        since = self.holder_since
        return since is not None and self._timers.now() - since >= HOLDER_OBSERVATION_S

    def _liveness_timeout_s(self, status: EntryStatus) -> float:
        return LIVENESS_TIMEOUT_S if self._is_near(status) else DISTANT_LIVENESS_TIMEOUT_S

    def location_of(self, backend_id: str) -> str:
        """Return the announced location of a backend server, empty if it is not known."""
        announcement = self._roster.announcement_by_id.get(backend_id)
        return "" if announcement is None else announcement.location

    def seconds_since_contact(self, entry_id: str) -> float:
        """Return the seconds since the last status of a process, infinity if there was none."""
        return self._timers.now() - self._last_contact_at_by_entry.get(entry_id, float("-inf"))

    def contact_at_by_entry(self) -> Mapping[str, float]:
        """Return the monotonic time of the last status of each process that has sent one."""
        return self._last_contact_at_by_entry

    def open_link(self, entry_id: str) -> None:
        """Make sure that messages can be sent to an entry process."""
        self._transport.add_peer(entry_id, self._address_of(entry_id))

    def send_status(self) -> None:
        """Send a new status to all processes that need it, and probe holders that are silent."""
        self._status = None
        status = self._own_status()
        self._update_summary(status)
        if self.discovery.summary.is_holder:
            self._status_count += 1
            if self._status_count % SPEEDS_EVERY_STATUSES:
                status = attrs.evolve(status, speed_by_backend={})
            for entry_id in self._audience(status):
                self.open_link(entry_id)
                self._transport.send(entry_id, status)
        self._update_live_entries()
        self._probe_silent_holders()
        self._remove_expired()
        self.discovery.greet_new_control_processes()

    def probe(self) -> None:
        """Ask control processes and some entry processes for an answer, as a sign of contact."""
        now = self._timers.now()
        if now - self._probed_at < PROBE_PERIOD_S:
            return
        self._probed_at = now
        self.discovery.request_hello()
        others = sorted(set(self.summaries()) - {self.entry_id})
        for entry_id in self._random.sample(others, min(PROBED_PEERS, len(others))):
            self._start_probe(entry_id)

    def _audience(self, status: EntryStatus) -> set[str]:
        """Return the processes that need this status now.

        A changed status goes to all; of the others, distant holders get only some.
        """
        state = (status.draining, status.term_by_claim, status.held)
        is_for_all = state != self._sent_state or not self._status_count % DISTANT_EVERY_STATUSES
        self._sent_state = state
        domains = self.audience_domains | self.evacuated_domains
        audience = {
            entry_id
            for entry_id, summary in self.discovery.directory.summary_by_entry.items()
            if summary.failure_domain in domains or (summary.is_holder and is_for_all)
        }
        if is_for_all:
            audience |= self._previously_live
        self._newcomers -= self.discovery.directory.summary_by_entry.keys()
        audience |= self._newcomers
        return audience - {self.entry_id}

    def _update_summary(self, status: EntryStatus) -> None:
        known, is_holder = self.discovery.summary, bool(status.term_by_claim or status.held)
        if not is_holder:
            self.holder_since = None
        elif self.holder_since is None:
            self.holder_since = self._timers.now()
        if (known.is_holder, known.draining) == (is_holder, status.draining):
            return
        self.discovery.summary = attrs.evolve(
            known, is_holder=is_holder, draining=status.draining, revision=known.revision + 1
        )
        if known.is_holder and not is_holder:
            # The last status tells that all backend servers are released.
            for entry_id in self._audience(status):
                self._transport.send(entry_id, status)
        self.discovery.request_hello()

    def _update_live_entries(self) -> None:
        """Log changes of liveness, and drop the speeds of backend servers that are not known."""
        live = set(self.live_entries()) - {self.entry_id}
        for entry_id in sorted(live - self._previously_live):
            _log.info("entry process {} is live", entry_id)
        for entry_id in sorted(self._previously_live - live):
            status = self._status_by_entry.get(entry_id)
            if status is not None and (status.term_by_claim or status.held):
                _log.warning(
                    "entry process {} is unreachable: no status within {} s",
                    entry_id,
                    self._liveness_timeout_s(status),
                )
        self._previously_live = live
        known = self._roster.announcement_by_id
        self.speed_by_backend = {
            key: speed for key, speed in self.speed_by_backend.items() if key in known
        }

    def _probe_silent_holders(self) -> None:
        for entry_id, status in self._status_by_entry.items():
            silent_s = self.seconds_since_contact(entry_id)
            is_holder = bool(status.term_by_claim or status.held)
            if not self._is_near(status) and not self.discovery.summary.is_holder:
                # It sends its status to this process only by chance.
                continue
            after_s = SUSPICION_TIMEOUT_S if self._is_near(status) else DISTANT_SUSPICION_TIMEOUT_S
            if not is_holder or not after_s < silent_s <= 2 * self._liveness_timeout_s(status):
                self._suspected.discard(entry_id)
                continue
            if entry_id not in self._suspected:
                self._suspected.add(entry_id)
                self._transport.replace_connections(entry_id)
            self._start_probe(entry_id)
            self.probe()

    def _on_welcome(self) -> None:
        self.last_contact_at = self._timers.now()
        self._probe_unknown_holders()

    def _probe_unknown_holders(self) -> None:
        """Ask holders of which no status was received yet; they may not know this process."""
        for entry_id, summary in self.discovery.directory.summary_by_entry.items():
            is_unknown = entry_id not in self._status_by_entry and entry_id != self.entry_id
            is_near = summary.failure_domain in self.shared_domains
            if is_unknown and is_near and summary.is_holder:
                self._start_probe(entry_id)

    def _start_probe(self, entry_id: str) -> None:
        assert self._group is not None
        self.open_link(entry_id)
        self._group.start_soon(self._send_probe, entry_id)

    async def _send_probe(self, entry_id: str) -> None:
        try:
            status = await self._transport.request(
                entry_id, EntryProbe(), timeout_s=PROBE_TIMEOUT_S
            )
        except PeerUnreachable:
            return
        if not isinstance(status, EntryStatus):
            _log.warning("entry process {} answered a probe by {}", entry_id, type(status).__name__)
            return
        self._record_status(entry_id, status, self._timers.now())

    async def _on_probe(self, sender: Sender, message: object) -> object:
        assert isinstance(message, EntryProbe)
        if sender.peer_id not in self.discovery.directory.summary_by_entry:
            # It has just started; until it is listed here, it gets each status because of this.
            self._newcomers.add(sender.peer_id)
        return self._own_status()

    def _remove_expired(self) -> None:
        now = self._timers.now()
        for entry_id, last_contact_at in list(self._last_contact_at_by_entry.items()):
            if now - last_contact_at > ENTRY_EXPIRY_S:
                del self._last_contact_at_by_entry[entry_id]
                self._status_by_entry.pop(entry_id, None)
                self._suspected.discard(entry_id)
                if entry_id not in self.discovery.directory.summary_by_entry:
                    self._transport.remove_peer(entry_id)

    def _record_status(self, entry_id: str, status: EntryStatus, received_at: float) -> None:
        self._status_by_entry[entry_id] = status
        self.speed_by_backend.update(status.speed_by_backend)
        self._last_contact_at_by_entry[entry_id] = received_at
        self.last_contact_at = self._timers.now()

    def _on_status(self, sender: Sender, message: object) -> None:
        assert isinstance(message, EntryStatus)
        self._record_status(sender.peer_id, message, self._timers.now() - sender.age_s)

    def _on_announcements(self, _: Sender, message: object) -> None:
        assert isinstance(message, BackendsHeard)
        self._roster.update(message)
        if self._roster.take_missing():
            self.discovery.request_backends()
