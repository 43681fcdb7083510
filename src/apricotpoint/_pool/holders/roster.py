"""Table of the backend servers that have announced themselves, with their last announcements."""

from __future__ import annotations

import itertools
import operator
from collections import Counter
from collections.abc import Callable, Iterable

import attrs
import logbook
import msgspec
import xxhash

from apricotpoint._pool.decisions import cold
from apricotpoint._wire.pool import BackendsHeard, PoolBackend

# A backend server that neither announces itself nor answers lease renewals for this long is
# removed. This is several announcement periods.
UNREACHABLE_TIMEOUT_S = 10.0
# Ids of removed backend servers are kept for this long, because an announcement that was sent
# before the removal may still arrive.
REMOVED_RETENTION_S = 30.0
# A process that starts hears of hundreds of new backend servers at once, and logs one line.
MAX_IDS_LOGGED = 3

# In the order in which msgspec encodes the fields of a class with slots.
_DIGEST_FIELDS = sorted(
    field.name for field in attrs.fields(PoolBackend) if field.name != "cold_remaining_s"
)
_digest_values = operator.attrgetter(*_DIGEST_FIELDS)

_log = logbook.Logger("roster")


@attrs.frozen
class _Removal:
    """Last announcement before a removal, which is `final` if its incarnation has ended."""

    removed_at: float
    born_ms: int
    sequence: int
    final: bool

    def allows(self, announcement: PoolBackend) -> bool:
        """Return whether an announcement was sent after the removal."""
        if announcement.born_ms != self.born_ms:
            return announcement.born_ms > self.born_ms
        return not self.final and bool(self.born_ms) and announcement.sequence > self.sequence


def digest(announcement: PoolBackend) -> int:
    """Return a digest of 32 bits of an announcement without its sequence number and countdown.

    Both differ in each announcement. The countdown is left out, not set to 0, so that the digest
    is that of an earlier release.
    """
    fields = dict(zip(_DIGEST_FIELDS, _digest_values(announcement), strict=True))
    fields["sequence"] = 0
    return xxhash.xxh32_intdigest(msgspec.msgpack.encode(fields))


