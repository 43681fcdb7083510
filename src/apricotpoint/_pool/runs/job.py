"""Scheduling state of a job, its tasks and their runs."""

from __future__ import annotations

import enum
import math
from typing import TYPE_CHECKING

import anyio
import attrs

from apricotpoint._pool.jobdescription import describe_job
from apricotpoint._pool.runs.backendclient import RunKey
from apricotpoint._wire.pool import PoolAnswer, PoolJob

if TYPE_CHECKING:
    from apricotpoint._pool.runs.heldbackend import HeldBackend


# Run times of the tasks of one job differ by about 15%. The longest one is expected to exceed
# the mean by this share for each doubling of the number of tasks.
LONGEST_TASK_SHARE = 0.07
# Lowest progress from which the run time is predicted.
MIN_PREDICTION_PROGRESS_PERCENT = 15


class RunState(enum.Enum):
    """What is known of an active run.

    `UNCONFIRMED`: the start got no answer, so the run may be active now, later or never.
    """

    STARTING = "starting"
    UNCONFIRMED = "unsure"
    RUNNING = "running"


@attrs.define(eq=False)
class Run:
    """One start of a task on a backend server.

    Times are monotonic seconds; `sent_at` is the time at which the start was sent. `expected_s` is
    the run time expected at the start. `progress` is in percent, as reported last, and changed at
    `progress_changed_at`. `stopping` is set once the run is to be stopped, `has_prediction` once
    its run time was predicted from its progress. At the start, runs on the backend server took
    `slowdown` times as long as usual, and `cold_share` of its cold period was ahead.
    `remote_factor` is the factor by which the run takes longer than in the location that its job
    prefers.
    """

    task: Task
    number: int
    backend: HeldBackend
    token: int
    sent_at: float
    expected_s: float
    state: RunState = RunState.STARTING
    confirmed_at: float = 0.0
    progress: int = 0
    progress_changed_at: float = 0.0
    stopping: bool = False
    is_straggler: bool = False
    has_prediction: bool = False
    slowdown: float = 1.0
    cold_share: float = 0.0
    remote_factor: float = 1.0

    @property
    def speed(self) -> float:
        """Speed of this run by what is known now of its backend server."""
        return self.backend.speed.value / self.slowdown

    def predicted_s(self) -> float | None:
        """Return the run time in seconds predicted from the progress, None if that is too low."""
        if self.progress < MIN_PREDICTION_PROGRESS_PERCENT:
            return None
        return (self.progress_changed_at - self.sent_at) * 100 / self.progress

    @property
    def key(self) -> RunKey:
        """Key under which the backend server lists the run."""
        return RunKey(self.task.name, self.number)


@attrs.frozen
class Origin:
    """The incarnation of an entry process that waits for the answer to a job."""

    entry_id: str
    incarnation: int


@attrs.define(eq=False)
class Task:
    """One task of a job.

    `run` is its active run, `run_count` the number of its starts, `failure_count` the number of
    runs that ended as failed; terminated and stopped runs do not count as failures.
    `avoided_backends` are the ids of backend servers on which a run failed, stalled, was terminated
    or was too slow; they are used only if no other can start the task. `local_wait_at` is the
    monotonic time since which it has waited for the location that its job prefers, while it could
    have started elsewhere, None if it does not; `local_waited` tells that such a wait has ended.
    """

    job: Job
    name: str
    run: Run | None = None
    run_count: int = 0
    failure_count: int = 0
    done: bool = False
    avoided_backends: set[str] = attrs.Factory(set)
    local_wait_at: float | None = None
    local_waited: bool = False


