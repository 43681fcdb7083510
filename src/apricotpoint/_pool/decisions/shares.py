"""Division of the backend servers into shares, each of which one entry process holds.

A share is as large as the VMs can carry, because a job with many tasks finds room sooner in
a large share. Failure domains that fit together on one VM form one share. A failure domain
that is too large for its VMs is split into parts; each part is a share.

Every entry process computes the division by itself, from the announced backend servers and
the known entry processes. It depends on nothing that changes from moment to moment.
"""

from __future__ import annotations

import functools
from collections.abc import Mapping, Sequence

import attrs
import xxhash

# Backend servers that an entry process can schedule for each core of its VM. On a day of high load,
# a holder of 15 takes 0.14 of 0.52 core in the mean (docs/measurements-platform.md); the rest is
# for bursts, which bring up to twice as many starts. Larger shares serve callers better: a wide job
# finds room sooner, and fewer holders send their status to all others.
BACKENDS_PER_CORE = 50.0
# An entry process runs on one core at a time.
MAX_CORES = 1.0

PART_SEPARATOR = "#"


@attrs.frozen
class Share:
    """Parts of failure domains that one process holds.

    `parts` are their keys, `domains` their failure domains, and `backend_count` is the
    number of their backend servers.
    """

    parts: tuple[str, ...]
    domains: tuple[str, ...]
    backend_count: int


@attrs.frozen
class Layout:
    """All shares of a deployment, and the number of parts of each failure domain."""

    shares: tuple[Share, ...] = ()
    part_count_by_domain: Mapping[str, int] = attrs.Factory(dict)

    def part_of(self, backend_id: str, domain: str) -> str:
        """Return the key of the part to which a backend server belongs."""
        return part_key(domain, _part_index(backend_id, self.part_count_by_domain.get(domain, 1)))


def capacity(cores: float) -> float:
    """Return the number of backend servers that a VM with so many cores can carry."""
    return min(cores, MAX_CORES) * BACKENDS_PER_CORE


def part_key(domain: str, index: int) -> str:
    """Return the key of a part; the first part of a failure domain has the name of the domain."""
    return domain if not index else f"{domain}{PART_SEPARATOR}{index}"


def domain_of(part: str) -> str:
    """Return the failure domain of a part."""
    return part.rpartition(PART_SEPARATOR)[0] or part


def make_layout(
    count_by_domain: Mapping[str, int], cores_by_domain: Mapping[str, Sequence[float]]
) -> Layout:
    """Divide backend servers into shares.

    `count_by_domain` has the number of backend servers of each failure domain, and
    `cores_by_domain` the processors of the VMs of its entry processes, in cores.
    """
    all_cores = [cores for group in cores_by_domain.values() for cores in group]
    part_count_by_domain, capacity_by_domain = {}, {}
    for domain, count in count_by_domain.items():
        cores = sorted(cores_by_domain.get(domain) or all_cores, reverse=True)
        part_count_by_domain[domain] = _part_count(count, cores)
        capacity_by_domain[domain] = capacity(max(cores, default=0.0))
    whole = [domain for domain in sorted(count_by_domain) if part_count_by_domain[domain] == 1]
    shares = [
        Share(
            parts=tuple(domains),
            domains=tuple(domains),
            backend_count=sum(count_by_domain[domain] for domain in domains),
        )
        for domains in _group_domains(whole, count_by_domain, capacity_by_domain)
    ]
    for domain, part_count in sorted(part_count_by_domain.items()):
        if part_count > 1:
            shares += [
                Share((part_key(domain, index),), (domain,), count_by_domain[domain] // part_count)
                for index in range(part_count)
            ]
    return Layout(tuple(shares), part_count_by_domain)


def _part_count(count: int, cores: Sequence[float]) -> int:
    """Return the least number of parts that as many of the largest VMs can carry."""
    for part_count, smallest in enumerate(cores, 1):
        if count <= capacity(smallest) * part_count:
            return part_count
    return max(len(cores), 1)


def _group_domains(
    domains: Sequence[str],
    count_by_domain: Mapping[str, int],
    capacity_by_domain: Mapping[str, float],
) -> list[Sequence[str]]:
    """Return the fewest groups of failure domains of which each fits on one VM.

    The groups depend on the counts only by their number, so that they seldom change.
    """
    for group_count in range(1, len(domains)):
        groups = [domains[index::group_count] for index in range(group_count)]
        if all(
            sum(count_by_domain[domain] for domain in group)
            <= max(capacity_by_domain[domain] for domain in group)
            for group in groups
        ):
            return groups
    return [[domain] for domain in domains]


@functools.lru_cache(maxsize=65536)
def _part_index(backend_id: str, part_count: int) -> int:
    """Return the part of a backend server by rendezvous hashing.

    When the number of parts grows by one, only the backend servers of the new part move.
    """
    if part_count <= 1:
        return 0
    return max(
        range(part_count),
        key=lambda index: xxhash.xxh3_64_intdigest(f"{backend_id}/{index}".encode()),
    )
