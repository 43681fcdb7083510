"""A holder is frozen for 3.0 s and then has the jobs run that were passed to it meanwhile."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from rig import (  # noqa: E402
    TROUBLE,
    Caller,
    CaseNotRunError,
    Deployment,
    Operator,
    Record,
    exit_with,
    make_configuration,
    make_job,
    make_route,
    new_job_id,
    run_case,
)
from worker import find_simultaneous_runs, start_workers  # noqa: E402

FREEZE_S = 3.0
# The first attempts are sent at these times of the freeze, through the other front of the zone.
# It answers 502 after 0.9 s, and the callers send the jobs again 1.3 s (resend_interval_ms) later.
SENT_AT_S = (0.05, 0.1, 0.15, 0.2)
PREFIX = "/check/"
WORKERS = {"alpha": 10, "beta": 10, "gamma": 10}
# Ten fronts, so that the frozen one is a share of 0.1 of them.
FRONTS = {
    "front-a1": "alpha",
    "front-a2": "alpha",
    "front-b1": "beta",
    "front-b2": "beta",
    "front-b3": "beta",
    "front-b4": "beta",
    "front-c1": "gamma",
    "front-c2": "gamma",
    "front-c3": "gamma",
    "front-c4": "gamma",
}


async def case(record: Record) -> list[str]:
    """Run the case and return a text for each time that a rule was broken."""
    async with (
        Deployment(
            record,
            zones=list(WORKERS),
            fronts=FRONTS,
            cores={"core-1": "alpha", "core-2": "beta", "core-3": "gamma"},
            front_cores=0.387,
        ) as deployment,
        start_workers(record, deployment, WORKERS) as workers,
    ):
        caller = Caller(deployment)
        await Operator(deployment).replace(make_configuration(1, [make_route("check", PREFIX)]))
        await asyncio.sleep(4.0)
        await caller.wait_until_served(PREFIX)
        if len({deployment.holder_of(zone) for zone in WORKERS}) < len(WORKERS):
            raise CaseNotRunError("one front holds the workers of two zones")
        frozen = deployment.holder_of("alpha")
        through = next(name for name in ("front-a1", "front-a2") if name != frozen)
        record.add(f"the holder of alpha is {frozen}")

        async def send(delay_s: float, second: str) -> None:
            await asyncio.sleep(delay_s)
            job = make_job(count=1, run_ms=1100, estimate_ms=900)
            await caller.submit_until_answered([through, second], PREFIX, new_job_id(), job)

        async def freeze() -> None:
            if TROUBLE:
                deployment.signal(frozen, signal.SIGSTOP)
                await asyncio.sleep(FREEZE_S)
                deployment.signal(frozen, signal.SIGCONT)

        async with asyncio.TaskGroup() as group:
            group.create_task(freeze())
            # Jobs are sent again to any front; the one that wakes forwards them to any holder.
            for delay_s in SENT_AT_S:
                for second in (through, "front-b1", "front-c1"):
                    group.create_task(send(delay_s, second))
        await asyncio.sleep(4.0)
        return find_simultaneous_runs(workers, record.now())


if __name__ == "__main__":
    exit_with(run_case(case, FOLDER))
