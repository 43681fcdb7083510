"""Console program of the bench: scenarios, policies, JSON lines and a report."""

from __future__ import annotations

import argparse
import json
import multiprocessing
from collections.abc import Iterator
from pathlib import Path

import attrs

from apricotpoint._bench.figure import Figure
from apricotpoint._bench.measure import run_scenario
from apricotpoint._bench.report import write_report
from apricotpoint._bench.scenario import SCENARIO_BY_NAME, SCENARIOS
from apricotpoint._core.settings import load
from apricotpoint._settings.deployment import DeploymentSettings

BASELINES = ["random", "round_robin", "least_outstanding", "two_choices"]
DEFAULT_POLICY = "predicted"
_COMPARED = ("steady-50", "steady-80", "steady-95")


@attrs.frozen
class Run:
    """One scenario with one policy on one deployment."""

    deployment: DeploymentSettings
    scenario: str
    policy: str
    seed: int


def main() -> None:
    """Run the chosen scenarios and print one JSON line for each figure."""
    arguments = _parser().parse_args()
    deployments = [load(Path(path), DeploymentSettings) for path in arguments.deployment]
    runs = [
        Run(deployment, scenario, policy, arguments.seed)
        for deployment in deployments
        for scenario in arguments.scenario or [item.name for item in SCENARIOS]
        for policy in _policies(scenario, arguments.policy)
    ]
    figures: list[Figure] = []
    for part in _run_all(runs, arguments.processes):
        figures += part
        for figure in part:
            print(json.dumps(attrs.asdict(figure)), flush=True)
    if arguments.report:
        write_report(figures, Path(arguments.report))


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="apricotpoint bench", description=__doc__)
    parser.add_argument(
        "--deployment",
        action="append",
        required=True,
        help="deployment settings file; may be repeated",
    )
    parser.add_argument("--scenario", action="append", choices=list(SCENARIO_BY_NAME))
    parser.add_argument("--policy", action="append", choices=[DEFAULT_POLICY, *BASELINES])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--processes", type=int, default=6)
    parser.add_argument("--report", help="folder for the report with plots")
    return parser


def _policies(scenario: str, chosen: list[str] | None) -> list[str]:
    if chosen:
        return chosen
    return [DEFAULT_POLICY, *BASELINES] if scenario in _COMPARED else [DEFAULT_POLICY]


def _run_all(runs: list[Run], processes: int) -> Iterator[list[Figure]]:
    if processes == 1 or len(runs) == 1:
        yield from map(_run_one, runs)
        return
    with multiprocessing.get_context("spawn").Pool(processes) as pool:
        yield from pool.imap(_run_one, runs)


def _run_one(run: Run) -> list[Figure]:
    scenario = SCENARIO_BY_NAME[run.scenario]
    return run_scenario(run.deployment, scenario, policy=run.policy, seed=run.seed)
