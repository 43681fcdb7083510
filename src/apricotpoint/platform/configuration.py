"""Decodes and validates the configuration that the operator of the platform sends."""

from __future__ import annotations

import attrs
import msgspec

from apricotpoint._core.codes import ResultCode
from apricotpoint._core.errors import DECODE_ERRORS, ApricotError
from apricotpoint._pool.routing import Route, Routing
from apricotpoint._wire.configuration import Document
from apricotpoint.platform.numbers import MAX_INTEGER, Integer, Natural, NonNegative


@attrs.frozen
class _Route:
    """Rules for jobs with one host and path prefix, which wait in a queue of their own.

    The latency objective of a job is `target_latency_ms` plus `stretch_factor` times
    the run time of its longest chain of tasks.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    timeout_ms: Integer
    target_latency_ms: NonNegative = 0.0
    stretch_factor: NonNegative = 1.0
    priority: Integer = 0
    max_attempts: Integer = 1


@attrs.frozen
class _Service:
    name: str
    max_connections: Integer = 64


@attrs.frozen
class _Limits:
    max_body_bytes: Natural = 262_144


@attrs.frozen
class _Configuration:
    version: Integer
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = _Limits()


_DECODER = msgspec.json.Decoder(_Configuration)


def decode_document(body: bytes) -> Document:
    """Return the document in the body of a request of the operator.

    Raises `ApricotError` with code 4103 that names the first error found.
    """
    try:
        parsed = _DECODER.decode(body)
        text = body.decode()
    except DECODE_ERRORS as error:
        raise _invalid(f"the configuration cannot be decoded: {error}") from None
    _validate(parsed)
    return Document(version=parsed.version, text=text)


def decode_routing(document: Document) -> Routing:
    """Return the routes of a document that `decode_document` accepted; none for version 0."""
    if not document.version:
        return Routing()
    parsed = _DECODER.decode(document.text)
    return Routing(
        parsed.version,
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
            for route in parsed.routes
        ],
        max_body_bytes=parsed.limits.max_body_bytes,
    )


def _validate(parsed: _Configuration) -> None:
    if parsed.version < 1:
        raise _invalid(f"version {parsed.version} is not between 1 and {MAX_INTEGER}")
    service_names = {service.name for service in parsed.services}
    if len(service_names) < len(parsed.services):
        raise _invalid("two services have the same name")
    seen_prefixes: set[tuple[str, str]] = set()
    for route in parsed.routes:
        host_and_prefix = (route.host.lower(), route.path_prefix)
        if route.service not in service_names:
            raise _invalid(f"route {route.name!r} names the unknown service {route.service!r}")
        if host_and_prefix in seen_prefixes:
            raise _invalid(
                f"route {route.name!r} has the same host and path_prefix as another route"
            )
        if route.timeout_ms <= 0:
            raise _invalid(
                f"route {route.name!r} has timeout_ms {route.timeout_ms}; it must be positive"
            )
        if route.max_attempts < 1:
            raise _invalid(
                f"route {route.name!r} has max_attempts {route.max_attempts}; it must be at least 1"
            )
        seen_prefixes.add(host_and_prefix)


def _invalid(message: str) -> ApricotError:
    return ApricotError(
        ResultCode.INVALID_COMMAND,
        message,
        remedy="correct the configuration and send it with a higher version",
    )
