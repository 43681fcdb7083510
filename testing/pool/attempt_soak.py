"""Callers that send jobs again while messages are held up and processes are killed and back."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence

import anyio
import attrs
from pool_cluster import Cluster, run_cluster
from pool_harness import make_job

from apricotpoint._pool.decisions.shares import BACKENDS_PER_CORE
from apricotpoint._wire.pool import PoolAnswer, PoolJob

DOMAINS = (("e1", "a"), ("e2", "a"), ("e3", "b"), ("e4", "b"))
BACKEND_IDS = tuple(f"{domain}{number}" for domain in "ab" for number in range(1, 5))
TRAFFIC_S, SETTLE_S = 30.0, 6.0
JOBS_PER_S = 8.0
# A caller sends a job again this long after an answer that leaves its outcome open.
RESEND_S = 1.3
MAX_ATTEMPTS = 3
FIRST_OUTCOME_UNKNOWN_CODE = 3000
# A run that is being stopped still counts; the order takes a message each way.
STOP_S = 0.01
CHECK_PERIOD_S = 0.005


@attrs.define(eq=False)
class AttemptSoak:
    """One run: `violations` has a line for each task that ran twice at a time."""

    seed: int
    cluster: Cluster
    random: random.Random
    violations: list[str] = attrs.Factory(list)
    answers: Counter[int] = attrs.Factory(Counter)
    faults: Counter[str] = attrs.Factory(Counter)
    _running_since: dict[str, float] = attrs.Factory(dict)

    def entry_ids(self) -> list[str]:
        """Return the ids of all entry processes, in the order in which they joined."""
        return list(self.cluster.entry_by_id)

    async def cause_faults(self, faults: Sequence[Callable[[], Awaitable[None]]]) -> None:
        """Cause a random fault each second on average; several overlap."""
        while anyio.current_time() < TRAFFIC_S:
            await anyio.sleep(self.random.expovariate(1.0))
            fault = self.random.choice(faults)
            self.faults[fault.__name__] += 1
            self.cluster.network.group.start_soon(fault)

    async def hold_up_messages(self) -> None:
        """Hold up what one process sends to another for a while, without losing it."""
        await self._hold_up([tuple(self.random.sample(self.entry_ids(), 2))])

    async def hold_up_process(self) -> None:
        """Hold up all that one process is sent, as if it read nothing."""
        receiver = self.random.choice(self.entry_ids())
        others = [*self.entry_ids(), *self.cluster.relay_by_id]
        await self._hold_up([(sender, receiver) for sender in others if sender != receiver])

    async def _hold_up(self, pairs: list[tuple[str, ...]]) -> None:
        delay_by_pair = self.cluster.network.delay_by_pair
        until = anyio.current_time() + self.random.uniform(0.3, 3.5)
        while (now := anyio.current_time()) < until:
            # What is sent later waits for less time; all of it arrives at the end.
            for sender, receiver in pairs:
                delay_by_pair[sender, receiver] = until - now
            await anyio.sleep(0.01)
        for sender, receiver in pairs:
            delay_by_pair.pop((sender, receiver), None)

    async def kill_entry(self) -> None:
        """Kill an entry process; it is back after a moment or some seconds."""
        entry_id = self.random.choice(self.entry_ids())
        if self.cluster.entry_by_id[entry_id].scope.cancel_called:
            return
        self.cluster.entry_by_id[entry_id].kill()
        await anyio.sleep(self.random.choice([0.05, 0.3, 2.0]))
        if entry_id in self.cluster.entry_by_id:
            await self.cluster.restart(entry_id)

    # Callers

    async def send_jobs(self) -> None:
        """Send jobs to random processes."""
        number = 0
        while anyio.current_time() < TRAFFIC_S:
            await anyio.sleep(self.random.expovariate(JOBS_PER_S))
            number += 1
            work_s, deadline_s = self.random.choice([(0.2, 1.5), (1.0, 1.5), (2.5, 8.0)])
            job = make_job(
                number,
                count=self.random.randint(1, 2),
                work_s=work_s,
                deadline_s=deadline_s,
                base_latency_s=4.0,
            )
            for index in range(job.count):
                for backend in self.cluster.backend_by_id.values():
                    backend.work_s_by_task[f"{job.job_id}.0.0.{index}"] = work_s
            self.cluster.network.group.start_soon(self.call_until_answered, job)

    async def call_until_answered(self, job: PoolJob) -> None:
        """Send a job, and again after no answer or one that leaves its outcome open."""
        for _ in range(MAX_ATTEMPTS):
            answer = await self.call(job)
            self.answers[0 if answer is None else answer.code] += 1
            if answer is not None and answer.code < FIRST_OUTCOME_UNKNOWN_CODE:
                return
            await anyio.sleep(RESEND_S)

    async def call(self, job: PoolJob) -> PoolAnswer | None:
        """Send one attempt; None without an answer by the deadline, or if the process is killed."""
        entry = self.cluster.entry_by_id[self.random.choice(self.entry_ids())]
        if entry.scope.cancel_called:
            return None
        answers: list[PoolAnswer] = []
        attempt = entry.service.new_attempt()

        async def submit() -> None:
            answers.append(await entry.service.submit(attrs.evolve(job, attempt=attempt)))

        self.cluster.network.start(entry.entry_id, submit)
        give_up_at = anyio.current_time() + job.deadline_s
        while not answers and not entry.scope.cancel_called:
            if anyio.current_time() >= give_up_at:
                # The end of the connection shows that the caller has left.
                entry.service.cancel(job.job_id, attempt)
                return None
            await anyio.sleep(CHECK_PERIOD_S)
        return answers[0] if answers else None

    async def check_runs(self) -> None:
        """Check all the time that no task runs twice for longer than a stop takes."""
        while True:
            now = anyio.current_time()
            backends_by_task: dict[str, list[str]] = {}
            for backend_id, backend in self.cluster.backend_by_id.items():
                if now < backend.lease_until:
                    for key in backend.active_run_by_key:
                        backends_by_task.setdefault(key.task, []).append(backend_id)
            twice = {task for task, backend_ids in backends_by_task.items() if len(backend_ids) > 1}
            self._running_since = {task: self._running_since.get(task, now) for task in twice}
            for task, since in self._running_since.items():
                if now - since > STOP_S:
                    self.violations.append(
                        f"seed {self.seed}, {now:.3f} s: two runs of task {task} at the same time, "
                        f"on {backends_by_task[task]}"
                    )
            await anyio.sleep(CHECK_PERIOD_S)


async def run_attempt_soak(seed: int) -> AttemptSoak:
    """Play one seed and return what happened; virtual time has to begin at zero."""
    cores = len(BACKEND_IDS) / 2 / BACKENDS_PER_CORE
    async with run_cluster(cores=cores, domains=DOMAINS, backend_ids=BACKEND_IDS) as cluster:
        cluster.network.sends_heartbeats = True
        soak = AttemptSoak(seed, cluster, random.Random(seed))
        faults = [soak.hold_up_messages, soak.hold_up_process, soak.kill_entry]
        cluster.network.group.start_soon(soak.cause_faults, faults)
        for part in (soak.check_runs, soak.send_jobs):
            cluster.network.group.start_soon(part)
        await anyio.sleep(TRAFFIC_S + SETTLE_S)
    return soak
