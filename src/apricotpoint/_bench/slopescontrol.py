"""Costs of the control processes: configuration, replicated log and key registry."""

from __future__ import annotations

import random
import tempfile
import time
import tracemalloc
from collections.abc import Iterator
from contextlib import AsyncExitStack, contextmanager
from functools import partial
from pathlib import Path

import anyio
import anyio.lowlevel
import msgspec

from apricotpoint._bench.slopescodec import KEY, encode_in_envelope
from apricotpoint._bench.slopesfakes import INCARNATION, configuration
from apricotpoint._bench.slopesfit import (
    REPEATS,
    Series,
    min_cpu_us,
    min_cpu_us_async,
    select_sizes,
)
from apricotpoint._control.feed import ConfigurationFeed
from apricotpoint._control.identity import initialise
from apricotpoint._control.log import Log
from apricotpoint._control.messages import Entry, Snapshot
from apricotpoint._control.node import ControlNode
from apricotpoint._control.registry import KeyRegistry
from apricotpoint._control.replica import Role
from apricotpoint._control.state import ReplicatedState
from apricotpoint._control.storage import Storage
from apricotpoint._core.counters import Counters
from apricotpoint._core.timers import TimerService
from apricotpoint._link.transport import Handler, PeerUnreachable, RequestHandler, Sender
from apricotpoint._wire import codec
from apricotpoint._wire.configuration import Change, ConfigUpdate, Configuration
from apricotpoint._wire.jobs import Claim

_TIMEOUT_S = 15.0


async def _no_sync(_: int) -> None:
    # Other tasks run meanwhile, as during a real sync.
    await anyio.lowlevel.checkpoint()


@contextmanager
def _folder() -> Iterator[Path]:
    with tempfile.TemporaryDirectory() as name:
        yield Path(name)


class _DirectTransport:
    """A `Transport` that calls the handlers of the receiver and counts messages and their bytes."""

    def __init__(self, peer_id: str, transport_by_id: dict[str, _DirectTransport]) -> None:
        self.handlers_by_type: dict[type, Handler] = {}
        self.request_handlers_by_type: dict[type, RequestHandler] = {}
        self.messages = self.bytes = 0
        self._peer_id = peer_id
        self._transport_by_id = transport_by_id
        transport_by_id[peer_id] = self

    def send(self, peer_id: str, message: object, *, reliable: bool = False) -> bool:
        return False

    async def request(self, peer_id: str, message: object, *, timeout_s: float) -> object:
        peer = self._transport_by_id[peer_id]
        with anyio.move_on_after(timeout_s):
            handler = peer.request_handlers_by_type.get(type(message))
            if handler is None:
                await anyio.sleep(timeout_s)
                raise PeerUnreachable(peer_id)
            reply = await handler(Sender(self._peer_id, 1), self._encode_and_decode(message))
            return peer._encode_and_decode(reply)
        raise PeerUnreachable(peer_id)

    def peers(self) -> list[str]:
        return [peer for peer in self._transport_by_id if peer != self._peer_id]

    def seconds_since_contact(self, peer_id: str) -> float:
        return 0.0

    def incarnation_of(self, peer_id: str) -> int | None:
        return None

    def _encode_and_decode(self, message: object) -> object:
        data = encode_in_envelope(message)
        self.messages += 1
        self.bytes += len(data)
        return codec.decode(data, [KEY]).message


