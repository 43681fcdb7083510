"""Keeps the lease on one backend server and learns there what has become of its runs."""

from __future__ import annotations

from typing import Protocol

import anyio
import logbook

from apricotpoint._core.counters import Counters
from apricotpoint._core.timers import TimerService
from apricotpoint._pool.backend_client import (
    LeaseReply,
    RenewalRefused,
    RunKey,
    RunOutcome,
    StartOutcome,
)
from apricotpoint._pool.held_backend import HeldBackend
from apricotpoint._pool.job import Run, RunState

# Longest wait in seconds of one renewal for an end. Two lost renewals fit into a lease.
RENEWAL_WAIT_S = 0.2
# Pause in seconds after a renewal without an answer.
RETRY_DELAY_S = 0.03
# Renewals that fence off earlier orders count up by one; another holder starts above that.
TOKEN_STEP = 1
# A run whose progress stays the same for this long stands still, in seconds.
# Progress is reported in percent, so a sound run shows 1% of its time.
STALL_S = 0.35
STALL_SHARE = 0.08

# Estimates are off by up to 40%; a run that takes longer by more than this tells of its speed.
STRAGGLER_FACTOR = 1.7

_log = logbook.Logger("pool")


class RunObserver(Protocol):
    """What a keeper reports; none of the methods blocks."""

    def run_ended(self, run: Run, end: RunOutcome) -> None:
        """Take the end of a run on its backend server."""

    def run_lost(self, run: Run, reason: str) -> None:
        """Take that a run is certainly gone without a known end."""

    def run_stalled(self, run: Run) -> None:
        """Take that a run makes no progress."""

    def run_confirmed(self, run: Run) -> None:
        """Take that a run whose start got no answer is at work."""

    def run_straggling(self, run: Run, predicted_s: float) -> None:
        """Take that the progress of a run predicts a far longer run time than expected."""

    def run_time_predicted(self, run: Run, predicted_s: float) -> None:
        """Take the run time that the progress of a run predicts."""

    def backend_changed(self, held: HeldBackend) -> None:
        """Take that a backend server can be used again, or no longer."""

    def backend_ended(self, held: HeldBackend, reason: str) -> None:
        """Take that this life of a backend server is over."""

    def backend_fenced(self, held: HeldBackend) -> None:
        """Take that another holder has taken over the backend server."""


