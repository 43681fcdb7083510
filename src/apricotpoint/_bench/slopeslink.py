"""Costs of the links between processes, over TCP on loopback within this process."""

from __future__ import annotations

import random
import socket
import time
from contextlib import AsyncExitStack, suppress
from functools import partial

import anyio
import anyio.abc
import logbook
import msgspec

from apricotpoint._bench.slopescodec import KEY, encode_in_envelope
from apricotpoint._bench.slopesfakes import load_report
from apricotpoint._bench.slopesfit import REPEATS, Series, min_cpu_us_async, select_sizes
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

_log = logbook.Logger("bench")

# Messages or exchanges of one run, well below the length of the send queue of a link.
_MESSAGES_PER_RUN = 100
# A burst takes longer only after a fault.
_TIMEOUT_S = 10.0


def measure_messages(*, smallest: bool) -> None:
    """Measure the CPU time of both ends per message, against its size and the burst size."""
    anyio.run(lambda: _measure_messages(smallest=smallest))


def measure_idle_links(*, smallest: bool) -> None:
    """Measure the CPU time of idle links, which send only heartbeats, in a full mesh."""
    series = Series("link.idle_cpu", "directed links, both ends", "us/s")
    sent = Series("link.idle_messages", "directed links", "1/s")
    for processes in select_sizes((4, 8, 14), smallest=smallest):
        links = processes * (processes - 1)
        cpu_us, messages = anyio.run(
            _measure_idle, processes, 2 * HEARTBEAT_PERIOD_S if smallest else 5 * HEARTBEAT_PERIOD_S
        )
        series.add(links, cpu_us)
        sent.add(links, messages)
    series.fit()
    sent.fit()
    heartbeat = Series("link.heartbeat_bytes", "bytes of the sender's id", "B")
    for length in select_sizes((4, 10, 32), smallest=smallest):
        heartbeat.add(length, len(encode_in_envelope(Nothing(), sender="e" * length)))
    heartbeat.fit()


