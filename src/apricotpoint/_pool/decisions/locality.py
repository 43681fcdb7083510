"""Choice between a start elsewhere now and a wait for the preferred location (delay scheduling).

Load pattern: tasks take a multiple of their time away from the location of their
data or of their group, while the backend servers of that location are in use and
others are free. Where that makes a job late, a short wait pays; a long one makes it
late as well. A fixed wait is wrong for one or the other, so the wait is weighed
anew, each time tasks are dispatched, against the predicted ends of the runs there.

A backend server without a location is near nothing. A location of which this process
holds no backend server is not waited for.
"""

from __future__ import annotations

import heapq
import math
import statistics
from collections.abc import Callable, Collection, Iterable, Sequence

import attrs

from apricotpoint._pool.decisions import placement
from apricotpoint._pool.decisions.forecast import remaining_s
from apricotpoint._pool.runs.heldbackend import HeldBackend
from apricotpoint._pool.runs.job import Job, Task
from apricotpoint._wire.pool import Room

# Standard deviation of the logarithm of a run time: of the estimate for a kind of jobs, which is
# wrong by a factor of 1.35, and of the tasks of one job, which differ by 15%.
ESTIMATE_SPREAD, REFINED_SPREAD = 0.3, 0.15
# Worth to its caller of an answer after the objective and before the deadline, relative to one in
# time.
LATE_VALUE = 0.2
# A wait has to gain at least this share of the value of the job: it may make the caller wait
# longer, and predicted ends are uncertain.
MIN_GAIN = 0.02
# Quantiles of the end of the run that is waited for, in standard deviations.
END_QUANTILES = (-1.0, 0.0, 1.0)
# Probability below which a job counts as late.
LATE_PROBABILITY = 0.05
# Tasks of one job for which a wait is weighed in one dispatch; more would take long at each tick.
MAX_WAITING_TASKS = 32

_NORMAL = statistics.NormalDist()


@attrs.frozen
class Objective:
    """What the caller of a job needs; times are seconds.

    `age_s` has passed since the job was sent. `base_s` plus `stretch` times the work of the longest
    task is the objective, and `deadline_s` the deadline. `work_s` is the estimate of that work at
    speed 1, `spread` the standard deviation of its logarithm.
    """

    age_s: float
    base_s: float
    stretch: float
    deadline_s: float
    work_s: float
    spread: float

    def in_time_probability(self, wait_s: float, speed: float) -> float:
        """Return the probability that a start after `wait_s` at this speed meets the objective.

        The objective grows with the work as the run time does, so an error of the estimate matters
        only as far as the two differ.
        """
        margin_s = self.base_s - self.age_s - wait_s
        growth = self.stretch - 1 / speed
        if margin_s >= 0 and growth >= 0:
            return 1.0
        if margin_s <= 0 and growth <= 0:
            return 0.0
        sigmas = math.log(self.work_s * abs(growth) / abs(margin_s)) / self.spread
        return _NORMAL.cdf(sigmas if growth > 0 else -sigmas)

    def deadline_probability(self, wait_s: float, speed: float) -> float:
        """Return the probability that a start after `wait_s` at this speed meets the deadline."""
        left_s = self.deadline_s - self.age_s - wait_s
        if left_s <= 0:
            return 0.0
        return _NORMAL.cdf(math.log(left_s * speed / self.work_s) / self.spread)

    def value(self, wait_s: float, speed: float) -> float:
        """Return the expected worth of the answer, relative to one in time."""
        served = self.deadline_probability(wait_s, speed)
        in_time = min(self.in_time_probability(wait_s, speed), served)
        return in_time + LATE_VALUE * (served - in_time)


