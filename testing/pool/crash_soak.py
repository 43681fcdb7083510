"""Random faults over several entry processes, with what must hold checked as they happen."""

from __future__ import annotations

import random
from collections import Counter, defaultdict
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import anyio
import attrs
from pool_cluster import DOMAINS, Cluster, run_cluster
from pool_harness import BACKEND_ROOM, DOWN_S, TASK_ROOM, FakeBackend, make_job

from apricotpoint._core.codes import ResultCode
from apricotpoint._pool.decisions.shares import BACKENDS_PER_CORE
from apricotpoint._pool.remotesubmission import REPLY_MARGIN_S
from apricotpoint._pool.runs.backendclient import EndedRun, RunKey, RunOutcome
from apricotpoint._wire.pool import PoolAnswer, PoolJob, Room

BACKEND_IDS = tuple(f"{domain}{number}" for domain in "ab" for number in range(1, 7))
TRAFFIC_S, FAULTS_UNTIL_S, SETTLE_S = 40.0, 30.0, 25.0
DEADLY_JOBS = 3
# A caller sends a job again this long after an answer that leaves its outcome open.
RESEND_S = 1.3
# The rules allow two more starts after three crashes; the third of them breaks the rule.
MAX_DEADLY_STARTS = 5
# A process or backend server is in touch this long after it was cut off.
CONTACT_TIMEOUT_S = 3.0
# A room that has shrunk binds after this time: contact time-out and one announcement.
ROOM_BINDS_AFTER_S = CONTACT_TIMEOUT_S + 1.5
# Each seed has some of the faults only, so that all promises are also checked without the faults
# that excuse a broken one.
FAULTS_PER_SEED = 5
CHECK_PERIOD_S = 0.005
# Refusals that state that no task of the job has run.
NOT_RUN = range(2000, 3000)


