"""HTTP/1.1 server and client of the stand-ins."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import anyio
import anyio.abc
import attrs
import httptools
import httpx

READ_BYTES = 65_536


@attrs.define
class Message:
    """One request: path, headers in lower case, and content."""

    path: str = ""
    headers: dict[str, str] = attrs.Factory(dict)
    content: bytes = b""


# Returns a status and a JSON body; None closes the connection without an answer.
Respond = Callable[[Message], Awaitable[tuple[int, Mapping[str, object]] | None]]


def make_client(*, timeout_s: float | None, **limits: Any) -> httpx.AsyncClient:
    """Return a client for connections without TLS; `limits` are those of `httpx.Limits`."""
    # Without `verify`, as reading the certificates of the machine takes 70 ms for each client.
    return httpx.AsyncClient(
        trust_env=False, verify=False, timeout=timeout_s, limits=httpx.Limits(**limits)
    )


class _Messages:
    """Callbacks of the parser; complete messages wait in `ready`."""

    def __init__(self) -> None:
        self.ready: list[Message] = []
        self._message = Message()

    def on_message_begin(self) -> None:
        self._message = Message()

    def on_url(self, url: bytes) -> None:
        self._message.path += url.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        self._message.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, content: bytes) -> None:
        self._message.content += content

    def on_message_complete(self) -> None:
        self.ready.append(self._message)


async def serve_connection(stream: anyio.abc.ByteStream, respond: Respond) -> None:
    """Answer the requests on a connection, one after the other, until either side closes it."""
    messages = _Messages()
    parser = httptools.HttpRequestParser(messages)
    async with stream:
        try:
            while True:
                parser.feed_data(await stream.receive(READ_BYTES))
                while messages.ready:
                    answer = await respond(messages.ready.pop(0))
                    if answer is None:
                        return
                    await stream.send(_encode(*answer))
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            # The other side has closed or reset the connection.
            return


def _encode(status: int, body: Mapping[str, object]) -> bytes:
    content = json.dumps(body).encode()
    return b"HTTP/1.1 %d X\r\ncontent-type: application/json\r\ncontent-length: %d\r\n\r\n%b" % (
        status,
        len(content),
        content,
    )