class _ControlProcesses:
    """Control processes in this process; use it as an async context manager."""

    def __init__(self, folder: Path, members: int) -> None:
        self.transport_by_id: dict[str, _DirectTransport] = {}
        self.nodes: list[ControlNode] = []
        self._parent_folder = folder
        self._ids = [f"control-{number}" for number in range(members)]
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> _ControlProcesses:
        for node_id in self._ids:
            _DirectTransport(node_id, self.transport_by_id)
        for number, node_id in enumerate(self._ids):
            storage = Storage(self._parent_folder / node_id, sync=_no_sync)
            generator = random.Random(number)
            await initialise(
                storage, node_id=node_id, first=True, initialised_at=time.time(), random=generator
            )
            node = ControlNode(
                node_id=node_id,
                failure_domain=node_id,
                members=self._ids,
                data_folder=storage.folder,
                transport=self.transport_by_id[node_id],
                timers=TimerService(),
                counters=Counters(),
                random=generator,
                storage=storage,
            )
            self.nodes.append(await self._stack.enter_async_context(node))
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._stack.aclose()

    async def leader(self) -> ControlNode:
        with anyio.fail_after(_TIMEOUT_S):
            while True:
                for node in self.nodes:
                    if node.replica.role is Role.LEADER and node.replica.has_majority():
                        return node
                await anyio.sleep(0.01)

    def traffic(self) -> tuple[int, int]:
        """Return the number of messages and of bytes sent by all processes so far."""
        transports = self.transport_by_id.values()
        return sum(transport.messages for transport in transports), sum(
            transport.bytes for transport in transports
        )


def measure_configuration(*, smallest: bool) -> None:
    """Measure size and CPU time of the configuration against the number of its elements."""
    for name, sizes in (
        ("services", (1, 10, 40)),
        ("teams", (26, 260, 1040)),
        ("drains", (0, 100, 1000)),
    ):
        size = Series("configuration.bytes", name, "B")
        encode = Series("configuration.encode", name, "us")
        decode = Series("configuration.decode", name, "us")
        change = Series("configuration.apply_change", name, "us")
        for count in select_sizes(sizes, smallest=smallest):
            current = _make_configuration(name, count)
            update = ConfigUpdate(current.version, True, current)
            data = encode_in_envelope(update)
            size.add(count, len(data))
            encode.add(count, min_cpu_us(partial(encode_in_envelope, update), calls=100))
            decode.add(count, min_cpu_us(partial(codec.decode, data, [KEY]), calls=100))
            change.add(count, _apply_change_cpu_us(current))
        for series in (size, encode, decode, change):
            series.fit()


def _make_configuration(name: str, count: int) -> Configuration:
    if name == "services":
        return configuration(services=count)
    if name == "teams":
        return configuration(teams=count)
    return configuration(drains=count)


def _apply_change_cpu_us(current: Configuration) -> float:
    """Return the CPU time in microseconds to apply a committed change."""
    state = ReplicatedState({})
    state.configuration = current
    numbers = iter(range(1 << 30))

    def action() -> None:
        number = next(numbers)
        action_name = "drain_backend" if number % 2 == 0 else "undrain_backend"
        change = Change(
            f"command-{number}", state.configuration.version, action_name, "worker-99999"
        )
        state.apply(Entry(term=1, change=change))

    return min_cpu_us(action, calls=100)


def measure_replicas(*, smallest: bool) -> None:
    """Measure traffic and CPU time, idle and per change, against the number of replicas."""
    anyio.run(lambda: _measure_replicas(smallest=smallest))


