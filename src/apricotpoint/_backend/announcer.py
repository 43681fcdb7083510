"""Announcements of a simulated backend server to the entry processes."""

from __future__ import annotations

from collections.abc import Callable

import anyio
import httpx
import msgspec

from apricotpoint._backend.settings import BackendSettings
from apricotpoint._core.counters import Counters
from apricotpoint._wire.announce import Announcement, AnnouncementReply, HolderName

ANNOUNCE_TIMEOUT_S = 1.0
INITIAL_PERIOD_S = 0.5

_REPLY_DECODER = msgspec.json.Decoder(AnnouncementReply)


class Announcer:
    """Sends announcements to the configured addresses in turn.

    The reply to an announcement names the lease holder, which the next announcement repeats.
    """

    def __init__(
        self,
        settings: BackendSettings,
        *,
        incarnation: int,
        address: str,
        key: str,
        running: Callable[[], int],
        counters: Counters,
    ) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._address = address
        self._headers = {"authorization": f"Bearer {key}", "content-type": "application/json"}
        self._running = running
        self._counters = counters
        self._sequence = 0
        self._holder: HolderName | None = None
        self._holder_since = 0
        self._followed = False
        self._period_s = INITIAL_PERIOD_S
        self.leaving = False

    async def run(self) -> None:
        """Announce periodically until cancelled, except while the behaviour is `silent`."""
        timeout = httpx.Timeout(ANNOUNCE_TIMEOUT_S)
        limits = httpx.Limits(keepalive_expiry=1.0)
        async with httpx.AsyncClient(timeout=timeout, limits=limits, trust_env=False) as client:
            while True:
                if not self._settings.behaviour.silent and self._settings.announce_to:
                    await self.announce(client)
                await anyio.sleep(self._period_s)

    async def announce(self, client: httpx.AsyncClient) -> None:
        """Send one announcement and apply the reply: the period and the lease holder.

        Errors are only counted.
        """
        targets = self._settings.announce_to
        url = targets[self._sequence % len(targets)]
        content = msgspec.json.encode(self._next_announcement())
        try:
            with anyio.fail_after(ANNOUNCE_TIMEOUT_S):
                response = await client.post(
                    f"{url}/v1/announcements", content=content, headers=self._headers
                )
            response.raise_for_status()
            reply = _REPLY_DECODER.decode(response.content)
        except (httpx.HTTPError, msgspec.MsgspecError, TimeoutError):
            self._counters.add("announcer.errors")
            return
        self._period_s = min(max(reply.period_s, 0.05), 5.0)
        if reply.holder is not None and reply.holder != self._holder:
            self._followed = self._holder is not None
            self._holder = reply.holder
            self._holder_since = self._sequence + 1

    def _next_announcement(self) -> Announcement:
        self._sequence += 1
        settings = self._settings
        return Announcement(
            backend_id=settings.backend_id,
            incarnation=self._incarnation,
            sequence=self._sequence,
            clock_s=anyio.current_time(),
            service=settings.service,
            failure_domain=settings.failure_domain,
            rack=settings.rack,
            address=self._address,
            slots=settings.slots,
            connections=settings.connections,
            cores=settings.cores,
            memory_mb=settings.memory_mb,
            accelerators=settings.accelerators,
            holder=self._holder,
            followed=self._followed,
            holder_since=self._holder_since,
            running=self._running(),
            leaving=self.leaving,
            guard=settings.behaviour.guard,
            throttle=settings.behaviour.throttle,
        )
