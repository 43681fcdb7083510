"""Random faults: outcomes stay true, and every task gets exactly one."""

from __future__ import annotations

from random import Random

import anyio
import pytest
from holder_rig import LOCAL, FakeBackend, Rig, play

MODES = ["ok", "ok", "ok", "fail", "refuse", "unreachable", "lose", "hang"]


@pytest.mark.parametrize("seed", range(12))
def test_every_task_has_one_true_outcome_under_random_faults(seed: int):
    """The rig itself fails on a second start and on a second outcome of a task."""
    random = Random(seed)

    async def scenario(rig: Rig) -> None:
        start_ids: list[str] = []
        for step in range(300):
            server = random.choice(servers)
            server.mode = random.choice(MODES)
            server.asked = random.choice(["result", "running", "unknown", "lost"])
            server.silent = random.random() < 0.15
            if random.random() < 0.05:
                server.incarnation, server.sequence = server.incarnation + 1, 0
            start_ids += rig.run(
                random.randrange(1, 6),
                batch_id=step + 1,
                team=random.choice("ab"),
                deadline_left_s=random.choice([0.05, 1.0, 5.0]),
                spec={"payload": random.choice([0.05, 0.5])},
            )
            if random.random() < 0.2:
                rig.holder.cancel(LOCAL, [random.randrange(1, step + 2)])
            if random.random() < 0.02:
                rig.clock.jump(3)
            await anyio.sleep(random.choice([0.0, 0.02, 0.2]))
        for server in servers:
            server.mode, server.asked, server.silent = "ok", "lost", False
            server.incarnation, server.sequence = server.incarnation + 1, 0
        await anyio.sleep(40)
        assert None not in rig.statuses(start_ids)
        assert rig.holder.idle()
        started = set().union(*(server.started_at for server in servers))
        for start_id in start_ids:
            if rig.status(start_id) == "not_started":
                assert start_id not in started
            else:
                assert start_id in started

    servers = [FakeBackend(f"b{n}", slots=3, speed=1.0 + n) for n in range(4)]
    play(scenario, *servers)
    assert sum(len(server.started_at) for server in servers) > 100
