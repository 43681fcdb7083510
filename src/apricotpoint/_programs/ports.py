"""Ports for processes on loopback."""

from __future__ import annotations

import itertools
import socket
from collections.abc import Callable


def ports_from(first: int) -> Callable[[], int]:
    """Return a function that gives consecutive ports."""
    numbers = itertools.count(first)
    return lambda: next(numbers)


def free_ports() -> Callable[[], int]:
    """Return a function that gives ports that are free now.

    Ports given before are not given again, although nothing listens there yet.
    """
    given: set[int] = set()

    def next_port() -> int:
        while True:
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", 0))
                port = int(probe.getsockname()[1])
            if port not in given:
                given.add(port)
                return port

    return next_port
