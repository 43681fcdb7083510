"""`apricot-entry`: the composition root of an entry process."""

from __future__ import annotations

import sys
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from pathlib import Path
from types import TracebackType
from typing import Any

import anyio
import anyio.abc
import attrs
import logbook

from apricotpoint._control.claims import make_claim_sender
from apricotpoint._control.feed import ConfigurationFeed
from apricotpoint._core.codes import ResultCode
from apricotpoint._core.counters import Counters
from apricotpoint._core.logs import LogSettings, make_handler
from apricotpoint._core.secrets import load_secrets
from apricotpoint._core.timers import TimerService
from apricotpoint._core.usage import process_gauges
from apricotpoint._http import announcements, callers, operators
from apricotpoint._http.backends import BackendClient
from apricotpoint._http.serve import TlsFiles, serve
from apricotpoint._link.mesh import Mesh
from apricotpoint._link.transport import PeerUnreachable
from apricotpoint._operator.dump import StateDump, dump_on_signal
from apricotpoint._operator.executor import CommandExecutor
from apricotpoint._programs.components import EntryComponents
from apricotpoint._programs.configrows import configuration_rows, evacuation_rows
from apricotpoint._programs.console import run_commands, settings_commands
from apricotpoint._programs.incarnation import make_random, new_incarnation
from apricotpoint._programs.signals import wait_for_stop_signal
from apricotpoint._settings.entry import EntrySettings
from apricotpoint._wire.configuration import Change, ChangeReply, ChangeRequest

CHANGE_TIMEOUT_S = 5.0
IDLE_POLL_S = 0.05
CONFIGURATION_CHECK_PERIOD_S = 0.25
MAX_REPORT_AGE_S = 10.0

_log = logbook.Logger("entry")


def main() -> int:
    """Run the console program and return its exit status."""
    return run_commands("apricot-entry", settings_commands(EntrySettings, _run))


async def _run(settings: EntrySettings) -> None:
    with make_handler(LogSettings(level=settings.log_level)).applicationbound():
        await run_entry(settings, shutdown=wait_for_stop_signal)


