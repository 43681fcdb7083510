"""The lease holder under faults: no double start, no task without an outcome."""

from __future__ import annotations

import anyio
from holder_rig import FakeBackend, Rig, play


def test_tasks_of_one_batch_share_exchanges_and_never_exceed_the_slots():
    async def scenario(rig: Rig) -> None:
        start_ids = rig.run(6)
        await anyio.sleep(2)
        assert rig.statuses(start_ids) == {"done"}
        assert len(rig.replies) == 1
        assert rig.holder.idle()
        assert len(backend.exchanges[0]) == 2

    backend = FakeBackend("b1")
    play(scenario, backend)
    assert backend.most_busy == 2
