"""Binding of queued tasks to free slots of backend servers."""

from __future__ import annotations

import heapq
import math

from apricotpoint._dispatch.context import HolderContext, Service
from apricotpoint._dispatch.outcomes import OutcomeReporter
from apricotpoint._dispatch.policies import (
    Candidate,
    Policy,
    fastest_free_within_backlog,
    make_policy,
)
from apricotpoint._dispatch.queue import HeldTask, TaskState

# At most this many tasks per pass are taken from the queue and returned unbound,
# which limits the cost of a pass while tasks wait for faster slots.
_MAX_DEFERRED = 32
_MIN_PASS_INTERVAL_S = 0.005
_OVERDUE_RECHECK_S = 0.05


class Binder:
    """Binds tasks to backend servers by the placement policy of their service."""

    def __init__(self, context: HolderContext, outcomes: OutcomeReporter) -> None:
        self._context = context
        self._outcomes = outcomes

    def bind(self, service: Service, now: float) -> list[list[HeldTask]]:
        """Run one binding pass; return the bound tasks grouped by batch and backend server.

        Tasks past their deadline, and those whose requirements no eligible backend
        server meets, are refused. Sets `service.next_pass_at` if tasks stay queued.
        """
        service.next_pass_at = math.inf
        queue = service.queue
        if not queue.count:
            return []
        self._context.apply_configuration()
        candidates = _candidates(service, now)
        free = sum(candidate.free for candidate in candidates)
        capacity = sum(len(candidate.slot_free_times) * candidate.speed for candidate in candidates)
        deferred: list[HeldTask] = []
        tasks_by_exchange: dict[tuple[int, int], list[HeldTask]] = {}
        policy = self._policy_of(service)
        while free and len(deferred) < _MAX_DEFERRED:
            task = queue.take()
            if task is None:
                break
            if task.batch.deadline_at <= now:
                self._outcomes.refuse(
                    [task],
                    "deadline",
                    "the deadline passed while the task was queued at the lease holder",
                )
                continue
            fitting = [
                candidate
                for candidate in candidates
                if candidate.view.can_run(task.spec.spec)
                and candidate.view.backend_id != task.avoided_backend_id
            ]
            if not fitting:
                self._outcomes.refuse(
                    [task],
                    "no_backend",
                    "no eligible backend server of the lease holder meets the task's requirements",
                )
                continue
            chosen = policy(task, fitting, self._context.random)
            if chosen and not chosen.free:
                chosen = (
                    fastest_free_within_backlog(task, fitting, queue.work_s / capacity) or chosen
                )
            if chosen is None or not chosen.free:
                deferred.append(task)
                if chosen is None:
                    continue
            else:
                free -= 1
                chosen.free -= 1
                task.state = TaskState.BOUND
                chosen.view.occupy(task, now)
                exchange_key = (id(chosen.view), id(task.batch))
                tasks_by_exchange.setdefault(exchange_key, []).append(task)
            run_time_s = task.spec.estimate_s / chosen.speed
            heapq.heapreplace(chosen.slot_free_times, chosen.slot_free_times[0] + run_time_s)
        queue.put_back(deferred)
        if queue.count:
            service.next_pass_at = _next_pass_at(service, candidates if free else [], now)
        return list(tasks_by_exchange.values())

    def _policy_of(self, service: Service) -> Policy:
        name = self._context.service_config(service.name).policy
        if service.policy is None or service.policy_name != name:
            service.policy_name = name
            service.policy = make_policy(name)
        return service.policy


def _candidates(service: Service, now: float) -> list[Candidate]:
    candidates = []
    for view in service.view_by_id.values():
        if view.is_eligible(now):
            times = view.slot_free_times(now)
            if times:
                free = view.free_slots(now)
                candidates.append(Candidate(view, view.effective_speed, free, times))
    return candidates


def _next_pass_at(service: Service, awaited: list[Candidate], now: float) -> float:
    times = [
        task.ends_at for candidate in awaited for task in candidate.view.task_by_start_id.values()
    ]
    for view in service.view_by_id.values():
        times.extend((view.backoff_until, view.quarantine.probe_at, view.lease.starts_at))
    # Tasks that run longer than predicted are checked again soon, because their
    # predicted end moves while they run.
    later = [time for time in times if time > now]
    if awaited:
        later.append(now + _OVERDUE_RECHECK_S)
    return max(min(later, default=math.inf), now + _MIN_PASS_INTERVAL_S)
