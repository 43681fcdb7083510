"""Rules by which entry processes choose the one that claims a failure domain.

The claimant of a failure domain holds the leases on its backend servers. Claims
need no consensus: a backend server obeys only the highest fencing token, and
each job is scheduled by one process. Two claimants at the same time therefore
cost time but violate no guarantee to callers; these rules make that rare and
short.

A small pool has a single holder for all failure domains that reach each other:
jobs with many tasks get resources sooner from all backend servers than from
those of one failure domain. In a large pool, which one process could not
schedule, each failure domain has its own holder.

All functions take the last status of each live entry process, this one included.
"""

from __future__ import annotations

from collections.abc import Mapping

from apricotpoint._wire.pool import EntryStatus

# Number of backend servers that one process can schedule. At 20 starts a second each, 24 of
# them use about half a core (docs/measurements-platform.md, "Costs").
MAX_SINGLE_HOLDER_BACKENDS = 40


def claimant(domain: str, status_by_entry: Mapping[str, EntryStatus]) -> str | None:
    """Return the process whose claim on a failure domain is active, None if there is none.

    Of several claims, one by a process in the failure domain itself wins, because that process
    still reaches the backend servers when the failure domain is cut off; then the one with the
    highest term. Claims of draining processes are ignored.
    """
    claims = [
        (status.failure_domain == domain, status.term_by_claim[domain], entry_id)
        for entry_id, status in status_by_entry.items()
        if domain in status.term_by_claim and not status.draining
    ]
    return max(claims)[2] if claims else None


def candidate(domain: str, status_by_entry: Mapping[str, EntryStatus]) -> str | None:
    """Return the process that should claim a failure domain that has no active claim.

    Processes of the failure domain come first, then those with the fewest claims. None if all
    processes are draining.
    """
    ranks = [
        (status.failure_domain != domain, len(status.term_by_claim), entry_id)
        for entry_id, status in status_by_entry.items()
        if not status.draining
    ]
    return min(ranks)[2] if ranks else None


def should_claim(own_id: str, domain: str, status_by_entry: Mapping[str, EntryStatus]) -> bool:
    """Return whether this process should make, or keep, a claim on a failure domain.

    A claim by a process of another failure domain passes to one of the failure domain itself.
    """
    holder = claimant(domain, status_by_entry)
    if holder is not None:
        is_local = status_by_entry[holder].failure_domain == domain
        other = candidate(domain, status_by_entry)
        if is_local or other is None or status_by_entry[other].failure_domain != domain:
            return holder == own_id
        return other == own_id
    return candidate(domain, status_by_entry) == own_id


def next_term(domain: str, status_by_entry: Mapping[str, EntryStatus], min_term: int) -> int:
    """Return a term above all known claims on a failure domain, and at least `min_term`."""
    known = [status.term_by_claim.get(domain, 0) for status in status_by_entry.values()]
    return max([min_term, *(term + 1 for term in known)])


def leader(status_by_entry: Mapping[str, EntryStatus]) -> str | None:
    """Return the process that should claim all failure domains of a small pool.

    This is the claimant with the most responsive backend servers, so that few backend servers
    change their holder when a partition ends. Without a claimant it is the process that started
    last, because in a rolling restart the others are still to be stopped. None if all processes
    are draining.
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
    """Return the process that schedules the jobs of callers in a failure domain.

    `single_holder` tells whether the pool has one holder for all failure domains. None if no
    process claims the failure domain.
    """
    if single_holder:
        chosen = leader(status_by_entry)
        if chosen is not None and status_by_entry[chosen].term_by_claim:
            return chosen
    return claimant(domain, status_by_entry)
