"""Replacement of lost control processes by the leader."""

from __future__ import annotations

from collections.abc import Mapping

import attrs
import logbook

from apricotpoint._control.messages import Entry
from apricotpoint._control.replica import MAX_LEARNER_LAG_ENTRIES, Replica, Role

# Membership is checked this often, in seconds.
CHECK_INTERVAL_S = 0.25
# A replica counts as live if it has answered within this time, in seconds.
LIVE_TIMEOUT_S = 1.0
# Silence in seconds after which a member makes room for a learner. A second
# loss may follow 4 s after a replacement has started, and it must have been
# added by then.
REPLACE_AFTER_S = 1.5
# Silence in seconds after which a member is removed without a replacement, as
# long as more than the smallest fault-tolerant number of members remains.
REMOVE_AFTER_S = 3.0
MIN_FAULT_TOLERANT_MEMBERS = 3
# A learner that is silent for this long, in seconds, is no longer sent entries.
LEARNER_TIMEOUT_S = 10.0

_log = logbook.Logger("control")


@attrs.frozen
class PeerStatus:
    """What the leader knows of another replica; `silent_s` is the time since its last answer."""

    disk_id: str
    silent_s: float
    caught_up: bool


def next_members(
    own_id: str, members: Mapping[str, str], status_by_id: Mapping[str, PeerStatus]
) -> dict[str, str] | None:
    """Return the members after the next single change, None if none is due.

    `members` has the disk id of each member. Only one member is added, removed
    or given another disk at a time, so that the majorities before and after
    overlap. A removal must leave a majority of live members.
    """
    ready = {
        peer_id: view.disk_id
        for peer_id, view in sorted(status_by_id.items())
        if view.caught_up and view.disk_id and view.silent_s <= LIVE_TIMEOUT_S
    }
    for peer_id, disk_id in ready.items():
        if members.get(peer_id) not in (None, "", disk_id):
            return {**members, peer_id: disk_id}
    learners = [peer_id for peer_id in ready if peer_id not in members]
    lost = _longest_silent(own_id, members, status_by_id)
    if lost is not None:
        limit_s = REPLACE_AFTER_S if learners else REMOVE_AFTER_S
        may_shrink = bool(learners) or len(members) > MIN_FAULT_TOLERANT_MEMBERS
        remaining = {key: disk for key, disk in members.items() if key != lost}
        live = sum(key == own_id or key in ready for key in remaining)
        silent_s = status_by_id[lost].silent_s
        if may_shrink and silent_s >= limit_s and live > len(remaining) // 2:
            return remaining
        if silent_s > LIVE_TIMEOUT_S:
            # Adding to a cluster with a lost member would raise the majority it needs.
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
    """As leader, replace lost members and wiped disks by learners, one change at a time."""
    while True:
        await replica.timers.sleep(CHECK_INTERVAL_S)
        if replica.role is not Role.LEADER or not replica.is_fully_committed():
            continue
        _drop_silent_learners(replica)
        members = replica.log.disk_by_member()
        changed = next_members(replica.node_id, members, _peer_statuses(replica))
        if changed is not None:
            _log.notice("members change from {} to {}", sorted(members), sorted(changed))
            replica.counters.add("control.members_changed")
            replica.learner_ids |= set(members) - set(changed)
            replica.append_as_leader(
                Entry(term=replica.log.term, disk_by_member=dict(sorted(changed.items())))
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
