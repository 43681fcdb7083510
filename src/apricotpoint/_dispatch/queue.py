"""Weighted fair queue of the tasks of one service."""

from __future__ import annotations

import enum
import heapq
from collections import deque
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

import attrs

from apricotpoint._link.transport import Sender
from apricotpoint._wire.tasks import BatchResult, BatchTask, TaskOutcome

if TYPE_CHECKING:
    from apricotpoint._dispatch.backend import BackendView

_MAX_TEAMS = 1024


class TaskState(enum.Enum):
    """State of a task at its lease holder; a `BOUND` task has a slot but was not sent yet."""

    QUEUED = "queued"
    BOUND = "bound"
    SENT = "sent"
    DONE = "done"


@attrs.define(eq=False)
class Batch:
    """A `RunBatch` received by this lease holder.

    `queued_tasks` are those still queued, in order of rank. `remaining` counts the tasks
    without an outcome; `outcomes` are those not yet reported to the coordinator.
    `single` marks a job of one task, which may be retried. `dropped` is set when
    the coordinator was replaced, so that nothing is reported.
    """

    coordinator: Sender
    batch_id: int
    service: str
    team: str
    deadline_at: float
    single: bool
    reply: Callable[[BatchResult], None]
    tasks: list[HeldTask] = attrs.Factory(list)
    queued_tasks: deque[HeldTask] = attrs.Factory(deque)
    remaining: int = 0
    outcomes: list[TaskOutcome] = attrs.Factory(list)
    report_now: bool = False
    dropped: bool = False


@attrs.define(eq=False)
class HeldTask:
    """A task of a batch at its lease holder; `view` is the backend server it was bound to last.

    `is_retry` marks the second start of an idempotent task, which can no longer
    be reported as not started. `avoided_backend_id` is the backend server of the
    first start. `ends_at` is the predicted end.
    """

    batch: Batch
    spec: BatchTask
    state: TaskState = TaskState.QUEUED
    cancelled: bool = False
    is_retry: bool = False
    view: BackendView | None = None
    avoided_backend_id: str = ""
    sent_at: float = 0.0
    ends_at: float = 0.0


@attrs.define(eq=False)
class _Team:
    name: str
    number: int
    virtual_time_ns: int
    entry_number: int = 0
    queued: int = 0
    batches: deque[Batch] = attrs.Factory(deque)


