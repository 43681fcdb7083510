"""Which entry process holds the backend servers of a failure domain.

Claims need no agreement: backend servers obey the highest fencing token, and a
job is scheduled by one process. Two claims at once therefore cost time but
break no promise; the rules here make them rare and short.

A small pool has one holder for all failure domains that reach each other: the
tasks of a wide job find room sooner among all backend servers than among those
of one failure domain. In a large pool, which one process could not schedule,
each failure domain has a holder of its own.
"""

from __future__ import annotations

from collections.abc import Mapping

from apricotpoint._wire.pool import EntryStatus

# Backend servers that one process can schedule. At 20 starts a second each, 24 of them
# take about half a core (docs/measurements-platform.md, "Costs").
MAX_SINGLE_HOLDER_BACKENDS = 40


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


def next_term(domain: str, status_by_entry: Mapping[str, EntryStatus], min_term: int) -> int:
    """Return a term above all that are known for a failure domain, at least `min_term`."""
    known = [status.term_by_claim.get(domain, 0) for status in status_by_entry.values()]
    return max([min_term, *(term + 1 for term in known)])


def leader(status_by_entry: Mapping[str, EntryStatus]) -> str | None:
    """Return the process that should claim all failure domains of a small pool.

    The claimant with the most backend servers that answer stays, so that
    little changes hands when two parts of the system meet again. Without a
    claimant it is the process that has started last: in a rolling restart, the
    others are still to be stopped.
    """
    live = {key: status for key, status in status_by_entry.items() if not status.draining}
    claimants = [
        (status.answering, max(status.term_by_claim.values()), entry_id)
        for entry_id, status in live.items()
        if status.term_by_claim
    ]
    if claimants:
        return max(claimants)[2]
    ranks = [(status.started_at, entry_id) for entry_id, status in live.items()]
    return max(ranks)[1] if ranks else None


def scheduling_process(
    domain: str, status_by_entry: Mapping[str, EntryStatus], *, single_holder: bool
) -> str | None:
    """Return the process that schedules the jobs of callers in a failure domain."""
    if single_holder:
        chosen = leader(status_by_entry)
        if chosen is not None and status_by_entry[chosen].term_by_claim:
            return chosen
    return claimant(domain, status_by_entry)
