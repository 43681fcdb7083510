"""State dump of a process."""

from __future__ import annotations

import os
import signal
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

import anyio
import logbook
import msgspec

from apricotpoint._core.timers import TimerService

_log = logbook.Logger(__name__)


class StateDump:
    """Builds the state dump of a process from named sections.

    A section is a function that returns JSON-serialisable data. It must not return
    secrets, because nothing is removed from the dump. If a section raises, the dump has
    the error in its place, because the other sections are needed most when something
    is broken.
    """

    def __init__(
        self,
        *,
        process_id: str,
        timers: TimerService,
        section_by_name: Mapping[str, Callable[[], object]],
    ) -> None:
        self._process_id = process_id
        self._timers = timers
        self._section_by_name = section_by_name

    def build(self) -> dict[str, Any]:
        """Return the dump with the process id, the pid and the wall time in unix seconds."""
        dump: dict[str, Any] = {
            "process": self._process_id,
            "pid": os.getpid(),
            "wall_s": self._timers.wall_time(),
        }
        for name, section in self._section_by_name.items():
            try:
                dump[name] = msgspec.to_builtins(section(), str_keys=True, enc_hook=_to_builtin)
            except Exception as error:  # noqa: BLE001
                dump[name] = {"error": f"{type(error).__name__}: {error}"}
        return dump

    def write(self, folder: Path) -> Path:
        """Write the dump to a new file in `folder`, which is created if needed; return its path.

        The file is complete as soon as it has its name. Raises `OSError`.
        """
        dump = self.build()
        folder.mkdir(parents=True, exist_ok=True)
        path = folder / f"{self._process_id}-{int(dump['wall_s'] * 1000)}.json"
        partial_path = path.with_suffix(".partial")
        partial_path.write_bytes(msgspec.json.format(msgspec.json.encode(dump), indent=2))
        partial_path.replace(path)
        return path


def _to_builtin(value: object) -> object:
    if isinstance(value, Path):
        return str(value)
    raise TypeError(f"a state dump cannot contain a value of type {type(value).__name__}")


async def dump_on_signal(dump: StateDump, folder: Path) -> None:
    """Write a dump to `folder` on each SIGUSR1; run until cancelled.

    An error of the file system is logged.
    """
    with anyio.open_signal_receiver(signal.SIGUSR1) as signals:
        async for _ in signals:
            try:
                path = dump.write(folder)
            except OSError as error:
                _log.error("state dump could not be written to {}: {}", folder, error.strerror)
            else:
                _log.info("state dump written to {}", path)
