"""Which entry process holds the backend servers of a failure domain.

Claims need no agreement: backend servers obey the highest fencing token, and a
job is scheduled by one process. Two claims at once therefore cost time but
break no promise; the rules here make them rare and short.
"""

from __future__ import annotations

from collections.abc import Mapping

from apricotpoint._wire.pool import EntryStatus


def claimant(domain: str, status_by_entry: Mapping[str, EntryStatus]) -> str | None:
    """Return the process whose claim on a failure domain is in force, None if there is none.

    A process in the failure domain itself goes before others, because it still
    reaches the backend servers when the failure domain is cut off; then the
    newest claim counts. Draining processes do not count.
    """
    claims = [
        (status.failure_domain == domain, status.term_by_claim[domain], entry_id)
        for entry_id, status in status_by_entry.items()
        if domain in status.term_by_claim and not status.draining
    ]
    return max(claims)[2] if claims else None


def candidate(domain: str, status_by_entry: Mapping[str, EntryStatus]) -> str | None:
    """Return the process that should claim a failure domain without a claimant in force.

    Processes of the failure domain go first, then those with the fewest claims.
    """
    ranks = [
        (status.failure_domain != domain, len(status.term_by_claim), entry_id)
        for entry_id, status in status_by_entry.items()
        if not status.draining
    ]
    return min(ranks)[2] if ranks else None


def should_claim(own_id: str, domain: str, status_by_entry: Mapping[str, EntryStatus]) -> bool:
    """Return whether this process claims a failure domain, or goes on to do so."""
    holder = claimant(domain, status_by_entry)
    if holder is not None:
        at_home = status_by_entry[holder].failure_domain == domain
        other = candidate(domain, status_by_entry)
        if at_home or other is None or status_by_entry[other].failure_domain != domain:
            return holder == own_id
        return other == own_id
    return candidate(domain, status_by_entry) == own_id


def next_term(domain: str, status_by_entry: Mapping[str, EntryStatus], lowest: int) -> int:
    """Return a term above all that are known for a failure domain, at least `lowest`."""
    known = [status.term_by_claim.get(domain, 0) for status in status_by_entry.values()]
    return max([lowest, *(term + 1 for term in known)])
