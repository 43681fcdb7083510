"""Loads of tasks that run faster in one location, replayed with several rules of waiting.

Run as a program, it prints the figures of docs/design/data-locality.md.
"""

from __future__ import annotations

import random
import statistics
from collections.abc import Callable
from unittest.mock import patch

import attrs
from pool_harness import FakeBackend
from pool_load import MIX, JobCounts, JobKind, earned_share, replay

from apricotpoint._pool.decisions import locality
from apricotpoint._pool.decisions.locality import Choice
from apricotpoint._wire.pool import Locality

LOCATIONS = "pqrs"
# About the mean time until a place in a location becomes free, on the load where waiting pays.
FIXED_WAIT_S = 0.1


def prefer(factor: float, *, share: float = 0.25) -> Callable[..., Locality]:
    """Return jobs with data in the four locations, of which `share` in the first."""
    weights = [share, *[(1 - share) / 3] * 3]
    return lambda source: Locality(*source.choices(LOCATIONS, weights), False, factor)


def prefer_some(source: random.Random) -> Locality:
    return Locality(source.choice(LOCATIONS), False, source.choice([1.3, 3.0]))


def make_kind(per_s: float, tasks: int, work_s: float, preference: Callable) -> JobKind:
    return JobKind("job", per_s, tasks, work_s, 0.01, 0, make_locality=preference)


# The fleet runs 16 tasks at the same time, four in each location.
LOADS = {
    "waiting pays": make_kind(18, 2, 0.2, prefer(3.0)),
    "waiting does not pay": make_kind(16, 2, 0.3, prefer(1.3)),
    "waiting pays for some": make_kind(18, 2, 0.2, prefer_some),
    "crowd": make_kind(14, 2, 0.2, prefer(1.5, share=0.8)),
    "groups": make_kind(10, 3, 0.2, lambda _: Locality("", True, 3.0)),
}


def mix(factor: float) -> tuple[JobKind, ...]:
    """Return the mix of the deployments, in which half of the jobs prefer a location."""

    def prefer_half(source: random.Random) -> Locality | None:
        return Locality(source.choice(LOCATIONS), False, factor) if source.random() < 0.5 else None

    return tuple(attrs.evolve(kind, make_locality=prefer_half) for kind in MIX)


# Loads of several kinds of jobs.
MIXES = {"mix, factor 1.5": mix(1.5), "mix, factor 3": mix(3.0)}
POLICIES: dict[str, Callable[[Choice], bool]] = {
    "decision": locality.waiting_pays,
    "start now": lambda _: False,
    "wait": lambda _: True,
    "fixed wait": lambda choice: choice.waited_s < FIXED_WAIT_S,
}


@attrs.frozen
class Figures:
    """Shares of the jobs in time, late and refused; mean wait; share of remote runs; credit."""

    in_time: float
    late: float
    refused: float
    wait_s: float
    remote: float
    credit: float


def play(load: str, policy: str, seed: int) -> Figures:
    """Replay a load for 8 s on eight backend servers in four locations."""
    fleet = [FakeBackend(location=LOCATIONS[number % 4]) for number in range(8)]
    with patch.object(locality, "waiting_pays", POLICIES[policy]):
        counts_by_kind = replay(
            load=1.0,
            seconds=8.0,
            seed=seed,
            backends=fleet,
            mix=MIXES.get(load) or (LOADS[load],),
        )
    counts = JobCounts()
    for one in counts_by_kind.values():
        counts.submitted += one.submitted
        counts.in_time += one.in_time
        counts.late += one.late
        counts.refused += one.refused
        counts.sent_at_by_job |= one.sent_at_by_job
    waits_s = [
        began_at - counts.sent_at_by_job[key.task.partition(".")[0]]
        for backend in fleet
        for key, began_at in backend.began_at_by_run.items()
    ]
    return Figures(
        in_time=counts.in_time / counts.submitted,
        late=counts.late / counts.submitted,
        refused=counts.refused / counts.submitted,
        wait_s=statistics.fmean(waits_s),
        remote=sum(backend.remote_starts for backend in fleet) / len(waits_s),
        credit=earned_share(counts_by_kind),
    )


def play_all(load: str, policy: str, seeds: tuple[int, ...] = (1, 2, 3)) -> Figures:
    """Return the means of the figures over the seeds."""
    rows = [attrs.astuple(play(load, policy, seed)) for seed in seeds]
    return Figures(*map(statistics.fmean, zip(*rows, strict=True)))


if __name__ == "__main__":
    for name in [*LOADS, *MIXES]:
        for rule in POLICIES:
            shares = attrs.astuple(play_all(name, rule))
            print(f"| {name} | {rule} |", " | ".join(f"{share:.3f}" for share in shares), "|")
