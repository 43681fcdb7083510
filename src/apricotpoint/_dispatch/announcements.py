"""Handling of announcements: renews leases and assigns lease holders."""

from __future__ import annotations

from collections import deque

from apricotpoint._dispatch.backend import BackendView
from apricotpoint._dispatch.context import MAX_REPORT_AGE_S, HolderContext
from apricotpoint._dispatch.holderchoice import choose_holder
from apricotpoint._dispatch.lease import TAKEOVER_WAIT_S, Lease
from apricotpoint._dispatch.pause import PauseDetector
from apricotpoint._dispatch.recovery import HANDOVER_GRACE_S
from apricotpoint._link.transport import Sender
from apricotpoint._wire.announce import Announced, Announcement, AnnouncementReply, HolderName

ANNOUNCE_PERIOD_S = 0.5
# The announcement that names a newly assigned holder is sent after this time instead of a full
# announcement period.
_NEW_HOLDER_PERIOD_S = 0.05
_HOLDER_TIMEOUT_S = 2.5
# Load reports contain the slots of an assigned backend server after at most this time, so
# assignments older than this are no longer added to the reported slots.
_ASSIGNMENT_AGE_S = 0.5
# Exchanges are cancelled this long after the lease expired; the results of their
# tasks are then requested over new connections.
_LEASE_EXPIRED_GRACE_S = 3.0


