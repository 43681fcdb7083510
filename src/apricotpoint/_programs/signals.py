"""Stop signals of a process."""

from __future__ import annotations

import signal

import anyio


async def wait_for_stop_signal() -> None:
    """Return after the first SIGTERM or SIGINT."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            return
