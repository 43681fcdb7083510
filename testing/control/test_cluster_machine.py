"""Random faults on a cluster of three replicas, checked against an oracle.

The oracle checks three invariants: committed changes are never lost or
reordered, a term has at most one leader, and the reply to a command id never
changes.
"""

from __future__ import annotations

import math
import tempfile
from collections.abc import Awaitable, Callable
from contextlib import ExitStack
from pathlib import Path

import anyio
import anyio.from_thread
import attrs
import trio.testing
from anyio.abc import TaskStatus
from control_network import IDS, Cluster, wait_until
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from apricotpoint._control.replica import Role
from apricotpoint._core.codes import ResultCode

NODES = st.sampled_from(IDS)
DIRECTIONS = st.sampled_from([(True, True), (True, False), (False, True)])


@attrs.define
class Oracle:
    """The observations of one run, against which later ones are checked."""

    answer_by_command: dict[str, tuple[int, int]] = attrs.Factory(dict)
    leader_by_term: dict[int, str] = attrs.Factory(dict)
    drained_by_version: dict[int, list[str]] = attrs.Factory(dict)

    def check_reply(self, command_id: str, code: int, version: int) -> None:
        """Check a reply against an earlier one to the same command; 4102 decides nothing."""
        if code != ResultCode.NO_MAJORITY:
            first = self.answer_by_command.setdefault(command_id, (code, version))
            assert first == (code, version), f"{command_id} got two different replies"

    def check_nodes(self, cluster: Cluster) -> None:
        """Check the leaders and the committed configurations of all nodes."""
        for node in cluster.nodes():
            replica = getattr(node, "replica", None)
            if replica is None:
                continue
            if replica.role is Role.LEADER:
                leader = self.leader_by_term.setdefault(replica.log.term, node.node_id)
                assert leader == node.node_id, f"two leaders in term {replica.log.term}"
            configuration = replica.state.configuration
            known = self.drained_by_version.setdefault(
                configuration.version, configuration.drained_vms
            )
            assert known == configuration.drained_vms, "two nodes differ in the same version"

    def check_end(self, drained: list[str]) -> None:
        """Check that exactly the accepted changes are active, each from its version on."""
        for command_id, (code, version) in self.answer_by_command.items():
            assert (command_id in drained) == (code == ResultCode.ACCEPTED), command_id
            for seen_version, seen in self.drained_by_version.items():
                if code == ResultCode.ACCEPTED:
                    assert (command_id in seen) == (seen_version >= version), command_id


