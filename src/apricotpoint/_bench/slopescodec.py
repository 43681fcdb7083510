"""Encoding of messages in envelopes, for the measurements."""

from __future__ import annotations

from apricotpoint._bench.slopesfakes import (
    INCARNATION,
    make_entry_id,
)
from apricotpoint._wire import codec

KEY = b"key of the measured processes"
KEY = b"key of the measured processes"


def encode_in_envelope(message: object, *, sender: str = make_entry_id(1)) -> bytes:
    """Return the bytes of a message in its envelope, as a link sends them."""
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


def decode_from_envelope(data: bytes) -> object:
    """Return the message in the bytes of an envelope, as a link receives it."""
    return codec.decode(data, [KEY]).message
