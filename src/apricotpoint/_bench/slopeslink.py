"""Slopes of the links between processes, over TCP on loopback in this process."""

from __future__ import annotations

import random
import socket
import time
from contextlib import AsyncExitStack, suppress
from functools import partial

import anyio
import anyio.abc
import msgspec

from apricotpoint._bench.slopescodec import KEY, encoded
from apricotpoint._bench.slopesfakes import load_report
from apricotpoint._bench.slopesfit import REPEATS, Series, chosen, least_us_async
from apricotpoint._core.counters import Counters
from apricotpoint._core.timers import TimerService
from apricotpoint._dispatch.exchange import RunStatus, Start, StartResult
from apricotpoint._link.mesh import Mesh
from apricotpoint._link.peer import HEARTBEAT_PERIOD_S
from apricotpoint._link.transport import Sender
from apricotpoint._wire.codec import Nothing
from apricotpoint._wire.jobs import CancelForward, JobLookup
from apricotpoint._wire.load import LoadReport
from apricotpoint._wire.tasks import CancelBatch

# Messages sent before the sender waits, well below the length of its queue.
_BURST = 100
# A burst is expected within this time. Only a fault makes it longer.
_LIMIT_S = 10.0


def measure_messages(*, smallest: bool) -> None:
    """CPU time of both ends for a message, against its size and its spacing."""
    anyio.run(lambda: _measure_messages(smallest=smallest))


def measure_idle_links(*, smallest: bool) -> None:
    """CPU time of idle links with heartbeats only, in a full mesh."""
    series = Series("link.idle_cpu", "directed links, both ends", "us/s")
    sent = Series("link.idle_messages", "directed links", "1/s")
    for processes in chosen((4, 8, 14), smallest=smallest):
        links = processes * (processes - 1)
        cpu_us, messages = anyio.run(
            _idle, processes, 2 * HEARTBEAT_PERIOD_S if smallest else 5 * HEARTBEAT_PERIOD_S
        )
        series.add(links, cpu_us)
        sent.add(links, messages)
    series.fit()
    sent.fit()
    heartbeat = Series("link.heartbeat_bytes", "bytes of the sender's id", "B")
    for length in chosen((4, 10, 32), smallest=smallest):
        heartbeat.add(length, len(encoded(Nothing(), sender="e" * length)))
    heartbeat.fit()


