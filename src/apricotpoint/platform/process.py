"""Shared parts of the entry and the control program: settings file, signals and peer key."""

from __future__ import annotations

import gc
import signal
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from types import TracebackType

import anyio
import anyio.abc
import logbook

from apricotpoint._core.errors import ApricotError, find_error
from apricotpoint._core.logs import LogFormat, LogSettings, make_handler
from apricotpoint._link.mesh import OldIncarnationError
from apricotpoint._programs.incarnation import new_incarnation
from apricotpoint.platform.settings import PlatformSettings, load_settings, settings_path

# Not a secret: the platform owns the network between the VMs and distributes no secrets.
# The key only keeps messages of other programs from being accepted.
PEER_KEY = b"apricotpoint peers"

# A link to a peer that is not used for this long closes its connection: hundreds of processes
# cannot keep connections between all pairs.
PEER_IDLE_S = 6.0

# Allocations between two garbage collections. Each job allocates about 1000 objects, which
# are freed by reference counting; the default of 700 would run a collection for each job.
GC_THRESHOLD_ALLOCATIONS = 20_000

RECEIVED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)

_log = logbook.Logger("process")


class SettingsFile:
    """The settings file; `current` has the settings as last read."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._modified_ns = path.stat().st_mtime_ns
        self.current = load_settings(path)

    def seeds(self) -> list[str]:
        """Return the seeds, after reading the file again if it has changed."""
        self.reload()
        return self.current.seeds

    def reload(self) -> None:
        """Read the file if it has changed; if that fails, keep the current settings."""
        try:
            modified_ns = self._path.stat().st_mtime_ns
            if modified_ns == self._modified_ns:
                return
            self.current = load_settings(self._path)
            self._modified_ns = modified_ns
        except (OSError, ApricotError) as error:
            _log.warning("settings file cannot be reloaded, keeping current settings: {}", error)
            return
        _log.info("settings file reloaded: seeds {}", self.current.seeds)


def suspended_s() -> float:
    """Return for how long this VM has been suspended, which the monotonic clock does not count."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()


class Signals:
    """Receives the signals of the platform; use as an async context manager.

    SIGHUP reloads the settings. `stop_requested` is set by the first SIGTERM or SIGINT. Signals
    are received until the context is left, as any of them would end a process that shuts down.
    """

    def __init__(self, settings: SettingsFile) -> None:
        self.stop_requested = anyio.Event()
        self._settings = settings
        self._group: anyio.abc.TaskGroup | None = None

    async def __aenter__(self) -> Signals:
        self._group = anyio.create_task_group()
        await self._group.__aenter__()
        await self._group.start(self._receive)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool | None:
        assert self._group is not None
        self._group.cancel_scope.cancel()
        return await self._group.__aexit__(exc_type, exc, traceback)

    async def _receive(
        self, *, task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        with anyio.open_signal_receiver(*RECEIVED_SIGNALS) as signals:
            task_status.started()
            async for number in signals:
                if number is signal.SIGHUP:
                    self._settings.reload()
                elif self.stop_requested.is_set():
                    _log.info("{} is ignored: the process is stopping already", number.name)
                else:
                    self.stop_requested.set()


def _tune_garbage_collector() -> None:
    """Exclude all objects made so far from garbage collections, and collect less often."""
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD_ALLOCATIONS)
    gc.enable()


def run_program(name: str, run: Callable[[SettingsFile, Signals, int], Awaitable[None]]) -> int:
    """Run a program with the settings of the platform and return its exit status.

    `run` gets an incarnation that is higher than those of earlier starts. It is called again with a
    higher one if it ends with `OldIncarnationError`, as after the wall clock was set back.
    """

    async def run_with_signals(settings: SettingsFile, incarnation: int) -> None:
        async with Signals(settings) as signals:
            await run(settings, signals, incarnation)
            # A signal would end the process before it has written its last log line, once the
            # handlers are removed. They may come at any time, so they are blocked before.
            signal.pthread_sigmask(signal.SIG_BLOCK, RECEIVED_SIGNALS)
        for number in RECEIVED_SIGNALS:
            signal.signal(number, signal.SIG_IGN)

    with make_handler(LogSettings(format=LogFormat.JSON), sys.stdout).applicationbound():
        try:
            settings = SettingsFile(settings_path())
            current: PlatformSettings = settings.current
            _log.info(
                "starting {} process on {} in failure domain {}",
                name,
                current.name,
                current.failure_domain,
            )
            _tune_garbage_collector()
            incarnation = new_incarnation()
            while True:
                try:
                    anyio.run(run_with_signals, settings, incarnation)
                    break
                except BaseException as error:
                    failure = find_error(error)
                    if not isinstance(failure, OldIncarnationError):
                        raise
                    _log.warning("{} process starts anew: {}", name, failure.message)
                    # The handlers of the former run are gone.
                    signal.signal(signal.SIGHUP, signal.SIG_IGN)
                    incarnation = new_incarnation(above=failure.highest)
        except BaseException as error:
            failure = find_error(error)
            if failure is None:
                _log.exception("{} process ends: unexpected error", name)
                raise
            _log.error("{} process ends: {}", name, failure)
            return failure.code.exit_status
        _log.info("{} process stopped", name)
    return 0
