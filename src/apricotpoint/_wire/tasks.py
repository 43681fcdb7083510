"""Messages with tasks and their outcomes between a coordinator and a lease holder."""

from __future__ import annotations

import enum
from typing import Any

import attrs

from apricotpoint._wire.load import LoadReport

# The size of the largest jobs of the expected workloads; callers split larger ones.
MAX_TASKS = 110


class OutcomeStatus(enum.Enum):
    """How one start of a task ended; `UNKNOWN` if the lease holder cannot tell."""

    DONE = "done"
    FAILED = "failed"
    NOT_STARTED = "not_started"
    UNKNOWN = "unknown"


@attrs.frozen
class TaskSpec:
    """One task as the caller declared it.

    `declared_s` is the declared run time in seconds on a backend server of
    speed 1, None if the caller gave none.
    """

    kind: str
    payload: Any = None
    idempotent: bool = False
    declared_s: float | None = None
    cores: int = 1
    memory_mb: int = 0
    accelerators: int = 0


@attrs.frozen
class BatchTask:
    """A task inside a batch; `start_id` identifies this start in all processes.

    `estimate_s` is the predicted run time in seconds on a backend server of
    speed 1. `rank` orders the tasks of a batch, lowest first. `slack_s` is how
    much later than the first possible time the task may end without delaying
    its job, so that it may take a slower backend server.
    """

    start_id: str
    spec: TaskSpec
    estimate_s: float
    rank: int = 0
    slack_s: float = 0.0


@attrs.frozen
class RunBatch:
    """Asks a lease holder to run tasks of one job.

    `deadline_left_s` is the time until the deadline when the message is queued;
    the receiver subtracts the `age_s` of its envelope. `single` is True if the job
    has one task only; idempotent tasks are retried only in such jobs. `load` is
    the load report of the sender, None if one was sent shortly before.
    """

    batch_id: int
    service: str
    team: str
    deadline_left_s: float
    tasks: list[BatchTask]
    single: bool = False
    load: LoadReport | None = None


@attrs.frozen
class TaskOutcome:
    """The outcome of one start.

    `run_s` is the run time in seconds that the backend server reports, or else the
    time measured by the lease holder. `speed` is the learned speed of the backend
    server that ran the task.
    """

    start_id: str
    status: OutcomeStatus
    value: Any = None
    error: str = ""
    backend_id: str = ""
    run_s: float = 0.0
    speed: float = 1.0


@attrs.frozen
class BatchResult:
    """Outcomes of tasks of a batch; a batch may be answered by several messages.

    `load` is the load report of the sender, None if one was sent shortly before.
    """

    batch_id: int
    outcomes: list[TaskOutcome]
    load: LoadReport | None = None


@attrs.frozen
class CancelBatch:
    """Asks a lease holder to cancel batches. Answered by a `BatchResult` for each of them."""

    batch_ids: list[int]
