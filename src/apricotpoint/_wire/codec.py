"""Encoding of messages between the system's own processes.

An encoded message has the wire version, the type name, the sender with its
incarnation, the sequence numbers, and a MAC under the shared key. Releases can
be mixed: msgspec ignores fields that only a newer release knows, and fills
fields that an older one does not send with their defaults.
"""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Sequence

import attrs
import msgspec

from apricotpoint._core.errors import DECODE_ERRORS
from apricotpoint._wire import announce, configuration, explain, jobs, load, pool, rows, tasks

WIRE_VERSION = 1
OLDEST_WIRE_VERSION = 1

_MAC_BYTES = 16
_MODULES = (announce, configuration, explain, jobs, load, pool, rows, tasks)


# What msgspec raises for integers beyond 64 bits, values of other types and deep nesting, which
# JSON bodies of callers and backend servers may contain.
ENCODE_ERRORS = (msgspec.MsgspecError, OverflowError, RecursionError, TypeError, ValueError)


class CodecError(Exception):
    """A message cannot be encoded, or the data is malformed or its MAC matches none of the keys."""


@attrs.frozen
class Envelope:
    """A message, its sender and its place in the reliable stream.

    `request_id` is not 0 for a request and its reply. `sequence` is not 0 for
    a message of the reliable stream; `acknowledged` is the highest sequence up
    to which all messages from incarnation `peer_incarnation` of the receiver
    have arrived. `age_s` is how long the message was queued at the sender.
    `sent_at` is when it was written to the connection, by the clock of the sender, and
    `least_offset_s` what its `PeerClock` knows of the receiver; both are None if not known.
    `heard_at` is the latest `sent_at` of a message of the receiver that has arrived. A
    `repeated` message may have arrived before.
    """

    sender: str
    incarnation: int
    message: object
    request_id: int = 0
    is_reply: bool = False
    sequence: int = 0
    acknowledged: int = 0
    peer_incarnation: int = 0
    age_s: float = 0.0
    sent_at: float | None = None
    least_offset_s: float | None = None
    heard_at: float | None = None
    repeated: bool = False


@attrs.frozen
class _Frame:
    version: int
    type_name: str
    sender: str
    incarnation: int
    request_id: int
    is_reply: bool
    sequence: int
    acknowledged: int
    peer_incarnation: int
    age_s: float
    body: msgspec.Raw
    sent_at: float | None = None
    least_offset_s: float | None = None
    heard_at: float | None = None
    repeated: bool = False


def register(*message_types: type) -> None:
    """Add message types of another package to the codec; a type is identified by its class name."""
    for message_type in message_types:
        _DECODER_BY_NAME[message_type.__name__] = msgspec.msgpack.Decoder(message_type)


def find_encode_error(value: object) -> str | None:
    """Return why a value from a JSON document cannot be part of a message, None if it can."""
    try:
        _ENCODER.encode(value)
    except ENCODE_ERRORS as error:
        return str(error)
    return None


def encode(envelope: Envelope, key: bytes) -> bytes:
    """Return the encoded envelope, preceded by its MAC under `key`.

    Raises `CodecError` if a value in the message cannot be encoded.
    """
    try:
        body = _ENCODER.encode(envelope.message)
    except ENCODE_ERRORS as error:
        type_name = type(envelope.message).__name__
        raise CodecError(f"a message of type {type_name} cannot be encoded: {error}") from error
    frame = _Frame(
        version=WIRE_VERSION,
        type_name=type(envelope.message).__name__,
        sender=envelope.sender,
        incarnation=envelope.incarnation,
        request_id=envelope.request_id,
        is_reply=envelope.is_reply,
        sequence=envelope.sequence,
        acknowledged=envelope.acknowledged,
        peer_incarnation=envelope.peer_incarnation,
        age_s=envelope.age_s,
        body=msgspec.Raw(body),
        sent_at=envelope.sent_at,
        least_offset_s=envelope.least_offset_s,
        heard_at=envelope.heard_at,
        repeated=envelope.repeated,
    )
    payload = _ENCODER.encode(frame)
    return _mac(payload, key) + payload


def decode(data: bytes, keys: Sequence[bytes]) -> Envelope:
    """Return the envelope in `data` if its MAC matches one of `keys`.

    A message of an unknown type is returned as `UnknownMessage`, because its
    envelope still acknowledges messages and takes a place in the reliable
    stream. Raises `CodecError` if no key matches or the data is malformed.
    """
    mac, payload = data[:_MAC_BYTES], data[_MAC_BYTES:]
    if not any(hmac.compare_digest(mac, _mac(payload, key)) for key in keys):
        raise CodecError("the MAC of the message matches none of the keys")
    try:
        frame = _FRAME_DECODER.decode(payload)
        if frame.version < OLDEST_WIRE_VERSION:
            raise CodecError(
                f"wire version {frame.version} is not supported; "
                f"the oldest one supported is {OLDEST_WIRE_VERSION}"
            )
        decoder = _DECODER_BY_NAME.get(frame.type_name)
        if decoder is None:
            message: object = UnknownMessage(frame.type_name)
        else:
            message = decoder.decode(frame.body)
    except DECODE_ERRORS as error:
        raise CodecError(f"malformed message: {error}") from error
    return Envelope(
        sender=frame.sender,
        incarnation=frame.incarnation,
        message=message,
        request_id=frame.request_id,
        is_reply=frame.is_reply,
        sequence=frame.sequence,
        acknowledged=frame.acknowledged,
        peer_incarnation=frame.peer_incarnation,
        age_s=frame.age_s,
        sent_at=frame.sent_at,
        least_offset_s=frame.least_offset_s,
        heard_at=frame.heard_at,
        repeated=frame.repeated,
    )


def _mac(payload: bytes, key: bytes) -> bytes:
    return hashlib.blake2b(payload, key=key[:64], digest_size=_MAC_BYTES).digest()


@attrs.frozen
class Nothing:
    """Empty message, sent as a heartbeat or to carry an acknowledgement in its envelope."""


@attrs.frozen
class UnknownMessage:
    """Result of decoding a message whose type this release does not know."""

    type_name: str


_ENCODER = msgspec.msgpack.Encoder()
_FRAME_DECODER = msgspec.msgpack.Decoder(_Frame)
_DECODER_BY_NAME: dict[str, msgspec.msgpack.Decoder[object]] = {}

register(Nothing)
for _module in _MODULES:
    register(
        *(
            item
            for item in vars(_module).values()
            if isinstance(item, type) and attrs.has(item) and item.__module__ == _module.__name__
        )
    )
