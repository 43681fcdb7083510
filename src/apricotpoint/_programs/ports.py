"""Port numbers for processes on loopback."""

from __future__ import annotations

import itertools
import socket
from collections.abc import Callable


def ports_from(first: int) -> Callable[[], int]:
    """Return a function that returns consecutive ports from `first`, free or not."""
    numbers = itertools.count(first)
    return lambda: next(numbers)


def free_ports() -> Callable[[], int]:
    """Return a function that returns a port that is free at the time of the call.

    It never returns a port twice, because a port that it has returned may not be
    bound yet.
    """
    returned: set[int] = set()

    def next_port() -> int:
        while True:
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", 0))
                port = int(probe.getsockname()[1])
            if port not in returned:
                returned.add(port)
                return port

    return next_port
