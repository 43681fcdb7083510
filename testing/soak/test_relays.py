"""Relays between processes, on loopback."""

from __future__ import annotations

from contextlib import suppress

import anyio
import anyio.abc
import pytest

from apricotpoint._soak.relays import Links, Relay

HOST = "127.9.2.3"


async def echo(stream: anyio.abc.SocketStream) -> None:
    async with stream:
        # The relay resets the connection at the end of the test.
        with suppress(anyio.BrokenResourceError):
            async for data in stream:
                await stream.send(data)


async def exchange(stream: anyio.abc.SocketStream, timeout_s: float) -> bytes | None:
    """Return what comes back for one byte, None if nothing does in time."""
    await stream.send(b"x")
    with anyio.move_on_after(timeout_s):
        return await stream.receive()
    return None


async def run_relay_test() -> None:
    listener = await anyio.create_tcp_listener(local_host=HOST)
    target_port = listener.extra(anyio.abc.SocketAttribute.local_port)
    spare = await anyio.create_tcp_listener(local_host=HOST)
    port = spare.extra(anyio.abc.SocketAttribute.local_port)
    await spare.aclose()
    async with listener, anyio.create_task_group() as group, Links() as links:
        group.start_soon(listener.serve, echo)
        await links.add("a", "b", host=HOST, port=port, target_port=target_port)
        (relay,) = links.between({"b"}, {"a"})
        assert isinstance(relay, Relay)
        stream = await anyio.connect_tcp(HOST, port)
        assert await exchange(stream, 5.0) == b"x"
        relay.cut()
        relay.cut()
        relay.join()
        assert await exchange(stream, 0.1) is None
        relay.join()
        assert await exchange(stream, 5.0) in (b"x", b"xx")
        assert relay.silence(both=False) == 1
        assert await exchange(stream, 0.1) in (None, b"x")
        fresh = await anyio.connect_tcp(HOST, port)
        assert await exchange(fresh, 5.0) == b"x"
        assert relay.reset() == 2
        with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
            await fresh.receive()
        group.cancel_scope.cancel()


def test_cuts_overlap_and_silent_connections_stay_open():
    """Guards against links that stay dead after two cuts, which would look like a fault."""
    anyio.run(run_relay_test)
