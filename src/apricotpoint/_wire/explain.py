"""Messages that explain where a job would go, without sending it."""

from __future__ import annotations

import attrs

from apricotpoint._wire.pool import PoolJob


@attrs.frozen
class ExplainJob:
    """Asks a holder what would happen to a job. Answered by `HolderExplanation`."""

    job: PoolJob


@attrs.frozen
class BackendRow:
    """A held backend server from the point of view of a job.

    `run_s` is the expected run time of the longest task there, `room_in_s` the expected time until
    there is room for a task, None if that is not known. `verdict` is "chosen", "possible", or what
    excludes it: "service", "size", "leaving", "unanswered", "health", "trial", "hand-over",
    "lease", "room", "speed" or "location".
    """

    backend_id: str
    location: str
    free_cpu: int
    free_memory_mb: int
    speed: float
    run_s: float
    room_in_s: float | None
    verdict: str


@attrs.frozen
class HolderExplanation:
    """What a holder would do with a job now.

    `code` is 0 if the job would be accepted, otherwise that of the refusal, which has `reason`,
    `retry_after_s` at least, and `forward_to`, a holder that the job would be sent to instead.
    `wait_s` and `run_s` are the figures of admission. `jobs_ahead` wait before it in the queue;
    with `over_share` it goes behind those of other routes, as its own has used up its fair share.
    `chosen` is the backend server of its first task, empty if that would wait. `omitted` backend
    servers are not in `backends`.
    """

    code: int
    reason: str
    retry_after_s: float
    forward_to: str
    elapsed_s: float
    wait_s: float
    run_s: float
    objective_s: float
    deadline_s: float
    jobs_ahead: int
    chosen: str
    backends: list[BackendRow]
    omitted: int = 0
    over_share: bool = False


@attrs.frozen
class HolderRow:
    """A holder that the entry process knows.

    `share` is the probability that the job goes there. The load figures are `age_s` old; 0 and
    infinity if no status has arrived.
    """

    entry_id: str
    failure_domain: str
    share: float
    free: int
    capacity: int
    backlog_s: float
    age_s: float | None


@attrs.frozen
class JobExplanation:
    """Where a job would go: the holder that is the most probable choice, and what it answers.

    `holder` is None if no holder is known, or if the chosen one has not answered, with `reason`.
    """

    entry_id: str
    target: str
    holders: list[HolderRow]
    holder: HolderExplanation | None
    reason: str = ""
