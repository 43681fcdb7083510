"""A feed behind a slow link, and processes that hold the latest document."""

from __future__ import annotations

import anyio
import anyio.abc

from apricotpoint._link.transport import Handler, PeerUnreachable, RequestHandler, Sender
from apricotpoint._wire import codec

KEY = b"key"


class HolderTransport:
    """Transport of a process that only answers requests."""

    def __init__(self) -> None:
        self.handlers_by_type: dict[type, Handler] = {}
        self.request_handlers_by_type: dict[type, RequestHandler] = {}

    def peers(self) -> list[str]:
        """Return no peers."""
        return []


class SlowLinkTransport:
    """Transport of a process for which all replies pass one link, in order.

    `bytes_per_s` is its bandwidth, `received_bytes` what has passed it. A reply after its time-out
    still takes its time on the link. Processes in `silent` do not answer.
    """

    def __init__(
        self,
        holder_by_id: dict[str, HolderTransport],
        group: anyio.abc.TaskGroup,
        *,
        bytes_per_s: float,
    ) -> None:
        self.handlers_by_type: dict[type, Handler] = {}
        self.request_handlers_by_type: dict[type, RequestHandler] = {}
        self.silent: set[str] = set()
        self.received_bytes = 0
        self._holder_by_id = holder_by_id
        self._group = group
        self._bytes_per_s = bytes_per_s
        self._link = anyio.Lock()

    def peers(self) -> list[str]:
        """Return the ids of all holders."""
        return list(self._holder_by_id)

    async def request(self, peer_id: str, message: object, *, timeout_s: float) -> object:
        """Pass a request to a holder, and its reply through the link."""
        replies: list[object] = []
        arrived = anyio.Event()
        has_timed_out = False

        async def answer() -> None:
            handler = self._holder_by_id[peer_id].request_handlers_by_type[type(message)]
            reply = await handler(Sender("slow", 1), message)
            data = codec.encode(codec.Envelope(peer_id, 1, reply), KEY)
            async with self._link:
                await anyio.sleep(len(data) / self._bytes_per_s)
            self.received_bytes += len(data)
            decoded = codec.decode(data, [KEY]).message
            if has_timed_out:
                late_handler = self.handlers_by_type.get(type(decoded))
                if late_handler is not None:
                    late_handler(Sender(peer_id, 1), decoded)
                return
            replies.append(decoded)
            arrived.set()

        if peer_id not in self.silent:
            self._group.start_soon(answer)
        with anyio.move_on_after(timeout_s):
            await arrived.wait()
        if not arrived.is_set():
            has_timed_out = True
            raise PeerUnreachable(peer_id)
        return replies[0]
