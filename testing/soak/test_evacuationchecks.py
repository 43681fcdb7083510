"""Checks of evacuated failure domains, on sightings that are written by hand."""

from __future__ import annotations

import pytest

from apricotpoint._soak.evacuationchecks import find_evacuation_violations
from apricotpoint._soak.sightings import Disturbance, EvacuationOrder, Run, Sightings
from apricotpoint.platform.soakwords import LIMITS


def order(sent_at: float, *, begin: bool = True, **fields: object) -> EvacuationOrder:
    values = {"acknowledged_at": sent_at + 0.1, "command_id": "c1"} | fields
    return EvacuationOrder("toluca", begin, sent_at, **values)  # type: ignore[arg-type]


def find(orders: list[EvacuationOrder], began_at: float = 0.0, **fields: object) -> list[str]:
    seen = Sightings()
    seen.orders, seen.disturbances = orders, fields.get("disturbances", [])  # type: ignore[assignment]
    seen.runs = [Run("backend-3-1", "aa.0.0.0", 1, began_at)]
    seen.domain_by_backend = {"backend-3-1": "toluca"}
    check_starts = bool(fields.get("check_starts", True))
    return [
        item.rule for item in find_evacuation_violations(seen, LIMITS, check_starts=check_starts)
    ]


def test_lost_and_refused_orders_are_found():
    """Guards against a check that misses an acknowledged order which is no longer in force."""
    assert find([order(1.0), order(2.0, confirms="c1")]) == []
    assert find([order(1.0), order(2.0, confirms="c1", command_id="c2")]) == ["EVACUATION"]
    unanswered = order(2.0, confirms="c1", command_id="", acknowledged_at=None)
    assert find([order(1.0), unanswered]) == ["EVACUATION"]
    refused = order(1.0, acknowledged_at=None, command_id="", refused_with=409)
    assert find([refused]) == ["EVACUATION"]


@pytest.mark.parametrize(
    ("began_at", "disturbances", "expected"),
    [
        (14.9, [], []),
        (15.2, [], ["EVACUATED"]),
        (40.1, [], []),
        # In touch again 4 s after the end of the disturbance, and 5 s later the order is known.
        (20.9, [Disturbance("entry-1", "links", 9.0, 12.0)], []),
        (21.1, [Disturbance("entry-1", "links", 9.0, 12.0)], ["EVACUATED"]),
        (20.9, [Disturbance("control-1", "down", 9.0, 12.0)], []),
        (15.2, [Disturbance("entry-1", "down", 9.0, 12.0)], ["EVACUATED"]),
        # All knew the order before the disturbance, and keep it.
        (21.0, [Disturbance("entry-1", "links", 16.0, 20.0)], ["EVACUATED"]),
        (30.0, [Disturbance("entry-1", "frozen", 11.0)], []),
    ],
)
def test_starts_later_than_the_bound_are_found(
    began_at: float, disturbances: list[Disturbance], expected: list[str]
):
    """Guards against a check that misses a late start, or blames processes out of touch."""
    orders = [order(10.0), order(20.0, confirms="c1"), order(40.0, begin=False, command_id="c2")]
    assert find(orders, began_at, disturbances=disturbances) == expected
    assert find(orders, began_at, check_starts=False) == []
