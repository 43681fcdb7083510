"""Rules by which entry processes choose the one that claims a share.

The claimant of a share holds the leases on its backend servers. Claims need no
consensus: a backend server obeys only the highest fencing token, and each job is
scheduled by one process. Two claimants at the same time therefore cost time but
violate no guarantee to callers; these rules make that rare and short.

All functions take the last status of each live holder, this process included, and
the summaries of all known entry processes.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import attrs
import xxhash

from apricotpoint._pool.decisions.shares import Layout, Share, capacity, domain_of
from apricotpoint._wire.pool import EntryStatus, EntrySummary

# Delay between one candidate for a share and the next. Nobody knows whether a process that
# holds nothing is alive, so a candidate whose claim does not arrive in time is passed over.
CANDIDATE_DELAY_S = 0.3
# Additional delay of holders of other failure domains, behind the candidates of the own one.
FOREIGN_DELAY_S = 0.6
# The upper bits of a fencing token are the term of the claim, the next ones tell claimants apart,
# and the lower ones are for the increments by which a holder fences off its own earlier starts.
# Terms follow the wall clock in seconds, so tokens stay below 2**53, up to which JSON numbers are
# exact.
DISTINCT_BITS, RENEWAL_BITS = 12, 10
# Candidates of the own failure domain for which those of others wait.
MAX_LOCAL_CANDIDATES = 3


@attrs.frozen
class ShareClaim:
    """The claim on a share: its claimant and the processes that may follow it.

    `claimant` is None if no live process claims the share. `is_provisional` tells whether
    the first candidate should take the claim over although the claimant is alive. The
    first `local_count` candidates are in failure domains of the share.
    """

    share: Share
    claimant: str | None
    is_provisional: bool
    candidates: list[str]
    local_count: int

    def delay_s(self, entry_id: str) -> float | None:
        """Return for how long a share without a claimant is left to better candidates.

        None if the process is no candidate.
        """
        if entry_id not in self.candidates:
            return None
        position = self.candidates.index(entry_id)
        if position < self.local_count or not self.local_count:
            return position * CANDIDATE_DELAY_S
        position -= max(self.local_count - MAX_LOCAL_CANDIDATES, 0)
        return FOREIGN_DELAY_S + position * CANDIDATE_DELAY_S


def evaluate(
    layout: Layout,
    status_by_entry: Mapping[str, EntryStatus],
    summary_by_entry: Mapping[str, EntrySummary],
) -> list[ShareClaim]:
    """Return the claims on all shares, in the order of the layout."""
    live = {key: status for key, status in status_by_entry.items() if not status.draining}
    claimed_by_entry: dict[str, list[Share]] = {}
    for share in layout.shares:
        for entry_id, status in live.items():
            if any(part in status.term_by_claim for part in share.parts):
                claimed_by_entry.setdefault(entry_id, []).append(share)
    load_by_entry = {
        key: sum(share.backend_count for share in shares)
        for key, shares in claimed_by_entry.items()
    }
    eligible_by_domain = _eligible_by_domain(status_by_entry, summary_by_entry)
    claims = []
    for share in layout.shares:
        claimant = _claimant(share, live, claimed_by_entry)
        candidates = _candidates(share, eligible_by_domain, load_by_entry)
        is_provisional = False
        if claimant is None:
            if candidates:
                # Another share without a claimant then goes to another process.
                first = candidates[0]
                load_by_entry[first] = load_by_entry.get(first, 0) + share.backend_count
        elif candidates and candidates[0] != claimant:
            is_provisional = _fits(share, claimant, live, claimed_by_entry) < _would_fit(
                share, candidates[0], summary_by_entry, load_by_entry
            )
        local_count = sum(
            summary_by_entry[entry_id].failure_domain in share.domains for entry_id in candidates
        )
        claims.append(ShareClaim(share, claimant, is_provisional, candidates, local_count))
    return claims


def first_token(term: int, summary: EntrySummary) -> int:
    """Return the first fencing token of an incarnation of a process that claims with a term.

    Two processes that do not know of each other may claim in the same second, and so with the same
    term. With equal tokens neither would be fenced off, and each would stop the runs of the other.
    """
    incarnation = f"{summary.entry_id} {summary.started_at}"
    distinct = xxhash.xxh32_intdigest(incarnation.encode()) >> (32 - DISTINCT_BITS)
    return ((term << DISTINCT_BITS) + distinct) << RENEWAL_BITS


def next_term(part: str, statuses: Iterable[EntryStatus], min_term: int) -> int:
    """Return a term above all known claims on a part, and at least `min_term`."""
    return max([min_term, *(status.term_by_claim.get(part, 0) + 1 for status in statuses)])


def holders(domain: str, status_by_entry: Mapping[str, EntryStatus]) -> list[str]:
    """Return the processes that claim a part of a failure domain and are not draining."""
    return [
        entry_id
        for entry_id, status in status_by_entry.items()
        if not status.draining and any(domain_of(part) == domain for part in status.term_by_claim)
    ]


def _claimant(
    share: Share,
    live: Mapping[str, EntryStatus],
    claimed_by_entry: Mapping[str, list[Share]],
) -> str | None:
    """Return the process whose claim on a share is active.

    Of several, one in a failure domain of the share wins, because it still reaches the backend
    servers when that domain is cut off; then one that can carry the share beside its others.
    Of two that still are equal, the one with more responsive backend servers wins, so that few
    change their holder when a partition ends.
    """
    ranks = [
        (
            _fits(share, entry_id, live, claimed_by_entry),
            live[entry_id].answering,
            max(live[entry_id].term_by_claim.get(part, 0) for part in share.parts),
            entry_id,
        )
        for entry_id, shares in claimed_by_entry.items()
        if share in shares
    ]
    return max(ranks)[-1] if ranks else None


def _fits(
    share: Share,
    entry_id: str,
    live: Mapping[str, EntryStatus],
    claimed_by_entry: Mapping[str, list[Share]],
) -> tuple[bool, bool]:
    """Return whether a claimant is in a domain of the share, and carries it beside earlier ones."""
    status, shares = live[entry_id], claimed_by_entry[entry_id]
    earlier = shares[: shares.index(share)]
    load = sum(item.backend_count for item in earlier) + share.backend_count
    return status.failure_domain in share.domains, load <= capacity(status.cores)


def _would_fit(
    share: Share,
    entry_id: str,
    summary_by_entry: Mapping[str, EntrySummary],
    load_by_entry: Mapping[str, int],
) -> tuple[bool, bool]:
    summary = summary_by_entry[entry_id]
    load = load_by_entry.get(entry_id, 0) + share.backend_count
    return summary.failure_domain in share.domains, load <= capacity(summary.cores)


def _eligible_by_domain(
    status_by_entry: Mapping[str, EntryStatus], summary_by_entry: Mapping[str, EntrySummary]
) -> dict[str, list[EntrySummary]]:
    """Return the processes that are not draining, by failure domain."""
    eligible_by_domain: dict[str, list[EntrySummary]] = {}
    for entry_id, summary in summary_by_entry.items():
        status = status_by_entry.get(entry_id)
        if not summary.draining and (status is None or not status.draining):
            eligible_by_domain.setdefault(summary.failure_domain, []).append(summary)
    return eligible_by_domain


def _candidates(
    share: Share,
    eligible_by_domain: Mapping[str, list[EntrySummary]],
    load_by_entry: Mapping[str, int],
) -> list[str]:
    """Return the processes that may claim a share, the best first.

    These are the processes of its failure domains, then the holders of others. Those without a
    share and the largest VMs come first; then the process that started last, because in a
    rolling restart the others are still to be stopped.
    """
    has_local = any(domain in eligible_by_domain for domain in share.domains)
    ranks = [
        (
            domain not in share.domains,
            load_by_entry.get(summary.entry_id, 0),
            -round(summary.cores, 2),
            -summary.started_at,
            xxhash.xxh3_64_intdigest(f"{summary.entry_id}/{share.parts[0]}".encode()),
            summary.entry_id,
        )
        for domain, summaries in eligible_by_domain.items()
        for summary in summaries
        if domain in share.domains or summary.is_holder or not has_local
    ]
    return [rank[-1] for rank in sorted(ranks)]
