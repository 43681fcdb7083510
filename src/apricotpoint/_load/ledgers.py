"""Comparison of answers with the ledgers of the backend servers."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence

import anyio
import attrs
import httpx

from apricotpoint._load.outcome import Outcome

READ_TIMEOUT_S = 10.0
_NOT_RUN_CODES = range(2000, 3000)


@attrs.frozen
class LedgerFindings:
    """Result of comparing the answers of a run with the ledgers of the backend servers.

    `starts` counts the starts of the run's tasks, and `repeated_tasks` those that
    repeat an earlier start of the same task. `refused_but_started` lists jobs with a
    2xxx code of which a task was started, `complete_but_not_started` complete jobs
    with a task that was never started. A ledger is lost with its process;
    `unread_ledgers` has the addresses of the backend servers that did not answer.
    """

    starts: int
    repeated_tasks: int
    refused_but_started: list[str]
    complete_but_not_started: list[str]
    unread_ledgers: list[str]


async def read_ledgers(
    addresses: Sequence[str],
) -> tuple[Counter[tuple[str, str]], list[str]]:
    """Return the number of starts by job and task, and the addresses that did not answer."""
    starts: Counter[tuple[str, str]] = Counter()
    unread_addresses: list[str] = []

    async def read(address: str) -> None:
        try:
            response = await client.get(f"http://{address}/v1/ledger?tasks=1")
            response.raise_for_status()
            tasks = response.json()["tasks"]
        except (httpx.HTTPError, ValueError, KeyError):
            unread_addresses.append(address)
            return
        for job, task, count in tasks:
            starts[job, task] += count

    async with (
        httpx.AsyncClient(trust_env=False, timeout=READ_TIMEOUT_S) as client,
        anyio.create_task_group() as group,
    ):
        for address in addresses:
            group.start_soon(read, address)
    return starts, sorted(unread_addresses)


def compare(
    outcomes: Iterable[Outcome],
    starts: Counter[tuple[str, str]],
    *,
    run_id: str,
    unread_addresses: Sequence[str] = (),
) -> LedgerFindings:
    """Return the contradictions between the answers and the ledgers of one run.

    Complete jobs with a task that was never started are reported only if all ledgers
    were read.
    """
    starts_of_run = {key: count for key, count in starts.items() if key[0].startswith(f"{run_id}-")}
    started_jobs = {job for job, _ in starts_of_run}
    refused_but_started = []
    not_started = []
    for outcome in outcomes:
        codes = [answer.code for answer in outcome.answers()]
        if any(code in _NOT_RUN_CODES for code in codes) and outcome.name in started_jobs:
            refused_but_started.append(f"{outcome.name} {codes}")
        tasks = range(len(outcome.job.tasks))
        if outcome.complete and not all(
            (outcome.name, str(index)) in starts_of_run for index in tasks
        ):
            not_started.append(outcome.name)
    return LedgerFindings(
        starts=sum(starts_of_run.values()),
        repeated_tasks=sum(count - 1 for count in starts_of_run.values()),
        refused_but_started=refused_but_started,
        complete_but_not_started=[] if unread_addresses else not_started,
        unread_ledgers=list(unread_addresses),
    )
