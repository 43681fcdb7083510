"""Renews the lease on one backend server and reports the state of the runs there."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from typing import Protocol

import anyio
import logbook

from apricotpoint._core.counters import Counters
from apricotpoint._core.timers import TimerService
from apricotpoint._pool.decisions.verdicts import Evidence
from apricotpoint._pool.runs.backendclient import (
    LeaseReply,
    RenewalRefused,
    RunKey,
    RunOutcome,
    StartOutcome,
)
from apricotpoint._pool.runs.heldbackend import HeldBackend
from apricotpoint._pool.runs.job import Run, RunState

# Longest time that a renewal waits at the backend server for the end of a run. Two unanswered
# renewals fit into a lease.
RENEWAL_WAIT_S = 0.2
# The same while nothing runs there, so that no lease is needed: these renewals only show that it
# still answers. They were two thirds of all calls to backend servers.
IDLE_RENEWAL_WAIT_S = 0.6
# Not so soon after the acquisition of a backend server: of several processes that claimed it at
# once, those with lower fencing tokens learn this from their next renewal.
SETTLING_S = 3.0
# Delay after a renewal that got no answer or was refused.
RETRY_DELAY_S = 0.03
# Two renewals may be on the way at once, on different connections, so that the older reply may
# arrive last. It is then at most as old as the longest renewal takes; a clock that is further
# behind has been set anew, or an earlier reply had a wrong one.
MAX_REPLY_DELAY_S = 1.0
# Increment of the fencing token by a renewal that fences off earlier starts. Another holder
# starts with a token above all of these.
TOKEN_STEP = 1
# A run is stalled if its progress does not change for the longer of `STALL_S` and this share of
# its expected run time. Progress is in whole percent, so that of a healthy run changes after
# each 1% of its run time.
STALL_S = 0.35
STALL_SHARE = 0.08

# A run predicted to take this many times as long as expected is a straggler, which shows that
# its backend server is slow: estimates alone are wrong by up to 40%.
STRAGGLER_FACTOR = 1.7

_log = logbook.Logger("pool")


class RunObserver(Protocol):
    """Receives what a lease renewer finds out; no method may block."""

    def run_ended(self, run: Run, outcome: RunOutcome) -> None:
        """Handle a run that its backend server reports as ended, with its outcome."""

    def run_terminated(self, run: Run, reason: str) -> None:
        """Handle a run that can no longer be active and whose outcome is unknown."""

    def runs_lost(
        self, held: HeldBackend, runs: Sequence[Run], evidence: Evidence, reason: str
    ) -> None:
        """Handle runs that can no longer be active, as their backend server may have crashed."""

    def run_stalled(self, run: Run) -> None:
        """Handle a run that reports no progress; repeated until the run is stopping."""

    def run_confirmed(self, run: Run) -> None:
        """Handle a run that is listed as active before its start was confirmed."""

    def run_straggling(self, run: Run, predicted_s: float) -> None:
        """Handle a run whose progress predicts a far longer run time than expected, in seconds."""

    def run_progressed(self, run: Run) -> None:
        """Handle new progress of a run."""

    def run_time_predicted(self, run: Run, predicted_s: float) -> None:
        """Handle a new prediction of the run time of a run in seconds, from its progress."""

    def backend_changed(self, held: HeldBackend) -> None:
        """Handle a backend server that answers again, or on which runs have ended."""

    def backend_refused_connection(self, held: HeldBackend) -> None:
        """Handle a held backend server whose VM has begun to refuse connections."""

    def backend_ended(self, held: HeldBackend, reason: str) -> None:
        """Handle a held backend server whose incarnation has ended."""

    def backend_fenced(self, held: HeldBackend) -> None:
        """Handle a backend server on which another holder has a higher fencing token."""


class LeaseRenewer:
    """Renews the lease on one held backend server and processes the replies.

    A start that got no answer may have been carried out, or may be carried out later. A renewal
    with a higher fencing token resolves this: once it is answered, the run is either listed in
    the reply or its start will be ignored. `lease_limit_at` returns the time beyond which the
    lease must not be renewed.
    """

    def __init__(
        self,
        held: HeldBackend,
        *,
        observer: RunObserver,
        timers: TimerService,
        counters: Counters,
        lease_limit_at: Callable[[HeldBackend], float],
    ) -> None:
        self._held = held
        self._lease_limit_at = lease_limit_at
        self._observer = observer
        self._timers = timers
        self._counters = counters
        self._scope = anyio.CancelScope()
        self._logged_runs: set[RunKey] = set()
        # Whether a renewal that was sent while nothing ran there is not answered yet.
        self._is_idle = False
        self._is_watching = False
        # Clock of the backend server in the newest reply, in milliseconds.
        self._reply_clock_ms: int | None = None
        self._restarted_at = -math.inf

    async def run(self) -> None:
        """Renew the lease until `release` is called, then close the client."""
        held = self._held
        settled_at = self._timers.now() + SETTLING_S
        with self._scope:
            while not held.released:
                fence = any(run.state is RunState.UNCONFIRMED for run in held.run_by_key.values())
                is_settled = self._timers.now() >= settled_at
                self._is_idle = is_settled and held.is_responsive and not held.run_by_key
                wait_s = IDLE_RENEWAL_WAIT_S if self._is_idle else RENEWAL_WAIT_S
                if fence or not held.is_responsive:
                    wait_s = 0.0
                is_answered = await self._renew(wait_s, fence=fence)
                self._is_idle = False
                if not is_answered:
                    await self._timers.sleep(RETRY_DELAY_S)
                self._check_lease_expiry()
                await self._stop_untracked_runs()
        await held.client.close()

    def release(self) -> None:
        """Stop renewing the lease and cancel the renewal in progress."""
        self._held.released = True
        self._scope.cancel()

    async def watch_started_run(self) -> None:
        """Renew the lease beside a renewal that was sent while nothing ran there.

        That one is answered only after `IDLE_RENEWAL_WAIT_S` or at the end of a run, which would
        be too late for the progress of a long run.
        """
        held = self._held
        if not self._is_idle or self._is_watching:
            return
        self._is_watching = True
        try:
            await self._timers.sleep(RENEWAL_WAIT_S)
            while self._is_idle and held.run_by_key and not held.released:
                if not await self._renew(RENEWAL_WAIT_S, fence=False):
                    return
        finally:
            self._is_watching = False

    async def resolve(self, run: Run) -> None:
        """Renew at once with a higher fencing token to find out whether a start was carried out."""
        run.state = RunState.UNCONFIRMED
        self._counters.add("pool.unsure_starts")
        await self._renew(0.0, fence=True)

    async def _renew(self, wait_s: float, *, fence: bool) -> bool:
        held = self._held
        if fence:
            held.token += TOKEN_STEP
        token, sent_at = held.token, self._timers.now()
        held.lease_limit_at = self._lease_limit_at(held)
        # Without answers, renewals do not extend the lease: they might still arrive, and the lease
        # has to expire before the tasks that run there may start elsewhere. Runs of earlier
        # holders may have started elsewhere, too, and starts bring a lease of their own.
        extends = held.is_responsive and held.run_by_key
        lease_until_ms = held.lease_until_ms(sent_at) if extends else None
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
                _log.warning("backend server {} does not answer lease renewals", held.backend_id)
            return False
        self._process_reply(reply, token, sent_at)
        return True

    def _handle_refusal(self, outcome: StartOutcome, token: int) -> None:
        held = self._held
        held.is_responsive = False
        if outcome is StartOutcome.NOT_LISTENING:
            self._counters.add("pool.renewals_not_listening")
            if not held.refuses_connections:
                held.refuses_connections = True
                self._observer.backend_refused_connection(held)
                _log.warning(
                    "the VM of backend server {} refuses connections; {} runs are active there",
                    held.backend_id,
                    len(held.run_by_key),
                )
        elif outcome is StartOutcome.OTHER_INCARNATION:
            self._observer.backend_ended(held, "another incarnation answers at its address")
        elif outcome is StartOutcome.FENCED and token == held.token:
            self._counters.add("pool.fenced_renewals")
            self._observer.backend_fenced(held)

    def _process_reply(self, reply: LeaseReply, token: int, sent_at: float) -> None:
        held, now = self._held, self._timers.now()
        held.refuses_connections = False
        if self._is_outdated(reply, now):
            # What it lists is in the newer one, too, unless that has ended meanwhile.
            self._counters.add("pool.outdated_replies")
            return
        if reply.born_ms and held.born_ms and reply.born_ms != held.born_ms:
            self._handle_restart(reply)
        self._reply_clock_ms = reply.clock_ms
        held.update_clock(reply, now)
        held.born_ms = reply.born_ms or held.born_ms
        earlier_runs = dict(held.run_by_key)
        ended_keys = self._process_ended_runs(reply, earlier_runs)
        for key, run in earlier_runs.items():
            if key in ended_keys or key not in held.run_by_key:
                continue
            progress = reply.progress_by_run.get(key)
            if progress is not None:
                self._record_progress(run, progress, now)
            elif run.state is RunState.UNCONFIRMED:
                # The higher token of this renewal keeps the start from being carried out later.
                if run.token < token and run.sent_at <= sent_at:
                    self._observer.run_terminated(run, "its start was not carried out")
            elif run.state is RunState.RUNNING and run.confirmed_at < sent_at:
                self._observer.run_terminated(run, "the backend server does not list it any more")
        held.untracked_runs = {
            key
            for key in reply.progress_by_run
            if key not in earlier_runs and key not in held.run_by_key and key not in ended_keys
        }
        if not held.is_responsive or ended_keys:
            held.is_responsive = True
            self._observer.backend_changed(held)

    def _is_outdated(self, reply: LeaseReply, now: float) -> bool:
        """Return whether a newer reply was processed before.

        It would bring back runs that have ended, which would then be stopped as those of an
        earlier holder, or it would be taken for one of the next incarnation.
        """
        held, newest_ms = self._held, self._reply_clock_ms
        if reply.born_ms and held.born_ms and reply.born_ms != held.born_ms:
            is_former = reply.born_ms < held.born_ms
            return is_former and now - self._restarted_at <= MAX_REPLY_DELAY_S
        return newest_ms is not None and 0 < newest_ms - reply.clock_ms <= MAX_REPLY_DELAY_S * 1000

    def _process_ended_runs(
        self, reply: LeaseReply, earlier_runs: dict[RunKey, Run]
    ) -> set[RunKey]:
        held = self._held
        ended_keys: set[RunKey] = set()
        for ended in sorted(reply.ended, key=lambda item: item.number):
            ended_keys.add(ended.key)
            held.acknowledged = max(held.acknowledged, ended.number)
            run = earlier_runs.get(ended.key)
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
            self._observer.run_progressed(run)
            return
        limit_s = max(STALL_S, STALL_SHARE * run.expected_s)
        if now - run.progress_changed_at > limit_s and not run.stopping:
            self._observer.run_stalled(run)

    def _handle_restart(self, reply: LeaseReply) -> None:
        held = self._held
        self._restarted_at = self._timers.now()
        _log.warning(
            "backend server {} has restarted: its incarnation started at {} ms instead of {} ms",
            held.backend_id,
            reply.born_ms,
            held.born_ms,
        )
        held.acknowledged = 0
        runs = [run for run in held.run_by_key.values() if run.key not in reply.progress_by_run]
        self._observer.runs_lost(held, runs, Evidence.CRASHED, "the backend server has restarted")

    def _check_lease_expiry(self) -> None:
        held = self._held
        if held.is_responsive or self._timers.now() < held.lease_expires_at:
            return
        runs = list(held.run_by_key.values())
        if held.refuses_connections:
            evidence, silence = Evidence.REFUSED, "refused connections"
        else:
            evidence, silence = Evidence.SILENT, "did not answer"
        self._observer.runs_lost(
            held, runs, evidence, f"the lease expired while the backend server {silence}"
        )

    async def _stop_untracked_runs(self) -> None:
        held = self._held
        self._logged_runs &= held.untracked_runs
        for key in sorted(held.untracked_runs, key=lambda item: (item.task, item.run)):
            self._counters.add("pool.foreign_runs_stopped")
            stopped = await held.client.stop(key, held.token)
            if key not in self._logged_runs:
                self._logged_runs.add(key)
                _log.notice(
                    "run {} of task {} of an earlier holder is active on backend server {}: {}",
                    key.run,
                    key.task,
                    held.backend_id,
                    "it was stopped" if stopped else "its stop got no answer",
                )
