"""Checks what the operator and the backend servers saw of evacuated failure domains."""

from __future__ import annotations

from collections.abc import Iterable

from apricotpoint._soak.checks import Violation
from apricotpoint._soak.sightings import Disturbance, EvacuationOrder, Sightings
from apricotpoint._soak.words import Limits


def find_evacuation_violations(
    sightings: Sightings, limits: Limits, *, check_starts: bool
) -> list[Violation]:
    """Return all violations of promises about orders; about starts only with `check_starts`."""
    found = [*find_refused_orders(sightings.orders), *find_lost_orders(sightings.orders)]
    return [*found, *find_evacuated_starts(sightings, limits)] if check_starts else found


def find_refused_orders(orders: Iterable[EvacuationOrder]) -> list[Violation]:
    """Return a violation for each valid order that was refused for good or never acknowledged.

    The last orders are sent after the recovery, when nothing keeps them from acknowledgement.
    """
    return [
        Violation(
            "EVACUATION",
            f"{_describe(order)} was "
            + (f"refused with {order.refused_with}" if order.refused_with else "not acknowledged"),
        )
        for order in orders
        if order.acknowledged_at is None
    ]


def find_lost_orders(orders: Iterable[EvacuationOrder]) -> list[Violation]:
    """Return a violation for each acknowledged order that was not in force when it was repeated."""
    return [
        Violation(
            "EVACUATION",
            f"{_describe(order)} found {order.command_id or 'no order'} in force, "
            f"acknowledged was {order.confirms}",
        )
        for order in orders
        if order.confirms and order.acknowledged_at is not None
        if order.command_id != order.confirms
    ]


def find_evacuated_starts(sightings: Sightings, limits: Limits) -> list[Violation]:
    """Return a violation for each start in an evacuated failure domain that came too late.

    A start counts if all processes were in touch with the control processes for as long as the
    bound at some time between the acknowledgement and the start, so that all knew the order.
    """
    found = []
    apart = _times_apart(sightings.disturbances, limits.contact_s)
    for domain, since, until in _evacuated_times(sightings.orders):
        known_at = _end_of_calm(apart, since, limits.evacuation_s)
        for run in sightings.runs:
            if sightings.domain_by_backend[run.backend_id] != domain:
                continue
            if known_at < run.began_at < until:
                text = (
                    f"{run.task}: run {run.number} on {run.backend_id} began at "
                    f"{run.began_at:.3f} s in {domain}, evacuated since {since:.3f} s"
                )
                found.append(Violation("EVACUATED", text))
    return found


def _evacuated_times(orders: Iterable[EvacuationOrder]) -> list[tuple[str, float, float]]:
    """Return failure domain, acknowledgement and end of each evacuation."""
    since_by_domain: dict[str, float] = {}
    times = []
    for order in sorted(orders, key=lambda order: order.sent_at):
        if order.begin and order.acknowledged_at is not None:
            since_by_domain.setdefault(order.domain, order.acknowledged_at)
        elif not order.begin and order.domain in since_by_domain:
            times.append((order.domain, since_by_domain.pop(order.domain), order.sent_at))
    return times + [(domain, since, float("inf")) for domain, since in since_by_domain.items()]


def _times_apart(
    disturbances: Iterable[Disturbance], contact_s: float
) -> list[tuple[float, float]]:
    """Return the times in which a process may not know what the control processes know, in order.

    An entry process that was started again knows the orders before it starts anything.
    """
    return sorted(
        (item.since, float("inf") if item.until is None else item.until + contact_s)
        for item in disturbances
        if item.kind in {"frozen", "links"} or item.process_id.startswith("control")
    )


def _end_of_calm(apart: list[tuple[float, float]], since: float, calm_s: float) -> float:
    """Return the end of the first `calm_s` seconds after `since` outside of all times `apart`."""
    for begin, end in apart:
        if end <= since:
            continue
        if begin >= since + calm_s:
            break
        since = end
    return since + calm_s


def _describe(order: EvacuationOrder) -> str:
    word = "begin" if order.begin else "finish"
    return f"order to {word} the evacuation of {order.domain}, sent at {order.sent_at:.3f} s,"
