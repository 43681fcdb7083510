"""HTTP client for backend servers."""

from __future__ import annotations

import ssl
from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import aclosing, suppress
from types import TracebackType
from urllib.parse import quote

import anyio
import attrs
import httpx
import msgspec

from apricotpoint._core.counters import Counters
from apricotpoint._dispatch.exchange import (
    BackendAddress,
    NotSentError,
    ResponseLostError,
    Start,
    StartResult,
)

# Several times the 0.5 s between the heartbeats that a backend server sends in a stream.
READ_WRITE_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 1.0
POOL_TIMEOUT_S = 0.5
# Shorter than the 5 s after which a server closes an idle connection.
KEEPALIVE_EXPIRY_S = 1.0
QUERY_TIMEOUT_S = 3.0
MAX_LINE_BYTES = 16 << 20
UNUSED_POOL_S = 10.0

_NOT_SENT_ERRORS = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
    httpx.UnsupportedProtocol,
)
_SEND_TIMEOUTS = {
    "connect": CONNECT_TIMEOUT_S,
    "read": READ_WRITE_TIMEOUT_S,
    "write": READ_WRITE_TIMEOUT_S,
    "pool": POOL_TIMEOUT_S,
}
_RESULT_DECODER = msgspec.json.Decoder(StartResult)
_REFUSED_STATUS = 503


@attrs.frozen
class StartsBody:
    """Body of POST /v1/starts.

    A backend server of another incarnation refuses it with status 503.
    """

    incarnation: int
    starts: list[Start]


@attrs.frozen
class CancelBody:
    """Body of POST /v1/starts/cancel."""

    start_ids: list[str]


@attrs.define(eq=False)
class _Pool:
    """Connections to one incarnation of a backend server.

    `for_questions` serves lookups and cancellations. `users` counts the requests
    in progress; a `retired` pool is closed when it reaches 0.
    """

    address: BackendAddress
    for_starts: httpx.AsyncHTTPTransport
    for_questions: httpx.AsyncHTTPTransport
    users: int = 0
    used_at: float = 0.0
    retired: bool = False

    async def close(self) -> None:
        await self.for_starts.aclose()
        await self.for_questions.aclose()