@attrs.frozen
class Choice:
    """The two places in which a task can run, for `waiting_pays`.

    `near_wait_s` is the expected time until the task can start in the preferred location, with
    those that wait there before it; the logarithm of the time has the standard deviation
    `near_wait_spread`. `near_speed` is the speed there, `remote_speed` the one elsewhere, with the
    penalty, where the run takes `remote_factor` times as long. `price` is the probability that
    another task has to wait for what this one occupies. `waited_s` is the wait so far.
    """

    objective: Objective
    near_wait_s: float
    near_wait_spread: float
    near_speed: float
    remote_speed: float
    remote_factor: float
    price: float
    waited_s: float


def waiting_pays(choice: Choice) -> bool:
    """Return whether a task should wait for its preferred location instead of starting elsewhere.

    It is weighed again at each dispatch, so a wait ends as soon as it no longer pays. A job that
    is late in both places does not wait.
    """
    objective = choice.objective
    waits_s = [
        choice.near_wait_s * math.exp(sigmas * choice.near_wait_spread) for sigmas in END_QUANTILES
    ]
    best_in_time = objective.in_time_probability(waits_s[0], choice.near_speed)
    remote_in_time = objective.in_time_probability(0.0, choice.remote_speed)
    if max(best_in_time, remote_in_time) < LATE_PROBABILITY:
        return False
    near = statistics.fmean(objective.value(wait_s, choice.near_speed) for wait_s in waits_s)
    # What the remote run occupies beyond a near one is taken from others if they need it.
    cost = choice.price * (choice.remote_factor - 1)
    return near - (objective.value(0.0, choice.remote_speed) - cost) > MIN_GAIN


def price(free: int, capacity: int) -> float:
    """Return about the probability that a task has to wait, with `free` of `capacity` slots free.

    By the square-root rule of staffing, waits are rare while more slots than the square root of
    their number are free.
    """
    if capacity <= 0:
        return 1.0
    return max(0.0, 1.0 - max(free, 0) / math.sqrt(capacity))


def next_starts(held: HeldBackend, room: Room, now: float) -> list[float]:
    """Return the times at which runs that end make room for tasks, in ascending order.

    Room that is free now is left out: whoever asks has found that no task can start there.
    """
    free, times = held.free(now), list[float]()
    while room.cpu > 0 and free.covers(room):
        free = free.minus(room)
    for ends_at, run in sorted(
        ((now + remaining_s(run, now), run) for run in held.run_by_key.values()),
        key=lambda item: item[0],
    ):
        free = free.plus(run.task.job.request.room)
        while room.cpu > 0 and free.covers(room):
            free = free.minus(room)
            times.append(ends_at)
    return times


def best_location(job: Job, backends: Iterable[HeldBackend], now: float) -> str:
    """Return the location in which all waiting tasks of a job would end first.

    Among equal ones it is the one with the least room left, so that the others keep theirs for
    larger groups. Empty if no backend server that can run the job has a location.
    """
    request, count = job.request, len(job.waiting_tasks())
    slots_by_location: dict[str, list[tuple[float, float]]] = {}
    for held in backends:
        if not held.location or not held.can_run(request) or not held.is_schedulable(now):
            continue
        slots = slots_by_location.setdefault(held.location, [])
        free = held.free(now)
        while request.room.cpu > 0 and free.covers(request.room) and len(slots) < count + 1:
            free = free.minus(request.room)
            slots.append((now, held.speed.value))
        slots += ((at, held.speed.value) for at in next_starts(held, request.room, now))
    options = []
    for location, slots in slots_by_location.items():
        free_count = sum(at <= now for at, _ in slots)
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
    locality = job.request.locality
    if locality is None:
        return lambda _: 1.0
    home, remote_factor = _home(job, backends, now), locality.remote_factor
    return lambda held: 1.0 if not home or held.location == home else remote_factor


