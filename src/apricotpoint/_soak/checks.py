"""Checks what callers and backend servers saw against what the users' pages promise them."""

from __future__ import annotations

import itertools
from collections import defaultdict
from collections.abc import Iterable

import attrs

from apricotpoint._soak.sightings import Attempt, Disturbance, Run, Sightings
from apricotpoint._soak.words import Limits

# Answers that say that the job did not run. Others of 400 and above, such as 502 and 504, say that
# it may have run.
NOT_RUN_STATUSES = {400, 404, 409, 410, 413, 422, 429, 503}
# Rate and start of the logs of one process. Measured: under 2 kB/s with these faults.
LOG_BYTES_PER_S, LOG_START_BYTES = 20_000, 200_000


@attrs.frozen
class Violation:
    """A promise that did not hold; `text` has the details for tracing."""

    rule: str
    text: str


def find_violations(sightings: Sightings, limits: Limits) -> list[Violation]:
    """Return all violations of promises to callers and by processes."""
    return [
        *find_simultaneous_runs(sightings.runs, sightings.now()),
        *find_starts_after_end(sightings.runs, sightings.attempts),
        *find_false_refusals(sightings.runs, sightings.attempts),
        *find_bad_answers(sightings.attempts),
        *find_missing_answers(sightings, limits),
        *(Violation("OWN END", text) for text in sightings.own_ends),
        *find_excessive_use(sightings, limits),
    ]


def find_simultaneous_runs(runs: Iterable[Run], now: float) -> list[Violation]:
    """Return a violation for each two runs of one task that overlap in time."""
    found = []
    for task, same in _by_task(runs).items():
        for first, second in itertools.combinations(same, 2):
            overlap_s = min(first.ended_at or now, second.ended_at or now) - second.began_at
            if overlap_s > 0:
                text = f"{task}: {_describe(first)}; {_describe(second)}; {overlap_s:.3f} s"
                found.append(Violation("TWICE", text))
    return found


def find_starts_after_end(runs: Iterable[Run], attempts: Iterable[Attempt]) -> list[Violation]:
    """Return a violation for each start after a noted end `done`.

    Not for jobs that were submitted again, which may run again from the start.
    """
    resubmitted = {attempt.job_id for attempt in attempts if attempt.number > 1}
    found = []
    for task, same in _by_task(runs).items():
        if same[0].job_id in resubmitted:
            continue
        for first, second in itertools.combinations(same, 2):
            noted = first.outcome == "done" and first.noted_at is not None
            if noted and first.noted_at is not None and second.began_at > first.noted_at:
                text = f"{task}: {_describe(first)}, noted; {_describe(second)}"
                found.append(Violation("STARTED AFTER END", text))
    return found


def find_false_refusals(runs: Iterable[Run], attempts: Iterable[Attempt]) -> list[Violation]:
    """Return a violation for each job with a start of which all attempts were refused."""
    began_by_job: dict[str, Run] = {}
    for run in runs:
        began_by_job.setdefault(run.job_id, run)
    found = []
    for job_id, same in _by_job(attempts).items():
        refused = all(attempt.status in NOT_RUN_STATUSES for attempt in same)
        if refused and job_id in began_by_job:
            text = f"{_describe_attempt(same[-1])}; {_describe(began_by_job[job_id])}"
            found.append(Violation("REFUSED", text))
    return found


def find_bad_answers(attempts: Iterable[Attempt]) -> list[Violation]:
    """Return a violation for each answer without a body, or without a code that explains it."""
    found = []
    for attempt in attempts:
        if attempt.status == 404:
            found.append(Violation("CONFIG", f"no route: {_describe_attempt(attempt)}"))
        elif attempt.status and not attempt.body_bytes:
            found.append(Violation("EMPTY ANSWER", _describe_attempt(attempt)))
        elif attempt.status not in (0, 200) and not attempt.code:
            found.append(Violation("NO CODE", _describe_attempt(attempt)))
    return found


def find_missing_answers(sightings: Sightings, limits: Limits) -> list[Violation]:
    """Return a violation for each request without an answer for which no fault accounts.

    A connection may end with a kill of its process, or within `break_slack_s` of the request if no
    task was started. A request may wait while its process is frozen or not in touch.
    """
    down = _by_process(sightings.disturbances, {"down"})
    disturbed = _by_process(sightings.disturbances, {"down", "frozen", "stopping", "links"})
    started = {run.job_id for run in sightings.runs}
    found = []
    for attempt in sightings.attempts:
        ended_at = attempt.ended_at if attempt.ended_at is not None else sightings.now()
        waited_s = ended_at - attempt.sent_at
        if attempt.failure == "broken":
            if _overlaps(down[attempt.entry_id], attempt.sent_at, ended_at + limits.break_slack_s):
                continue
            if waited_s <= limits.break_slack_s and attempt.job_id not in started:
                continue
            found.append(Violation("LOST", _describe_attempt(attempt)))
        elif attempt.failure == "silent" and waited_s >= attempt.deadline_s + limits.contact_s:
            since = attempt.sent_at - limits.contact_s
            if not _overlaps(disturbed[attempt.entry_id], since, ended_at):
                found.append(Violation("NO ANSWER", _describe_attempt(attempt)))
    return found


def find_excessive_use(sightings: Sightings, limits: Limits) -> list[Violation]:
    """Return a violation for each process above a bound of memory, descriptors or logs."""
    found = []
    log_bytes = LOG_START_BYTES + LOG_BYTES_PER_S * sightings.now()
    for usage in sightings.usages.values():
        for name, value, bound in (
            ("MB of memory", usage.memory_mb, limits.memory_mb),
            ("descriptors", usage.descriptors, limits.descriptors),
            ("bytes of logs", usage.log_bytes, log_bytes),
        ):
            if value > bound:
                text = f"{usage.process_id}: {value:.0f} {name}, at most {bound:.0f}"
                found.append(Violation("USAGE", text))
    return found


def _by_task(runs: Iterable[Run]) -> dict[str, list[Run]]:
    by_task: dict[str, list[Run]] = defaultdict(list)
    for run in sorted(runs, key=lambda run: run.began_at):
        by_task[run.task].append(run)
    return by_task


def _by_job(attempts: Iterable[Attempt]) -> dict[str, list[Attempt]]:
    by_job: dict[str, list[Attempt]] = defaultdict(list)
    for attempt in attempts:
        by_job[attempt.job_id].append(attempt)
    return by_job


def _by_process(
    disturbances: Iterable[Disturbance], kinds: set[str]
) -> dict[str, list[Disturbance]]:
    by_process: dict[str, list[Disturbance]] = defaultdict(list)
    for disturbance in disturbances:
        if disturbance.kind in kinds:
            by_process[disturbance.process_id].append(disturbance)
    return by_process


def _overlaps(disturbances: Iterable[Disturbance], since: float, until: float) -> bool:
    return any(
        item.since <= until and (item.until is None or item.until >= since) for item in disturbances
    )


def _describe(run: Run) -> str:
    ended = "running" if run.ended_at is None else f"{run.ended_at:.3f} s"
    return f"run {run.number} on {run.backend_id} {run.began_at:.3f} to {ended} ({run.outcome})"


def _describe_attempt(attempt: Attempt) -> str:
    ended_at = attempt.ended_at if attempt.ended_at is not None else attempt.sent_at
    return (
        f"job {attempt.job_id} attempt {attempt.number} at {attempt.entry_id}, sent at "
        f"{attempt.sent_at:.3f} s: status {attempt.status} code {attempt.code} "
        f"{attempt.failure} after {ended_at - attempt.sent_at:.3f} s"
    )