class BackendClient:
    """Sends starts to backend servers over persistent connections.

    It uses httpx transports without the httpx client, which would only add
    cookies, redirects and authentication. Neither layer retries a request.
    Use as an async context manager.
    """

    def __init__(self, *, counters: Counters) -> None:
        self._counters = counters
        self._pool_by_id: dict[str, _Pool] = {}
        self._last_cleanup_at = 0.0
        # httpx would create a TLS context for each transport, which takes 10 ms;
        # backend servers use plain HTTP.
        self._tls = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)

    async def __aenter__(self) -> BackendClient:
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        with anyio.CancelScope(shield=True):
            for pool in self._pool_by_id.values():
                await pool.close()
        self._pool_by_id.clear()

    async def send(
        self, backend: BackendAddress, starts: list[Start]
    ) -> AsyncIterator[StartResult]:
        """Send starts in one exchange and yield results as they arrive.

        Raises `NotSentError` before the first result if nothing was sent or
        the backend server refused the request, otherwise `ResponseLostError`.
        """
        pool = await self._acquire(backend)
        try:
            body = msgspec.json.encode(StartsBody(incarnation=backend.incarnation, starts=starts))
            request = _json_request("POST", f"http://{backend.address}/v1/starts", body)
            request.extensions["timeout"] = _SEND_TIMEOUTS
            missing = {start.start_id for start in starts}
            response = await self._send_request(pool.for_starts, request)
            try:
                if response.status_code == _REFUSED_STATUS:
                    self._counters.add("backends.refused")
                    raise NotSentError(
                        f"{backend.backend_id} refused {len(starts)} starts", refused=True
                    )
                if response.status_code != httpx.codes.OK:
                    raise ResponseLostError(
                        f"{backend.backend_id} responded with HTTP status {response.status_code}"
                    )
                async with aclosing(_non_empty_lines(response)) as lines:
                    async for line in lines:
                        result = _RESULT_DECODER.decode(line)
                        if result.start_id in missing:
                            missing.discard(result.start_id)
                            yield result
                        else:
                            self._counters.add("backends.unexpected_results")
            except (httpx.HTTPError, httpx.StreamError, msgspec.MsgspecError) as error:
                if missing:
                    raise self._response_lost(backend, error) from error
            finally:
                await response.aclose()
            if missing:
                raise self._response_lost(
                    backend, f"the result stream ended with {len(missing)} results missing"
                )
        finally:
            await self._release(pool)

    async def ask(self, backend: BackendAddress, start_id: str) -> StartResult:
        """Return the state or result of a start as the backend server reports it.

        Raises `ResponseLostError` if it cannot be reached or its response is not valid.
        """
        path = f"/v1/starts/{quote(start_id, safe='')}"
        try:
            return _RESULT_DECODER.decode(await self._query(backend, "GET", path, b""))
        except (httpx.HTTPError, msgspec.MsgspecError, TimeoutError) as error:
            raise self._response_lost(backend, error) from error

    async def cancel(self, backend: BackendAddress, start_ids: list[str]) -> None:
        """Cancel starts with one request; errors are counted and not raised."""
        body = msgspec.json.encode(CancelBody(start_ids=start_ids))
        try:
            await self._query(backend, "POST", "/v1/starts/cancel", body)
        except (httpx.HTTPError, TimeoutError):
            self._counters.add("backends.cancel_errors")

    async def _query(self, backend: BackendAddress, method: str, path: str, body: bytes) -> bytes:
        pool = await self._acquire(backend)
        try:
            request = _json_request(method, f"http://{backend.address}{path}", body)
            request.extensions["timeout"] = _SEND_TIMEOUTS
            with anyio.fail_after(QUERY_TIMEOUT_S):
                response = await pool.for_questions.handle_async_request(request)
                try:
                    content = await response.aread()
                finally:
                    await response.aclose()
            if response.status_code != httpx.codes.OK:
                raise httpx.RemoteProtocolError(f"HTTP status {response.status_code}")
            return content
        finally:
            await self._release(pool)

    async def _send_request(
        self, transport: httpx.AsyncHTTPTransport, request: httpx.Request
    ) -> httpx.Response:
        self._counters.add("backends.exchanges")
        try:
            return await transport.handle_async_request(request)
        except _NOT_SENT_ERRORS as error:
            self._counters.add("backends.not_sent")
            raise NotSentError(f"{request.url}: {error!r}") from error
        except httpx.HTTPError as error:
            self._counters.add("backends.answers_lost")
            raise ResponseLostError(f"{request.url}: {error!r}") from error

    def _response_lost(self, backend: BackendAddress, reason: object) -> ResponseLostError:
        self._counters.add("backends.answers_lost")
        return ResponseLostError(f"{backend.backend_id} at {backend.address}: {reason!r}")

    async def _acquire(self, backend: BackendAddress) -> _Pool:
        now = anyio.current_time()
        await self._close_unused(now)
        pool = self._pool_by_id.get(backend.backend_id)
        if pool is None or pool.address != backend:
            if pool is not None:
                pool.retired = True
            outdated = pool
            pool = self._make_pool(backend)
            self._pool_by_id[backend.backend_id] = pool
            if outdated is not None and not outdated.users:
                # Counted as used, so that no concurrent call closes the new pool meanwhile.
                pool.users += 1
                await outdated.close()
                pool.users -= 1
        pool.users += 1
        pool.used_at = now
        return pool

    def _make_pool(self, backend: BackendAddress) -> _Pool:
        # Lookups and cancellations each open a new connection, so some of the
        # announced connections are reserved for them. A backend server that
        # announces a single connection gets a second one.
        reserved = min(2, max(1, backend.connections // 4))
        return _Pool(
            address=backend,
            for_starts=self._make_transport(
                httpx.Limits(
                    max_connections=max(1, backend.connections - reserved),
                    keepalive_expiry=KEEPALIVE_EXPIRY_S,
                )
            ),
            for_questions=self._make_transport(
                httpx.Limits(max_connections=reserved, max_keepalive_connections=0)
            ),
        )

    def _make_transport(self, limits: httpx.Limits) -> httpx.AsyncHTTPTransport:
        return httpx.AsyncHTTPTransport(verify=self._tls, trust_env=False, limits=limits, retries=0)

    async def _release(self, pool: _Pool) -> None:
        pool.users -= 1
        if pool.retired and not pool.users:
            with anyio.CancelScope(shield=True), suppress(httpx.HTTPError):
                await pool.close()

    async def _close_unused(self, now: float) -> None:
        """Close the pools that were not used for `UNUSED_POOL_S` seconds."""
        if now - self._last_cleanup_at < UNUSED_POOL_S:
            return
        self._last_cleanup_at = now
        unused = [
            pool
            for pool in self._pool_by_id.values()
            if not pool.users and now - pool.used_at > UNUSED_POOL_S
        ]
        for pool in unused:
            del self._pool_by_id[pool.address.backend_id]
        for pool in unused:
            await pool.close()


def _json_request(method: str, url: str, body: bytes) -> httpx.Request:
    return httpx.Request(method, url, content=body, headers={"content-type": "application/json"})


async def _non_empty_lines(response: httpx.Response) -> AsyncGenerator[bytes, None]:
    """Yield the non-empty lines of a result stream; empty lines are heartbeats."""
    rest = b""
    async for chunk in response.aiter_raw():
        *lines, rest = (rest + chunk).split(b"\n")
        if len(rest) > MAX_LINE_BYTES:
            raise httpx.RemoteProtocolError(
                f"a line of the result stream is longer than {MAX_LINE_BYTES} bytes"
            )
        for line in lines:
            if line.strip():
                yield line
