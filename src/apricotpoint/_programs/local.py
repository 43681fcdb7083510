"""`apricot-local`: all roles of a deployment in one process on loopback."""

from __future__ import annotations

import json
import sys
import tempfile
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path

import anyio
import attrs
from cleo.commands.command import Command
from cleo.helpers import argument, option

from apricotpoint._backend.ledger import Ledger
from apricotpoint._backend.server import run_backend
from apricotpoint._backend.settings import BackendSettings
from apricotpoint._bench.ideal import IdealWorker
from apricotpoint._bench.trace import make_trace
from apricotpoint._client import Client
from apricotpoint._core.logs import LogSettings, make_handler
from apricotpoint._core.secrets import Secrets, load_secrets
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
from apricotpoint._settings.deployment import DeploymentSettings

# All roles share one processor core, so a demo runs at a small part of the capacity.
DEMO_TASKS_PER_S = 60.0
DEMO_SECONDS = 12.0
DEMO_DEADLINE_MS = 20_000
SETTLE_S = 2.0
FIRST_PORT = 17_000


@attrs.define(eq=False)
class LocalDeployment:
    """The running processes of a deployment in this process."""

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
        """Return the wasted messages counted by all entry processes."""
        return sum(
            int(value)
            for entry in self.entries
            for name, value in entry.counters.snapshot().items()
            if ".wasted." in name
        )


@asynccontextmanager
async def local_deployment(plan: Plan) -> AsyncIterator[LocalDeployment]:
    """Run all processes of a plan; on exit they stop gracefully, callers' side first."""
    write_secrets(plan)
    deployment = LocalDeployment(plan=plan, secrets=load_secrets(plan.secrets_path))
    async with AsyncExitStack() as stack:
        for settings in plan.controls:
            await initialise_folder(settings, first=True)
        controls = await stack.enter_async_context(anyio.create_task_group())
        async with anyio.create_task_group() as starting:
            for settings in plan.controls:
                starting.start_soon(_start_control, controls, settings, deployment)
        stack.callback(deployment.stop_controls.set)
        entries = await stack.enter_async_context(anyio.create_task_group())
        async with anyio.create_task_group() as starting:
            for entry_settings in plan.entries:
                starting.start_soon(_start_entry, entries, entry_settings, deployment)
        stack.callback(deployment.stop_entries.set)
        backends = await stack.enter_async_context(anyio.create_task_group())
        for backend_settings in plan.backends:
            backends.start_soon(_run_backend, backend_settings, deployment)
        stack.callback(deployment.stop_backends.set)
        await create_configuration(
            plan.deployment,
            operator_address=plan.entries[0].operator_bind,
            token=_first_token(plan, "operators", OPERATOR),
        )
        await anyio.sleep(SETTLE_S)
        yield deployment
