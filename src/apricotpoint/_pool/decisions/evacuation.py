"""What may still start in an evacuated failure domain, and what becomes of the jobs there.

The load pattern behind it: a failure domain with a third of the resources is taken out of use
under full load. Jobs that wait there lose the rest of their time unless they go to other holders
at once, and a job of which some tasks have ended is worth finishing, as its work is lost otherwise.

All times are monotonic seconds. A holder or process about which nothing is known counts as not
evacuated: a wrong choice costs a message, as the holder itself does not start the job.
"""

from __future__ import annotations

import enum
from collections.abc import Collection, Iterable, Iterator, Mapping
from typing import TYPE_CHECKING

from apricotpoint._pool.decisions.shares import domain_of
from apricotpoint._wire.pool import EntryStatus, EntrySummary

if TYPE_CHECKING:
    from apricotpoint._pool.runs.heldbackend import HeldBackend
    from apricotpoint._pool.runs.job import Job

# Jobs that had started may start their remaining tasks for this long after their process has
# learned of the order: what `LATE_START_S` and the way of the order leave of the time-out of 5 s.
EVACUATION_GRACE_S = 1.5
# The start of a task may reach its backend server this long after it was decided: its lease, after
# which the backend server refuses it, and the age that a confirmation has when it arrives.
LATE_START_S = 1.1


class Fate(enum.Enum):
    """What becomes of an open job when backend servers of its holder are evacuated.

    `STAYS`: it waits on. `MOVES`: none of its tasks has started, so another holder can
    take it. `ENDS`: it has started, and its remaining tasks cannot start here any more.
    """

    STAYS = "stays"
    MOVES = "moves"
    ENDS = "ends"


def grace_s(unconfirmed_s: float, timeout_s: float) -> float:
    """Return for how long jobs that have started may start tasks there, from now on, in seconds.

    `unconfirmed_s` is the time since this process knew that its configuration was the latest,
    infinity if it never did: the order may be that old. No task starts later than `timeout_s` after
    the order, so a process that was cut off or has just started gets less time, or none.
    """
    return max(min(EVACUATION_GRACE_S, timeout_s - LATE_START_S - unconfirmed_s), 0.0)


def may_start(starts_end_at: float | None, now: float, *, job_started: bool) -> bool:
    """Return whether a task may start on a backend server now.

    `starts_end_at` is the end of the grace period of its failure domain, None if the domain is not
    evacuated. `job_started` tells whether another task of the job was started before.
    """
    return starts_end_at is None or (job_started and now < starts_end_at)


def fate(*, started: bool, has_other: bool, latest_start_at: float, now: float) -> Fate:
    """Return what becomes of a job of which a task still has to start.

    `has_other` tells whether its holder has a backend server outside of the evacuated domains that
    can run it. `latest_start_at` is the end of the grace period of the evacuated ones that can.
    """
    if has_other:
        return Fate.STAYS
    if not started:
        return Fate.MOVES
    return Fate.STAYS if now < latest_start_at else Fate.ENDS


def decide(
    jobs: Iterable[Job], backends: Iterable[HeldBackend], now: float
) -> Iterator[tuple[Job, Fate]]:
    """Yield each open job that does not stay, with its fate; `backends` are all held here."""
    usable = [held for held in backends if not held.announcement.leaving]
    if not any(held.is_evacuated for held in usable):
        return
    for job in jobs:
        if not job.waiting_tasks():
            # Runs in progress end normally.
            continue
        suitable = [held for held in usable if held.can_run(job.request)]
        ends = [held.starts_end_at for held in suitable if held.starts_end_at is not None]
        if not ends:
            continue
        decided = fate(
            started=job.started,
            has_other=any(
                not held.is_evacuated and (job.started or not held.handing_over)
                for held in suitable
            ),
            latest_start_at=max(ends),
            now=now,
        )
        if decided is not Fate.STAYS:
            yield job, decided


def usable_holders(
    status_by_entry: Mapping[str, EntryStatus], evacuated: Collection[str]
) -> dict[str, EntryStatus]:
    """Return the holders that may be chosen: all but those that claim evacuated domains only."""
    if not evacuated:
        return dict(status_by_entry)
    return {
        entry_id: status
        for entry_id, status in status_by_entry.items()
        if not _is_evacuated(status.term_by_claim, evacuated)
    }


def prefer_usable(
    summary_by_entry: Mapping[str, EntrySummary], evacuated: Collection[str]
) -> list[str]:
    """Return the holders to choose from by their summaries, which do not name their claims.

    A process mostly claims parts of its own domain, so those of evacuated domains come into
    question only if there are no others.
    """
    usable = [
        entry_id
        for entry_id, summary in summary_by_entry.items()
        if summary.failure_domain not in evacuated
    ]
    return usable or list(summary_by_entry)


def _is_evacuated(parts: Iterable[str], evacuated: Collection[str]) -> bool:
    domains = {domain_of(part) for part in parts}
    return bool(domains) and domains <= set(evacuated)
