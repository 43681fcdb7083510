"""Slopes of an entry process: load reports, announcements, tasks, jobs and state."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from functools import partial
from random import Random

import anyio
import attrs
import msgspec

from apricotpoint._bench.slopesfakes import (
    DOMAIN,
    ENDLESS,
    INCARNATION,
    SERVICE,
    SLOTS,
    EntryParts,
    backend_load,
    entry_name,
    load_report,
)
from apricotpoint._bench.slopesfit import (
    WALL,
    Series,
    StillTimers,
    chosen,
    least_bytes,
    least_us,
    least_us_async,
    least_us_fresh,
)
from apricotpoint._bench.virtualtime import run_virtual
from apricotpoint._core.counters import Counters
from apricotpoint._core.timers import TimerService
from apricotpoint._dispatch.queue import Batch, FairQueue, HeldTask
from apricotpoint._jobs.coordinator import Coordinator
from apricotpoint._jobs.job import Job
from apricotpoint._jobs.placement import HolderView, Lane, TaskView, predicted
from apricotpoint._jobs.table import Entry, JobTable
from apricotpoint._jobs.views import Views
from apricotpoint._link.transport import PeerUnreachable, Sender
from apricotpoint._operator.dump import StateDump
from apricotpoint._wire import codec
from apricotpoint._wire.announce import Announced
from apricotpoint._wire.jobs import Answer, Claim, ClaimReply, JobRequest
from apricotpoint._wire.load import LoadReport
from apricotpoint._wire.tasks import (
    BatchResult,
    BatchTask,
    OutcomeStatus,
    RunBatch,
    TaskOutcome,
    TaskSpec,
)

KEY = b"key of the measured processes"
# Backend servers of one entry process today (24 over 6) and for larger cells.
HELD = (4, 12, 45, 180, 720)
JOB_SIZES = (1, 10, 110)
_MAC_BYTES = 16
# Seconds of virtual time over which load reports are sampled.
_SAMPLED_S = 15.0
_SAMPLE_S = 0.05


def encoded(message: object, *, sender: str = entry_name(1)) -> bytes:
    """Return a message in its envelope, as a link sends it."""
    return codec.encode(
        codec.Envelope(
            sender=sender,
            incarnation=INCARNATION,
            message=message,
            acknowledged=100_000,
            peer_incarnation=INCARNATION,
            age_s=0.001,
        ),
        KEY,
    )


def decoded(data: bytes) -> object:
    """Return the message of an envelope, as a link receives it."""
    return codec.decode(data, [KEY]).message


def _run(measure: Callable[[], Awaitable[None]]) -> None:
    anyio.run(measure)


def measure_reports(*, smallest: bool) -> None:
    """Load reports against the backend servers held, the teams and the entry processes."""
    sizes = chosen(HELD, smallest=smallest)
    _run(lambda: _measure_built_reports(sizes))
    teams = Series("load_report.bytes_of_teams", "teams with tasks in flight", "B")
    for count in chosen((26, 130, 260), smallest=smallest):
        teams.add(count, len(encoded(load_report(0, 45, teams=count))))
    teams.fit()
    _run(lambda: _measure_applied_reports(sizes))
    _run(lambda: _measure_refresh(chosen((6, 18, 54, 162), smallest=smallest)))


async def _measure_built_reports(sizes: Sequence[int]) -> None:
    against = "backend servers held"
    size = Series("load_report.bytes", against, "B")
    build = Series("load_report.build", against, "us")
    encode = Series("load_report.encode", against, "us")
    decode = Series("load_report.decode", against, "us")
    values = Series("load_report.changing_values_bytes", against, "B")
    for held in sizes:
        calls = max(5, 4000 // held)
        async with EntryParts(StillTimers(), backends=held) as entry:
            report = entry.report()
            build.add(held, least_us(entry.report, calls=calls))
        data = encoded(report)
        size.add(held, len(data))
        encode.add(held, least_us(partial(encoded, report), calls=calls))
        decode.add(held, least_us(partial(decoded, data), calls=calls))
        # What differs between two reports, without names: a trial of a shorter format.
        changing = [(load.free_slots, load.speed, load.available) for load in report.backends]
        values.add(held, len(msgspec.msgpack.encode(changing)))
    for series in (size, build, encode, decode, values):
        series.fit()


async def _measure_applied_reports(sizes: Sequence[int]) -> None:
    series = Series("load_report.apply", "backend servers in the report", "us")
    memory = Series("load_report.memory", "backend servers in the report", "B")
    for held in sizes:
        apply_us, held_bytes = await _applied_report(held)
        series.add(held, apply_us)
        memory.add(held, held_bytes)
    series.fit()
    memory.fit()


async def _applied_report(held: int) -> tuple[float, int]:
    """Return the CPU time to decode a report and place by it, and the memory that it takes."""
    timers = StillTimers()
    async with EntryParts(timers, backends=1) as entry:
        views = _views(entry)
        receive = entry.transport.handlers_by_type[LoadReport]
        data = encoded(load_report(1000, held))

        def apply() -> None:
            timers.at += 0.03
            receive(Sender(entry_name(1), INCARNATION), decoded(data))
            views.service(SERVICE)

        def build() -> Views:
            receive(Sender(entry_name(1), INCARNATION), decoded(data))
            built = _views(entry)
            built.service(SERVICE)
            return built

        apply_us = least_us(apply, calls=max(5, 2000 // held))
        return apply_us, least_bytes(build)


async def _measure_refresh(sizes: Sequence[int]) -> None:
    """Measure views without a new report, which are made at most every 20 ms."""
    series = Series("views.refresh", "entry processes", "us")
    for count in sizes:
        timers = StillTimers()
        async with EntryParts(timers, backends=45) as entry:
            _deliver(entry, count - 1, 45)
            views = _views(entry)

            def action(views: Views = views) -> None:
                views.invalidate()
                views.service(SERVICE)

            action()
            series.add(count, least_us(action, calls=20))
    series.fit()


def _views(entry: EntryParts) -> Views:
    return Views(
        entry_id=entry.name.entry_id,
        incarnation=INCARNATION,
        holder=entry.holder,
        cluster=entry.cluster,
        timers=entry.timers,
    )


def _deliver(entry: EntryParts, count: int, held: int) -> None:
    receive = entry.transport.handlers_by_type[LoadReport]
    for number in range(1, count + 1):
        receive(Sender(entry_name(number), INCARNATION), load_report(1000 * number, held))


def measure_envelope(*, smallest: bool) -> None:
    """Bytes of a message as sent now and, as a trial, without the names of its fields."""
    now = Series("envelope.bytes", "backend servers in the report", "B")
    trial = Series("trial.envelope_without_names", "backend servers in the report", "B")
    for held in chosen((0, 4, 12, 45), smallest=smallest):
        report = load_report(0, held)
        now.add(held, len(encoded(report)))
        # Identities and sizes of backend servers are sent once, not in each report.
        changing = [(load.free_slots, load.speed, load.available) for load in report.backends]
        body = (report.config_version, report.queued_tasks, [1.25], changing)
        frame = (1, 7, 301, INCARNATION, 0, False, 0, 100_000, INCARNATION, 0.001, body)
        trial.add(held, _MAC_BYTES + len(msgspec.msgpack.encode(frame)))
    now.fit()
    trial.fit()


def measure_announcements(*, smallest: bool) -> None:
    """Announcements against the backend servers held, and the choice of a holder."""
    _run(lambda: _measure_announcements(smallest=smallest))


async def _measure_announcements(*, smallest: bool) -> None:
    own = Series("announcement.own", "backend servers held", "us")
    for held in chosen(HELD, smallest=smallest):
        async with EntryParts(StillTimers(), backends=held) as entry:

            def prepare(entry: EntryParts = entry) -> Callable[[], object]:
                announcements = entry.announcements()
                return lambda: entry.announce(announcements)

            own.add(held, least_us_fresh(prepare, calls=max(3, 500 // held), units=held))
    own.fit()
    choice = Series("announcement.choice_of_holder", "entry processes", "us")
    for count in chosen((6, 18, 54, 162), smallest=smallest):
        async with EntryParts(StillTimers(), backends=1) as entry:
            _deliver(entry, count - 1, 1)
            lost = attrs.evolve(entry.announcements()[0], backend_id="worker-90000", holder=None)

            def action(entry: EntryParts = entry, lost: object = lost) -> None:
                entry.holder.announce(lost)  # type: ignore[arg-type]

            choice.add(count, least_us(action, calls=20))
    choice.fit()
    forwarded = Series("announcement.forwarded_bytes", "bytes of the backend server's id", "B")
    body = Series("announcement.body_bytes", "bytes of the backend server's id", "B")
    async with EntryParts(StillTimers(), backends=1) as entry:
        said = entry.announcements()[0]
        for length in (8, 16, 32):
            named = attrs.evolve(said, backend_id="w" * length)
            forwarded.add(length, len(encoded(Announced(named))))
            body.add(length, len(msgspec.json.encode(named)))
    forwarded.fit()
    body.fit()


def measure_placement(*, smallest: bool) -> None:
    """Placement of a job against holders, backend servers of each and tasks."""
    holders = Series("placement.per_task_of_110", "lease holders", "us")
    for count in chosen((6, 18, 54, 162), smallest=smallest):
        holders.add(count, _placement_us(holders=count, lanes=45, tasks=110))
    holders.fit()
    lanes = Series("placement.per_task_of_110", "backend servers of each of 6 holders", "us")
    for count in chosen((4, 12, 45, 180), smallest=smallest):
        lanes.add(count, _placement_us(holders=6, lanes=count, tasks=110))
    lanes.fit()
    tasks = Series("placement.per_job", "tasks of the job", "us")
    for count in chosen(JOB_SIZES, smallest=smallest):
        tasks.add(count, _placement_us(holders=6, lanes=4, tasks=count) * count)
    tasks.fit()


def _placement_us(*, holders: int, lanes: int, tasks: int) -> float:
    """Return the CPU time for one task of a job."""
    random = Random(1)
    views = [TaskView(index, TaskSpec("hem"), random.uniform(0.05, 1.0)) for index in range(tasks)]

    def prepare() -> Callable[[], object]:
        free = [
            HolderView(
                entry_id=entry_name(number),
                incarnation=INCARNATION,
                local=number == 0,
                lanes=[Lane.from_load(backend_load(index)) for index in range(lanes)],
            )
            for number in range(holders)
        ]
        return lambda: predicted(views, free)

    return least_us_fresh(prepare, calls=max(2, 100 // tasks), units=tasks)


def measure_binding(*, smallest: bool) -> None:
    """Measure a batch at its lease holder, from arrival to its result."""
    _run(lambda: _measure_binding(smallest=smallest))


async def _measure_binding(*, smallest: bool) -> None:
    held_series = Series("binding.per_task_of_10", "backend servers held", "us")
    for held in chosen((4, 12, 45, 180), smallest=smallest):
        held_series.add(held, await _binding_us(held=held, tasks=10))
    held_series.fit()
    single = Series("binding.single_task", "backend servers held", "us")
    for held in chosen((4, 12, 45, 180), smallest=smallest):
        single.add(held, await _binding_us(held=held, tasks=1))
    single.fit()
    size_series = Series("binding.per_batch_at_45_backends", "tasks of the batch", "us")
    for tasks in chosen(JOB_SIZES, smallest=smallest):
        size_series.add(tasks, await _binding_us(held=45, tasks=tasks) * tasks)
    size_series.fit()


async def _binding_us(*, held: int, tasks: int) -> float:
    """Return the CPU time for a task, with 3 of 4 slots busy."""
    batches = max(4, 200 // tasks)
    async with EntryParts(StillTimers(), backends=held) as entry:
        sender = Sender(entry_name(1), INCARNATION)
        numbers = iter(range(1, 1 << 30))
        answered = anyio.Event()
        left = 0

        def reply(result: BatchResult) -> None:
            nonlocal left
            left -= len(result.outcomes)
            if left <= 0:
                answered.set()

        def run(count: int, payload: object) -> None:
            entry.holder.run(sender, _batch(next(numbers), count, payload), reply)

        # Busy slots on every backend server. With equal speeds the default policy
        # would fill one after another.
        entry.use_policy("round_robin")
        for _ in range(held * SLOTS * 3 // 4):
            run(1, ENDLESS)
        await anyio.sleep(0.02)
        entry.use_policy("predicted")

        async def action() -> None:
            nonlocal left, answered
            for _ in range(batches):
                left, answered = tasks, anyio.Event()
                run(tasks, None)
                await answered.wait()

        return await least_us_async(action, units=batches * tasks)


def measure_exchanges(*, smallest: bool) -> None:
    """Tasks per HTTP exchange at 80% load on virtual time; mean run time 150 ms."""
    seconds = 0.2 if smallest else 1.5
    sizes = Series("exchange.tasks_at_45_backends", "tasks of the batch", "tasks")
    for tasks in chosen((1, 4, 18, 110), smallest=smallest):
        sizes.add(tasks, _tasks_per_exchange(45, tasks, seconds))
    sizes.fit()
    backends = Series("exchange.tasks_of_batches_of_10", "backend servers held", "tasks")
    for held in chosen((4, 12, 45), smallest=smallest):
        backends.add(held, _tasks_per_exchange(held, 10, seconds))
    backends.fit()


def _tasks_per_exchange(held: int, tasks: int, seconds: float) -> float:
    async def serve() -> float:
        random = Random(1)
        async with TimerService() as timers, EntryParts(timers, backends=held) as entry:
            sender = Sender(entry_name(1), INCARNATION)
            rate = 0.8 * held * SLOTS / (0.15 * tasks)
            # The slots are filled in the first part, which does not count.
            counts_at = timers.now() + 0.4
            end_at = counts_at + seconds
            announce_at = timers.now()
            number = 0
            while timers.now() < end_at:
                if timers.now() >= announce_at:
                    entry.announce(entry.announcements())
                    announce_at += 0.5
                if timers.now() < counts_at:
                    entry.starts = entry.exchanges = 0
                number += 1
                runs_s = [random.uniform(0.05, 0.25) for _ in range(tasks)]
                entry.holder.run(sender, _timed_batch(number, runs_s), _ignore)
                await anyio.sleep(random.expovariate(rate))
            return entry.starts / entry.exchanges

    return run_virtual(serve, seed=1)


def _timed_batch(number: int, runs_s: list[float]) -> RunBatch:
    """Return a batch of tasks with right estimates."""
    items = [
        BatchTask(f"{number}.{index}", TaskSpec("hem", run_s), run_s, index)
        for index, run_s in enumerate(runs_s)
    ]
    return attrs.evolve(_batch(number, 0, None), tasks=items)


def _batch(number: int, count: int, payload: object) -> RunBatch:
    return RunBatch(
        batch_id=number,
        service=SERVICE,
        team="team-001",
        deadline_left_s=60.0,
        tasks=[
            BatchTask(f"{INCARNATION:x}.{number}.{index}.1", TaskSpec("hem", payload), 0.1, index)
            for index in range(count)
        ],
    )


def measure_jobs(*, smallest: bool) -> None:
    """Measure a job in one process, from the request to the answer, without HTTP."""
    _run(lambda: _measure_jobs(smallest=smallest))
    messages = Series("batch.bytes_of_request_and_result", "tasks of the batch", "B")
    coding = Series("batch.encode_and_decode_both", "tasks of the batch", "us")
    for tasks in chosen(JOB_SIZES, smallest=smallest):
        request = _batch(1, tasks, {"length_mm": 1200, "fabric": "linen"})
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
        messages.add(tasks, len(encoded(request)) + len(encoded(result)))

        def action(request: RunBatch = request, result: BatchResult = result) -> None:
            decoded(encoded(request))
            decoded(encoded(result))

        coding.add(tasks, least_us(action, calls=max(20, 1000 // tasks)))
    messages.fit()
    coding.fit()


async def _measure_jobs(*, smallest: bool) -> None:
    size = Series("job.in_process_at_45_backends", "tasks of the job", "us")
    for tasks in chosen(JOB_SIZES, smallest=smallest):
        size.add(tasks, await _job_us(tasks=tasks, entries=1))
    size.fit()
    entries = Series("job.in_process_of_10_local", "entry processes", "us")
    for count in chosen((6, 18, 54, 162), smallest=smallest):
        entries.add(count, await _job_us(tasks=10, entries=count))
    entries.fit()


async def _job_us(*, tasks: int, entries: int) -> float:
    """Return the CPU time of one job that runs on the own backend servers.

    The reports of the other entry processes show no free slot.
    """
    jobs = max(8, 400 // tasks)
    peers = [entry_name(number) for number in range(1, entries)]
    async with (
        TimerService() as timers,
        EntryParts(timers, backends=45, peers=peers) as entry,
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
            claim=_no_claim,
            configuration=lambda: entry.configuration,
            configuration_current=lambda: True,
            caller_address="10.20.30.40:8080",
        )
        async with coordinator:

            def hear_all() -> None:
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
                # Leases and reports are fresh for longer than one round takes.
                hear_all()
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

                times.append(await _once_us(action, units=jobs))
            return min(times)


async def _once_us(action: Callable[[], Awaitable[object]], *, units: int) -> float:
    return await least_us_async(action, units=units, repeats=1)


async def _submit(coordinator: Coordinator, request: JobRequest) -> None:
    answer = await coordinator.submit(request)
    if answer.code != 1000:
        raise RuntimeError(f"a measured job ended with {answer.code}: {answer.message}")


async def _no_claim(claim: Claim) -> ClaimReply:
    raise PeerUnreachable("no key registry is measured here")


def measure_queue(*, smallest: bool) -> None:
    """Measure the fair queue against the number of teams."""
    series = Series("fair_queue.add_and_take_task", "teams", "us")
    memory = Series("fair_queue.memory", "queued single tasks", "B")
    for teams in chosen((1, 26, 260, 1000), smallest=smallest):

        def prepare(teams: int = teams) -> Callable[[], object]:
            batches = _batches(2000, teams)
            return lambda: _add_and_take(batches)

        series.add(teams, least_us_fresh(prepare, calls=1, units=2000))
    for tasks in chosen((500, 2000, 8000), smallest=smallest):

        def build(tasks: int = tasks) -> FairQueue:
            queue = FairQueue(lambda team: 1.0)
            for batch in _batches(tasks, 260):
                queue.add(batch, batch.tasks)
            return queue

        memory.add(tasks, least_bytes(build))
    series.fit()
    memory.fit()


def _batches(tasks: int, teams: int) -> list[Batch]:
    batches = []
    for number in range(tasks):
        request = _batch(number, 1, {"length_mm": number})
        batch = Batch(
            coordinator=Sender(entry_name(1), INCARNATION),
            batch_id=number,
            service=SERVICE,
            team=f"team-{number % teams:03}",
            deadline_at=1e9,
            single=True,
            reply=_ignore,
            remaining=1,
        )
        batch.tasks = [HeldTask(batch, task) for task in request.tasks]
        batches.append(batch)
    return batches


def _ignore(result: BatchResult) -> None:
    pass


def _add_and_take(batches: list[Batch]) -> None:
    queue = FairQueue(lambda team: 1.0)
    for batch in batches:
        queue.add(batch, batch.tasks)
    while queue.take() is not None:
        pass


def measure_table(*, smallest: bool) -> None:
    """Memory of finished and of open jobs."""
    per_job = Series("job_table.memory", "finished jobs of one task", "B")
    for jobs in chosen((1000, 4000, 16_000), smallest=smallest):
        per_job.add(jobs, least_bytes(partial(_table, jobs, 20)))
    per_job.fit()
    per_byte = Series("job_table.memory_of_1000", "bytes of each answer", "B")
    for size in chosen((20, 200, 2000), smallest=smallest):
        per_byte.add(size, least_bytes(partial(_table, 1000, size)))
    per_byte.fit()
    open_jobs = Series("open_job.memory", "tasks of the job", "B")
    for tasks in chosen(JOB_SIZES, smallest=smallest):
        count = 200
        size = least_bytes(partial(_jobs, count, tasks))
        open_jobs.add(tasks, size / count)
    open_jobs.fit()


def _table(jobs: int, answer_bytes: int) -> JobTable:
    table = JobTable(max_answer_bytes=1 << 30)
    for number in range(jobs):
        key = f"~{entry_name(1)}.{INCARNATION:x}.1800000600.{number}"
        results = ["x" * answer_bytes]
        entry = Entry(
            team="team-001",
            key=key,
            fingerprint=f"{number:032x}",
            expires_at=WALL + 600 + number % 60,
            answer=Answer(key=key, code=1000, results=results),
            code=1000,
            claimed=True,
        )
        table.add(entry)
        table.retain(entry, answer_bytes + 200)
    return table


def _jobs(count: int, tasks: int) -> list[Job]:
    return [_job(number, tasks) for number in range(count)]


def _job(number: int, tasks: int) -> Job:
    request = JobRequest(
        key=f"~{entry_name(1)}.{INCARNATION:x}.1800000600.{number}",
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
    """Memory of histograms, cost of a snapshot, and the state dump."""
    memory = Series("counters.memory", "histograms", "B")
    snapshot = Series("counters.snapshot", "histograms", "us")
    for count in chosen((1, 2, 4, 8), smallest=smallest):
        memory.add(count, least_bytes(partial(_counters, count)))
        counters = _counters(count)
        snapshot.add(count, least_us(counters.snapshot, calls=2))
    memory.fit()
    snapshot.fit()
    names = Series("counters.memory_of_names", "counters without histogram", "B")
    for count in chosen((10, 50, 200), smallest=smallest):
        names.add(count, least_bytes(partial(_named_counters, count)))
    names.fit()
    _run(lambda: _measure_dump(smallest=smallest))


def _counters(histograms: int) -> Counters:
    counters = Counters()
    for number in range(histograms):
        for value in range(100):
            counters.record(f"histogram-{number}", 0.001 * value)
    return counters


def _named_counters(count: int) -> Counters:
    counters = Counters()
    for number in range(count):
        counters.add(f"holder.announcements.{number}", 1000)
    return counters


async def _measure_dump(*, smallest: bool) -> None:
    series = Series("state_dump.build", "backend servers held", "us")
    size = Series("state_dump.bytes", "backend servers held", "B")
    for held in chosen(HELD, smallest=smallest):
        timers = StillTimers()
        async with EntryParts(timers, backends=held) as entry:
            dump = StateDump(
                process_id=entry.name.entry_id,
                timers=timers,
                part_by_name={
                    "holder": entry.holder.dump,
                    "cluster": partial(entry.cluster.live, 10.0),
                    "counters": entry.counters.snapshot,
                },
            )
            series.add(held, least_us(dump.build, calls=2))
            size.add(held, len(msgspec.json.encode(dump.build())))
    series.fit()
    size.fit()


@attrs.frozen
class _Sample:
    free: tuple[int, ...]
    report: LoadReport


def measure_staleness(*, smallest: bool) -> None:
    """Messages, bytes and staleness of load reports against their period and a threshold.

    One holder at 80% load on virtual time. The error is the mean over time and
    backend servers of the difference between the free slots that the other
    processes have been told and the present ones.
    """
    for held in chosen((4, 12, 45), smallest=smallest):
        seconds = 3.0 if smallest else _SAMPLED_S
        samples = run_virtual(partial(_sample, held, seconds), seed=1)
        seconds = len(samples) * _SAMPLE_S
        messages = Series(f"staleness.period.messages_at_{held}_backends", "period in ms", "1/s")
        size = Series(f"staleness.period.bytes_at_{held}_backends", "period in ms", "B/s")
        error = Series(f"staleness.period.error_at_{held}_backends", "period in ms", "slots")
        for steps in chosen((2, 5, 10, 20), smallest=smallest):

            def is_period(step: int, age: int, change: int, steps: int = steps) -> bool:
                return step % steps == 0

            sent, wrong = _replay(samples, is_period)
            period_ms = steps * _SAMPLE_S * 1000
            messages.add(period_ms, len(sent) / seconds)
            size.add(period_ms, sum(len(encoded(report)) for report in sent) / seconds)
            error.add(period_ms, wrong)
        changes = Series(
            f"staleness.threshold.messages_at_{held}_backends", "changed slots in %", "1/s"
        )
        changed = Series(
            f"staleness.threshold.error_at_{held}_backends", "changed slots in %", "slots"
        )
        for percent in chosen((5, 10, 20, 40), smallest=smallest):
            limit = held * SLOTS * percent / 100

            def is_due(step: int, age: int, change: int, limit: float = limit) -> bool:
                # Sent at the latest after 0.75 s, because a report is stale after 1 s.
                return change >= limit or age * _SAMPLE_S >= 0.75

            sent, wrong = _replay(samples, is_due)
            changes.add(percent, len(sent) / seconds)
            changed.add(percent, wrong)
        for series in (messages, size, error, changes, changed):
            series.fit()


async def _sample(held: int, seconds: float) -> list[_Sample]:
    random = Random(1)
    samples: list[_Sample] = []
    async with TimerService() as timers, EntryParts(timers, backends=held) as entry:
        sender = Sender(entry_name(1), INCARNATION)
        rate = 0.8 * held * SLOTS / 0.525
        end_at = timers.now() + seconds
        announce_at = sample_at = timers.now()
        number = 0
        while timers.now() < end_at:
            if timers.now() >= announce_at:
                entry.announce(entry.announcements())
                announce_at += 0.5
            if timers.now() >= sample_at:
                report = entry.report()
                samples.append(_Sample(tuple(load.free_slots for load in report.backends), report))
                sample_at += _SAMPLE_S
            number += 1
            entry.holder.run(sender, _timed_batch(number, [random.uniform(0.05, 1.0)]), _ignore)
            await anyio.sleep(random.expovariate(rate))
    return samples


def _replay(
    samples: list[_Sample], is_due: Callable[[int, int, int], bool]
) -> tuple[list[LoadReport], float]:
    """Return the reports sent by a rule and the mean error of the free slots known by others.

    `is_due` gets the step, the steps since the last report and the number of
    slots that changed since then.
    """
    told = samples[0].free
    sent: list[LoadReport] = []
    last = wrong = 0
    for step, sample in enumerate(samples):
        change = sum(abs(now - then) for now, then in zip(sample.free, told, strict=True))
        if step == 0 or is_due(step, step - last, change):
            sent.append(sample.report)
            told, last, change = sample.free, step, 0
        wrong += change
    return sent, wrong / (len(samples) * len(told))
