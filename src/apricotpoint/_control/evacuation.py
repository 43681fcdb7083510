"""Decides on orders to evacuate a failure domain, and to finish that."""

from __future__ import annotations

import math
from collections.abc import Collection
from typing import Any

import attrs

from apricotpoint._control.refusals import ChangeRefused, invalid
from apricotpoint._core.codes import ResultCode
from apricotpoint._wire.configuration import Change, Configuration, Evacuation

BEGIN_EVACUATION, FINISH_EVACUATION = "begin_evacuation", "finish_evacuation"
EVACUATION_ACTIONS = frozenset({BEGIN_EVACUATION, FINISH_EVACUATION})


@attrs.frozen
class _Arguments:
    ordered_at: float
    known_order: int
    domains: list[str]


def make_order(
    configuration: Configuration,
    *,
    begin: bool,
    domain: str,
    command_id: str,
    domains: Collection[str],
    ordered_at: float,
) -> Change:
    """Return the change for an order that a process receives now.

    `configuration` is the latest one that the process knows, `domains` are all failure domains of
    the deployment, and `ordered_at` is the present Unix time. A copy of the order that is delayed
    is refused if another order for the failure domain was accepted in the meantime.
    """
    known = configuration.evacuation_by_domain.get(domain)
    return Change(
        command_id=command_id,
        base_version=0,
        action=BEGIN_EVACUATION if begin else FINISH_EVACUATION,
        target=domain,
        arguments={
            "ordered_at": ordered_at,
            "known_order": 0 if known is None else known.order,
            "domains": sorted(domains),
        },
    )


def apply_order(configuration: Configuration, change: Change) -> Evacuation | None:
    """Return what is in force for the target of an order after it, None if there was no order yet.

    Raises `ChangeRefused` with code 4101 if the process that received the order did not know the
    last one for its failure domain, 4104 for an unknown failure domain, and 4103 if no failure
    domain would be left, without a configuration, and for invalid arguments.
    """
    arguments = _check_arguments(change)
    domain, begin = change.target, change.action == BEGIN_EVACUATION
    last = configuration.evacuation_by_domain.get(domain)
    # A failure domain with an order is known, also if it was removed from the deployment since.
    if last is None and domain not in arguments.domains:
        raise ChangeRefused(
            ResultCode.NOT_FOUND,
            f"failure domain {domain!r} does not exist; use one of {', '.join(arguments.domains)}",
        )
    number = 0 if last is None else last.order
    if begin == (last is not None and last.active):
        if not configuration.version:
            return last
        # Numbered, too: an opposite order from before, which is delayed, must not undo it.
        in_force = last or Evacuation(False, 0, change.command_id, arguments.ordered_at)
        return attrs.evolve(in_force, order=number + 1)
    if arguments.known_order != number:
        raise ChangeRefused(
            ResultCode.VERSION_CONFLICT,
            f"order {number} for failure domain {domain!r} came between: the order was based on "
            f"order {arguments.known_order}; send it again with a new command id",
        )
    if domain not in arguments.domains:
        raise ChangeRefused(
            ResultCode.NOT_FOUND,
            f"failure domain {domain!r} no longer exists; use one of "
            f"{', '.join(arguments.domains)}",
        )
    if not configuration.version:
        raise invalid("there is no configuration yet; send one first")
    if begin and is_last_domain(configuration, domain, arguments.domains):
        raise invalid(
            f"no failure domain would be left without {domain!r}; restore another one first"
        )
    return Evacuation(begin, number + 1, change.command_id, arguments.ordered_at)


def is_last_domain(configuration: Configuration, domain: str, domains: Collection[str]) -> bool:
    """Return whether all other failure domains are evacuated."""
    return not set(domains) - {domain, *configuration.evacuated_domains()}


def describe(evacuation: Evacuation | None) -> str:
    """Return a text that says what is in force for a failure domain."""
    if evacuation is None:
        return "not evacuated, without any order"
    state = "evacuated" if evacuation.active else "not evacuated"
    return f"{state} by order {evacuation.order} (command {evacuation.command_id})"


def _check_arguments(change: Change) -> _Arguments:
    arguments: dict[str, Any] = change.arguments
    names = set(attrs.fields_dict(_Arguments))
    if set(arguments) != names:
        raise invalid(
            f"{change.action} takes the arguments {', '.join(sorted(names))}, "
            f"got {', '.join(sorted(arguments)) or 'none'}"
        )
    ordered_at, known_order = arguments["ordered_at"], arguments["known_order"]
    if type(ordered_at) not in (int, float) or not math.isfinite(ordered_at):
        raise invalid(f"ordered_at of {change.action} must be a Unix time, got {ordered_at!r}")
    if type(known_order) is not int or known_order < 0:
        raise invalid(
            f"known_order of {change.action} must be an integer of 0 or more, got {known_order!r}"
        )
    domains = arguments["domains"]
    if not isinstance(domains, list) or not all(type(name) is str and name for name in domains):
        raise invalid(f"domains of {change.action} must be a list of names, got {domains!r}")
    return _Arguments(float(ordered_at), known_order, domains)
