"""Persistent HTTP connections to one worker."""

from __future__ import annotations

import asyncio
import typing

import anyio
import attrs
import httptools

# Per process and worker; a worker accepts 64 connections in total.
MAX_CONNECTIONS = 24
# The same as the idle time-out of the platform for its own connections.
IDLE_TIMEOUT_S = 15.0


@attrs.frozen
class WorkerResponse:
    """Status code and body of a response."""

    status: int
    content: bytes


class WorkerConnections:
    """A pool of connections to one address, each used by one request at a time.

    A holder spends most of its processor time on calls to workers. They therefore use
    the parser of httptools directly on the transport of the event loop: a client of
    httpx took six times, a connection of httpcore three times as long
    (docs/measurements-platform.md, "Costs").
    """

    def __init__(self, address: str, headers: dict[str, str]) -> None:
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        lines = [f"host: {address}", "content-type: application/json"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        self._head = "".join(f"{line}\r\n" for line in lines).encode()
        self._connection_limit = asyncio.Semaphore(MAX_CONNECTIONS)
        self._idle_connections: list[_Connection] = []
        self._generation = 0
        self._renewed_at = 0.0

    async def post(self, path: str, content: bytes, *, timeout_s: float) -> WorkerResponse:
        """Send a request and return its response.

        Waits for a free connection if `MAX_CONNECTIONS` are in use. Raises `TimeoutError`
        after `timeout_s` seconds, which include the time to connect but not the wait for a
        free connection, and `OSError` if the worker is unreachable, closes the connection or
        sends no valid response. A cancelled request closes its connection.
        """
        request = b"POST %b HTTP/1.1\r\n%bcontent-length: %d\r\n\r\n%b" % (
            path.encode(),
            self._head,
            len(content),
            content,
        )
        async with self._connection_limit:
            generation = self._generation
            deadline = asyncio.get_running_loop().time() + timeout_s
            connection = await self._acquire_connection(timeout_s)
            try:
                response = await connection.exchange(request, deadline)
            except BaseException:
                connection.close()
                raise
            if generation == self._generation and connection.is_reusable():
                self._idle_connections.append(connection)
            else:
                connection.close()
            return response

    def renew(self, *, min_interval_s: float) -> None:
        """Use new connections for later requests; requests in progress close theirs at their end.

        Has no effect within `min_interval_s` seconds of the last renewal.
        """
        now = asyncio.get_running_loop().time()
        if now - self._renewed_at < min_interval_s:
            return
        self._renewed_at = now
        self._generation += 1
        self.close()

    def close(self) -> None:
        """Close the idle connections; those in use stay open."""
        idle_connections, self._idle_connections = self._idle_connections, []
        for connection in idle_connections:
            connection.close()

    async def _acquire_connection(self, timeout_s: float) -> _Connection:
        loop = asyncio.get_running_loop()
        while self._idle_connections:
            connection = self._idle_connections.pop()
            if connection.is_reusable() and loop.time() - connection.used_at < IDLE_TIMEOUT_S:
                return connection
            connection.close()
        with anyio.fail_after(timeout_s):
            _, connection = await loop.create_connection(_Connection, self._host, self._port)
        return connection


class _Connection(asyncio.Protocol):
    """One connection, with the response that is being received on it.

    `used_at` is the time of the last request on the clock of the event loop.
    """

    def __init__(self) -> None:
        self.used_at = 0.0
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._body: list[bytes] = []
        self._response: asyncio.Future[WorkerResponse] | None = None
        self._is_open = False

    async def exchange(self, request: bytes, deadline: float) -> WorkerResponse:
        """Send a request and return its response; raises like `WorkerConnections.post`."""
        loop = asyncio.get_running_loop()
        if not self._is_open or self._transport is None:
            raise ConnectionError("the worker has closed the connection")
        response: asyncio.Future[WorkerResponse] = loop.create_future()
        self._response = response
        self._transport.write(request)
        self.used_at = loop.time()
        timer = loop.call_at(deadline, self._expire)
        try:
            return await response
        finally:
            timer.cancel()
            self._response = None

    def is_reusable(self) -> bool:
        """Return whether another request may be sent."""
        return self._is_open

    def close(self) -> None:
        """Close the connection at once."""
        self._is_open = False
        if self._transport is not None:
            self._transport.abort()

    def _expire(self) -> None:
        self._fail(TimeoutError("no response in time"))

    def _fail(self, error: OSError) -> None:
        if self._response is not None and not self._response.done():
            self._response.set_exception(error)

    # Methods of asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = typing.cast(asyncio.Transport, transport)
        self._is_open = True

    def connection_lost(self, exc: Exception | None) -> None:
        self._is_open = False
        self._fail(ConnectionError(f"the connection was closed: {exc}"))

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(ConnectionError(f"invalid HTTP: {error}"))
            self.close()

    # Callbacks of the parser

    def on_body(self, body: bytes) -> None:
        self._body.append(body)

    def on_message_complete(self) -> None:
        content, self._body = b"".join(self._body), []
        if not self._parser.should_keep_alive():
            self._is_open = False
        if self._response is None or self._response.done():
            # Nothing was asked, so the next response could not be told from this one.
            self.close()
            return
        self._response.set_result(WorkerResponse(self._parser.get_status_code(), content))
