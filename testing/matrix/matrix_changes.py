"""Runs one cell of the operations `change` and `membership`: configuration changes."""

from __future__ import annotations

import atexit
import errno
import functools
import math
import shutil
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

import anyio
import anyio.abc
import attrs
import trio
from control_network import IDS, Cluster, Endpoint, Network, run
from matrix_result import CellResult

from apricotpoint._bench.pauses import ProcessPauses
from apricotpoint._control.feed import ConfigurationFeed
from apricotpoint._control.messages import AppendReply, ChangeForward
from apricotpoint._control.replica import NOT_ACCEPTED_MESSAGE
from apricotpoint._core.codes import ResultCode
from apricotpoint._core.counters import Counters
from apricotpoint._link.transport import PeerUnreachable
from apricotpoint._wire import codec
from apricotpoint._wire.configuration import Change, ChangeReply, ChangeRequest, Configuration

_REQUEST_TIMEOUT_S = 5.0
# An accepted change is active everywhere within this time (section 1.8 of the design page).
_ACTIVATION_LIMIT_S = 5.0
# Seconds until a fault is over, by part of its name; 0.3 s for those that are not listed.
_SETTLE_S = {
    "leader_isolated": 6.0,
    "asked_replica_isolated": 6.0,
    "message_delayed": 6.0,
    "leader_paused": 4.0,
    "asked_replica_paused": 4.0,
    "entry_domain_cut": 4.0,
    "leader_killed": 3.3,
    "asked_replica_killed": 3.3,
    "majority_killed": 3.3,
    "all_killed": 3.3,
    "restart_after_hundreds": 3.3,
    "old_disk_put_back": 3.3,
}
_COMMAND_ID = "change-1"
_LONG_LOG_CHANGES = 200


class StepNetwork(Network):
    """Network that reports messages as steps and alters the next one if `alter` is set.

    `alter` is "dropped", "delayed", "repeated" or "reordered".
    """

    system: ChangeSystem

    def deliver(self, target: str, envelope: codec.Envelope) -> None:
        """Report the step that a message is, and deliver it, altered if a fault says so."""
        self.alter: str | None = getattr(self, "alter", None)
        self.system.report(target, envelope)
        alter, self.alter = self.alter, None
        # Messages are passed without encoding, which would take a third of the run time.
        delays_s = {
            None: [0.0],
            "dropped": [],
            "delayed": [6.0],
            "repeated": [0.0, 0.3],
            "reordered": [0.3],
        }
        for delay_s in delays_s[alter]:
            self.group.start_soon(self._deliver_after, target, envelope, delay_s)

    async def _deliver_after(self, target: str, envelope: codec.Envelope, delay_s: float) -> None:
        if (envelope.sender, target) in self.blocked_links:
            return
        await anyio.sleep(0.0005 + delay_s)
        await self.system.pauses.wait_until_resumed(target, envelope.sender)
        endpoint = self.endpoint_by_id.get(target)
        if endpoint is not None:
            await endpoint.receive(envelope)


