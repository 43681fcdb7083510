"""Random faults of backend servers, pauses and cancellations at the lease holder."""

from __future__ import annotations

from random import Random

import anyio
import pytest
from holder_rig import LOCAL_COORDINATOR, FakeBackend, Rig, run_scenario

MODES = ["ok", "ok", "ok", "fail", "refuse", "unreachable", "lose", "hang"]


@pytest.mark.parametrize("seed", range(12))
def test_every_task_gets_one_correct_outcome_under_random_faults(seed: int):
    """Guards against wrong outcomes under any mix of faults.

    A task that is reported as not started must not have started, and any other must
    have. The rig fails the test on a second start or a second outcome of a task.
    """
    random = Random(seed)

    async def scenario(rig: Rig) -> None:
        start_ids: list[str] = []
        for step in range(300):
            server = random.choice(servers)
            server.mode = random.choice(MODES)
            server.result_reply = random.choice(["result", "running", "unknown", "lost"])
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
                rig.holder.cancel(LOCAL_COORDINATOR, [random.randrange(1, step + 2)])
            if random.random() < 0.02:
                rig.clock.jump(3)
            await anyio.sleep(random.choice([0.0, 0.02, 0.2]))
        for server in servers:
            server.mode, server.result_reply, server.silent = "ok", "lost", False
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
    run_scenario(scenario, *servers)
    assert sum(len(server.started_at) for server in servers) > 100
