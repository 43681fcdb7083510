"""Announcements of backend servers: who holds them, and what they say."""

from __future__ import annotations

from collections import deque

from apricotpoint._dispatch.announce import choose_holder
from apricotpoint._dispatch.backend import BackendView
from apricotpoint._dispatch.context import LIVE_S, HolderContext
from apricotpoint._dispatch.lease import TAKEOVER_WAIT_S, Lease
from apricotpoint._dispatch.lost import HANDED_OVER_S
from apricotpoint._dispatch.pause import PauseDetector
from apricotpoint._link.transport import Sender
from apricotpoint._wire.announce import Announced, Announcement, AnnouncementReply, HolderName

ANNOUNCE_PERIOD_S = 0.5
# A new holder is named soon, instead of after another period.
_CHANGED_PERIOD_S = 0.05
_HOLDER_SILENT_S = 2.5
# Load reports contain a promised backend server after at most this time.
_PROMISE_S = 0.5
# A sent task without a lease on its backend server is asked for after this time.
_LEASE_GONE_S = 3.0


class Announcements:
    """Renews leases, names holders and forgets backend servers that are gone."""

    def __init__(self, context: HolderContext, pause: PauseDetector) -> None:
        self._context = context
        self._counters = context.counters
        self._name = context.name
        self._pause = pause
        self._promised: deque[tuple[float, str, int]] = deque()

    def announce(self, announcement: Announcement) -> AnnouncementReply:
        """Handle an announcement that a backend server sent to this process."""
        now = self._context.timers.now()
        self._pause.check(now)
        holder = announcement.holder
        if holder == self._name and not self._context.draining():
            self._hear(announcement)
            return AnnouncementReply(holder, ANNOUNCE_PERIOD_S)
        if holder and holder != self._name:
            self._see_other_holder(announcement)
            if self._is_live(holder, now):
                if not self._context.transport.send(holder.entry_id, Announced(announcement)):
                    self._counters.add("holder.announcements.not_forwarded")
                return AnnouncementReply(holder, ANNOUNCE_PERIOD_S)
        chosen = self._choose(announcement, now)
        if chosen is None or chosen == holder:
            if holder == self._name:
                # No other entry process can take the backend server.
                self._hear(announcement)
            else:
                self._counters.add("holder.announcements.without_holder")
            return AnnouncementReply(holder, ANNOUNCE_PERIOD_S)
        self._counters.add("holder.announcements.holder_chosen")
        view = self._context.view_by_id.get(announcement.backend_id)
        if view and holder == self._name:
            view.handed_over = True
        return AnnouncementReply(chosen, _CHANGED_PERIOD_S)

    def handle(self, sender: Sender, message: object) -> None:
        """Handle an announcement that another entry process forwarded."""
        assert isinstance(message, Announced)
        now = self._context.timers.now()
        self._pause.check(now)
        if message.announcement.holder != self._name:
            self._counters.add("holder.announcements.other_holder")
            return
        if self._context.draining() and self._choose(message.announcement, now):
            # The next announcement is answered with another holder.
            self._counters.add("holder.announcements.draining")
            return
        self._hear(message.announcement)

    def check_leases(self, now: float) -> None:
        """End exchanges without a lease and forget backend servers that are gone."""
        for view in list(self._context.view_by_id.values()):
            gone_s = now - view.lease.expires_at
            if gone_s < _LEASE_GONE_S:
                continue
            if not view.busy_by_start and gone_s > HANDED_OVER_S:
                self._forget(view)
                self._counters.add("holder.backends.forgotten")
            elif view.exchanges and gone_s > (HANDED_OVER_S if view.handed_over else _LEASE_GONE_S):
                self._counters.add("holder.backends.lease_gone")
                for scope in view.exchanges:
                    scope.cancel()

    def _hear(self, announcement: Announcement) -> None:
        now = self._context.timers.now()
        self._counters.add("holder.announcements")
        if now < self._pause.trusts_at:
            self._counters.add("holder.announcements.after_pause")
            return
        known = self._context.view_by_id.get(announcement.backend_id)
        if known and known.announcement.incarnation != announcement.incarnation:
            older = announcement.incarnation < known.announcement.incarnation
            if older and now - known.heard_at < _HOLDER_SILENT_S:
                self._counters.add("holder.announcements.old_incarnation")
                return
            self._forget(known)
            self._counters.add("holder.backends.new_incarnation")
        view = self._context.view_by_id.get(announcement.backend_id)
        is_new = view is None
        if view is None:
            waits_s = TAKEOVER_WAIT_S if announcement.followed else 0.0
            view = BackendView(announcement, Lease(now + waits_s), now)
            if known:
                view.speed = known.speed
        if not view.lease.renew(
            sequence=announcement.sequence,
            clock_s=announcement.clock_s,
            received_at=now,
            replaces=announcement.followed,
            named_since=announcement.holder_since,
        ):
            self._counters.add("holder.announcements.old")
            return
        if is_new:
            self._add_view(view)
        service = self._context.service(announcement.service)
        view.guards = self._context.rules(service.name).guards
        view.blocked = announcement.backend_id in self._context.blocked
        view.handed_over = False
        view.hear(announcement, now)
        if service.queue.count:
            self._context.mark(service)

    def _add_view(self, view: BackendView) -> None:
        said = view.announcement
        # The earlier holder's tasks are those that the usage shows.
        view.foreign = min(said.running, said.slots) if said.followed else 0
        self._context.view_by_id[view.backend_id] = view
        self._context.service(said.service).view_by_id[view.backend_id] = view
        self._counters.add("holder.backends.held")

    def _forget(self, view: BackendView) -> None:
        view.end()
        self._context.view_by_id.pop(view.backend_id, None)
        service = self._context.service(view.announcement.service)
        service.view_by_id.pop(view.backend_id, None)
        self._context.mark(service)

    def _see_other_holder(self, announcement: Announcement) -> None:
        view = self._context.view_by_id.get(announcement.backend_id)
        if view is None or view.announcement.incarnation != announcement.incarnation:
            return
        if announcement.sequence > view.lease.last_sequence and not view.handed_over:
            view.handed_over = True
            view.lease.expires_at = min(view.lease.expires_at, self._context.timers.now())
            self._counters.add("holder.backends.handed_over")

    def _is_live(self, holder: HolderName, now: float) -> bool:
        heard = self._context.cluster.view(holder.entry_id)
        hears_since = self._pause.hears_since
        if heard is None:
            # Just after a start or a pause nobody has been heard yet.
            return now - hears_since < _HOLDER_SILENT_S
        if heard.incarnation != holder.incarnation or heard.report.draining:
            return False
        return min(heard.age_s, now - hears_since) < _HOLDER_SILENT_S

    def _choose(self, announcement: Announcement, now: float) -> HolderName | None:
        configuration = self._context.configuration()
        excluded = {*configuration.drained_vms, *configuration.stopped_vms}
        if self._context.draining():
            excluded.add(self._name.entry_id)
        while self._promised and now - self._promised[0][0] > _PROMISE_S:
            self._promised.popleft()
        promised_slots: dict[str, int] = {}
        for _, entry_id, slots in self._promised:
            promised_slots[entry_id] = promised_slots.get(entry_id, 0) + slots
        chosen = choose_holder(
            self._context.cluster.live_entries(LIVE_S),
            failure_domain=announcement.failure_domain,
            excluded=excluded,
            promised_slots=promised_slots,
        )
        if chosen:
            self._promised.append((now, chosen.entry_id, announcement.slots))
        return chosen