async def _measure_replicas(*, smallest: bool) -> None:
    messages = Series("replicas.idle_messages", "members", "1/s")
    size = Series("replicas.idle_bytes", "members", "B/s")
    cpu = Series("replicas.idle_cpu", "members", "us/s")
    change_messages = Series("replicas.messages_per_change", "members", "messages")
    change_size = Series("replicas.bytes_per_change", "members", "B")
    change_cpu = Series("replicas.cpu_per_change", "members", "us")
    seconds = 0.6 if smallest else 1.0
    for members in select_sizes((3, 5, 7), smallest=smallest):
        with _folder() as folder:
            async with _ControlProcesses(folder, members) as replicas:
                leader = await replicas.leader()
                await anyio.sleep(0.5)
                min_idle_us, before, started_at = float("inf"), replicas.traffic(), time.monotonic()
                for _ in range(REPEATS):
                    cpu_s, window_at = time.process_time(), time.monotonic()
                    await anyio.sleep(seconds)
                    window_s = time.monotonic() - window_at
                    min_idle_us = min(min_idle_us, (time.process_time() - cpu_s) * 1e6 / window_s)
                elapsed_s = time.monotonic() - started_at
                after = replicas.traffic()
                messages.add(members, (after[0] - before[0]) / elapsed_s)
                size.add(members, (after[1] - before[1]) / elapsed_s)
                cpu.add(members, min_idle_us)
                changes = 20
                before = replicas.traffic()

                async def commit(leader: ControlNode = leader, changes: int = changes) -> None:
                    for _ in range(changes):
                        version = leader.replica.state.configuration.version
                        change = Change(f"c{version}", version, "drain_vm", f"vm-{version % 50}")
                        await leader.replica.change(change)

                change_cpu.add(members, await min_cpu_us_async(commit, units=changes))
                after = replicas.traffic()
                done = REPEATS * changes
                change_messages.add(members, (after[0] - before[0]) / done)
                change_size.add(members, (after[1] - before[1]) / done)
    for series in (messages, size, cpu, change_messages, change_size, change_cpu):
        series.fit()


def measure_distribution(*, smallest: bool) -> None:
    """Measure the configuration feeds of entry processes that one control process serves."""
    anyio.run(lambda: _measure_distribution(smallest=smallest))


async def _measure_distribution(*, smallest: bool) -> None:
    idle = Series("feed.idle_messages", "entry processes", "1/s")
    idle_cpu = Series("feed.idle_cpu_both_ends", "entry processes", "us/s")
    messages = Series("feed.messages_per_change", "entry processes", "messages")
    size = Series("feed.bytes_per_change", "entry processes", "B")
    cpu = Series("feed.cpu_per_change_both_ends", "entry processes", "us")
    seconds = 1.0 if smallest else 1.5
    for entries in select_sizes((6, 24, 96), smallest=smallest):
        with _folder() as folder:
            async with _ControlProcesses(folder, 1) as replicas, AsyncExitStack() as stack:
                leader = await replicas.leader()
                leader.replica.state.configuration = configuration(teams=260)
                feeds = []
                for number in range(entries):
                    feed = ConfigurationFeed(
                        transport=_DirectTransport(f"entry-{number}", replicas.transport_by_id),
                        control_ids=[leader.node_id],
                        timers=TimerService(),
                        counters=Counters(),
                    )
                    feeds.append(await stack.enter_async_context(feed))
                before, started_at = replicas.traffic(), time.monotonic()
                min_us = float("inf")
                for _ in range(REPEATS):
                    cpu_s, window_at = time.process_time(), time.monotonic()
                    await anyio.sleep(seconds)
                    window_s = time.monotonic() - window_at
                    min_us = min(min_us, (time.process_time() - cpu_s) * 1e6 / window_s)
                after, elapsed_s = replicas.traffic(), time.monotonic() - started_at
                idle.add(entries, (after[0] - before[0]) / elapsed_s)
                idle_cpu.add(entries, min_us)
                changes = 5
                before = replicas.traffic()

                async def commit(
                    leader: ControlNode = leader,
                    feeds: list[ConfigurationFeed] = feeds,
                    changes: int = changes,
                ) -> None:
                    for _ in range(changes):
                        version = leader.replica.state.configuration.version
                        change = Change(f"c{version}", version, "drain_vm", f"vm-{version % 50}")
                        reply = await leader.replica.change(change)
                        with anyio.fail_after(_TIMEOUT_S):
                            while any(  # noqa: ASYNC110
                                feed.configuration().version < reply.version for feed in feeds
                            ):
                                await anyio.sleep(0.005)

                cpu.add(entries, await min_cpu_us_async(commit, units=changes))
                after = replicas.traffic()
                done = REPEATS * changes
                messages.add(entries, (after[0] - before[0]) / done)
                size.add(entries, (after[1] - before[1]) / done)
    for series in (idle, idle_cpu, messages, size, cpu):
        series.fit()


