"""attrs validators for settings; each raises a `ValueError` that names the key."""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Callable
from typing import Any

import attrs

_NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,31}")

Validator = Callable[[Any, "attrs.Attribute[Any]", Any], None]


def name(_: object, attribute: attrs.Attribute[Any], value: str) -> None:
    """Require a name of lower-case letters, digits and hyphens."""
    if not _NAME_PATTERN.fullmatch(value):
        raise ValueError(
            f"{attribute.name}: {value!r} must have 1 to 32 lower-case letters, digits or hyphens"
        )


def names(instance: object, attribute: attrs.Attribute[Any], value: list[str]) -> None:
    """Require a list of one or more distinct names."""
    if not value or len(set(value)) != len(value):
        raise ValueError(f"{attribute.name}: {value!r} must list one or more distinct names")
    for item in value:
        name(instance, attribute, item)


def address(_: object, attribute: attrs.Attribute[Any], value: str) -> None:
    """Require `IP:port`; host names are refused, as processes connect by IP address only."""
    host, colon, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        valid = bool(colon) and 0 < int(port) < 65_536
    except ValueError:
        valid = False
    if not valid:
        raise ValueError(f"{attribute.name}: {value!r} must be an IP address and a port, IP:port")


def bind(instance: object, attribute: attrs.Attribute[Any], value: str) -> None:
    """Require `IP:port`; port 0 selects any free port."""
    host, _, port = value.rpartition(":")
    address(instance, attribute, f"{host}:1" if port == "0" else value)


def urls(_: object, attribute: attrs.Attribute[Any], value: list[str]) -> None:
    """Require base URLs, `http://IP:port` or `https://IP:port`."""
    for item in value:
        scheme, _, rest = item.partition("://")
        try:
            address(None, attribute, rest)
            valid = scheme in {"http", "https"}
        except ValueError:
            valid = False
        if not valid:
            raise ValueError(
                f"{attribute.name}: {item!r} must be a URL, http://IP:port or https://IP:port"
            )


def optional_address(instance: object, attribute: attrs.Attribute[Any], value: str) -> None:
    """Require `IP:port`, or an empty string for no address."""
    if value:
        address(instance, attribute, value)


def addresses(instance: object, attribute: attrs.Attribute[Any], value: dict[str, str]) -> None:
    """Require a map of names to `IP:port`."""
    for key, item in value.items():
        name(instance, attribute, key)
        address(instance, attribute, item)


def address_list(instance: object, attribute: attrs.Attribute[Any], value: list[str]) -> None:
    """Require a list of one or more `IP:port`."""
    if not value:
        raise ValueError(f"{attribute.name}: must list one or more addresses, IP:port")
    for item in value:
        address(instance, attribute, item)


def between(low: float, high: float, unit: str) -> Validator:
    """Return a validator for numbers from `low` to `high`, both included, in `unit`."""

    def check(_: object, attribute: attrs.Attribute[Any], value: float) -> None:
        if not low <= value <= high:
            raise ValueError(
                f"{attribute.name}: {value!r} must be from {low:g} to {high:g} {unit}".rstrip()
            )

    return check
