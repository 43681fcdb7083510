"""Automatic membership changes: the leader replaces unreachable members one at a time."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from apricotpoint._control import membership
from apricotpoint._control.membership import FaultTolerance, PeerStatus

ONE, TWO = FaultTolerance(members=1, domains=1), FaultTolerance(members=2, domains=1)


def live(disk: str, domain: str = "", *, may_vote: bool = True) -> PeerStatus:
    return PeerStatus(disk, 0.1, caught_up=True, may_vote=may_vote, failure_domain=domain)


def silent(disk: str, seconds: float, domain: str = "") -> PeerStatus:
    return PeerStatus(disk, seconds, caught_up=True, failure_domain=domain)


def next_members(
    own_id: str,
    members: Mapping[str, str],
    status_by_id: Mapping[str, PeerStatus],
    tolerance: FaultTolerance = ONE,
) -> dict[str, str] | None:
    return membership.next_members(own_id, members, status_by_id, tolerance)


MEMBERS = {"1": "a", "2": "b", "3": "c"}
FIVE = {**MEMBERS, "4": "d", "5": "e"}


def test_nothing_changes_while_all_members_are_live():
    """Guards against membership changes without a cause."""
    assert next_members("1", MEMBERS, {"2": live("b"), "3": live("c")}) is None


def test_a_replaced_disk_is_recorded_once_it_has_caught_up():
    """Guards against a member that never counts towards majorities again after a disk loss."""
    statuses = {"2": live("b"), "3": live("new")}
    assert next_members("1", MEMBERS, statuses) == {**MEMBERS, "3": "new"}
    statuses["3"] = PeerStatus(disk_id="new", silent_s=0.1, caught_up=False)
    assert next_members("1", MEMBERS, statuses) is None


def test_a_replacement_is_added_before_the_silent_member_is_removed():
    """Guards against too few disks with the log if the silent one returns and another is lost."""
    statuses = {"2": live("b"), "3": silent("c", 2.0), "4": live("d")}
    grown = next_members("1", MEMBERS, statuses)
    assert grown == {**MEMBERS, "4": "d"}
    assert next_members("1", grown, statuses) == {"1": "a", "2": "b", "4": "d"}


def test_a_silent_member_of_a_larger_cluster_is_removed_before_its_replacement_is_added():
    """Guards against majorities that have to include members that never return."""
    members = {**MEMBERS, "4": "d"}
    statuses = {"2": live("b"), "3": live("c"), "4": silent("d", 2.0), "5": live("e")}
    shrunk = next_members("1", members, statuses)
    assert shrunk == MEMBERS
    assert next_members("1", shrunk, statuses) == {**MEMBERS, "5": "e"}


def test_an_unreachable_member_stays_without_a_replacement():
    """Guards against a cluster of two members, which tolerates no loss."""
    assert next_members("1", MEMBERS, {"2": live("b"), "3": silent("c", 60.0)}) is None


def test_a_cluster_of_five_removes_an_unreachable_member():
    """Guards against an unreachable member that raises the majority of a larger cluster."""
    statuses = {"2": live("b"), "3": live("c"), "4": live("d"), "5": silent("e", 3.5)}
    assert next_members("1", FIVE, statuses) == {**MEMBERS, "4": "d"}


def test_replicas_with_full_disks_do_not_raise_the_majority_and_stay_members():
    """Guards against a membership change that a majority cannot store, or for a short shortage."""
    full = attrs.evolve(live("b"), disk_full=True)
    others = {"2": full, "3": live("c"), "4": live("d")}
    assert next_members("1", FIVE, {**others, "5": live("e")}, TWO) is None
    statuses = {**others, "5": silent("e", 2.0), "6": attrs.evolve(live("f"), disk_full=True)}
    assert next_members("1", FIVE, statuses, TWO) is None
    statuses["6"] = live("f")
    assert next_members("1", FIVE, statuses, TWO) == {**FIVE, "6": "f"}
    # Of six, three could store, which is no majority.
    statuses["4"] = attrs.evolve(live("d"), disk_full=True)
    assert next_members("1", FIVE, statuses, TWO) is None


def test_a_removal_leaves_a_live_majority():
    """Guards against a removal that the remaining live members could not commit."""
    statuses = {"2": silent("b", 9.0), "3": silent("c", 2.0), "4": live("d")}
    assert next_members("1", MEMBERS, statuses) is None


def test_a_learner_becomes_a_member_when_all_members_are_live():
    """Guards against a new control process that never becomes a member."""
    statuses = {"2": live("b"), "3": live("c"), "4": live("d")}
    assert next_members("1", MEMBERS, statuses) == {**MEMBERS, "4": "d"}


def test_members_are_not_reduced_below_what_the_tolerated_losses_need():
    """Guards against a majority that is lost with two disks while a dark member keeps its own."""
    statuses = {"2": live("b"), "3": live("c"), "4": live("d"), "5": silent("e", 60.0)}
    assert next_members("1", FIVE, statuses, TWO) is None


def test_a_replica_that_does_not_count_becomes_no_member():
    """Guards against majorities that need processes of which any number may be lost."""
    statuses = {"2": live("b"), "3": live("c"), "4": live("d", may_vote=False)}
    assert next_members("1", MEMBERS, statuses) is None
    statuses["3"] = silent("c", 60.0)
    assert next_members("1", MEMBERS, statuses) is None


def test_members_that_do_not_count_leave_once_there_are_enough_others():
    """Guards against members of an earlier release that may be lost in any number."""
    members = {**MEMBERS, "4": "d"}
    statuses = {key: live(disk) for key, disk in members.items()}
    statuses["4"] = live("d", may_vote=False)
    assert next_members("1", members, statuses) == MEMBERS
    assert next_members("4", members, statuses) == MEMBERS
    del members["3"], statuses["3"]
    assert next_members("1", members, statuses) is None
    statuses["5"] = live("e")
    assert next_members("1", members, statuses) == {**members, "5": "e"}


def test_a_learner_that_would_give_its_failure_domain_half_of_the_members_waits():
    """Guards against the loss of a failure domain that takes the majority with it."""
    domains = {"1": "x", "2": "y", "3": "z", "4": "x"}
    statuses = {key: live(f"disk-{key}", domain) for key, domain in domains.items()}
    members = {key: f"disk-{key}" for key in "123"}
    assert next_members("1", members, statuses) is None
    # Two more lost disks need five members, whatever the failure domains.
    assert next_members("1", members, statuses, TWO) == {**members, "4": "disk-4"}


def test_a_learner_of_another_failure_domain_is_preferred():
    """Guards against a replacement that gives one failure domain the majority."""
    domains = {"1": "x", "2": "y", "4": "x", "5": "z"}
    statuses = {key: live(f"disk-{key}", domain) for key, domain in domains.items()}
    statuses["3"] = silent("disk-3", 2.0, "z")
    members = {key: f"disk-{key}" for key in "123"}
    assert next_members("1", members, statuses) == {**members, "5": "disk-5"}


def test_a_member_too_many_in_a_failure_domain_is_removed():
    """Guards against an uneven division that stays after a failure domain is back."""
    domains = {"1": "x", "2": "y", "3": "z", "4": "x"}
    statuses = {key: live(f"disk-{key}", domain) for key, domain in domains.items()}
    members = {key: f"disk-{key}" for key in domains}
    assert next_members("1", members, statuses) == {key: members[key] for key in "123"}


def test_replicas_that_may_not_vote_replace_each_other_if_there_are_no_others():
    """Guards against a deployment without voters after all initial members were replaced."""
    domains = {"1": "x", "2": "y", "4": "z"}
    statuses = {
        key: PeerStatus(f"disk-{key}", 0.1, caught_up=True, may_vote=False, failure_domain=domain)
        for key, domain in domains.items()
    }
    statuses["3"] = PeerStatus("disk-3", 2.0, True, may_vote=False, failure_domain="z")
    members = {key: f"disk-{key}" for key in "123"}
    assert next_members("1", members, statuses) == {**members, "4": "disk-4"}
