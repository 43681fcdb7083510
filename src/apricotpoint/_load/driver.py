"""Submits the jobs of a trace through the client, on time."""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Sequence

import anyio
import attrs

from apricotpoint._bench.trace import TracedJob
from apricotpoint._client import Client
from apricotpoint._core.codes import ResultCode
from apricotpoint._load.outcome import Outcome
from apricotpoint._wire.jobs import Answer
from apricotpoint._wire.tasks import TaskSpec

# Short against the deadlines of a load, so that most repetitions and
# cancellations meet a running job.
MAX_DELAY_S = 0.5
KEY_VALIDITY_S = 600


@attrs.frozen
class Variation:
    """Parts of the jobs that are submitted twice or cancelled, chosen by `seed`."""

    resubmit_share: float = 0.0
    cancel_share: float = 0.0
    seed: int = 1


async def drive(
    trace: Sequence[TracedJob],
    client: Client,
    *,
    service: str,
    deadline_ms: int,
    run_id: str,
    on_outcome: Callable[[Outcome], None],
    variation: Variation | None = None,
) -> None:
    """Submit every job at its arrival time and report each outcome.

    `run_id` keeps the tasks of this run apart from those of other runs in the
    ledgers of the backend servers.
    """
    variation = variation or Variation()
    generator = random.Random(variation.seed)
    started_at = anyio.current_time()
    async with anyio.create_task_group() as group:
        for number, job in enumerate(trace):
            submission = _Submission(
                number=number,
                name=f"{run_id}-{number}",
                job=job,
                client=client,
                service=service,
                deadline_ms=deadline_ms,
                choice=generator.random(),
                delay_s=generator.uniform(0, MAX_DELAY_S),
            )
            await anyio.sleep(max(started_at + job.at_s - anyio.current_time(), 0))
            group.start_soon(submission.run, variation, on_outcome)


@attrs.frozen
class _Submission:
    number: int
    name: str
    job: TracedJob
    client: Client
    service: str
    deadline_ms: int
    choice: float
    delay_s: float

    async def run(self, variation: Variation, on_outcome: Callable[[Outcome], None]) -> None:
        tasks = [
            _with_payload(traced.spec, traced.run_s, self.name, index)
            for index, traced in enumerate(self.job.tasks)
        ]
        resubmits = self.choice < variation.resubmit_share
        cancels = not resubmits and self.choice < variation.resubmit_share + variation.cancel_share
        # Issued keys stay with the client, so a second message about a job needs a chosen key.
        key = self.name if resubmits or cancels else None
        valid_until = int(time.time()) + KEY_VALIDITY_S if key else None
        repeated: list[Answer] = []

        async def submit() -> Answer:
            return await self.client.submit(
                self.service,
                tasks,
                deadline_ms=self.deadline_ms,
                key=key,
                valid_until=valid_until,
            )

        async def repeat() -> None:
            await anyio.sleep(self.delay_s)
            repeated.append(await submit())

        async def cancel() -> None:
            await anyio.sleep(self.delay_s)
            await self.client.cancel(self.name)

        submitted_at = anyio.current_time()
        async with anyio.create_task_group() as group:
            if resubmits:
                group.start_soon(repeat)
            if cancels:
                group.start_soon(cancel)
            answer = await submit()
            response_s = anyio.current_time() - submitted_at
        on_outcome(
            Outcome(
                number=self.number,
                name=self.name,
                job=self.job,
                answer=answer,
                response_s=response_s,
                whole=all(_is_whole(item, self.name, len(tasks)) for item in [answer, *repeated]),
                repeated=repeated[0] if repeated else None,
                cancelled=cancels,
            )
        )


def _with_payload(spec: TaskSpec, run_s: float, job: str, index: int) -> TaskSpec:
    return attrs.evolve(spec, payload={"run_s": run_s, "job": job, "task": index})


def _is_whole(answer: Answer, job: str, count: int) -> bool:
    if answer.code != ResultCode.COMPLETE:
        return not answer.results
    results = answer.results or []
    own = [(item.get("job"), item.get("task")) for item in results if isinstance(item, dict)]
    return own == [(job, index) for index in range(count)]
