"""`apricot-control`: the composition root of a control process."""

from __future__ import annotations

import random
import sys
import time
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

import anyio
import anyio.abc
import attrs
from cleo.commands.command import Command
from cleo.helpers import argument, option

from apricotpoint._control.identity import initialise
from apricotpoint._control.node import ControlNode
from apricotpoint._control.storage import Storage
from apricotpoint._core.codes import ResultCode
from apricotpoint._core.counters import Counters
from apricotpoint._core.errors import ApricotError
from apricotpoint._core.logs import LogSettings, make_handler
from apricotpoint._core.secrets import load_secrets
from apricotpoint._core.settings import load
from apricotpoint._core.timers import TimerService
from apricotpoint._core.usage import process_gauges
from apricotpoint._http import operators
from apricotpoint._http.serve import serve
from apricotpoint._link.mesh import Mesh
from apricotpoint._operator.dump import StateDump, dump_on_signal
from apricotpoint._operator.executor import CommandExecutor
from apricotpoint._programs.configrows import evacuation_rows
from apricotpoint._programs.console import run_commands, settings_commands
from apricotpoint._programs.incarnation import make_random, new_incarnation
from apricotpoint._programs.signals import wait_for_stop_signal
from apricotpoint._settings.control import ControlSettings
from apricotpoint._wire.jobs import Answer, JobRequest


class InitCommand(Command):
    """Creates the data folder of a control process."""

    name = "init"
    description = "Initialise the data folder of a control process."
    arguments = [argument("settings", description="Settings file in JSON with comments")]
    options = [
        option(
            "first",
            description="Set for a new deployment; without it the folder replaces a lost disk.",
        )
    ]

    def handle(self) -> int:
        """Initialise the data folder that is named in the settings file."""
        settings = load(Path(self.argument("settings")), ControlSettings)
        anyio.run(initialise_folder, settings, bool(self.option("first")))
        return 0


def main() -> int:
    """Run the console program and return its exit status."""
    commands = settings_commands(ControlSettings, _run)
    return run_commands("apricot-control", [*commands, InitCommand()])


async def initialise_folder(settings: ControlSettings, first: bool) -> None:
    """Create the identity and record files of a control process in an empty data folder.

    `first` is for the first start of a new deployment; otherwise the folder replaces a
    lost disk. Raises `ApricotError` with code 5001 if the folder is not empty.
    """
    await initialise(
        Storage(Path(settings.data_folder)),
        node_id=settings.control_id,
        first=first,
        initialised_at=time.time(),
        random=random.SystemRandom(),
    )


async def _run(settings: ControlSettings) -> None:
    with make_handler(LogSettings(level=settings.log_level)).applicationbound():
        await run_control(settings, shutdown=wait_for_stop_signal)


async def run_control(
    settings: ControlSettings,
    *,
    shutdown: Callable[[], Awaitable[None]],
    task_status: anyio.abc.TaskStatus[ControlNode] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Run a control process until `shutdown` returns.

    Reports the control node as task status when the operator API listens.
    """
    secrets = load_secrets(Path(settings.secrets_file))
    incarnation = new_incarnation()
    counters = Counters()
    timers = TimerService()
    mesh = Mesh(
        process_id=settings.control_id,
        incarnation=incarnation,
        listen=settings.peer_bind,
        address_by_peer=settings.peer_by_id,
        keys=secrets.internal_keys(),
        timers=timers,
        counters=counters,
    )
    node = ControlNode(
        node_id=settings.control_id,
        failure_domain=settings.failure_domain,
        members=settings.members,
        data_folder=Path(settings.data_folder),
        transport=mesh,
        timers=timers,
        counters=counters,
        random=make_random(settings.control_id, incarnation),
    )
    state_dump = StateDump(
        process_id=settings.control_id,
        timers=timers,
        section_by_name={"settings": lambda: attrs.asdict(settings), "node": node.dump},
    )
    commands = CommandExecutor(
        process_id=settings.control_id,
        transport=mesh,
        rows_by_table={
            "members": node.rows,
            "vms": lambda: [_vm_row(settings, node)],
            "evacuations": lambda: evacuation_rows(node.replica.state.configuration, []),
        },
        configuration=lambda: node.replica.state.configuration,
        change=node.change,
        submit=_refuse_job,
        cancel=_refuse_job,
        dump=state_dump.build,
    )
    operator_app = operators.make_app(
        commands,
        is_operator=lambda token: secrets.operator_of(token) is not None,
        counters=lambda: counters.snapshot() | process_gauges(),
        health=lambda: {"process": settings.control_id},
    )
    close_requested = anyio.Event()
    async with AsyncExitStack() as stack:
        await stack.enter_async_context(timers)
        await stack.enter_async_context(mesh)
        await stack.enter_async_context(node)
        group = await stack.enter_async_context(anyio.create_task_group())
        await group.start(_serve, operator_app, settings.operator_bind, close_requested)
        if settings.dump_folder:
            group.start_soon(dump_on_signal, state_dump, Path(settings.dump_folder))
        task_status.started(node)
        await shutdown()
        close_requested.set()
        group.cancel_scope.cancel()


async def _serve(
    app: Any,
    bind: str,
    close_requested: anyio.Event,
    *,
    task_status: anyio.abc.TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
) -> None:
    await serve(app, bind, None, close_requested.wait, task_status=task_status)


async def _refuse_job(*_: str | JobRequest) -> Answer:
    raise ApricotError(
        ResultCode.INVALID_COMMAND,
        "a control process does not run jobs",
        remedy="send the command to an entry process",
    )


def _vm_row(settings: ControlSettings, node: ControlNode) -> dict[str, Any]:
    return {
        "vm": settings.control_id,
        "role": "control",
        "failure_domain": settings.failure_domain,
        "draining": False,
        "config_version": node.replica.state.configuration.version,
        "config_current": node.replica.has_majority(),
    }


if __name__ == "__main__":
    sys.exit(main())
