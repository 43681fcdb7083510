"""Contacts with the failure domains, and which were behind a partition until just now."""

from __future__ import annotations

import math
from collections.abc import Collection

import logbook

from apricotpoint._core.timers import TimerService
from apricotpoint._pool.holders.members import HOLDER_OBSERVATION_S, EntryMembers
from apricotpoint._pool.holders.roster import Roster

# A failure domain counts as in contact if something was received from it within this time.
# Its backend servers announce themselves every 1.5 s each, spread over that period.
REACHABLE_S = 0.6
# A failure domain may have been cut off if nothing was received from it for this long, while a
# control process left a request without an answer. Without the latter, its holder may just have
# been lost: announcements are relayed only every 3 s to processes that do not watch it.
SILENT_DOMAIN_S, SILENT_CONTROL_S = 1.7, 0.6
# A control process that is silent for longer than this has probably ended, and shows no partition.
LOST_CONTROL_S = 15.0

_log = logbook.Logger("claims")


class DomainContacts:
    """The last contact with each failure domain, as monotonic times.

    As a partition ends, the announcements of backend servers arrive before the status of their
    holder. A failure domain that was cut off is therefore not settled before the status of each
    holder there has had the time to arrive. Call `update` from time to time.
    """

    def __init__(self, *, roster: Roster, timers: TimerService) -> None:
        self._roster = roster
        self._timers = timers
        self._partition_seen_at = -math.inf
        self._contact_at_by_domain: dict[str, float] = {}
        self._returned_at_by_domain: dict[str, float] = {}

    def update(self, members: EntryMembers, domains: Collection[str]) -> None:
        """Record the contacts with `domains` since the last call."""
        now = self._timers.now()
        silences_s = members.discovery.control_silences_s()
        if any(SILENT_CONTROL_S < silence_s < LOST_CONTROL_S for silence_s in silences_s):
            self._partition_seen_at = now
        may_be_over = now - self._partition_seen_at < HOLDER_OBSERVATION_S
        for domain, contact_at in self._latest_contacts(members, domains).items():
            last_at = self._contact_at_by_domain.get(domain, contact_at)
            self._contact_at_by_domain[domain] = contact_at
            if contact_at - last_at > SILENT_DOMAIN_S and may_be_over:
                self._returned_at_by_domain[domain] = contact_at
                _log.info(
                    "failure domain {} is in contact again after {:.1f} s; no claims on it for "
                    "{:g} s",
                    domain,
                    contact_at - last_at,
                    HOLDER_OBSERVATION_S,
                )

    def _latest_contacts(self, members: EntryMembers, domains: Collection[str]) -> dict[str, float]:
        """Return the last status or announcement from each failure domain that sent any."""
        contact_at_by_domain: dict[str, float] = {}
        for domain in domains:
            announced_at = self._roster.last_contact_at(domain)
            if announced_at is not None:
                contact_at_by_domain[domain] = announced_at
        # Most processes never send a status to this one.
        summary_by_entry = members.discovery.directory.summary_by_entry
        for entry_id, contact_at in members.contact_at_by_entry().items():
            summary = summary_by_entry.get(entry_id)
            if summary is not None:
                domain = summary.failure_domain
                known_at = contact_at_by_domain.get(domain, contact_at)
                contact_at_by_domain[domain] = max(contact_at, known_at)
        return contact_at_by_domain

    def is_settled(self, domain: str) -> bool:
        """Return whether the holders of a failure domain are known after the last partition."""
        returned_at = self._returned_at_by_domain.get(domain, -math.inf)
        return self._timers.now() - returned_at >= HOLDER_OBSERVATION_S

    def is_announced(self, domain: str) -> bool:
        """Return whether a backend server of a failure domain has announced itself just now."""
        announced_at = self._roster.last_contact_at(domain)
        return announced_at is not None and self._timers.now() - announced_at <= REACHABLE_S
