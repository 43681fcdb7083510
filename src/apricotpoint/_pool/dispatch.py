"""Decision which tasks start now, and where."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from apricotpoint._pool import job_order, placement
from apricotpoint._pool.held_backend import HeldBackend
from apricotpoint._pool.job import Job, Task

# Jobs without room for their next task before the others are left to wait. Behind a wide
# job that waits for much room, smaller ones still find some.
MAX_BLOCKED = 10


def starts(
    waiting: list[Job], usable: Sequence[HeldBackend], now: float, *, fastest: float
) -> Iterator[tuple[Task, HeldBackend]]:
    """Yield each task that starts now with its backend server.

    The caller starts a task, which takes up room, before it asks for the next one.
    """
    waiting.sort(key=lambda job: job_order.order_key(job, now, fastest))
    blocked = 0
    for job in waiting:
        request = job.request
        fitting = [held for held in usable if held.can_start(request, now)]
        for task in job.waiting():
            if not fitting:
                blocked += 1
                break
            held = placement.choose(task, fitting, now, fastest=fastest)
            if held is None:
                break
            yield task, held
            if not held.can_start(request, now):
                fitting.remove(held)
        if blocked >= MAX_BLOCKED:
            return
