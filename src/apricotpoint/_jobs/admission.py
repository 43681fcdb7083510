"""Admission control: the checks of a request before its job starts."""

from __future__ import annotations

import math

import msgspec

from apricotpoint._core import keys
from apricotpoint._core.codes import ResultCode
from apricotpoint._core.errors import ApricotError
from apricotpoint._core.keys import IssuedKey
from apricotpoint._jobs.views import ServiceView
from apricotpoint._wire.configuration import Configuration, ServiceConfig, TeamConfig
from apricotpoint._wire.jobs import JobRequest
from apricotpoint._wire.tasks import MAX_TASKS

MAX_DEADLINE_MS = 3_600_000
_MIN_RETRY_AFTER_MS = 50
_MAX_RETRY_AFTER_MS = 5_000

_ENCODER = msgspec.msgpack.Encoder(order="deterministic")


class OverloadError(ApricotError):
    """A refusal with code 2104 and the delay after which to resubmit.

    `retry_after_ms` is the given delay, bounded to 50 to 5,000 ms.
    """

    def __init__(self, message: str, *, retry_after_s: float) -> None:
        super().__init__(ResultCode.OVERLOADED, message, remedy="submit again later")
        bounded_ms = min(max(int(retry_after_s * 1000), _MIN_RETRY_AFTER_MS), _MAX_RETRY_AFTER_MS)
        self.retry_after_ms = bounded_ms


def request_fingerprint(request: JobRequest) -> str:
    """Return a hash of the service, the key's expiry and the tasks of a request.

    The deadline is left out: a resubmission has less time left, and a
    forwarded request carries the remaining time.
    """
    return keys.fingerprint(_ENCODER.encode([request.service, request.valid_until, request.tasks]))


def check_well_formed(request: JobRequest) -> IssuedKey | str:
    """Return the parsed key of a request. Raises `ApricotError` with code 2101 if malformed.

    The result does not depend on time or configuration, so the resubmission
    of a job that has started is never refused here.
    """
    key = keys.parse_key(request.key)
    if not request.tasks or len(request.tasks) > MAX_TASKS:
        raise _malformed(f"the job has {len(request.tasks)} tasks", f"send 1 to {MAX_TASKS} tasks")
    if not 1 <= request.deadline_ms <= MAX_DEADLINE_MS:
        raise _malformed(f"deadline_ms is {request.deadline_ms}", f"use 1 to {MAX_DEADLINE_MS} ms")
    for index, spec in enumerate(request.tasks):
        if min(spec.cores, spec.memory_mb, spec.accelerators) < 0 or (
            spec.declared_s is not None
            and not (math.isfinite(spec.declared_s) and spec.declared_s >= 0)
        ):
            raise _malformed(
                f"task {index} declares a negative resource or a negative or non-finite run time",
                "declare finite values of at least 0",
            )
    if isinstance(key, str) and request.valid_until is None:
        raise _malformed(
            f"caller key {key!r} has no valid_until", "add valid_until, at most 3600 s ahead"
        )
    return key


def check_expiry(key: IssuedKey | str, valid_until: float, wall_time: float) -> None:
    """Check that a key has not expired and that its validity is within the limit.

    `valid_until` and `wall_time` are wall time in seconds. Raises `ApricotError`
    with code 3105 if the key has expired, and 2101 if it is valid for too long.
    An issued key may exceed the limit by the clock allowance, since the clock
    of the process that issued it may be ahead.
    """
    if wall_time >= valid_until:
        raise ApricotError(
            ResultCode.KEY_EXPIRED,
            f"key {str(key)!r} expired {wall_time - valid_until:.0f} s ago",
            remedy="use a new key",
        )
    allowance_s = keys.CLOCK_SKEW_ALLOWANCE_S if isinstance(key, IssuedKey) else 0
    if valid_until - wall_time > keys.MAX_VALIDITY_S + allowance_s:
        raise _malformed(
            f"key {str(key)!r} is valid for {valid_until - wall_time:.0f} s",
            f"use a key that is valid for at most {keys.MAX_VALIDITY_S} s",
        )


