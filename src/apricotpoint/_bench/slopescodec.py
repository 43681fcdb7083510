"""Encoding of measured messages."""

from __future__ import annotations

from apricotpoint._bench.slopesfakes import (
    INCARNATION,
    entry_name,
)
from apricotpoint._wire import codec

KEY = b"key of the measured processes"
KEY = b"key of the measured processes"


def encoded(message: object, *, sender: str = entry_name(1)) -> bytes:
    """Return a message in its envelope, as a link sends it."""
    return codec.encode(
        codec.Envelope(
            sender=sender,
            incarnation=INCARNATION,
            message=message,
            acknowledged=100_000,
            peer_incarnation=INCARNATION,
            age_s=0.001,
        ),
        KEY,
    )


def decoded(data: bytes) -> object:
    """Return the message of an envelope, as a link receives it."""
    return codec.decode(data, [KEY]).message
