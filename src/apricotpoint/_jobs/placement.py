"""Placement policies: which lease holder gets each task of a job."""

from __future__ import annotations

import random as random_module
from collections.abc import Callable, Sequence

import attrs

from apricotpoint._wire.load import BackendLoad
from apricotpoint._wire.tasks import TaskSpec

# Round trip to another entry process: 1 ms on the network and 0.4 ms for each message.
REMOTE_ROUND_TRIP_S = 0.002
# A batch to a further holder costs two messages, so it has to finish a job's
# task earlier by this much, or by this share of the run time if that is more.
BATCH_MARGIN_S = 0.003
BATCH_MARGIN_SHARE = 0.05


@attrs.define(eq=False)
class BackendSlots:
    """The slots of one backend server."""

    backend_id: str
    speed: float
    slots: int
    free: int
    cores: int
    memory_mb: int
    accelerators: int

    @classmethod
    def from_load(cls, load: BackendLoad) -> BackendSlots:
        """Return the slots that a load report describes."""
        return cls(
            backend_id=load.backend_id,
            speed=max(load.speed, 0.01),
            slots=load.slots,
            free=load.free_slots,
            cores=load.cores,
            memory_mb=load.memory_mb,
            accelerators=load.accelerators,
        )


@attrs.define(eq=False)
class HolderView:
    """One lease holder's slots for one service, fastest first, and its backlog.

    `backlog_s` is the work in seconds at speed 1 that waits for a slot;
    `capacity` the work that all slots do in one second. `mean_run_s` is the
    mean run time of recent tasks.
    """

    entry_id: str
    incarnation: int
    local: bool
    backends: list[BackendSlots]
    backlog_s: float = 0.0
    mean_run_s: float = 0.1
    capacity: float = attrs.field(init=False)
    slots: int = attrs.field(init=False)
    _first_free_index: int = attrs.field(init=False, default=0)
    _index_by_backend: dict[str, int] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.backends.sort(key=lambda backend: -backend.speed)
        self.capacity = sum(backend.speed * backend.slots for backend in self.backends)
        self.slots = sum(backend.slots for backend in self.backends)
        self._index_by_backend = {backend.backend_id: i for i, backend in enumerate(self.backends)}

    def wait_s(self) -> float:
        """Return the predicted wait in seconds for a slot."""
        if self._first_free() < len(self.backends):
            return 0.0
        return (self.backlog_s + self.mean_run_s) / max(self.capacity, 0.01)

    def outstanding_per_slot(self) -> float:
        """Return the tasks running and waiting for each slot."""
        busy = sum(backend.slots - backend.free for backend in self.backends)
        return (busy + self.backlog_s / max(self.mean_run_s, 0.001)) / max(self.slots, 1)

    def can_run(self, spec: TaskSpec) -> bool:
        """Return whether a backend server here has the resources for a task."""
        return any(has_resources_for(backend, spec) for backend in self.backends)

    def add_task(self, spec: TaskSpec, estimate_s: float) -> None:
        """Count a task as sent to this holder."""
        backend = self._free_backend(spec)
        if backend is None:
            self.backlog_s += estimate_s
            return
        backend.free -= 1

    def remove_task(self, backend_id: str, estimate_s: float) -> None:
        """Count a task as ended: its slot is free unless waiting work takes it."""
        if self.backlog_s > 0:
            self.backlog_s = max(self.backlog_s - estimate_s, 0.0)
            return
        index = self._index_by_backend.get(backend_id)
        if index is not None:
            backend = self.backends[index]
            backend.free = min(backend.free + 1, backend.slots)
            self._first_free_index = min(self._first_free_index, index)

    def predict_finish_s(self, spec: TaskSpec, estimate_s: float) -> float:
        """Return the predicted seconds until a task sent now would end."""
        round_trip_s = 0.0 if self.local else REMOTE_ROUND_TRIP_S
        backend = self._free_backend(spec)
        if backend is not None:
            return round_trip_s + estimate_s / backend.speed
        mean_speed = self.capacity / max(self.slots, 1)
        return round_trip_s + self.wait_s() + estimate_s / max(mean_speed, 0.01)

    def _free_backend(self, spec: TaskSpec) -> BackendSlots | None:
        for index in range(self._first_free(), len(self.backends)):
            backend = self.backends[index]
            if backend.free > 0 and has_resources_for(backend, spec):
                return backend
        return None

    def _first_free(self) -> int:
        """Return the index of the first backend with a free slot."""
        # The index is kept, because a walk over all backends for each task would
        # make the placement of a large job quadratic.
        while (
            self._first_free_index < len(self.backends)
            and self.backends[self._first_free_index].free <= 0
        ):
            self._first_free_index += 1
        return self._first_free_index


