"""Programs with invalid settings exit with the file, the key and the remedy in the error."""

from __future__ import annotations

import json
import os
import socket
import subprocess
import sys
from pathlib import Path

import attrs
import pytest

from apricotpoint._backend.settings import BackendSettings
from apricotpoint._core.settings import load
from apricotpoint._load.settings import LoadSettings
from apricotpoint._operator.client import ClientSettings
from apricotpoint._programs.plan import Plan, make_plan, write_secrets, write_settings
from apricotpoint._programs.ports import free_ports
from apricotpoint._settings.control import ControlSettings
from apricotpoint._settings.deployment import DeploymentSettings
from apricotpoint._settings.entry import EntrySettings

ROOT = Path(__file__).parents[2]


def small_plan(
    folder: Path, *, failure_domains: list[str] | None = None, drain_grace_s: float = 6.0
) -> Plan:
    deployment = load(ROOT / "settings" / "order-desk.jsonc", DeploymentSettings)
    deployment = attrs.evolve(
        deployment,
        workers=attrs.evolve(deployment.workers, count=3),
        kinds=deployment.kinds[:1],
    )
    if failure_domains:
        deployment = attrs.evolve(deployment, failure_domains=failure_domains)
    plan = make_plan(deployment, folder=folder, next_port=free_ports(), drain_grace_s=drain_grace_s)
    write_secrets(plan)
    write_settings(plan)
    return plan


def run_program(name: str, *arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", f"apricotpoint._programs.{name}", *arguments],
        env=os.environ | {"PYTHONPATH": str(ROOT / "src")},
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )


def test_written_settings_files_can_be_loaded(tmp_path: Path):
    """Guards against written settings files that the programs reject."""
    small_plan(tmp_path)
    for name, settings_type in (
        ("control-puebla", ControlSettings),
        ("puebla-1", EntrySettings),
        ("w-01", BackendSettings),
        ("load", LoadSettings),
        ("apricotctl", ClientSettings),
        ("deployment", DeploymentSettings),
    ):
        load(tmp_path / f"{name}.jsonc", settings_type)
    commands = (tmp_path / "commands.txt").read_text()
    assert commands.count("init") == 3
    assert commands.count("apricot-entry run") == 6
    assert (tmp_path / "operator-token").stat().st_mode & 0o077 == 0


@pytest.mark.parametrize(
    ("program", "name", "key", "value"),
    [
        ("entry", "puebla-1", "weight", 1000),
        ("control", "control-puebla", "peer_bind", "localhost:1"),
        ("backend", "w-01", "slots", 0),
        ("backend", "w-01", "announce_to", ["puebla-1:80"]),
        ("load", "load", "sekonds", 1),
    ],
)
def test_program_exits_with_invalid_settings(
    tmp_path: Path, program: str, name: str, key: str, value: object
):
    """Guards against a process that runs with invalid settings or exits with a traceback."""
    small_plan(tmp_path)
    path = tmp_path / f"{name}.jsonc"
    values = json.loads(path.read_text().partition("\n")[2])
    path.write_text(json.dumps(values | {key: value}))
    result = run_program(program, "run", str(path))
    assert result.returncode == 40
    for text in (str(path), key, "5001", "remove unknown keys and correct the named values"):
        assert text in result.stderr
    assert "Traceback" not in result.stderr


@pytest.mark.parametrize("key", ["caller_bind", "peer_bind"])
def test_program_exits_if_an_address_is_in_use(tmp_path: Path, key: str):
    """Guards against a process that runs without one of its interfaces."""
    entry = small_plan(tmp_path).entries[0]
    address = getattr(entry, key)
    with socket.create_server(("127.0.0.1", int(address.rpartition(":")[2]))):
        result = run_program("entry", "run", str(tmp_path / f"{entry.entry_id}.jsonc"))
    assert result.returncode == 40
    assert f"cannot listen on {address}" in result.stderr
    assert "Traceback" not in result.stderr


def test_program_exits_if_others_can_read_the_secrets_file(tmp_path: Path):
    """Guards against tokens that other users of the machine can read."""
    plan = small_plan(tmp_path)
    plan.secrets_path.chmod(0o644)
    result = run_program("entry", "run", str(tmp_path / "puebla-1.jsonc"))
    assert result.returncode == 40
    assert f"chmod 600 {plan.secrets_path}" in result.stderr
