"""Plays one series on a new deployment, and returns what was found."""

from __future__ import annotations

from pathlib import Path

import anyio

from apricotpoint._core.codes import ResultCode
from apricotpoint._core.errors import ApricotError
from apricotpoint._soak.checks import find_violations
from apricotpoint._soak.conductor import Conductor
from apricotpoint._soak.configchecks import find_configuration_violations
from apricotpoint._soak.deployment import Deployment
from apricotpoint._soak.evacuationchecks import find_evacuation_violations
from apricotpoint._soak.report import Report, make_report, write_record
from apricotpoint._soak.series import Series, save_series
from apricotpoint._soak.settings import SoakSettings
from apricotpoint._soak.words import Words

START_TIMEOUT_S = 60.0
# Callers go on for this long after the recovery.
CALM_S = 2.0
LAST_ANSWERS_S = 10.0
# The machine that plays the soak may be busy: recovery is awaited for longer than allowed, so that
# the report tells how long it took.
PATIENCE_FACTOR = 2.0


async def play(
    settings: SoakSettings, series: Series, words: Words, *, build_folder: Path
) -> Report:
    """Start a deployment, play a series, end the deployment, and write all to the report folder.

    Raises `ApricotError` with code 5001 if the deployment cannot be started.
    """
    folder = Path(settings.report_folder)
    save_series(series, folder / "series.json")
    deployment = Deployment(
        settings, words, build_folder=build_folder, seed=series.seed, relayed=series.uses_links()
    )
    sightings = deployment.sightings
    try:
        async with deployment:
            callers_stopped, operators_stopped = anyio.Event(), anyio.Event()
            recovered = anyio.Event()
            async with anyio.create_task_group() as group:
                await _wait_until_ready(deployment)
                for _ in range(settings.callers):
                    group.start_soon(deployment.make_caller().run, callers_stopped)
                unserved = await deployment.wait_until_served(0.0, START_TIMEOUT_S)
                if unserved:
                    raise _not_started(f"{', '.join(sorted(unserved))} served no caller", folder)
                sightings.note("the series begins")
                group.start_soon(deployment.operators.run, operators_stopped)
                evacuations_ended = anyio.Event()
                group.start_soon(
                    _evacuate, deployment, operators_stopped, recovered, evacuations_ended
                )
                await Conductor(deployment).play(series)
                operators_stopped.set()
                await _wait_for_recovery(deployment, words.limits.recovery_s * PATIENCE_FACTOR)
                recovered.set()
                with anyio.move_on_after(words.limits.recovery_s):
                    await evacuations_ended.wait()
                await anyio.sleep(CALM_S)
                callers_stopped.set()
                with anyio.move_on_after(LAST_ANSWERS_S):
                    while any(item.ended_at is None for item in sightings.attempts):  # noqa: ASYNC110
                        await anyio.sleep(0.1)
                group.cancel_scope.cancel()
            violations = [
                *find_violations(sightings, words.limits),
                *find_configuration_violations(sightings, words.limits),
                *find_evacuation_violations(
                    sightings, words.limits, check_starts=settings.check_evacuated_starts
                ),
            ]
            report = make_report(series, sightings, violations)
    finally:
        write_record(sightings, folder)
    return report


async def _wait_until_ready(deployment: Deployment) -> None:
    """Have the first configuration accepted."""
    with anyio.move_on_after(START_TIMEOUT_S):
        while not await deployment.operators.change_once():
            deployment.sightings.note("the first configuration is sent again")
        return
    raise _not_started(
        "no control process accepted a configuration", Path(deployment.settings.report_folder)
    )


async def _evacuate(
    deployment: Deployment, stopped: anyio.Event, recovered: anyio.Event, ended: anyio.Event
) -> None:
    """Send orders until `stopped` is set, and check after the recovery that they are in force."""
    if deployment.settings.with_evacuations:
        await deployment.evacuations.run(stopped)
        await recovered.wait()
        await deployment.evacuations.confirm()
    ended.set()


async def _wait_for_recovery(deployment: Deployment, timeout_s: float) -> None:
    """Take the time until the configuration is read and changed, and all entries serve."""
    sightings = deployment.sightings
    since = sightings.last_back_at
    if not await deployment.operators.wait_for_recovery(timeout_s):
        return
    if not await deployment.wait_until_served(since, timeout_s):
        sightings.recovered_s = sightings.now() - since


def _not_started(what: str, folder: Path) -> ApricotError:
    return ApricotError(
        ResultCode.INVALID_SETTINGS,
        f"the deployment did not start within {START_TIMEOUT_S:g} s: {what}",
        remedy=f"read the logs in {folder / 'logs'}; start fewer processes on a busy machine",
    )
