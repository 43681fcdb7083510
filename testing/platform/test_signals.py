"""Signals of the platform at each time of the life of a process."""

from __future__ import annotations

import importlib
import os
import signal
import subprocess
import sys
import time
from pathlib import Path
from types import SimpleNamespace

import anyio
import pytest

from apricotpoint._link.mesh import OldIncarnationError
from apricotpoint._programs.incarnation import new_incarnation
from apricotpoint.platform import process, start
from apricotpoint.platform.process import Signals


class FakeSettings:
    """Counts reloads in place of `SettingsFile`."""

    def __init__(self) -> None:
        self.reloads = 0

    def reload(self) -> None:
        """Count a reload."""
        self.reloads += 1


@pytest.mark.parametrize("after_stop", [signal.SIGHUP, signal.SIGTERM, signal.SIGINT])
def test_a_process_that_shuts_down_goes_on_after_another_signal(after_stop: signal.Signals):
    """Guards against open requests that break off as a second signal ends the process."""
    settings = FakeSettings()

    async def test() -> None:
        async with Signals(settings) as signals:  # type: ignore[arg-type]
            os.kill(os.getpid(), signal.SIGHUP)
            await anyio.sleep(0.05)
            assert settings.reloads == 1
            assert not signals.stop_requested.is_set()
            os.kill(os.getpid(), signal.SIGTERM)
            with anyio.fail_after(5):
                await signals.stop_requested.wait()
            # The requests that are open are finished now.
            os.kill(os.getpid(), after_stop)
            await anyio.sleep(0.05)
        assert settings.reloads == 1 + (after_stop is signal.SIGHUP)

    anyio.run(test)


# A program whose end takes as long as that of a process on a busy machine.
ENDING_PROGRAM = """
import time
from apricotpoint.platform import process

async def run(settings, signals, incarnation):
    print("ready", flush=True)
    await signals.stop_requested.wait()

class Settings:
    def __init__(self, path):
        self.current = type("Current", (), {"name": "p", "failure_domain": "d"})
    def reload(self):
        pass

process.SettingsFile = Settings
status = process.run_program("entry", run)
time.sleep(0.3)
raise SystemExit(status)
"""


def test_signals_do_not_end_a_process_that_has_shut_down():
    """Guards against a process that ends with a failure as signals come until its end."""
    program = subprocess.Popen(
        [sys.executable, "-c", ENDING_PROGRAM],
        env=os.environ | {"APRICOTPOINT_SETTINGS": "unused", "PYTHONPATH": "src"},
        cwd=Path(__file__).resolve().parents[2],
        stdout=subprocess.PIPE,
        text=True,
    )
    assert program.stdout is not None
    with program.stdout:
        while "ready" not in program.stdout.readline():
            assert program.poll() is None
        program.send_signal(signal.SIGTERM)
        while program.poll() is None:
            program.send_signal(signal.SIGHUP)
            program.send_signal(signal.SIGTERM)
            time.sleep(0.01)
    assert program.returncode == 0


def test_a_program_starts_anew_with_a_higher_incarnation(monkeypatch: pytest.MonkeyPatch):
    """Guards against a process that ends at each start until the wall clock has caught up."""
    highest = new_incarnation() + 20_000_000
    incarnations: list[int] = []

    async def run(_: object, __: object, incarnation: int) -> None:
        incarnations.append(incarnation)
        if incarnation <= highest:
            raise OldIncarnationError("a peer has seen a higher incarnation", highest=highest)

    settings = SimpleNamespace(current=SimpleNamespace(name="p", failure_domain="d"))
    monkeypatch.setattr(process, "SettingsFile", lambda _: settings)
    monkeypatch.setattr(process, "_tune_garbage_collector", lambda: None)
    monkeypatch.setenv("APRICOTPOINT_SETTINGS", "unused")
    former = {number: signal.getsignal(number) for number in process.RECEIVED_SIGNALS}
    try:
        assert process.run_program("entry", run) == 0
    finally:
        signal.pthread_sigmask(signal.SIG_UNBLOCK, process.RECEIVED_SIGNALS)
        for number, handler in former.items():
            signal.signal(number, handler)
    assert len(incarnations) == 2
    assert incarnations[0] <= highest < incarnations[1]


def test_a_program_is_not_ended_by_sighup_while_it_is_imported(monkeypatch: pytest.MonkeyPatch):
    """Guards against a process that ends as its settings file changes at its start."""

    def import_slowly(name: str) -> SimpleNamespace:
        assert name == "apricotpoint.platform.entry"
        os.kill(os.getpid(), signal.SIGHUP)
        return SimpleNamespace(main=lambda: 7)

    monkeypatch.setattr(importlib, "import_module", import_slowly)
    monkeypatch.setattr(sys, "argv", ["start", "entry"])
    former = signal.getsignal(signal.SIGHUP)
    try:
        assert start.main() == 7
    finally:
        signal.signal(signal.SIGHUP, former)