class ChangeSystem(Cluster):
    """Three control processes, and two entry processes e1 and e2 with configuration feeds.

    `contact_id` is the control process that entry process e1 asks first, `third_id`
    the remaining follower. `index` is the log index of the change under test, 0
    before it is appended. `old_disk_copy` is an earlier copy of the disk of the third
    process.
    """

    def __init__(self, group: anyio.abc.TaskGroup, folder: Path) -> None:
        super().__init__(group, folder)
        self.network = StepNetwork(group)
        self.network.system = self
        self.client = Endpoint(self.network, "client")
        self.pauses = ProcessPauses()
        self.group = group
        self.step = ""
        self.fault: Callable[[ChangeSystem], Any] | None = None
        self.reached = anyio.Event()
        self.reached_at = math.inf
        self.leader_id = self.contact_id = self.third_id = ""
        self.index = 0
        self.old_disk_copy: Path | None = None
        self.other_replies: list[ChangeReply] = []
        self.change_under_test: Change
        self.feed_by_id: dict[str, ConfigurationFeed] = {}
        self.configurations_by_entry: dict[str, list[Configuration]] = {}

    def step_reached(self, step: str) -> None:
        """Inject the fault if it is planned for this step and was not injected before."""
        if self.fault is None or step != self.step:
            return
        fault, self.fault = self.fault, None
        self.reached_at = anyio.current_time()
        self.reached.set()
        fault(self)

    def report(self, target: str, envelope: codec.Envelope) -> None:
        """Report the step that the sending of a message is, if any."""
        message = envelope.message
        if isinstance(message, ChangeRequest) and message.change.command_id == _COMMAND_ID:
            self.step_reached("received")
        elif isinstance(message, ChangeForward) and message.change.command_id == _COMMAND_ID:
            self.step_reached("forwarded")
        elif isinstance(message, AppendReply):
            if target == self.leader_id and self.index and message.match_index >= self.index:
                self.step_reached("synced")
        elif isinstance(message, ChangeReply) and envelope.sender == self.leader_id:
            self.step_reached("answered")

    def watch_leader(self) -> None:
        """Report the steps `appended` and `committed`, which happen inside the leader."""
        replica = self.node(self.leader_id).replica
        append, commit = replica.append_as_leader, replica.commit_to

        def append_as_leader(entry: Any) -> int:
            index = append(entry)
            if entry.change is not None and entry.change.command_id == _COMMAND_ID:
                self.index = index
                self.step_reached("appended")
            return index

        def commit_to(index: int) -> None:
            commit(index)
            if self.index and replica.commit_index >= self.index:
                self.step_reached("committed")

        replica.append_as_leader = append_as_leader
        replica.commit_to = commit_to

    async def start_from(self, folder: Path) -> None:
        """Start all nodes from copies of the disks in `folder` and wait for a leader."""
        for node_id in IDS:
            disk = await self.initialise(node_id)
            shutil.rmtree(disk.folder)
            shutil.copytree(folder / disk.folder.name, disk.folder)
            disk.mark_as_synced()
        await self.start(*IDS)
        await self.leader()

    async def start_feed(self, entry_id: str) -> None:
        """Start the configuration feed of an entry process and record what it applies."""
        configurations = self.configurations_by_entry.setdefault(entry_id, [])
        self.feed_by_id[entry_id] = feed = ConfigurationFeed(
            transport=Endpoint(self.network, entry_id),
            control_ids=IDS,
            timers=self.timers,
            counters=Counters(),
        )

        def applied(configuration: Configuration) -> None:
            configurations.append(configuration)
            if entry_id == "e1" and self.index:
                self.step_reached("applied")

        feed.subscribe(applied)

        async def serve(*, task_status: Any) -> None:
            async with feed:
                task_status.started()
                await anyio.sleep_forever()

        await self.group.start(serve)

    async def request(self, entry_id: str, change: Change, control_ids: list[str]) -> ChangeReply:
        """Send a change like an entry process, to one control process after another.

        Returns the first reply other than 4102 (no majority), or the last reply.
        """
        reply = ChangeReply(ResultCode.NO_MAJORITY, -1, "no control process answered")
        transport = self.feed_by_id[entry_id]._transport  # noqa: SLF001
        for control_id in control_ids:
            try:
                answer = await transport.request(
                    control_id, ChangeRequest(change), timeout_s=_REQUEST_TIMEOUT_S
                )
            except PeerUnreachable:
                continue
            assert isinstance(answer, ChangeReply)
            reply = answer
            if reply.code != ResultCode.NO_MAJORITY:
                return reply
        return reply

    def call_later(self, seconds: float, action: Callable[..., Any], *arguments: Any) -> None:
        """Call `action` after a delay and await what it returns, if anything."""

        async def call() -> None:
            await anyio.sleep(seconds)
            done = action(*arguments)
            if done is not None:
                await done

        self.group.start_soon(call)

    async def _serve(self, node_id: str, process: Any) -> None:
        self.pauses.root_task_by_process[node_id] = trio.lowlevel.current_task()
        await super()._serve(node_id, process)