@attrs.define(eq=False)
class Job:
    """A submitted job at the process that schedules it.

    `estimate_s` is the run time of a task at speed 1 as estimated on arrival, `refined_s` the one
    learned from its runs, None before any run gave a prediction. `origin` is the entry process that
    waits for the answer, None for this one. `started` is set when the first start
    of a task is sent: from then on the job can no longer be refused as not run. `cancelled` is set
    when the job is answered, after which its runs are stopped. `completed_runs` has the runs that
    ended as done, with the seconds that each took. `answered` is set together with `answer`.
    The caller may send the job again from a moment after the monotonic time `given_up_at`, which is
    then set, too. `group_location` is where its first task started, if the tasks are to stay
    together. `over_share` tells that it arrived when its route had used up its fair share.
    """

    request: PoolJob
    origin: Origin | None
    arrived_at: float
    estimate_s: float
    tasks: list[Task] = attrs.field(init=False)
    started: bool = False
    cancelled: bool = False
    refined_s: float | None = None
    completed_runs: list[tuple[Run, float]] = attrs.Factory(list)
    answer: PoolAnswer | None = None
    answered: anyio.Event = attrs.Factory(anyio.Event)
    given_up_at: float | None = None
    group_location: str = ""
    over_share: bool = False

    def __attrs_post_init__(self) -> None:
        names = (f"{self.request.job_id}.0.0.{index}" for index in range(self.request.count))
        self.tasks = [Task(self, name) for name in names]

    @property
    def sent_at(self) -> float:
        """Monotonic time in seconds at which the caller sent the job."""
        return self.arrived_at - self.request.elapsed_s

    @property
    def deadline_at(self) -> float:
        """Monotonic time in seconds at which the caller stops waiting."""
        return self.sent_at + self.request.deadline_s

    @property
    def mean_task_s(self) -> float:
        """Expected mean run time of its tasks in seconds at speed 1."""
        return self.estimate_s if self.refined_s is None else self.refined_s

    @property
    def longest_task_s(self) -> float:
        """Expected run time of its longest task in seconds at speed 1."""
        return self.mean_task_s * (1 + LONGEST_TASK_SHARE * math.log2(self.request.count))

    @property
    def objective_s(self) -> float:
        """Latency in seconds up to which the answer is in time."""
        return self.request.base_latency_s + self.request.stretch * self.longest_task_s

    @property
    def objective_at(self) -> float:
        """Monotonic time in seconds after which the answer is late, at most the deadline."""
        return min(self.sent_at + self.objective_s, self.deadline_at)

    @property
    def preferred_location(self) -> str:
        """Location in which its tasks run faster; empty if there is none, or none yet."""
        locality = self.request.locality
        return locality.location or self.group_location if locality is not None else ""

    def remote_factor(self, location: str) -> float:
        """Return the factor by which a task takes longer in a location.

        It is 1 everywhere as long as a job that is only to stay together has not started.
        """
        locality, preferred = self.request.locality, self.preferred_location
        if locality is None or not preferred or location == preferred:
            return 1.0
        return locality.remote_factor

    def waiting_tasks(self) -> list[Task]:
        """Return the tasks that have no active run and are not done."""
        return [task for task in self.tasks if task.run is None and not task.done]

    def active_runs(self) -> list[Run]:
        """Return the runs that may be active, unconfirmed ones included."""
        return [task.run for task in self.tasks if task.run is not None]

    def is_done(self) -> bool:
        """Return whether all tasks have ended as done."""
        return all(task.done for task in self.tasks)

    def describe(self, now: float) -> str:
        """Return the state of each task as text for the log."""
        parts = [
            f"estimate {self.estimate_s:.3f} s, age {now - self.sent_at:.3f} s",
            describe_job(self.request),
        ]
        for task in self.tasks:
            run = task.run
            if task.done:
                parts.append("done")
            elif run is None:
                parts.append(f"waiting after {task.run_count} runs")
            else:
                parts.append(
                    f"{run.state.value} on {run.backend.backend_id} for {now - run.sent_at:.3f} s, "
                    f"{run.progress}%, expected {run.expected_s:.3f} s"
                )
        return "; ".join(parts)

    def close(self, answer: PoolAnswer, given_up_at: float) -> None:
        """Set the final answer and wake whoever waits for it; later answers are ignored.

        `given_up_at` is the monotonic time of the answer, or earlier that of the last sign of life
        of the origin, whose caller may have been left alone since then.
        """
        if self.answer is None:
            self.answer = answer
            self.given_up_at = given_up_at
            self.answered.set()
