"""Forecast of when the tasks of a job can start and end.

It simulates when each slot becomes free. The total of running work would be
misleading when jobs differ much in length: a few long tasks would make every
short job look late, although other slots become free soon.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable

from apricotpoint._pool.runs.heldbackend import HeldBackend
from apricotpoint._pool.runs.job import Job, Run

# A run that exceeds its expected time is expected to go on for this share of its time so far.
OVERDUE_SHARE = 0.2


def remaining_s(run: Run, now: float) -> float:
    """Return the seconds for which a run is expected to go on."""
    total_s = run.predicted_s() or run.expected_s
    passed_s = now - run.sent_at
    return max(total_s - passed_s, OVERDUE_SHARE * passed_s if passed_s > total_s else 0.0)


def free_slots(backends: Iterable[HeldBackend], slot_cpu: int, now: float) -> int:
    """Return the number of slots that are free now, without a forecast of the others."""
    return sum(max(held.free(now).cpu, 0) // max(slot_cpu, 1) for held in backends)


class SlotForecast:
    """Slots for tasks of one size, by speed and by the time at which they become free.

    A slot becomes free when the runs that end leave enough room for it, so that two tasks of 17
    cores are not expected on a backend server of 32, nor a task of 18 in the place of one of 14.

    Backend servers of about the same speed share a heap, so that the slot in which a task ends
    first is found without searching all of them. `typical_cpu` is the size of a slot in
    thousandths of a core; `now` and all results are monotonic seconds. `factor_of` returns by how
    much longer the job whose end is predicted takes on a backend server than others.
    """

    def __init__(
        self,
        backends: Iterable[HeldBackend],
        typical_cpu: int,
        now: float,
        factor_of: Callable[[HeldBackend], float] = lambda _: 1.0,
    ) -> None:
        self._now = now
        self._free_at_by_class: dict[tuple[int, float], list[float]] = {}
        speeds_by_class: dict[tuple[int, float], list[float]] = {}
        for held in backends:
            speed_class = (held.expected_speed_class(now), factor_of(held))
            free_at = self._free_at_by_class.setdefault(speed_class, [])
            free_at += _slots_free_at(held, max(typical_cpu, 1), now)
            speeds_by_class.setdefault(speed_class, []).append(held.expected_speed(now))
        self._speed_by_class = {
            speed_class: sum(speeds) / len(speeds)
            for speed_class, speeds in speeds_by_class.items()
            if self._free_at_by_class[speed_class]
        }
        for speed_class in self._speed_by_class:
            heapq.heapify(self._free_at_by_class[speed_class])

    def has_slots(self) -> bool:
        """Return whether there is any slot, free or taken."""
        return bool(self._speed_by_class)

    def free_count(self) -> int:
        """Return the number of slots that are free now."""
        return sum(
            free_at <= self._now
            for speed_class in self._speed_by_class
            for free_at in self._free_at_by_class[speed_class]
        )

    def predict_end(self, job: Job, ahead: Iterable[tuple[int, float]]) -> float:
        """Return when a job ends if those ahead of it get slots first, infinity without slots.

        `ahead` has the number of their tasks and the work of each in seconds at speed 1. Each task
        gets the slot in which it ends first. The slots stay taken afterwards.
        """
        if not self._speed_by_class:
            return float("inf")
        for count, work_s in ahead:
            for _ in range(count):
                self._reserve_earliest(work_s)
        return max(
            self._reserve_earliest(job.longest_task_s, has_factor=True) for _ in job.waiting_tasks()
        )

    def _reserve_earliest(self, work_s: float, *, has_factor: bool = False) -> float:
        ends_at, speed_class = min(
            (
                self._free_at_by_class[speed_class][0]
                + work_s / speed * (speed_class[1] if has_factor else 1.0),
                speed_class,
            )
            for speed_class, speed in self._speed_by_class.items()
        )
        heapq.heapreplace(self._free_at_by_class[speed_class], ends_at)
        return ends_at


def _slots_free_at(held: HeldBackend, slot_cpu: int, now: float) -> list[float]:
    """Return the times at which the slots of a backend server become free, in order."""
    count, rest = divmod(max(held.free(now).cpu, 0), slot_cpu)
    free_at = [now] * count
    ends = sorted(
        (now + remaining_s(run, now), run.task.job.request.room.cpu)
        for run in held.run_by_key.values()
    )
    for ends_at, cpu in ends:
        count, rest = divmod(rest + cpu, slot_cpu)
        free_at += [ends_at] * count
    return free_at
