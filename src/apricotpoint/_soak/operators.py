"""Stand-ins for the operators: change the configuration and read it back."""

from __future__ import annotations

import hashlib
import json
import random as random_module
from collections.abc import Callable

import anyio
import httpx

from apricotpoint._soak.http import make_client
from apricotpoint._soak.sightings import Change, Reading, Sightings
from apricotpoint._soak.words import Words

CALL_TIMEOUT_S, RETRY_S = 1.0, 0.1
CHANGE_INTERVAL_S, READ_INTERVAL_S = 1.5, 0.4
GIVE_UP_S = 30.0
# Answers that end a call at once.
REFUSALS = {400, 409, 412, 413, 422}
RIVAL_SHARE, LOST_SHARE, OLD_SHARE, LARGE_SHARE = 0.15, 0.15, 0.1, 0.05
LARGE_ROUTES, MAX_SMALL_ROUTES = 500, 3
# An acknowledgement is lost if the operator closes the connection this soon.
LOST_AFTER_S = 0.01


def digest(document: object) -> str:
    """Return a digest of a configuration that does not depend on the order of its keys."""
    text = json.dumps(document, sort_keys=True)
    return hashlib.blake2b(text.encode(), digest_size=8).hexdigest()


class Operators:
    """Two operators and a reader; use as an async context manager.

    `control_addresses` returns "host:port" by id of the control processes that the operators
    know.
    """

    def __init__(
        self,
        words: Words,
        sightings: Sightings,
        *,
        control_addresses: Callable[[], dict[str, str]],
        random: random_module.Random,
    ) -> None:
        self._words, self._sightings, self._random = words, sightings, random
        self._control_addresses = control_addresses
        self._version = 0
        self._document_by_version: dict[int, dict[str, object]] = {}
        # Set at the next acknowledgement of a new version or of an order.
        self.acknowledged = anyio.Event()

    async def __aenter__(self) -> Operators:
        self._client = make_client(timeout_s=CALL_TIMEOUT_S, keepalive_expiry=3.0)
        return self

    async def __aexit__(self, *_: object) -> None:
        with anyio.CancelScope(shield=True):
            await self._client.aclose()

    async def run(self, stopped: anyio.Event) -> None:
        """Change and read the configuration until `stopped` is set."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._read_until, stopped)
            while not stopped.is_set():
                await self.change_once()
                await anyio.sleep(CHANGE_INTERVAL_S * self._random.uniform(0.5, 1.5))

    async def change_once(self) -> bool:
        """Send a new version, at times with a rival or a resent old one; return its success."""
        routes = self._random.randrange(MAX_SMALL_ROUTES)
        if self._random.random() < LARGE_SHARE:
            routes = LARGE_ROUTES
        self._version += self._random.randint(1, 3)
        version = self._version
        document = self._words.document(version, routes)
        self._document_by_version[version] = document
        async with anyio.create_task_group() as group:
            if self._random.random() < RIVAL_SHARE:
                rival = self._words.document(version, routes + 1)
                group.start_soon(self.send, rival, version)
            if self._random.random() < OLD_SHARE:
                old = self._random.choice(list(self._document_by_version))
                group.start_soon(self.send, self._document_by_version[old], old)
            acknowledged = await self.send(document, version)
        if acknowledged:
            self.signal_acknowledgement()
        return acknowledged

    def signal_acknowledgement(self) -> None:
        """Wake what waits for the next acknowledgement of a new version or an order."""
        self.acknowledged.set()
        self.acknowledged = anyio.Event()

    async def send(self, document: dict[str, object], version: int) -> bool:
        """Send a configuration to one control process after the other until one answers clearly."""
        change = Change(version, self._sightings.now(), digest(document))
        self._sightings.changes.append(change)
        loses = self._random.random() < LOST_SHARE
        with anyio.move_on_after(GIVE_UP_S):
            while True:
                addresses = self._control_addresses()
                for control_id in self._random.sample(list(addresses), len(addresses)):
                    timeout_s = LOST_AFTER_S if loses else CALL_TIMEOUT_S
                    loses = False
                    url = f"http://{addresses[control_id]}{self._words.change_path}"
                    try:
                        response = await self._client.post(url, json=document, timeout=timeout_s)
                    except httpx.TransportError:
                        # No clear answer: sent again, to any control process.
                        continue
                    if response.status_code == 200:
                        change.acknowledged_at = self._sightings.now()
                        self._sightings.note(f"{control_id} acknowledges version {version}")
                        return True
                    if response.status_code in REFUSALS:
                        change.refused_with = response.status_code
                        return False
                await anyio.sleep(RETRY_S)
        self._sightings.note(f"version {version} is given up")
        return False

    async def read(self, control_id: str, address: str) -> Reading | None:
        """Read the configuration from a control process; None without a clear answer."""
        sent_at = self._sightings.now()
        try:
            response = await self._client.get(f"http://{address}{self._words.read_path}")
        except httpx.TransportError:
            return None
        if response.status_code != 200:
            return None
        document = response.json()
        reading = Reading(control_id, sent_at, int(document["version"]), digest(document))
        self._sightings.readings.append(reading)
        return reading

    async def wait_for_recovery(self, timeout_s: float) -> bool:
        """Wait until all control processes give the newest version, and a change is accepted."""
        with anyio.move_on_after(timeout_s):
            waiting = self._control_addresses()
            while waiting:
                newest = max(
                    (c.version for c in self._sightings.changes if c.acknowledged_at is not None),
                    default=0,
                )
                for control_id, address in list(waiting.items()):
                    reading = await self.read(control_id, address)
                    if reading is not None and reading.version >= newest:
                        del waiting[control_id]
                await anyio.sleep(RETRY_S)
            return await self.change_once()
        return False

    async def _read_until(self, stopped: anyio.Event) -> None:
        while not stopped.is_set():
            addresses = self._control_addresses()
            control_id = self._random.choice(list(addresses))
            await self.read(control_id, addresses[control_id])
            await anyio.sleep(READ_INTERVAL_S)
