"""Restarts while messages are late: a reply to an earlier incarnation is no reply to this one."""

from __future__ import annotations

from pathlib import Path

import anyio
import pytest
from control_network import Cluster, with_cluster


@pytest.mark.parametrize("seed", [1, 2, 3, 4, 5, 6, 7, 8])
def test_a_restarted_process_keeps_its_disk_while_messages_are_late(tmp_path: Path, seed: int):
    """Guards against a process that takes its own disk for an outdated copy after restarts.

    Replies to the start check of an earlier incarnation name a newer start than the one that
    was asked about; they arrive when the next incarnation waits for its own replies.
    """

    async def test(cluster: Cluster) -> None:
        await cluster.kill("c1")
        await cluster.start("c1")
        cluster.network.jitter_s = 1.0
        for _ in range(2):
            await cluster.kill("c1")
            await cluster.start("c1")
        await anyio.sleep(5.0)
        assert cluster.exit_code_by_id == {}

    with_cluster(test, tmp_path, seed=seed)
