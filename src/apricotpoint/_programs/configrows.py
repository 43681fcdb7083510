"""Configuration objects as rows of the operator tables `services` and `teams`."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import attrs


def configuration_rows(item_by_name: Mapping[str, Any]) -> list[dict[str, Any]]:
    """Return one row with the fields of each service or team, sorted by name."""
    return [attrs.asdict(item_by_name[name]) for name in sorted(item_by_name)]
