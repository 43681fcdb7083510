"""The entry program for the platform: creates and connects its components."""

from __future__ import annotations

import math
import sys
from contextlib import AsyncExitStack

import anyio
import anyio.abc
import logbook

from apricotpoint._control.feed import ConfigurationFeed
from apricotpoint._core.counters import Counters
from apricotpoint._core.pauses import PauseMonitor
from apricotpoint._core.timers import TimerService
from apricotpoint._http.arrivals import Arrivals
from apricotpoint._http.serve import serve
from apricotpoint._link.mesh import Mesh
from apricotpoint._pool.evacuationorders import EvacuationOrders
from apricotpoint._pool.explainer import Explainer
from apricotpoint._pool.holders.claimer import CLAIM_CHECK_PERIOD_S, Claimer
from apricotpoint._pool.holders.crashreports import CrashReports
from apricotpoint._pool.holders.discovery import Discovery
from apricotpoint._pool.holders.members import EntryMembers
from apricotpoint._pool.holders.roster import Roster
from apricotpoint._pool.routing import Routing
from apricotpoint._pool.scheduler import Scheduler
from apricotpoint._pool.service import PoolService
from apricotpoint._programs.incarnation import make_random
from apricotpoint._wire.configuration import ConfigPoll, Configuration
from apricotpoint._wire.pool import EntryStatus, EntrySummary, PoolJob
from apricotpoint.platform.callers import CallerInterface, make_readiness_app
from apricotpoint.platform.configuration import decode_routing
from apricotpoint.platform.explain import make_explain_route
from apricotpoint.platform.process import (
    PEER_IDLE_S,
    PEER_KEY,
    SettingsFile,
    Signals,
    run_program,
    suspended_s,
)
from apricotpoint.platform.settings import PlatformSettings
from apricotpoint.platform.usagereport import report_usage
from apricotpoint.platform.workers import WorkerClient

# Time until the load balancer sends no more connections: it checks readiness every second
# and needs two failed checks. Callers on open connections are served meanwhile.
LOAD_BALANCER_DRAIN_S = 2.6
DRAIN_POLL_S = 0.02
# The process stops this long before the end of its grace period, when the platform kills it.
SHUTDOWN_MARGIN_S = 1.0
# Within that margin, open requests are ended first (`END_TIMEOUT_S`); then the last answers are
# sent within this time.
SERVER_CLOSE_S = 0.3
# Longer than the idle time-out of the platform for its own connections.
CONNECTION_IDLE_TIMEOUT_S = 30.0

_log = logbook.Logger("entry")


def main() -> int:
    """Run the entry program and return its exit status."""
    return run_program("entry", _run)


async def _run(settings_file: SettingsFile, signals: Signals, incarnation: int) -> None:
    async with EntryProcess(settings_file, incarnation) as process:
        await process.serve_until(signals.stop_requested)