class AnnouncementHandler:
    """Renews leases, assigns holders and removes backend servers whose lease expired."""

    def __init__(self, context: HolderContext, pause: PauseDetector) -> None:
        self._context = context
        self._counters = context.counters
        self._name = context.name
        self._pause = pause
        # Time, entry id and slots of each recent assignment, oldest first.
        self._recent_assignments: deque[tuple[float, str, int]] = deque()

    def handle_announcement(self, announcement: Announcement) -> AnnouncementReply:
        """Handle an announcement sent to this process; return the holder to name in the next one.

        Forwards the announcement if it names another live holder.
        """
        now = self._context.timers.now()
        self._pause.check(now)
        holder = announcement.holder
        if holder == self._name and not self._context.draining():
            self._accept(announcement)
            return AnnouncementReply(holder, ANNOUNCE_PERIOD_S)
        if holder and holder != self._name:
            self._end_lease_if_handed_over(announcement)
            if self._is_reachable(holder, now):
                if not self._context.transport.send(holder.entry_id, Announced(announcement)):
                    self._counters.add("holder.announcements.not_forwarded")
                return AnnouncementReply(holder, ANNOUNCE_PERIOD_S)
        chosen = self._choose_holder(announcement, now)
        if chosen is None or chosen == holder:
            if holder == self._name:
                # No other entry process can hold the backend server, so this one keeps it.
                self._accept(announcement)
            else:
                self._counters.add("holder.announcements.without_holder")
            return AnnouncementReply(holder, ANNOUNCE_PERIOD_S)
        self._counters.add("holder.announcements.holder_chosen")
        view = self._context.view_by_id.get(announcement.backend_id)
        if view and holder == self._name:
            view.handed_over = True
        return AnnouncementReply(chosen, _NEW_HOLDER_PERIOD_S)

    def handle_forwarded(self, sender: Sender, message: object) -> None:
        """Handle an announcement that another entry process forwarded."""
        assert isinstance(message, Announced)
        now = self._context.timers.now()
        self._pause.check(now)
        if message.announcement.holder != self._name:
            self._counters.add("holder.announcements.other_holder")
            return
        if self._context.draining() and self._choose_holder(message.announcement, now):
            # The reply to the next announcement names another holder.
            self._counters.add("holder.announcements.draining")
            return
        self._accept(message.announcement)

    def check_leases(self, now: float) -> None:
        """Cancel exchanges and remove backend servers some time after their lease expired.

        Exchanges are cancelled after `_LEASE_EXPIRED_GRACE_S`, or `HANDOVER_GRACE_S` after a
        handover. Backend servers without sent tasks are removed after `HANDOVER_GRACE_S`.
        """
        for view in list(self._context.view_by_id.values()):
            expired_for_s = now - view.lease.expires_at
            if expired_for_s < _LEASE_EXPIRED_GRACE_S:
                continue
            if not view.task_by_start_id and expired_for_s > HANDOVER_GRACE_S:
                self._remove(view)
                self._counters.add("holder.backends.forgotten")
            elif view.exchanges and expired_for_s > (
                HANDOVER_GRACE_S if view.handed_over else _LEASE_EXPIRED_GRACE_S
            ):
                self._counters.add("holder.backends.lease_gone")
                for scope in view.exchanges:
                    scope.cancel()

    def _accept(self, announcement: Announcement) -> None:
        now = self._context.timers.now()
        self._counters.add("holder.announcements")
        if now < self._pause.announcements_valid_from:
            self._counters.add("holder.announcements.after_pause")
            return
        previous = self._context.view_by_id.get(announcement.backend_id)
        if previous and previous.announcement.incarnation != announcement.incarnation:
            is_older = announcement.incarnation < previous.announcement.incarnation
            if is_older and now - previous.last_contact_at < _HOLDER_TIMEOUT_S:
                self._counters.add("holder.announcements.old_incarnation")
                return
            self._remove(previous)
            self._counters.add("holder.backends.new_incarnation")
        view = self._context.view_by_id.get(announcement.backend_id)
        is_new = view is None
        if view is None:
            takeover_wait_s = TAKEOVER_WAIT_S if announcement.followed else 0.0
            view = BackendView(announcement, Lease(now + takeover_wait_s), now)
            if previous:
                view.speed = previous.speed
        if not view.lease.renew(
            sequence=announcement.sequence,
            clock_s=announcement.clock_s,
            received_at=now,
            has_earlier_holder=announcement.followed,
            holder_since=announcement.holder_since,
        ):
            self._counters.add("holder.announcements.old")
            return
        if is_new:
            self._add_view(view)
        service = self._context.service(announcement.service)
        view.obeys_guards = self._context.service_config(service.name).guards
        view.blocked = self._context.is_blocked(announcement)
        view.handed_over = False
        view.update(announcement, now)
        if service.queue.count:
            self._context.schedule_binding(service)

    def _add_view(self, view: BackendView) -> None:
        announcement = view.announcement
        # The announced running tasks are those of the earlier holder.
        view.untracked_slots = (
            min(announcement.running, announcement.slots) if announcement.followed else 0
        )
        self._context.view_by_id[view.backend_id] = view
        self._context.service(announcement.service).view_by_id[view.backend_id] = view
        self._counters.add("holder.backends.held")

    def _remove(self, view: BackendView) -> None:
        view.discard()
        self._context.view_by_id.pop(view.backend_id, None)
        service = self._context.service(view.announcement.service)
        service.view_by_id.pop(view.backend_id, None)
        self._context.schedule_binding(service)

    def _end_lease_if_handed_over(self, announcement: Announcement) -> None:
        view = self._context.view_by_id.get(announcement.backend_id)
        if view is None or view.announcement.incarnation != announcement.incarnation:
            return
        if announcement.sequence > view.lease.last_sequence and not view.handed_over:
            view.handed_over = True
            view.lease.expires_at = min(view.lease.expires_at, self._context.timers.now())
            self._counters.add("holder.backends.handed_over")

    def _is_reachable(self, holder: HolderName, now: float) -> bool:
        latest = self._context.cluster.latest(holder.entry_id)
        listening_since = self._pause.listening_since
        if latest is None:
            # Just after a start or a pause, no report may have been received yet.
            return now - listening_since < _HOLDER_TIMEOUT_S
        if latest.incarnation != holder.incarnation or latest.report.draining:
            return False
        return min(latest.age_s, now - listening_since) < _HOLDER_TIMEOUT_S

    def _choose_holder(self, announcement: Announcement, now: float) -> HolderName | None:
        configuration = self._context.configuration()
        excluded = {*configuration.drained_vms, *configuration.stopped_vms}
        if self._context.draining():
            excluded.add(self._name.entry_id)
        while self._recent_assignments and now - self._recent_assignments[0][0] > _ASSIGNMENT_AGE_S:
            self._recent_assignments.popleft()
        assigned_slots: dict[str, int] = {}
        for _, entry_id, slots in self._recent_assignments:
            assigned_slots[entry_id] = assigned_slots.get(entry_id, 0) + slots
        chosen = choose_holder(
            self._context.cluster.live_entries(MAX_REPORT_AGE_S),
            failure_domain=announcement.failure_domain,
            excluded=excluded,
            assigned_slots=assigned_slots,
        )
        if chosen:
            self._recent_assignments.append((now, chosen.entry_id, announcement.slots))
        return chosen
