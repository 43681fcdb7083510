"""Counters of the processes under load, read over the operator API."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import anyio
import httpx

READ_TIMEOUT_S = 10.0


async def read_counters(addresses: Sequence[str], token: str) -> dict[str, dict[str, float]]:
    """Return the counters by operator address, without the addresses that did not answer."""
    counters_by_address: dict[str, dict[str, float]] = {}

    async def read(address: str) -> None:
        try:
            response = await client.get(f"http://{address}/v1/counters")
            response.raise_for_status()
            counters_by_address[address] = response.json()
        except (httpx.HTTPError, ValueError):
            return

    headers = {"authorization": f"Bearer {token}"}
    async with (
        httpx.AsyncClient(headers=headers, trust_env=False, timeout=READ_TIMEOUT_S) as client,
        anyio.create_task_group() as group,
    ):
        for address in addresses:
            group.start_soon(read, address)
    return counters_by_address


def difference(
    before: Mapping[str, Mapping[str, float]], after: Mapping[str, Mapping[str, float]]
) -> dict[str, float]:
    """Return the increase of each counter, added up over the processes.

    A counter that decreased belongs to a process that restarted, so its new value
    is the increase. Processes that are missing in `after` are left out, because their
    increase is unknown.
    """
    total: dict[str, float] = {}
    for address, counters in after.items():
        earlier = before.get(address, {})
        for name, value in counters.items():
            increase = value - earlier.get(name, 0)
            total[name] = total.get(name, 0) + (increase if increase >= 0 else value)
    return total


def wasted_messages(counters: Mapping[str, float]) -> dict[str, int]:
    """Return the counters of wasted messages that are not zero, by counter name."""
    return {name: int(value) for name, value in counters.items() if ".wasted." in name and value}