class EntryProcess:
    """Creates and connects the components of one entry process on the platform.

    Use as an async context manager, which starts and stops them.
    """

    def __init__(self, settings_file: SettingsFile, incarnation: int) -> None:
        settings = settings_file.current
        self._settings_file = settings_file
        self._settings: PlatformSettings = settings
        self._stopping = False
        # Monotonic time from which no open job remains; infinity until the process is stopped.
        self._drained_by = math.inf
        self._routing = Routing()
        self._stack = AsyncExitStack()
        self._close_servers = anyio.Event()
        counters = self._counters = Counters()
        generator = make_random(settings.address, incarnation)
        self._timers = TimerService(suspended_s=suspended_s)
        # Not the wall clock, which may be behind that of an earlier start.
        self._started_at = incarnation / 1e6
        self._mesh = Mesh(
            process_id=settings.address,
            incarnation=incarnation,
            listen=settings.peer_address(settings.address),
            address_by_peer={seed: settings.peer_address(seed) for seed in settings.seeds},
            keys=[PEER_KEY],
            timers=self._timers,
            counters=counters,
            address_of=settings.peer_address,
            idle_after_s=PEER_IDLE_S,
            quiet_types=[ConfigPoll],
            dated_types=[PoolJob],
        )
        self._roster = Roster(now=self._timers.now)
        self._scheduler = Scheduler(
            timers=self._timers,
            counters=counters,
            random=generator,
            make_client=WorkerClient,
        )
        self._claimer = Claimer(
            domains=lambda: settings.failure_domains,
            scheduler=self._scheduler,
            roster=self._roster,
            timers=self._timers,
            counters=counters,
            suspended_s=suspended_s,
        )
        self._scheduler.on_fenced = self._claimer.give_up_claim
        self._discovery = Discovery(
            summary=EntrySummary(
                entry_id=settings.address,
                failure_domain=settings.failure_domain,
                cores=settings.cores,
                started_at=self._started_at,
            ),
            seeds=settings_file.seeds,
            transport=self._mesh,
            address_of=settings.peer_address,
            timers=self._timers,
            roster=self._roster,
        )
        self._members = EntryMembers(
            discovery=self._discovery,
            transport=self._mesh,
            address_of=settings.peer_address,
            timers=self._timers,
            roster=self._roster,
            random=generator,
            make_status=self._make_status,
        )
        self._crash_reports = CrashReports(
            crashes=self._scheduler.crashes,
            members=self._members,
            roster=self._roster,
            transport=self._mesh,
            timers=self._timers,
        )
        self._feed = ConfigurationFeed(
            transport=self._mesh,
            control_ids=self._discovery.control_ids,
            timers=self._timers,
            counters=counters,
        )
        self._feed.subscribe(self._apply_configuration)
        self._discovery.on_config_version = self._feed.fetch_if_newer
        self._service = PoolService(
            own_domain=settings.failure_domain,
            members=self._members,
            scheduler=self._scheduler,
            transport=self._mesh,
            timers=self._timers,
            counters=counters,
            random=generator,
        )
        if settings.has_places:
            EvacuationOrders(
                feed=self._feed,
                scheduler=self._scheduler,
                service=self._service,
                timeout_s=settings.evacuation_timeout_s,
            )
        self._explainer = Explainer(
            service=self._service,
            members=self._members,
            scheduler=self._scheduler,
            transport=self._mesh,
            timers=self._timers,
        )
        self._pauses = PauseMonitor(timers=self._timers)
        self._arrivals = Arrivals()
        self._callers = CallerInterface(
            self._service,
            routing=lambda: self._routing,
            pending=self._scheduler.unstarted_jobs,
            counters=counters,
            remaining_s=self._remaining_s,
            unread_s=lambda client: self._pauses.unread_s(self._arrivals.silent_s(client)),
            clock=self._timers.boot_time,
            remote_penalty=lambda: settings_file.current.remote_penalty,
        )

    async def __aenter__(self) -> EntryProcess:
        await self._stack.__aenter__()
        for component in (
            self._timers,
            self._pauses,
            self._mesh,
            self._scheduler,
            self._members,
            self._crash_reports,
            self._discovery,
            self._service,
            self._explainer,
        ):
            await self._stack.enter_async_context(component)
        self._claimer.start_pause_detection()
        self._timers.every(CLAIM_CHECK_PERIOD_S, self._check_cluster)
        report_usage(self._timers, self._counters, self._mesh.traffic)
        # Started last, because it waits for the control processes, on which the claims of
        # failure domains do not depend.
        await self._stack.enter_async_context(self._feed)
        return self

    async def __aexit__(self, *exc_info: object) -> bool | None:
        return await self._stack.__aexit__(*exc_info)  # type: ignore[arg-type]

    async def serve_until(self, stop_requested: anyio.Event) -> None:
        """Serve callers until the platform stops the process, then finish the open requests."""
        settings = self._settings
        async with anyio.create_task_group() as group:
            group.start_soon(self._arrivals.check)
            await group.start(self._serve, self._callers.make_app(), settings.caller_bind)
            explain_route = make_explain_route(
                self._explainer,
                routing=lambda: self._routing,
                remote_penalty=lambda: self._settings_file.current.remote_penalty,
            )
            readiness = make_readiness_app(self._is_ready, explain_route)
            await group.start(self._serve, readiness, settings.readiness_bind)
            _log.info("listening for callers on {}", settings.caller_bind)
            await stop_requested.wait()
            await self._drain()
            # No time remains for what arrives until the servers are closed, also after a short
            # drain.
            self._drained_by = min(self._drained_by, self._timers.now())
            await self._callers.end_open_requests()
            self._close_servers.set()

    async def _drain(self) -> None:
        """Fail readiness checks, hand over the backend servers and finish the open jobs.

        Takes at least `LOAD_BALANCER_DRAIN_S`, and at most the grace period of the
        platform less `SHUTDOWN_MARGIN_S`.
        """
        _log.info("draining: {} requests are open", self._callers.open_requests)
        drain_began_at = self._timers.now()
        self._stopping = True
        max_drain_s = self._settings.grace_s - SHUTDOWN_MARGIN_S
        self._drained_by = drain_began_at + max_drain_s
        self._claimer.draining = True
        self._members.send_status()
        handed_over = False
        while (drained_for_s := self._timers.now() - drain_began_at) < max_drain_s:
            if not handed_over and self._has_successor():
                self._scheduler.start_draining()
                handed_over = True
            is_idle = self._scheduler.idle() and not self._callers.open_requests
            if drained_for_s >= LOAD_BALANCER_DRAIN_S and is_idle:
                break
            await self._timers.sleep(DRAIN_POLL_S)
        _log.info("drained: {} requests are still open", self._callers.open_requests)

    def _remaining_s(self) -> float:
        return self._drained_by - self._timers.now()

    def _has_successor(self) -> bool:
        own_parts = set(self._claimer.term_by_claim())
        other_parts = {
            part
            for entry_id, status in self._members.live_entries().items()
            if entry_id != self._members.entry_id and not status.draining
            for part in status.term_by_claim
        }
        return own_parts <= other_parts

    def _is_ready(self) -> bool:
        return not self._stopping and self._routing.version > 0

    def _make_status(self) -> EntryStatus:
        return EntryStatus(
            failure_domain=self._settings.failure_domain,
            draining=self._stopping,
            config_version=self._feed.configuration().version,
            term_by_claim=self._claimer.term_by_claim(),
            held=self._claimer.held_backend_ids(),
            load=self._scheduler.load(),
            speed_by_backend=self._scheduler.estimates.speeds(),
            answering=self._claimer.responsive_backend_count(),
            cores=self._settings.cores,
            started_at=self._started_at,
        )

    def _check_cluster(self) -> None:
        self._claimer.check(self._members)
        self._roster.remove_unreachable()
        versions = [status.config_version for status in self._members.live_entries().values()]
        self._feed.fetch_if_newer(max(versions))

    def _apply_configuration(self, configuration: Configuration) -> None:
        if configuration.document.version != self._routing.version:
            self._routing = decode_routing(configuration.document)
            _log.info("configuration version {} is active", self._routing.version)

    async def _serve(
        self,
        app: object,
        bind: str,
        *,
        task_status: anyio.abc.TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        await serve(
            app,
            bind,
            None,
            self._close_servers.wait,
            grace_s=SERVER_CLOSE_S,
            idle_s=CONNECTION_IDLE_TIMEOUT_S,
            arrivals=self._arrivals,
            task_status=task_status,
        )


if __name__ == "__main__":
    sys.exit(main())