async def run_entry(
    settings: EntrySettings,
    *,
    shutdown: Callable[[], Awaitable[None]],
    task_status: anyio.abc.TaskStatus[EntryProcess] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Run an entry process until `shutdown` returns and its work is finished.

    Reports the process as task status when all its interfaces listen.
    """
    async with EntryProcess(settings) as process, anyio.create_task_group() as group:
        await group.start(process.serve)
        if settings.dump_folder:
            group.start_soon(dump_on_signal, process.state_dump, Path(settings.dump_folder))
        task_status.started(process)
        await process.wait_for_stop(shutdown)
        await process.drain()
        process.close_interfaces()
        await process.wait_closed()
        group.cancel_scope.cancel()


class EntryProcess:
    """One entry process: its components, connections and HTTP interfaces.

    Enter it as an async context manager, then start `serve`.
    """

    def __init__(self, settings: EntrySettings) -> None:
        self.settings = settings
        self.counters = Counters()
        self._secrets = load_secrets(Path(settings.secrets_file))
        self._stack = AsyncExitStack()
        self._close_requested = anyio.Event()
        self._interfaces_closed = anyio.Event()
        incarnation = new_incarnation()
        self._timers = TimerService()
        self._mesh = Mesh(
            process_id=settings.entry_id,
            incarnation=incarnation,
            listen=settings.peer_bind,
            address_by_peer={**settings.peer_by_id, **settings.control_by_id},
            keys=self._secrets.internal_keys(),
            timers=self._timers,
            counters=self.counters,
        )
        data_folder = Path(settings.data_folder) if settings.data_folder else None
        self._feed = ConfigurationFeed(
            transport=self._mesh,
            control_ids=list(settings.control_by_id),
            timers=self._timers,
            counters=self.counters,
            cache_path=data_folder / "configuration.cache" if data_folder else None,
        )
        self._backends = BackendClient(counters=self.counters)
        self._components = EntryComponents(
            entry_id=settings.entry_id,
            incarnation=incarnation,
            failure_domain=settings.failure_domain,
            weight=settings.weight,
            caller_address=settings.caller_bind,
            transport=self._mesh,
            timers=self._timers,
            counters=self.counters,
            random=make_random(settings.entry_id, incarnation),
            entry_ids=lambda: settings.peer_by_id,
            configuration=self._feed.configuration,
            configuration_current=self._feed.current,
            claim=make_claim_sender(
                self._mesh, settings.control_by_domain, settings.failure_domains
            ),
            send_to_backend=self._backends.send,
            fetch_result=self._backends.ask,
            cancel_on_backend=self._backends.cancel,
            drain_grace_s=settings.drain_grace_s,
        )
        self.state_dump = StateDump(
            process_id=settings.entry_id,
            timers=self._timers,
            section_by_name={
                "settings": lambda: attrs.asdict(settings),
                "incarnation": lambda: incarnation,
                "draining": lambda: self._components.draining,
                "configuration": self._feed.configuration,
                "configuration_current": self._feed.current,
                "counters": self.snapshot,
                "holder": self._components.holder.dump,
                "coordinator": self._components.coordinator.dump,
                "cluster": lambda: self._components.cluster.live_entries(MAX_REPORT_AGE_S),
            },
        )
        self._commands = CommandExecutor(
            process_id=settings.entry_id,
            transport=self._mesh,
            rows_by_table=self._rows_by_table(),
            configuration=self._feed.configuration,
            change=self._change,
            submit=self._components.coordinator.submit,
            cancel=self._components.coordinator.cancel,
            dump=self.state_dump.build,
            failure_domains=settings.failure_domains,
            wall_time=self._timers.wall_time,
        )

    async def __aenter__(self) -> EntryProcess:
        await self._stack.__aenter__()
        for component in (
            self._timers,
            self._mesh,
            self._feed,
            self._backends,
            self._components,
        ):
            await self._stack.enter_async_context(component)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool | None:
        return await self._stack.__aexit__(exc_type, exc, traceback)

    async def serve(
        self, *, task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve the caller, announcement and operator APIs until `close_interfaces` is called."""
        settings = self.settings
        caller_app = callers.make_app(
            self._components.coordinator,
            secrets=self._secrets,
            counters=self.counters,
            draining=lambda: self._components.draining,
        )
        announce_app = announcements.make_app(
            self._components.holder, secrets=self._secrets, counters=self.counters
        )
        operator_app = operators.make_app(
            self._commands,
            is_operator=lambda token: self._secrets.operator_of(token) is not None,
            counters=self.snapshot,
            health=lambda: {"process": settings.entry_id, "draining": self._components.draining},
        )
        async with anyio.create_task_group() as group:
            for app, bind, tls in (
                (caller_app, settings.caller_bind, settings.caller_tls),
                (announce_app, settings.announce_bind, None),
                (operator_app, settings.operator_bind, settings.operator_tls),
            ):
                await group.start(self._serve_app, app, bind, tls)
            task_status.started()
        self._interfaces_closed.set()

    async def wait_for_stop(self, shutdown: Callable[[], Awaitable[None]]) -> None:
        """Return when `shutdown` returns or the configuration stops this VM.

        Until then, starts and ends draining whenever the configuration drains this
        VM or ends its drain.
        """
        async with anyio.create_task_group() as group:

            async def wait_for_signal() -> None:
                await shutdown()
                group.cancel_scope.cancel()

            group.start_soon(wait_for_signal)
            while self.settings.entry_id not in self._feed.configuration().stopped_vms:
                self._apply_configuration()
                await anyio.sleep(CONFIGURATION_CHECK_PERIOD_S)
            group.cancel_scope.cancel()

    async def drain(self) -> None:
        """Refuse new jobs, hand over the backend servers, and finish all work in progress.

        After the grace period it waits at most `drain_limit_s` for unfinished work.
        """
        _log.info("entry process {} is draining before it stops", self.settings.entry_id)
        self._components.start_draining()
        await anyio.sleep(self.settings.drain_grace_s)
        with anyio.move_on_after(self.settings.drain_limit_s) as scope:
            # Polls, because the components have no event for being idle; a drain is rare.
            while not self._components.idle():  # noqa: ASYNC110
                await anyio.sleep(IDLE_POLL_S)
        if scope.cancelled_caught:
            _log.warn(
                "entry process {} stops with unfinished work: drain limit of {:g} s reached",
                self.settings.entry_id,
                self.settings.drain_limit_s,
            )

    def snapshot(self) -> dict[str, float]:
        """Return all counters, including processor time and memory of this process."""
        return self.counters.snapshot() | process_gauges()

    def close_interfaces(self) -> None:
        """Stop accepting connections; requests in progress are still answered."""
        self._close_requested.set()

    async def wait_closed(self) -> None:
        """Return when `serve` has closed all interfaces."""
        await self._interfaces_closed.wait()

    async def _serve_app(
        self,
        app: Any,
        bind: str,
        tls: TlsFiles | None,
        *,
        task_status: anyio.abc.TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        await serve(app, bind, tls, self._close_requested.wait, task_status=task_status)

    def _apply_configuration(self) -> None:
        versions = [
            view.report.config_version
            for view in self._components.cluster.live_entries(MAX_REPORT_AGE_S)
        ]
        self._feed.fetch_if_newer(max(versions))
        drained = self.settings.entry_id in self._feed.configuration().drained_vms
        if drained and not self._components.draining:
            _log.info(
                "entry process {} starts draining: the configuration drains this VM",
                self.settings.entry_id,
            )
            self._components.start_draining()
        if not drained and self._components.draining:
            _log.info(
                "entry process {} stops draining: the configuration no longer drains this VM",
                self.settings.entry_id,
            )
            self._components.stop_draining()

    def _rows_by_table(self) -> dict[str, Callable[[], list[dict[str, Any]]]]:
        return {
            "jobs": lambda: self._components.coordinator.rows("jobs"),
            "tasks": lambda: self._components.coordinator.rows("tasks"),
            "backends": self._components.holder.rows,
            "vms": self._vm_rows,
            "services": lambda: configuration_rows(self._feed.configuration().service_by_name),
            "teams": lambda: configuration_rows(self._feed.configuration().team_by_name),
            "evacuations": lambda: evacuation_rows(
                self._feed.configuration(), self.settings.failure_domains
            ),
        }

    def _vm_rows(self) -> list[dict[str, Any]]:
        report = self._components.report()
        return [
            {
                "vm": self.settings.entry_id,
                "role": "entry",
                "failure_domain": self.settings.failure_domain,
                "draining": self._components.draining,
                "config_version": report.config_version,
                "config_current": self._feed.current(),
                "held_slots": report.held_slots,
                "queued_tasks": report.queued_tasks,
                "weight": self.settings.weight,
            }
        ]

    async def _change(self, change: Change) -> ChangeReply:
        """Send a configuration change to each control process until one decides on it.

        A change whose reply was lost may be sent again: the replicated log
        recognises it by its command id.
        """
        for control_id in self.settings.control_by_id:
            try:
                reply = await self._mesh.request(
                    control_id, ChangeRequest(change), timeout_s=CHANGE_TIMEOUT_S
                )
            except PeerUnreachable:
                continue
            assert isinstance(reply, ChangeReply)
            if reply.code != ResultCode.NO_MAJORITY:
                return reply
        return ChangeReply(
            code=int(ResultCode.NO_MAJORITY),
            version=self._feed.configuration().version,
            message="no control process with a majority answered",
        )


if __name__ == "__main__":
    sys.exit(main())
