"""Placement policies: each chooses a backend server for a queued task."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import attrs

from apricotpoint._dispatch.backend import BackendView
from apricotpoint._dispatch.queue import HeldTask


@attrs.define(eq=False)
class Candidate:
    """A backend server during one binding pass.

    `slot_free_times` is a heap of the predicted times at which its slots become
    free, including the tasks bound in this pass. `free` counts the slots that
    can be used now.
    """

    view: BackendView
    speed: float
    free: int
    slot_free_times: list[float]


# Returns the backend server for a task, or None if the task stays queued. A
# candidate without a free slot means that the task waits for one of its slots.
Policy = Callable[[HeldTask, list[Candidate], Random], Candidate | None]


def predicted(task: HeldTask, candidates: list[Candidate], random: Random) -> Candidate | None:
    """Choose the earliest predicted finish; with slack, the slowest that finishes within it.

    The candidate may have no free slot, if the task is predicted to finish
    earlier by waiting for one of its slots than on any free slot.
    """
    work_s = task.spec.estimate_s
    best: Candidate | None = None
    best_at = 0.0
    for candidate in candidates:
        if candidate.slot_free_times:
            ends_at = candidate.slot_free_times[0] + work_s / candidate.speed
            if best is None or ends_at < best_at:
                best, best_at = candidate, ends_at
    if best is None or task.spec.slack_s <= 0:
        return best
    limit = best_at + task.spec.slack_s
    slowest = best if best.free else None
    for candidate in candidates:
        if not candidate.free or candidate.slot_free_times[0] + work_s / candidate.speed > limit:
            continue
        if slowest is None or candidate.speed < slowest.speed:
            slowest = candidate
    return slowest or best


def fastest_free_within_backlog(
    task: HeldTask, candidates: list[Candidate], backlog_s: float
) -> Candidate | None:
    """Return the fastest free backend server if the task runs at most `backlog_s` there.

    `backlog_s` is the predicted time in which all slots together complete the queued
    tasks. With a long queue a free slot is used at once: waiting for faster slots
    would leave it idle, and a later task would use it anyway. None if there is no such
    backend server.
    """
    free = [candidate for candidate in candidates if candidate.free]
    fastest = max(free, key=lambda candidate: candidate.speed, default=None)
    if fastest is None or task.spec.estimate_s / fastest.speed > backlog_s:
        return None
    return fastest


def at_random(task: HeldTask, candidates: list[Candidate], random: Random) -> Candidate | None:
    """Choose a free backend server at random; None if none is free."""
    free = [candidate for candidate in candidates if candidate.free]
    return random.choice(free) if free else None


def least_outstanding(
    task: HeldTask, candidates: list[Candidate], random: Random
) -> Candidate | None:
    """Choose the free backend server with the fewest sent tasks; None if none is free."""
    free = [candidate for candidate in candidates if candidate.free]
    return min(free, key=_outstanding) if free else None


def two_choices(task: HeldTask, candidates: list[Candidate], random: Random) -> Candidate | None:
    """Choose the one with fewer sent tasks of two random free backend servers."""
    free = [candidate for candidate in candidates if candidate.free]
    if not free:
        return None
    return min(random.choice(free), random.choice(free), key=_outstanding)


def make_round_robin() -> Policy:
    """Return a round-robin policy over free backend servers, with a position of its own."""
    turn = 0

    def round_robin(
        task: HeldTask, candidates: list[Candidate], random: Random
    ) -> Candidate | None:
        nonlocal turn
        for step in range(len(candidates)):
            candidate = candidates[(turn + step) % len(candidates)]
            if candidate.free:
                turn = (turn + step + 1) % len(candidates)
                return candidate
        return None

    return round_robin


def make_policy(name: str) -> Policy:
    """Return the policy with the given name; `predicted` if there is no such policy."""
    if name == "round_robin":
        return make_round_robin()
    return _POLICY_BY_NAME.get(name, predicted)


def _outstanding(candidate: Candidate) -> int:
    return len(candidate.view.task_by_start_id)


_POLICY_BY_NAME: dict[str, Policy] = {
    "predicted": predicted,
    "random": at_random,
    "least_outstanding": least_outstanding,
    "two_choices": two_choices,
}
