"""Binding of queued tasks to slots: plain functions, one for each policy."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import attrs

from apricotpoint._dispatch.backend import BackendView
from apricotpoint._dispatch.queue import HeldTask


@attrs.define(eq=False)
class Candidate:
    """A backend server during one binding pass.

    `slot_free_times` are the predicted times at which its slots become free,
    earliest first, with the tasks of this pass included. `free` counts slots
    that can be used now.
    """

    view: BackendView
    speed: float
    free: int
    slot_free_times: list[float]


# Returns the backend server for a task, or None. A candidate without a free
# slot means that the task waits for that one.
Policy = Callable[[HeldTask, list[Candidate], Random], Candidate | None]


def predicted(task: HeldTask, candidates: list[Candidate], random: Random) -> Candidate | None:
    """Choose the earliest predicted finish; with slack, the slowest that is early enough.

    The candidate may be busy, if a slot of it is predicted to become free so
    early that waiting for it ends sooner than any free slot.
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
    """Return the fastest free backend server if the task ends there within the backlog.

    With a long queue a free slot is used at once, because a task behind would
    use it anyway; waiting for faster slots would leave it idle.
    """
    free = [candidate for candidate in candidates if candidate.free]
    fastest = max(free, key=lambda candidate: candidate.speed, default=None)
    if fastest is None or task.spec.estimate_s / fastest.speed > backlog_s:
        return None
    return fastest


def at_random(task: HeldTask, candidates: list[Candidate], random: Random) -> Candidate | None:
    """Choose any free backend server."""
    free = [candidate for candidate in candidates if candidate.free]
    return random.choice(free) if free else None


def least_outstanding(
    task: HeldTask, candidates: list[Candidate], random: Random
) -> Candidate | None:
    """Choose the free backend server with the fewest tasks."""
    free = [candidate for candidate in candidates if candidate.free]
    return min(free, key=_outstanding) if free else None


def two_choices(task: HeldTask, candidates: list[Candidate], random: Random) -> Candidate | None:
    """Choose the less loaded of two free backend servers drawn at random."""
    free = [candidate for candidate in candidates if candidate.free]
    if not free:
        return None
    return min(random.choice(free), random.choice(free), key=_outstanding)


def make_round_robin() -> Policy:
    """Return a policy that takes free backend servers in turn."""
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
    """Return the policy of that name; `predicted` if the name is not known."""
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
