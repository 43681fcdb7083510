"""Counters of the processes under load, read over the operator API."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import anyio
import httpx

READ_TIMEOUT_S = 10.0


async def read_counters(addresses: Sequence[str], token: str) -> dict[str, dict[str, float]]:
    """Return the counters by operator address; processes that do not answer are missing."""
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
    """Return by how much each counter rose, added up over the processes.

    A counter that fell belongs to a process that restarted; its new value
    counts. The counts of a process that is gone are unknown and left out.
    """
    total: dict[str, float] = {}
    for address, counters in after.items():
        earlier = before.get(address, {})
        for name, value in counters.items():
            rise = value - earlier.get(name, 0)
            total[name] = total.get(name, 0) + (rise if rise >= 0 else value)
    return total


def wasted(counters: Mapping[str, float]) -> dict[str, int]:
    """Return the counters of wasted messages that are not zero."""
    return {name: int(value) for name, value in counters.items() if ".wasted." in name and value}
