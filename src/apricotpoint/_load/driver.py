"""Submits the jobs of a trace through the client, on time."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import anyio
import attrs

from apricotpoint._bench.trace import TracedJob
from apricotpoint._client import Client
from apricotpoint._core.codes import ResultCode
from apricotpoint._load.outcome import Outcome
from apricotpoint._wire.jobs import Answer
from apricotpoint._wire.tasks import TaskSpec


async def drive(
    trace: Sequence[TracedJob],
    client: Client,
    *,
    service: str,
    deadline_ms: int,
    run_id: str,
    on_outcome: Callable[[Outcome], None],
) -> None:
    """Submit every job at its arrival time and report each outcome.

    `run_id` keeps the tasks of this run apart from those of other runs in the
    ledgers of the backend servers.
    """
    started_at = anyio.current_time()
    async with anyio.create_task_group() as group:
        for number, job in enumerate(trace):
            await anyio.sleep(max(started_at + job.at_s - anyio.current_time(), 0))
            group.start_soon(_submit, job, number, client, service, deadline_ms, run_id, on_outcome)


async def _submit(
    job: TracedJob,
    number: int,
    client: Client,
    service: str,
    deadline_ms: int,
    run_id: str,
    on_outcome: Callable[[Outcome], None],
) -> None:
    name = f"{run_id}-{number}"
    tasks = [
        _with_payload(traced.spec, traced.run_s, name, index)
        for index, traced in enumerate(job.tasks)
    ]
    submitted_at = anyio.current_time()
    answer = await client.submit(service, tasks, deadline_ms=deadline_ms)
    on_outcome(
        Outcome(
            number=number,
            job=job,
            answer=answer,
            response_s=anyio.current_time() - submitted_at,
            whole=_is_whole(answer, name, len(tasks)),
        )
    )


def _with_payload(spec: TaskSpec, run_s: float, job: str, index: int) -> TaskSpec:
    return attrs.evolve(spec, payload={"run_s": run_s, "job": job, "task": index})


def _is_whole(answer: Answer, job: str, count: int) -> bool:
    if answer.code != ResultCode.COMPLETE:
        return True
    results = answer.results or []
    own = [(item.get("job"), item.get("task")) for item in results if isinstance(item, dict)]
    return own == [(job, index) for index in range(count)]