def measure_log(*, smallest: bool) -> None:
    """Measure the size of the log and of a snapshot against the number of changes."""
    anyio.run(lambda: _measure_log(smallest=smallest))


async def _measure_log(*, smallest: bool) -> None:
    size = Series("log.file_bytes_before_compaction", "changes", "B")
    snapshot = Series("log.snapshot_bytes", "changes remembered", "B")
    encode = Series("log.snapshot_encode", "changes remembered", "us")
    memory = Series("log.memory", "changes remembered", "B")
    for changes in select_sizes((250, 500, 1000), smallest=smallest):
        with _folder() as folder:
            log = Log(Storage(folder, sync=_no_sync), initial_members=["control-1"])
            await log.open()
            log.set_term_and_vote(1, "control-1")
            for index, entry in enumerate(_log_entries(changes), start=1):
                log.append(index, [entry])
                await log.sync()
            size.add(changes, log.file_bytes)
            log.close()
    for changes in select_sizes((1000, 4000, 10_000), smallest=smallest):
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        state = ReplicatedState({})
        for entry in _log_entries(changes):
            state.apply(entry)
        memory.add(changes, tracemalloc.get_traced_memory()[0] - before)
        tracemalloc.stop()
        snapshot_message = Snapshot(index=changes, term=1, state=state.image())
        snapshot.add(changes, len(msgspec.msgpack.encode(snapshot_message)))
        encode.add(changes, min_cpu_us(partial(msgspec.msgpack.encode, snapshot_message), calls=3))
    for series in (size, snapshot, encode, memory):
        series.fit()


def _log_entries(changes: int) -> Iterator[Entry]:
    for number in range(changes):
        change = Change(f"command-{number:016}", number, "drain_backend", f"worker-{number % 50}")
        yield Entry(term=1, change=change)


def measure_registry(*, smallest: bool) -> None:
    """Measure CPU time, memory and file size of the claims of a key registry."""
    anyio.run(lambda: _measure_registry(smallest=smallest))


async def _measure_registry(*, smallest: bool) -> None:
    cpu = Series("registry.cpu_per_claim", "claims at once", "us")
    for at_once in select_sizes((1, 16, 128), smallest=smallest):
        times = []
        for _ in range(REPEATS):
            with _folder() as folder:
                registry = await _open_registry(folder)
                started_s = time.process_time()
                await _make_claims(registry, 1024, at_once)
                times.append((time.process_time() - started_s) * 1e6 / 1024)
                registry.close()
        cpu.add(at_once, min(times))
    cpu.fit()
    memory = Series("registry.memory", "claims", "B")
    size = Series("registry.file_bytes", "claims", "B")
    for claims in select_sizes((1000, 4000, 16_000), smallest=smallest):
        with _folder() as folder:
            registry = await _open_registry(folder)
            tracemalloc.start()
            before = tracemalloc.get_traced_memory()[0]
            await _make_claims(registry, claims, 100)
            memory.add(claims, tracemalloc.get_traced_memory()[0] - before)
            tracemalloc.stop()
            size.add(claims, registry.file_bytes)
            registry.close()
    memory.fit()
    size.fit()


async def _open_registry(folder: Path) -> KeyRegistry:
    storage = Storage(folder, sync=_no_sync)
    registry = KeyRegistry(
        storage, timers=TimerService(), counters=Counters(), disk_replaced_at=None
    )
    await registry.open()
    return registry


async def _make_claims(registry: KeyRegistry, claims: int, at_once: int) -> None:
    valid_until = int(time.time()) + 1800
    for first in range(0, claims, at_once):
        async with anyio.create_task_group() as group:
            for number in range(first, min(first + at_once, claims)):
                claim = Claim(
                    team="team-001",
                    key=f"order-{number:010}",
                    valid_until=valid_until + number % 1000,
                    fingerprint=f"{number:032x}",
                    entry_id="puebla-001",
                    incarnation=INCARNATION,
                )
                group.start_soon(registry.claim, claim)
