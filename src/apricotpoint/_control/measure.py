"""Benchmarks of the control package, printed as one JSON line for each figure.

Usage: `python -m apricotpoint._control.measure`. All times are real times on
one machine, except where a line says otherwise. A message between replicas is
a function call in one process, so the figures include no network latency.
"""

from __future__ import annotations

import json
import random
import resource
import tempfile
import time
import tracemalloc
from collections.abc import Iterator
from contextlib import AsyncExitStack, contextmanager
from pathlib import Path

import anyio
import attrs
from hdrh.histogram import HdrHistogram

from apricotpoint._control.feed import ConfigurationFeed
from apricotpoint._control.identity import initialise
from apricotpoint._control.log import Log
from apricotpoint._control.messages import Entry, Snapshot
from apricotpoint._control.node import ControlNode
from apricotpoint._control.registry import KeyRegistry
from apricotpoint._control.replica import Role
from apricotpoint._control.state import ReplicatedState
from apricotpoint._control.storage import Storage, SyncFunction, sync_in_thread
from apricotpoint._core.counters import Counters
from apricotpoint._core.timers import TimerService
from apricotpoint._link.transport import Handler, PeerUnreachable, RequestHandler, Sender
from apricotpoint._wire import codec
from apricotpoint._wire.configuration import Change
from apricotpoint._wire.jobs import Claim

_IDS = ["c1", "c2", "c3"]
_KEY = b"measurement"


class _LocalTransport:
    """Calls the handlers of other nodes directly, and counts messages and encoded bytes."""

    def __init__(self, peer_id: str, transport_by_id: dict[str, _LocalTransport]) -> None:
        self.handlers_by_type: dict[type, Handler] = {}
        self.request_handlers_by_type: dict[type, RequestHandler] = {}
        self.messages = self.bytes = 0
        self.is_up = True
        self._peer_id = peer_id
        self._transport_by_id = transport_by_id
        transport_by_id[peer_id] = self

    def send(self, peer_id: str, message: object, *, reliable: bool = False) -> bool:
        return False

    async def request(self, peer_id: str, message: object, *, timeout_s: float) -> object:
        self._count(message)
        peer = self._transport_by_id[peer_id]
        with anyio.move_on_after(timeout_s):
            handler = peer.request_handlers_by_type.get(type(message))
            if handler is None or not (self.is_up and peer.is_up):
                await anyio.sleep(timeout_s)
                raise PeerUnreachable(peer_id)
            reply = await handler(Sender(self._peer_id, 1), message)
            peer._count(reply)
            return reply
        raise PeerUnreachable(peer_id)

    def peers(self) -> list[str]:
        return [peer for peer in self._transport_by_id if peer != self._peer_id]

    def seconds_since_contact(self, peer_id: str) -> float:
        return float("inf")

    def incarnation_of(self, peer_id: str) -> int | None:
        return None

    def _count(self, message: object) -> None:
        self.messages += 1
        envelope = codec.Envelope(self._peer_id, 1 << 62, message, request_id=1)
        self.bytes += len(codec.encode(envelope, _KEY))


class _Cluster:
    """Three control nodes in this process; use as an async context manager."""

    def __init__(self, folder: Path, sync: SyncFunction, seed: int = 0) -> None:
        self.transport_by_id: dict[str, _LocalTransport] = {}
        self.node_by_id: dict[str, ControlNode] = {}
        self._folder = folder
        self._sync = sync
        self._seed = seed
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> _Cluster:
        for node_id in _IDS:
            _LocalTransport(node_id, self.transport_by_id)
        for number, node_id in enumerate(_IDS):
            storage = Storage(self._folder / node_id, sync=self._sync)
            seeded = random.Random(f"{self._seed} {number}")
            await initialise(
                storage, node_id=node_id, first=True, initialised_at=time.time(), random=seeded
            )
            node = ControlNode(
                node_id=node_id,
                failure_domain=node_id,
                members=_IDS,
                data_folder=storage.folder,
                transport=self.transport_by_id[node_id],
                timers=TimerService(),
                counters=Counters(),
                random=seeded,
                storage=storage,
            )
            self.node_by_id[node_id] = await self._stack.enter_async_context(node)
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._stack.aclose()

    async def leader(self, *, other_than: str = "") -> ControlNode:
        while True:
            for node_id, node in self.node_by_id.items():
                replica = node.replica
                is_leader = replica.role is Role.LEADER and replica.has_majority()
                if node_id != other_than and is_leader:
                    return node
            await anyio.sleep(0.005)


