"""The transport that entry processes use: peers come and go while it runs."""

from __future__ import annotations

from typing import Protocol

from apricotpoint._link.transport import Transport


class DynamicTransport(Transport, Protocol):
    """A transport to which peers can be added and removed, and that dates their messages."""

    def add_peer(self, peer_id: str, address: str) -> None:
        """Open a link to a peer; does nothing if there is one already."""

    def remove_peer(self, peer_id: str) -> None:
        """Close the link to a peer; does nothing if there is none."""

    def replace_connections(self, peer_id: str) -> None:
        """Open the connections to and from a peer anew."""

    def withdraw(self, peer_id: str, message: object) -> bool:
        """Withdraw a request that was never written to a connection; False if it may have been.

        `request` then raises `RequestNotSent`.
        """

    def seconds_since_alive(self, peer_id: str) -> float:
        """Return at most how many seconds ago the peer has sent a message that has arrived."""
