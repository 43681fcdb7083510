"""Automatic membership changes: the leader replaces unreachable members one at a time."""

from __future__ import annotations

from apricotpoint._control.membership import PeerStatus, next_members


def live(disk: str) -> PeerStatus:
    return PeerStatus(disk_id=disk, silent_s=0.1, caught_up=True)


def silent(disk: str, seconds: float) -> PeerStatus:
    return PeerStatus(disk_id=disk, silent_s=seconds, caught_up=True)


MEMBERS = {"1": "a", "2": "b", "3": "c"}


def test_nothing_changes_while_all_members_are_live():
    """Guards against membership changes without a cause."""
    assert next_members("1", MEMBERS, {"2": live("b"), "3": live("c")}) is None


def test_a_replaced_disk_is_recorded_once_it_has_caught_up():
    """Guards against a member that never counts towards majorities again after a disk loss."""
    statuses = {"2": live("b"), "3": live("new")}
    assert next_members("1", MEMBERS, statuses) == {**MEMBERS, "3": "new"}
    statuses["3"] = PeerStatus(disk_id="new", silent_s=0.1, caught_up=False)
    assert next_members("1", MEMBERS, statuses) is None


def test_an_unreachable_member_is_removed_before_a_learner_is_added():
    """Guards against majorities that have to include members that never return."""
    statuses = {"2": live("b"), "3": silent("c", 2.0), "4": live("d")}
    shrunk = next_members("1", MEMBERS, statuses)
    assert shrunk == {"1": "a", "2": "b"}
    assert next_members("1", shrunk, statuses) == {"1": "a", "2": "b", "4": "d"}


def test_an_unreachable_member_stays_without_a_replacement():
    """Guards against a cluster of two members, which tolerates no loss."""
    assert next_members("1", MEMBERS, {"2": live("b"), "3": silent("c", 60.0)}) is None


def test_a_cluster_of_five_removes_an_unreachable_member():
    """Guards against an unreachable member that raises the majority of a larger cluster."""
    members = {**MEMBERS, "4": "d", "5": "e"}
    statuses = {"2": live("b"), "3": live("c"), "4": live("d"), "5": silent("e", 3.5)}
    assert next_members("1", members, statuses) == {**MEMBERS, "4": "d"}


def test_a_removal_leaves_a_live_majority():
    """Guards against a removal that the remaining live members could not commit."""
    statuses = {"2": silent("b", 9.0), "3": silent("c", 2.0), "4": live("d")}
    assert next_members("1", MEMBERS, statuses) is None


def test_a_learner_becomes_a_member_when_all_members_are_live():
    """Guards against a new control process that never becomes a member."""
    statuses = {"2": live("b"), "3": live("c"), "4": live("d")}
    assert next_members("1", MEMBERS, statuses) == {**MEMBERS, "4": "d"}
