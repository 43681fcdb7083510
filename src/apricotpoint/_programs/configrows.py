"""Configuration objects as rows of operator tables: `services`, `teams` and `evacuations`."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from datetime import UTC, datetime
from typing import Any

import attrs

from apricotpoint._wire.configuration import Configuration


def configuration_rows(item_by_name: Mapping[str, Any]) -> list[dict[str, Any]]:
    """Return one row with the fields of each service or team, sorted by name."""
    return [attrs.asdict(item_by_name[name]) for name in sorted(item_by_name)]


def evacuation_rows(configuration: Configuration, domains: Iterable[str]) -> list[dict[str, Any]]:
    """Return one row for each of `domains`, and for each other failure domain with an order.

    `since` and `command_id` are those of the last order that took effect.
    """
    rows = []
    for domain in sorted({*domains, *configuration.evacuation_by_domain}):
        evacuation = configuration.evacuation_by_domain.get(domain)
        rows.append(
            {
                "failure_domain": domain,
                "evacuated": evacuation is not None and evacuation.active,
                "since": None if evacuation is None else _utc_text(evacuation.ordered_at),
                "command_id": None if evacuation is None else evacuation.command_id,
                "order": 0 if evacuation is None else evacuation.order,
            }
        )
    return rows


def _utc_text(unix_s: float) -> str:
    try:
        return datetime.fromtimestamp(unix_s, UTC).isoformat(timespec="seconds")
    except (OverflowError, ValueError, OSError):
        # A process with a wrong clock may have received the order.
        return f"{unix_s:g}"
