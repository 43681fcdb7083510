"""The configuration that the operator of the platform sends."""

from __future__ import annotations

import attrs
import msgspec

from apricotpoint._core.codes import ResultCode
from apricotpoint._core.errors import DECODE_ERRORS, ApricotError
from apricotpoint._pool.routing import Route, Routing
from apricotpoint._wire.configuration import Document

LARGEST_VERSION = (1 << 53) - 1


@attrs.frozen
class _Route:
    """A route is a queue of jobs; `target_latency_ms` is the constant part of its objective."""

    name: str
    host: str
    path_prefix: str
    service: str
    timeout_ms: int
    target_latency_ms: float = 0.0
    # Multiplies the longest chain of tasks of a job in its objective.
    stretch_factor: float = 1.0
    priority: int = 0
    max_attempts: int = 1


@attrs.frozen
class _Service:
    name: str
    max_connections: int = 64


@attrs.frozen
class _Limits:
    max_body_bytes: int = 262_144


@attrs.frozen
class _Configuration:
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = _Limits()


_DECODER = msgspec.json.Decoder(_Configuration)


def decode_document(body: bytes) -> Document:
    """Return the document in a request of the operator.

    Raises `ApricotError` with code 4103 that names the first fault.
    """
    try:
        raw = _DECODER.decode(body)
        text = body.decode()
    except DECODE_ERRORS as error:
        raise _invalid(f"the configuration cannot be read: {error}") from None
    _check(raw)
    return Document(version=raw.version, text=text)


def decode_routing(document: Document) -> Routing:
    """Return the routes of a document that was accepted before."""
    if not document.version:
        return Routing()
    raw = _DECODER.decode(document.text)
    return Routing(
        raw.version,
        [
            Route(
                name=route.name,
                host=route.host.lower(),
                prefix=route.path_prefix,
                service=route.service,
                timeout_s=route.timeout_ms / 1000,
                base_latency_s=route.target_latency_ms / 1000,
                stretch=route.stretch_factor,
                priority=route.priority,
                max_attempts=route.max_attempts,
            )
            for route in raw.routes
        ],
        max_body_bytes=raw.limits.max_body_bytes,
    )


def _check(raw: _Configuration) -> None:
    if not 0 < raw.version <= LARGEST_VERSION:
        raise _invalid(f"version {raw.version} is not between 1 and {LARGEST_VERSION}")
    services = {service.name for service in raw.services}
    if len(services) < len(raw.services):
        raise _invalid("two services have the same name")
    places: set[tuple[str, str]] = set()
    for route in raw.routes:
        place = (route.host.lower(), route.path_prefix)
        if route.service not in services:
            raise _invalid(f"route {route.name!r} names the unknown service {route.service!r}")
        if place in places:
            raise _invalid(f"route {route.name!r} has the host and prefix of another one")
        if route.timeout_ms <= 0:
            raise _invalid(f"route {route.name!r} has a timeout of {route.timeout_ms} ms")
        if route.max_attempts < 1:
            raise _invalid(f"route {route.name!r} allows {route.max_attempts} attempts")
        places.add(place)


def _invalid(message: str) -> ApricotError:
    return ApricotError(
        ResultCode.INVALID_COMMAND, message, remedy="correct it and send it with a new version"
    )
