"""Decodes the heartbeats of workers."""

from __future__ import annotations

import ipaddress

import attrs
import msgspec

from apricotpoint._core.codes import ResultCode
from apricotpoint._core.errors import DECODE_ERRORS, ApricotError
from apricotpoint._wire.pool import PoolBackend, Room
from apricotpoint.platform.numbers import Natural

MAX_PORT = 65535
_LEAVING_BY_STATE = {"ready": False, "draining": True}


@attrs.frozen
class _Capacity:
    cpu: Natural
    # Despite its name, the memory that the worker has.
    requested_memory_mb: Natural
    gpu: Natural = 0


@attrs.frozen
class _Heartbeat:
    """`born` is the start of this incarnation of the worker in unix milliseconds."""

    service: str
    address: str
    zone: str
    state: str
    sequence: Natural
    capacity: _Capacity
    labels: list[str] = attrs.Factory(list)
    born: Natural = 0


_DECODER = msgspec.json.Decoder(_Heartbeat)


def decode_heartbeat(worker_id: str, body: bytes) -> PoolBackend:
    """Return the announcement in the body of a heartbeat.

    Raises `ApricotError` with code 2101 for a malformed heartbeat.
    """
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
    )


def _is_address(text: str) -> bool:
    """Return whether a text is "IP:port"; a call to any other address raises no `OSError`."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return port.isascii() and port.isdecimal() and 0 < int(port) <= MAX_PORT


def _malformed(message: str) -> ApricotError:
    return ApricotError(ResultCode.MALFORMED, message)
