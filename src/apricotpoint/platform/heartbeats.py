"""Heartbeats of workers."""

from __future__ import annotations

import attrs
import msgspec

from apricotpoint._core.codes import ResultCode
from apricotpoint._core.errors import DECODE_ERRORS, ApricotError
from apricotpoint._wire.pool import PoolBackend, Room

_LEAVING_BY_STATE = {"ready": False, "draining": True}


@attrs.frozen
class _Capacity:
    cpu: int
    # Not a request: the memory that the worker has.
    requested_memory_mb: int
    gpu: int = 0


@attrs.frozen
class _Heartbeat:
    """`born` is the start of this life of the worker, in unix milliseconds."""

    service: str
    address: str
    zone: str
    state: str
    sequence: int
    capacity: _Capacity
    labels: list[str] = attrs.Factory(list)
    born: int = 0


_DECODER = msgspec.json.Decoder(_Heartbeat)


def decode_heartbeat(worker_id: str, body: bytes) -> PoolBackend:
    """Return the announcement in a heartbeat.

    Raises `ApricotError` with code 2101 for one that names no worker to use.
    """
    try:
        said = _DECODER.decode(body)
    except DECODE_ERRORS as error:
        raise _malformed(f"the heartbeat of {worker_id} cannot be read: {error}") from None
    if said.state not in _LEAVING_BY_STATE:
        raise _malformed(f"the heartbeat of {worker_id} has the unknown state {said.state!r}")
    host, _, port = said.address.rpartition(":")
    if not host or not port.isdecimal():
        raise _malformed(f"the heartbeat of {worker_id} has the address {said.address!r}")
    if said.sequence < 0 or said.capacity.cpu < 0 or said.capacity.requested_memory_mb < 0:
        raise _malformed(f"the heartbeat of {worker_id} has a negative number")
    return PoolBackend(
        backend_id=worker_id,
        service=said.service,
        address=said.address,
        failure_domain=said.zone,
        room=Room(said.capacity.cpu, said.capacity.requested_memory_mb, said.capacity.gpu),
        labels=said.labels,
        leaving=_LEAVING_BY_STATE[said.state],
        sequence=said.sequence,
        born_ms=said.born,
    )


def _malformed(message: str) -> ApricotError:
    return ApricotError(ResultCode.MALFORMED, message)
