"""Placement policies, which select the lease holder for each task of a job."""

from __future__ import annotations

import random as random_module
from collections.abc import Callable, Sequence

import attrs

from apricotpoint._wire.load import BackendLoad
from apricotpoint._wire.tasks import TaskSpec

# Round trip to another entry process, rounded up: 1 ms on the network and 0.4 ms
# for each of the two messages.
REMOTE_ROUND_TRIP_S = 0.002
# A batch to a further lease holder costs two messages. It is used only if the
# task is predicted to finish earlier there by this margin, or by this share of
# its run time if that is larger.
BATCH_MARGIN_S = 0.003
BATCH_MARGIN_SHARE = 0.05


@attrs.define(eq=False)
class BackendSlots:
    """The slots and resources of one backend server; `free` slots run no task.

    A task estimated at 1 s runs for 1 / `speed` seconds.
    """

    backend_id: str
    speed: float
    slots: int
    free: int
    cores: int
    memory_mb: int
    accelerators: int

    @classmethod
    def from_load(cls, load: BackendLoad) -> BackendSlots:
        """Return the slots and resources of a load report; the speed is at least 0.01."""
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
    """The backend servers of one lease holder for one service, fastest first.

    `backlog_s` is the predicted run time in seconds at speed 1 of the tasks
    that wait for a slot; `capacity` is the sum of the speeds of all slots, which is the
    work in seconds at speed 1 that they complete per second. `mean_run_s` is the mean
    run time of recent tasks.
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
        """Return the predicted wait in seconds for a free slot; 0 if there is one."""
        if self._find_first_free() < len(self.backends):
            return 0.0
        return (self.backlog_s + self.mean_run_s) / max(self.capacity, 0.01)

    def outstanding_per_slot(self) -> float:
        """Return the number of running and queued tasks per slot."""
        busy = sum(backend.slots - backend.free for backend in self.backends)
        return (busy + self.backlog_s / max(self.mean_run_s, 0.001)) / max(self.slots, 1)

    def can_run(self, spec: TaskSpec) -> bool:
        """Return whether any of the backend servers has in total the resources for a task."""
        return any(backend_can_run(backend, spec) for backend in self.backends)

    def add_task(self, spec: TaskSpec, estimate_s: float) -> None:
        """Add a task that is sent to this holder, to a free slot or to the backlog."""
        backend = self._find_free_backend(spec)
        if backend is None:
            self.backlog_s += estimate_s
            return
        backend.free -= 1

    def remove_task(self, backend_id: str, estimate_s: float) -> None:
        """Remove a task that has ended; its slot is freed only if the backlog is empty."""
        if self.backlog_s > 0:
            self.backlog_s = max(self.backlog_s - estimate_s, 0.0)
            return
        index = self._index_by_backend.get(backend_id)
        if index is not None:
            backend = self.backends[index]
            backend.free = min(backend.free + 1, backend.slots)
            self._first_free_index = min(self._first_free_index, index)

    def predict_finish_s(self, spec: TaskSpec, estimate_s: float) -> float:
        """Return the predicted time in seconds until the outcome of a task sent now."""
        latency_s = 0.0 if self.local else REMOTE_ROUND_TRIP_S
        backend = self._find_free_backend(spec)
        if backend is not None:
            return latency_s + estimate_s / backend.speed
        mean_speed = self.capacity / max(self.slots, 1)
        return latency_s + self.wait_s() + estimate_s / max(mean_speed, 0.01)

    def _find_free_backend(self, spec: TaskSpec) -> BackendSlots | None:
        for index in range(self._find_first_free(), len(self.backends)):
            backend = self.backends[index]
            if backend.free > 0 and backend_can_run(backend, spec):
                return backend
        return None

    def _find_first_free(self) -> int:
        """Return the index of the first backend server with a free slot."""
        # The index is kept between calls: a search through all backend servers for
        # each task would make the time to place a large job quadratic.
        while (
            self._first_free_index < len(self.backends)
            and self.backends[self._first_free_index].free <= 0
        ):
            self._first_free_index += 1
        return self._first_free_index


@attrs.define(eq=False)
class Placement:
    """The lease holder selected for a task; `finish_s` is its predicted end in seconds from now."""

    index: int
    spec: TaskSpec
    estimate_s: float
    holder: HolderView
    finish_s: float = 0.0


@attrs.frozen
class PendingTask:
    """A task to place; `estimate_s` is its predicted run time in seconds at speed 1."""

    index: int
    spec: TaskSpec
    estimate_s: float


Policy = Callable[[Sequence[PendingTask], Sequence[HolderView]], list[Placement]]
ChooseHolder = Callable[[Sequence[HolderView]], HolderView]


def backend_can_run(backend: BackendSlots | BackendLoad, spec: TaskSpec) -> bool:
    """Return whether a backend server has in total the resources that a task declares."""
    return (
        backend.cores >= spec.cores
        and backend.memory_mb >= spec.memory_mb
        and backend.accelerators >= spec.accelerators
    )


def place_by_predicted_finish(
    tasks: Sequence[PendingTask], holders: Sequence[HolderView]
) -> list[Placement]:
    """Place the longest tasks first, each where it is predicted to finish earliest.

    Tasks that no holder has the resources for are left out of the result.
    The views of the selected holders are updated.
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
    """Return the placement policies by their name in the configuration.

    A policy returns the placements of the tasks that some holder can run and
    updates the views of the selected holders.
    """
    rotation = 0

    def random_by_slots(holders: Sequence[HolderView]) -> HolderView:
        return random.choices(holders, weights=[max(item.slots, 1) for item in holders])[0]

    def next_in_rotation(holders: Sequence[HolderView]) -> HolderView:
        nonlocal rotation
        rotation += 1
        return holders[rotation % len(holders)]

    def least_outstanding(holders: Sequence[HolderView]) -> HolderView:
        return min(holders, key=HolderView.outstanding_per_slot)

    def better_of_two(holders: Sequence[HolderView]) -> HolderView:
        return min(
            random_by_slots(holders), random_by_slots(holders), key=HolderView.outstanding_per_slot
        )

    return {
        "predicted": place_by_predicted_finish,
        "random": _policy_of(random_by_slots),
        "round_robin": _policy_of(next_in_rotation),
        "least_outstanding": _policy_of(least_outstanding),
        "two_choices": _policy_of(better_of_two),
    }


def _policy_of(choose: ChooseHolder) -> Policy:
    """Return the policy that chooses a holder for each task in turn."""

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
