"""Shares with the other processes what is known of tasks that crash backend servers."""

from __future__ import annotations

from types import TracebackType

import attrs

from apricotpoint._core.timers import PeriodicTimer, TimerService
from apricotpoint._link.transport import Sender, Transport
from apricotpoint._pool.decisions.verdicts import Evidence
from apricotpoint._pool.holders.crashes import CrashHistory
from apricotpoint._pool.holders.members import EntryMembers
from apricotpoint._pool.holders.roster import Roster
from apricotpoint._wire.pool import LostRun, LostRunChanges

EXPIRY_PERIOD_S = 1.0
# Number of control processes that pass changes on; more than one, as one may be down.
FORWARDING_CONTROL_PROCESSES = 2


class CrashReports:
    """Keeps the crash history of one entry process in step with those of the others.

    Use it as an async context manager. A job is scheduled by another process after a hand-over, a
    kill or a second submission, and its tasks must not start from zero there. So each change goes
    to the holders at once, and through the control processes to all others, which may become
    holders; a process that has just started gets all rows from the control process that it greets.
    Messages may be lost in a partition, and control processes may restart: each hello compares the
    digests of the crashes, and either side gets those that it has missed.
    """

    def __init__(
        self,
        *,
        crashes: CrashHistory,
        members: EntryMembers,
        roster: Roster,
        transport: Transport,
        timers: TimerService,
    ) -> None:
        self._crashes = crashes
        self._members = members
        self._transport = transport
        self._timers = timers
        self._subscription: PeriodicTimer | None = None
        roster.subscribe(crashes.process_announcement)
        roster.subscribe_unreachable(crashes.record_gone)

    async def __aenter__(self) -> CrashReports:
        self._transport.handlers_by_type[LostRunChanges] = self._on_changes
        self._members.discovery.on_lost_runs = self._on_welcome
        self._members.discovery.crash_digest = self._crashes.digest
        self._crashes.on_change = self._send
        self._subscription = self._timers.every(EXPIRY_PERIOD_S, self._crashes.expire)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._subscription:
            self._subscription.cancel()
        self._transport.handlers_by_type.pop(LostRunChanges, None)

    def _send(self, message: LostRunChanges) -> None:
        for entry_id in self._members.live_entries().keys() - {self._members.entry_id}:
            self._members.open_link(entry_id)
            self._transport.send(entry_id, message)
        control_ids = sorted(
            self._members.discovery.control_ids(), key=self._transport.seconds_since_contact
        )
        for position, control_id in enumerate(control_ids):
            forward = position < FORWARDING_CONTROL_PROCESSES
            self._transport.send(control_id, attrs.evolve(message, forward=forward))

    def _on_changes(self, _: Sender, message: object) -> None:
        assert isinstance(message, LostRunChanges)
        self._crashes.merge(message)

    def _on_welcome(self, control_id: str, rows: list[LostRun], digest: int | None) -> None:
        """Process the rows that a control process names, and send it the crashes it has missed."""
        own_digest = self._crashes.digest()
        if rows:
            self._crashes.merge(LostRunChanges(rows))
        if None in (digest, own_digest) or digest == own_digest:
            return
        known = {(row.task, row.backend_id, row.born_ms) for row in rows}
        missed = [
            row
            for row in self._crashes.rows(Evidence.CRASHED)
            if (row.task, row.backend_id, row.born_ms) not in known
        ]
        if missed:
            self._transport.send(control_id, LostRunChanges(missed))