class FairQueue:
    """Start-time fair queue over teams; batches of a team by arrival, their tasks by rank.

    `weight_of_team` returns the weight of a team by its name. `count` is the
    number of queued tasks and `work_s` their predicted run time in seconds at
    speed 1. Adding or taking a task costs O(log teams), whatever the number of
    queued tasks.
    """

    def __init__(self, weight_of_team: Callable[[str], float]) -> None:
        self._weight_of_team = weight_of_team
        self._team_by_name: dict[str, _Team] = {}
        # Virtual time, team number, entry number and team. An entry is valid if its number
        # is the one stored in the team; the others were replaced.
        self._heap: list[tuple[int, int, int, _Team]] = []
        self._last_entry_number = 0
        self._last_team_number = 0
        # Virtual time is an integer, so that putting a task back restores it exactly.
        self._virtual_time_ns = 0
        self.count = 0
        self.work_s = 0.0

    def add(self, batch: Batch, tasks: Iterable[HeldTask]) -> None:
        """Queue the tasks of a new batch."""
        batch.queued_tasks.extend(sorted(tasks, key=lambda task: task.spec.rank))
        team = self._get_team(batch.team)
        team.batches.append(batch)
        inactive = not team.queued
        if inactive:
            # A team gets no credit for the time in which it had nothing queued.
            team.virtual_time_ns = max(team.virtual_time_ns, self._virtual_time_ns)
        for task in batch.queued_tasks:
            self._adjust_counts(team, task, 1)
        if inactive:
            self._push(team)

    def take(self) -> HeldTask | None:
        """Remove and return the next task, or None if the queue is empty."""
        while self._heap:
            virtual_time_ns, _, entry_number, team = heapq.heappop(self._heap)
            if entry_number != team.entry_number:
                continue
            while team.batches and not team.batches[0].queued_tasks:
                team.batches.popleft()
            if not team.batches:
                continue
            task = team.batches[0].queued_tasks.popleft()
            self._virtual_time_ns = max(self._virtual_time_ns, virtual_time_ns)
            team.virtual_time_ns = virtual_time_ns + self._cost(task)
            self._adjust_counts(team, task, -1)
            self._push(team)
            return task
        return None

    def put_back(self, tasks: list[HeldTask]) -> None:
        """Return taken tasks to the front of the queue; `tasks` are in the order of taking."""
        for task in reversed(tasks):
            team = self._get_team(task.batch.team)
            if not task.batch.queued_tasks and (
                not team.batches or team.batches[0] is not task.batch
            ):
                team.batches.appendleft(task.batch)
            task.batch.queued_tasks.appendleft(task)
            team.virtual_time_ns -= self._cost(task)
            self._adjust_counts(team, task, 1)
            self._push(team)

    def remove(self, batch: Batch) -> list[HeldTask]:
        """Remove and return all queued tasks of a batch."""
        removed = list(batch.queued_tasks)
        batch.queued_tasks.clear()
        if removed:
            team = self._get_team(batch.team)
            for task in removed:
                self._adjust_counts(team, task, -1)
        return removed

    def remove_where(self, unwanted: Callable[[HeldTask], bool]) -> list[HeldTask]:
        """Remove and return the tasks for which `unwanted` is true.

        Scans the whole queue, so it must not be called for each event.
        """
        removed: list[HeldTask] = []
        for team in self._team_by_name.values():
            for batch in team.batches:
                found = [task for task in batch.queued_tasks if unwanted(task)]
                if not found:
                    continue
                batch.queued_tasks = deque(
                    task for task in batch.queued_tasks if not unwanted(task)
                )
                for task in found:
                    self._adjust_counts(team, task, -1)
                removed.extend(found)
        return removed

    def queued_by_team(self) -> dict[str, int]:
        """Return the number of queued tasks of each team that has any."""
        return {team.name: team.queued for team in self._team_by_name.values() if team.queued}

    def _cost(self, task: HeldTask) -> int:
        return int(task.spec.estimate_s * 1e9 / max(self._weight_of_team(task.batch.team), 1e-6))

    def _get_team(self, name: str) -> _Team:
        team = self._team_by_name.get(name)
        if team is None:
            if len(self._team_by_name) >= _MAX_TEAMS:
                self._evict_idle_teams()
            self._last_team_number += 1
            team = self._team_by_name[name] = _Team(
                name, self._last_team_number, self._virtual_time_ns
            )
        return team

    def _evict_idle_teams(self) -> None:
        """Remove the teams with nothing queued whose virtual time is not ahead of the queue's."""
        self._team_by_name = {
            team.name: team
            for team in self._team_by_name.values()
            if team.queued or team.virtual_time_ns > self._virtual_time_ns
        }

    def _push(self, team: _Team) -> None:
        if len(self._heap) > 64 + 4 * len(self._team_by_name):
            # Replaced entries stay in the heap until they are popped or the heap is rebuilt here.
            self._heap = [entry for entry in self._heap if entry[2] == entry[3].entry_number]
            heapq.heapify(self._heap)
        self._last_entry_number += 1
        team.entry_number = self._last_entry_number
        heapq.heappush(
            self._heap, (team.virtual_time_ns, team.number, self._last_entry_number, team)
        )

    def _adjust_counts(self, team: _Team, task: HeldTask, sign: int) -> None:
        team.queued += sign
        self.count += sign
        self.work_s = max(0.0, self.work_s + sign * task.spec.estimate_s) if self.count else 0.0
