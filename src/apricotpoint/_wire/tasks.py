"""Messages that pass tasks and their outcomes between coordinator and lease holder."""

from __future__ import annotations

import enum
from typing import Any

import attrs

from apricotpoint._wire.load import LoadReport

# The largest jobs of the described workloads; larger ones are split by the caller.
MAX_TASKS = 110


class OutcomeStatus(enum.Enum):
    """How one task ended, as far as the lease holder knows."""

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
    """A task inside a batch; `start_id` identifies the start everywhere.

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

    `deadline_left_s` is the time left at sending; `age_s` of the link is
    subtracted by the receiver. `single` is True if the job has one task only;
    the retry of idempotent tasks is limited to such jobs. `load` is the load
    report of the sender, unless it was sent a moment ago.
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

    `run_s` is the run time in seconds seen by the lease holder, `speed` the
    learned speed of the backend server that ran it.
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
    """Outcomes of tasks of a batch; a batch may be answered in several parts.

    `load` is the load report of the sender, unless it was sent a moment ago.
    """

    batch_id: int
    outcomes: list[TaskOutcome]
    load: LoadReport | None = None


@attrs.frozen
class CancelBatch:
    """Asks a lease holder to drop batches; answered by the batches' results."""

    batch_ids: list[int]
