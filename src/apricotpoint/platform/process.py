"""What both programs share: settings that may change, signals and the peer key."""

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

# The network between the VMs belongs to the platform, which hands out no secret.
# The key only keeps messages of other programs from being taken for own ones.
PEER_KEY = b"apricotpoint peers"

# Allocations between two garbage collections. Each job makes about a thousand objects
# that are freed by their reference counts; the default of 700 collects for each of them.
COLLECT_AFTER = 20_000

_log = logbook.Logger("process")


class SettingsFile:
    """The settings file, read again when it has changed."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._stamp = path.stat().st_mtime_ns
        self.current = load_settings(path)

    def seeds(self) -> list[str]:
        """Return the seeds in the file as it is now."""
        self.reload()
        return self.current.seeds

    def reload(self) -> None:
        """Read the file if it has changed; a file that cannot be read changes nothing."""
        try:
            stamp = self._path.stat().st_mtime_ns
            if stamp == self._stamp:
                return
            self.current = load_settings(self._path)
            self._stamp = stamp
        except (OSError, ApricotError) as error:
            _log.warning("settings are kept as they were: {}", error)
            return
        _log.info("settings reloaded, seeds {}", self.current.seeds)


def suspended_s() -> float:
    """Return for how long this VM has been suspended, which the steady clock does not count."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()


async def wait_for_stop(settings: SettingsFile) -> None:
    """Return after the first SIGTERM or SIGINT; reload settings on SIGHUP."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async for number in signals:
            if number is not signal.SIGHUP:
                return
            settings.reload()


def _relax_collector() -> None:
    """Keep what was imported out of garbage collections, and collect less often."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(COLLECT_AFTER)


def run_program(name: str, run: Callable[[SettingsFile], Awaitable[None]]) -> int:
    """Run a program with the settings of the platform and return its exit status."""
    with make_handler(LogSettings(format=LogFormat.JSON), sys.stdout).applicationbound():
        try:
            settings = SettingsFile(settings_path())
            current: PlatformSettings = settings.current
            _log.info("start {} on {} in {}", name, current.name, current.failure_domain)
            _relax_collector()
            anyio.run(run, settings)
        except BaseException as error:
            failure = find_error(error)
            if failure is None:
                _log.exception("{} ends", name)
                raise
            _log.error("{} ends: {}", name, failure)
            return failure.code.exit_status
        _log.info("{} has stopped", name)
    return 0
