"""Console program of the benchmark."""

from __future__ import annotations

import json
import multiprocessing
import sys
from collections.abc import Iterator
from pathlib import Path

import attrs
from cleo.commands.command import Command
from cleo.helpers import option

from apricotpoint._bench.figure import Figure
from apricotpoint._bench.measure import run_scenario, two_choices_comparison
from apricotpoint._bench.report import write_report
from apricotpoint._bench.scenario import SCENARIO_BY_NAME, SCENARIOS
from apricotpoint._core.codes import ResultCode
from apricotpoint._core.errors import ApricotError
from apricotpoint._core.settings import load
from apricotpoint._programs.console import run_commands
from apricotpoint._settings.deployment import DeploymentSettings

BASELINES = ["random", "round_robin", "least_outstanding", "two_choices"]
DEFAULT_POLICY = "predicted"
_ALL_POLICIES_SCENARIOS = ("steady-50", "steady-80", "steady-95")


@attrs.frozen
class Run:
    """Arguments of one benchmark run."""

    deployment: DeploymentSettings
    scenario: str
    policy: str
    seed: int


class BenchCommand(Command):
    """Runs the given scenarios, or all, and prints one JSON line for each figure."""

    name = "run"
    description = "Run scenarios on virtual time and print one JSON line for each figure."
    options = [
        option("deployment", None, "Deployment settings file.", flag=False, multiple=True),
        option("scenario", None, "Scenario; all by default.", flag=False, multiple=True),
        option("policy", None, "Placement policy.", flag=False, multiple=True),
        option("seed", None, "Seed of traces and choices.", flag=False, default="1"),
        option("processes", None, "Number of runs at the same time.", flag=False, default="6"),
        option("report", None, "Folder for the report with plots.", flag=False),
    ]

    def handle(self) -> int:
        """Run the scenarios, print their figures and write the report; return 0."""
        runs = self._selected_runs()
        figures: list[Figure] = []
        for run_figures in _run_all(
            runs, _parse_whole_number("processes", self.option("processes"))
        ):
            figures += run_figures
            _print_figures(run_figures)
        compared = two_choices_comparison(figures)
        _print_figures(compared)
        if self.option("report"):
            write_report(figures + compared, Path(self.option("report")))
        return 0

    def _selected_runs(self) -> list[Run]:
        if not self.option("deployment"):
            raise _settings_error("no deployment is given", "add --deployment FILE")
        scenarios = _check_names("scenario", self.option("scenario"), list(SCENARIO_BY_NAME))
        policies = _check_names("policy", self.option("policy"), [DEFAULT_POLICY, *BASELINES])
        seed = _parse_whole_number("seed", self.option("seed"))
        return [
            Run(load(Path(path), DeploymentSettings), scenario, policy, seed)
            for path in self.option("deployment")
            for scenario in scenarios or [item.name for item in SCENARIOS]
            for policy in policies or _default_policies(scenario)
        ]


def main() -> int:
    """Run the console program and return its exit status."""
    # The only command may be left out on the command line.
    if sys.argv[1:2] not in (["run"], ["list"], ["help"], ["--help"], ["-h"]):
        sys.argv.insert(1, "run")
    return run_commands("apricotpoint-bench", [BenchCommand()])


def _print_figures(figures: list[Figure]) -> None:
    for figure in figures:
        print(json.dumps(attrs.asdict(figure)), flush=True)


def _check_names(name: str, values: list[str], known: list[str]) -> list[str]:
    for value in values:
        if value not in known:
            raise _settings_error(f"{name} {value!r} is unknown", f"use one of {', '.join(known)}")
    return values


def _parse_whole_number(name: str, value: str) -> int:
    if not value.isdecimal():
        raise _settings_error(f"{name} is {value!r}", "use a whole number")
    return int(value)


def _settings_error(message: str, remedy: str) -> ApricotError:
    return ApricotError(ResultCode.INVALID_SETTINGS, message, remedy=remedy)


def _default_policies(scenario: str) -> list[str]:
    return [DEFAULT_POLICY, *BASELINES] if scenario in _ALL_POLICIES_SCENARIOS else [DEFAULT_POLICY]


def _run_all(runs: list[Run], processes: int) -> Iterator[list[Figure]]:
    if processes == 1 or len(runs) == 1:
        yield from map(_run_one, runs)
        return
    with multiprocessing.get_context("spawn").Pool(processes) as pool:
        yield from pool.imap(_run_one, runs)


def _run_one(run: Run) -> list[Figure]:
    scenario = SCENARIO_BY_NAME[run.scenario]
    return run_scenario(run.deployment, scenario, policy=run.policy, seed=run.seed)
