"""The entry program on the platform: its composition root."""

from __future__ import annotations

import random
import sys
from contextlib import AsyncExitStack

import anyio
import anyio.abc
import logbook

from apricotpoint._control.feed import ConfigurationFeed
from apricotpoint._core.counters import Counters
from apricotpoint._core.timers import TimerService
from apricotpoint._http.serve import serve
from apricotpoint._link.mesh import Mesh
from apricotpoint._pool.claimer import CLAIM_CHECK_PERIOD_S, Claimer
from apricotpoint._pool.members import EntryMembers
from apricotpoint._pool.roster import Roster
from apricotpoint._pool.routing import Routing
from apricotpoint._pool.scheduler import Scheduler
from apricotpoint._pool.service import PoolService
from apricotpoint._programs.incarnation import new_incarnation
from apricotpoint._wire.configuration import Configuration
from apricotpoint._wire.pool import EntryStatus
from apricotpoint.platform.callers import CallerInterface, make_readiness_app
from apricotpoint.platform.configuration import decode_routing
from apricotpoint.platform.process import (
    PEER_KEY,
    SettingsFile,
    run_program,
    suspended_s,
    wait_for_stop,
)
from apricotpoint.platform.settings import PlatformSettings
from apricotpoint.platform.workers import WorkerCalls

# The balancer checks readiness each second and needs two misses to send no more
# connections. Callers on open ones are served meanwhile.
SHED_S = 2.6
IDLE_POLL_S = 0.02
# The platform kills a process at the end of its grace period; this much is left, in seconds.
STOP_MARGIN_S = 1.0
# Longer than the idle time-out that the platform announces for its own connections.
CONNECTION_IDLE_S = 30.0

_log = logbook.Logger("entry")


def main() -> int:
    """Run the program and return its exit status."""
    return run_program("entry", _run)


async def _run(settings_file: SettingsFile) -> None:
    async with EntryProcess(settings_file) as process:
        await process.serve_until_stopped()


class EntryProcess:
    """All parts of one entry process on the platform, wired together."""

    def __init__(self, settings_file: SettingsFile) -> None:
        settings = settings_file.current
        self._settings_file = settings_file
        self._settings: PlatformSettings = settings
        self._stopping = False
        self._routing = Routing()
        self._stack = AsyncExitStack()
        self._close = anyio.Event()
        incarnation = new_incarnation()
        counters = Counters()
        self._timers = TimerService()
        self._started_at = self._timers.wall()
        self._mesh = Mesh(
            process_id=settings.address,
            incarnation=incarnation,
            listen=settings.peer_address(settings.address),
            address_by_peer={seed: settings.peer_address(seed) for seed in settings.seeds},
            keys=[PEER_KEY],
            timers=self._timers,
            counters=counters,
            address_of=settings.peer_address,
        )
        self._roster = Roster(now=self._timers.now)
        self._scheduler = Scheduler(
            timers=self._timers,
            counters=counters,
            random=random.Random(incarnation),
            make_client=WorkerCalls,
        )
        self._claimer = Claimer(
            domains=lambda: settings.failure_domains,
            scheduler=self._scheduler,
            roster=self._roster,
            timers=self._timers,
            counters=counters,
            suspended_s=suspended_s,
        )
        self._scheduler.on_fenced = self._claimer.fenced
        self._members = EntryMembers(
            entry_id=settings.address,
            failure_domain=settings.failure_domain,
            seeds=settings_file.seeds,
            transport=self._mesh,
            address_of=settings.peer_address,
            timers=self._timers,
            roster=self._roster,
            make_status=self._status,
        )
        self._feed = ConfigurationFeed(
            transport=self._mesh,
            control_ids=self._members.control_ids,
            timers=self._timers,
            counters=counters,
        )
        self._feed.subscribe(self._on_configuration)
        self._service = PoolService(
            own_domain=settings.failure_domain,
            members=self._members,
            scheduler=self._scheduler,
            transport=self._mesh,
            timers=self._timers,
            counters=counters,
            has_single_holder=self._claimer.has_single_holder,
        )
        self._callers = CallerInterface(
            self._service,
            routing=lambda: self._routing,
            pending=self._scheduler.pending,
            counters=counters,
            stopping=lambda: self._stopping,
        )

    async def __aenter__(self) -> EntryProcess:
        await self._stack.__aenter__()
        for part in (
            self._timers,
            self._mesh,
            self._scheduler,
            self._members,
            self._service,
        ):
            await self._stack.enter_async_context(part)
        self._claimer.start_pause_detection()
        self._timers.every(CLAIM_CHECK_PERIOD_S, self._check)
        # The feed first waits for the control processes; claims do not depend on them.
        await self._stack.enter_async_context(self._feed)
        self._on_configuration(self._feed.configuration())
        return self

    async def __aexit__(self, *exc_info: object) -> bool | None:
        return await self._stack.__aexit__(*exc_info)  # type: ignore[arg-type]

    async def serve_until_stopped(self) -> None:
        """Serve callers until the platform stops the process, then finish what is open."""
        settings = self._settings
        async with anyio.create_task_group() as group:
            await group.start(self._serve, self._callers.make_app(), settings.caller_bind)
            await group.start(
                self._serve, make_readiness_app(self._is_ready), settings.readiness_bind
            )
            _log.info("listening on {}", settings.caller_bind)
            await wait_for_stop(self._settings_file)
            await self._drain()
            self._close.set()

    async def _drain(self) -> None:
        """Shed new connections, hand over the backend servers and finish all open jobs."""
        _log.info("stopping with {} open requests", self._callers.open_requests)
        began_at = self._timers.now()
        self._stopping = True
        self._claimer.draining = True
        self._members.send_status()
        handed_over = False
        limit_s = self._settings.grace_s - STOP_MARGIN_S
        while (passed_s := self._timers.now() - began_at) < limit_s:
            if not handed_over and self._has_successor():
                self._scheduler.start_draining()
                handed_over = True
            done = self._scheduler.idle() and not self._callers.open_requests
            if passed_s >= SHED_S and done:
                break
            await self._timers.sleep(IDLE_POLL_S)
        _log.info("stopped with {} open requests", self._callers.open_requests)

    def _has_successor(self) -> bool:
        own = set(self._claimer.term_by_claim())
        others = {
            domain
            for entry_id, status in self._members.live().items()
            if entry_id != self._members.entry_id and not status.draining
            for domain in status.term_by_claim
        }
        return own <= others

    def _is_ready(self) -> bool:
        return not self._stopping and self._routing.version > 0

    def _status(self) -> EntryStatus:
        return EntryStatus(
            failure_domain=self._settings.failure_domain,
            draining=self._stopping,
            config_version=self._feed.configuration().version,
            term_by_claim=self._claimer.term_by_claim(),
            held=self._claimer.held(),
            load=self._scheduler.load(),
            speed_by_backend=self._scheduler.estimates.speeds(),
            answering=self._claimer.answering(),
            started_at=self._started_at,
        )

    def _check(self) -> None:
        self._claimer.check(self._members)
        self._roster.remove_unreachable()
        versions = [status.config_version for status in self._members.live().values()]
        self._feed.fetch_if_newer(max(versions))

    def _on_configuration(self, configuration: Configuration) -> None:
        if configuration.document.version != self._routing.version:
            self._routing = decode_routing(configuration.document)
            _log.info("configuration {} is in force", self._routing.version)

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
            self._close.wait,
            grace_s=STOP_MARGIN_S / 2,
            idle_s=CONNECTION_IDLE_S,
            task_status=task_status,
        )


if __name__ == "__main__":
    sys.exit(main())
