"""Shared parts of the entry and the control program: settings file, signals and peer key."""

from __future__ import annotations

import gc
import signal
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import anyio
import logbook

from apricotpoint._core.errors import ApricotError, find_error
from apricotpoint._core.logs import LogFormat, LogSettings, make_handler
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


async def wait_for_stop_signal(settings: SettingsFile) -> None:
    """Return after the first SIGTERM or SIGINT; reload settings on SIGHUP."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async for signal_number in signals:
            if signal_number is not signal.SIGHUP:
                return
            settings.reload()


def _tune_garbage_collector() -> None:
    """Exclude all objects made so far from garbage collections, and collect less often."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD_ALLOCATIONS)


def run_program(name: str, run: Callable[[SettingsFile], Awaitable[None]]) -> int:
    """Run a program with the settings of the platform and return its exit status."""
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
            anyio.run(run, settings)
        except BaseException as error:
            failure = find_error(error)
            if failure is None:
                _log.exception("{} process ends: unexpected error", name)
                raise
            _log.error("{} process ends: {}", name, failure)
            return failure.code.exit_status
        _log.info("{} process stopped", name)
    return 0
