"""Random faults while the configuration changes; `configuration_soak.py` plays more of them."""

from __future__ import annotations

from pathlib import Path

import pytest
from configuration_soak import play


@pytest.mark.parametrize("seed", [1, 4, 8])
def test_acknowledged_changes_are_in_force_in_time_under_overlapping_faults(
    tmp_path: Path, seed: int
):
    """Guards against requests that are handled by an outdated configuration."""
    soak = play(seed, tmp_path)
    assert len(soak.acked) > 20
    assert not soak.broken, "\n".join([*soak.events, *soak.broken])
