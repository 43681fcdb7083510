"""Persistent HTTP connections to one worker."""

from __future__ import annotations

import anyio
import httpcore

from apricotpoint.platform.network import TcpNetworkBackend

# Per process and worker; a worker accepts 64 connections in total.
MAX_CONNECTIONS = 24
# The same as the idle time-out of the platform for its own connections.
IDLE_TIMEOUT_S = 15.0


class WorkerConnections:
    """A pool of connections to one address, each used by one request at a time.

    Uses connections of httpcore, the library on which httpx is built, directly:
    the layers of an `httpx.AsyncClient` take more than half of the processor time
    of a call to a worker (docs/measurements-platform.md, "Costs").
    """

    def __init__(self, address: str, headers: dict[str, str]) -> None:
        host, _, port = address.rpartition(":")
        self._origin = httpcore.Origin(b"http", host.encode(), int(port))
        self._headers = [
            (b"host", address.encode()),
            (b"content-type", b"application/json"),
            *((name.encode(), value.encode()) for name, value in headers.items()),
        ]
        self._network_backend = TcpNetworkBackend()
        self._connection_limit = anyio.Semaphore(MAX_CONNECTIONS, fast_acquire=True)
        self._idle_connections: list[httpcore.AsyncHTTPConnection] = []
        self._generation = 0
        self._renewed_at = 0.0

    async def post(self, path: str, content: bytes) -> httpcore.Response:
        """Send a request and return its response, with the body read.

        Waits for a free connection if `MAX_CONNECTIONS` are in use. Raises the
        exceptions of httpcore. A cancelled request closes its connection.
        """
        headers = [*self._headers, (b"content-length", str(len(content)).encode())]
        url = httpcore.URL(
            scheme=b"http",
            host=self._origin.host,
            port=self._origin.port,
            target=path.encode(),
        )
        async with self._connection_limit:
            generation = self._generation
            connection = await self._acquire_connection()
            response = await connection.request("POST", url, headers=headers, content=content)
            if generation == self._generation and connection.is_idle():
                self._idle_connections.append(connection)
            else:
                await connection.aclose()
            return response

    async def renew(self, *, min_interval_s: float) -> None:
        """Use new connections for later requests; requests in progress close theirs at their end.

        Has no effect within `min_interval_s` seconds of the last renewal.
        """
        now = anyio.current_time()
        if now - self._renewed_at < min_interval_s:
            return
        self._renewed_at = now
        self._generation += 1
        await self.close()

    async def close(self) -> None:
        """Close the idle connections; those in use stay open."""
        idle_connections, self._idle_connections = self._idle_connections, []
        for connection in idle_connections:
            await connection.aclose()

    async def _acquire_connection(self) -> httpcore.AsyncHTTPConnection:
        while self._idle_connections:
            connection = self._idle_connections.pop()
            if not connection.has_expired():
                return connection
            await connection.aclose()
        return httpcore.AsyncHTTPConnection(
            self._origin, keepalive_expiry=IDLE_TIMEOUT_S, network_backend=self._network_backend
        )
