"""Starts, disturbs and ends the processes of the deployment."""

from __future__ import annotations

import json
import os
import shutil
import signal
import subprocess
from collections.abc import Callable
from pathlib import Path

import anyio
import attrs

from apricotpoint._soak.sightings import Disturbance, Sightings, Usage
from apricotpoint._soak.words import Member, Ports, Words

POLL_S = 0.05
POLLS_PER_USAGE = 20
END_TIMEOUT_S = 10.0
# A program has installed its handlers of signals by then.
START_S = 4.0
ENVIRONMENT = ("PATH", "HOME", "LANG")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@attrs.define(eq=False)
class _Process:
    member: Member
    log_path: Path
    popen: subprocess.Popen[bytes] | None = None
    # Whether the end of the process is the work of the soak.
    end_is_expected: bool = False
    frozen: Disturbance | None = None
    down: Disturbance | None = None
    started_at: float = 0.0


class Processes:
    """All processes of the deployment; use as an async context manager, which ends them by id.

    `seeds` returns the addresses of control processes that settings files name. `build_folder`
    holds the packages that the processes import.
    """

    def __init__(
        self,
        words: Words,
        ports: Ports,
        sightings: Sightings,
        *,
        folder: Path,
        build_folder: Path,
        seeds: Callable[[], list[str]],
    ) -> None:
        self._words, self._ports, self._sightings = words, ports, sightings
        self._folder, self._build_folder, self._seeds = folder, build_folder, seeds
        self._by_id: dict[str, _Process] = {}

    async def __aenter__(self) -> Processes:
        for name in ("settings", "logs", "data"):
            (self._folder / name).mkdir(parents=True, exist_ok=True)
        return self

    async def __aexit__(self, *_: object) -> None:
        for process in self._by_id.values():
            process.end_is_expected = True
            if process.popen is not None and process.popen.poll() is None:
                process.popen.kill()
        for process in self._by_id.values():
            if process.popen is not None:
                process.popen.wait(END_TIMEOUT_S)
        shutil.rmtree(self._folder / "data", ignore_errors=True)

    def ids(self) -> list[str]:
        """Return the ids of all processes that were added and not removed."""
        return list(self._by_id)

    def member(self, process_id: str) -> Member:
        """Return the member with an id."""
        return self._by_id[process_id].member

    def is_running(self, process_id: str) -> bool:
        """Return whether a process was started and has not ended."""
        process = self._by_id.get(process_id)
        return process is not None and process.popen is not None and process.popen.poll() is None

    def add(self, member: Member) -> None:
        """Add a member, which is not started yet."""
        log_path = self._folder / "logs" / f"{member.process_id}.log"
        self._by_id[member.process_id] = _Process(member, log_path)

    def start(self, process_id: str, *, first: bool = False) -> None:
        """Start a process with current settings; no effect if it runs."""
        process = self._by_id[process_id]
        if self.is_running(process_id):
            return
        member = process.member
        settings_path = self._write_settings(member, first=first)
        environment = {name: os.environ[name] for name in ENVIRONMENT if name in os.environ}
        environment[self._words.settings_variable] = str(settings_path)
        environment["PYTHONPATH"] = str(self._build_folder)
        with process.log_path.open("ab") as log:
            process.popen = subprocess.Popen(
                self._words.command(member),
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                # Ctrl-C reaches the soak only, which then ends the processes.
                start_new_session=True,
            )
        process.started_at = self._sightings.now()
        process.end_is_expected = False
        if process.down is not None:
            process.down.until = self._sightings.now()
            process.down = None
        self._sightings.note(f"{process_id} starts as process {process.popen.pid}")

    def kill(self, process_id: str) -> bool:
        """Kill a process and wait for its end; False if it does not run."""
        process = self._by_id.get(process_id)
        if process is None or process.popen is None or not self.is_running(process_id):
            return False
        process.end_is_expected = True
        self._begin_down(process)
        process.popen.kill()
        process.popen.wait(END_TIMEOUT_S)
        self._sightings.note(f"{process_id} is killed")
        if process.frozen is not None:
            process.frozen.until, process.frozen = self._sightings.now(), None
        return True

    async def stop(self, process_id: str, *, repeated: bool = False) -> None:
        """Send SIGTERM, and SIGKILL if the process has not ended after the grace period.

        With `repeated`, SIGHUP and SIGTERM are sent again and again until the end.
        """
        process = self._by_id.get(process_id)
        if process is None or process.popen is None or not self.is_running(process_id):
            return
        popen = process.popen
        process.end_is_expected = True
        stopping = self._sightings.disturb(process_id, "stopping")
        self._sightings.note(f"{process_id} is stopped")
        popen.send_signal(signal.SIGTERM)
        with anyio.move_on_after(self._words.limits.grace_s):
            while popen.poll() is None:
                if repeated:
                    popen.send_signal(signal.SIGHUP)
                    popen.send_signal(signal.SIGTERM)
                await anyio.sleep(POLL_S)
        stopping.until = self._sightings.now()
        if process.popen is not popen:
            # Another fault has killed the process, and it was started again.
            return
        if popen.poll() is None:
            if process.frozen is None:
                self._sightings.own_ends.append(
                    f"{process_id} still ran {self._words.limits.grace_s:g} s after SIGTERM"
                )
            self.kill(process_id)
            return
        self._begin_down(process)
        expected = {0, -signal.SIGKILL}
        if self._sightings.now() < process.started_at + START_S:
            # The program may not have installed its handler yet.
            expected.add(-signal.SIGTERM)
        if popen.returncode not in expected:
            self._sightings.own_ends.append(
                f"{process_id} ended with status {popen.returncode} after SIGTERM"
            )

    def hang_up(self, process_id: str) -> None:
        """Write the settings file again and send SIGHUP."""
        process = self._by_id.get(process_id)
        if process is not None and process.popen is not None and self.is_running(process_id):
            self._write_settings(process.member, first=False)
            if self._sightings.now() < process.started_at + START_S:
                # The interpreter may not have come to the program, which handles the signal.
                return
            process.popen.send_signal(signal.SIGHUP)
            self._sightings.note(f"{process_id} gets SIGHUP")

    def freeze(self, process_id: str) -> None:
        """Stop a process from running until `thaw`."""
        process = self._by_id.get(process_id)
        if process is not None and process.popen is not None and self.is_running(process_id):
            process.popen.send_signal(signal.SIGSTOP)
            process.frozen = self._sightings.disturb(process_id, "frozen")
            self._sightings.note(f"{process_id} is frozen")

    def thaw(self, process_id: str) -> None:
        """Let a frozen process run again."""
        process = self._by_id.get(process_id)
        if process is None or process.popen is None or process.frozen is None:
            return
        process.popen.send_signal(signal.SIGCONT)
        process.frozen.until, process.frozen = self._sightings.now(), None
        self._sightings.note(f"{process_id} runs again")

    def lose_disk(self, process_id: str) -> None:
        """Empty the data folder of a process that does not run."""
        folder = Path(self._by_id[process_id].member.data_folder)
        shutil.rmtree(folder, ignore_errors=True)
        folder.mkdir()
        self._sightings.note(f"{process_id} has lost its disk")

    def remove(self, process_id: str) -> None:
        """Forget a process that was killed and never starts again."""
        self._by_id.pop(process_id, None)

    async def watch(self) -> None:
        """Note ends that the soak did not cause, and the use of resources, until cancelled."""
        polls = 0
        while True:
            for process_id, process in list(self._by_id.items()):
                if process.popen is None:
                    continue
                status = process.popen.poll()
                if status is not None and not process.end_is_expected:
                    process.end_is_expected = True
                    self._begin_down(process)
                    self._sightings.own_ends.append(
                        f"{process_id} ended by itself with status {status}"
                    )
                    self.start(process_id)
                if status is None and polls % POLLS_PER_USAGE == 0:
                    self._measure(process)
            polls += 1
            await anyio.sleep(POLL_S)

    def _begin_down(self, process: _Process) -> None:
        if process.down is None:
            process.down = self._sightings.disturb(process.member.process_id, "down")

    def _write_settings(self, member: Member, *, first: bool) -> Path:
        path = self._folder / "settings" / f"{member.process_id}.yaml"
        if member.is_control:
            Path(member.data_folder).mkdir(parents=True, exist_ok=True)
        settings = self._words.settings(member, self._ports, self._seeds(), first)
        # Replaced as a whole, as the process may read it at any time. JSON is YAML.
        partial = path.with_suffix(".partial")
        partial.write_text(json.dumps(settings, indent=1), encoding="utf-8")
        partial.replace(path)
        return path

    def _measure(self, process: _Process) -> None:
        assert process.popen is not None
        process_id = process.member.process_id
        usage = self._sightings.usages.setdefault(process_id, Usage(process_id))
        folder = Path("/proc") / str(process.popen.pid)
        try:
            pages = int((folder / "statm").read_text().split()[1])
            descriptors = len(os.listdir(folder / "fd"))
        except OSError:
            # The process has just ended.
            return
        usage.memory_mb = max(usage.memory_mb, pages * PAGE_BYTES / 1e6)
        usage.descriptors = max(usage.descriptors, descriptors)
        usage.log_bytes = process.log_path.stat().st_size