async def _measure_messages(*, smallest: bool) -> None:
    async with _ConnectedMeshes(2) as (meshes, _):
        sender, receiver = meshes
        arrived = anyio.Event()
        remaining = 0

        def count(_: Sender, __: object) -> None:
            nonlocal remaining
            remaining -= 1
            if not remaining:
                arrived.set()

        async def answer(_: Sender, message: object) -> object:
            return CancelForward(team="team-001", key="~puebla-001.1.1")

        for message_type in (LoadReport, CancelBatch):
            receiver.handlers_by_type[message_type] = count
        receiver.request_handlers_by_type[JobLookup] = answer
        peer_id = sender.peers()[0]

        async def send(message: object, burst: int, *, reliable: bool = False) -> None:
            nonlocal remaining, arrived
            for _ in range(_MESSAGES_PER_RUN // burst):
                remaining, arrived = burst, anyio.Event()
                for _ in range(burst):
                    sender.send(peer_id, message, reliable=reliable)
                with anyio.fail_after(_TIMEOUT_S):
                    await arrived.wait()

        await send(CancelBatch([1]), 1, reliable=True)
        per_burst = Series("link.message_of_80_bytes", "messages per turn of the event loop", "us")
        for burst in select_sizes((1, 10, 100), smallest=smallest):
            per_burst.add(
                burst,
                await min_cpu_us_async(
                    partial(send, CancelBatch([1]), burst, reliable=True), units=_MESSAGES_PER_RUN
                ),
            )
        per_burst.fit()
        per_size = Series("link.single_message", "bytes of the message", "us")
        for held in select_sizes((0, 45, 180), smallest=smallest):
            report = load_report(0, held)
            per_size.add(
                len(encode_in_envelope(report)),
                await min_cpu_us_async(partial(send, report, 1), units=_MESSAGES_PER_RUN),
            )
        per_size.fit()
        per_concurrency = Series("link.request_and_reply", "requests at once", "us")
        lookup = JobLookup(team="team-001", key="~puebla-001.1.1", wait_s=0.0)
        for at_once in select_sizes((1, 10, 50), smallest=smallest):

            async def send_requests(at_once: int = at_once) -> None:
                for _ in range(_MESSAGES_PER_RUN // at_once):
                    async with anyio.create_task_group() as group:
                        for _ in range(at_once):
                            group.start_soon(_request, sender, peer_id, lookup)

            per_concurrency.add(
                at_once, await min_cpu_us_async(send_requests, units=_MESSAGES_PER_RUN)
            )
        per_concurrency.fit()


def measure_lines(*, smallest: bool) -> None:
    """Measure starts and results that are sent as JSON lines on an open connection.

    Production code has no such protocol; the figures show what an exchange with a
    backend server would cost without HTTP.
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
                incomplete_line = b""
                async for data in stream:
                    *lines, incomplete_line = (incomplete_line + data).split(b"\n")
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
            for count in select_sizes((1, 4, 16), smallest=smallest):

                async def exchange(count: int = count) -> None:
                    for _ in range(_MESSAGES_PER_RUN):
                        starts = [msgspec.json.encode(start) + b"\n" for _ in range(count)]
                        await stream.send(b"".join(starts))
                        remaining, incomplete_line = count, b""
                        while remaining:
                            *lines, incomplete_line = (
                                incomplete_line + await stream.receive()
                            ).split(b"\n")
                            for line in lines:
                                answer_decoder.decode(line)
                            remaining -= len(lines)

                series.add(count, await min_cpu_us_async(exchange, units=_MESSAGES_PER_RUN))
        group.cancel_scope.cancel()
    series.fit()


async def _request(mesh: Mesh, peer_id: str, message: object) -> None:
    await mesh.request(peer_id, message, timeout_s=_TIMEOUT_S)


async def _measure_idle(processes: int, seconds: float) -> tuple[float, float]:
    """Return CPU time in microseconds and messages, both per second for all links together.

    `seconds` must be a multiple of the heartbeat period, so that each measured
    window has the same number of heartbeats.
    """
    async with _ConnectedMeshes(processes) as (_, counters):
        await anyio.sleep(1.0)
        min_us, messages = float("inf"), 0.0
        for _ in range(REPEATS):
            sent = counters.get("link.sent")
            started_s, started_at = time.process_time(), time.monotonic()
            await anyio.sleep(seconds)
            elapsed_s = time.monotonic() - started_at
            min_us = min(min_us, (time.process_time() - started_s) * 1e6 / elapsed_s)
            messages = (counters.get("link.sent") - sent) / elapsed_s
        return min_us, messages


class _ConnectedMeshes:
    """Meshes that are connected to each other, with the counters that they share.

    Use it as an async context manager.
    """

    def __init__(self, count: int) -> None:
        self._count = count
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> tuple[list[Mesh], Counters]:
        counters = Counters()
        timers = await self._stack.enter_async_context(TimerService())
        address_by_peer = {
            f"puebla-{number:03}": _find_free_address() for number in range(self._count)
        }
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
        with anyio.fail_after(_TIMEOUT_S):
            # A mesh has no event for the first message from a peer, so this polls.
            while any(  # noqa: ASYNC110
                mesh.seconds_since_contact(peer) > 1 for mesh in meshes for peer in mesh.peers()
            ):
                await anyio.sleep(0.02)
        return meshes, counters

    async def __aexit__(self, *_: object) -> None:
        await self._stack.aclose()


def _find_free_address() -> str:
    # Below the ephemeral ports, from which other meshes open connections meanwhile.
    while True:
        port = random.randrange(20_000, 32_000)
        with socket.socket() as probe_socket:
            try:
                probe_socket.bind(("127.0.0.1", port))
            except OSError as error:
                _log.debug("port {} cannot be used: {}; trying another one", port, error)
                continue
        return f"127.0.0.1:{port}"
