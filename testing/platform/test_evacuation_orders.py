"""Evacuations take effect only where the settings provide for them."""

from __future__ import annotations

from pathlib import Path

import anyio
import pytest
from test_shutdown import write_settings

from apricotpoint._wire.configuration import Configuration, Evacuation
from apricotpoint.platform import entry

ORDERS = {
    "puebla": Evacuation(active=True, order=1, command_id="o1", ordered_at=0.0),
    "merida": Evacuation(active=False, order=2, command_id="o2", ordered_at=0.0),
}


@pytest.mark.parametrize(("contracts", "evacuated"), [(["places"], {"puebla"}), ([], set())])
def test_orders_are_applied_where_the_contract_is_in_force(
    tmp_path: Path, contracts: list[str], evacuated: set[str]
):
    """Guards against a deployment without evacuations that waits for orders or obeys them."""

    async def test() -> None:
        path = tmp_path / "settings.yaml"
        settings = write_settings(path, grace_period_s=2.0, contracts=contracts)
        async with entry.EntryProcess(settings, 1) as process:
            evacuations = process._scheduler.evacuations
            assert evacuations.awaits_orders == bool(contracts)
            await process._feed._accept(Configuration(version=1, evacuation_by_domain=ORDERS))
            assert not evacuations.awaits_orders
            assert evacuations.domains == evacuated

    anyio.run(test)
