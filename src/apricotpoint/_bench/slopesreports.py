"""Slopes of load reports and announcements."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import partial
from random import Random

import anyio
import attrs
import msgspec

from apricotpoint._bench.slopescodec import decoded, encoded
from apricotpoint._bench.slopesfakes import (
    INCARNATION,
    SERVICE,
    SLOTS,
    EntryParts,
    entry_name,
    load_report,
)
from apricotpoint._bench.slopesfit import (
    HELD,
    Series,
    StillTimers,
    chosen,
    least_bytes,
    least_us,
    least_us_fresh,
    run_part,
)
from apricotpoint._bench.slopestasks import ignore_result, timed_batch
from apricotpoint._bench.virtualtime import run_virtual
from apricotpoint._core.timers import TimerService
from apricotpoint._jobs.views import ServiceViews
from apricotpoint._link.transport import Sender
from apricotpoint._wire.announce import Announced
from apricotpoint._wire.load import LoadReport

_MAC_BYTES = 16
# Seconds of virtual time over which load reports are sampled.
_SAMPLED_S = 15.0
_SAMPLE_S = 0.05


def measure_reports(*, smallest: bool) -> None:
    """Load reports against the backend servers held, the teams and the entry processes."""
    sizes = chosen(HELD, smallest=smallest)
    run_part(lambda: _measure_built_reports(sizes))
    teams = Series("load_report.bytes_of_teams", "teams with tasks in flight", "B")
    for count in chosen((26, 130, 260), smallest=smallest):
        teams.add(count, len(encoded(load_report(0, 45, teams=count))))
    teams.fit()
    run_part(lambda: _measure_applied_reports(sizes))
    run_part(lambda: _measure_refresh(chosen((6, 18, 54, 162), smallest=smallest)))


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

        def build() -> ServiceViews:
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

            def action(views: ServiceViews = views) -> None:
                views.invalidate()
                views.service(SERVICE)

            action()
            series.add(count, least_us(action, calls=20))
    series.fit()


def _views(entry: EntryParts) -> ServiceViews:
    return ServiceViews(
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
    run_part(lambda: _measure_announcements(smallest=smallest))


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
                entry.holder.handle_announcement(lost)  # type: ignore[arg-type]

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
            entry.holder.run(
                sender, timed_batch(number, [random.uniform(0.05, 1.0)]), ignore_result
            )
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
