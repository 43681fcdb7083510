"""Decodes the heartbeats of workers."""

from __future__ import annotations

import ipaddress
import re
from typing import Annotated

import attrs
import msgspec

from apricotpoint._core.codes import ResultCode
from apricotpoint._core.errors import DECODE_ERRORS, ApricotError
from apricotpoint._pool.decisions.shares import PART_SEPARATOR
from apricotpoint._wire.pool import PoolBackend, Room
from apricotpoint.platform.numbers import Natural

MAX_PORT = 65535
MAX_PORT_DIGITS = 5
# Ids stand in the headers of calls to workers.
_WORKER_ID = re.compile(r"[!-~]{1,200}")
MAX_NAME_LENGTH, MAX_LABELS = 200, 64
# How far the clock of a worker may be ahead. The start of an incarnation decides which of two
# announcements is newer, so one in the far future would hide all later ones.
MAX_AHEAD_S = 86_400.0
# Announcements of one incarnation: this many at its start, and for each second of its life.
MAX_FIRST_SEQUENCE, MAX_SEQUENCE_PER_S = 10_000, 100
# A backend server that is said to be cold for longer has sent an odd value.
MAX_COLD_MS = 86_400_000
_ColdMs = Annotated[float, msgspec.Meta(ge=0, le=MAX_COLD_MS)]
_LEAVING_BY_STATE = {"ready": False, "draining": True}


@attrs.frozen
class _Capacity:
    cpu: Natural
    # Despite its name, the memory that the worker has.
    requested_memory_mb: Natural
    gpu: Natural = 0


@attrs.frozen
class _Heartbeat:
    """`born` is the start of this incarnation of the worker in unix milliseconds.

    `cold_remaining_ms` is how much longer it remains slow after its start.
    """

    service: str
    address: str
    zone: str
    state: str
    sequence: Natural
    capacity: _Capacity
    labels: list[str] = attrs.Factory(list)
    born: Natural = 0
    cold_remaining_ms: _ColdMs = 0.0


_DECODER = msgspec.json.Decoder(_Heartbeat)


def decode_heartbeat(worker_id: str, body: bytes) -> PoolBackend:
    """Return the announcement in the body of a heartbeat.

    Raises `ApricotError` with code 2101 for a malformed heartbeat.
    """
    if not _WORKER_ID.fullmatch(worker_id):
        raise _malformed(
            f"the worker id {worker_id[:MAX_NAME_LENGTH]!r} must have 1 to 200 printable ASCII "
            "characters without spaces"
        )
    try:
        heartbeat = _DECODER.decode(body)
    except DECODE_ERRORS as error:
        raise _malformed(
            f"the heartbeat of worker {worker_id} cannot be decoded: {error}"
        ) from None
    if heartbeat.state not in _LEAVING_BY_STATE:
        raise _malformed(
            f"the heartbeat of worker {worker_id} has state {heartbeat.state!r}; "
            "it must be ready or draining"
        )
    if not _is_address(heartbeat.address):
        raise _malformed(
            f"the heartbeat of worker {worker_id} has address {heartbeat.address!r}; "
            "it must be an IP address and a port"
        )
    for name in (heartbeat.service, heartbeat.zone, *heartbeat.labels):
        if not is_name(name):
            raise _malformed(
                f"the heartbeat of worker {worker_id} has the name {name[:MAX_NAME_LENGTH]!r}; "
                f"names must have 1 to {MAX_NAME_LENGTH} printable characters and no '#'"
            )
    if len(heartbeat.labels) > MAX_LABELS:
        raise _malformed(
            f"the heartbeat of worker {worker_id} has {len(heartbeat.labels)} labels; "
            f"{MAX_LABELS} are allowed"
        )
    return PoolBackend(
        backend_id=worker_id,
        service=heartbeat.service,
        address=heartbeat.address,
        failure_domain=heartbeat.zone,
        room=Room(
            heartbeat.capacity.cpu, heartbeat.capacity.requested_memory_mb, heartbeat.capacity.gpu
        ),
        labels=heartbeat.labels,
        leaving=_LEAVING_BY_STATE[heartbeat.state],
        sequence=heartbeat.sequence,
        born_ms=heartbeat.born,
        cold_remaining_s=heartbeat.cold_remaining_ms / 1000,
    )


def check_plausible(announcement: PoolBackend, now_s: float) -> None:
    """Raise `ApricotError` with code 2101 for numbers that would hide later announcements.

    `now_s` is the wall-clock time in seconds. The announcement with the latest start of an
    incarnation, and of that the one with the highest sequence number, replaces all others.
    """
    if not announcement.born_ms:
        return
    life_s = now_s - announcement.born_ms / 1000
    if life_s < -MAX_AHEAD_S:
        raise _malformed(
            f"the heartbeat of worker {announcement.backend_id} has born {announcement.born_ms}, "
            f"more than {MAX_AHEAD_S:g} s in the future"
        )
    highest = MAX_FIRST_SEQUENCE + MAX_SEQUENCE_PER_S * (life_s + MAX_AHEAD_S)
    if announcement.sequence > highest:
        raise _malformed(
            f"the heartbeat of worker {announcement.backend_id} has sequence "
            f"{announcement.sequence}, which it cannot have reached since its start"
        )


def is_name(text: str) -> bool:
    """Return whether a text can be a label, or the name of a service or zone."""
    return 0 < len(text) <= MAX_NAME_LENGTH and text.isprintable() and PART_SEPARATOR not in text


def _is_address(text: str) -> bool:
    """Return whether a text is "IP:port"; a call to any other address raises no `OSError`."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    if "%" in host or not (port.isascii() and port.isdecimal()) or len(port) > MAX_PORT_DIGITS:
        return False
    return 0 < int(port) <= MAX_PORT


def _malformed(message: str) -> ApricotError:
    return ApricotError(ResultCode.MALFORMED, message)