class LeaseRenewer:
    """The one task that renews the lease on a backend server.

    A start without an answer may have been carried out, or may be later. Its
    fate is decided by a renewal with a higher fencing token: once that is
    answered, the start is either in the lists or will be ignored.
    """

    def __init__(
        self,
        held: HeldBackend,
        *,
        observer: RunObserver,
        timers: TimerService,
        counters: Counters,
    ) -> None:
        self._held = held
        self._observer = observer
        self._timers = timers
        self._counters = counters
        self._scope = anyio.CancelScope()

    async def run(self) -> None:
        """Renew the lease until the backend server is released or gone."""
        held = self._held
        with self._scope:
            while not held.released:
                fence = any(run.state is RunState.UNCONFIRMED for run in held.run_by_key.values())
                wait_s = 0.0 if fence or not held.is_responsive else RENEWAL_WAIT_S
                if not await self._renew(wait_s, fence=fence):
                    await self._timers.sleep(RETRY_DELAY_S)
                self._check_lease_expiry()
                await self._stop_foreign_runs()
        await held.client.close()

    def release(self) -> None:
        """End the task; nothing is renewed any more."""
        self._held.released = True
        self._scope.cancel()

    async def resolve(self, run: Run) -> None:
        """Find out at once whether a start without an answer was carried out."""
        run.state = RunState.UNCONFIRMED
        self._counters.add("pool.unsure_starts")
        await self._renew(0.0, fence=True)

    async def _renew(self, wait_s: float, *, fence: bool) -> bool:
        held = self._held
        if fence:
            held.token += TOKEN_STEP
        token, sent_at = held.token, self._timers.now()
        # Without answers the lease is not extended, because orders may still get
        # through: it has to end for the runs to be given up.
        lease_until_ms = held.lease_until_ms(sent_at) if held.is_responsive else None
        try:
            reply = await held.client.renew_lease(
                token=token,
                acknowledged=held.acknowledged,
                lease_until_ms=lease_until_ms,
                wait_s=wait_s,
            )
        except RenewalRefused as refused:
            self._handle_refusal(refused.outcome, token)
            return False
        if held.released:
            return True
        if reply is None:
            self._counters.add("pool.renewals_unanswered")
            await held.client.renew_connections()
            if held.is_responsive:
                held.is_responsive = False
                _log.warning("backend {} does not answer renewals", held.backend_id)
            return False
        self._process_reply(reply, token, sent_at)
        return True

    def _handle_refusal(self, outcome: StartOutcome, token: int) -> None:
        held = self._held
        held.is_responsive = False
        if outcome is StartOutcome.OTHER_INCARNATION:
            self._observer.backend_ended(held, "another incarnation answers")
        elif outcome is StartOutcome.FENCED and token == held.token:
            self._counters.add("pool.fenced_renewals")
            self._observer.backend_fenced(held)

    def _process_reply(self, reply: LeaseReply, token: int, sent_at: float) -> None:
        held, now = self._held, self._timers.now()
        if reply.born_ms and held.born_ms and reply.born_ms != held.born_ms:
            self._handle_restart(reply)
        held.born_ms = reply.born_ms or held.born_ms
        held.update_clock(reply, now)
        known = dict(held.run_by_key)
        ended_keys = self._process_ended_runs(reply, known)
        for key, run in known.items():
            if key in ended_keys or key not in held.run_by_key:
                continue
            progress = reply.progress_by_run.get(key)
            if progress is not None:
                self._record_progress(run, progress, now)
            elif run.state is RunState.UNCONFIRMED:
                # The token of this renewal keeps the start from being carried out later.
                if run.token < token and run.sent_at <= sent_at:
                    self._observer.run_lost(run, "the start never arrived")
            elif run.state is RunState.RUNNING and run.confirmed_at < sent_at:
                self._observer.run_lost(run, "the backend server no longer knows the run")
        held.foreign = {
            key
            for key in reply.progress_by_run
            if key not in known and key not in held.run_by_key and key not in ended_keys
        }
        if not held.is_responsive or ended_keys:
            held.is_responsive = True
            self._observer.backend_changed(held)

    def _process_ended_runs(self, reply: LeaseReply, known: dict[RunKey, Run]) -> set[RunKey]:
        held = self._held
        ended_keys: set[RunKey] = set()
        for ended in sorted(reply.ended, key=lambda item: item.number):
            ended_keys.add(ended.key)
            held.acknowledged = max(held.acknowledged, ended.number)
            run = known.get(ended.key)
            if run is not None and ended.key in held.run_by_key:
                self._observer.run_ended(run, ended.end)
        return ended_keys

    def _record_progress(self, run: Run, progress: int, now: float) -> None:
        if run.state is not RunState.RUNNING:
            run.state = RunState.RUNNING
            run.confirmed_at = now
            self._observer.run_confirmed(run)
        if progress != run.progress or not run.progress_changed_at:
            run.progress, run.progress_changed_at = progress, now
            predicted_s = run.predicted_s()
            is_slow = predicted_s is not None and predicted_s > STRAGGLER_FACTOR * run.expected_s
            if predicted_s is not None and is_slow and not run.is_straggler:
                self._observer.run_straggling(run, predicted_s)
            if predicted_s is not None:
                self._observer.run_time_predicted(run, predicted_s)
            return
        limit_s = max(STALL_S, STALL_SHARE * run.expected_s)
        if now - run.progress_changed_at > limit_s and not run.stopping:
            self._observer.run_stalled(run)

    def _handle_restart(self, reply: LeaseReply) -> None:
        held = self._held
        _log.warning("backend {} has started again", held.backend_id)
        held.acknowledged = 0
        for run in list(held.run_by_key.values()):
            if run.key not in reply.progress_by_run:
                self._observer.run_lost(run, "the backend server has started again")

    def _check_lease_expiry(self) -> None:
        held = self._held
        if held.is_responsive or self._timers.now() < held.lease_expires_at:
            return
        for run in list(held.run_by_key.values()):
            self._observer.run_lost(run, "the lease has lapsed without contact")

    async def _stop_foreign_runs(self) -> None:
        held = self._held
        for key in sorted(held.foreign, key=lambda item: (item.task, item.run)):
            self._counters.add("pool.foreign_runs_stopped")
            await held.client.stop(key, held.token)
