"""Connections to a worker: reuse, renewal, and what is left after a request that was given up."""

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
class Server:
    """Counts connections and requests; `silent` reads requests and answers nothing."""

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
async def server() -> AsyncIterator[Server]:
    state = Server()
    listener = await asyncio.start_server(state.serve, "127.0.0.1", 0)
    state.address = f"127.0.0.1:{listener.sockets[0].getsockname()[1]}"
    async with listener:
        yield state


def run(test: Callable[[Server, WorkerConnections], Awaitable[None]]) -> None:
    async def main() -> None:
        async with server() as state:
            connections = WorkerConnections(state.address, {"x-life": "w1"})
            with anyio.fail_after(5):
                await test(state, connections)
                await connections.close()

    anyio.run(main)


def test_requests_one_after_the_other_share_a_connection():
    """Guards against a new connection for each call, which the platform charges for."""

    async def test(state: Server, connections: WorkerConnections) -> None:
        for _ in range(3):
            response = await connections.post("/hold", b"{}")
            assert (response.status, response.content) == (200, b"{}")
        assert state.connections == 1
        assert b"x-life: w1" in state.requests[0]

    run(test)


def test_renewed_connections_are_not_used_again():
    """Guards against calls on a connection that has gone silent without a reset."""

    async def test(state: Server, connections: WorkerConnections) -> None:
        await connections.post("/hold", b"{}")
        await connections.renew(min_interval_s=0.0)
        await connections.post("/hold", b"{}")
        assert state.connections == 2

    run(test)


def test_a_request_that_was_given_up_leaves_no_connection_behind():
    """Guards against taking the answer of an earlier request for that of a later one."""

    async def test(state: Server, connections: WorkerConnections) -> None:
        state.silent = True
        with pytest.raises(TimeoutError), anyio.fail_after(0.1):
            await connections.post("/hold", b"{}")
        state.silent = False
        assert (await connections.post("/hold", b"{}")).status == 200
        assert state.connections == 2

    run(test)


def test_a_connection_that_the_worker_has_closed_is_replaced():
    """Guards against unanswered starts because the worker has ended an idle connection."""

    async def test(state: Server, connections: WorkerConnections) -> None:
        state.closes = True
        await connections.post("/hold", b"{}")
        await anyio.sleep(0.05)
        assert (await connections.post("/hold", b"{}")).status == 200
        assert state.connections == 2

    run(test)