Fault = Callable[[ChangeSystem], Any]


def _node(system: ChangeSystem, role: str) -> str:
    return {"leader": system.leader_id, "contact": system.contact_id, "third": system.third_id}[
        role
    ]


def killed(*roles: str, restart: bool = True) -> Fault:
    def inject(system: ChangeSystem) -> None:
        nodes = [_node(system, role) for role in roles]
        for node in nodes:
            # The kill takes effect later; from now on nothing is sent or received.
            system.network.isolate(node)
        system.call_later(0, system.kill, *nodes)

        async def start() -> None:
            for node in nodes:
                _unblock(system, node)
            await system.start(*nodes)

        if restart:
            system.call_later(3.0, start)

    return inject


def _unblock(system: ChangeSystem, node: str) -> None:
    system.network.blocked_links = {
        pair for pair in system.network.blocked_links if node not in pair
    }


def isolated(*roles: str, seconds: float = 6.0, **direction: bool) -> Fault:
    def inject(system: ChangeSystem) -> None:
        for role in roles:
            node = _node(system, role)
            system.network.isolate(node, **direction)
            system.call_later(seconds, _unblock, system, node)

    return inject


def entry_domain_cut(**direction: bool) -> Fault:
    """Isolate entry process e1 together with the control process that it asks first."""

    def inject(system: ChangeSystem) -> None:
        inside = ("e1", system.contact_id)
        for node in inside:
            system.network.isolate(node, **direction)
            system.call_later(4.0, _unblock, system, node)
        system.network.blocked_links -= {inside, inside[::-1]}

    return inject


def paused(role: str) -> Fault:
    def inject(system: ChangeSystem) -> None:
        node = _node(system, role)
        system.pauses.pause(node)
        system.call_later(4.0, system.pauses.resume, node)

    return inject


def message_altered(kind: str) -> Fault:
    def inject(system: ChangeSystem) -> None:
        system.network.alter = kind

    return inject


def disk_failed(role: str, error_number: int) -> Fault:
    def inject(system: ChangeSystem) -> None:
        disk = system.disk_by_id[_node(system, role)]
        disk.sync_error = disk.write_error = OSError(error_number, "injected")

    return inject


def old_disk_put_back(system: ChangeSystem) -> None:
    """Restart the third process with an earlier copy of its disk, which it must refuse."""

    async def swap() -> None:
        assert system.old_disk_copy is not None
        node = system.third_id
        await system.kill(node)
        folder = system.disk_by_id[node].folder
        shutil.rmtree(folder)
        shutil.copytree(system.old_disk_copy, folder)
        await system.start(node)
        await anyio.sleep(3)
        assert system.exit_code_by_id[node] == ResultCode.OLD_DISK

    system.call_later(0, swap)


def equal_base_versions(system: ChangeSystem) -> None:
    change = attrs.evolve(
        system.change_under_test, command_id="other", target="other", arguments={}
    )
    change = attrs.evolve(change, action="drain_vm")

    async def send() -> None:
        system.other_replies.append(await system.request("e2", change, [system.third_id, *IDS]))

    system.call_later(0, send)


def command_resent(system: ChangeSystem) -> None:
    async def send() -> None:
        reply = await system.request("e2", system.change_under_test, [system.third_id, *IDS])
        assert reply.code in (ResultCode.ACCEPTED, ResultCode.NO_MAJORITY), reply

    system.call_later(0, send)


def burst_of_changes(system: ChangeSystem) -> None:
    base = system.change_under_test.base_version
    for number in range(20):
        change = Change(f"burst-{number}", base + 1, "drain_vm", f"burst-{number}")
        system.call_later(0.01 * number, system.request, "e2", change, [system.third_id, *IDS])


