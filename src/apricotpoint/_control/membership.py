"""Automatic replacement of control members by the leader, within the tolerated losses."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable, Mapping

import attrs
import logbook

from apricotpoint._control.messages import Entry
from apricotpoint._control.replica import (
    LIVE_TIMEOUT_S,
    MAX_LEARNER_LAG_ENTRIES,
    Replica,
    Role,
)

CHECK_INTERVAL_S = 0.25
# A member that has not answered for this long is replaced if a learner is ready. A second
# member may be lost 4 s after a replacement has started, and the replacement must have been
# added by then.
REPLACE_AFTER_S = 1.5
# A member of an odd number that has not answered for this long is removed without a
# replacement if there are more members than the tolerated losses need.
REMOVE_AFTER_S = 3.0
# Fewer members would tolerate no loss at all.
MIN_MEMBERS = 3
# A learner that has not answered for this long is no longer sent entries.
LEARNER_TIMEOUT_S = 10.0

_log = logbook.Logger("control")


@attrs.frozen
class FaultTolerance:
    """What may be lost at the same time: `members` with their disks, or `domains`."""

    members: int = 1
    domains: int = 0

    @property
    def min_members(self) -> int:
        """The fewest members of which a majority is left when `members` have lost their disks."""
        return max(2 * self.members + 1, MIN_MEMBERS)

    def covers_domains(self, domains: Iterable[str]) -> bool:
        """Return whether the members in these failure domains tolerate the loss of `domains`.

        An empty name stands for a failure domain that is not known, and counts as one of its own.
        """
        counts = Counter(domains)
        unknown = counts.pop("", 0)
        sizes = sorted([*counts.values(), *[1] * unknown], reverse=True)
        return sum(sizes[self.domains :]) > sum(sizes) // 2


DEFAULT_TOLERANCE = FaultTolerance()


@attrs.frozen
class PeerStatus:
    """The state of another replica as the leader knows it.

    `silent_s` is the time since its last answer, `caught_up` whether it lacks
    few enough entries to become a member, `may_vote` whether it may be one.
    With `disk_full` it answers but stores nothing for now.
    """

    disk_id: str
    silent_s: float
    caught_up: bool
    may_vote: bool = True
    failure_domain: str = ""
    disk_full: bool = False

    @property
    def is_live(self) -> bool:
        """Whether it has answered lately."""
        return self.silent_s <= LIVE_TIMEOUT_S


@attrs.frozen
class _Situation:
    """The members and replicas as the leader `own_id` knows them; see `next_members`."""

    own_id: str
    members: Mapping[str, str]
    status_by_id: Mapping[str, PeerStatus]
    tolerance: FaultTolerance

    def is_live(self, peer_id: str) -> bool:
        """Return whether a replica has answered lately."""
        status = self.status_by_id.get(peer_id)
        return peer_id == self.own_id or (status is not None and status.is_live)

    def can_store(self, peer_id: str) -> bool:
        """Return whether a replica stores what is committed now."""
        status = self.status_by_id.get(peer_id)
        return self.is_live(peer_id) and (status is None or not status.disk_full)

    def has_live_majority(self, members: Collection[str]) -> bool:
        """Return whether the live ones of these members could commit an entry."""
        return sum(map(self.can_store, members)) > len(members) // 2

    def covers_domains(self, members: Iterable[str]) -> bool:
        """Return whether these members tolerate the loss of a failure domain."""
        return self.tolerance.covers_domains(map(self.domain_of, members))

    def domain_of(self, peer_id: str) -> str:
        """Return the failure domain of a replica, empty if it is not known."""
        status = self.status_by_id.get(peer_id)
        return status.failure_domain if status is not None else ""


def next_members(
    own_id: str,
    members: Mapping[str, str],
    status_by_id: Mapping[str, PeerStatus],
    tolerance: FaultTolerance,
) -> dict[str, str] | None:
    """Return the members after the next membership change, None if none is due.

    `members` maps each member to its disk id, `status_by_id` has all known replicas but `own_id`
    may be missing. A change adds or removes one member, or replaces the disk id of one, so that
    every majority before it overlaps every majority after it. A change must leave a majority of
    live members.

    Members are never reduced below `tolerance.min_members`. A silent member may have kept its
    disk: with fewer members, the tolerated loss of other disks would leave no majority although
    it returns. At that number its replacement is therefore added before it is removed.
    """
    # A replica that never answered this leader has not said whether it may vote.
    if not any(status.may_vote for status in status_by_id.values() if status.disk_id):
        # No replica is better than another, and without voters the configuration would be lost.
        status_by_id = {
            key: attrs.evolve(status, may_vote=True) for key, status in status_by_id.items()
        }
    situation = _Situation(own_id, members, status_by_id, tolerance)
    for peer_id, status in sorted(status_by_id.items()):
        if members.get(peer_id) not in (None, "", status.disk_id) and _is_ready(status):
            return {**members, peer_id: status.disk_id}
    leaving_id = _leaving_member(situation)
    learner_id = _best_learner(situation, leaving_id)
    if leaving_id is not None and len(members) > tolerance.min_members:
        if _may_remove(situation, leaving_id, has_replacement=learner_id is not None):
            remaining = {key: disk for key, disk in members.items() if key != leaving_id}
            return remaining if situation.has_live_majority(remaining) else None
        # Adding a member while another is unreachable could raise the required majority.
        return None
    if learner_id is None:
        return None
    if leaving_id is not None and not _may_remove(situation, leaving_id, has_replacement=True):
        return None
    larger = {**members, learner_id: status_by_id[learner_id].disk_id}
    return larger if situation.has_live_majority(larger) else None


def _is_ready(status: PeerStatus) -> bool:
    return status.caught_up and bool(status.disk_id) and status.is_live and not status.disk_full


def _leaving_member(situation: _Situation) -> str | None:
    """Return the member that is to be removed next, None if there is none.

    First the one that has been silent for the longest time, then those that may not vote, this
    replica as the last of them, then one too many in its failure domain.
    """
    own_id, status_by_id = situation.own_id, situation.status_by_id
    known = [key for key in sorted(situation.members) if key in status_by_id]
    silent = [key for key in known if not situation.is_live(key)]
    if silent:
        return max(silent, key=lambda key: status_by_id[key].silent_s)
    ineligible = [key for key in known if not status_by_id[key].may_vote]
    if ineligible:
        return min(ineligible, key=lambda key: key == own_id)
    if len(situation.members) > situation.tolerance.min_members and not situation.covers_domains(
        situation.members
    ):
        for key in known:
            if key != own_id and situation.covers_domains(situation.members.keys() - {key}):
                return key
    return None


def _may_remove(situation: _Situation, peer_id: str, *, has_replacement: bool) -> bool:
    """Return whether a member that is to be removed has been silent for long enough.

    An even number of members tolerates no more losses than one less, so nothing is lost by it.
    """
    if situation.is_live(peer_id):
        return True
    is_costly = not has_replacement and len(situation.members) % 2 == 1
    limit_s = REMOVE_AFTER_S if is_costly else REPLACE_AFTER_S
    return situation.status_by_id[peer_id].silent_s >= limit_s


def _best_learner(situation: _Situation, leaving_id: str | None) -> str | None:
    """Return the learner to add next, None if there is none of use.

    Beyond the number of members that the tolerated losses need, a learner is only added if the
    members then still tolerate the loss of a failure domain, at least after another one has left.
    """
    members, status_by_id = situation.members, situation.status_by_id
    remaining = members.keys() - {leaving_id}
    count_by_domain = Counter(map(situation.domain_of, remaining))
    ranks = [
        (
            not situation.covers_domains({*remaining, peer_id}),
            count_by_domain[status.failure_domain],
            peer_id,
        )
        for peer_id, status in status_by_id.items()
        if peer_id not in members and status.may_vote and _is_ready(status)
    ]
    if not ranks:
        return None
    leaves_uncovered, _, peer_id = min(ranks)
    is_needed = (
        leaving_id is not None
        or len(members) < situation.tolerance.min_members
        or _may_swap(situation, peer_id)
    )
    return None if leaves_uncovered and not is_needed else peer_id


def _may_swap(situation: _Situation, learner_id: str) -> bool:
    """Return whether a learner allows to remove a member too many in a failure domain."""
    members = situation.members.keys()
    return not situation.covers_domains(members) and any(
        situation.covers_domains({*members, learner_id} - {key})
        for key in members - {situation.own_id}
    )


async def maintain_members(replica: Replica, tolerance: FaultTolerance) -> None:
    """As leader, replace unreachable members and replaced disks, one change at a time.

    `tolerance` is what the members have to bear. Runs until cancelled and does
    nothing while this replica is not the leader.
    """
    while True:
        await replica.timers.sleep(CHECK_INTERVAL_S)
        if replica.role is not Role.LEADER or not replica.is_fully_committed():
            continue
        _drop_silent_learners(replica)
        members = replica.log.disk_by_member()
        new_members = next_members(replica.node_id, members, _status_by_id(replica), tolerance)
        if new_members is not None:
            _log.notice(
                "control members change from {} to {} in term {}",
                sorted(members),
                sorted(new_members),
                replica.log.term,
            )
            replica.counters.add("control.members_changed")
            replica.learner_ids |= set(members) - set(new_members)
            replica.append_as_leader(
                Entry(term=replica.log.term, disk_by_member=dict(sorted(new_members.items())))
            )


def _status_by_id(replica: Replica) -> dict[str, PeerStatus]:
    now = replica.timers.now()
    status_by_id = {
        peer_id: PeerStatus(
            disk_id=progress.disk_id,
            silent_s=now - progress.acked_at,
            caught_up=progress.match_index + MAX_LEARNER_LAG_ENTRIES >= replica.log.last_index
            and progress.match_index > 0,
            may_vote=progress.traits.may_vote,
            failure_domain=progress.traits.failure_domain,
            disk_full=progress.disk_full,
        )
        for peer_id, progress in replica.progress_by_id.items()
    }
    status_by_id[replica.node_id] = PeerStatus(
        disk_id=replica.identity.disk_id,
        silent_s=0.0,
        caught_up=True,
        may_vote=replica.traits.may_vote,
        failure_domain=replica.traits.failure_domain,
    )
    return status_by_id


def _drop_silent_learners(replica: Replica) -> None:
    now = replica.timers.now()
    members = replica.log.disk_by_member()
    for peer_id in list(replica.learner_ids):
        progress = replica.progress_by_id.get(peer_id)
        if peer_id in members:
            replica.learner_ids.discard(peer_id)
        elif progress is not None and now - progress.acked_at > LEARNER_TIMEOUT_S:
            replica.drop_learner(peer_id)
