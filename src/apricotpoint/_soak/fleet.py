"""Serves and announces the stand-ins for backend servers."""

from __future__ import annotations

import itertools
import random as random_module
import time
from collections.abc import Callable

import anyio
import anyio.abc
import httpx
from anyio.streams.stapled import MultiListener

from apricotpoint._soak.backends import Backend
from apricotpoint._soak.http import Message, make_client, serve_connection
from apricotpoint._soak.sightings import Sightings
from apricotpoint._soak.words import Words

# Ends of runs are listed at most this much late.
TICK_S = 0.01
CALL_TIMEOUT_S = 1.0
CPU = 32_000
# Time from the end of a backend server until another one starts in its slot.
RESTART_S = 1.5


class Fleet:
    """All backend servers; use as an async context manager, which starts and ends them.

    `hosts` gives the address of each slot, a place whose backend server may end and be followed
    by another one. `control_addresses` returns "host:port" of the control processes.
    """

    def __init__(
        self,
        words: Words,
        sightings: Sightings,
        *,
        host_by_slot: dict[str, str],
        domain_by_slot: dict[str, str],
        control_addresses: Callable[[], list[str]],
        random: random_module.Random,
    ) -> None:
        self._words, self._sightings, self._random = words, sightings, random
        self._host_by_slot, self._domain_by_slot = host_by_slot, domain_by_slot
        self._control_addresses = control_addresses
        self._numbers = itertools.count(1)
        self._scope_by_slot: dict[str, anyio.CancelScope] = {}
        self.backend_by_slot: dict[str, Backend] = {}

    async def __aenter__(self) -> Fleet:
        self._client = make_client(timeout_s=CALL_TIMEOUT_S, keepalive_expiry=3.0)
        self._group = await anyio.create_task_group().__aenter__()
        self._group.start_soon(self._tick)
        for slot in self._host_by_slot:
            await self.start(slot)
        return self

    async def __aexit__(self, *exc_info: object) -> bool | None:
        self._group.cancel_scope.cancel()
        try:
            return await self._group.__aexit__(*exc_info)  # type: ignore[arg-type]
        finally:
            with anyio.CancelScope(shield=True):
                await self._client.aclose()

    async def start(self, slot: str) -> None:
        """Start a backend server in a slot that has none."""
        listener = await anyio.create_tcp_listener(local_host=self._host_by_slot[slot])
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        backend = Backend(
            backend_id=f"{slot}-{next(self._numbers)}",
            failure_domain=self._domain_by_slot[slot],
            address=f"{self._host_by_slot[slot]}:{port}",
            sightings=self._sightings,
            max_lease_s=self._words.limits.max_lease_s,
            cpu=CPU,
            on_crash=lambda: self.crash(slot),
            wall_ms=int(time.time() * 1000),
        )
        self.backend_by_slot[slot] = backend
        self._group.start_soon(self._run, slot, backend, listener)

    def crash(self, slot: str) -> None:
        """End the backend server in a slot without a word."""
        backend = self.backend_by_slot.get(slot)
        if backend is not None and not backend.gone:
            backend.crash()
            self._sightings.note(f"backend server {backend.backend_id} crashes")
            self._scope_by_slot[slot].cancel()

    async def leave(self, slot: str) -> None:
        """Let the backend server in a slot announce that it leaves, work on, and end."""
        backend = self.backend_by_slot[slot]
        backend.leaving = True
        await self._announce_once(backend)
        await anyio.sleep(self._words.limits.drain_s)
        if backend.gone:
            return
        for address in self._control_addresses():
            url = f"http://{address}{self._words.farewell_path(backend)}"
            try:
                await self._client.post(url)
                break
            except httpx.TransportError as error:
                self._sightings.note(f"{url} is not answered: {type(error).__name__}")
        self.crash(slot)

    async def announce_oddly(self, slot: str) -> None:
        """Send announcements of another writer to all control processes."""
        for path, content in self._words.odd_announcements(self.backend_by_slot[slot]):
            for address in self._control_addresses():
                try:
                    await self._client.post(f"http://{address}{path}", content=content)
                except httpx.TransportError:
                    # The others get it.
                    continue

    async def _run(
        self, slot: str, backend: Backend, listener: MultiListener[anyio.abc.SocketStream]
    ) -> None:
        async def respond(message: Message) -> tuple[int, dict[str, object]] | None:
            if backend.gone:
                return None
            answer: tuple[int, dict[str, object]] = await self._words.respond(
                backend, message.path, message.headers, message.content
            )
            return None if backend.gone else answer

        async def handle(stream: anyio.abc.SocketStream) -> None:
            await serve_connection(stream, respond)

        with anyio.CancelScope() as scope:
            self._scope_by_slot[slot] = scope
            async with listener, anyio.create_task_group() as group:
                group.start_soon(self._announce, backend)
                await listener.serve(handle, group)
        # Not reached when the fleet ends, which cancels the task.
        await anyio.sleep(RESTART_S)
        await self.start(slot)

    async def _announce(self, backend: Backend) -> None:
        # All announce themselves at once, and are spread over the interval afterwards.
        interval_s = self._words.limits.heartbeat_s
        wait_s = self._random.random() * interval_s
        while True:
            await self._announce_once(backend)
            await anyio.sleep(wait_s)
            wait_s = interval_s

    async def _announce_once(self, backend: Backend) -> None:
        """Send an announcement to one control process after the other until one accepts it."""
        addresses = self._control_addresses()
        for address in self._random.sample(addresses, len(addresses)):
            path, body = self._words.announcement(backend)
            try:
                response = await self._client.post(f"http://{address}{path}", json=body)
            except httpx.TransportError:
                # The next control process gets it.
                continue
            if response.is_success:
                return

    async def _tick(self) -> None:
        while True:
            for backend in list(self.backend_by_slot.values()):
                if not backend.gone:
                    backend.advance()
            await anyio.sleep(TICK_S)
