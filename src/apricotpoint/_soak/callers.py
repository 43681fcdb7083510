"""Stand-ins for callers and for the load balancer of the platform."""

from __future__ import annotations

import json
import random as random_module
from collections.abc import Callable

import anyio
import attrs
import httpx

from apricotpoint._soak.http import make_client
from apricotpoint._soak.sightings import Attempt, Sightings
from apricotpoint._soak.words import JobShape, Words

# Equal to the time-out of the route, and several times as long.
DEADLINES_S = (1.5, 5.0)
# Patient callers keep a request open this long after its deadline, to see how it ends.
PATIENCE_S = 4.0
MAX_ATTEMPTS = 3
THINK_S = 0.5
READINESS_INTERVAL_S, READINESS_TIMEOUT_S, MISSES = 1.0, 1.0, 2
# The last one takes longer than the time-out of the route.
SHAPES = [JobShape(2, 200), JobShape(8, 60), JobShape(4, 400), JobShape(2, 1800)]
RESENT_STATUSES = {0, 502, 504}


@attrs.frozen
class CallerKind:
    """How a caller behaves: keeps its connection, waits beyond the deadline, leaves early."""

    keeps: bool
    patient: bool
    leaves_share: float = 0.0


KINDS = [
    CallerKind(keeps=True, patient=True),
    CallerKind(keeps=False, patient=False),
    CallerKind(keeps=True, patient=False, leaves_share=0.1),
    CallerKind(keeps=False, patient=True),
]


class LoadBalancer:
    """Knows which entry processes are in rotation; `run` asks each once per second."""

    def __init__(self, words: Words, addresses: dict[str, str]) -> None:
        self._words, self._addresses = words, addresses
        self._misses = dict.fromkeys(addresses, MISSES)

    def in_rotation(self) -> list[str]:
        """Return the ids of the entry processes that get new connections; all without any."""
        ready = [key for key, misses in self._misses.items() if misses < MISSES]
        return ready or list(self._addresses)

    async def run(self) -> None:
        """Ask for the readiness of all entry processes until cancelled."""
        async with make_client(timeout_s=READINESS_TIMEOUT_S) as client:

            async def ask(entry_id: str) -> None:
                url = f"http://{self._addresses[entry_id]}{self._words.readiness_path}"
                try:
                    ready = (await client.get(url)).status_code == 200
                except httpx.TransportError:
                    ready = False
                self._misses[entry_id] = 0 if ready else self._misses[entry_id] + 1

            while True:
                async with anyio.create_task_group() as group:
                    for entry_id in self._addresses:
                        group.start_soon(ask, entry_id)
                    group.start_soon(anyio.sleep, READINESS_INTERVAL_S)


class Caller:
    """Submits one job after the other, and again where the pages say that callers do."""

    def __init__(
        self,
        kind: CallerKind,
        words: Words,
        sightings: Sightings,
        *,
        addresses: dict[str, str],
        in_rotation: Callable[[], list[str]],
        random: random_module.Random,
    ) -> None:
        self._kind, self._words, self._sightings = kind, words, sightings
        self._addresses, self._in_rotation, self._random = addresses, in_rotation, random
        self._client: httpx.AsyncClient | None = None
        self._entry_id = ""

    async def run(self, stopped: anyio.Event) -> None:
        """Submit jobs until `stopped` is set, and wait for the last answer."""
        try:
            while not stopped.is_set():
                await self.submit(self._random.choice(SHAPES))
                await anyio.sleep(self._random.random() * THINK_S)
        finally:
            await self._disconnect()

    async def submit(self, shape: JobShape) -> None:
        """Submit one job until it is answered clearly, at most `MAX_ATTEMPTS` times."""
        job_id = f"{self._random.getrandbits(64):016x}"
        for number in range(1, MAX_ATTEMPTS + 1):
            if number > 1:
                await anyio.sleep(self._words.limits.resend_s)
            attempt = await self._attempt(job_id, number, shape)
            if attempt.failure == "left" or attempt.status not in RESENT_STATUSES:
                return

    async def _attempt(self, job_id: str, number: int, shape: JobShape) -> Attempt:
        client = await self._connection()
        leaves = self._random.random() < self._kind.leaves_share
        deadline_s = self._random.choice(DEADLINES_S)
        patience_s = deadline_s + (PATIENCE_S if self._kind.patient else 0.0)
        if leaves:
            patience_s = self._random.random() * deadline_s
        attempt = Attempt(
            job_id, number, self._entry_id, self._sightings.now(), deadline_s, patience_s
        )
        self._sightings.attempts.append(attempt)
        closes = not self._kind.keeps
        attempt.failure = "left" if leaves else "silent"
        with anyio.move_on_after(patience_s):
            try:
                response = await client.post(
                    f"http://{self._addresses[self._entry_id]}{self._words.job_path(job_id)}",
                    json=self._words.job(shape),
                    headers=self._words.job_headers(deadline_s),
                )
                attempt.status, attempt.failure = response.status_code, ""
                attempt.body_bytes = len(response.content)
                attempt.code = _code(response.content)
                closes |= response.headers.get("connection", "").lower() == "close"
            except (httpx.ConnectError, httpx.ConnectTimeout):
                attempt.failure = "connect"
            except httpx.TransportError:
                attempt.failure = "broken"
        attempt.ended_at = self._sightings.now()
        if closes or attempt.failure:
            await self._disconnect()
        return attempt

    async def _connection(self) -> httpx.AsyncClient:
        """Return the open connection, or one to an entry process in rotation."""
        if self._client is None:
            self._entry_id = self._random.choice(self._in_rotation())
            self._client = make_client(timeout_s=None, max_connections=1, keepalive_expiry=None)
        return self._client

    async def _disconnect(self) -> None:
        if self._client is not None:
            client, self._client = self._client, None
            with anyio.CancelScope(shield=True):
                await client.aclose()


def _code(content: bytes) -> int:
    try:
        return int(json.loads(content).get("code", 0))
    except (ValueError, TypeError, AttributeError):
        return 0
