"""An in-memory network, simulated disks and a cluster of control nodes on virtual time."""

from __future__ import annotations

import math
import os
import random
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import anyio
import anyio.abc
import attrs
import hypothesis  # noqa: F401
import trio._core._run
import trio.testing

from apricotpoint._control.identity import initialise
from apricotpoint._control.membership import FaultTolerance
from apricotpoint._control.node import ControlNode
from apricotpoint._control.replica import Role
from apricotpoint._control.storage import Storage
from apricotpoint._core.codes import ResultCode
from apricotpoint._core.counters import Counters
from apricotpoint._core.timers import TimerService
from apricotpoint._link.transport import Handler, PeerUnreachable, RequestHandler, Sender
from apricotpoint._wire import codec
from apricotpoint._wire.configuration import Change, ChangeReply, ChangeRequest

KEY = b"test key"
START_UNIX_S = 1_800_000_000.0
IDS = ["c1", "c2", "c3"]


def run(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test on virtual time, which jumps to the next deadline whenever all tasks wait."""
    # trio shuffles the tasks that are ready; with a fixed seed a failed run can be repeated.
    # The import of hypothesis makes trio sort them before it shuffles.
    trio._core._run._r.seed(1)
    clock = trio.testing.MockClock(autojump_threshold=0)
    anyio.run(test, backend="trio", backend_options={"clock": clock})


async def wait_until(condition: Callable[[], bool], within_s: float = 20.0) -> None:
    """Wait in virtual time until a condition holds; raise `TimeoutError` after `within_s`."""
    with anyio.fail_after(within_s):
        while True:
            if condition():
                return
            await anyio.sleep(0.01)


class Network:
    """Delivers messages after 0.5 ms unless a fault is set.

    `blocked_links` has the pairs (sender, receiver) whose messages are dropped.
    `drop_rate` and `duplicate_rate` are probabilities for each message,
    `jitter_s` is the longest random extra delay.
    """

    def __init__(self, group: anyio.abc.TaskGroup, seed: int = 1) -> None:
        self.blocked_links: set[tuple[str, str]] = set()
        self.drop_rate = self.duplicate_rate = self.jitter_s = 0.0
        self.endpoint_by_id: dict[str, Endpoint] = {}
        self.messages = self.bytes = 0
        self.group = group
        self._random = random.Random(seed)

    def isolate(self, peer_id: str, *, inward: bool = True, outward: bool = True) -> None:
        """Block the links between a process and all others, in one or both directions."""
        for other in self.endpoint_by_id:
            if outward:
                self.blocked_links.add((peer_id, other))
            if inward:
                self.blocked_links.add((other, peer_id))

    def deliver(self, target: str, envelope: codec.Envelope) -> None:
        """Deliver an envelope after its delay, or drop or duplicate it."""
        data = codec.encode(envelope, KEY)
        self.messages += 1
        self.bytes += len(data)
        copies = 1 + (self._random.random() < self.duplicate_rate)
        for _ in range(copies):
            is_dropped = self._random.random() < self.drop_rate
            if not is_dropped and (envelope.sender, target) not in self.blocked_links:
                delay_s = 0.0005 + self._random.random() * self.jitter_s
                self.group.start_soon(self._deliver_later, target, data, delay_s)

    async def _deliver_later(self, target: str, data: bytes, delay_s: float) -> None:
        await anyio.sleep(delay_s)
        endpoint = self.endpoint_by_id.get(target)
        if endpoint is not None:
            await endpoint.receive(codec.decode(data, [KEY]))


class Endpoint:
    """The transport of one incarnation of a process; a restarted process gets a new one."""

    def __init__(self, network: Network, peer_id: str) -> None:
        self.handlers_by_type: dict[type, Handler] = {}
        self.request_handlers_by_type: dict[type, RequestHandler] = {}
        self.peer_id = peer_id
        self._network = network
        self._scopes: list[anyio.CancelScope] = []
        self._closed = False
        # The peers to which there are links; None if all processes are known.
        self.linked_ids: set[str] | None = None
        self._last_request = 0
        self._reply_by_request: dict[int, tuple[anyio.Event, list[object]]] = {}
        self._incarnation = random.Random(f"{peer_id}{anyio.current_time()}").getrandbits(32)
        network.endpoint_by_id[peer_id] = self

    def close(self) -> None:
        """Stop receiving and cancel all running handlers."""
        if self._network.endpoint_by_id.get(self.peer_id) is self:
            del self._network.endpoint_by_id[self.peer_id]
        self._closed = True
        for scope in list(self._scopes):
            scope.cancel()

    def send(self, peer_id: str, message: object, *, reliable: bool = False) -> bool:
        """Send a message that gets no reply; always returns True."""
        self._network.deliver(peer_id, codec.Envelope(self.peer_id, self._incarnation, message))
        return True

    async def request(self, peer_id: str, message: object, *, timeout_s: float) -> object:
        """Send a request and return its reply; raise `PeerUnreachable` after `timeout_s`."""
        if self.linked_ids is not None and peer_id not in self.linked_ids:
            raise PeerUnreachable(f"peer {peer_id!r} is not known")
        self._last_request += 1
        request_id = self._last_request
        done: anyio.Event = anyio.Event()
        replies: list[object] = []
        self._reply_by_request[request_id] = (done, replies)
        envelope = codec.Envelope(self.peer_id, self._incarnation, message, request_id=request_id)
        self._network.deliver(peer_id, envelope)
        with anyio.move_on_after(timeout_s):
            await done.wait()
        del self._reply_by_request[request_id]
        if not replies:
            raise PeerUnreachable(peer_id)
        return replies[0]

    async def receive(self, envelope: codec.Envelope) -> None:
        """Pass a reply to its request, or a request to its handler, and send the reply."""
        self.connect(envelope.sender)
        if envelope.is_reply:
            # As in the mesh, a reply to an earlier incarnation answers no request of this one.
            if (
                envelope.peer_incarnation == self._incarnation
                and envelope.request_id in self._reply_by_request
            ):
                done, replies = self._reply_by_request[envelope.request_id]
                replies.append(envelope.message)
                done.set()
            return
        handler = self.request_handlers_by_type.get(type(envelope.message))
        if handler is None:
            return
        sender = Sender(envelope.sender, envelope.incarnation)
        with anyio.CancelScope() as scope:
            self._scopes.append(scope)
            reply = await handler(sender, envelope.message)
        self._scopes.remove(scope)
        if scope.cancel_called or self._closed:
            return
        self._network.deliver(
            envelope.sender,
            codec.Envelope(
                self.peer_id,
                self._incarnation,
                reply,
                request_id=envelope.request_id,
                is_reply=True,
                peer_incarnation=envelope.incarnation,
            ),
        )

    def connect(self, peer_id: str) -> None:
        """Open a link to a peer that has become known."""
        if self.linked_ids is not None:
            self.linked_ids.add(peer_id)

    def peers(self) -> list[str]:
        """Return the ids of all other processes that are running."""
        return [peer for peer in self._network.endpoint_by_id if peer != self.peer_id]

    def seconds_since_contact(self, peer_id: str) -> float:
        """Return infinity; the control processes do not call it."""
        return math.inf

    def incarnation_of(self, peer_id: str) -> int | None:
        """Return None; the control processes do not call it."""
        return None


class Disk:
    """A data folder that loses unsynced data in a crash.

    `incarnation` counts the kills of the process: a sync begun before a kill
    fails. `sync_error` and `write_error` are raised by each sync or write. With
    `stores_half`, a write that fails has stored half of its bytes before.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.sync_s = 0.002
        self.sync_error: OSError | None = None
        self.write_error: OSError | None = None
        self.stores_half = False
        self.incarnation = 0
        self._synced_bytes_by_inode: dict[int, int] = {}
        self._random = random.Random(folder.name)

    def storage(self) -> Storage:
        """Return the storage of the current incarnation of the process."""
        return self.storage_at(self.folder)

    def storage_at(self, folder: Path) -> Storage:
        """Return the storage of another folder on this disk."""
        incarnation = self.incarnation

        async def sync(descriptor: int) -> None:
            status = os.fstat(descriptor)
            await anyio.sleep(self.sync_s)
            if self.sync_error is not None:
                raise self.sync_error
            if incarnation != self.incarnation:
                raise OSError(5, "the process was killed during the sync")
            self._synced_bytes_by_inode[status.st_ino] = status.st_size

        def write(descriptor: int, data: bytes) -> int:
            if self.write_error is not None:
                if self.stores_half:
                    os.write(descriptor, data[: len(data) // 2])
                raise self.write_error
            return os.write(descriptor, data)

        return Storage(folder, sync=sync, write=write)

    def mark_as_synced(self) -> None:
        """Treat the current content, such as a copy of another disk, as synced."""
        for path in self.folder.iterdir():
            status = path.stat()
            self._synced_bytes_by_inode[status.st_ino] = status.st_size

    def crash(self) -> None:
        """Truncate each file by a random part of its unsynced bytes."""
        for path in self.folder.iterdir():
            synced = self._synced_bytes_by_inode.get(path.stat().st_ino, 0)
            if path.stat().st_size > synced:
                unsynced = path.stat().st_size - synced
                os.truncate(path, synced + self._random.randrange(unsynced + 1))


@attrs.define
class _Process:
    scope: anyio.CancelScope
    endpoint: Endpoint
    ended: anyio.Event
    node: ControlNode | None = None


class Cluster:
    """Control nodes on one network, with a client.

    `exit_code_by_id` has the result code of each node that ended by itself. With a `tolerance`,
    the leader manages the members; the failure domain of a node is the part of its id before
    a dash. Nodes in `ids_without_vote` may not vote. Nodes that start contact their own seeds
    in `seeds_by_id` first, without an entry there `seeds`.
    """

    def __init__(self, group: anyio.abc.TaskGroup, folder: Path, seed: int = 1) -> None:
        self.network = Network(group, seed)
        self.clock_offset_s = 0.0
        self.timers = TimerService(
            wall_clock=lambda: START_UNIX_S + anyio.current_time() + self.clock_offset_s
        )
        self.disk_by_id: dict[str, Disk] = {}
        self.exit_code_by_id: dict[str, ResultCode] = {}
        self.counters_by_id: dict[str, Counters] = {}
        self.seeds = IDS
        self.seeds_by_id: dict[str, list[str]] = {}
        self.tolerance: FaultTolerance | None = None
        self.ids_without_vote: set[str] = set()
        self.client = Endpoint(self.network, "client")
        self._process_by_id: dict[str, _Process] = {}
        self._folder = folder
        self._seed = seed
        self._disk_count = 0
        self._random = random.Random(seed)

    async def initialise(self, node_id: str, *, first: bool = True) -> Disk:
        """Give a node an empty, initialised disk."""
        self._disk_count += 1
        disk = Disk(self._folder / f"{node_id}-{self._disk_count}")
        await initialise(
            disk.storage(),
            node_id=node_id,
            first=first,
            initialised_at=self.timers.wall_time(),
            random=self._random,
        )
        self.disk_by_id[node_id] = disk
        return disk

    async def start(self, *node_ids: str) -> None:
        """Start nodes and give them 0.1 s to run or to end."""
        for node_id in node_ids:
            process = _Process(anyio.CancelScope(), Endpoint(self.network, node_id), anyio.Event())
            self._process_by_id[node_id] = process
            self.exit_code_by_id.pop(node_id, None)
            self.network.group.start_soon(self._serve, node_id, process)
        await anyio.sleep(0.1)

    async def start_new_deployment(self) -> None:
        """Initialise and start the seeds as a new deployment and wait for a leader."""
        for node_id in self.seeds:
            await self.initialise(node_id)
        await self.start(*self.seeds)
        await self.leader()

    async def _serve(self, node_id: str, process: _Process) -> None:
        counters = self.counters_by_id[node_id] = Counters()
        disk = self.disk_by_id[node_id]
        management: dict[str, Any] = {}
        if self.tolerance is not None:
            process.endpoint.linked_ids = set()
            management = {
                "connect": process.endpoint.connect,
                "seeds": lambda: self.seeds_by_id.get(node_id, self.seeds),
                "initial_members": self.seeds_by_id.get(node_id, self.seeds),
                "tolerance": self.tolerance,
                "may_vote": node_id not in self.ids_without_vote,
            }
        with process.scope:
            try:
                async with ControlNode(
                    node_id=node_id,
                    failure_domain=node_id.partition("-")[0],
                    members=self.seeds_by_id.get(node_id, self.seeds),
                    data_folder=disk.folder,
                    transport=process.endpoint,
                    timers=self.timers,
                    counters=counters,
                    random=random.Random(f"{self._seed}{node_id}{disk.incarnation}"),
                    storage=disk.storage(),
                    **management,
                ) as node:
                    process.node = node
                    await anyio.sleep_forever()
            except* Exception as errors:
                if not process.scope.cancel_called:
                    self.exit_code_by_id[node_id] = _result_code(errors)
        process.endpoint.close()
        process.ended.set()

    async def kill(self, *node_ids: str, crash: bool = True) -> None:
        """Kill nodes; with `crash` their disks lose unsynced data."""
        for node_id in node_ids:
            process = self._process_by_id.pop(node_id)
            self.disk_by_id[node_id].incarnation += 1
            process.endpoint.close()
            process.scope.cancel()
            await process.ended.wait()
            if crash:
                self.disk_by_id[node_id].crash()

    def is_running(self, node_id: str) -> bool:
        """Return whether a node is started and has not ended."""
        process = self._process_by_id.get(node_id)
        return process is not None and not process.ended.is_set()

    def is_serving(self, node_id: str) -> bool:
        """Return whether a node is running and does not wait for space at its start."""
        return self.is_running(node_id) and self._process_by_id[node_id].node is not None

    def node(self, node_id: str) -> ControlNode:
        """Return a running node."""
        node = self._process_by_id[node_id].node
        assert node is not None
        return node

    def nodes(self) -> list[ControlNode]:
        """Return all running nodes."""
        return [
            process.node
            for process in self._process_by_id.values()
            if process.node is not None and not process.ended.is_set()
        ]

    async def leader(self, *, among: list[str] | None = None, within_s: float = 20.0) -> str:
        """Wait for a leader with a majority that has committed an entry of its term.

        Returns its id; `among` limits the search to these nodes.
        """
        with anyio.fail_after(within_s):
            while True:
                for node in self.nodes():
                    wanted = among is None or node.node_id in among
                    replica = getattr(node, "replica", None)
                    if wanted and replica and replica.role is Role.LEADER:
                        has_committed_in_term = (
                            replica.log.term_at(replica.commit_index) == replica.log.term
                        )
                        if has_committed_in_term and replica.has_majority():
                            return node.node_id
                await anyio.sleep(0.05)

    async def change(
        self, node_id: str, command_id: str, base_version: int, **other: Any
    ) -> ChangeReply:
        """Send a change as the client and return the reply, with code 4102 if there is none.

        The action is `drain_vm` of a VM called like the command unless `other`
        has `action` and `target`; the rest of `other` are its arguments.
        """
        change = Change(
            command_id=command_id,
            base_version=base_version,
            action=other.pop("action", "drain_vm"),
            target=other.pop("target", command_id),
            arguments=other,
        )
        try:
            reply = await self.client.request(node_id, ChangeRequest(change), timeout_s=9.5)
        except PeerUnreachable:
            return ChangeReply(ResultCode.NO_MAJORITY, -1, "no answer")
        assert isinstance(reply, ChangeReply)
        return reply

    async def replace_disk(self, node_id: str) -> Disk:
        """Give a killed node an empty disk that is marked as the replacement of a lost one."""
        return await self.initialise(node_id, first=False)


def _result_code(errors: BaseException) -> ResultCode:
    while isinstance(errors, BaseExceptionGroup):
        errors = errors.exceptions[0]
    code = getattr(errors, "code", None)
    if code is None:
        raise errors
    assert isinstance(code, ResultCode)
    return code


def with_cluster(
    test: Callable[[Cluster], Awaitable[None]],
    folder: Path,
    *,
    seed: int = 1,
    ids: list[str] = IDS,
) -> None:
    """Run a test on a started cluster, by default of three nodes."""

    async def main() -> None:
        async with anyio.create_task_group() as group:
            cluster = Cluster(group, folder, seed)
            cluster.seeds = ids
            await cluster.start_new_deployment()
            await test(cluster)
            group.cancel_scope.cancel()

    run(main)
