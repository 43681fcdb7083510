"""Membership changes after which a tolerated loss leaves no majority."""

from __future__ import annotations

from pathlib import Path

import anyio
from control_network import IDS, Cluster, run, wait_until
from test_lost_members import add, check_change, running_ids
from test_membership import ONE, TWO, live, next_members

from apricotpoint._control.membership import FaultTolerance
from apricotpoint._core.codes import ResultCode


def test_a_returned_failure_domain_takes_its_place_again():
    """Guards against a majority in one failure domain that stays after the others are back."""
    domains = {"1": "x", "2": "y", "4": "x", "3": "z", "5": "y", "6": "z"}
    statuses = {key: live(f"disk-{key}", domain) for key, domain in domains.items()}
    members = {key: f"disk-{key}" for key in ("1", "2", "4")}
    for _ in range(6):
        changed = next_members("2", members, statuses, ONE)
        if changed is None:
            break
        members = changed
    assert ONE.covers_domains(domains[key] for key in members), members


def test_a_returned_failure_domain_takes_its_place_again_among_five():
    """Guards against a majority in one failure domain that stays after the others are back."""
    domains = {"1": "x", "2": "x", "3": "x", "4": "y", "5": "y", "6": "z", "7": "z"}
    statuses = {key: live(f"disk-{key}", domain) for key, domain in domains.items()}
    members = {key: f"disk-{key}" for key in "12345"}
    for _ in range(6):
        changed = next_members("4", members, statuses, TWO)
        if changed is None:
            break
        members = changed
    assert TWO.covers_domains(domains[key] for key in members), members


def test_one_failure_domain_after_another_is_lost(tmp_path: Path):
    """Guards against two of three members in one failure domain after another was lost."""

    async def main() -> None:
        async with anyio.create_task_group() as group:
            cluster = Cluster(group, tmp_path)
            cluster.tolerance = FaultTolerance(members=1, domains=1)
            await cluster.start_new_deployment()
            await add(cluster, "c1-b", "c2-b", "c3-b")
            await check_change(cluster, "one")
            for number, domain in enumerate(("c3", "c1", "c2", "c3", "c1", "c2")):
                lost = [domain, f"{domain}-b"]
                await cluster.kill(*lost)
                await anyio.sleep(6.0)
                leaders = [n for n in cluster.nodes() if n.replica.role.value == "leader"]
                assert leaders, (domain, cluster.nodes()[0].replica.log.disk_by_member())
                await check_change(cluster, f"lost-{number}")
                await cluster.start(*lost)
                await anyio.sleep(10.0)
            group.cancel_scope.cancel()

    run(main)


def test_replicas_that_may_not_vote_replace_a_lost_leader(tmp_path: Path):
    """Guards against a lost member that counts as a voter because it never answered the leader."""

    async def main() -> None:
        async with anyio.create_task_group() as group:
            cluster = Cluster(group, tmp_path)
            cluster.tolerance = FaultTolerance(members=1, domains=1)
            cluster.ids_without_vote = {*IDS, "c1-n", "c2-n", "c3-n"}
            await cluster.start_new_deployment()
            await anyio.sleep(3.0)
            first = await cluster.leader()
            await cluster.kill(first)
            await add(cluster, f"{first}-n")
            await anyio.sleep(5.0)
            members = cluster.node(await cluster.leader()).replica.log.disk_by_member()
            assert f"{first}-n" in members
            await check_change(cluster, "one")
            second = await cluster.leader()
            await cluster.kill(second)
            await check_change(cluster, "two")
            group.cancel_scope.cancel()

    run(main)


def test_an_up_to_date_member_is_elected_by_members_that_have_not_heard_of_it(tmp_path: Path):
    """Guards against two lost disks that leave no leader as the others lack a membership change."""

    async def main() -> None:
        async with anyio.create_task_group() as group:
            cluster = Cluster(group, tmp_path)
            cluster.tolerance = FaultTolerance(members=2, domains=1)
            await cluster.start_new_deployment()
            await add(cluster, "c1-b")
            leader_id = await cluster.leader()
            replica = cluster.node(leader_id).replica
            assert len(replica.log.disk_by_member()) == 4
            await cluster.initialise("c2-b", first=False)
            await cluster.start("c2-b")
            others = [key for key in (*IDS, "c1-b") if key != leader_id]
            slow, quick = others[:2], others[2]

            def has_entries() -> bool:
                progress = replica.progress_by_id.get("c2-b")
                return progress is not None and progress.match_index > 0

            await wait_until(has_entries, within_s=5.0)
            links = {(leader_id, key) for key in slow}
            cluster.network.blocked_links |= links
            await wait_until(
                lambda: "c2-b" in replica.log.disk_by_member() and replica.is_fully_committed(),
                within_s=0.9,
            )
            version = replica.state.configuration.version
            reply = await cluster.change(leader_id, "one", version)
            assert reply.code == ResultCode.ACCEPTED, reply
            running = running_ids(cluster)
            await cluster.kill(*running)
            cluster.network.blocked_links -= links
            for node_id in (leader_id, quick):
                await cluster.replace_disk(node_id)
            await cluster.start(*running)
            await check_change(cluster, "two")
            group.cancel_scope.cancel()

    run(main)
