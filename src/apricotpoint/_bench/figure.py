"""One measured figure with its target."""

from __future__ import annotations

import attrs


@attrs.frozen
class Figure:
    """A figure as printed by the bench; `met` is None without a target."""

    deployment: str
    scenario: str
    policy: str
    metric: str
    value: float
    unit: str
    target: float | None = None
    met: bool | None = None


def at_most(
    deployment: str,
    scenario: str,
    policy: str,
    metric: str,
    value: float,
    unit: str,
    *,
    target: float | None = None,
) -> Figure:
    """Return a figure whose target, if any, is an upper bound."""
    met = None if target is None else value <= target
    return Figure(deployment, scenario, policy, metric, round(value, 5), unit, target, met)
