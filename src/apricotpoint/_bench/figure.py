"""One measured figure with its target."""

from __future__ import annotations

import attrs


@attrs.frozen
class Figure:
    """A figure as printed by the benchmark; `met` says whether it meets its target, if any."""

    deployment: str
    scenario: str
    policy: str
    metric: str
    value: float
    unit: str
    target: float | None = None
    met: bool | None = None


def make_figure(
    deployment: str,
    scenario: str,
    policy: str,
    metric: str,
    value: float,
    unit: str,
    *,
    target: float | None = None,
) -> Figure:
    """Return a figure, rounded to 5 digits; a target is an upper bound of the exact value."""
    met = None if target is None else value <= target
    return Figure(deployment, scenario, policy, metric, round(value, 5), unit, target, met)