def _make_sync(sync_s: float) -> SyncFunction:
    async def sync(_: int) -> None:
        await anyio.sleep(sync_s)

    return sync


@contextmanager
def _folder() -> Iterator[Path]:
    with tempfile.TemporaryDirectory() as name:
        yield Path(name)


def _report(figure: str, **values: object) -> None:
    print(json.dumps({"figure": figure, **values}), flush=True)


def _quantiles(histogram: HdrHistogram) -> dict[str, float]:
    return {
        f"p{quantile}_ms": histogram.get_value_at_percentile(quantile) / 1000
        for quantile in (50, 99)
    }


def _claim(number: int) -> Claim:
    return Claim(
        team="association",
        key=f"order-{number:010}",
        valid_until=int(time.time()) + 1800 + number % 1000,
        fingerprint=f"{number:032x}",
        entry_id=f"puebla-{number % 2}",
        incarnation=1 << 60,
    )


async def _open_registry(storage: Storage) -> KeyRegistry:
    registry = KeyRegistry(
        storage, timers=TimerService(), counters=Counters(), disk_replaced_at=None
    )
    await registry.open()
    return registry


async def _measure_claims(sync_name: str, sync: SyncFunction, concurrency: int) -> None:
    total = max(200, min(5_000, concurrency * 50))
    histogram = HdrHistogram(1, 60_000_000, 3)
    numbers = iter(range(total))
    with _folder() as folder:
        registry = await _open_registry(Storage(folder, sync=sync))

        async def work() -> None:
            for number in numbers:
                started_at = time.perf_counter()
                await registry.claim(_claim(number))
                histogram.record_value(int((time.perf_counter() - started_at) * 1e6))

        started_at = time.perf_counter()
        async with anyio.create_task_group() as group:
            for _ in range(concurrency):
                group.start_soon(work)
        elapsed_s = time.perf_counter() - started_at
        registry.close()
    _report(
        "claim_latency",
        sync=sync_name,
        concurrency=concurrency,
        claims=total,
        claims_per_s=round(total / elapsed_s),
        **_quantiles(histogram),
    )


async def _measure_claim_memory(count: int) -> None:
    with _folder() as folder:
        registry = await _open_registry(Storage(folder, sync=_make_sync(0.0)))
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        for first in range(0, count, 1000):
            async with anyio.create_task_group() as group:
                for number in range(first, first + 1000):
                    group.start_soon(registry.claim, _claim(number))
        used = tracemalloc.get_traced_memory()[0] - before
        tracemalloc.stop()
        _report(
            "claim_memory",
            claims=count,
            bytes_per_claim=round(used / count),
            file_bytes_per_claim=round(registry.file_bytes / count),
        )
        registry.close()


async def _measure_changes(sync_name: str, sync: SyncFunction, count: int) -> None:
    histogram = HdrHistogram(1, 60_000_000, 3)
    with _folder() as folder:
        async with _Cluster(folder, sync) as cluster:
            leader = await cluster.leader()
            for number in range(count):
                started_at = time.perf_counter()
                reply = await leader.replica.change(
                    Change(f"c{number}", number, "drain_vm", f"vm-{number % 50}")
                )
                assert reply.version == number + 1
                histogram.record_value(int((time.perf_counter() - started_at) * 1e6))
    _report("change_commit", sync=sync_name, changes=count, **_quantiles(histogram))


async def _measure_propagation(sync_name: str, sync: SyncFunction, count: int) -> None:
    """Measure the time from sending a change until it is active in six entry processes."""
    histogram = HdrHistogram(1, 60_000_000, 3)
    with _folder() as folder:
        async with _Cluster(folder, sync) as cluster, AsyncExitStack() as stack:
            leader = await cluster.leader()
            feeds = [
                await stack.enter_async_context(
                    ConfigurationFeed(
                        transport=_LocalTransport(f"e{number}", cluster.transport_by_id),
                        control_ids=_IDS,
                        timers=TimerService(),
                        counters=Counters(),
                    )
                )
                for number in range(6)
            ]
            for number in range(count):
                # The pause is no multiple of the poll interval, so that changes arrive at
                # different times within a poll.
                await anyio.sleep(0.037)
                started_at = time.perf_counter()
                await leader.replica.change(Change(f"c{number}", number, "drain_vm", "vm"))
                while any(feed.configuration().version <= number for feed in feeds):  # noqa: ASYNC110
                    await anyio.sleep(0.001)
                histogram.record_value(int((time.perf_counter() - started_at) * 1e6))
    _report("change_in_force", sync=sync_name, feeds=6, changes=count, **_quantiles(histogram))


