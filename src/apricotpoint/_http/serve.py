"""Serving of ASGI apps with hypercorn."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import anyio
import anyio.abc
import anyio.lowlevel
import attrs
import hypercorn.asyncio
from hypercorn.config import Config, Sockets

from apricotpoint._core.codes import ResultCode
from apricotpoint._core.errors import ApricotError
from apricotpoint._http.arrivals import Arrivals, RecordingListener

# Timeout for a request head on a new or idle connection. It is longer than the
# 1 s after which BackendClient no longer reuses an idle connection.
REQUEST_HEAD_TIMEOUT_S = 5
# Timeout for a client that does not read its response (TCP_USER_TIMEOUT): Linux
# applies it to unacknowledged data and to a closed receive window.
SEND_TIMEOUT_S = 15
DEFAULT_GRACE_PERIOD_S = 30.0


@attrs.frozen
class TlsFiles:
    """Paths of the certificate chain and its private key in PEM format."""

    certificate: Path
    key: Path


class _Config(Config):
    """Settings of hypercorn with a socket that listens already."""

    def __init__(self, listener: socket.socket) -> None:
        super().__init__()
        self._listener = listener

    def create_sockets(self) -> Sockets:
        """Return the socket in place of new ones."""
        sockets = [self._listener]
        return Sockets(sockets, [], []) if self.ssl_enabled else Sockets([], sockets, [])


async def serve(
    app: Any,
    bind: str,
    tls: TlsFiles | None,
    shutdown: Callable[[], Awaitable[None]],
    *,
    grace_s: float = DEFAULT_GRACE_PERIOD_S,
    idle_s: float = REQUEST_HEAD_TIMEOUT_S,
    arrivals: Arrivals | None = None,
    task_status: anyio.abc.TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve `app` on `bind` ("host:port") until `shutdown` returns.

    Then no new connections are accepted, and requests in progress get up to
    `grace_s` seconds to finish. A connection without a request is closed after
    `idle_s` seconds. Accepted connections are added to `arrivals`. Reports the
    bound port as task status. Raises `ApricotError` with code 5001 if the
    address cannot be bound. Works only with the asyncio backend of anyio.
    """
    listener = _listen(bind)
    listener.arrivals = arrivals
    port = listener.getsockname()[1]
    config = _Config(listener)
    config.alpn_protocols = ["http/1.1"]
    config.keep_alive_timeout = idle_s
    config.graceful_timeout = grace_s
    config.include_server_header = False
    config.loglevel = "WARNING"
    if tls is not None:
        config.certfile = str(tls.certificate)
        config.keyfile = str(tls.key)
        config.ssl_handshake_timeout = REQUEST_HEAD_TIMEOUT_S
    task_status.started(port)
    try:
        await hypercorn.asyncio.serve(app, config, shutdown_trigger=shutdown, mode="asgi")
    except asyncio.InvalidStateError:
        # hypercorn 0.18 raises this when it is cancelled with open connections.
        # If there is a cancellation, the checkpoint raises it instead.
        await anyio.lowlevel.checkpoint()
        raise


def _listen(bind: str) -> RecordingListener:
    host, _, port = bind.rpartition(":")
    host = host.strip("[]")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = RecordingListener(family, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SEND_TIMEOUT_S * 1000)
        listener.bind((host, int(port)))
        listener.listen(1024)
    except OSError as error:
        listener.close()
        raise ApricotError(
            ResultCode.INVALID_SETTINGS,
            f"cannot listen on {bind}: {error.strerror}",
            remedy="stop the process that listens there, or change the address in the settings",
        ) from error
    return listener
