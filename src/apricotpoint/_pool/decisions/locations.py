"""Locations of backend servers: where and when the tasks of a job can start near their data.

A backend server without a location is near nothing. A location of which this process
holds no backend server is not waited for.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence

from apricotpoint._pool.decisions import locality, placement
from apricotpoint._pool.decisions.forecast import remaining_s
from apricotpoint._pool.runs.heldbackend import HeldBackend
from apricotpoint._pool.runs.job import Job, Task
from apricotpoint._wire.pool import Room

# Tasks of one job for which a wait is weighed in one dispatch; more would take long at each tick.
MAX_WAITING_TASKS = 32


def next_starts(held: HeldBackend, room: Room, now: float) -> list[float]:
    """Return the times at which runs that end make room for tasks, in ascending order.

    Room that is free now is left out: whoever asks has found that no task can start there.
    """
    free, times = held.free(now), list[float]()
    taken = fit_count(free, room)
    for ends_at, run in sorted(
        ((now + remaining_s(run, now), run) for run in held.run_by_key.values()),
        key=lambda item: item[0],
    ):
        free = free.plus(run.task.job.request.room)
        count = fit_count(free, room)
        times += [ends_at] * (count - taken)
        taken = max(count, taken)
    return times


def fit_count(free: Room, room: Room) -> int:
    """Return how many tasks of a size fit into free resources, at most `MAX_WAITING_TASKS`."""
    pairs = (
        (free.cpu, room.cpu),
        (free.memory_mb, room.memory_mb),
        (free.accelerators, room.accelerators),
    )
    counts = [has // needs for has, needs in pairs if needs]
    return max(min([*counts, MAX_WAITING_TASKS]), 0)


def best_location(job: Job, backends: Iterable[HeldBackend], now: float) -> str:
    """Return the location in which all waiting tasks of a job would end first.

    Among equal ones it is the one with the least room left, so that the others keep theirs for
    larger groups. Empty if no backend server that can run the job has a location.
    """
    return _first_to_end(job, _slots_by_location(job, backends, now), now)


def _slots_by_location(
    job: Job, backends: Iterable[HeldBackend], now: float
) -> dict[str, list[tuple[float, float]]]:
    """Return the starts that are possible now or predicted, as times and speeds, by location."""
    request = job.request
    slots_by_location: dict[str, list[tuple[float, float]]] = {}
    for held in backends:
        if not held.location or not held.can_run(request) or not held.is_schedulable(now):
            continue
        slots = slots_by_location.setdefault(held.location, [])
        speed = held.expected_speed(now)
        slots += [(now, speed)] * fit_count(held.free(now), request.room)
        slots += ((at, speed) for at in next_starts(held, request.room, now))
    return slots_by_location


def _first_to_end(
    job: Job, slots_by_location: Mapping[str, list[tuple[float, float]]], now: float
) -> str:
    count, options = len(job.waiting_tasks()), []
    for location, unsorted_slots in slots_by_location.items():
        free_count = sum(at <= now for at, _ in unsorted_slots)
        slots = unsorted_slots.copy()
        heapq.heapify(slots)
        ends_at = now
        for _ in range(min(count, MAX_WAITING_TASKS)):
            if not slots:
                ends_at = math.inf
                break
            at, speed = slots[0]
            ends_at = max(ends_at, at + job.longest_task_s / speed)
            heapq.heapreplace(slots, (at + job.longest_task_s / speed, speed))
        options.append((ends_at, free_count, location))
    return min(options, default=(math.inf, 0, ""))[2]


def _home(job: Job, backends: Iterable[HeldBackend], now: float) -> str:
    return job.preferred_location or best_location(job, backends, now)


def factors(
    job: Job, backends: Collection[HeldBackend], now: float
) -> Callable[[HeldBackend], float]:
    """Return the function that gives by how much longer a job takes on a backend server."""
    preference = job.request.locality
    if preference is None:
        return lambda _: 1.0
    home, remote_factor = _home(job, backends, now), preference.remote_factor
    return lambda held: 1.0 if not home or held.location == home else remote_factor


def attainable_speed(
    job: Job, backends: Iterable[HeldBackend], now: float, *, fastest: float
) -> float:
    """Return the speed that a job with a locality may expect, near its data or elsewhere.

    `fastest` is the speed that a task may expect to get by waiting, of all backend servers.
    """
    preference = job.request.locality
    if preference is None or not job.preferred_location:
        return fastest
    near = [
        held.expected_speed(now)
        for held in backends
        if held.location == job.preferred_location and not held.is_evacuated
    ]
    return max(min(max(near, default=0.0), fastest), fastest / preference.remote_factor)


class LocalityPass:
    """The choices of one dispatch for tasks that prefer a location.

    `waits` are the tasks that were left to wait for it although they could have started elsewhere.
    Each takes the slot that it waits for from those after it, so that many do not queue for one
    location while other capacity is free.
    """

    def __init__(self, eligible: Sequence[HeldBackend], now: float, *, fastest: float) -> None:
        self.waits: list[Task] = []
        self._eligible = eligible
        self._now = now
        self._fastest = fastest
        self._home_by_job: dict[str, str] = {}
        self._reserved_by_home: dict[str, list[float]] = {}
        self._slots_by_home: dict[tuple[str, Room, str], list[tuple[float, float]]] = {}
        self._group_slots: dict[tuple[Room, str], dict[str, list[tuple[float, float]]]] = {}
        self._price_by_room: dict[Room, float] = {}
        self._last_wait: tuple[Job, HeldBackend] | None = None

    def choose(self, task: Task, fitting: Sequence[HeldBackend]) -> HeldBackend | None:
        """Return the backend server on which to start the task now, None to let it wait.

        `fitting` are the backend servers on which it can start now, at least one.
        """
        job = task.job
        home = self._home(job)
        if self._last_wait is not None and self._last_wait[0] is job and not task.avoided_backends:
            # Nothing has started since the last task of the job was looked at.
            remote: HeldBackend | None = self._last_wait[1]
        else:
            near, remote = self._candidates(task, home, fitting)
            if near is not None:
                return near
        self._last_wait = None
        slots = self._slots(job, home)
        if remote is not None and not (
            slots and locality.waiting_pays(self._weigh(task, remote, slots))
        ):
            return remote
        self.reserve(job)
        if remote is not None:
            self.waits.append(task)
            if not task.avoided_backends:
                self._last_wait = (job, remote)
        return None

    def _candidates(
        self, task: Task, home: str, fitting: Sequence[HeldBackend]
    ) -> tuple[HeldBackend | None, HeldBackend | None]:
        """Return the backend servers on which to start the task near its location and elsewhere."""
        job, now, preference = task.job, self._now, task.job.request.locality
        assert preference is not None
        usable = [held for held in fitting if held.backend_id not in task.avoided_backends]
        usable = usable or list(fitting)
        near = [held for held in usable if home and held.location == home]
        if near:
            fastest = attainable_speed(job, self._eligible, self._now, fastest=self._fastest)
            held = placement.choose(task, near, now, fastest=fastest)
            if held is not None:
                return held, None
        remote = [held for held in usable if not home or held.location != home]
        if not remote:
            return None, None
        fastest = self._fastest / preference.remote_factor
        return None, placement.choose(task, remote, now, fastest=fastest)

    def reserve(self, job: Job) -> None:
        """Count a task of a job that waits for the slot which is free first in its location."""
        if job.request.locality is None:
            return
        home = self._home(job)
        self._reserved_by_home.setdefault(home, []).append(job.longest_task_s)
        for (other_home, _, _), slots in self._slots_by_home.items():
            if other_home == home:
                _occupy(slots, job.longest_task_s)

    def _home(self, job: Job) -> str:
        home = job.preferred_location
        if home:
            return home
        job_id = job.request.job_id
        if job_id not in self._home_by_job:
            key = (job.request.room, job.request.service)
            if key not in self._group_slots:
                self._group_slots[key] = _slots_by_location(job, self._eligible, self._now)
            slots_by_location = self._group_slots[key]
            home = self._home_by_job[job_id] = _first_to_end(job, slots_by_location, self._now)
            # Another group of this dispatch finds these slots taken.
            slots = slots_by_location.get(home, [])
            heapq.heapify(slots)
            for _ in job.waiting_tasks()[:MAX_WAITING_TASKS]:
                _occupy(slots, job.longest_task_s)
        return self._home_by_job[job_id]

    def _price(self, room: Room) -> float:
        price = self._price_by_room.get(room)
        if price is None:
            free = sum(fit_count(held.free(self._now), room) for held in self._eligible)
            capacity = sum(fit_count(held.announcement.room, room) for held in self._eligible)
            price = self._price_by_room[room] = locality.price(free - 1, capacity)
        return price

    def _slots(self, job: Job, home: str) -> list[tuple[float, float]]:
        """Return the next starts in a location as a heap of times and speeds."""
        request = job.request
        key = (home, request.room, request.service)
        slots = self._slots_by_home.get(key)
        if slots is None:
            slots = [
                (at, held.expected_speed(self._now))
                for held in self._eligible
                if home and held.location == home and held.can_run(request)
                if job.started or not held.is_reserved
                for at in next_starts(held, request.room, self._now)
            ]
            heapq.heapify(slots)
            for work_s in self._reserved_by_home.get(home, ()):
                _occupy(slots, work_s)
            self._slots_by_home[key] = slots
        return slots

    def _weigh(
        self, task: Task, remote: HeldBackend, slots: list[tuple[float, float]]
    ) -> locality.Choice:
        job, now = task.job, self._now
        request = job.request
        assert request.locality is not None
        near_at, near_speed = slots[0]
        remote_factor = request.locality.remote_factor
        return locality.Choice(
            objective=objective_of(job, now),
            near_wait_s=max(near_at - now, 0.0),
            near_wait_spread=locality.ESTIMATE_SPREAD,
            near_speed=near_speed,
            remote_speed=remote.expected_speed(now) / remote_factor,
            remote_factor=remote_factor,
            price=self._price(request.room),
            waited_s=0.0 if task.local_wait_at is None else now - task.local_wait_at,
        )


def objective_of(job: Job, now: float) -> locality.Objective:
    """Return what the caller of a job needs.

    A run that will end after the objective makes the job late whatever its other tasks do.
    """
    request = job.request
    is_late = any(
        now + remaining_s(run, now) > job.sent_at + job.objective_s for run in job.active_runs()
    )
    return locality.Objective(
        age_s=now - job.sent_at,
        base_s=-math.inf if is_late else request.base_latency_s,
        stretch=0.0 if is_late else request.stretch,
        deadline_s=request.deadline_s,
        work_s=max(job.longest_task_s, 1e-3),
        spread=locality.ESTIMATE_SPREAD if job.refined_s is None else locality.REFINED_SPREAD,
    )


def _occupy(slots: list[tuple[float, float]], work_s: float) -> None:
    if slots:
        at, speed = slots[0]
        heapq.heapreplace(slots, (at + work_s / speed, speed))
