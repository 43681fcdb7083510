"""Costs of jobs, the job table, counters and state dumps."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from functools import partial
from random import Random

import anyio
import attrs
import msgspec

from apricotpoint._bench.slopescodec import decode_from_envelope, encode_in_envelope
from apricotpoint._bench.slopesfakes import (
    DOMAIN,
    INCARNATION,
    SERVICE,
    MeasuredEntry,
    load_report,
    make_entry_id,
)
from apricotpoint._bench.slopesfit import (
    HELD_BACKENDS,
    WALL_CLOCK_S,
    ManualTimers,
    Series,
    min_cpu_us,
    min_cpu_us_async,
    min_memory_bytes,
    run_async,
    select_sizes,
)
from apricotpoint._bench.slopestasks import make_batch
from apricotpoint._core.counters import Counters
from apricotpoint._core.timers import TimerService
from apricotpoint._jobs.coordinator import Coordinator
from apricotpoint._jobs.job import Job
from apricotpoint._jobs.table import JobTable, KeyRecord
from apricotpoint._link.transport import PeerUnreachable, Sender
from apricotpoint._operator.dump import StateDump
from apricotpoint._wire.jobs import Answer, Claim, ClaimReply, JobRequest
from apricotpoint._wire.load import LoadReport
from apricotpoint._wire.tasks import (
    BatchResult,
    OutcomeStatus,
    RunBatch,
    TaskOutcome,
    TaskSpec,
)

JOB_SIZES = (1, 10, 110)


def measure_jobs(*, smallest: bool) -> None:
    """Measure a job within one entry process, from request to answer, without HTTP."""
    run_async(lambda: _measure_jobs(smallest=smallest))
    messages = Series("batch.bytes_of_request_and_result", "tasks of the batch", "B")
    encoding = Series("batch.encode_and_decode_both", "tasks of the batch", "us")
    for tasks in select_sizes(JOB_SIZES, smallest=smallest):
        request = make_batch(1, tasks, {"length_mm": 1200, "fabric": "linen"})
        result = BatchResult(
            1,
            [
                TaskOutcome(
                    task.start_id,
                    OutcomeStatus.DONE,
                    value={"price": 125, "minutes": 14},
                    backend_id="worker-00001",
                    run_s=0.1,
                )
                for task in request.tasks
            ],
        )
        messages.add(tasks, len(encode_in_envelope(request)) + len(encode_in_envelope(result)))

        def action(request: RunBatch = request, result: BatchResult = result) -> None:
            decode_from_envelope(encode_in_envelope(request))
            decode_from_envelope(encode_in_envelope(result))

        encoding.add(tasks, min_cpu_us(action, calls=max(20, 1000 // tasks)))
    messages.fit()
    encoding.fit()


async def _measure_jobs(*, smallest: bool) -> None:
    size = Series("job.in_process_at_45_backends", "tasks of the job", "us")
    for tasks in select_sizes(JOB_SIZES, smallest=smallest):
        size.add(tasks, await _job_cpu_us(tasks=tasks, entries=1))
    size.fit()
    entries = Series("job.in_process_of_10_local", "entry processes", "us")
    for count in select_sizes((6, 18, 54, 162), smallest=smallest):
        entries.add(count, await _job_cpu_us(tasks=10, entries=count))
    entries.fit()


async def _job_cpu_us(*, tasks: int, entries: int) -> float:
    """Return the CPU time in microseconds of a job that runs on local backend servers.

    The load reports of the other entry processes show no free slot.
    """
    jobs = max(8, 400 // tasks)
    peers = [make_entry_id(number) for number in range(1, entries)]
    async with (
        TimerService() as timers,
        MeasuredEntry(timers, backends=45, peers=peers) as entry,
    ):
        coordinator = Coordinator(
            entry_id=entry.name.entry_id,
            incarnation=INCARNATION,
            failure_domain=DOMAIN,
            transport=entry.transport,
            timers=timers,
            counters=entry.counters,
            random=Random(1),
            holder=entry.holder,
            cluster=entry.cluster,
            estimator=entry.estimator,
            claim=_claim_unreachable,
            configuration=lambda: entry.configuration,
            configuration_current=lambda: True,
            caller_address="10.20.30.40:8080",
        )
        async with coordinator:

            def refresh_leases_and_reports() -> None:
                entry.announce(entry.announcements())
                receive = entry.transport.handlers_by_type[LoadReport]
                for number, peer in enumerate(peers):
                    report = load_report(1000 * (number + 1), 45, teams=26)
                    busy = [attrs.evolve(load, free_slots=0) for load in report.backends]
                    report = attrs.evolve(
                        report, backends=busy, queued_s_by_service={SERVICE: 10.0}
                    )
                    receive(Sender(peer, INCARNATION), report)

            times = []
            for _ in range(3):
                # Leases and load reports stay valid for longer than one repetition takes.
                refresh_leases_and_reports()
                keys = iter(coordinator.issue_keys(jobs))
                requests = [
                    JobRequest(
                        key=key,
                        team="team-001",
                        service=SERVICE,
                        deadline_ms=10_000,
                        tasks=[TaskSpec("hem", {"length_mm": index}) for index in range(tasks)],
                    )
                    for key in keys
                ]

                async def action(requests: list[JobRequest] = requests) -> None:
                    for first in range(0, jobs, 4):
                        async with anyio.create_task_group() as group:
                            for request in requests[first : first + 4]:
                                group.start_soon(_submit, coordinator, request)

                times.append(await _cpu_us_of_one_call(action, units=jobs))
            return min(times)


async def _cpu_us_of_one_call(action: Callable[[], Awaitable[object]], *, units: int) -> float:
    return await min_cpu_us_async(action, units=units, repeats=1)


async def _submit(coordinator: Coordinator, request: JobRequest) -> None:
    answer = await coordinator.submit(request)
    if answer.code != 1000:
        raise RuntimeError(f"measured job {request.key} ended with {answer.code}: {answer.message}")


async def _claim_unreachable(claim: Claim) -> ClaimReply:
    raise PeerUnreachable("the measurement has no key registry")


def measure_table(*, smallest: bool) -> None:
    """Measure the memory of finished and of open jobs."""
    per_job = Series("job_table.memory", "finished jobs of one task", "B")
    for jobs in select_sizes((1000, 4000, 16_000), smallest=smallest):
        per_job.add(jobs, min_memory_bytes(partial(_make_job_table, jobs, 20)))
    per_job.fit()
    per_byte = Series("job_table.memory_of_1000", "bytes of each answer", "B")
    for size in select_sizes((20, 200, 2000), smallest=smallest):
        per_byte.add(size, min_memory_bytes(partial(_make_job_table, 1000, size)))
    per_byte.fit()
    open_jobs = Series("open_job.memory", "tasks of the job", "B")
    for tasks in select_sizes(JOB_SIZES, smallest=smallest):
        count = 200
        size = min_memory_bytes(partial(_make_jobs, count, tasks))
        open_jobs.add(tasks, size / count)
    open_jobs.fit()


def _make_job_table(jobs: int, answer_bytes: int) -> JobTable:
    table = JobTable(max_answer_bytes=1 << 30)
    for number in range(jobs):
        key = f"~{make_entry_id(1)}.{INCARNATION:x}.1800000600.{number}"
        results = ["x" * answer_bytes]
        record = KeyRecord(
            team="team-001",
            key=key,
            fingerprint=f"{number:032x}",
            expires_at=WALL_CLOCK_S + 600 + number % 60,
            answer=Answer(key=key, code=1000, results=results),
            code=1000,
            claimed=True,
        )
        table.add(record)
        table.retain_answer(record, answer_bytes + 200)
    return table


def _make_jobs(count: int, tasks: int) -> list[Job]:
    return [_make_job(number, tasks) for number in range(count)]


def _make_job(number: int, tasks: int) -> Job:
    request = JobRequest(
        key=f"~{make_entry_id(1)}.{INCARNATION:x}.1800000600.{number}",
        team="team-001",
        service=SERVICE,
        deadline_ms=1000,
        tasks=[TaskSpec("hem", {"length_mm": index}) for index in range(tasks)],
    )
    return Job.from_request(
        request,
        estimates_s=[0.1] * tasks,
        number=number,
        incarnation=INCARNATION,
        now=0.0,
        deadline_at=1.0,
    )


def measure_counters(*, smallest: bool) -> None:
    """Measure the memory of counters and the CPU time of snapshots and state dumps."""
    memory = Series("counters.memory", "histograms", "B")
    snapshot = Series("counters.snapshot", "histograms", "us")
    for count in select_sizes((1, 2, 4, 8), smallest=smallest):
        memory.add(count, min_memory_bytes(partial(_make_histograms, count)))
        counters = _make_histograms(count)
        snapshot.add(count, min_cpu_us(counters.snapshot, calls=2))
    memory.fit()
    snapshot.fit()
    named = Series("counters.memory_of_names", "counters without histogram", "B")
    for count in select_sizes((10, 50, 200), smallest=smallest):
        named.add(count, min_memory_bytes(partial(_make_counters, count)))
    named.fit()
    run_async(lambda: _measure_dump(smallest=smallest))


def _make_histograms(histograms: int) -> Counters:
    counters = Counters()
    for number in range(histograms):
        for value in range(100):
            counters.record(f"histogram-{number}", 0.001 * value)
    return counters


def _make_counters(count: int) -> Counters:
    counters = Counters()
    for number in range(count):
        counters.add(f"holder.announcements.{number}", 1000)
    return counters


async def _measure_dump(*, smallest: bool) -> None:
    series = Series("state_dump.build", "backend servers held", "us")
    size = Series("state_dump.bytes", "backend servers held", "B")
    for held in select_sizes(HELD_BACKENDS, smallest=smallest):
        timers = ManualTimers()
        async with MeasuredEntry(timers, backends=held) as entry:
            dump = StateDump(
                process_id=entry.name.entry_id,
                timers=timers,
                section_by_name={
                    "holder": entry.holder.dump,
                    "cluster": partial(entry.cluster.live_entries, 10.0),
                    "counters": entry.counters.snapshot,
                },
            )
            series.add(held, min_cpu_us(dump.build, calls=2))
            size.add(held, len(msgspec.json.encode(dump.build())))
    series.fit()
    size.fit()
