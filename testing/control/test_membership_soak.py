"""Random series of losses of control processes; `membership_soak.py` plays more of them."""

from __future__ import annotations

from pathlib import Path

import pytest
from membership_soak import play


@pytest.mark.parametrize(("seed", "rounds"), [(2, 1), (5, 1), (39, 2)])
def test_what_was_acknowledged_is_read_and_changed_again_after_tolerated_losses(
    tmp_path: Path, seed: int, rounds: int
):
    """Guards against losses that are tolerated one by one but not when they overlap."""
    soak = play(seed, tmp_path, rounds=rounds)
    assert not soak.broken, "\n".join([*soak.events, *soak.broken])
