"""Relays for the links between processes, which can be cut, silenced, delayed and reset."""

from __future__ import annotations

import socket
import struct

import anyio
import anyio.abc
import attrs

READ_BYTES = 65_536
# Without this wait the processes that connect again and again take all processor time.
REFUSAL_S = 0.3
# Closing a socket with this option resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@attrs.define(eq=False)
class _Connection:
    """Both ends of a relayed connection; silent directions carry nothing any more."""

    near: anyio.abc.SocketStream
    far: anyio.abc.SocketStream
    scope: anyio.CancelScope
    forward_silent: bool = False
    backward_silent: bool = False


class Relay:
    """Forwards the connections that one process opens to another one.

    Bytes wait while the relay is cut, and are `delay_s` seconds late. `bytes_per_s` is the
    bandwidth in each direction, 0 for no limit.
    """

    def __init__(self, host: str, port: int, target_port: int) -> None:
        self._host, self._port, self._target_port = host, port, target_port
        self._connections: list[_Connection] = []
        # Cuts may overlap: the link is joined when the last one is over.
        self._cuts = 0
        self._joined = anyio.Event()
        self._joined.set()
        self.delay_s = self.bytes_per_s = 0.0

    def cut(self) -> None:
        """Hold up all bytes and new connections until each cut has had its `join`."""
        self._cuts += 1
        if self._joined.is_set():
            self._joined = anyio.Event()

    def join(self) -> None:
        """End one cut; after the last one deliver what was held up."""
        self._cuts -= 1
        if not self._cuts:
            self._joined.set()

    def silence(self, *, both: bool) -> int:
        """Drop what open connections carry from now on; new ones work; return their number.

        With `both` in both directions, otherwise only towards the process that accepted.
        """
        for connection in self._connections:
            connection.forward_silent = True
            connection.backward_silent |= both
        return len(self._connections)

    def reset(self) -> int:
        """Reset all open connections and return their number."""
        for connection in self._connections:
            for stream in (connection.near, connection.far):
                raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            connection.scope.cancel()
        return len(self._connections)

    async def run(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        """Accept connections until cancelled."""
        listener = await anyio.create_tcp_listener(local_host=self._host, local_port=self._port)
        async with listener:
            task_status.started()
            await listener.serve(self._forward)

    async def _forward(self, near: anyio.abc.SocketStream) -> None:
        async with near:
            await self._joined.wait()
            try:
                far = await anyio.connect_tcp(self._host, self._target_port)
            except OSError:
                # The process does not listen. Its own port would refuse the connection, after which
                # the opener waits; it does not after a connection that was accepted.
                await anyio.sleep(REFUSAL_S)
                return
            with anyio.CancelScope() as scope:
                async with far, anyio.create_task_group() as group:
                    connection = _Connection(near, far, scope)
                    self._connections.append(connection)
                    try:
                        group.start_soon(self._pump, connection, True)
                        await self._pump(connection, False)
                    finally:
                        self._connections.remove(connection)

    async def _pump(self, connection: _Connection, forward: bool) -> None:
        ends = (connection.near, connection.far)
        source, target = ends if forward else ends[::-1]
        try:
            while True:
                data = await source.receive(READ_BYTES)
                wait_s = self.delay_s
                if self.bytes_per_s:
                    wait_s += len(data) / self.bytes_per_s
                if wait_s:
                    await anyio.sleep(wait_s)
                while self._cuts:
                    await self._joined.wait()
                silent = connection.forward_silent if forward else connection.backward_silent
                if not silent:
                    await target.send(data)
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            # One process has closed or lost the connection; the other one gets to know.
            connection.scope.cancel()


class Links:
    """Relays by opening and accepting process; use as an async context manager."""

    def __init__(self) -> None:
        self._relays: dict[tuple[str, str], Relay] = {}

    async def __aenter__(self) -> Links:
        self._group = await anyio.create_task_group().__aenter__()
        return self

    async def __aexit__(self, *exc_info: object) -> bool | None:
        self._group.cancel_scope.cancel()
        return await self._group.__aexit__(*exc_info)  # type: ignore[arg-type]

    async def add(
        self, opener_id: str, acceptor_id: str, *, host: str, port: int, target_port: int
    ) -> None:
        """Relay connections to a port of `host` to another port of it."""
        relay = Relay(host, port, target_port)
        await self._group.start(relay.run)
        self._relays[opener_id, acceptor_id] = relay

    def between(self, one_side: set[str], other_side: set[str]) -> list[Relay]:
        """Return the relays between two sets of processes."""
        return [
            relay
            for (opener, acceptor), relay in self._relays.items()
            if (opener in one_side and acceptor in other_side)
            or (opener in other_side and acceptor in one_side)
        ]
