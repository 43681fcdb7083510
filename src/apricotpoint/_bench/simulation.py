"""Simulation of a deployment: production parts with simulated network, backends and callers."""

from __future__ import annotations

import random
from collections.abc import AsyncIterator

import anyio
import anyio.abc
import attrs

from apricotpoint._bench.fakebackend import FakeBackend
from apricotpoint._bench.network import Network
from apricotpoint._bench.record import JobRecord
from apricotpoint._bench.simulatedentry import SimulatedEntry
from apricotpoint._bench.trace import TracedJob
from apricotpoint._core.codes import ResultCode
from apricotpoint._dispatch.exchange import (
    BackendAddress,
    ResponseLostError,
    Start,
    StartResult,
)
from apricotpoint._settings.deployment import DeploymentSettings
from apricotpoint._wire.configuration import Configuration, ServiceConfig, TeamConfig
from apricotpoint._wire.jobs import Claim, ClaimReply, JobRequest

# One-way network latencies: caller to entry process, between failure domains, and within one.
CALLER_LATENCY_S = 0.001
DOMAIN_LATENCY_S = 0.0005
LOCAL_LATENCY_S = 0.0001
ANNOUNCE_PERIOD_S = 0.5
DEFAULT_DEADLINE_S = 30.0
UNLIMITED_QUOTA_TASKS = 100_000


@attrs.frozen(eq=False)
class OpenJob:
    """A submitted job whose caller waits for the answer."""

    request: JobRequest
    entry_id: str


@attrs.define(eq=False)
class RunningEntry:
    """A running entry process.

    Cancelling `scope` kills it; cancelling `call_scopes` drops the connections of its callers.
    A process that does not accept jobs is drained before it stops.
    """

    entry: SimulatedEntry
    scope: anyio.CancelScope
    accepts_jobs: bool = True
    call_scopes: set[anyio.CancelScope] = attrs.Factory(set)


