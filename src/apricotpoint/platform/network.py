"""Network streams for connections to workers."""

from __future__ import annotations

import select
import socket
import ssl
import typing
from collections.abc import Iterable

import anyio
import anyio.abc
import httpcore
from anyio.abc import SocketAttribute

_Options = Iterable[
    tuple[int, int, int] | tuple[int, int, bytes | bytearray] | tuple[int, int, None, int]
]


class Network(httpcore.AsyncNetworkBackend):
    """Opens plain TCP connections whose operations have no time limits of their own.

    A time limit for each read and write is a cancel scope; the caller already
    bounds the whole exchange by one.
    """

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: _Options | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Open a connection. Raises `httpcore.ConnectError`."""
        try:
            stream = await anyio.connect_tcp(host, port, local_host=local_address)
        except OSError as error:
            raise httpcore.ConnectError(str(error)) from error
        raw = stream.extra(SocketAttribute.raw_socket)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return _Stream(stream, raw)

    async def sleep(self, seconds: float) -> None:
        """Suspend the calling task."""
        await anyio.sleep(seconds)


class _Stream(httpcore.AsyncNetworkStream):
    def __init__(self, stream: anyio.abc.SocketStream, raw: socket.socket) -> None:
        self._stream = stream
        self._raw = raw
        self._poll = select.poll()
        self._poll.register(raw, select.POLLIN)

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        try:
            return await self._stream.receive(max_bytes)
        except anyio.EndOfStream:
            return b""
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise httpcore.ReadError(str(error)) from error

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        if not buffer:
            return
        try:
            await self._stream.send(buffer)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise httpcore.WriteError(str(error)) from error

    async def aclose(self) -> None:
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        raise httpcore.ConnectError("workers are reached without TLS")

    def get_extra_info(self, info: str) -> typing.Any:
        if info == "is_readable":
            # The descriptor of a connection that was reset is closed and may be in use again.
            return self._raw.fileno() < 0 or bool(self._poll.poll(0))
        return None
