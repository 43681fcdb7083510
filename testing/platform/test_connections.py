"""Connections to a worker: reuse, renewal and cancelled requests."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import anyio
import attrs
import pytest

from apricotpoint.platform.connections import WorkerConnections

ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}"


@attrs.define
class FakeWorker:
    """Counts connections and requests.

    With `silent` it reads requests without an answer; with `closes` it closes a
    connection after one answer.
    """

    address: str = ""
    connections: int = 0
    requests: list[bytes] = attrs.Factory(list)
    silent: bool = False
    closes: bool = False

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection."""
        self.connections += 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.requests.append(head)
                await reader.readexactly(2)
                if self.silent:
                    continue
                writer.write(ANSWER)
                if self.closes:
                    return
        except asyncio.IncompleteReadError:
            return
        finally:
            writer.close()


@asynccontextmanager
async def running_worker() -> AsyncIterator[FakeWorker]:
    worker = FakeWorker()
    listener = await asyncio.start_server(worker.serve, "127.0.0.1", 0)
    worker.address = f"127.0.0.1:{listener.sockets[0].getsockname()[1]}"
    async with listener:
        yield worker


def run_with_worker(test: Callable[[FakeWorker, WorkerConnections], Awaitable[None]]) -> None:
    async def main() -> None:
        async with running_worker() as worker:
            connections = WorkerConnections(worker.address, {"x-life": "w1"})
            with anyio.fail_after(5):
                await test(worker, connections)
                await connections.close()

    anyio.run(main)


def test_consecutive_requests_share_a_connection():
    """Guards against a new connection for each call, for which the platform charges."""

    async def test(worker: FakeWorker, connections: WorkerConnections) -> None:
        for _ in range(3):
            response = await connections.post("/hold", b"{}")
            assert (response.status, response.content) == (200, b"{}")
        assert worker.connections == 1
        assert b"x-life: w1" in worker.requests[0]

    run_with_worker(test)


def test_connections_from_before_a_renewal_are_not_reused():
    """Guards against calls on a connection that no longer carries data but was not reset."""

    async def test(worker: FakeWorker, connections: WorkerConnections) -> None:
        await connections.post("/hold", b"{}")
        await connections.renew(min_interval_s=0.0)
        await connections.post("/hold", b"{}")
        assert worker.connections == 2

    run_with_worker(test)


def test_the_connection_of_a_cancelled_request_is_not_reused():
    """Guards against an answer to a cancelled request that is taken for that of the next one."""

    async def test(worker: FakeWorker, connections: WorkerConnections) -> None:
        worker.silent = True
        with pytest.raises(TimeoutError), anyio.fail_after(0.1):
            await connections.post("/hold", b"{}")
        worker.silent = False
        assert (await connections.post("/hold", b"{}")).status == 200
        assert worker.connections == 2

    run_with_worker(test)


def test_a_connection_closed_by_the_worker_is_replaced():
    """Guards against starts without an answer after the worker has closed an idle connection."""

    async def test(worker: FakeWorker, connections: WorkerConnections) -> None:
        worker.closes = True
        await connections.post("/hold", b"{}")
        await anyio.sleep(0.05)
        assert (await connections.post("/hold", b"{}")).status == 200
        assert worker.connections == 2

    run_with_worker(test)
