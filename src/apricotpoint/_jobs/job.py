"""The state of one job: its tasks, their outcomes and its result code."""

from __future__ import annotations

import enum
from typing import Any

import anyio
import attrs

from apricotpoint._core.codes import ResultCode
from apricotpoint._wire.jobs import Answer, FailedTask, JobRequest
from apricotpoint._wire.tasks import OutcomeStatus, TaskOutcome, TaskSpec


class TaskState(enum.Enum):
    """The state of a task as known to its coordinator.

    `WAITING` is not sent to a lease holder yet, `PLACED` is sent and without an
    outcome; the other states are outcomes. `UNKNOWN` means that the task may
    have run.
    """

    WAITING = "waiting"
    PLACED = "placed"
    DONE = "done"
    FAILED = "failed"
    NOT_STARTED = "not_started"
    UNKNOWN = "unknown"


_STATE_BY_STATUS = {
    OutcomeStatus.DONE: TaskState.DONE,
    OutcomeStatus.FAILED: TaskState.FAILED,
    OutcomeStatus.NOT_STARTED: TaskState.NOT_STARTED,
    OutcomeStatus.UNKNOWN: TaskState.UNKNOWN,
}


@attrs.define(eq=False)
class Batch:
    """Tasks of one job sent together to one incarnation of a lease holder.

    `starts` holds the index and the attempt number of each task, `open_tasks`
    is the number of tasks without an outcome.
    """

    batch_id: int
    job: Job
    holder_id: str
    incarnation: int
    starts: list[tuple[int, int]]
    open_tasks: int = attrs.field(init=False)
    cancel_sent: bool = False

    def __attrs_post_init__(self) -> None:
        self.open_tasks = len(self.starts)