def attainable_speed(job: Job, backends: Iterable[HeldBackend], fastest: float) -> float:
    """Return the speed that a job with a locality may expect, near its data or elsewhere.

    `fastest` is the speed that a task may expect to get by waiting, of all backend servers.
    """
    locality = job.request.locality
    if locality is None or not job.preferred_location:
        return fastest
    near = [held.speed.value for held in backends if held.location == job.preferred_location]
    return max(min(max(near, default=0.0), fastest), fastest / locality.remote_factor)


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

    def choose(self, task: Task, fitting: Sequence[HeldBackend]) -> HeldBackend | None:
        """Return the backend server on which to start the task now, None to let it wait.

        `fitting` are the backend servers on which it can start now, at least one.
        """
        job, now = task.job, self._now
        home, locality = self._home(job), job.request.locality
        assert locality is not None
        usable = [held for held in fitting if held.backend_id not in task.avoided_backends]
        usable = usable or list(fitting)
        near = [held for held in usable if home and held.location == home]
        if near:
            fastest = attainable_speed(job, self._eligible, self._fastest)
            held = placement.choose(task, near, now, fastest=fastest)
            if held is not None:
                return held
        remote = [held for held in usable if not home or held.location != home]
        if not remote:
            return None
        fastest = self._fastest / locality.remote_factor
        held = placement.choose(task, remote, now, fastest=fastest)
        slots = self._slots(job, home)
        if held is not None and not (slots and waiting_pays(self._weigh(task, held, slots))):
            return held
        self.reserve(job)
        if held is not None:
            self.waits.append(task)
        return None

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
            self._home_by_job[job_id] = best_location(job, self._eligible, self._now)
        return self._home_by_job[job_id]

    def _slots(self, job: Job, home: str) -> list[tuple[float, float]]:
        """Return the next starts in a location as a heap of times and speeds."""
        request = job.request
        key = (home, request.room, request.service)
        slots = self._slots_by_home.get(key)
        if slots is None:
            slots = [
                (at, held.speed.value)
                for held in self._eligible
                if home and held.location == home and held.can_run(request)
                if job.started or not held.handing_over
                for at in next_starts(held, request.room, self._now)
            ]
            heapq.heapify(slots)
            for work_s in self._reserved_by_home.get(home, ()):
                _occupy(slots, work_s)
            self._slots_by_home[key] = slots
        return slots

    def _weigh(self, task: Task, remote: HeldBackend, slots: list[tuple[float, float]]) -> Choice:
        job, now = task.job, self._now
        request = job.request
        assert request.locality is not None
        near_at, near_speed = slots[0]
        remote_factor = request.locality.remote_factor
        room = request.room
        return Choice(
            objective=objective_of(job, now),
            near_wait_s=max(near_at - now, 0.0),
            near_wait_spread=ESTIMATE_SPREAD,
            near_speed=near_speed,
            remote_speed=remote.speed.value / remote_factor,
            remote_factor=remote_factor,
            price=price(
                sum(max(held.free(now).cpu, 0) // max(room.cpu, 1) for held in self._eligible) - 1,
                sum(held.announcement.room.cpu // max(room.cpu, 1) for held in self._eligible),
            ),
            waited_s=0.0 if task.local_wait_at is None else now - task.local_wait_at,
        )


def objective_of(job: Job, now: float) -> Objective:
    """Return what the caller of a job needs.

    A run that will end after the objective makes the job late whatever its other tasks do.
    """
    request = job.request
    is_late = any(
        run.sent_at + (run.predicted_s() or run.expected_s) > job.sent_at + job.objective_s
        for run in job.active_runs()
    )
    return Objective(
        age_s=now - job.sent_at,
        base_s=-math.inf if is_late else request.base_latency_s,
        stretch=0.0 if is_late else request.stretch,
        deadline_s=request.deadline_s,
        work_s=max(job.longest_task_s, 1e-3),
        spread=ESTIMATE_SPREAD if job.refined_s is None else REFINED_SPREAD,
    )


def _occupy(slots: list[tuple[float, float]], work_s: float) -> None:
    if slots:
        at, speed = slots[0]
        heapq.heapreplace(slots, (at + work_s / speed, speed))
