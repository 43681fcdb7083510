"""Command line shared by the programs that read a settings file."""

from __future__ import annotations

import sys
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Generic, TypeVar

import anyio
from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import argument

from apricotpoint._core.errors import find_error
from apricotpoint._core.settings import load

VERSION = "0.1.0"

SettingsT = TypeVar("SettingsT")


class SettingsCommand(Command, Generic[SettingsT]):
    """A command that loads a settings file and passes it to a function."""

    arguments = [argument("settings", description="Settings file in JSON with comments")]

    def __init__(
        self,
        name: str,
        description: str,
        settings_type: type[SettingsT],
        action: Callable[[SettingsT], None],
    ) -> None:
        self.name = name
        self.description = description
        self._settings_type = settings_type
        self._action = action
        super().__init__()

    def handle(self) -> int:
        """Load the settings and run the action."""
        self._action(load(Path(self.argument("settings")), self._settings_type))
        return 0


def settings_commands(
    settings_type: type[SettingsT], run: Callable[[SettingsT], Awaitable[None]]
) -> list[Command]:
    """Return the commands `run` and `check` for a settings file."""

    def run_loop(settings: SettingsT) -> None:
        anyio.run(run, settings)

    return [
        SettingsCommand("run", "Run until SIGTERM.", settings_type, run_loop),
        SettingsCommand("check", "Check a settings file.", settings_type, lambda _: None),
    ]


def run_commands(name: str, commands: Sequence[Command]) -> int:
    """Run a cleo application with these commands and return its exit status.

    An `ApricotError` is printed to stderr and gives the exit status of its code;
    any other exception is raised.
    """
    application = Application(name, VERSION)
    for command in commands:
        application.add(command)
    application.catch_exceptions(False)
    application.auto_exits(False)
    try:
        return application.run()
    except BaseException as error:
        failure = find_error(error)
        if failure is None:
            raise
        print(f"{name}: {failure}", file=sys.stderr)
        return failure.code.exit_status
