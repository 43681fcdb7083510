"""Open connections of the holder go silent, and the links that they belong to stay broken.

Two parts, each with a new deployment of today's size and one disruption. In the first, the
connections that the holder has opened go silent, and the configuration changes after all
machines count as in touch again. In the second, those that the other processes have opened to the
holder go silent.
"""

from __future__ import annotations

import asyncio
import itertools
import sys
from collections.abc import Callable
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from rig import (  # noqa: E402
    BOUNDS,
    TROUBLE,
    Caller,
    CaseNotRunError,
    Deployment,
    Operator,
    Record,
    Relay,
    Reply,
    call,
    exit_with,
    make_configuration,
    make_job,
    make_route,
    new_job_id,
    run_case,
)
from worker import start_workers  # noqa: E402

PREFIX, NEW_PREFIX = "/check/", "/new/"
OLD_ROUTES = [make_route("check", PREFIX)]
NEW_ROUTES = [*OLD_ROUTES, make_route("new", NEW_PREFIX)]
HOLDER = "front-p1"
FRONTS = {
    HOLDER: "puebla",
    "front-p2": "puebla",
    "front-p3": "puebla",
    "front-q1": "queretaro",
    "front-q2": "queretaro",
    "front-t1": "toluca",
}
CORES = {"core-p": "puebla", "core-q": "queretaro", "core-t": "toluca"}
# As in the site file; the sheet names half as many, as the bench plays them.
WORKERS = {"puebla": 16, "queretaro": 16, "toluca": 16}
CALM_S = 4.0
REQUESTS_PER_S = 20
# After this time all machines count as in touch again.
CONTACT_TIMEOUT_S = BOUNDS["contact_timeout_ms"] / 1000
CHANGE_AFTER_S = CONTACT_TIMEOUT_S + 0.2
CONFIG_APPLY_S = BOUNDS["config_apply_ms"] / 1000
LOOK_S, LOOK_PERIOD_S = 7.0, 0.1
TROUBLED_S = 26.0
# A day fails the gate if more than this share of the requests is refused or fails.
MAX_UNSERVED_SHARE = 0.6


class Traffic:
    """Sends jobs of two tasks to all fronts in turn."""

    def __init__(self, deployment: Deployment, group: asyncio.TaskGroup) -> None:
        self.replies: list[tuple[str, Reply]] = []
        self._caller = Caller(deployment)
        self._group = group
        self._fronts = itertools.cycle(FRONTS)

    async def send_for(self, seconds: float) -> None:
        """Send jobs at `REQUESTS_PER_S` without waiting for the answers."""
        for _ in range(int(seconds * REQUESTS_PER_S)):
            self._group.create_task(self._send(next(self._fronts)))
            await asyncio.sleep(1 / REQUESTS_PER_S)

    async def _send(self, front: str) -> None:
        job = make_job(count=2, run_ms=200, estimate_ms=200)
        reply = await self._caller.submit(front, PREFIX, new_job_id(), job)
        self.replies.append((front, reply))


async def start(deployment: Deployment) -> None:
    """Send the first configuration and wait until all fronts serve callers."""
    await Operator(deployment).replace(make_configuration(1, OLD_ROUTES))
    await asyncio.sleep(4.0)
    await Caller(deployment).wait_until_served(PREFIX)
    if {deployment.holder_of(zone) for zone in WORKERS} != {HOLDER}:
        raise CaseNotRunError(f"another front than {HOLDER} is a holder")


def silence(record: Record, relays: list[Relay], what: str) -> None:
    """Let the open connections of some relays carry nothing any more."""
    if TROUBLE:
        count = sum(relay.silence() for relay in relays)
        record.add(f"{count} open connections that {what} go silent; new ones work")


async def look_for_new_route(deployment: Deployment, acknowledged_at: float) -> list[str]:
    """Ask each front for a count of the new route; return the answers of the old version."""
    record, broken = deployment.record, []
    while record.now() < acknowledged_at + LOOK_S:
        for front in FRONTS:
            sent_s = record.now() - acknowledged_at
            reply = await call(
                deployment.caller_address(front),
                "GET",
                NEW_PREFIX,
                headers={"Host": "desk.example"},
                timeout_s=1.0,
            )
            if reply.status == 404:
                record.add(f"{front} answers 404 to a request sent {sent_s:.2f} s after the ack")
                if sent_s > CONFIG_APPLY_S:
                    broken.append(f"CONFIG {front}: 404 {sent_s:.2f} s after the acknowledgement")
        await asyncio.sleep(LOOK_PERIOD_S)
    return broken


async def check_configuration(deployment: Deployment) -> list[str]:
    """Silence the connections that the holder has opened, and change the configuration."""
    record = deployment.record
    async with asyncio.TaskGroup() as group:
        traffic = Traffic(deployment, group)
        await traffic.send_for(CALM_S)
        silence(record, deployment.outbound, f"{HOLDER} has opened")
        await traffic.send_for(CHANGE_AFTER_S)
        await Operator(deployment).replace(make_configuration(2, NEW_ROUTES))
        looks = group.create_task(look_for_new_route(deployment, record.now()))
        await traffic.send_for(LOOK_S)
    return looks.result()


async def check_service(deployment: Deployment) -> list[str]:
    """Silence the connections that the others have opened to the holder."""
    record = deployment.record
    async with asyncio.TaskGroup() as group:
        traffic = Traffic(deployment, group)
        await traffic.send_for(CALM_S)
        assert deployment.inbound is not None
        silence(record, [deployment.inbound], f"others have opened to {HOLDER}")
        await traffic.send_for(TROUBLED_S)
    for front in FRONTS:
        served = [reply.status == 200 for name, reply in traffic.replies if name == front]
        record.add(f"{front}: {sum(served)} of {len(served)} requests served")
    unserved = sum(reply.status != 200 for _, reply in traffic.replies)
    text = f"{unserved} of {len(traffic.replies)} requests were refused or failed"
    record.add(text)
    return [f"Gate: {text}"] if unserved > MAX_UNSERVED_SHARE * len(traffic.replies) else []


async def case(record: Record) -> list[str]:
    """Run the case and return a text for each time that a rule was broken."""
    broken: list[str] = []
    checks: list[Callable[[Deployment], object]] = [check_configuration, check_service]
    for check in checks:
        async with (
            Deployment(
                record, zones=list(WORKERS), fronts=FRONTS, cores=CORES, proxied=HOLDER
            ) as deployment,
            start_workers(record, deployment, WORKERS),
        ):
            await start(deployment)
            broken += await check(deployment)
    return broken


if __name__ == "__main__":
    exit_with(run_case(case, FOLDER))
