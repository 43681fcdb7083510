"""A configuration grows by many routes, and a front with a slow link does not get it in time."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from rig import (  # noqa: E402
    TROUBLE,
    Caller,
    Deployment,
    Operator,
    Record,
    call,
    exit_with,
    make_configuration,
    make_job,
    make_route,
    new_job_id,
    run_case,
)
from worker import start_workers  # noqa: E402

PREFIX = "/check/"
SLOW = "front-t1"
FRONTS = {
    "front-p1": "puebla",
    "front-p2": "puebla",
    "front-p3": "puebla",
    "front-q1": "queretaro",
    "front-q2": "queretaro",
    SLOW: "toluca",
}
CORES = {"core-p": "puebla", "core-q": "queretaro", "core-t": "toluca"}
WORKERS = {"puebla": 8, "queretaro": 8, "toluca": 8}
# Of the sheets and the site file of the grown deployment: the slowest link of a front, the routes
# that one change adds, the pause between the changes of two operators, and `config_apply_ms`.
LINK_MBPS, ADDED_ROUTES, CHANGE_PERIOD_S, CONFIG_APPLY_S = 9.5, 1724, 1.4, 2.5
CHANGES = 4
LOOK_PERIOD_S, LOOK_AFTER_LAST_S = 0.1, 8.0


async def case(record: Record) -> list[str]:
    """Run the case and return a text for each time that a rule was broken."""
    async with (
        Deployment(
            record,
            zones=list(WORKERS),
            fronts=FRONTS,
            cores=CORES,
            proxied=SLOW,
            proxied_cores=0.387,
            proxied_mbps=LINK_MBPS,
        ) as deployment,
        start_workers(record, deployment, WORKERS),
    ):
        caller, operator = Caller(deployment), Operator(deployment)
        routes = [make_route("check", PREFIX)]
        await operator.replace(make_configuration(1, routes))
        await asyncio.sleep(4.0)
        await caller.wait_until_served(PREFIX)
        acknowledged_at_by_prefix: dict[str, float] = {}
        broken: list[str] = []

        async def look() -> None:
            """Ask the front for counts of the newest route that it has to know."""
            while True:
                due = [
                    prefix
                    for prefix, at in acknowledged_at_by_prefix.items()
                    if record.now() - at > CONFIG_APPLY_S
                ]
                if due:
                    late_s = record.now() - acknowledged_at_by_prefix[due[-1]]
                    reply = await call(
                        deployment.caller_address(SLOW),
                        "GET",
                        due[-1],
                        headers={"Host": "desk.example"},
                        timeout_s=1.0,
                    )
                    record.add(f"{SLOW} {due[-1]} {late_s:.2f} s after the ack: {reply.status}")
                    if reply.status == 404:
                        broken.append(f"CONFIG {due[-1]}: 404 {late_s:.2f} s after its ack")
                await asyncio.sleep(LOOK_PERIOD_S)

        async def load() -> None:
            while True:
                for front in FRONTS:
                    job = make_job(count=1, run_ms=60, estimate_ms=60)
                    group.create_task(caller.submit(front, PREFIX, new_job_id(), job))
                    await asyncio.sleep(LOOK_PERIOD_S)

        async with asyncio.TaskGroup() as group:
            background = [group.create_task(look()), group.create_task(load())]
            if TROUBLE:
                routes += [make_route(f"r-{n}", f"/more{n:05}/") for n in range(ADDED_ROUTES)]
            for change in range(CHANGES):
                prefix = f"/new{change}/"
                routes.append(make_route(f"new{change}", prefix))
                await operator.replace(make_configuration(change + 2, routes))
                acknowledged_at_by_prefix[prefix] = record.now()
                await asyncio.sleep(CHANGE_PERIOD_S)
            await asyncio.sleep(LOOK_AFTER_LAST_S)
            for task in background:
                task.cancel()
        return broken


if __name__ == "__main__":
    exit_with(run_case(case, FOLDER))