def find_service_and_team(
    request: JobRequest, configuration: Configuration
) -> tuple[ServiceConfig, TeamConfig]:
    """Return the service and team of a request. Raises `ApricotError` with code 2112."""
    service = configuration.service_by_name.get(request.service)
    if service is None:
        raise ApricotError(
            ResultCode.UNKNOWN_SERVICE,
            f"service {request.service!r} is unknown",
            remedy="create the service or correct its name",
        )
    team = configuration.team_by_name.get(request.team)
    if team is None:
        raise ApricotError(
            ResultCode.UNKNOWN_SERVICE,
            f"team {request.team!r} is unknown",
            remedy="create the team or correct its name",
        )
    return service, team


def check_quota(
    team: TeamConfig,
    *,
    tasks: int,
    in_flight: int,
    live_entries: int = 1,
    unreachable_entries: int = 0,
) -> None:
    """Check the quota of a team. Raises `ApricotError` with code 2103.

    `in_flight` is the number of the team's tasks at the live entry processes,
    as reported last; a team may use its whole quota at any of them. Entry processes admit
    jobs without asking each other, so the quota can be exceeded by what they
    admit within one report period. Unreachable entry processes may be serving
    callers on the other side of a network partition. An equal share of the
    quota is reserved for each of them, so that all sides of a partition
    together stay within it.
    """
    limit = math.ceil(team.quota_tasks * live_entries / (live_entries + unreachable_entries))
    if in_flight + tasks <= limit:
        return
    reserved = (
        f" ({unreachable_entries} entry processes are unreachable)" if unreachable_entries else ""
    )
    raise ApricotError(
        ResultCode.OVER_QUOTA,
        f"team {team.name!r} has {in_flight} of {limit} tasks in flight{reserved}"
        f"; the job has {tasks}",
        remedy="wait for answers or request a larger quota",
    )


def check_load(
    request: JobRequest, service: ServiceConfig, view: ServiceView, work_s: float
) -> None:
    """Check the declared resources, the predicted wait and the queue length of a service.

    `work_s` is the predicted run time in seconds of all tasks of the job at
    speed 1. Raises `ApricotError` with code 2106 if a task fits no known
    backend server, and `OverloadError` if the job cannot meet its deadline or
    the queue is full. No job is refused while no backend server is known: one
    may announce itself before the deadline.
    """
    if not view.loads_by_holder:
        return
    checked_sizes: set[tuple[int, int, int]] = set()
    for index, spec in enumerate(request.tasks):
        size = (spec.cores, spec.memory_mb, spec.accelerators)
        if size in checked_sizes:
            continue
        checked_sizes.add(size)
        if not view.can_run(spec):
            raise ApricotError(
                ResultCode.CANNOT_RUN,
                f"task {index} declares {spec.cores} cores, {spec.memory_mb} MB and "
                f"{spec.accelerators} accelerators, more than any backend server has",
                remedy="declare less or add a larger backend server",
            )
    wait_s = view.wait_s()
    deadline_s = request.deadline_ms / 1000
    limit_s = min(deadline_s, service.max_queue_s)
    # The tasks of a job can exceed the slots and then wait for each other, so
    # the time to finish all of them is checked as well as the wait for a slot.
    drain_s = view.drain_s(work_s) if len(request.tasks) > 1 else 0.0
    if drain_s >= deadline_s:
        raise OverloadError(
            f"the job and the work queued before it are predicted to take {drain_s:.2f} s, "
            f"more than the deadline of {deadline_s:.2f} s",
            retry_after_s=drain_s - deadline_s,
        )
    if wait_s >= limit_s:
        raise OverloadError(
            f"the predicted wait for a slot of service {service.name!r} is {wait_s:.2f} s, "
            f"not less than the limit of {limit_s:.2f} s",
            retry_after_s=wait_s - limit_s,
        )
    if view.queued_tasks + len(request.tasks) > max(service.max_tasks_queued, len(request.tasks)):
        raise OverloadError(
            f"service {service.name!r} has {view.queued_tasks} of {service.max_tasks_queued} "
            "tasks queued",
            retry_after_s=wait_s / 2,
        )


def _malformed(message: str, remedy: str) -> ApricotError:
    return ApricotError(ResultCode.MALFORMED, message, remedy=remedy)