@attrs.define(eq=False)
class CrashSoak:
    """One run: `violations` has a line for each promise that was broken.

    Jobs below `DEADLY_JOBS` have a first task that crashes each backend server that starts it.
    """

    seed: int
    cluster: Cluster
    random: random.Random
    violations: list[str] = attrs.Factory(list)
    answers: Counter[int] = attrs.Factory(Counter)
    faults: Counter[str] = attrs.Factory(Counter)
    starts_by_task: Counter[str] = attrs.Factory(Counter)
    done: set[str] = attrs.Factory(set)
    rooms_by_id: dict[str, list[tuple[float, Room]]] = attrs.Factory(
        lambda: defaultdict(lambda: [(0.0, BACKEND_ROOM)])
    )
    lives: Counter[str] = attrs.Factory(Counter)
    crashes_by_task: Counter[str] = attrs.Factory(Counter)
    work_s_by_task: dict[str, float] = attrs.Factory(dict)
    out_of_touch: Counter[str] = attrs.Factory(Counter)
    rooms_checked: int = 0

    @property
    def backends(self) -> dict[str, FakeBackend]:
        """Backend servers by id, ended incarnations included."""
        return self.cluster.backend_by_id

    def report(self, text: str) -> None:
        """Record a broken promise with its time."""
        self.violations.append(f"seed {self.seed}, {anyio.current_time():.3f} s: {text}")

    def watch(self, backend_id: str) -> None:
        """Record the starts, ends and crashes of a backend server."""
        backend = self.backends[backend_id]
        backend.deadly_tasks = {f"{number:016x}.0.0.0" for number in range(DEADLY_JOBS)}
        backend.work_s_by_task = self.work_s_by_task
        backend.guards_room = self.random.random() < 0.5
        crash, start_run, end = backend.crash, backend._run, backend._end

        def on_crash(cause: RunKey) -> None:
            self.count_start(cause.task)
            self.count_crash(backend)
            crash(cause)
            backend.group.start_soon(self.replace, backend_id)

        async def on_start(key: RunKey, seconds: float) -> None:
            self.count_start(key.task)
            self.check_room(backend_id)
            await start_run(key, seconds)

        def on_end(key: RunKey, outcome: RunOutcome) -> None:
            end(key, outcome)
            if isinstance(backend.ended[-1], EndedRun) and outcome is RunOutcome.DONE:
                self.done.add(key.task)

        backend.crash = on_crash  # type: ignore[method-assign]
        backend._run = on_start  # type: ignore[method-assign]
        backend._end = on_end  # type: ignore[method-assign]

    def count_start(self, task: str) -> None:
        """Count a start, and check how often a deadly task has started."""
        self.starts_by_task[task] += 1
        if int(task[:16], 16) < DEADLY_JOBS and self.starts_by_task[task] > MAX_DEADLY_STARTS:
            crashable = task.endswith(".0.0.0")
            if crashable:
                self.report(f"task {task} has crashed {self.starts_by_task[task]} backend servers")

    def count_crash(self, backend: FakeBackend) -> None:
        """Count a crash for each task that runs on the backend server."""
        self.crashes_by_task.update({key.task for key in backend.active_run_by_key})

    def check_room(self, backend_id: str) -> None:
        """Check the resources in use after a start against the room that binds by now.

        Who has just been cut off cannot know that a room has shrunk, which the rules allow for.
        """
        if self.out_of_touch[backend_id] or self.out_of_touch["processes"]:
            return
        self.rooms_checked += 1
        now = anyio.current_time()
        backend, rooms = self.backends[backend_id], self.rooms_by_id[backend_id]
        binding = [
            room
            for index, (_, room) in enumerate(rooms)
            if index + 1 == len(rooms) or rooms[index + 1][0] > now - ROOM_BINDS_AFTER_S
        ]
        used = TASK_ROOM.cpu * len(backend.active_run_by_key)
        if used > max(room.cpu for room in binding):
            self.report(f"{used} of {[room.cpu for room in binding]} in use at {backend_id}")

    async def replace(self, backend_id: str) -> None:
        """Start another incarnation at the address of a backend server that has crashed."""
        self.cluster.unannounced.add(backend_id)
        await anyio.sleep(DOWN_S * self.random.uniform(0.5, 1.5))
        base = backend_id[:2]
        self.lives[base] += 1
        new_id = f"{base}.{self.lives[base]}"
        old = self.backends[backend_id]
        old.is_down, old.is_other_incarnation = False, True
        self.backends[new_id] = new = FakeBackend(work_s=old.work_s)
        new.group, new.unreachable = old.group, old.unreachable
        new.born_ms = int(anyio.current_time() * 1000)
        self.watch(new_id)

    def current_ids(self) -> list[str]:
        """Return the ids of the backend servers that run."""
        return sorted(set(self.backends) - self.cluster.unannounced)

    # Faults

    async def cause_faults(self) -> None:
        """Cause a random fault each half second on average."""
        faults: list[Callable[[], object]] = [
            self.kill_entry, self.partition, self.isolate_entry, self.cut_backend,
            self.cut_and_crash_backend, self.crash_backend, self.change_room, self.restart_control,
        ]  # fmt: skip
        faults = self.random.sample(faults, FAULTS_PER_SEED)
        while anyio.current_time() < FAULTS_UNTIL_S:
            await anyio.sleep(self.random.expovariate(2.0))
            fault = self.random.choice(faults)
            self.faults[fault.__name__] += 1
            self.cluster.network.group.start_soon(fault)

    @asynccontextmanager
    async def lose_touch(self, who: str) -> AsyncIterator[None]:
        """Note that `who` is cut off, and stays out of touch for a while afterwards."""
        self.out_of_touch[who] += 1
        yield
        self.cluster.network.group.start_soon(self._regain_touch, who)

    async def _regain_touch(self, who: str) -> None:
        await anyio.sleep(CONTACT_TIMEOUT_S)
        self.out_of_touch[who] -= 1

    async def kill_entry(self) -> None:
        """Kill an entry process and start it again."""
        entry_id = self.random.choice([key for key, _ in DOMAINS])
        if self.cluster.entry_by_id[entry_id].scope.cancel_called:
            return
        self.cluster.entry_by_id[entry_id].kill()
        await anyio.sleep(self.random.uniform(0.3, 3.0))
        await self.cluster.restart(entry_id)

    async def partition(self) -> None:
        """Partition a failure domain."""
        if self.cluster.network.partitioned_domain is None:
            async with self.lose_touch("processes"):
                self.cluster.partition("b")
                await anyio.sleep(self.random.uniform(0.3, 6.0))
                self.cluster.heal()

    async def isolate_entry(self) -> None:
        """Cut an entry process off from all processes, but not from backend servers."""
        if not self.cluster.network.dropped_pairs:
            async with self.lose_touch("processes"):
                self.cluster.network.isolate(self.random.choice([key for key, _ in DOMAINS]))
                await anyio.sleep(self.random.uniform(0.3, 4.0))
                self.cluster.heal()

    async def cut_backend(self) -> None:
        """Cut a backend server off; its runs go on until their lease ends."""
        backend_id = self.random.choice(self.current_ids())
        backend = self.backends[backend_id]
        async with self.lose_touch(backend_id):
            backend.unreachable = True
            await anyio.sleep(self.random.uniform(0.1, 5.0))
            backend.unreachable = False

    async def cut_and_crash_backend(self) -> None:
        """Cut a backend server off, and let it crash behind the cut."""
        backend_id = self.random.choice(self.current_ids())
        backend = self.backends[backend_id]
        backend.unreachable = True
        await anyio.sleep(self.random.uniform(0.1, 1.0))
        self.end_process(backend_id)
        await anyio.sleep(self.random.uniform(1.0, 4.0))
        backend.unreachable = False

    async def crash_backend(self) -> None:
        """Let a backend server crash without any task that is to blame."""
        self.end_process(self.random.choice(self.current_ids()))

    def end_process(self, backend_id: str) -> None:
        """End the process of a backend server, which comes back as another incarnation."""
        backend = self.backends[backend_id]
        if not backend.is_down and not backend.is_other_incarnation:
            self.count_crash(backend)
            backend.active_run_by_key.clear()
            backend.ended.clear()
            backend.is_down = True
            backend.group.start_soon(self.replace, backend_id)

    async def change_room(self) -> None:
        """Let the room of a backend server shrink or grow again."""
        backend_id = self.random.choice(self.current_ids())
        room = self.random.choice([BACKEND_ROOM, Room(TASK_ROOM.cpu, BACKEND_ROOM.memory_mb)])
        self.backends[backend_id].room = room
        self.rooms_by_id[backend_id].append((anyio.current_time(), room))

    async def restart_control(self) -> None:
        """Let a control process lose what it knows of lost runs and of the entry processes."""
        relay = self.cluster.relay_by_id[self.random.choice(sorted(self.cluster.relay_by_id))]
        relay._crashes._retain(lambda *_: False)
        relay._entry_by_id.clear()
        async with self.lose_touch("processes"):
            pass

    # Callers

    async def send_jobs(self) -> None:
        """Send sound jobs, and the deadly ones until their outcome is known."""
        group = self.cluster.network.group
        for number in range(DEADLY_JOBS):
            group.start_soon(self.call_again, make_job(number, count=2, deadline_s=4.0))
        number = DEADLY_JOBS
        while anyio.current_time() < TRAFFIC_S:
            await anyio.sleep(self.random.expovariate(12.0))
            number += 1
            count, work_s = self.random.randint(1, 4), self.random.choice([0.1, 0.2, 0.6])
            deadline_s = self.random.choice([1.5, 4.0])
            job = make_job(number, count=count, work_s=work_s, deadline_s=deadline_s)
            names = [f"{job.job_id}.0.0.{index}" for index in range(count)]
            self.work_s_by_task.update(dict.fromkeys(names, work_s))
            group.start_soon(self.call, job)

    async def call_again(self, job: PoolJob) -> None:
        """Send a job until its outcome is known, to any process."""
        await anyio.sleep(self.random.uniform(1.0, 8.0))
        answer = None
        while answer is None or answer.code not in (ResultCode.COMPLETE, ResultCode.TASKS_FAILED):
            answer = await self.call(job)
            await anyio.sleep(RESEND_S)
            if anyio.current_time() > TRAFFIC_S + SETTLE_S:
                return

    async def call(self, job: PoolJob) -> PoolAnswer | None:
        """Send a job to a random process; None if that process is killed before its answer."""
        entry = self.cluster.entry_by_id[self.random.choice([key for key, _ in DOMAINS])]
        sent_at, answers, over = anyio.current_time(), [], anyio.Event()

        async def submit() -> None:
            answers.append(await entry.service.submit(job))
            over.set()

        if entry.scope.cancel_called:
            return None
        self.cluster.network.start(entry.entry_id, submit)
        while not over.is_set() and not entry.scope.cancel_called:  # noqa: ASYNC110
            await anyio.sleep(CHECK_PERIOD_S)
        if not answers:
            return None
        self.check_answer(job, answers[0], anyio.current_time() - sent_at)
        return answers[0]

    def check_answer(self, job: PoolJob, answer: PoolAnswer, seconds: float) -> None:
        """Check that an answer came in time and says what has happened."""
        self.answers[answer.code] += 1
        if seconds > job.deadline_s + 2 * REPLY_MARGIN_S:
            self.report(f"job {job.job_id} was answered after {seconds:.3f} s: {answer}")
        tasks = {f"{job.job_id}.0.0.{index}" for index in range(job.count)}
        if answer.code == ResultCode.COMPLETE and not tasks <= self.done:
            self.report(f"job {job.job_id} is complete without {tasks - self.done}")
        is_deadly = int(job.job_id, 16) < DEADLY_JOBS
        # The rules allow to give up a task under which two backend servers have crashed.
        most_crashes = max(self.crashes_by_task[task] for task in tasks)
        if answer.code == ResultCode.TASKS_FAILED and not is_deadly and most_crashes < 2:
            self.report(f"sound job {job.job_id} was given up: {answer.reason}")
        if answer.code in NOT_RUN and not is_deadly:
            self.cluster.network.group.start_soon(self.check_not_run, tasks, answer)

    async def check_not_run(self, tasks: set[str], answer: PoolAnswer) -> None:
        """Check that no task of a refused job has started, nor does so later."""
        await anyio.sleep(3.0)
        started = tasks & self.starts_by_task.keys()
        if started:
            self.report(f"{started} have started although the job was refused: {answer}")

    async def check_runs(self) -> None:
        """Check all the time that no task runs twice at the same time."""
        while True:
            now = anyio.current_time()
            running = Counter(
                key.task
                for backend in self.backends.values()
                if now < backend.lease_until and not backend.is_down
                for key in backend.active_run_by_key
            )
            for task, count in running.items():
                if count > 1:
                    self.report(f"{count} runs of task {task} at the same time")
            await anyio.sleep(CHECK_PERIOD_S)


async def run_crash_soak(seed: int) -> CrashSoak:
    """Play one seed and return what happened; virtual time has to begin at zero."""
    cores = len(BACKEND_IDS) / BACKENDS_PER_CORE
    async with run_cluster(cores=cores, backend_ids=BACKEND_IDS) as cluster:
        soak = CrashSoak(seed, cluster, random.Random(seed))
        for backend_id in BACKEND_IDS:
            soak.watch(backend_id)
        group = cluster.network.group
        for part in (soak.check_runs, soak.cause_faults, soak.send_jobs):
            group.start_soon(part)
        await anyio.sleep(TRAFFIC_S + SETTLE_S)
    return soak
