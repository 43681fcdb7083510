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
    connection after one answer; `answer` is what it sends.
    """

    address: str = ""
    connections: int = 0
    requests: list[bytes] = attrs.Factory(list)
    silent: bool = False
    closes: bool = False
    answer: bytes = ANSWER

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
                writer.write(self.answer)
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
                connections.close()

    anyio.run(main)


def test_consecutive_requests_share_a_connection():
    """Guards against a new connection for each call, for which the platform charges."""

    async def test(worker: FakeWorker, connections: WorkerConnections) -> None:
        for _ in range(3):
            response = await connections.post("/hold", b"{}", timeout_s=2.0)
            assert (response.status, response.content) == (200, b"{}")
        assert worker.connections == 1
        assert b"x-life: w1" in worker.requests[0]

    run_with_worker(test)


def test_connections_from_before_a_renewal_are_not_reused():
    """Guards against calls on a connection that no longer carries data but was not reset."""

    async def test(worker: FakeWorker, connections: WorkerConnections) -> None:
        await connections.post("/hold", b"{}", timeout_s=2.0)
        connections.renew(min_interval_s=0.0)
        await connections.post("/hold", b"{}", timeout_s=2.0)
        assert worker.connections == 2

    run_with_worker(test)


def test_the_connection_of_a_cancelled_request_is_not_reused():
    """Guards against an answer to a cancelled request that is taken for that of the next one."""

    async def test(worker: FakeWorker, connections: WorkerConnections) -> None:
        worker.silent = True
        with pytest.raises(TimeoutError):
            await connections.post("/hold", b"{}", timeout_s=0.1)
        with pytest.raises(TimeoutError), anyio.fail_after(0.1):
            await connections.post("/hold", b"{}", timeout_s=2.0)
        worker.silent = False
        assert (await connections.post("/hold", b"{}", timeout_s=2.0)).status == 200
        assert worker.connections == 3

    run_with_worker(test)


def test_a_connection_closed_by_the_worker_is_replaced():
    """Guards against starts without an answer after the worker has closed an idle connection."""

    async def test(worker: FakeWorker, connections: WorkerConnections) -> None:
        worker.closes = True
        await connections.post("/hold", b"{}", timeout_s=2.0)
        await anyio.sleep(0.05)
        assert (await connections.post("/hold", b"{}", timeout_s=2.0)).status == 200
        assert worker.connections == 2

    run_with_worker(test)


@pytest.mark.parametrize(
    "answer",
    [
        b"not HTTP at all\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-length: -4\r\n\r\n",
        b"\x00\xff" * 99,
    ],
)
def test_an_invalid_response_fails_only_its_request(answer: bytes):
    """Guards against a process that ends because of one malformed response."""

    async def test(worker: FakeWorker, connections: WorkerConnections) -> None:
        worker.answer = answer
        with pytest.raises(ConnectionError):
            await connections.post("/hold", b"{}", timeout_s=1.0)
        worker.answer = ANSWER
        assert (await connections.post("/hold", b"{}", timeout_s=2.0)).status == 200

    run_with_worker(test)


def test_a_response_that_nobody_asked_for_is_not_taken_for_the_next_one():
    """Guards against the outcome of one call that is taken for that of another."""

    async def test(worker: FakeWorker, connections: WorkerConnections) -> None:
        worker.answer = ANSWER + b"HTTP/1.1 409 Conflict\r\ncontent-length: 2\r\n\r\n{}"
        await connections.post("/hold", b"{}", timeout_s=2.0)
        await anyio.sleep(0.05)
        worker.answer = ANSWER
        assert (await connections.post("/hold", b"{}", timeout_s=2.0)).status == 200
        assert worker.connections == 2

    run_with_worker(test)


def test_a_worker_that_refuses_connections_raises_an_error():
    """Guards against an unexpected exception while a worker restarts."""

    async def test(_: FakeWorker, __: WorkerConnections) -> None:
        closed = WorkerConnections("127.0.0.1:9", {})
        with pytest.raises(ConnectionError):
            await closed.post("/hold", b"{}", timeout_s=1.0)

    run_with_worker(test)
