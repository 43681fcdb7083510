"""Starts on backend servers whose resources shrink and grow while they run."""

from __future__ import annotations

import anyio
import attrs
from pool_cluster import run_cluster
from pool_harness import (
    BACKEND_ROOM,
    TASK_ROOM,
    FakeBackend,
    make_announcement,
    make_job,
    run_on_virtual_time,
    run_scheduler,
)

from apricotpoint._core.codes import ResultCode
from apricotpoint._wire.pool import Room

ONE_TASK_ROOM = Room(TASK_ROOM.cpu, BACKEND_ROOM.memory_mb)


def used_cpu(backend: FakeBackend) -> int:
    return TASK_ROOM.cpu * len(backend.active_run_by_key)


def test_no_start_exceeds_a_room_that_has_shrunk():
    """Guards against starts that count against the room of an earlier announcement."""

    async def test() -> None:
        backend = FakeBackend(work_s=0.3)
        async with run_scheduler(backend) as harness:
            first = harness.scheduler.submit(make_job(1, count=2, work_s=0.3))
            await anyio.sleep(0.1)
            shrunk = make_announcement("w1", room=ONE_TASK_ROOM)
            harness.scheduler.announce(attrs.evolve(shrunk, sequence=2))
            # A run that is being stopped still uses the room.
            harness.scheduler.cancel(first.request.job_id, "cancelled")
            harness.scheduler.submit(make_job(2, count=3, work_s=0.3, deadline_s=3.0))
            for _ in range(150):
                await anyio.sleep(0.01)
                if len(backend.starts) > 2:
                    assert used_cpu(backend) <= ONE_TASK_ROOM.cpu
            assert len(backend.starts) == 5
            assert harness.counters.get("pool.refused_no_room") == 0

    run_on_virtual_time(test)


def test_a_restart_under_the_same_id_brings_its_own_room():
    """Guards against starts that count against the room of an earlier incarnation."""

    async def test() -> None:
        async with run_scheduler(FakeBackend()) as harness:
            earlier = attrs.evolve(make_announcement("w1"), sequence=50, born_ms=1_000)
            harness.scheduler.announce(earlier)
            later = attrs.evolve(
                make_announcement("w1", room=ONE_TASK_ROOM), sequence=1, born_ms=2_000
            )
            harness.scheduler.announce(later)
            assert harness.scheduler.held_by_id["w1"].announcement == later
            harness.scheduler.announce(attrs.evolve(earlier, sequence=51))
            assert harness.scheduler.held_by_id["w1"].announcement == later

    run_on_virtual_time(test)


def test_refused_starts_show_that_a_room_has_shrunk():
    """Guards against starts that are refused again and again until the next announcement."""

    async def test() -> None:
        backend = FakeBackend(work_s=0.1)
        async with run_scheduler(backend) as harness:
            backend.room = ONE_TASK_ROOM
            harness.scheduler.submit(make_job(1, count=9, work_s=0.1, deadline_s=5.0))
            await anyio.sleep(0.95)
            assert harness.counters.get("pool.refused_no_room") == 1
            # The room is used again soon after it has grown.
            backend.room = BACKEND_ROOM
            harness.scheduler.submit(make_job(2, count=30, work_s=0.1, deadline_s=9.0))
            await anyio.sleep(1.0)
            assert len(backend.active_run_by_key) == 2

    run_on_virtual_time(test)


def test_a_change_whose_message_was_lost_arrives_with_the_next_repetition():
    """Guards against a holder that counts with a room, or a state, that has long changed."""

    async def test() -> None:
        async with run_cluster() as cluster:
            holder_id = next(key for key, held in cluster.holders().items() if "a1" in held)
            cluster.network.dropped_pairs.add(("control-a", holder_id))
            cluster.unannounced.add("a1")
            changed = attrs.evolve(
                make_announcement("a1", room=ONE_TASK_ROOM), failure_domain="a", sequence=5_000
            )
            cluster.relay_by_id["control-a"].announce(changed)
            await anyio.sleep(0.2)
            cluster.heal()
            for sequence in range(5_001, 5_004):
                repeated = attrs.evolve(changed, sequence=sequence)
                cluster.relay_by_id["control-b"].announce(repeated)
                await anyio.sleep(1.5)
            held = cluster.entry_by_id[holder_id].scheduler.held_by_id["a1"]
            assert held.announcement.room == ONE_TASK_ROOM

    run_on_virtual_time(test)


def test_a_burst_on_rooms_that_have_shrunk_is_answered_in_time_or_refused_at_once():
    """Guards against a burst whose jobs wait for room that a quarter of the servers has lost.

    The day `deploy/days/shrunk.toml` plays this.
    """

    async def test() -> None:
        backends = [FakeBackend(work_s=0.2) for _ in range(4)]
        async with run_scheduler(*backends) as harness:
            backends[0].room = ONE_TASK_ROOM
            answers: list[tuple[float, int]] = []

            async def submit(number: int) -> None:
                request = make_job(number, count=2, work_s=0.2, base_latency_s=0.2)
                began_at = anyio.current_time()
                answer = harness.scheduler.refusal(request)
                if answer is None:
                    job = harness.scheduler.submit(request)
                    await job.answered.wait()
                    answer = job.answer
                assert answer is not None
                answers.append((anyio.current_time() - began_at, answer.code))

            async with anyio.create_task_group() as group:
                # Twice what the four can carry.
                for number in range(1, 71):
                    group.start_soon(submit, number)
                    await anyio.sleep(0.03)
            codes = [code for _, code in answers]
            assert codes.count(ResultCode.COMPLETE) >= 25
            assert set(codes) <= {ResultCode.COMPLETE, ResultCode.OVERLOADED}
            assert all(seconds < 0.8 for seconds, _ in answers)
            assert harness.counters.get("pool.refused_no_room") <= 4

    run_on_virtual_time(test)