@attrs.define(eq=False)
class Placement:
    """A task's holder and its predicted end in seconds from now."""

    index: int
    spec: TaskSpec
    estimate_s: float
    holder: HolderView
    finish_s: float = 0.0


@attrs.frozen
class PendingTask:
    """A task to place; `estimate_s` is its predicted run time at speed 1."""

    index: int
    spec: TaskSpec
    estimate_s: float


Policy = Callable[[Sequence[PendingTask], Sequence[HolderView]], list[Placement]]
ChooseHolder = Callable[[Sequence[HolderView]], HolderView]


def has_resources_for(backend: BackendSlots | BackendLoad, spec: TaskSpec) -> bool:
    """Return whether a backend server has the resources that a task declares."""
    return (
        backend.cores >= spec.cores
        and backend.memory_mb >= spec.memory_mb
        and backend.accelerators >= spec.accelerators
    )


def place_by_predicted_finish(
    tasks: Sequence[PendingTask], holders: Sequence[HolderView]
) -> list[Placement]:
    """Place the longest task first, each where it is predicted to finish first.

    A task that no holder can take is left out of the result.
    """
    placed: list[Placement] = []
    used_entry_ids: set[str] = set()
    for task in sorted(tasks, key=lambda task: -task.estimate_s):
        margin_s = max(BATCH_MARGIN_S, BATCH_MARGIN_SHARE * task.estimate_s)
        best: HolderView | None = None
        best_score = best_finish = 0.0
        for holder in holders:
            if not holder.can_run(task.spec):
                continue
            finish_s = holder.predict_finish_s(task.spec, task.estimate_s)
            score = finish_s
            if not holder.local and holder.entry_id not in used_entry_ids:
                score += margin_s
            if best is None or score < best_score:
                best, best_score, best_finish = holder, score, finish_s
        if best is None:
            continue
        best.add_task(task.spec, task.estimate_s)
        used_entry_ids.add(best.entry_id)
        placed.append(Placement(task.index, task.spec, task.estimate_s, best, best_finish))
    return placed


def make_policies(random: random_module.Random) -> dict[str, Policy]:
    """Return the placement policies by their name in the configuration."""
    turn = 0

    def random_by_slots(holders: Sequence[HolderView]) -> HolderView:
        return random.choices(holders, weights=[max(item.slots, 1) for item in holders])[0]

    def next_in_turn(holders: Sequence[HolderView]) -> HolderView:
        nonlocal turn
        turn += 1
        return holders[turn % len(holders)]

    def least_outstanding(holders: Sequence[HolderView]) -> HolderView:
        return min(holders, key=HolderView.outstanding_per_slot)

    def better_of_two(holders: Sequence[HolderView]) -> HolderView:
        return min(
            random_by_slots(holders), random_by_slots(holders), key=HolderView.outstanding_per_slot
        )

    return {
        "predicted": place_by_predicted_finish,
        "random": _policy_of(random_by_slots),
        "round_robin": _policy_of(next_in_turn),
        "least_outstanding": _policy_of(least_outstanding),
        "two_choices": _policy_of(better_of_two),
    }


def _policy_of(choose: ChooseHolder) -> Policy:
    def place(tasks: Sequence[PendingTask], holders: Sequence[HolderView]) -> list[Placement]:
        placed: list[Placement] = []
        for task in tasks:
            candidates = [holder for holder in holders if holder.can_run(task.spec)]
            if not candidates:
                continue
            holder = choose(candidates)
            finish_s = holder.predict_finish_s(task.spec, task.estimate_s)
            holder.add_task(task.spec, task.estimate_s)
            placed.append(Placement(task.index, task.spec, task.estimate_s, holder, finish_s))
        return placed

    return place
