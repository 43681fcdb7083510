"""Submits the jobs of a trace through the client at their arrival times."""

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

# Short compared with the deadlines of a load, so that most resubmissions and
# cancellations arrive while the job is running.
MAX_ACTION_DELAY_S = 0.5
KEY_VALIDITY_S = 600


@attrs.frozen
class SubmissionMix:
    """Shares (0 to 1) of the jobs that are submitted twice or cancelled, chosen by `seed`."""

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
    mix: SubmissionMix | None = None,
) -> None:
    """Submit every job at its arrival time; return when all jobs are answered.

    `on_outcome` is called once for each job. `run_id` distinguishes the tasks of
    this run from those of other runs in the ledgers of the backend servers.
    """
    mix = mix or SubmissionMix()
    generator = random.Random(mix.seed)
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
                delay_s=generator.uniform(0, MAX_ACTION_DELAY_S),
            )
            await anyio.sleep(max(started_at + job.at_s - anyio.current_time(), 0))
            group.start_soon(submission.run, mix, on_outcome)


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

    async def run(self, mix: SubmissionMix, on_outcome: Callable[[Outcome], None]) -> None:
        tasks = [
            _with_payload(traced.spec, traced.run_s, self.name, index)
            for index, traced in enumerate(self.job.tasks)
        ]
        is_resubmitted = self.choice < mix.resubmit_share
        is_cancelled = not is_resubmitted and self.choice < mix.resubmit_share + mix.cancel_share
        # The client does not reveal the key that it is issued for a job, so a job that is
        # resubmitted or cancelled needs a key of its own.
        key = self.name if is_resubmitted or is_cancelled else None
        valid_until = int(time.time()) + KEY_VALIDITY_S if key else None
        repeated_answers: list[Answer] = []

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
            repeated_answers.append(await submit())

        async def cancel() -> None:
            await anyio.sleep(self.delay_s)
            await self.client.cancel(self.name)

        submitted_at = anyio.current_time()
        async with anyio.create_task_group() as group:
            if is_resubmitted:
                group.start_soon(repeat)
            if is_cancelled:
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
                whole=all(
                    _results_match(item, self.name, len(tasks))
                    for item in [answer, *repeated_answers]
                ),
                repeated=repeated_answers[0] if repeated_answers else None,
                cancelled=is_cancelled,
            )
        )


def _with_payload(spec: TaskSpec, run_s: float, job: str, index: int) -> TaskSpec:
    return attrs.evolve(spec, payload={"run_s": run_s, "job": job, "task": index})


def _results_match(answer: Answer, job: str, count: int) -> bool:
    if answer.code != ResultCode.COMPLETE:
        return not answer.results
    results = answer.results or []
    job_and_index = [
        (item.get("job"), item.get("task")) for item in results if isinstance(item, dict)
    ]
    return job_and_index == [(job, index) for index in range(count)]
