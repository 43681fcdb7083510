"""What the parts need from the links to other processes."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Protocol

import attrs


@attrs.frozen
class Sender:
    """Where a message came from, and how long it waited at the sender (seconds)."""

    peer_id: str
    incarnation: int
    age_s: float = 0.0


Handler = Callable[[Sender, object], None]
RequestHandler = Callable[[Sender, object], Awaitable[object]]


class PeerUnreachable(Exception):  # noqa: N818
    """A request to a peer got no reply in time; the peer may or may not have handled it."""


class Transport(Protocol):
    """Messages to and from the other processes of the system."""

    handlers_by_type: dict[type, Handler]
    request_handlers_by_type: dict[type, RequestHandler]

    def send(self, peer_id: str, message: object, *, reliable: bool = False) -> bool:
        """Queue a message; False if the peer is unknown or its queue is full.

        A reliable message is repeated until the receiving incarnation has
        acknowledged it, and is handled there once and in order.
        """

    async def request(self, peer_id: str, message: object, *, timeout_s: float) -> object:
        """Send a request and return its reply.

        Raises `PeerUnreachable` if there is no reply within `timeout_s`.
        """

    def peers(self) -> list[str]:
        """Return the ids of all known peers."""

    def seconds_since_contact(self, peer_id: str) -> float:
        """Return the seconds since the peer was last heard; infinity if never."""

    def incarnation_of(self, peer_id: str) -> int | None:
        """Return the latest incarnation heard from the peer."""
