"""The interface through which other packages exchange messages with peer processes."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Protocol

import attrs


@attrs.frozen
class Sender:
    """Origin of a message, which is at most `age_s` seconds old.

    `age_s` counts the time in queues, on the way and in sockets. For messages of types that are
    not dated (see `Mesh`) it may leave out what is not known yet. It is infinite for a dated
    request whose age could not be found out.
    """

    peer_id: str
    incarnation: int
    age_s: float = 0.0


Handler = Callable[[Sender, object], None]
RequestHandler = Callable[[Sender, object], Awaitable[object]]


class PeerUnreachable(Exception):  # noqa: N818
    """No reply to a request; the peer may or may not have handled it."""


class RequestNotSent(PeerUnreachable):
    """A request was never written to a connection: the peer has not handled it and never will."""


class Transport(Protocol):
    """Messages to and from the other processes of the system.

    A reply that arrives after its request has timed out is passed to the handler of its type in
    `handlers_by_type`, if there is one.
    """

    handlers_by_type: dict[type, Handler]
    request_handlers_by_type: dict[type, RequestHandler]

    def send(self, peer_id: str, message: object, *, reliable: bool = False) -> bool:
        """Queue a message; False if the peer is unknown or its queue is full.

        A reliable message is retransmitted until the receiving incarnation has
        acknowledged it, and is handled there once and in order. It is dropped
        if that incarnation ends first. Any other message may be lost.
        """

    async def request(self, peer_id: str, message: object, *, timeout_s: float) -> object:
        """Send a request once and return its reply.

        Raises `RequestNotSent` if the peer is unknown or its queue is full, and
        `PeerUnreachable` if no reply arrives within `timeout_s`.
        """

    def peers(self) -> list[str]:
        """Return the ids of all known peers."""

    def seconds_since_contact(self, peer_id: str) -> float:
        """Return the seconds since the last message from the peer; infinity if there was none."""

    def incarnation_of(self, peer_id: str) -> int | None:
        """Return the highest incarnation that has sent a message; None if none has."""
