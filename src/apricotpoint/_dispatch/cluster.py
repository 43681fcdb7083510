"""Exchange of load reports between entry processes, which also serve as heartbeats."""

from __future__ import annotations

import math
from collections.abc import Callable, Collection
from types import TracebackType

import attrs

from apricotpoint._core.timers import PeriodicTimer, TimerService
from apricotpoint._link.transport import Sender, Transport
from apricotpoint._wire.load import LoadReport

# A report is due this long after the last one to the same process, whether that
# was a message of its own or part of a batch message. Including the tick this is
# below the 0.4 s after which a link sends a heartbeat, and two reports may be lost
# before a process counts as not live after 1 s.
REPORT_PERIOD_S = 0.35
# Reports to different processes are due at different times; this is how often that
# is checked.
_TICK_S = 0.05
# A batch message carries no report if the last one was sent less than this ago:
# with many small batches the cost of the reports would exceed their benefit.
_MIN_REPORT_INTERVAL_S = 0.02
# The report of this process is reused for this time, so that placements in quick
# succession share one report.
_OWN_REPORT_MAX_AGE_S = 0.02


@attrs.frozen
class EntryView:
    """An entry process with its latest load report, which is `age_s` seconds old."""

    entry_id: str
    incarnation: int
    report: LoadReport
    age_s: float


@attrs.frozen
class _ReceivedReport:
    incarnation: int
    report: LoadReport
    made_at: float


class Cluster:
    """View of the entry processes: sends load reports and keeps the latest ones received.

    `entry_ids` returns the ids of all entry processes of the deployment, live or
    not; it may include this one. Use it as an async context manager.
    """

    def __init__(
        self,
        *,
        entry_id: str,
        incarnation: int,
        transport: Transport,
        timers: TimerService,
        make_report: Callable[[], LoadReport],
        entry_ids: Callable[[], Collection[str]],
    ) -> None:
        self._entry_id = entry_id
        self._incarnation = incarnation
        self._transport = transport
        self._timers = timers
        self._make_report = make_report
        self._entry_ids = entry_ids
        self._report_by_id: dict[str, _ReceivedReport] = {}
        self._sent_at_by_id: dict[str, float] = {}
        self._own_report: _ReceivedReport | None = None
        self._subscription: PeriodicTimer | None = None

    async def __aenter__(self) -> Cluster:
        self._transport.handlers_by_type[LoadReport] = self._receive
        self._subscription = self._timers.every(_TICK_S, self._send_due_reports)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._subscription:
            self._subscription.cancel()
        self._transport.handlers_by_type.pop(LoadReport, None)

    def live_entries(self, max_age_s: float) -> list[EntryView]:
        """Return this process and the others whose latest report is at most `max_age_s` old."""
        now = self._timers.now()
        if self._own_report is None or now - self._own_report.made_at > _OWN_REPORT_MAX_AGE_S:
            self._build_own_report(now)
        assert self._own_report is not None
        views = [EntryView(self._entry_id, self._incarnation, self._own_report.report, 0.0)]
        views.extend(
            EntryView(entry_id, received.incarnation, received.report, now - received.made_at)
            for entry_id, received in self._report_by_id.items()
            if now - received.made_at <= max_age_s
        )
        return views

    def unreachable_entries(self, max_age_s: float) -> list[str]:
        """Return the ids of the other entry processes without a report of at most `max_age_s`."""
        now = self._timers.now()
        return [
            entry_id
            for entry_id in self._other_ids()
            if entry_id not in self._report_by_id
            or now - self._report_by_id[entry_id].made_at > max_age_s
        ]

    def latest(self, entry_id: str) -> EntryView | None:
        """Return the latest report of another entry process at any age, None if there is none."""
        received = self._report_by_id.get(entry_id)
        if received is None:
            return None
        age_s = self._timers.now() - received.made_at
        return EntryView(entry_id, received.incarnation, received.report, age_s)

    def report_for(self, entry_id: str) -> LoadReport | None:
        """Return the report to add to a message to another entry process; None if not needed.

        The caller must send it: the next periodic report counts from this call.
        """
        now = self._timers.now()
        if now - self._sent_at_by_id.get(entry_id, -math.inf) < _MIN_REPORT_INTERVAL_S:
            return None
        self._sent_at_by_id[entry_id] = now
        return self._build_own_report(now).report

    def record_report(self, sender: Sender, report: LoadReport) -> None:
        """Keep a report of another entry process, unless it is older or of an old incarnation."""
        current = self._transport.incarnation_of(sender.peer_id)
        if current is not None and current != sender.incarnation:
            return
        made_at = self._timers.now() - sender.age_s
        previous = self._report_by_id.get(sender.peer_id)
        if previous and previous.incarnation == sender.incarnation and previous.made_at > made_at:
            return
        self._report_by_id[sender.peer_id] = _ReceivedReport(sender.incarnation, report, made_at)

    def _receive(self, sender: Sender, message: object) -> None:
        assert isinstance(message, LoadReport)
        self.record_report(sender, message)

    def _send_due_reports(self) -> None:
        now = self._timers.now()
        # Without half a tick of tolerance the period would grow by up to a tick.
        due_before = now - REPORT_PERIOD_S + _TICK_S / 2
        due = [
            entry_id
            for entry_id in self._other_ids()
            if self._sent_at_by_id.get(entry_id, -math.inf) <= due_before
        ]
        if not due:
            return
        report = self._build_own_report(now).report
        for entry_id in due:
            self._sent_at_by_id[entry_id] = now
            self._transport.send(entry_id, report)

    def _build_own_report(self, now: float) -> _ReceivedReport:
        self._own_report = _ReceivedReport(self._incarnation, self._make_report(), now)
        return self._own_report

    def _other_ids(self) -> list[str]:
        return [entry_id for entry_id in self._entry_ids() if entry_id != self._entry_id]
