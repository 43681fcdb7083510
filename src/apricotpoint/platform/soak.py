"""`apricot-soak`: plays seeded series of faults on real processes and checks what they do."""

from __future__ import annotations

import json
import signal
import sys
from contextlib import suppress
from pathlib import Path
from typing import Any

import anyio
import attrs
from cleo.commands.command import Command
from cleo.helpers import argument, option

import apricotpoint
from apricotpoint._core.codes import ResultCode
from apricotpoint._core.errors import ApricotError
from apricotpoint._core.settings import load, structure
from apricotpoint._programs.console import SettingsCommand, run_commands
from apricotpoint._soak.generation import make_series
from apricotpoint._soak.play import play
from apricotpoint._soak.report import Report
from apricotpoint._soak.series import Series, load_series
from apricotpoint._soak.settings import SoakSettings
from apricotpoint.platform.soakwords import LIMITS, make_words

PROGRAM = Path("apricotpoint") / "platform" / "start.py"
EXIT_VIOLATED, EXIT_INTERRUPTED = 1, 130
_SETTINGS = argument("settings", description="Settings file in JSON with comments")
_OVERRIDES = [
    option("seed", description="Replaces seed", flag=False),
    option("seconds", description="Replaces seconds", flag=False),
    option("report-folder", description="Replaces report_folder", flag=False),
    option("build-folder", description="Replaces build_folder", flag=False),
]


class RunCommand(Command):
    """Plays a series on a new deployment."""

    name = "run"
    description = "Play a series of faults and report; the exit status is 1 after a violation."
    arguments = [_SETTINGS]
    options = [
        *_OVERRIDES,
        option("series", description="Plays a series.json again", flag=False),
        option("without", description="Numbers of faults to leave out: 3,7", flag=False),
        option("json", description="Print the report as one JSON object"),
    ]

    def handle(self) -> int:
        """Play the series and print the report."""
        settings = _load_settings(self)
        series = _choose_series(settings, self.option("series"), self.option("without"))
        if not self.option("json"):
            _print_series(series)
        report = anyio.run(_play_until_signal, settings, series)
        if report is None:
            print("apricot-soak: interrupted; all processes were ended", file=sys.stderr)
            return EXIT_INTERRUPTED
        if self.option("json"):
            print(json.dumps(attrs.asdict(report)))
        else:
            print("\n".join(report.lines()))
        return EXIT_VIOLATED if report.violations else 0


class SeriesCommand(Command):
    """Prints the series of a seed."""

    name = "series"
    description = "Print the series of faults of the seed without playing it."
    arguments = [_SETTINGS]
    options = _OVERRIDES

    def handle(self) -> int:
        """Print one line for each fault, with the rule that allows it."""
        _print_series(_choose_series(_load_settings(self), None, None))
        return 0


def main() -> int:
    """Run the console program and return its exit status."""
    check = SettingsCommand("check", "Check a settings file.", SoakSettings, lambda _: None)
    return run_commands("apricot-soak", [RunCommand(), SeriesCommand(), check])


async def run_series(settings: SoakSettings, series: Series) -> Report:
    """Play a series with its sizes, which replace those in the settings.

    Raises `ApricotError` with code 5001 if the programs cannot be started.
    """
    sized = attrs.asdict(settings) | series.sizes
    settings = structure(sized, SoakSettings, source="sizes of the series")
    return await play(
        settings, series, make_words(settings), build_folder=_find_build(settings.build_folder)
    )


def series_of_seed(settings: SoakSettings) -> Series:
    """Return the series of the seed in the settings."""
    return make_series(settings, seed=settings.seed, catch_up_s=LIMITS.catch_up_s)


async def _play_until_signal(settings: SoakSettings, series: Series) -> Report | None:
    """Play a series; None if a signal has ended it."""
    report: Report | None = None
    async with anyio.create_task_group() as group:

        async def cancel_on_signal() -> None:
            with anyio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
                async for _ in signals:
                    group.cancel_scope.cancel()
                    return

        group.start_soon(cancel_on_signal)
        report = await run_series(settings, series)
        group.cancel_scope.cancel()
    return report


def _load_settings(command: Command) -> SoakSettings:
    settings = load(Path(command.argument("settings")), SoakSettings)
    overrides: dict[str, Any] = {
        item.name.replace("-", "_"): _number(command.option(item.name))
        for item in _OVERRIDES
        if command.option(item.name) is not None
    }
    return structure(attrs.asdict(settings) | overrides, SoakSettings, source="options")


def _choose_series(settings: SoakSettings, path: str | None, without: str | None) -> Series:
    series = load_series(Path(path)) if path else series_of_seed(settings)
    try:
        return series.without({int(number) for number in without.split(",")} if without else ())
    except ValueError:
        raise ApricotError(
            ResultCode.INVALID_SETTINGS,
            f"--without {without!r} is not a list of numbers",
            remedy="give numbers of faults, such as --without 3,7",
        ) from None


def _find_build(build_folder: str) -> Path:
    """Return the folder that holds the programs; raises `ApricotError` with code 5001."""
    folder = Path(build_folder) if build_folder else Path(apricotpoint.__file__).parents[1]
    if not (folder / PROGRAM).is_file():
        raise ApricotError(
            ResultCode.INVALID_SETTINGS,
            f"build_folder: {folder} has no {PROGRAM}",
            remedy="build the programs as deploy/system.toml says, or set build_folder to ''",
        )
    return folder.absolute()


def _print_series(series: Series) -> None:
    links = " over relays" if series.uses_links() else ""
    print(f"seed {series.seed}: {len(series.faults)} faults in {series.seconds:g} s{links}")
    for fault in series.faults:
        print(f"  {fault}  ({fault.rule})")
    sys.stdout.flush()


def _number(text: str) -> float | str:
    # Returns other text unchanged, so that the settings check rejects it with its key.
    for number_type in (int, float):
        with suppress(ValueError):
            return number_type(text)
    return text


if __name__ == "__main__":
    sys.exit(main())