class ClusterMachine(RuleBasedStateMachine):
    """Faults and requests as rules; virtual time advances only while a rule runs."""

    def __init__(self) -> None:
        super().__init__()
        self.oracle = Oracle()
        self._resources = ExitStack()
        folder = Path(self._resources.enter_context(tempfile.TemporaryDirectory()))
        self._clock = trio.testing.MockClock()
        self._portal = self._resources.enter_context(
            anyio.from_thread.start_blocking_portal("trio", {"clock": self._clock})
        )
        host, _ = self._portal.start_task(self._host)
        self._resources.callback(host.result)
        self._resources.callback(lambda: self._portal.call(self._ended.set))
        self._commands = 0
        self._run(self._start, folder)

    async def _host(self, *, task_status: TaskStatus[None]) -> None:
        async with anyio.create_task_group() as self._group:
            self._ended = anyio.Event()
            task_status.started()
            await self._ended.wait()
            self._group.cancel_scope.cancel()

    async def _start(self, folder: Path) -> None:
        self.cluster = Cluster(self._group, folder)
        await self.cluster.start_new_deployment()

    def _run(self, function: Callable[..., Awaitable[None]], *args: object) -> None:
        async def timed() -> None:
            self._clock.autojump_threshold = 0
            try:
                await function(*args)
            finally:
                self._clock.autojump_threshold = math.inf

        self._portal.call(timed)

    async def _change(self, node_id: str, command_id: str, base_version: int) -> None:
        reply = await self.cluster.change(node_id, command_id, base_version)
        self.oracle.check_reply(command_id, reply.code, reply.version)

    async def _send(self, node_id: str, command_id: str, base_version: int) -> None:
        self._group.start_soon(self._change, node_id, command_id, base_version)
        await anyio.sleep(0.001)

    @rule(node_id=NODES, behind=st.integers(0, 1), wait=st.booleans())
    def change(self, node_id: str, behind: int, wait: bool) -> None:
        """Send a new change based on the latest observed version or on the one before."""
        self._commands += 1
        base = max(0, max(self.oracle.drained_by_version, default=0) - behind)
        send = self._change if wait else self._send
        self._run(send, node_id, f"cmd-{self._commands:04}", base)

    @rule(node_id=NODES, back=st.integers(0, 5))
    def resend(self, node_id: str, back: int) -> None:
        """Send an earlier command again."""
        if self._commands > back:
            base = max(self.oracle.drained_by_version, default=0)
            self._run(self._change, node_id, f"cmd-{self._commands - back:04}", base)

    @rule(seconds=st.sampled_from([0.002, 0.05, 0.7, 3.0]))
    def pass_time(self, seconds: float) -> None:
        """Let the cluster run for some virtual time."""
        self._run(anyio.sleep, seconds)

    @rule(node_id=NODES)
    def kill(self, node_id: str) -> None:
        """Kill a node; its disk loses unsynced data."""
        if self.cluster.is_running(node_id):
            self._run(self.cluster.kill, node_id)

    @rule(node_id=NODES)
    def restart(self, node_id: str) -> None:
        """Start a node that was killed."""
        if not self.cluster.is_running(node_id):
            self._run(self.cluster.start, node_id)

    @rule(node_id=NODES, direction=DIRECTIONS)
    def block_links(self, node_id: str, direction: tuple[bool, bool]) -> None:
        """Isolate a node from the other nodes and from the client."""
        inward, outward = direction
        self.cluster.network.isolate(node_id, inward=inward, outward=outward)

    @rule()
    def heal(self) -> None:
        """End all partitions."""
        self.cluster.network.blocked_links.clear()

    @rule(drop=st.sampled_from([0.0, 0.2]), jitter_s=st.sampled_from([0.0, 0.05, 1.0]))
    def degrade_network(self, drop: float, jitter_s: float) -> None:
        """Drop, delay, reorder and duplicate messages."""
        network = self.cluster.network
        network.drop_rate, network.duplicate_rate, network.jitter_s = (
            drop,
            drop,
            jitter_s,
        )

    @rule(node_id=NODES, sync_s=st.sampled_from([0.002, 0.1]))
    def slow_disk(self, node_id: str, sync_s: float) -> None:
        """Set the duration of a sync on one disk."""
        self.cluster.disk_by_id[node_id].sync_s = sync_s

    @invariant()
    def check(self) -> None:
        """Compare all nodes with the oracle."""
        self.oracle.check_nodes(self.cluster)

    def teardown(self) -> None:
        """End all faults; the cluster must then work and have every accepted change."""
        try:
            self._run(self._finish)
        finally:
            self._resources.close()

    async def _finish(self) -> None:
        cluster = self.cluster
        cluster.network.blocked_links.clear()
        cluster.network.drop_rate = cluster.network.duplicate_rate = cluster.network.jitter_s = 0.0
        await cluster.start(*(item for item in IDS if not cluster.is_running(item)))
        leader = await cluster.leader(within_s=60)
        await anyio.sleep(10)
        assert cluster.exit_code_by_id == {}
        states = [node.replica.state.configuration for node in cluster.nodes()]
        await wait_until(lambda: len(cluster.nodes()) == len(IDS))
        assert all(state == states[0] for state in states)
        self.oracle.check_nodes(cluster)
        self.oracle.check_end(cluster.node(leader).replica.state.configuration.drained_vms)


def test_cluster_keeps_its_invariants_under_random_faults():
    """Guards against lost or reordered changes, two leaders in a term and changed replies.

    Random kills, partitions, slow disks and message faults are combined; the seed is fixed.
    """
    run_state_machine_as_test(
        ClusterMachine,
        settings=settings(max_examples=15, stateful_step_count=30, derandomize=True, deadline=None),
    )