async def _measure_failover(runs: int) -> None:
    times = []
    for seed in range(runs):
        with _folder() as folder:
            async with _Cluster(folder, sync_in_thread, seed) as cluster:
                old_leader = await cluster.leader()
                await anyio.sleep(0.5)
                # Messages are lost in both directions, which the other replicas cannot tell
                # from a killed leader.
                cluster.transport_by_id[old_leader.node_id].is_up = False
                started_at = time.perf_counter()
                await cluster.leader(other_than=old_leader.node_id)
                times.append(time.perf_counter() - started_at)
    _report(
        "time_without_leader",
        time="real",
        fault="leader cut off",
        runs=runs,
        median_s=round(sorted(times)[runs // 2], 2),
        highest_s=round(max(times), 2),
    )


async def _measure_idle(seconds: float) -> None:
    with _folder() as folder:
        async with _Cluster(folder, sync_in_thread) as cluster:
            await cluster.leader()
            await anyio.sleep(1)
            transports = cluster.transport_by_id.values()
            before = [(item.messages, item.bytes) for item in transports]
            processor_s = time.process_time()
            await anyio.sleep(seconds)
            processor_s = time.process_time() - processor_s
            after = [(item.messages, item.bytes) for item in transports]
    messages = sum(now[0] - then[0] for now, then in zip(after, before, strict=True))
    size = sum(now[1] - then[1] for now, then in zip(after, before, strict=True))
    _report(
        "idle_cluster",
        replicas=len(_IDS),
        messages_per_s=round(messages / seconds, 1),
        bytes_per_s=round(size / seconds),
        processor_share=round(processor_s / seconds, 4),
    )


async def _measure_restart(changes: int) -> None:
    with _folder() as folder:
        storage = Storage(folder, sync=_make_sync(0.0))
        await _fill_log(storage, changes)
        started_at = time.perf_counter()
        log = Log(storage, initial_members=_IDS)
        await log.open()
        state = ReplicatedState(log.disk_by_member())
        if log.snapshot is not None:
            state.restore(log.snapshot.state)
        for index in range(log.snapshot_index + 1, log.last_index + 1):
            state.apply(log.entry(index))
        elapsed_s = time.perf_counter() - started_at
        assert state.configuration.version == changes
        _report(
            "restart",
            changes=changes,
            open_and_apply_ms=round(elapsed_s * 1000, 1),
            log_bytes=log.file_bytes,
            resident_mb=resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024,
        )
        log.close()


async def _fill_log(storage: Storage, changes: int) -> None:
    log = Log(storage, initial_members=_IDS)
    await log.open()
    log.set_term_and_vote(1, "c1")
    state = ReplicatedState(log.disk_by_member())
    for number in range(changes):
        change = Change(f"command-{number}", number, "drain_vm", f"vm-{number % 50}")
        entry = Entry(term=1, change=change)
        log.append(number + 1, [entry])
        await log.sync()
        state.apply(entry)
        if (number + 1) % 1000 == 0 and number + 1 < changes:
            await log.compact(Snapshot(index=number + 1, term=1, state=state.image()))
    log.close()


@attrs.frozen
class _Sync:
    name: str
    function: SyncFunction


async def main() -> None:
    """Run all measurements."""
    syncs = [
        _Sync("none", _make_sync(0.0)),
        _Sync("5 ms", _make_sync(0.005)),
        _Sync("fdatasync", sync_in_thread),
    ]
    for sync in syncs:
        for concurrency in (1, 16, 128):
            await _measure_claims(sync.name, sync.function, concurrency)
    for sync in syncs:
        await _measure_changes(sync.name, sync.function, 300)
        await _measure_propagation(sync.name, sync.function, 100)
    for changes in (1_000, 100_000):
        await _measure_restart(changes)
    await _measure_claim_memory(50_000)
    await _measure_idle(5.0)
    await _measure_failover(10)


if __name__ == "__main__":
    anyio.run(main)
