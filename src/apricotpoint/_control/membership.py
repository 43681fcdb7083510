"""Automatic replacement of unreachable control members by the leader."""

from __future__ import annotations

from collections.abc import Mapping

import attrs
import logbook

from apricotpoint._control.messages import Entry
from apricotpoint._control.replica import MAX_LEARNER_LAG_ENTRIES, Replica, Role

CHECK_INTERVAL_S = 0.25
# A replica is live if it has answered within this time.
LIVE_TIMEOUT_S = 1.0
# A member that has not answered for this long is replaced if a learner is ready. A second
# member may be lost 4 s after a replacement has started, and the replacement must have been
# added by then.
REPLACE_AFTER_S = 1.5
# A member that has not answered for this long is removed without a replacement if there are
# more members than the smallest number that tolerates the loss of one.
REMOVE_AFTER_S = 3.0
MIN_FAULT_TOLERANT_MEMBERS = 3
# A learner that has not answered for this long is no longer sent entries.
LEARNER_TIMEOUT_S = 10.0

_log = logbook.Logger("control")


@attrs.frozen
class PeerStatus:
    """The state of another replica as the leader knows it.

    `silent_s` is the time since its last answer, `caught_up` whether it lacks
    few enough entries to become a member.
    """

    disk_id: str
    silent_s: float
    caught_up: bool


def next_members(
    own_id: str, members: Mapping[str, str], status_by_id: Mapping[str, PeerStatus]
) -> dict[str, str] | None:
    """Return the members after the next membership change, None if none is due.

    `members` maps each member to its disk id. A change adds or removes one
    member, or replaces the disk id of one, so that every majority before it
    overlaps every majority after it. A removal must leave a majority of live
    members.
    """
    ready = {
        peer_id: status.disk_id
        for peer_id, status in sorted(status_by_id.items())
        if status.caught_up and status.disk_id and status.silent_s <= LIVE_TIMEOUT_S
    }
    for peer_id, disk_id in ready.items():
        if members.get(peer_id) not in (None, "", disk_id):
            return {**members, peer_id: disk_id}
    learners = [peer_id for peer_id in ready if peer_id not in members]
    longest_silent_id = _longest_silent(own_id, members, status_by_id)
    if longest_silent_id is not None:
        limit_s = REPLACE_AFTER_S if learners else REMOVE_AFTER_S
        may_remove = bool(learners) or len(members) > MIN_FAULT_TOLERANT_MEMBERS
        remaining = {key: disk for key, disk in members.items() if key != longest_silent_id}
        live_count = sum(key == own_id or key in ready for key in remaining)
        silent_s = status_by_id[longest_silent_id].silent_s
        if may_remove and silent_s >= limit_s and live_count > len(remaining) // 2:
            return remaining
        if silent_s > LIVE_TIMEOUT_S:
            # Adding a member while another is unreachable could raise the required majority.
            return None
    if learners:
        return {**members, learners[0]: ready[learners[0]]}
    return None


def _longest_silent(
    own_id: str, members: Mapping[str, str], status_by_id: Mapping[str, PeerStatus]
) -> str | None:
    others = [key for key in members if key != own_id and key in status_by_id]
    return max(others, key=lambda key: status_by_id[key].silent_s, default=None)


async def maintain_members(replica: Replica) -> None:
    """As leader, replace unreachable members and replaced disks, one change at a time.

    Runs until cancelled and does nothing while this replica is not the leader.
    """
    while True:
        await replica.timers.sleep(CHECK_INTERVAL_S)
        if replica.role is not Role.LEADER or not replica.is_fully_committed():
            continue
        _drop_silent_learners(replica)
        members = replica.log.disk_by_member()
        new_members = next_members(replica.node_id, members, _peer_statuses(replica))
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


def _peer_statuses(replica: Replica) -> dict[str, PeerStatus]:
    now = replica.timers.now()
    return {
        peer_id: PeerStatus(
            disk_id=progress.disk_id,
            silent_s=now - progress.acked_at,
            caught_up=progress.match_index + MAX_LEARNER_LAG_ENTRIES >= replica.log.last_index
            and progress.match_index > 0,
        )
        for peer_id, progress in replica.progress_by_id.items()
    }


def _drop_silent_learners(replica: Replica) -> None:
    now = replica.timers.now()
    members = replica.log.disk_by_member()
    for peer_id in list(replica.learner_ids):
        progress = replica.progress_by_id.get(peer_id)
        if peer_id in members:
            replica.learner_ids.discard(peer_id)
        elif progress is not None and now - progress.acked_at > LEARNER_TIMEOUT_S:
            replica.learner_ids.discard(peer_id)
            replica.progress_by_id.pop(peer_id, None)
