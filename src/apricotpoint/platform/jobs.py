"""Jobs as callers of the platform submit them."""

from __future__ import annotations

import re

import attrs
import msgspec

from apricotpoint._core.codes import ResultCode
from apricotpoint._core.errors import DECODE_ERRORS, ApricotError
from apricotpoint._pool.routing import Route
from apricotpoint._wire.pool import PoolAnswer, PoolJob, Room

MAX_SPEC_BYTES = 4_000
MAX_TASKS = 10_000
# One way from the caller to this process, which has passed before a request is read.
CALLER_TRIP_S = 0.001

_JOB_ID = re.compile(r"[0-9a-f]{16}")


@attrs.frozen
class _Step:
    """A step of a job; fields that are absent are zero, false or empty."""

    count: int
    cpu: int = 0
    requested_memory_mb: int = 0
    gpu: int = 0
    # A declaration of the caller, which may be far off.
    estimated_duration_ms: float = 0.0
    dependencies: list[int] = attrs.Factory(list)
    requirements: str = ""
    anti_affinity: int = 0
    gang_scheduled: bool = False
    long_running: bool = False
    utilization: bool = False
    image: str = ""
    target_ms: float = 0.0


@attrs.frozen
class _Job:
    """`best_effort` means that the job is not stored and its POST is answered at its end."""

    spec: str
    phases: list[_Step]
    best_effort: bool = False
    repetitions: int = 0


_DECODER = msgspec.json.Decoder(_Job)
_NOT_BUILT = [
    "dependencies",
    "requirements",
    "anti_affinity",
    "gang_scheduled",
    "long_running",
    "utilization",
    "target_ms",
]

_STATE_BY_CODE = {
    int(ResultCode.COMPLETE): "completed",
    int(ResultCode.TASKS_FAILED): "failed",
}
_STATUS_BY_CODE = {
    int(ResultCode.MALFORMED): 400,
    int(ResultCode.TOO_LARGE): 413,
    int(ResultCode.DEADLINE_AFTER_START): 504,
}
_REFUSED, _NOT_KNOWN = 503, 502
# Result codes from here on say that it is not known whether a job ran.
_FIRST_NOT_KNOWN = 3000


def decode_job(job_id: str, body: bytes, *, route: Route, deadline_s: float | None) -> PoolJob:
    """Return the job in a request of a caller.

    `deadline_s` is how long the caller waits, None if it does not say. Raises
    `ApricotError` with code 2101 or 2111 for a body that is no job, and 2106
    for a job that needs what is not built.
    """
    if not _JOB_ID.fullmatch(job_id):
        raise ApricotError(ResultCode.MALFORMED, f"{job_id!r} is not 16 hexadecimal digits")
    try:
        raw = _DECODER.decode(body)
    except DECODE_ERRORS as error:
        raise ApricotError(ResultCode.MALFORMED, f"the job cannot be read: {error}") from None
    _check(raw)
    step = raw.phases[0]
    wait_s = route.timeout_s if deadline_s is None else min(deadline_s, route.timeout_s)
    return PoolJob(
        job_id=job_id,
        kind=route.name,
        service=route.service,
        spec=raw.spec,
        count=step.count,
        room=Room(step.cpu, step.requested_memory_mb, step.gpu),
        estimate_s=step.estimated_duration_ms / 1000,
        priority=route.priority,
        max_attempts=route.max_attempts,
        base_latency_s=route.base_latency_s,
        stretch=route.stretch,
        elapsed_s=CALLER_TRIP_S,
        deadline_s=wait_s,
    )


def encode_answer(answer: PoolAnswer) -> tuple[int, dict[str, object], dict[str, str]]:
    """Return status, body and headers of the response to a job."""
    state = _STATE_BY_CODE.get(answer.code)
    if state is not None:
        return 200, {"state": state}, {}
    default = _NOT_KNOWN if answer.code >= _FIRST_NOT_KNOWN else _REFUSED
    status = _STATUS_BY_CODE.get(answer.code, default)
    headers: dict[str, str] = {}
    if status == _REFUSED:
        # Whole seconds, rounded up; see RFC 9110, 10.2.3.
        headers["retry-after"] = str(max(1, -int(-answer.retry_after_s // 1)))
    return status, {"code": answer.code, "reason": answer.reason}, headers


def _check(raw: _Job) -> None:
    if len(raw.spec.encode()) > MAX_SPEC_BYTES:
        raise ApricotError(ResultCode.TOO_LARGE, f"the spec is longer than {MAX_SPEC_BYTES} bytes")
    if not raw.phases:
        raise ApricotError(ResultCode.MALFORMED, "the job has no steps")
    if not raw.best_effort or raw.repetitions or len(raw.phases) > 1:
        raise _not_built("jobs that are stored, repeated or have several steps")
    step = raw.phases[0]
    if not 0 < step.count <= MAX_TASKS or min(step.cpu, step.requested_memory_mb, step.gpu) < 0:
        raise ApricotError(ResultCode.MALFORMED, "the step has an impossible count or size")
    for name in _NOT_BUILT:
        if getattr(step, name):
            raise _not_built(f"steps with {name}")


def _not_built(what: str) -> ApricotError:
    return ApricotError(ResultCode.CANNOT_RUN, f"{what} are not built; the job has not run")