class Roster:
    """The last announcement of each backend server.

    An announcement replaces the last one under its id if it is of a newer incarnation, or of the
    same incarnation with a higher sequence number, so delayed ones have no effect. This holds for
    `REMOVED_RETENTION_S` after its removal, too; an incarnation that has left stays removed, and
    announcements that do not report the incarnation are ignored for that time. `revision` rises
    with each backend server that is added or removed. `now` returns monotonic seconds.
    """

    def __init__(self, *, now: Callable[[], float]) -> None:
        self.announcement_by_id: dict[str, PoolBackend] = {}
        self._digest_by_id: dict[str, int] = {}
        # Ends of cold periods as announced when they last changed.
        self._cold_until_by_id: dict[str, float] = {}
        self._last_contact_at_by_id: dict[str, float] = {}
        self.revision = 0
        self._removal_by_id: dict[str, _Removal] = {}
        # No backend server becomes unreachable before this time: contacts only postpone it.
        self._all_reachable_until = float("-inf")
        self._last_contact_at_by_domain: dict[str, float] = {}
        self._is_missing = False
        self._now = now
        self._callbacks: list[Callable[[PoolBackend], None]] = []
        self._unreachable_callbacks: list[Callable[[str], None]] = []

    def subscribe(self, callback: Callable[[PoolBackend], None]) -> None:
        """Call `callback` with each announcement that replaces an older one or is the first."""
        self._callbacks.append(callback)

    def subscribe_unreachable(self, callback: Callable[[str], None]) -> None:
        """Call `callback` with the id of each backend server that is removed as unreachable."""
        self._unreachable_callbacks.append(callback)

    def update(self, message: BackendsHeard) -> None:
        """Process the announcements and the ids of unregistered backend servers in a message."""
        for backend_id in message.gone:
            self._remove(backend_id, "it has left", final=True)
        new_ids: list[str] = []
        for announcement in message.heard:
            try:
                if self._update_announcement(announcement):
                    new_ids.append(announcement.backend_id)
            except Exception:
                # The others in the message hold.
                _log.exception(
                    "the announcement of backend server {} cannot be processed",
                    announcement.backend_id,
                )
        if new_ids:
            _log.info(
                "{} backend servers have announced themselves, among them {}",
                len(new_ids),
                new_ids[:MAX_IDS_LOGGED],
            )
        # A process of an earlier release sends no digests.
        for backend_id, value in itertools.zip_longest(message.repeated, message.repeated_digests):
            self._record_repetition(backend_id, value)

    def current_announcements(self) -> list[PoolBackend]:
        """Return the last announcement of each backend server, with countdowns as of now."""
        now = self._now()
        return [
            announcement
            if key not in self._cold_until_by_id
            else attrs.evolve(
                announcement, cold_remaining_s=max(self._cold_until_by_id[key] - now, 0.0)
            )
            for key, announcement in self.announcement_by_id.items()
        ]

    def is_repetition(self, announcement: PoolBackend) -> bool:
        """Return whether an announcement, not processed yet, says nothing new.

        A countdown that goes on as announced before is nothing new.
        """
        known = self.announcement_by_id.get(announcement.backend_id)
        if known is None:
            return False
        expected = attrs.evolve(
            known,
            sequence=announcement.sequence,
            cold_remaining_s=announcement.cold_remaining_s,
        )
        return expected == announcement and self._is_same_countdown(announcement)

    def _is_same_countdown(self, announcement: PoolBackend) -> bool:
        now = self._now()
        known_until = self._cold_until_by_id.get(announcement.backend_id, now)
        return cold.is_same_end(known_until, announcement.cold_remaining_s, now)

    def _update_countdown(self, known: PoolBackend | None, announcement: PoolBackend) -> None:
        """Keep the end announced first, so that small differences do not add up unnoticed."""
        is_same = known is not None and known.born_ms == announcement.born_ms
        if is_same and self._is_same_countdown(announcement):
            return
        if announcement.cold_remaining_s > 0:
            until = self._now() + announcement.cold_remaining_s
            self._cold_until_by_id[announcement.backend_id] = until
        else:
            self._cold_until_by_id.pop(announcement.backend_id, None)

    def count_by_domain(self) -> dict[str, int]:
        """Return the number of announced backend servers by failure domain."""
        return dict(Counter(item.failure_domain for item in self.announcement_by_id.values()))

    def digests(self, backend_ids: Iterable[str]) -> list[int]:
        """Return the digests of the announcements of backend servers that are known."""
        return [self._digest_by_id[backend_id] for backend_id in backend_ids]

    def take_missing(self) -> bool:
        """Return whether a repeated announcement was not known as it is, and forget about it."""
        missing, self._is_missing = self._is_missing, False
        return missing

    def _record_repetition(self, backend_id: str, repeated_digest: int | None) -> None:
        known = self.announcement_by_id.get(backend_id)
        if known is None:
            self._is_missing = self._is_missing or backend_id not in self._removal_by_id
            return
        if repeated_digest is not None and repeated_digest != self._digest_by_id[backend_id]:
            _log.info("a change of the announcement of backend server {} was missed", backend_id)
            self._is_missing = True
        self._last_contact_at_by_id[backend_id] = self._now()
        self._last_contact_at_by_domain[known.failure_domain] = self._now()

    def last_contact_at(self, domain: str) -> float | None:
        """Return when a failure domain last sent an announcement, None if it sent none."""
        return self._last_contact_at_by_domain.get(domain)

    def record_contact(self, backend_id: str) -> None:
        """Record that a backend server answers its holder, so that it is not removed."""
        if backend_id in self._last_contact_at_by_id:
            self._last_contact_at_by_id[backend_id] = self._now()

    def remove_ended(self, backend_id: str) -> None:
        """Remove a backend server whose incarnation has ended; a later one may announce itself."""
        self._remove(backend_id, "its incarnation has ended", final=True)

    def remove_unreachable(self) -> list[str]:
        """Remove backend servers without contact for `UNREACHABLE_TIMEOUT_S`; return their ids."""
        now = self._now()
        unreachable = self._find_unreachable(now) if now > self._all_reachable_until else []
        for backend_id in unreachable:
            reason = f"no contact for {UNREACHABLE_TIMEOUT_S:g} s"
            self._remove(backend_id, reason, final=False)
            for callback in self._unreachable_callbacks:
                callback(backend_id)
        for backend_id, removal in list(self._removal_by_id.items()):
            if now - removal.removed_at > REMOVED_RETENTION_S:
                del self._removal_by_id[backend_id]
        return unreachable

    def _find_unreachable(self, now: float) -> list[str]:
        unreachable: list[str] = []
        self._all_reachable_until = now + UNREACHABLE_TIMEOUT_S
        for backend_id, last_contact_at in self._last_contact_at_by_id.items():
            reachable_until = last_contact_at + UNREACHABLE_TIMEOUT_S
            if reachable_until < now:
                unreachable.append(backend_id)
            else:
                self._all_reachable_until = min(self._all_reachable_until, reachable_until)
        return unreachable

    def _update_announcement(self, announcement: PoolBackend) -> bool:
        """Record an announcement unless it is outdated; return whether its sender is new here."""
        known = self.announcement_by_id.get(announcement.backend_id)
        if known is not None and (announcement.born_ms, announcement.sequence) <= (
            known.born_ms,
            known.sequence,
        ):
            return False
        removal = self._removal_by_id.get(announcement.backend_id)
        if known is None and removal is not None and not removal.allows(announcement):
            return False
        if known is None:
            self.revision += 1
        self._update_countdown(known, announcement)
        self.announcement_by_id[announcement.backend_id] = announcement
        self._digest_by_id[announcement.backend_id] = digest(announcement)
        self._last_contact_at_by_id[announcement.backend_id] = self._now()
        self._last_contact_at_by_domain[announcement.failure_domain] = self._now()
        for callback in self._callbacks:
            callback(announcement)
        return known is None

    def _remove(self, backend_id: str, reason: str, *, final: bool) -> None:
        known = self.announcement_by_id.pop(backend_id, None)
        self._digest_by_id.pop(backend_id, None)
        self._cold_until_by_id.pop(backend_id, None)
        if known is not None:
            _log.info("removed backend server {}: {}", backend_id, reason)
            self.revision += 1
            self._removal_by_id[backend_id] = _Removal(
                self._now(), known.born_ms, known.sequence, final
            )
        elif backend_id not in self._removal_by_id:
            self._removal_by_id[backend_id] = _Removal(self._now(), 0, 0, final)
        self._last_contact_at_by_id.pop(backend_id, None)