CHANGE_FAULTS: dict[str, Fault] = {
    "leader_killed": killed("leader"),
    "leader_isolated_long": isolated("leader"),
    "leader_isolated_inward": isolated("leader", outward=False),
    "leader_isolated_outward": isolated("leader", inward=False),
    "leader_paused": paused("leader"),
    "asked_replica_killed": killed("contact"),
    "asked_replica_isolated_long": isolated("contact"),
    "asked_replica_paused": paused("contact"),
    "majority_killed": killed("leader", "third"),
    "all_killed": killed("leader", "contact", "third"),
    "entry_domain_cut": entry_domain_cut(),
    "entry_domain_cut_inward": entry_domain_cut(outward=False),
    "entry_domain_cut_outward": entry_domain_cut(inward=False),
    "message_dropped": message_altered("dropped"),
    "message_delayed": message_altered("delayed"),
    "message_repeated": message_altered("repeated"),
    "message_reordered": message_altered("reordered"),
    "equal_base_versions": equal_base_versions,
    "command_resent": command_resent,
    "burst_of_changes": burst_of_changes,
    "second_lost_after_repair": killed("leader", restart=False),
    "restart_after_hundreds": killed("leader", "contact", "third"),
    "leader_sync_failed": disk_failed("leader", errno.EIO),
    "leader_disk_full": disk_failed("leader", errno.ENOSPC),
    "follower_sync_failed": disk_failed("third", errno.EIO),
    "follower_disk_full": disk_failed("third", errno.ENOSPC),
    "old_disk_put_back": old_disk_put_back,
}


def run_change_cell(folder: Path, operation: str, step: str, fault: str) -> CellResult:
    """Inject a fault at a step of a change and return the observed result.

    `fault` is a name of `CHANGE_FAULTS`, or a pair "a+b". Raises `AssertionError` if a
    guarantee is broken.
    """
    results: list[CellResult] = []
    folder.mkdir()
    if "restart_after_hundreds" in fault:
        _long_log()

    async def main() -> None:
        async with anyio.create_task_group() as group:
            system = ChangeSystem(group, folder)
            if "restart_after_hundreds" in fault:
                await system.start_from(_long_log())
            else:
                await system.start_new_deployment()
            results.append(await _run_change(system, operation, step, fault))
            group.cancel_scope.cancel()

    run(main)
    return results[0]


@functools.cache
def _long_log() -> Path:
    """Return a folder with the disks of control processes after 200 changes."""
    folder = Path(tempfile.mkdtemp(prefix="apricot-matrix-"))
    atexit.register(shutil.rmtree, folder)

    async def main() -> None:
        async with anyio.create_task_group() as group:
            system = ChangeSystem(group, folder)
            await system.start_new_deployment()
            leader = await system.leader()
            for version in range(_LONG_LOG_CHANGES):
                reply = await system.change(leader, f"earlier-{version}", version)
                assert reply.code == ResultCode.ACCEPTED, reply
            await system.kill(*IDS)
            group.cancel_scope.cancel()

    run(main)
    return folder


async def _prepare(system: ChangeSystem, operation: str, fault: str) -> int:
    """Prepare the deployment for the fault; return the base version of the change."""
    version = 0
    leader = await system.leader()
    contact, third = (node for node in IDS if node != leader)
    if operation == "membership":
        await system.initialise("c4", first=False)
        await system.start("c4")
        await anyio.sleep(1.0)
    if "second_lost_after_repair" in fault:
        await system.kill(third)
        await system.replace_disk(third)
        await system.start(third)
        await anyio.sleep(2.5)
        reply = await system.change(leader, "repair", 0, action="add_member", target=third)
        assert reply.code == ResultCode.ACCEPTED, reply
        version = reply.version
    if "restart_after_hundreds" in fault:
        version = _LONG_LOG_CHANGES
    if "old_disk_put_back" in fault:
        system.old_disk_copy = system.disk_by_id[third].folder.with_suffix(".old")
        await system.kill(third)
        shutil.copytree(system.disk_by_id[third].folder, system.old_disk_copy)
        await system.start(third)
        await anyio.sleep(1.5)
    system.leader_id = leader
    system.contact_id, system.third_id = contact, third
    return version


