"""Table of the backend servers that have announced themselves, with their last announcements."""

from __future__ import annotations

from collections.abc import Callable

import logbook

from apricotpoint._wire.pool import BackendsHeard, PoolBackend

# A backend server that neither announces itself nor answers lease renewals for this long is
# removed. This is several announcement periods.
UNREACHABLE_TIMEOUT_S = 10.0
# Ids of removed backend servers are kept for this long, because an announcement that was sent
# before the removal may still arrive.
REMOVED_RETENTION_S = 30.0

_log = logbook.Logger("roster")


class Roster:
    """The last announcement of each backend server.

    An announcement replaces the last one under its id if it is of a newer incarnation, or of the
    same incarnation with a higher sequence number, so delayed ones have no effect. For a removed
    backend server, announcements that do not report the incarnation are ignored for
    `REMOVED_RETENTION_S`. `now` returns monotonic seconds.
    """

    def __init__(self, *, now: Callable[[], float]) -> None:
        self.announcement_by_id: dict[str, PoolBackend] = {}
        self._last_contact_at_by_id: dict[str, float] = {}
        self._removed_at_by_id: dict[str, float] = {}
        self._last_contact_at_by_domain: dict[str, float] = {}
        self._now = now
        self._callbacks: list[Callable[[PoolBackend], None]] = []

    def subscribe(self, callback: Callable[[PoolBackend], None]) -> None:
        """Call `callback` with each announcement that replaces an older one or is the first."""
        self._callbacks.append(callback)

    def update(self, message: BackendsHeard) -> None:
        """Process the announcements and unregistered ids of a message."""
        for backend_id in message.gone:
            self._remove(backend_id)
        for announcement in message.heard:
            self._update_announcement(announcement)

    def last_contact_at(self, domain: str) -> float | None:
        """Return when a failure domain last sent an announcement, None if it sent none."""
        return self._last_contact_at_by_domain.get(domain)

    def record_contact(self, backend_id: str) -> None:
        """Record that a backend server answers its holder, so that it stays reachable."""
        if backend_id in self._last_contact_at_by_id:
            self._last_contact_at_by_id[backend_id] = self._now()

    def remove_ended(self, backend_id: str) -> None:
        """Remove a backend server whose incarnation has ended, until it announces itself again."""
        self._remove(backend_id)

    def remove_unreachable(self) -> list[str]:
        """Remove backend servers without contact for `UNREACHABLE_TIMEOUT_S`; return their ids."""
        now = self._now()
        unreachable = [
            key
            for key, last_contact_at in self._last_contact_at_by_id.items()
            if now - last_contact_at > UNREACHABLE_TIMEOUT_S
        ]
        for backend_id in unreachable:
            self._remove(backend_id)
        for backend_id, removed_at in list(self._removed_at_by_id.items()):
            if now - removed_at > REMOVED_RETENTION_S:
                del self._removed_at_by_id[backend_id]
        return unreachable

    def _update_announcement(self, announcement: PoolBackend) -> None:
        known = self.announcement_by_id.get(announcement.backend_id)
        if known is not None and (announcement.born_ms, announcement.sequence) <= (
            known.born_ms,
            known.sequence,
        ):
            return
        if (
            known is None
            and announcement.backend_id in self._removed_at_by_id
            and not announcement.born_ms
        ):
            return
        if known is None:
            _log.info(
                "backend server {} in failure domain {} has announced itself",
                announcement.backend_id,
                announcement.failure_domain,
            )
        self.announcement_by_id[announcement.backend_id] = announcement
        self._last_contact_at_by_id[announcement.backend_id] = self._now()
        self._last_contact_at_by_domain[announcement.failure_domain] = self._now()
        for callback in self._callbacks:
            callback(announcement)

    def _remove(self, backend_id: str) -> None:
        if self.announcement_by_id.pop(backend_id, None) is not None:
            _log.info("removed backend server {}", backend_id)
        self._last_contact_at_by_id.pop(backend_id, None)
        self._removed_at_by_id[backend_id] = self._now()
