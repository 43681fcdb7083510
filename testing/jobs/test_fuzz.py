"""Random submissions, cancellations, network partitions and restarts keep promises P1 to P4.

No task starts twice, no answer is partial or of another job, no job that started is reported
as not run, and each answer comes by its deadline.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable

import anyio
import pytest
from jobs_fakes import FakeEntry, FakeHolder, FakeSystem, request, run_scenario

from apricotpoint._link.transport import Sender
from apricotpoint._wire.jobs import Answer, JobRequest
from apricotpoint._wire.tasks import BatchResult, OutcomeStatus, RunBatch, TaskOutcome, TaskSpec

DURATION_S = 40


class RandomHolder(FakeHolder):
    """Runs tasks after a random delay, leaves some unstarted or UNKNOWN, and repeats reports."""

    def __init__(self, entry: FakeEntry, rng: random.Random, starts: Counter) -> None:
        super().__init__(entry)
        self.rng = rng
        self.starts_by_task = starts
        self.cancelled_batch_ids: set[int] = set()

    def run(
        self, coordinator: Sender, batch: RunBatch, reply: Callable[[BatchResult], None]
    ) -> None:
        """Run each task of a batch separately."""
        for number in range(len(batch.tasks)):
            self.entry.system.group.start_soon(self._run_task, batch, number, reply)

    def cancel(self, coordinator: Sender, batch_ids: list[int]) -> None:
        """Prevent the start of tasks that have not started."""
        self.cancelled_batch_ids.update(batch_ids)

    async def _run_task(
        self, batch: RunBatch, number: int, reply: Callable[[BatchResult], None]
    ) -> None:
        rng = self.rng
        task = batch.tasks[number]
        await anyio.sleep(rng.choice([0.0, 0.01, 0.3]))
        status = OutcomeStatus.NOT_STARTED
        alive = self.entry.system.entry_by_id[self.entry.entry_id] is self.entry
        if alive and batch.batch_id not in self.cancelled_batch_ids and rng.random() < 0.9:
            self.starts_by_task[tuple(task.spec.payload)] += 1
            await anyio.sleep(rng.choice([0.05, 0.2, 0.8]))
            status = rng.choice([OutcomeStatus.DONE] * 12 + list(OutcomeStatus)[:2])
            if rng.random() < 0.05:
                status = OutcomeStatus.UNKNOWN
        outcome = TaskOutcome(task.start_id, status, value=task.spec.payload)
        for _ in range(rng.choice([1, 1, 2])):
            reply(BatchResult(batch.batch_id, [outcome]))


class Oracle:
    """Checks every answer against the task starts that the holders recorded.

    `starts` counts the starts by task, and `codes` the answers by result code.
    """

    def __init__(self) -> None:
        self.starts: Counter = Counter()
        self.codes: Counter = Counter()
        self.last_code_by_key: dict[str, int] = {}
        self.cancelled: set[str] = set()

    def started(self, key: str) -> bool:
        """Return whether a task of the key has started."""
        return any(started == key for started, _ in self.starts)

    def check_refused_keys(self) -> None:
        """Fail if a task of a cancelled key, or of one refused last, has started."""
        refused = {key for key, code in self.last_code_by_key.items() if code // 1000 == 2}
        for key in refused | self.cancelled:
            assert not self.started(key), key

    def check(self, job: JobRequest, answer: Answer) -> None:
        """Fail on a partial answer, results of another job, or a refusal after a start."""
        self.codes[answer.code] += 1
        self.last_code_by_key[job.key] = answer.code
        if answer.code == 2108:
            self.cancelled.add(job.key)
        expected = [list(task.payload) for task in job.tasks]
        assert (answer.results is not None) == (answer.code == 1000)
        if answer.code == 1000:
            assert [list(value) for value in answer.results or []] == expected
        if answer.code // 1000 == 2:
            assert not self.started(job.key), answer
        if answer.code == 1001:
            assert answer.failed
            assert all(self.starts[tuple(task.payload)] for task in job.tasks)


@pytest.mark.parametrize("seed", range(8))
def test_random_faults_cause_no_second_start_and_no_wrong_answer(seed: int):
    """Guards against second starts and wrong answers under combined faults.

    Callers submit and cancel at random while processes are isolated or restart and the home is
    slow or unreachable.
    """
    oracle = Oracle()

    async def scenario(system: FakeSystem, a: FakeEntry, b: FakeEntry) -> None:
        rng = random.Random(seed)
        for entry in (a, b):
            entry.holder = RandomHolder(entry, rng, oracle.starts)
            entry.coordinator = replace_holder(entry)
        async with anyio.create_task_group() as group:
            for number in range(15):
                group.start_soon(submit_jobs, system, rng, oracle, number)
            group.start_soon(inject_faults, system, rng, oracle)
        assert max(oracle.starts.values()) == 1
        for entry in system.entry_by_id.values():
            await anyio.sleep(5)
            assert entry.coordinator.idle()
            assert entry.coordinator.dump()["tasks_by_team"] == {}

    run_scenario(scenario)
    oracle.check_refused_keys()
    assert oracle.codes[1000] > 20


def replace_holder(entry: FakeEntry):
    """Make the coordinator of an entry process use its current `holder`."""
    entry.coordinator._runner._holder = entry.holder  # noqa: SLF001
    entry.coordinator._views._holder = entry.holder  # noqa: SLF001
    return entry.coordinator


async def submit_jobs(system: FakeSystem, rng: random.Random, oracle: Oracle, number: int) -> None:
    while anyio.current_time() < DURATION_S:
        await anyio.sleep(rng.uniform(0.0, 1.5))
        entry = rng.choice(list(system.entry_by_id.values()))
        key = f"order-{number}-{anyio.current_time()}"
        if rng.random() < 0.5 and not entry.draining:
            key = entry.coordinator.issue_keys(1)[0]
        job = request(key, deadline_ms=1, valid_for_s=2_000)
        count = rng.randint(1, 4)
        tasks = [TaskSpec("cut", payload=[key, index]) for index in range(count)]
        for _ in range(rng.choice([1, 2, 4])):
            deadline_ms = rng.choice([100, 500, 2_000])
            attempt = JobRequest(key, "t", "hem", deadline_ms, tasks, job.valid_until)
            target = rng.choice(list(system.entry_by_id.values()))
            submitted_at = anyio.current_time()
            with anyio.move_on_after(rng.choice([0.05, 10.0, 10.0])):
                if rng.random() < 0.2:
                    oracle.check(attempt, await target.coordinator.cancel("t", key))
                    continue
                # The job of a disconnected submission continues, so only the last
                # answer of a key counts.
                oracle.last_code_by_key.pop(key, None)
                oracle.check(attempt, await target.coordinator.submit(attempt))
                assert anyio.current_time() - submitted_at <= deadline_ms / 1000 + 0.001


async def inject_faults(system: FakeSystem, rng: random.Random, oracle: Oracle) -> None:
    incarnation = 1
    while anyio.current_time() < DURATION_S:
        await anyio.sleep(rng.uniform(0.5, 3.0))
        system.home_delay_s = rng.choice([0.0, 0.005, 0.2])
        system.home_unreachable = rng.random() < 0.2
        system.isolated_ids = {rng.choice("ab")} if rng.random() < 0.3 else set()
        if rng.random() < 0.2:
            incarnation += 1
            entry = await system.start(rng.choice("ab"), incarnation)
            entry.holder = RandomHolder(entry, rng, oracle.starts)
            replace_holder(entry)
    system.home_unreachable, system.isolated_ids = False, set()