@attrs.define(eq=False)
class Job:
    """The tasks of one job and their states.

    `number` is unique in the incarnation of the coordinator. `created_at` and
    `deadline_at` are monotonic time in seconds. The lists hold one item for each
    task: `values` the result or the error of a task that ran, and `specs` the
    declared tasks until the deadline, when they are released. `quota_held` is the
    number of tasks that count towards the quota of the team. `forward_to`
    is the entry id and incarnation of another coordinator that the key was
    found to belong to; every waiting submission is forwarded to it. `closed` is
    set when `answer` is final.
    """

    number: int
    team: str
    key: str
    service: str
    specs: list[TaskSpec]
    estimates_s: list[float]
    created_at: float
    deadline_at: float
    start_prefix: str
    states: list[TaskState] = attrs.field(init=False)
    attempts: list[int] = attrs.field(init=False)
    values: list[Any] = attrs.field(init=False)
    count_by_state: dict[TaskState, int] = attrs.field(init=False)
    batch_by_id: dict[int, Batch] = attrs.Factory(dict)
    claim_pending: bool = False
    cancelled: bool = False
    deadline_passed: bool = False
    placement_retries: int = 0
    retry_scheduled: bool = False
    quota_held: int = 0
    forward_to: tuple[str, int] | None = None
    answer: Answer | None = None
    closed: anyio.Event = attrs.Factory(anyio.Event)

    def __attrs_post_init__(self) -> None:
        count = len(self.specs)
        self.states = [TaskState.WAITING] * count
        self.attempts = [0] * count
        self.values = [None] * count
        self.count_by_state = dict.fromkeys(TaskState, 0)
        self.count_by_state[TaskState.WAITING] = count

    @classmethod
    def from_request(
        cls,
        request: JobRequest,
        *,
        estimates_s: list[float],
        number: int,
        incarnation: int,
        now: float,
        deadline_at: float,
    ) -> Job:
        """Return a job for a request, with all its tasks waiting."""
        return cls(
            number=number,
            team=request.team,
            key=request.key,
            service=request.service,
            specs=request.tasks,
            estimates_s=estimates_s,
            created_at=now,
            deadline_at=deadline_at,
            start_prefix=f"{incarnation:x}.{number}",
        )

    def set_state(self, index: int, state: TaskState) -> None:
        """Set the state of a task and update `count_by_state`."""
        self.count_by_state[self.states[index]] -= 1
        self.count_by_state[state] += 1
        self.states[index] = state

    def open_tasks(self) -> int:
        """Return the number of tasks without an outcome."""
        return self.count_by_state[TaskState.WAITING] + self.count_by_state[TaskState.PLACED]

    def waiting_indexes(self) -> list[int]:
        """Return the indexes of the tasks that wait for a placement."""
        if not self.count_by_state[TaskState.WAITING]:
            return []
        return [i for i, state in enumerate(self.states) if state is TaskState.WAITING]

    def mark_placed(self, index: int) -> str:
        """Mark a task as sent to a lease holder and return the id of this start."""
        self.attempts[index] += 1
        self.set_state(index, TaskState.PLACED)
        return f"{self.start_prefix}.{index}.{self.attempts[index]}"

    def index_of_start(self, start_id: str) -> int | None:
        """Return the index of the task whose latest start has this id; None for other ids."""
        prefix, _, attempt = start_id.rpartition(".")
        prefix, _, number = prefix.rpartition(".")
        if prefix != self.start_prefix or not (number.isdecimal() and attempt.isdecimal()):
            return None
        index = int(number)
        if index >= len(self.states) or self.attempts[index] != int(attempt):
            return None
        return index

    def apply_outcome(self, index: int, outcome: TaskOutcome) -> bool:
        """Apply an outcome of the latest start of a task; return False if it changes nothing.

        DONE and FAILED replace an earlier UNKNOWN. Every other outcome of a task
        that already has one is a duplicate and is ignored.
        """
        new = _STATE_BY_STATUS[outcome.status]
        old = self.states[index]
        ran = new in (TaskState.DONE, TaskState.FAILED)
        if old is not TaskState.PLACED and not (old is TaskState.UNKNOWN and ran):
            return False
        self.set_state(index, new)
        if ran:
            self.values[index] = outcome.value if new is TaskState.DONE else outcome.error
        return True

    async def wait_closed(self, seconds: float) -> None:
        """Wait until the job is closed, at most for this time in seconds."""
        if not self.closed.is_set():
            with anyio.move_on_after(seconds):
                await self.closed.wait()

    def cannot_complete(self) -> bool:
        """Return whether a task is UNKNOWN or NOT_STARTED, whatever becomes of the others."""
        return bool(
            self.count_by_state[TaskState.UNKNOWN] or self.count_by_state[TaskState.NOT_STARTED]
        )

    def mark_waiting_not_started(self) -> None:
        """Set the tasks that wait for a placement to NOT_STARTED."""
        for index in self.waiting_indexes():
            self.set_state(index, TaskState.NOT_STARTED)

    def final_code(self) -> ResultCode:
        """Return the result code; every task must have an outcome."""
        count = self.count_by_state
        total = len(self.states)
        ran = count[TaskState.DONE] + count[TaskState.FAILED]
        not_started = count[TaskState.NOT_STARTED]
        if ran == total:
            complete = count[TaskState.DONE] == total
            return ResultCode.COMPLETE if complete else ResultCode.TASKS_FAILED
        if not_started == total:
            return self._not_started_code()
        if self.cancelled:
            return ResultCode.CANCELLED_AFTER_START
        return ResultCode.PARTLY_RAN if ran and not_started else ResultCode.BACKEND_LOST

    def _not_started_code(self) -> ResultCode:
        if self.cancelled:
            return ResultCode.CANCELLED_BEFORE_START
        # A job of which no task was ever placed has only waited for a backend server.
        if not self.deadline_passed or not any(self.attempts):
            return ResultCode.NO_BACKEND
        return ResultCode.DEADLINE_BEFORE_START

    def failed_tasks(self) -> list[FailedTask]:
        """Return the tasks that backend servers reported as failed, with their errors."""
        return [
            FailedTask(index=i, error=str(self.values[i]))
            for i, state in enumerate(self.states)
            if state is TaskState.FAILED
        ]
