"""Network backend of httpcore for connections to workers."""

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


class TcpNetworkBackend(httpcore.AsyncNetworkBackend):
    """Opens TCP connections without TLS and ignores the time-outs of connect, read and write.

    Each of these time-outs would need a cancel scope of its own, and the caller
    already limits the whole call by one.
    """

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: _Options | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Open a connection with TCP_NODELAY. Raises `httpcore.ConnectError`."""
        try:
            stream = await anyio.connect_tcp(host, port, local_host=local_address)
        except OSError as error:
            raise httpcore.ConnectError(str(error)) from error
        raw = stream.extra(SocketAttribute.raw_socket)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return _TcpStream(stream, raw)

    async def sleep(self, seconds: float) -> None:
        """Suspend the calling task for `seconds`."""
        await anyio.sleep(seconds)


class _TcpStream(httpcore.AsyncNetworkStream):
    def __init__(self, stream: anyio.abc.SocketStream, raw: socket.socket) -> None:
        self._stream = stream
        self._socket = raw
        self._poller = select.poll()
        self._poller.register(raw, select.POLLIN)

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
        raise httpcore.ConnectError("TLS is not supported: workers accept only plain TCP")

    def get_extra_info(self, info: str) -> typing.Any:
        if info == "is_readable":
            # After a reset the descriptor of the connection is closed, and its number may
            # already belong to another file.
            return self._socket.fileno() < 0 or bool(self._poller.poll(0))
        return None