class Simulation:
    """Runs a trace against a simulated deployment and records the answers and task starts.

    Fault scenarios change `isolated_domains`, the backend servers and the entry
    processes while a trace runs. `resubmit_share` is the share of jobs that are
    submitted a second time, `max_key_wait_s` the longest time between the issue
    of a key and its use. `run` may be called once.
    """

    def __init__(
        self,
        deployment: DeploymentSettings,
        *,
        policy: str,
        seed: int,
        resubmit_share: float = 0.0,
        deadline_s: float = DEFAULT_DEADLINE_S,
        max_key_wait_s: float = 0.0,
        quota_by_team: dict[str, int] | None = None,
    ) -> None:
        self.deployment = deployment
        self.resubmit_share = resubmit_share
        self.deadline_s = deadline_s
        self.max_key_wait_s = max_key_wait_s
        self.started_at = 0.0
        self.open_job_by_number: dict[int, OpenJob] = {}
        self.conflicting_answers = 0
        self.random = random.Random(seed)
        self.isolated_domains: set[str] = set()
        self.records: list[JobRecord] = []
        self.running_by_id: dict[str, RunningEntry] = {}
        self.stopped_entries: list[SimulatedEntry] = []
        self.domain_by_process = {
            f"{domain}-{index + 1}": domain
            for domain in deployment.failure_domains
            for index in range(len(deployment.entry_weights))
        }
        self.entry_ids = list(self.domain_by_process)
        self.network = Network(latency_s=self._latency_s, is_blocked=self.is_blocked)
        self.backend_by_id = self._make_backends()
        self.configuration = Configuration(
            version=1,
            service_by_name={
                deployment.service: ServiceConfig(
                    name=deployment.service, policy=policy, max_queue_s=deployment.max_queue_s
                )
            },
            team_by_name={
                team: TeamConfig(name=team, quota_tasks=quota)
                for team, quota in {
                    **dict.fromkeys(deployment.teams, UNLIMITED_QUOTA_TASKS),
                    **(quota_by_team or {}),
                }.items()
            },
        )
        self._incarnations = 0
        self._group: anyio.abc.TaskGroup | None = None

    def is_blocked(self, first: str, second: str) -> bool:
        """Return True if two processes are in different failure domains, one of them isolated."""
        return self._domains_blocked(self.domain_by_process[first], self.domain_by_process[second])

    async def run(self, trace: list[TracedJob], *, settle_s: float, limit_s: float) -> None:
        """Run a trace after `settle_s` seconds of announcements, for at most `limit_s` seconds."""
        with anyio.move_on_after(settle_s + limit_s):
            async with anyio.create_task_group() as group:
                self._group = group
                group.start_soon(self.network.run)
                await self.start_entries()
                for backend in self.backend_by_id.values():
                    group.start_soon(self._announce_periodically, backend)
                await anyio.sleep(settle_s)
                async with anyio.create_task_group() as callers:
                    self.started_at = started_at = anyio.current_time()
                    for number, job in enumerate(trace):
                        await anyio.sleep(max(started_at + job.at_s - anyio.current_time(), 0))
                        callers.start_soon(self._submit_job, job, number)
                group.cancel_scope.cancel()

    async def start_entries(self) -> None:
        """Start an entry process for each configured weight in every failure domain."""
        for domain in self.deployment.failure_domains:
            for index, weight in enumerate(self.deployment.entry_weights):
                await self.start_entry(f"{domain}-{index + 1}", domain, weight)

    async def start_entry(self, entry_id: str, domain: str, weight: float) -> None:
        """Start an entry process as a new incarnation; return when it accepts jobs."""
        assert self._group is not None
        self._incarnations += 1
        entry = SimulatedEntry(
            entry_id=entry_id,
            incarnation=self._incarnations,
            failure_domain=domain,
            weight=weight,
            network=self.network,
            entry_ids=lambda: self.entry_ids,
            generator=random.Random(self.random.random()),
            configuration=lambda: self.configuration,
            claim=self._claim_key,
            send_to_backend=lambda address, starts: self._send(entry_id, address, starts),
            fetch_result=lambda address, start_id: self._fetch_result(entry_id, address, start_id),
            cancel_on_backend=lambda address, ids: self._cancel(entry_id, address, ids),
        )
        running = RunningEntry(entry=entry, scope=anyio.CancelScope())
        self.running_by_id[entry_id] = running
        await self._group.start(self._run_entry, running)

    def kill_entry(self, entry_id: str) -> None:
        """Stop an entry process at once; its waiting callers get no answer."""
        running = self.running_by_id.pop(entry_id)
        self.network.remove(entry_id)
        running.scope.cancel()
        for scope in running.call_scopes:
            scope.cancel()

    async def stop_entry(self, entry_id: str) -> None:
        """Drain an entry process, wait until it is idle and stop it."""
        running = self.running_by_id[entry_id]
        running.entry.start_draining()
        running.accepts_jobs = False
        await anyio.sleep(6)
        # There is no event for being idle, and stops are rare, so this polls.
        while not (running.entry.coordinator.idle() and running.entry.holder.idle()):  # noqa: ASYNC110
            await anyio.sleep(0.05)
        self.kill_entry(entry_id)

    def count_messages_between_entries(self) -> int:
        """Return the number of messages sent between entry processes so far."""
        return sum(self.network.count_by_type.values())

    def counter_total(self, prefix: str) -> int:
        """Return the sum over all entry processes of the counters named `prefix...`."""
        entries = [running.entry for running in self.running_by_id.values()]
        return sum(
            int(value)
            for entry in [*entries, *self.stopped_entries]
            for name, value in entry.counters.snapshot().items()
            if name.startswith(prefix)
        )

    async def _run_entry(
        self,
        running: RunningEntry,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        with running.scope:
            async with running.entry:
                task_status.started()
                await anyio.sleep_forever()
        self.stopped_entries.append(running.entry)

    async def _submit_job(self, job: TracedJob, number: int) -> None:
        record = JobRecord(
            job=job,
            number=number,
            submitted_at=anyio.current_time(),
            deadline_s=self.deadline_s,
        )
        self.records.append(record)
        running = self._choose_entry()
        key = running.entry.coordinator.issue_keys(1)[0]
        if self.max_key_wait_s:
            # A caller may use an issued key later and at another entry process.
            await anyio.sleep(self.random.uniform(0.0, self.max_key_wait_s))
            running = self._choose_entry()
            record.submitted_at = anyio.current_time()
        await anyio.sleep(CALLER_LATENCY_S)
        tasks = [
            attrs.evolve(task.spec, payload={"run_s": task.run_s, "id": f"{number}.{index}"})
            for index, task in enumerate(job.tasks)
        ]
        request = JobRequest(
            key=key,
            team=job.team,
            service=self.deployment.service,
            deadline_ms=int(record.deadline_s * 1000),
            tasks=tasks,
        )
        entry_id = running.entry.entry_id
        self.open_job_by_number[number] = OpenJob(request=request, entry_id=entry_id)
        async with anyio.create_task_group() as group:
            if self.random.random() < self.resubmit_share:
                group.start_soon(self._resubmit, request, record)
            # A killed entry process loses the connections of its callers.
            if self.running_by_id.get(entry_id) is running:
                with anyio.CancelScope() as scope:
                    running.call_scopes.add(scope)
                    record.answer = await running.entry.coordinator.submit(request)
                running.call_scopes.discard(scope)
                record.lost = scope.cancelled_caught
        del self.open_job_by_number[number]
        await anyio.sleep(CALLER_LATENCY_S)
        if record.answer is None:
            return
        record.answered_at = anyio.current_time()
        if record.answer.code == ResultCode.COMPLETE:
            expected = [f"{number}.{index}" for index in range(len(job.tasks))]
            record.whole = record.answer.results == expected

    async def cancel_job(self, number: int) -> None:
        """Cancel a job at the entry process that it was submitted to; ignore finished jobs."""
        job = self.open_job_by_number.get(number)
        running = self.running_by_id.get(job.entry_id) if job else None
        if job is not None and running is not None:
            await running.entry.coordinator.cancel(job.request.team, job.request.key)

    async def _resubmit(self, request: JobRequest, record: JobRecord) -> None:
        await anyio.sleep(self.random.uniform(0.0, 0.5))
        running = self._choose_entry()
        answer = await running.entry.coordinator.submit(request)
        if answer.code != ResultCode.COMPLETE:
            return
        expected = [f"{record.number}.{index}" for index in range(len(request.tasks))]
        if answer.results != expected:
            self.conflicting_answers += 1

    def _choose_entry(self) -> RunningEntry:
        running = [item for item in self.running_by_id.values() if item.accepts_jobs]
        return self.random.choice(running)

    async def _announce_periodically(self, backend: FakeBackend) -> None:
        await anyio.sleep(self.random.uniform(0, ANNOUNCE_PERIOD_S))
        while True:
            await self._announce_once(backend)
            await anyio.sleep(ANNOUNCE_PERIOD_S)

    async def _announce_once(self, backend: FakeBackend) -> None:
        if backend.dead:
            return
        reachable = [
            running
            for entry_id, running in self.running_by_id.items()
            if not self._domains_blocked(backend.failure_domain, self.domain_by_process[entry_id])
        ]
        if not reachable:
            return
        running = self.random.choice(reachable)
        await anyio.sleep(LOCAL_LATENCY_S)
        reply = running.entry.holder.handle_announcement(backend.announcement())
        await anyio.sleep(LOCAL_LATENCY_S)
        backend.apply(reply)

    async def _send(
        self, entry_id: str, address: BackendAddress, starts: list[Start]
    ) -> AsyncIterator[StartResult]:
        backend = self.backend_by_id[address.backend_id]
        latency_s = self._backend_latency_s(entry_id, backend)
        results = backend.serve(
            starts, latency_s=latency_s, is_blocked=lambda: self._backend_blocked(entry_id, backend)
        )
        async for result in results:
            yield result

    async def _fetch_result(
        self, entry_id: str, address: BackendAddress, start_id: str
    ) -> StartResult:
        backend = self.backend_by_id[address.backend_id]
        await anyio.sleep(2 * self._backend_latency_s(entry_id, backend))
        if backend.dead or self._backend_blocked(entry_id, backend):
            raise ResponseLostError(f"{backend.backend_id} is unreachable")
        return backend.fetch_result(start_id)

    async def _cancel(self, entry_id: str, address: BackendAddress, start_ids: list[str]) -> None:
        backend = self.backend_by_id[address.backend_id]
        await anyio.sleep(self._backend_latency_s(entry_id, backend))
        if not backend.dead and not self._backend_blocked(entry_id, backend):
            backend.cancel(start_ids)

    async def _claim_key(self, claim: Claim) -> ClaimReply:
        await anyio.sleep(2 * DOMAIN_LATENCY_S)
        return ClaimReply(code=int(ResultCode.ACCEPTED))

    def _make_backends(self) -> dict[str, FakeBackend]:
        size = self.deployment.workers
        domains = self.deployment.failure_domains
        backends = {}
        for index, speed in enumerate(size.speeds()):
            rack = index // size.per_rack
            backend = FakeBackend(
                backend_id=f"w-{index + 1:02}",
                service=self.deployment.service,
                failure_domain=domains[rack % len(domains)],
                rack=f"rack-{rack + 1}",
                speed=speed,
                slots=size.slots,
                connections=size.connections,
                cores=size.cores,
                memory_mb=size.memory_mb,
            )
            backends[backend.backend_id] = backend
            self.domain_by_process[backend.backend_id] = backend.failure_domain
        return backends

    def _latency_s(self, first: str, second: str) -> float:
        same = self.domain_by_process[first] == self.domain_by_process[second]
        return LOCAL_LATENCY_S if same else DOMAIN_LATENCY_S

    def _backend_latency_s(self, entry_id: str, backend: FakeBackend) -> float:
        return self._latency_s(entry_id, backend.backend_id)

    def _backend_blocked(self, entry_id: str, backend: FakeBackend) -> bool:
        return self.is_blocked(entry_id, backend.backend_id)

    def _domains_blocked(self, first: str, second: str) -> bool:
        return first != second and (
            first in self.isolated_domains or second in self.isolated_domains
        )
