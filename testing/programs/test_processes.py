"""Operating-system processes: TLS, secrets in dumps, and a stop without lost answers."""

from __future__ import annotations

import json
import os
import signal
import ssl
import subprocess
import sys
import time
from collections.abc import Iterator, Sequence
from contextlib import ExitStack, contextmanager
from pathlib import Path

import anyio
import httpx
import pytest
from test_settings import ROOT, small_plan

from apricotpoint._core.secrets import load_tokens
from apricotpoint._core.settings import load
from apricotpoint._load.settings import LoadSettings
from apricotpoint._programs.bootstrap import create_configuration
from apricotpoint._programs.control import initialise_folder
from apricotpoint._programs.plan import OPERATOR, Plan

# A self-signed certificate and its key, made for these tests only.
TEST_PEM = Path(__file__).parent / "test-key-not-secret.pem"
START_TIMEOUT_S = 20.0


@contextmanager
def running_program(program: str, path: Path) -> Iterator[subprocess.Popen[bytes]]:
    process = subprocess.Popen(
        [sys.executable, "-m", f"apricotpoint._programs.{program}", "run", str(path)],
        env=os.environ | {"PYTHONPATH": str(ROOT / "src")},
    )
    try:
        yield process
    finally:
        process.kill()
        process.wait()


def change_settings(path: Path, **values: object) -> None:
    document = json.loads(path.read_text().partition("\n")[2])
    path.write_text(f"// Changed.\n{json.dumps(document | values)}")


def get_when_ready(client: httpx.Client, url: str) -> httpx.Response:
    deadline = time.monotonic() + START_TIMEOUT_S
    while True:
        try:
            return client.get(url)
        except httpx.ConnectError:
            assert time.monotonic() < deadline, f"{url} does not listen"
            time.sleep(0.05)


def test_tls_is_served_and_dumps_hold_no_secret(tmp_path: Path):
    """Guards against an interface that still serves plain HTTP, and tokens in state dumps."""
    plan = small_plan(tmp_path)
    entry = plan.entries[0]
    path = tmp_path / f"{entry.entry_id}.jsonc"
    tls = {"certificate": str(TEST_PEM), "key": str(TEST_PEM)}
    change_settings(path, caller_tls=tls, operator_tls=tls)
    tokens = json.loads(plan.secrets_path.read_text())
    secrets = [
        *(value for values in tokens["teams"].values() for value in values),
        *(value for values in tokens["operators"].values() for value in values),
        *tokens["internal"],
    ]
    assert len(secrets) == 3
    operator = {"authorization": f"Bearer {load_tokens(plan.secrets_path).operator(OPERATOR)}"}
    tls_context = ssl.create_default_context(cafile=TEST_PEM)
    with (
        running_program("entry", path) as process,
        httpx.Client(verify=tls_context, trust_env=False, timeout=5) as client,
    ):
        health = get_when_ready(client, f"https://{entry.operator_bind}/v1/health")
        assert health.json()["process"] == entry.entry_id
        assert client.get(f"https://{entry.caller_bind}/v1/health").status_code == 200
        for bind in (entry.caller_bind, entry.operator_bind):
            with pytest.raises(httpx.TransportError):
                client.get(f"http://{bind}/v1/health")
        dump = client.get(f"https://{entry.operator_bind}/v1/dump", headers=operator)
        assert dump.json()["settings"]["entry_id"] == entry.entry_id
        process.send_signal(signal.SIGUSR1)
        folder = Path(entry.dump_folder)
        deadline = time.monotonic() + START_TIMEOUT_S
        while not (dump_files := list(folder.glob("*.json"))):
            assert time.monotonic() < deadline, "no dump was written"
            time.sleep(0.02)
        for text in (dump.text, dump_files[0].read_text()):
            assert entry.secrets_file in text
            assert not [secret for secret in secrets if secret in text]


def test_terminated_entry_process_loses_no_answer(tmp_path: Path):
    """Guards against lost answers when an entry process receives SIGTERM under load.

    A job that the draining process refuses must run on another entry process, so the refusal
    must not bind the job's key to the draining process.
    """
    plan = small_plan(tmp_path, failure_domains=["puebla"], drain_grace_s=1.0)
    with ExitStack() as stack:
        entries = start_all(plan, stack)
        anyio.run(create_initial_configuration, plan)
        change_settings(tmp_path / "load.jsonc", tasks_per_s=40.0, seconds=2.0, resubmit_share=0.5)
        settings = load(tmp_path / "load.jsonc", LoadSettings)
        command = [sys.executable, "-m", "apricotpoint._programs.load", "run"]
        with subprocess.Popen(
            [*command, str(tmp_path / "load.jsonc")],
            env=os.environ | {"PYTHONPATH": str(ROOT / "src")},
            stdout=subprocess.PIPE,
            text=True,
        ) as load_process:
            time.sleep(1.8)
            entries[0].send_signal(signal.SIGTERM)
            output, _ = load_process.communicate(timeout=40)
        figures = json.loads(output.splitlines()[-1])
        assert load_process.returncode == 0
        assert figures["jobs_by_code"] == {"1000": figures["jobs"]}
        assert figures["starts"] == figures["tasks"] > 0
        assert entries[0].wait(timeout=20) == 0
        assert list(Path(settings.report_folder).glob("*.png"))


def start_all(plan: Plan, stack: ExitStack) -> Sequence[subprocess.Popen[bytes]]:
    """Start all processes of the plan and return the entry processes."""
    folder = plan.folder
    for control in plan.controls:
        anyio.run(initialise_folder, control, True)
        stack.enter_context(running_program("control", folder / f"{control.control_id}.jsonc"))
    for backend in plan.backends:
        stack.enter_context(running_program("backend", folder / f"{backend.backend_id}.jsonc"))
    paths = [folder / f"{entry.entry_id}.jsonc" for entry in plan.entries]
    return [stack.enter_context(running_program("entry", path)) for path in paths]


async def create_initial_configuration(plan: Plan) -> None:
    token = load_tokens(plan.secrets_path).operator(OPERATOR)
    await create_configuration(
        plan.deployment,
        operator_address=plan.entries[0].operator_bind,
        token=token,
    )
    # A backend server gets starts only after the lease of its holder has begun.
    await anyio.sleep(1.5)
