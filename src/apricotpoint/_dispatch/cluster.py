"""Load reports of all entry processes, which are also their heartbeat."""

from __future__ import annotations

import math
from collections.abc import Callable, Collection
from types import TracebackType

import attrs

from apricotpoint._core.timers import Subscription, TimerService
from apricotpoint._link.transport import Sender, Transport
from apricotpoint._wire.load import LoadReport

# A report is due this long after the last one to the same process, whether
# that was sent alone or on a batch message. With the tick it stays below the
# 0.4 s after which a link sends a heartbeat, and two of them may be lost before
# a process counts as not live after 1 s.
REPORT_PERIOD_S = 0.35
# Reports are due at different times for each process.
_TICK_S = 0.05
# A batch message carries no report if the last one is younger than this: with
# many small batches the reports would cost more than they tell.
_SHORTEST_PERIOD_S = 0.02
# The report of this process is built again after this time, so that several
# placements in one moment share one report.
_OWN_REPORT_AGE_S = 0.02


@attrs.frozen
class EntryView:
    """An entry process as known here; `age_s` is the age of its report in seconds."""

    entry_id: str
    incarnation: int
    report: LoadReport
    age_s: float


@attrs.frozen
class _Heard:
    incarnation: int
    report: LoadReport
    made_at: float


class Cluster:
    """Sends the load report of this process and keeps those of the others.

    `entry_ids` returns the ids of all entry processes that belong to the
    deployment, live or not; it may include this one.
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
        self._heard_by_id: dict[str, _Heard] = {}
        self._sent_at_by_id: dict[str, float] = {}
        self._own: _Heard | None = None
        self._subscription: Subscription | None = None

    async def __aenter__(self) -> Cluster:
        self._transport.handlers_by_type[LoadReport] = self._receive
        self._subscription = self._timers.every(_TICK_S, self._send_due)
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
        """Return this process and all entry processes with a report not older than `max_age_s`."""
        now = self._timers.now()
        if self._own is None or now - self._own.made_at > _OWN_REPORT_AGE_S:
            self._make_own(now)
        assert self._own is not None
        views = [EntryView(self._entry_id, self._incarnation, self._own.report, 0.0)]
        views.extend(
            EntryView(entry_id, heard.incarnation, heard.report, now - heard.made_at)
            for entry_id, heard in self._heard_by_id.items()
            if now - heard.made_at <= max_age_s
        )
        return views

    def unreachable_entries(self, max_age_s: float) -> list[str]:
        """Return the ids of the other entry processes that are not live."""
        now = self._timers.now()
        return [
            entry_id
            for entry_id in self._other_ids()
            if entry_id not in self._heard_by_id
            or now - self._heard_by_id[entry_id].made_at > max_age_s
        ]

    def view(self, entry_id: str) -> EntryView | None:
        """Return the latest report of another entry process, whatever its age."""
        heard = self._heard_by_id.get(entry_id)
        if heard is None:
            return None
        age_s = self._timers.now() - heard.made_at
        return EntryView(entry_id, heard.incarnation, heard.report, age_s)

    def report_for(self, entry_id: str) -> LoadReport | None:
        """Return the report to add to a message for another entry process, if it needs one."""
        now = self._timers.now()
        if now - self._sent_at_by_id.get(entry_id, -math.inf) < _SHORTEST_PERIOD_S:
            return None
        self._sent_at_by_id[entry_id] = now
        return self._make_own(now).report

    def record_report(self, sender: Sender, report: LoadReport) -> None:
        """Take over a report of another entry process."""
        latest = self._transport.incarnation_of(sender.peer_id)
        if latest is not None and latest != sender.incarnation:
            return
        made_at = self._timers.now() - sender.age_s
        known = self._heard_by_id.get(sender.peer_id)
        if known and known.incarnation == sender.incarnation and known.made_at > made_at:
            return
        self._heard_by_id[sender.peer_id] = _Heard(sender.incarnation, report, made_at)

    def _receive(self, sender: Sender, message: object) -> None:
        assert isinstance(message, LoadReport)
        self.record_report(sender, message)

    def _send_due(self) -> None:
        now = self._timers.now()
        # Half a tick of tolerance keeps the period from growing by a tick.
        due_before = now - REPORT_PERIOD_S + _TICK_S / 2
        due = [
            entry_id
            for entry_id in self._other_ids()
            if self._sent_at_by_id.get(entry_id, -math.inf) <= due_before
        ]
        if not due:
            return
        report = self._make_own(now).report
        for entry_id in due:
            self._sent_at_by_id[entry_id] = now
            self._transport.send(entry_id, report)

    def _make_own(self, now: float) -> _Heard:
        self._own = _Heard(self._incarnation, self._make_report(), now)
        return self._own

    def _other_ids(self) -> list[str]:
        return [entry_id for entry_id in self._entry_ids() if entry_id != self._entry_id]
