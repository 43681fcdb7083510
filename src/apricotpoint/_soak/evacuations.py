"""Stand-in for the operator that evacuates and restores failure domains."""

from __future__ import annotations

import random as random_module
from collections.abc import Callable

import anyio
import httpx

from apricotpoint._soak.http import make_client
from apricotpoint._soak.operators import (
    CALL_TIMEOUT_S,
    LOST_AFTER_S,
    LOST_SHARE,
    REFUSALS,
    RETRY_S,
)
from apricotpoint._soak.sightings import EvacuationOrder, Sightings
from apricotpoint._soak.words import Words

ORDER_INTERVAL_S = 4.0
# Share of the orders that repeat an acknowledged one, which must still be in force.
REPEAT_SHARE = 0.3
# Share of the evacuations that last for longer than starts are allowed in them.
LONG_SHARE = 0.5
# Other answers of 400 to 499 than `REFUSALS` end a call at this attempt, but for 408 and 429.
MAX_CLIENT_ERRORS = 3
PASSING = {408, 429}


class Evacuations:
    """Evacuates one failure domain at a time; use as an async context manager.

    `control_addresses` returns "host:port" by id of the control processes that the operator
    knows; `on_acknowledged` is called at each acknowledgement.
    """

    def __init__(
        self,
        words: Words,
        sightings: Sightings,
        *,
        domains: list[str],
        control_addresses: Callable[[], dict[str, str]],
        on_acknowledged: Callable[[], None],
        random: random_module.Random,
    ) -> None:
        self._words, self._sightings, self._random = words, sightings, random
        self._domains, self._control_addresses = domains, control_addresses
        self._on_acknowledged = on_acknowledged
        self._last_by_domain: dict[str, EvacuationOrder] = {}

    async def __aenter__(self) -> Evacuations:
        self._client = make_client(timeout_s=CALL_TIMEOUT_S, keepalive_expiry=3.0)
        return self

    async def __aexit__(self, *_: object) -> None:
        with anyio.CancelScope(shield=True):
            await self._client.aclose()

    async def run(self, stopped: anyio.Event) -> None:
        """Send orders until `stopped` is set, and the last one until it is acknowledged."""
        while not stopped.is_set():
            with anyio.move_on_after(self._draw_interval_s()):
                await stopped.wait()
                return
            await self._order_once()

    async def confirm(self) -> None:
        """Repeat the last acknowledged order of each failure domain, then restore all."""
        for domain in list(self._last_by_domain):
            await self._repeat(domain)
        for domain, order in list(self._last_by_domain.items()):
            if order.begin:
                await self._send(EvacuationOrder(domain, False, self._sightings.now()))

    def _draw_interval_s(self) -> float:
        interval_s = ORDER_INTERVAL_S * self._random.uniform(0.2, 1.8)
        is_long = bool(self._evacuated()) and self._random.random() < LONG_SHARE
        return interval_s + is_long * self._words.limits.evacuation_s

    def _evacuated(self) -> list[str]:
        return [domain for domain, order in self._last_by_domain.items() if order.begin]

    async def _order_once(self) -> None:
        evacuated = self._evacuated()
        domain = evacuated[0] if evacuated else self._random.choice(self._domains)
        if domain in self._last_by_domain and self._random.random() < REPEAT_SHARE:
            await self._repeat(domain)
        else:
            await self._send(EvacuationOrder(domain, not evacuated, self._sightings.now()))

    async def _repeat(self, domain: str) -> None:
        last = self._last_by_domain[domain]
        order = EvacuationOrder(domain, last.begin, self._sightings.now(), last.command_id)
        await self._send(order)

    async def _send(self, order: EvacuationOrder) -> None:
        """Send an order to one control process after the other until one answers clearly.

        An order that was given up could take effect later, so that nothing would be known of what
        must be in force: it is sent until the run ends.
        """
        self._sightings.orders.append(order)
        loses = self._random.random() < LOST_SHARE
        client_errors = 0
        while True:
            addresses = self._control_addresses()
            for control_id in self._random.sample(list(addresses), len(addresses)):
                timeout_s = LOST_AFTER_S if loses else CALL_TIMEOUT_S
                loses = False
                path = self._words.evacuation_path(order.domain, order.begin)
                url = f"http://{addresses[control_id]}{path}"
                try:
                    response = await self._client.post(url, timeout=timeout_s)
                except httpx.TransportError:
                    # No clear answer: sent again, to any control process.
                    continue
                status = response.status_code
                if response.is_success:
                    self._acknowledge(order, control_id, str(response.json()["command_id"]))
                    return
                client_errors += 400 <= status < 500 and status not in PASSING
                if status in REFUSALS or client_errors >= MAX_CLIENT_ERRORS:
                    order.refused_with = status
                    return
            await anyio.sleep(RETRY_S)

    def _acknowledge(self, order: EvacuationOrder, control_id: str, command_id: str) -> None:
        order.acknowledged_at, order.command_id = self._sightings.now(), command_id
        self._last_by_domain[order.domain] = order
        word = "begins" if order.begin else "finishes"
        self._sightings.note(f"{control_id}: evacuation of {order.domain} {word} by {command_id}")
        self._on_acknowledged()
