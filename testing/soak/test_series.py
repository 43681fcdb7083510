"""Generated series, without starting a process."""

from __future__ import annotations

from pathlib import Path

import attrs
import pytest

from apricotpoint._core.errors import ApricotError
from apricotpoint._soak.generation import make_series
from apricotpoint._soak.series import Fault, FaultKind, Series, load_series, save_series
from apricotpoint._soak.settings import SoakSettings

CATCH_UP_S = 6.0
SETTINGS = SoakSettings(report_folder="unused", seconds=120.0, controls=6)
SEEDS = range(40)


def make(seed: int, settings: SoakSettings = SETTINGS) -> Series:
    return make_series(settings, seed=seed, catch_up_s=CATCH_UP_S)


def disks_lost(fault: Fault) -> int:
    if fault.kind in {FaultKind.REPLACE, FaultKind.REPLACE_PLANNED}:
        return 1
    return len(fault.targets) if fault.kind in {FaultKind.LOSE_DISK, FaultKind.FINAL} else 0


def test_a_series_is_a_function_of_its_seed_and_covers_all_kinds():
    """Guards against failures that cannot be played again, and faults that never come."""
    all_series = [make(seed) for seed in SEEDS]
    assert all_series == [make(seed) for seed in SEEDS]
    kinds = {fault.kind for series in all_series for fault in series.faults}
    assert kinds == set(FaultKind)
    assert all(fault.rule for series in all_series for fault in series.faults)


@pytest.mark.parametrize("tolerated", [0, 1, 2])
def test_no_more_disks_are_lost_than_tolerated(tolerated: int):
    """Guards against series that the users' pages do not allow."""
    settings = attrs.evolve(SETTINGS, tolerated_processes=tolerated)
    for seed in SEEDS:
        losing = [fault for fault in make(seed, settings).faults if disks_lost(fault)]
        for fault in losing:
            open_losses = sum(
                disks_lost(other)
                for other in losing
                if other.at_s <= fault.at_s < other.at_s + other.duration_s + CATCH_UP_S
            )
            assert open_losses <= tolerated, (seed, fault)


def test_a_series_is_shortened_and_read_again(tmp_path: Path):
    """Guards against kept cases that cannot be loaded."""
    series = make(4)
    path = tmp_path / "new" / "series.json"
    save_series(series.without({1, 3}), path)
    assert load_series(path) == series.without({1, 3})
    assert [fault.number for fault in load_series(path).faults[:2]] == [2, 4]
    path.write_text('{"seed": 1}')
    with pytest.raises(ApricotError, match="seconds"):
        load_series(path)
