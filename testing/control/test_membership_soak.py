"""Random series of losses of control processes; `membership_soak.py` plays more of them."""

from __future__ import annotations

from pathlib import Path

import pytest
from membership_soak import play


@pytest.mark.parametrize("seed", [2, 5])
def test_what_was_acknowledged_is_read_and_changed_again_after_tolerated_losses(
    tmp_path: Path, seed: int
):
    """Guards against losses that are tolerated one by one but not when they overlap."""
    soak = play(seed, tmp_path, rounds=1)
    assert not soak.broken, "\n".join([*soak.events, *soak.broken])