async def _measure_messages(*, smallest: bool) -> None:
    async with _meshes(2) as (meshes, _):
        sender, receiver = meshes
        arrived = anyio.Event()
        left = 0

        def count(_: Sender, __: object) -> None:
            nonlocal left
            left -= 1
            if not left:
                arrived.set()

        async def answer(_: Sender, message: object) -> object:
            return CancelForward(team="team-001", key="~puebla-001.1.1")

        for message_type in (LoadReport, CancelBatch):
            receiver.handlers_by_type[message_type] = count
        receiver.request_handlers_by_type[JobLookup] = answer
        peer_id = sender.peers()[0]

        async def send(message: object, burst: int, *, reliable: bool = False) -> None:
            nonlocal left, arrived
            for _ in range(_BURST // burst):
                left, arrived = burst, anyio.Event()
                for _ in range(burst):
                    sender.send(peer_id, message, reliable=reliable)
                with anyio.fail_after(_LIMIT_S):
                    await arrived.wait()

        await send(CancelBatch([1]), 1, reliable=True)
        bursts = Series("link.message_of_80_bytes", "messages per turn of the event loop", "us")
        for burst in chosen((1, 10, 100), smallest=smallest):
            bursts.add(
                burst,
                await least_us_async(
                    partial(send, CancelBatch([1]), burst, reliable=True), units=_BURST
                ),
            )
        bursts.fit()
        sizes = Series("link.single_message", "bytes of the message", "us")
        for held in chosen((0, 45, 180), smallest=smallest):
            report = load_report(0, held)
            sizes.add(
                len(encoded(report)),
                await least_us_async(partial(send, report, 1), units=_BURST),
            )
        sizes.fit()
        requests = Series("link.request_and_reply", "requests at once", "us")
        lookup = JobLookup(team="team-001", key="~puebla-001.1.1", wait_s=0.0)
        for at_once in chosen((1, 10, 50), smallest=smallest):

            async def ask(at_once: int = at_once) -> None:
                for _ in range(_BURST // at_once):
                    async with anyio.create_task_group() as group:
                        for _ in range(at_once):
                            group.start_soon(_ask, sender, peer_id, lookup)

            requests.add(at_once, await least_us_async(ask, units=_BURST))
        requests.fit()


def measure_lines(*, smallest: bool) -> None:
    """Measure starts and results as JSON lines on an open connection.

    This is a trial and not production code. It shows what an exchange with a
    backend server costs without HTTP.
    """
    anyio.run(lambda: _measure_lines(smallest=smallest))


async def _measure_lines(*, smallest: bool) -> None:
    series = Series("trial.line_and_answer_both_ends", "lines per write", "us")
    start = Start("5af3107a4000.1.1.1", "hem", {"length_mm": 1200, "fabric": "linen"}, 1000)
    result = StartResult(start.start_id, RunStatus.OK, {"price": 125, "minutes": 14}, run_s=0.1)
    answer_decoder = msgspec.json.Decoder(StartResult)
    start_decoder = msgspec.json.Decoder(Start)

    async def serve(stream: anyio.abc.ByteStream) -> None:
        with suppress(anyio.BrokenResourceError, anyio.ClosedResourceError):
            async with stream:
                rest = b""
                async for data in stream:
                    *lines, rest = (rest + data).split(b"\n")
                    answers = []
                    for line in lines:
                        start_decoder.decode(line)
                        answers.append(msgspec.json.encode(result) + b"\n")
                    if answers:
                        await stream.send(b"".join(answers))

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with anyio.create_task_group() as group:
        group.start_soon(listener.serve, serve)
        async with await anyio.connect_tcp("127.0.0.1", port) as stream:
            for count in chosen((1, 4, 16), smallest=smallest):

                async def exchange(count: int = count) -> None:
                    for _ in range(_BURST):
                        starts = [msgspec.json.encode(start) + b"\n" for _ in range(count)]
                        await stream.send(b"".join(starts))
                        left, rest = count, b""
                        while left:
                            *lines, rest = (rest + await stream.receive()).split(b"\n")
                            for line in lines:
                                answer_decoder.decode(line)
                            left -= len(lines)

                series.add(count, await least_us_async(exchange, units=_BURST))
        group.cancel_scope.cancel()
    series.fit()


async def _ask(mesh: Mesh, peer_id: str, message: object) -> None:
    await mesh.request(peer_id, message, timeout_s=_LIMIT_S)


async def _idle(processes: int, seconds: float) -> tuple[float, float]:
    """Return CPU microseconds and messages in a second, for all links together.

    `seconds` is a multiple of the period of heartbeats, so that each window
    has the same number of them.
    """
    async with _meshes(processes) as (_, counters):
        await anyio.sleep(1.0)
        least_us, messages = float("inf"), 0.0
        for _ in range(REPEATS):
            sent = counters.get("link.sent")
            started_s, started_at = time.process_time(), time.monotonic()
            await anyio.sleep(seconds)
            elapsed_s = time.monotonic() - started_at
            least_us = min(least_us, (time.process_time() - started_s) * 1e6 / elapsed_s)
            messages = (counters.get("link.sent") - sent) / elapsed_s
        return least_us, messages


class _meshes:  # noqa: N801
    """Meshes that know each other, with the counters that they share."""

    def __init__(self, count: int) -> None:
        self._count = count
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> tuple[list[Mesh], Counters]:
        counters = Counters()
        timers = await self._stack.enter_async_context(TimerService())
        address_by_peer = {f"puebla-{number:03}": _free_address() for number in range(self._count)}
        meshes = [
            Mesh(
                process_id=peer_id,
                incarnation=1,
                listen=address,
                address_by_peer=address_by_peer,
                keys=[KEY],
                timers=timers,
                counters=counters,
            )
            for peer_id, address in address_by_peer.items()
        ]
        for mesh in meshes:
            await self._stack.enter_async_context(mesh)
        with anyio.fail_after(_LIMIT_S):
            # A mesh has no event for the first message of a peer.
            while any(  # noqa: ASYNC110
                mesh.seconds_since_contact(peer) > 1 for mesh in meshes for peer in mesh.peers()
            ):
                await anyio.sleep(0.02)
        return meshes, counters

    async def __aexit__(self, *_: object) -> None:
        await self._stack.aclose()


def _free_address() -> str:
    # Below the ports of outgoing connections, which the other meshes open meanwhile.
    while True:
        port = random.randrange(20_000, 32_000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        return f"127.0.0.1:{port}"
