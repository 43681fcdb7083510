"""Kept connections to one worker."""

from __future__ import annotations

import anyio
import httpcore

from apricotpoint.platform.network import Network

# Connections of one process to a worker, of the 64 that a worker takes.
MAX_CONNECTIONS = 24
# Idle connections are kept as long as the platform's own idle time-out.
IDLE_S = 15.0


class WorkerConnections:
    """Connections to one address, each used by one request at a time.

    Uses the connections of httpcore, the library below httpx, directly: the
    layers of an `httpx.AsyncClient` take more than half of the processor time
    of an exchange with a worker (docs/measurements-platform.md, "Costs").
    """

    def __init__(self, address: str, headers: dict[str, str]) -> None:
        host, _, port = address.rpartition(":")
        self._origin = httpcore.Origin(b"http", host.encode(), int(port))
        self._headers = [
            (b"host", address.encode()),
            (b"content-type", b"application/json"),
            *((name.encode(), value.encode()) for name, value in headers.items()),
        ]
        self._network = Network()
        self._limit = anyio.Semaphore(MAX_CONNECTIONS, fast_acquire=True)
        self._idle: list[httpcore.AsyncHTTPConnection] = []
        self._generation = 0
        self._renewed_at = 0.0

    async def post(self, path: str, content: bytes) -> httpcore.Response:
        """Send a request and return its response, with the body read.

        Raises the exceptions of httpcore. A cancelled request closes its connection.
        """
        headers = [*self._headers, (b"content-length", str(len(content)).encode())]
        url = httpcore.URL(
            scheme=b"http",
            host=self._origin.host,
            port=self._origin.port,
            target=path.encode(),
        )
        async with self._limit:
            generation = self._generation
            connection = await self._take()
            response = await connection.request("POST", url, headers=headers, content=content)
            if generation == self._generation and connection.is_idle():
                self._idle.append(connection)
            else:
                await connection.aclose()
            return response

    async def renew(self, *, pause_s: float) -> None:
        """Use new connections for later requests; at most once in `pause_s` seconds."""
        now = anyio.current_time()
        if now - self._renewed_at < pause_s:
            return
        self._renewed_at = now
        self._generation += 1
        await self.close()

    async def close(self) -> None:
        """Close the idle connections; a request in progress closes its own at its end."""
        idle, self._idle = self._idle, []
        for connection in idle:
            await connection.aclose()

    async def _take(self) -> httpcore.AsyncHTTPConnection:
        while self._idle:
            connection = self._idle.pop()
            if not connection.has_expired():
                return connection
            await connection.aclose()
        return httpcore.AsyncHTTPConnection(
            self._origin, keepalive_expiry=IDLE_S, network_backend=self._network
        )
