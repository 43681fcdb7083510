"""`apricot-local`: all roles of a deployment in one process on loopback."""

from __future__ import annotations

import json
import sys
import tempfile
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path

import anyio
import anyio.abc
import attrs
from cleo.commands.command import Command
from cleo.helpers import argument, option

from apricotpoint._backend.ledger import Ledger
from apricotpoint._backend.server import run_backend
from apricotpoint._backend.settings import BackendSettings
from apricotpoint._bench.ideal import IdealBackend
from apricotpoint._bench.trace import make_trace
from apricotpoint._client import Client
from apricotpoint._core.logs import LogSettings, make_handler
from apricotpoint._core.secrets import Secrets, load_secrets, load_tokens
from apricotpoint._core.settings import load
from apricotpoint._load.driver import drive
from apricotpoint._load.outcome import Outcome
from apricotpoint._load.summary import Summary, merge, summarise
from apricotpoint._programs.bootstrap import create_configuration
from apricotpoint._programs.console import run_commands
from apricotpoint._programs.control import initialise_folder, run_control
from apricotpoint._programs.entry import EntryProcess, run_entry
from apricotpoint._programs.plan import OPERATOR, Plan, make_plan, write_secrets, write_settings
from apricotpoint._programs.ports import free_ports, ports_from
from apricotpoint._settings.control import ControlSettings
from apricotpoint._settings.deployment import DeploymentSettings
from apricotpoint._settings.entry import EntrySettings

# All roles share one processor core, so the demo uses a small part of the capacity.
DEMO_TASKS_PER_S = 60.0
DEMO_SECONDS = 12.0
DEMO_DEADLINE_MS = 20_000
SETTLE_TIME_S = 2.0
# No grace period is needed: the only caller has finished before the entry
# processes drain, so no issued key is still in use.
LOCAL_DRAIN_GRACE_S = 0.0
FIRST_PORT = 17_000
PROGRESS_INTERVAL_JOBS = 20


@attrs.define(eq=False)
class LocalDeployment:
    """All roles of a deployment, running in this process."""

    plan: Plan
    secrets: Secrets
    entries: list[EntryProcess] = attrs.Factory(list)
    ledgers: list[Ledger] = attrs.Factory(list)
    stop_backends: anyio.Event = attrs.Factory(anyio.Event)
    stop_entries: anyio.Event = attrs.Factory(anyio.Event)
    stop_controls: anyio.Event = attrs.Factory(anyio.Event)

    def caller_urls(self) -> list[str]:
        """Return the base URLs of the caller API."""
        return [f"http://{settings.caller_bind}" for settings in self.plan.entries]

    def wasted_messages(self) -> int:
        """Return the number of wasted messages, added up over all entry processes."""
        return sum(
            int(value)
            for entry in self.entries
            for name, value in entry.counters.snapshot().items()
            if ".wasted." in name
        )


@asynccontextmanager
async def local_deployment(plan: Plan) -> AsyncIterator[LocalDeployment]:
    """Run all roles of a plan and create its configuration.

    On exit the roles stop gracefully: first the backend servers, then the entry
    processes, then the control processes.
    """
    write_secrets(plan)
    deployment = LocalDeployment(plan=plan, secrets=load_secrets(plan.secrets_path))
    async with AsyncExitStack() as stack:
        for settings in plan.controls:
            await initialise_folder(settings, first=True)
        control_group = await stack.enter_async_context(anyio.create_task_group())
        async with anyio.create_task_group() as start_group:
            for settings in plan.controls:
                start_group.start_soon(_start_control, control_group, settings, deployment)
        stack.callback(deployment.stop_controls.set)
        entry_group = await stack.enter_async_context(anyio.create_task_group())
        async with anyio.create_task_group() as start_group:
            for entry_settings in plan.entries:
                start_group.start_soon(_start_entry, entry_group, entry_settings, deployment)
        stack.callback(deployment.stop_entries.set)
        backend_group = await stack.enter_async_context(anyio.create_task_group())
        for backend_settings in plan.backends:
            backend_group.start_soon(_run_backend, backend_settings, deployment)
        stack.callback(deployment.stop_backends.set)
        await create_configuration(
            plan.deployment,
            operator_address=plan.entries[0].operator_bind,
            token=load_tokens(plan.secrets_path).operator(OPERATOR),
        )
        await anyio.sleep(SETTLE_TIME_S)
        yield deployment


async def run_demo(deployment: DeploymentSettings, *, seconds: float, seed: int) -> Summary:
    """Run a deployment on free ports with a light load and return the summary."""
    with tempfile.TemporaryDirectory(prefix="apricot-") as folder:
        plan = make_plan(
            deployment,
            folder=Path(folder),
            next_port=free_ports(),
            drain_grace_s=LOCAL_DRAIN_GRACE_S,
        )
        async with local_deployment(plan) as local:
            return await _run_load(local, seconds=seconds, seed=seed)


