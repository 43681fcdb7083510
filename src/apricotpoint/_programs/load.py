"""`apricot-load`: generates load against a running system and checks the answers."""

from __future__ import annotations

import json
import sys
import time
from contextlib import suppress
from pathlib import Path
from typing import Any

import anyio
import attrs
from cleo.commands.command import Command
from cleo.helpers import argument, option

from apricotpoint._bench.ideal import IdealBackend, ideal_responses_s
from apricotpoint._bench.trace import capacity_tasks_per_s, make_trace
from apricotpoint._client import Client
from apricotpoint._core.secrets import load_tokens
from apricotpoint._core.settings import load, structure
from apricotpoint._load import counters, ledgers, report
from apricotpoint._load.driver import SubmissionMix, drive
from apricotpoint._load.outcome import Outcome
from apricotpoint._load.settings import LoadSettings
from apricotpoint._load.summary import summarise
from apricotpoint._programs.console import SettingsCommand, run_commands
from apricotpoint._settings.deployment import DeploymentSettings

# Tasks of cancelled and expired jobs may still be starting when their answers arrive.
SETTLE_TIME_S = 1.0


class RunCommand(Command):
    """Runs a load and compares all answers with the ledgers of the backend servers."""

    name = "run"
    description = "Run a load and report; the exit status is 1 if a guarantee was violated."
    arguments = [argument("settings", description="Settings file in JSON with comments")]
    options = [
        option("tasks-per-s", description="Replaces tasks_per_s", flag=False),
        option("seconds", description="Replaces seconds", flag=False),
        option("seed", description="Replaces seed", flag=False),
        option("resubmit-share", description="Replaces resubmit_share", flag=False),
        option("cancel-share", description="Replaces cancel_share", flag=False),
    ]

    def handle(self) -> int:
        """Run the load and print its figures as a table, then as one line of JSON."""
        settings = load(Path(self.argument("settings")), LoadSettings)
        overrides = {
            option.name.replace("-", "_"): _number(self.option(option.name))
            for option in self.options
            if self.option(option.name) is not None
        }
        overridden = structure(attrs.asdict(settings) | overrides, LoadSettings, source="options")
        figures = anyio.run(run_load, overridden)
        for name, value in figures.items():
            print(f"  {name.replace('_', ' '):28} {value}")
        print(json.dumps(figures))
        return 1 if violated_guarantees(figures) else 0


def main() -> int:
    """Run the console program and return its exit status."""
    check = SettingsCommand("check", "Check a settings file.", LoadSettings, lambda _: None)
    return run_commands("apricot-load", [RunCommand(), check])


async def run_load(settings: LoadSettings) -> dict[str, Any]:
    """Run a load, write its report files to the report folder, and return its figures."""
    deployment = load(Path(settings.deployment_file), DeploymentSettings)
    tokens = load_tokens(Path(settings.secrets_file))
    tasks_per_s = settings.tasks_per_s or (
        settings.part_of_capacity * capacity_tasks_per_s(deployment)
    )
    trace = make_trace(
        deployment,
        tasks_per_s=tasks_per_s,
        seconds=settings.seconds,
        seed=settings.seed,
        team=settings.team,
    )
    run_id = f"load-{time.time_ns() // 1_000_000}"
    operator_token = tokens.operator(settings.operator) if settings.operator_addresses else ""
    counters_before = await counters.read_counters(settings.operator_addresses, operator_token)
    outcomes: list[Outcome] = []
    started_at = time.monotonic()
    urls = [f"http://{address}" for address in settings.caller_addresses]
    async with Client(urls, tokens.team(settings.team), seed=settings.seed) as client:
        await drive(
            trace,
            client,
            service=deployment.service,
            deadline_ms=settings.deadline_ms,
            run_id=run_id,
            on_outcome=outcomes.append,
            mix=SubmissionMix(settings.resubmit_share, settings.cancel_share, settings.seed),
        )
    elapsed_s = time.monotonic() - started_at
    await anyio.sleep(SETTLE_TIME_S)
    counters_after = await counters.read_counters(settings.operator_addresses, operator_token)
    starts, unread_addresses = await ledgers.read_ledgers(settings.backend_addresses)
    findings = ledgers.compare(outcomes, starts, run_id=run_id, unread_addresses=unread_addresses)
    increases = counters.difference(counters_before, counters_after)
    wasted = counters.wasted_messages(increases)
    workers = [
        IdealBackend(speed=speed, slots=deployment.workers.slots)
        for speed in deployment.workers.speeds()
    ]
    summary = summarise(
        trace,
        outcomes,
        workers,
        wasted_messages=sum(wasted.values()),
        repeated_tasks=findings.repeated_tasks,
    )
    complete_tasks = sum(len(outcome.job.tasks) for outcome in outcomes if outcome.complete)
    figures = (
        {"run": run_id, "offered_tasks_per_s": round(summary.tasks / settings.seconds, 1)}
        | {"complete_tasks_per_s": round(complete_tasks / elapsed_s, 1)}
        | attrs.asdict(summary)
        | {
            "entry_cpu_ms_per_task": _per_task(
                increases.get("process.cpu_s", 0) * 1000, summary.tasks
            )
        }
        | {"messages_per_task": _per_task(increases.get("link.sent", 0), summary.tasks)}
        | {"unanswered": len(trace) - len(outcomes), "wasted": wasted}
        | attrs.asdict(findings)
        | {"unread_counters": sorted(set(settings.operator_addresses) - set(counters_after))}
    )
    ideal_s = ideal_responses_s(trace, workers, round_trip_s=0.0)
    report.write_files(Path(settings.report_folder), run_id, outcomes, figures, ideal_s)
    return figures


def _number(text: str) -> float | str:
    # Returns other text unchanged, so that the settings check rejects it with its key.
    for number_type in (int, float):
        with suppress(ValueError):
            return number_type(text)
    return text


def _per_task(value: float, tasks: int) -> float:
    return round(value / max(tasks, 1), 3)


def violated_guarantees(figures: dict[str, Any]) -> list[str]:
    """Return the names of the figures that show a violated guarantee of the system."""
    names = ["not_whole", "repeated_tasks", "unanswered"]
    names += ["refused_but_started", "complete_but_not_started"]
    return [name for name in names if figures[name]]


if __name__ == "__main__":
    sys.exit(main())
