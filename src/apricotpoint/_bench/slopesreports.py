"""Costs of load reports and announcements."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import partial
from random import Random

import anyio
import attrs
import msgspec

from apricotpoint._bench.slopescodec import decode_from_envelope, encode_in_envelope
from apricotpoint._bench.slopesfakes import (
    INCARNATION,
    SERVICE,
    SLOTS_PER_BACKEND,
    MeasuredEntry,
    load_report,
    make_entry_id,
)
from apricotpoint._bench.slopesfit import (
    HELD_BACKENDS,
    ManualTimers,
    Series,
    min_cpu_us,
    min_cpu_us_prepared,
    min_memory_bytes,
    run_async,
    select_sizes,
)
from apricotpoint._bench.slopestasks import ignore_result, make_timed_batch
from apricotpoint._bench.virtualtime import run_virtual
from apricotpoint._core.timers import TimerService
from apricotpoint._jobs.views import ServiceViews
from apricotpoint._link.transport import Sender
from apricotpoint._wire.announce import Announced
from apricotpoint._wire.load import LoadReport

_MAC_BYTES = 16
# Virtual time over which load reports are sampled.
_SAMPLING_DURATION_S = 15.0
_SAMPLE_PERIOD_S = 0.05


def measure_reports(*, smallest: bool) -> None:
    """Measure load reports against backend servers held, teams and entry processes."""
    sizes = select_sizes(HELD_BACKENDS, smallest=smallest)
    run_async(lambda: _measure_built_reports(sizes))
    teams = Series("load_report.bytes_of_teams", "teams with tasks in flight", "B")
    for count in select_sizes((26, 130, 260), smallest=smallest):
        teams.add(count, len(encode_in_envelope(load_report(0, 45, teams=count))))
    teams.fit()
    run_async(lambda: _measure_applied_reports(sizes))
    run_async(lambda: _measure_refresh(select_sizes((6, 18, 54, 162), smallest=smallest)))


async def _measure_built_reports(sizes: Sequence[int]) -> None:
    against = "backend servers held"
    size = Series("load_report.bytes", against, "B")
    build = Series("load_report.build", against, "us")
    encode = Series("load_report.encode", against, "us")
    decode = Series("load_report.decode", against, "us")
    values = Series("load_report.changing_values_bytes", against, "B")
    for held in sizes:
        calls = max(5, 4000 // held)
        async with MeasuredEntry(ManualTimers(), backends=held) as entry:
            report = entry.report()
            build.add(held, min_cpu_us(entry.report, calls=calls))
        data = encode_in_envelope(report)
        size.add(held, len(data))
        encode.add(held, min_cpu_us(partial(encode_in_envelope, report), calls=calls))
        decode.add(held, min_cpu_us(partial(decode_from_envelope, data), calls=calls))
        # The values that change between two reports, without field names: the size of a
        # shorter format that is not in use.
        changing = [(load.free_slots, load.speed, load.available) for load in report.backends]
        values.add(held, len(msgspec.msgpack.encode(changing)))
    for series in (size, build, encode, decode, values):
        series.fit()


async def _measure_applied_reports(sizes: Sequence[int]) -> None:
    series = Series("load_report.apply", "backend servers in the report", "us")
    memory = Series("load_report.memory", "backend servers in the report", "B")
    for held in sizes:
        cpu_us, memory_bytes = await _measure_applied_report(held)
        series.add(held, cpu_us)
        memory.add(held, memory_bytes)
    series.fit()
    memory.fit()


async def _measure_applied_report(held: int) -> tuple[float, int]:
    """Return the CPU time in microseconds to decode and use a report, and its memory in bytes."""
    timers = ManualTimers()
    async with MeasuredEntry(timers, backends=1) as entry:
        views = _make_views(entry)
        receive = entry.transport.handlers_by_type[LoadReport]
        data = encode_in_envelope(load_report(1000, held))

        def apply() -> None:
            timers.at += 0.03
            receive(Sender(make_entry_id(1), INCARNATION), decode_from_envelope(data))
            views.view_of(SERVICE)

        def build() -> ServiceViews:
            receive(Sender(make_entry_id(1), INCARNATION), decode_from_envelope(data))
            new_views = _make_views(entry)
            new_views.view_of(SERVICE)
            return new_views

        cpu_us = min_cpu_us(apply, calls=max(5, 2000 // held))
        return cpu_us, min_memory_bytes(build)


async def _measure_refresh(sizes: Sequence[int]) -> None:
    """Measure the service views made without a new report, at most one every 20 ms."""
    series = Series("views.refresh", "entry processes", "us")
    for count in sizes:
        timers = ManualTimers()
        async with MeasuredEntry(timers, backends=45) as entry:
            _deliver_reports(entry, count - 1, 45)
            views = _make_views(entry)

            def action(views: ServiceViews = views) -> None:
                views.invalidate()
                views.view_of(SERVICE)

            action()
            series.add(count, min_cpu_us(action, calls=20))
    series.fit()


def _make_views(entry: MeasuredEntry) -> ServiceViews:
    return ServiceViews(
        entry_id=entry.name.entry_id,
        incarnation=INCARNATION,
        holder=entry.holder,
        cluster=entry.cluster,
        timers=entry.timers,
    )


def _deliver_reports(entry: MeasuredEntry, count: int, held: int) -> None:
    receive = entry.transport.handlers_by_type[LoadReport]
    for number in range(1, count + 1):
        receive(Sender(make_entry_id(number), INCARNATION), load_report(1000 * number, held))


def measure_envelope(*, smallest: bool) -> None:
    """Measure the bytes of a message as it is sent, and without the names of its fields.

    The second format is not in use.
    """
    current_format = Series("envelope.bytes", "backend servers in the report", "B")
    compact_format = Series("trial.envelope_without_names", "backend servers in the report", "B")
    for held in select_sizes((0, 4, 12, 45), smallest=smallest):
        report = load_report(0, held)
        current_format.add(held, len(encode_in_envelope(report)))
        # In this format, ids and sizes of backend servers are sent once, not in each report.
        changing = [(load.free_slots, load.speed, load.available) for load in report.backends]
        body = (report.config_version, report.queued_tasks, [1.25], changing)
        frame = (1, 7, 301, INCARNATION, 0, False, 0, 100_000, INCARNATION, 0.001, body)
        compact_format.add(held, _MAC_BYTES + len(msgspec.msgpack.encode(frame)))
    current_format.fit()
    compact_format.fit()


def measure_announcements(*, smallest: bool) -> None:
    """Measure announcements against backend servers held, and the choice of a lease holder."""
    run_async(lambda: _measure_announcements(smallest=smallest))


async def _measure_announcements(*, smallest: bool) -> None:
    by_held_backends = Series("announcement.own", "backend servers held", "us")
    for held in select_sizes(HELD_BACKENDS, smallest=smallest):
        async with MeasuredEntry(ManualTimers(), backends=held) as entry:

            def prepare(entry: MeasuredEntry = entry) -> Callable[[], object]:
                announcements = entry.announcements()
                return lambda: entry.announce(announcements)

            by_held_backends.add(
                held, min_cpu_us_prepared(prepare, calls=max(3, 500 // held), units=held)
            )
    by_held_backends.fit()
    choice = Series("announcement.choice_of_holder", "entry processes", "us")
    for count in select_sizes((6, 18, 54, 162), smallest=smallest):
        async with MeasuredEntry(ManualTimers(), backends=1) as entry:
            _deliver_reports(entry, count - 1, 1)
            without_holder = attrs.evolve(
                entry.announcements()[0], backend_id="worker-90000", holder=None
            )

            def action(
                entry: MeasuredEntry = entry, without_holder: object = without_holder
            ) -> None:
                entry.holder.handle_announcement(without_holder)  # type: ignore[arg-type]

            choice.add(count, min_cpu_us(action, calls=20))
    choice.fit()
    forwarded = Series("announcement.forwarded_bytes", "bytes of the backend server's id", "B")
    body = Series("announcement.body_bytes", "bytes of the backend server's id", "B")
    async with MeasuredEntry(ManualTimers(), backends=1) as entry:
        announcement = entry.announcements()[0]
        for length in (8, 16, 32):
            renamed = attrs.evolve(announcement, backend_id="w" * length)
            forwarded.add(length, len(encode_in_envelope(Announced(renamed))))
            body.add(length, len(msgspec.json.encode(renamed)))
    forwarded.fit()
    body.fit()


@attrs.frozen
class _Sample:
    free: tuple[int, ...]
    report: LoadReport


def measure_staleness(*, smallest: bool) -> None:
    """Measure load reports sent and their staleness, by period and by change threshold.

    One lease holder runs at 80% load on virtual time. The error is the mean, over
    time and backend servers, of the absolute difference between the free slots
    last reported to the other processes and the current ones.
    """
    for held in select_sizes((4, 12, 45), smallest=smallest):
        seconds = 3.0 if smallest else _SAMPLING_DURATION_S
        samples = run_virtual(partial(_sample, held, seconds), seed=1)
        seconds = len(samples) * _SAMPLE_PERIOD_S
        messages = Series(f"staleness.period.messages_at_{held}_backends", "period in ms", "1/s")
        size = Series(f"staleness.period.bytes_at_{held}_backends", "period in ms", "B/s")
        error = Series(f"staleness.period.error_at_{held}_backends", "period in ms", "slots")
        for steps_per_period in select_sizes((2, 5, 10, 20), smallest=smallest):

            def is_period(
                step: int, age: int, change: int, steps_per_period: int = steps_per_period
            ) -> bool:
                return step % steps_per_period == 0

            sent, mean_error = _replay(samples, is_period)
            period_ms = steps_per_period * _SAMPLE_PERIOD_S * 1000
            messages.add(period_ms, len(sent) / seconds)
            size.add(period_ms, sum(len(encode_in_envelope(report)) for report in sent) / seconds)
            error.add(period_ms, mean_error)
        change_messages = Series(
            f"staleness.threshold.messages_at_{held}_backends", "changed slots in %", "1/s"
        )
        change_error = Series(
            f"staleness.threshold.error_at_{held}_backends", "changed slots in %", "slots"
        )
        for percent in select_sizes((5, 10, 20, 40), smallest=smallest):
            limit = held * SLOTS_PER_BACKEND * percent / 100

            def is_due(step: int, age: int, change: int, limit: float = limit) -> bool:
                # At the latest after 0.75 s, because a load report is stale after 1 s.
                return change >= limit or age * _SAMPLE_PERIOD_S >= 0.75

            sent, mean_error = _replay(samples, is_due)
            change_messages.add(percent, len(sent) / seconds)
            change_error.add(percent, mean_error)
        for series in (messages, size, error, change_messages, change_error):
            series.fit()


async def _sample(held: int, seconds: float) -> list[_Sample]:
    random = Random(1)
    samples: list[_Sample] = []
    async with TimerService() as timers, MeasuredEntry(timers, backends=held) as entry:
        sender = Sender(make_entry_id(1), INCARNATION)
        tasks_per_s = 0.8 * held * SLOTS_PER_BACKEND / 0.525
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
                sample_at += _SAMPLE_PERIOD_S
            number += 1
            entry.holder.run(
                sender, make_timed_batch(number, [random.uniform(0.05, 1.0)]), ignore_result
            )
            await anyio.sleep(random.expovariate(tasks_per_s))
    return samples


def _replay(
    samples: list[_Sample], is_due: Callable[[int, int, int], bool]
) -> tuple[list[LoadReport], float]:
    """Return the load reports that a rule sends and the mean error of the reported free slots.

    `is_due` is called with the step, the number of steps since the last report and
    the number of slots that changed since then, and returns whether to send one.
    """
    reported = samples[0].free
    sent: list[LoadReport] = []
    last_report_step = error_sum = 0
    for step, sample in enumerate(samples):
        change = sum(abs(now - then) for now, then in zip(sample.free, reported, strict=True))
        if step == 0 or is_due(step, step - last_report_step, change):
            sent.append(sample.report)
            reported, last_report_step, change = sample.free, step, 0
        error_sum += change
    return sent, error_sum / (len(samples) * len(reported))
