"""Explanations of where a job would go, compared with what then happens to the same job."""

from __future__ import annotations

import anyio
import attrs
import pytest
from pool_cluster import ALL_DOMAINS_CORES, Cluster, run_cluster
from pool_harness import make_job, run_on_virtual_time

from apricotpoint._core.codes import ResultCode
from apricotpoint._core.errors import ApricotError
from apricotpoint._pool.explanations import MIN_PERIOD_S
from apricotpoint._wire.explain import HolderExplanation
from apricotpoint._wire.pool import PoolAnswer, PoolJob, Room


async def occupy(cluster: Cluster, count: int, group: anyio.abc.TaskGroup) -> None:
    """Fill the backend servers with jobs of one task that take 0.6 s."""
    for backend in cluster.backend_by_id.values():
        backend.work_s = 0.6
    for number in range(100, 100 + count):
        request = make_job(number, work_s=0.6, kind="long")
        group.start_soon(cluster.entry_by_id["e1"].service.submit, request)
    await anyio.sleep(0.3)


async def explain(cluster: Cluster, entry_id: str, request: PoolJob) -> HolderExplanation:
    explanation = await cluster.entry_by_id[entry_id].explainer.explain(request)
    assert explanation.target == "e1"
    assert [row.share for row in explanation.holders if row.entry_id == "e1"] == [1.0]
    assert explanation.holder is not None
    return explanation.holder


async def submit(cluster: Cluster, entry_id: str, request: PoolJob) -> tuple[PoolAnswer, list[str]]:
    answer = await cluster.entry_by_id[entry_id].service.submit(request)
    places = [
        backend_id
        for backend_id, backend in cluster.backend_by_id.items()
        for key in backend.starts
        if key.task.startswith(request.job_id)
    ]
    return answer, places


@pytest.mark.parametrize("entry_id", ["e1", "e2"])
@pytest.mark.parametrize("busy", [0, 3, 7])
def test_the_explained_job_starts_where_its_explanation_says(entry_id: str, busy: int):
    """Guards against an explanation by other rules than those for jobs, and one with effects."""

    async def test() -> None:
        async with (
            run_cluster(cores=ALL_DOMAINS_CORES) as cluster,
            anyio.create_task_group() as group,
        ):
            await occupy(cluster, busy, group)
            scheduler = cluster.entry_by_id["e1"].scheduler
            before = [(held.used, held.token, held.trial) for held in scheduler.held_by_id.values()]
            explained = await explain(cluster, entry_id, make_job(1, work_s=0.6))
            assert explained.code == 0
            assert [row.verdict for row in explained.backends].count("chosen") == 1
            assert scheduler.find(make_job(1).job_id) is None
            after = [(held.used, held.token, held.trial) for held in scheduler.held_by_id.values()]
            assert before == after
            answer, places = await submit(cluster, entry_id, make_job(1, work_s=0.6))
            assert answer.code == ResultCode.COMPLETE
            assert places == [explained.chosen]
            group.cancel_scope.cancel()

    run_on_virtual_time(test)


def test_the_explained_job_waits_or_is_refused_as_its_explanation_says():
    """Guards against an explanation that promises a start to a job that is refused."""

    async def test() -> None:
        async with (
            run_cluster(cores=ALL_DOMAINS_CORES) as cluster,
            anyio.create_task_group() as group,
        ):
            await occupy(cluster, 8, group)
            patient = attrs.evolve(make_job(1, work_s=0.6, base_latency_s=1.0), deadline_s=3.0)
            waits = await explain(cluster, "e2", patient)
            assert (waits.code, waits.chosen, waits.jobs_ahead) == (0, "", 0)
            assert {row.verdict for row in waits.backends} == {"room"}
            assert waits.wait_s == pytest.approx(0.3, abs=0.05)
            await anyio.sleep(MIN_PERIOD_S)
            refused = await explain(cluster, "e2", make_job(2, work_s=0.1, deadline_s=0.2))
            answer, places = await submit(cluster, "e2", make_job(2, work_s=0.1, deadline_s=0.2))
            assert refused.code == answer.code == ResultCode.OVERLOADED
            assert 0 < refused.retry_after_s <= answer.retry_after_s
            assert not places
            large = attrs.evolve(make_job(3), room=Room(64_000, 1))
            await anyio.sleep(MIN_PERIOD_S)
            excluded = await explain(cluster, "e1", large)
            assert excluded.code == ResultCode.CANNOT_RUN
            assert {row.verdict for row in excluded.backends} == {"size"}
            with pytest.raises(ApricotError, match="another job was explained"):
                await explain(cluster, "e1", large)
            group.cancel_scope.cancel()

    run_on_virtual_time(test)
