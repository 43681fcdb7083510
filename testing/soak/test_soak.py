"""A short seeded soak of real processes, and the command."""

from __future__ import annotations

import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import anyio
import pytest

from apricotpoint._soak.series import load_series
from apricotpoint._soak.settings import SoakSettings
from apricotpoint.platform.soak import run_series, series_of_seed

ROOT = Path(__file__).resolve().parents[2]
CASES = sorted((Path(__file__).parent / "cases").glob("*.json"))


def small(folder: Path, **fields: object) -> SoakSettings:
    values = {"seconds": 20.0, "entries": 3, "backends": 6, "callers": 8} | fields
    return SoakSettings(report_folder=str(folder), **values)  # type: ignore[arg-type]


def command(*words: str, **fields: object) -> subprocess.Popen[str]:
    return subprocess.Popen(
        [sys.executable, "-m", "apricotpoint.platform.soak", *words],
        env=os.environ | {"PYTHONPATH": str(ROOT / "src")},
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


def write_settings(folder: Path, **fields: object) -> str:
    path = folder / "soak.jsonc"
    path.write_text(json.dumps({"report_folder": str(folder / "report")} | fields))
    return str(path)


def test_short_soak(tmp_path: Path):
    """Guards against tasks that run twice, false refusals, lost requests and configurations."""
    settings = small(tmp_path, seed=1)
    report = anyio.run(run_series, settings, series_of_seed(settings))
    assert report.violations == []
    assert report.answers.get("200 0", 0) > 0
    assert report.readings > 0
    assert report.orders_acknowledged > 0


@pytest.mark.parametrize("path", CASES, ids=[path.stem for path in CASES])
def test_kept_case(path: Path, tmp_path: Path):
    """Guards against the fault that the line `cause` of the case describes."""
    report = anyio.run(run_series, small(tmp_path, entries=6), load_series(path))
    assert report.violations == []


@pytest.mark.parametrize(
    ("fields", "words", "expected"),
    [
        ({"entries": 0}, [], "entries: 0 must be from 1"),
        ({"build_folder": "/nowhere"}, [], "build_folder: /nowhere has no"),
        ({}, ["--without", "x"], "--without 'x' is not a list"),
        ({}, ["--series", "/nowhere/series.json"], "cannot be read"),
    ],
)
def test_errors_name_what_was_given(
    fields: dict[str, object], words: list[str], expected: str, tmp_path: Path
):
    """Guards against a traceback in place of a remedy."""
    process = command("run", write_settings(tmp_path, **fields), *words)
    _, errors = process.communicate(timeout=60)
    assert process.returncode == 40
    assert expected in errors
    assert "Traceback" not in errors


def test_ports_in_use_are_named(tmp_path: Path):
    """Guards against a run that fails later, with the logs of processes that could not listen."""
    with socket.socket() as other:
        other.bind(("127.9.1.2", random.randint(20_000, 30_000)))
        other.listen()
        port = other.getsockname()[1]
        settings = write_settings(tmp_path, subnet=9, first_port=port)
        process = command("run", settings)
        _, errors = process.communicate(timeout=60)
    assert process.returncode == 40
    assert f"first_port: ports from {port} are in use" in errors


def test_interrupt_ends_all_processes(tmp_path: Path):
    """Guards against processes that go on after Ctrl-C."""
    process = command("run", write_settings(tmp_path, entries=1, controls=1), "--json")
    processes = tmp_path / "report" / "record.txt"
    deadline = time.monotonic() + 60
    log = tmp_path / "report" / "logs" / "entry-1.log"
    while not (log.exists() and log.stat().st_size):
        assert time.monotonic() < deadline
        time.sleep(0.1)
    process.send_signal(signal.SIGINT)
    _, errors = process.communicate(timeout=60)
    assert process.returncode == 130, errors
    started = [line.split() for line in processes.read_text().splitlines() if " starts as " in line]
    assert len(started) == 2
    for words in started:
        assert not Path("/proc", words[-1]).exists()