async def _run_change(system: ChangeSystem, operation: str, step: str, fault: str) -> CellResult:
    version = await _prepare(system, operation, fault)
    for entry_id in ("e1", "e2"):
        await system.start_feed(entry_id)
    action, target = ("drain_vm", "vm") if operation == "change" else ("add_member", "c4")
    change = Change(_COMMAND_ID, version, action, target)
    system.change_under_test = change
    system.watch_leader()
    faults = [CHANGE_FAULTS[name] for name in fault.split("+")]
    system.step = step

    def inject_all(_: ChangeSystem) -> None:
        for inject in faults:
            inject(system)

    system.fault = inject_all
    order = [system.contact_id, system.third_id, system.leader_id]
    reply = await system.request("e1", change, order)
    refused = reply.code == ResultCode.NO_MAJORITY and reply.message == NOT_ACCEPTED_MESSAGE
    with anyio.move_on_after(_ACTIVATION_LIMIT_S):
        await system.reached.wait()
    assert system.reached_at < math.inf, f"step {step} was not reached"
    settle_s = max([seconds for name, seconds in _SETTLE_S.items() if name in fault], default=0.3)
    await anyio.sleep(max(system.reached_at + settle_s - anyio.current_time(), 0.3))
    await system.leader()
    times_applied = _times_applied(system, change)
    if reply.code == ResultCode.ACCEPTED:
        assert times_applied == 1, "P8: an accepted change was lost"
    second_reply = await system.request("e2", change, order[::-1])
    if reply.code == ResultCode.ACCEPTED:
        assert second_reply == reply, "the same command got two different replies"
    try:
        with anyio.fail_after(_ACTIVATION_LIMIT_S):
            while True:
                if _is_active_everywhere(system):
                    break
                await anyio.sleep(0.1)
    except TimeoutError:
        raise AssertionError("P8: the configurations differ after 5 s") from None
    _check_guarantees(system, change, second_reply)
    other = system.other_replies[0].code if system.other_replies else None
    assert not (refused and times_applied and "resent" not in fault), (
        "P4: a change was refused but applied"
    )
    return CellResult(int(reply.code), (times_applied,), int(second_reply.code), other=other)


def _times_applied(system: ChangeSystem, change: Change) -> int:
    """Return how often the change is part of the configuration of the leader."""
    leaders = [node for node in system.nodes() if node.replica.role.value == "leader"]
    replica = max(leaders, key=lambda node: node.replica.log.term).replica
    if change.action == "add_member":
        return int(change.target in replica.log.disk_by_member())
    return replica.state.configuration.drained_vms.count(change.target)


def _is_active_everywhere(system: ChangeSystem) -> bool:
    """Return whether all processes have the same, latest configuration."""
    states = [node.replica.state.configuration for node in system.nodes()]
    states += [feed.configuration() for feed in system.feed_by_id.values()]
    return all(state == states[0] for state in states) and all(
        feed.current() for feed in system.feed_by_id.values()
    )


def _check_guarantees(system: ChangeSystem, change: Change, second_reply: ChangeReply) -> None:
    """Fail if the reply is wrong, or a feed lost a change or went back to an older version."""
    assert _times_applied(system, change) == (second_reply.code == ResultCode.ACCEPTED)
    for configurations in system.configurations_by_entry.values():
        for earlier, later in zip(configurations, configurations[1:], strict=False):
            assert earlier.version < later.version, "P8: a feed applied versions out of order"
            assert set(earlier.drained_vms) <= set(later.drained_vms), (
                "P8: a later version lost a drained VM"
            )