async def _run_load(local: LocalDeployment, *, seconds: float, seed: int) -> Summary:
    deployment = local.plan.deployment
    trace = make_trace(deployment, tasks_per_s=DEMO_TASKS_PER_S, seconds=seconds, seed=seed)
    outcomes: list[Outcome] = []

    def add(outcome: Outcome) -> None:
        outcomes.append(outcome)
        if len(outcomes) % PROGRESS_INTERVAL_JOBS == 0:
            print(f"  {len(outcomes)} of {len(trace)} jobs answered", flush=True)

    token = load_tokens(local.plan.secrets_path).team(deployment.teams[0])
    async with Client(local.caller_urls(), token, seed=seed) as client:
        await drive(
            trace,
            client,
            service=deployment.service,
            deadline_ms=DEMO_DEADLINE_MS,
            run_id="demo",
            on_outcome=add,
        )
    repeated_tasks = sum(ledger.report()["repeated_tasks"] for ledger in local.ledgers)
    workers = [
        IdealBackend(speed=speed, slots=deployment.workers.slots)
        for speed in deployment.workers.speeds()
    ]
    return summarise(
        trace,
        outcomes,
        workers,
        wasted_messages=local.wasted_messages(),
        repeated_tasks=repeated_tasks,
    )


class DemoCommand(Command):
    """Runs deployments one after another with a light load."""

    name = "demo"
    description = "Run deployments in this process with a light load and report."
    arguments = [argument("deployments", description="Deployment files", multiple=True)]
    options = [
        option("seconds", description="Length of the load", flag=False, default=str(DEMO_SECONDS)),
        option("seed", description="Seed of the arrivals", flag=False, default="1"),
    ]

    def handle(self) -> int:
        """Run each deployment and print its figures, then those of all as one JSON object."""
        summaries = []
        for path in self.argument("deployments"):
            deployment = load(Path(path), DeploymentSettings)
            print(f"{deployment.name} in {deployment.region}", flush=True)
            with make_handler(LogSettings(level="warning")).applicationbound():
                summary = anyio.run(self._demo, deployment)
            _print_table(summary)
            summaries.append(summary)
        print(json.dumps(merge(summaries)))
        succeeded = all(
            item.failed == item.not_whole == item.repeated_tasks == 0 for item in summaries
        )
        return 0 if succeeded else 1

    async def _demo(self, deployment: DeploymentSettings) -> Summary:
        return await run_demo(
            deployment, seconds=float(self.option("seconds")), seed=int(self.option("seed"))
        )


class SettingsFilesCommand(Command):
    """Writes the settings files of all processes of a deployment."""

    name = "settings"
    description = "Write settings and secrets files for starting each process by hand."
    arguments = [
        argument("deployment", description="Deployment file"),
        argument("folder", description="Folder for settings, secrets and data"),
    ]
    options = [
        option("port", description="First port", flag=False, default=str(FIRST_PORT)),
    ]

    def handle(self) -> int:
        """Write the files and print their paths."""
        plan = make_plan(
            load(Path(self.argument("deployment")), DeploymentSettings),
            folder=Path(self.argument("folder")).absolute(),
            next_port=ports_from(int(self.option("port"))),
        )
        write_secrets(plan)
        for path in write_settings(plan):
            print(path)
        return 0


def main() -> int:
    """Run the console program and return its exit status."""
    return run_commands("apricot-local", [DemoCommand(), SettingsFilesCommand()])


async def _start_control(
    group: anyio.abc.TaskGroup, settings: ControlSettings, deployment: LocalDeployment
) -> None:
    async def run(*, task_status: anyio.abc.TaskStatus[object]) -> None:
        await run_control(settings, shutdown=deployment.stop_controls.wait, task_status=task_status)

    await group.start(run)


async def _start_entry(
    group: anyio.abc.TaskGroup, settings: EntrySettings, deployment: LocalDeployment
) -> None:
    async def run(*, task_status: anyio.abc.TaskStatus[EntryProcess]) -> None:
        await run_entry(settings, shutdown=deployment.stop_entries.wait, task_status=task_status)

    deployment.entries.append(await group.start(run))


async def _run_backend(settings: BackendSettings, deployment: LocalDeployment) -> None:
    ledger = Ledger()
    deployment.ledgers.append(ledger)
    await run_backend(
        settings,
        key=deployment.secrets.internal_keys()[0].decode(),
        shutdown=deployment.stop_backends.wait,
        ledger=ledger,
    )


def _print_table(summary: Summary) -> None:
    for name, value in attrs.asdict(summary).items():
        print(f"  {name.replace('_', ' '):28} {value}")


if __name__ == "__main__":
    sys.exit(main())
