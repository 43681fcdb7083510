"""Series of faults as data: played, printed, shortened and kept as cases."""

from __future__ import annotations

import json
from collections.abc import Collection
from enum import StrEnum
from pathlib import Path

import attrs

from apricotpoint._core.codes import ResultCode
from apricotpoint._core.errors import ApricotError
from apricotpoint._core.settings import structure


class FaultKind(StrEnum):
    """What a fault does to its targets."""

    FREEZE = "freeze"
    KILL = "kill"
    STOP = "stop"
    HANG_UP = "hang_up"
    POWER_LOSS = "power_loss"
    LOSE_DISK = "lose_disk"
    REPLACE = "replace"
    REPLACE_PLANNED = "replace_planned"
    ADD = "add"
    ADD_UNCOUNTED = "add_uncounted"
    LOSE_UNCOUNTED = "lose_uncounted"
    FINAL = "final"
    CUT = "cut"
    SPLIT = "split"
    SILENCE = "silence"
    DELAY = "delay"
    RESET = "reset"
    NARROW = "narrow"
    BURST = "burst"
    DEADLY_JOB = "deadly_job"
    BACKEND_LEAVES = "backend_leaves"
    BACKEND_FLAPS = "backend_flaps"
    BACKEND_SHRINKS = "backend_shrinks"
    ODD_ANNOUNCEMENTS = "odd_announcements"


SIZES = ["entries", "controls", "backends", "tolerated_processes", "tolerated_domains"]
LINK_KINDS = {
    FaultKind.CUT,
    FaultKind.SPLIT,
    FaultKind.SILENCE,
    FaultKind.DELAY,
    FaultKind.RESET,
    FaultKind.NARROW,
}


@attrs.frozen
class Fault:
    """A fault that begins `at_s` seconds after the start of the series.

    Processes are down, frozen or cut off for `duration_s`. `targets` are ids of processes or
    backend servers. `rule` says why the users' platform allows the fault.
    """

    number: int
    at_s: float
    # Converted, as the plain text that is read from a file is no member of the enumeration.
    kind: FaultKind = attrs.field(converter=FaultKind)
    targets: list[str]
    duration_s: float = 0.0
    rule: str = ""

    def __str__(self) -> str:
        targets = ", ".join(self.targets)
        return f"{self.number:3} {self.at_s:7.2f} s {self.kind} {targets} {self.duration_s:.2f} s"


@attrs.frozen
class Series:
    """All faults of one run, with the seed of all else that is random in it.

    `sizes` are the settings on which the faults depend: they replace those of a run that plays
    the series again. `cause` says in a kept case what made it fail.
    """

    seed: int
    seconds: float
    faults: list[Fault]
    sizes: dict[str, int] = attrs.Factory(dict)
    cause: str = ""

    def without(self, numbers: Collection[int]) -> Series:
        """Return the series without the faults with these numbers."""
        kept = [fault for fault in self.faults if fault.number not in numbers]
        return attrs.evolve(self, faults=kept)

    def uses_links(self) -> bool:
        """Return whether a fault disturbs links, for which processes are joined by relays."""
        return any(fault.kind in LINK_KINDS for fault in self.faults)


def save_series(series: Series, path: Path) -> None:
    """Write a series as JSON; its folder is created if needed."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(attrs.asdict(series), indent=1) + "\n", encoding="utf-8")


def load_series(path: Path) -> Series:
    """Read a series; raises `ApricotError` with code 5001 that names the file and the key."""
    try:
        raw = json.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise ApricotError(
            ResultCode.INVALID_SETTINGS,
            f"series {path} cannot be read: {error}",
            remedy="pass a file that a run has written as series.json",
        ) from error
    return structure(raw, Series, source=str(path))
