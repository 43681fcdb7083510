"""Decodes the jobs that callers of the platform submit, and encodes their answers."""

from __future__ import annotations

import re

import attrs
import msgspec

from apricotpoint._core.codes import ResultCode
from apricotpoint._core.errors import DECODE_ERRORS, ApricotError
from apricotpoint._pool.decisions.deadlines import job_deadline_s
from apricotpoint._pool.routing import Route
from apricotpoint._wire.pool import Locality, PoolAnswer, PoolJob, Room
from apricotpoint.platform.heartbeats import MAX_NAME_LENGTH, is_name
from apricotpoint.platform.numbers import Natural, NonNegative

MAX_SPEC_BYTES = 4_000
MAX_TASKS = 10_000
# One-way network latency from the caller, which has passed before a request is read.
CALLER_ONE_WAY_LATENCY_S = 0.001

_JOB_ID = re.compile(r"[0-9a-f]{16}")


@attrs.frozen
class _Step:
    """A step of a job; fields that are absent are zero, false or empty."""

    count: Natural
    cpu: Natural = 0
    requested_memory_mb: Natural = 0
    gpu: Natural = 0
    # Declared by the caller, and may be far from the real run time.
    estimated_duration_ms: NonNegative = 0.0
    dependencies: list[int] = attrs.Factory(list)
    requirements: str = ""
    anti_affinity: int = 0
    gang_scheduled: bool = False
    long_running: bool = False
    utilization: bool = False
    image: str = ""
    target_ms: float = 0.0
    # The tasks run faster on this rack, or all on one rack.
    data_rack: str = ""
    rack_local: bool = False


@attrs.frozen
class _Job:
    """A job; with `best_effort` it is not stored, and its POST is answered when it has ended."""

    spec: str
    phases: list[_Step]
    best_effort: bool = False
    repetitions: int = 0


_DECODER = msgspec.json.Decoder(_Job)
_UNSUPPORTED_FIELDS = [
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
_STATUS_REFUSED, _STATUS_OUTCOME_UNKNOWN = 503, 502
# This result code and all higher ones mean that it is not known whether the job ran.
_FIRST_OUTCOME_UNKNOWN_CODE = 3000


def decode_job(
    job_id: str,
    body: bytes,
    *,
    route: Route,
    deadline_s: float | None,
    remote_penalty: float = 1.0,
) -> PoolJob:
    """Return the job in the body of a request of a caller.

    `deadline_s` is how long the caller waits; if it is None, the time-out of the route is used.
    A task takes `remote_penalty` times as long away from the rack of its data.

    Raises `ApricotError` with code 2101 for a malformed job, 2111 for a spec that is too long, and
    2106 for a job that uses a feature that is not supported.
    """
    if not _JOB_ID.fullmatch(job_id):
        raise ApricotError(
            ResultCode.MALFORMED, f"job id {job_id!r} is not 16 lower-case hexadecimal digits"
        )
    try:
        parsed = _DECODER.decode(body)
    except DECODE_ERRORS as error:
        raise ApricotError(ResultCode.MALFORMED, f"job cannot be decoded: {error}") from None
    _validate(parsed)
    step = parsed.phases[0]
    return PoolJob(
        job_id=job_id,
        kind=route.name,
        service=route.service,
        spec=parsed.spec,
        count=step.count,
        room=Room(step.cpu, step.requested_memory_mb, step.gpu),
        estimate_s=step.estimated_duration_ms / 1000,
        priority=route.priority,
        max_attempts=route.max_attempts,
        base_latency_s=route.base_latency_s,
        stretch=route.stretch,
        elapsed_s=CALLER_ONE_WAY_LATENCY_S,
        deadline_s=job_deadline_s(deadline_s, route.timeout_s),
        locality=_make_locality(step, remote_penalty),
        caller_deadline_s=deadline_s,
        timeout_s=route.timeout_s,
    )


def _make_locality(step: _Step, remote_penalty: float) -> Locality | None:
    """Return the locality of a step, None if its tasks are equally fast everywhere.

    Tasks that name the rack of their data are together there, so `rack_local` adds nothing.
    """
    together = step.rack_local and step.count > 1 and not step.data_rack
    if remote_penalty <= 1.0 or not (step.data_rack or together):
        return None
    return Locality(step.data_rack, together, remote_penalty)


def encode_answer(answer: PoolAnswer) -> tuple[int, dict[str, object], dict[str, str]]:
    """Return the HTTP status, body and headers of the response to a job."""
    state = _STATE_BY_CODE.get(answer.code)
    if state is not None:
        return 200, {"state": state}, {}
    default = (
        _STATUS_OUTCOME_UNKNOWN if answer.code >= _FIRST_OUTCOME_UNKNOWN_CODE else _STATUS_REFUSED
    )
    status = _STATUS_BY_CODE.get(answer.code, default)
    headers: dict[str, str] = {}
    if status == _STATUS_REFUSED:
        # RFC 9110, section 10.2.3, allows whole seconds only; rounded up.
        headers["retry-after"] = str(max(1, -int(-answer.retry_after_s // 1)))
    return status, {"code": answer.code, "reason": answer.reason}, headers


def _validate(parsed: _Job) -> None:
    if len(parsed.spec.encode()) > MAX_SPEC_BYTES:
        raise ApricotError(ResultCode.TOO_LARGE, f"the spec is longer than {MAX_SPEC_BYTES} bytes")
    if not parsed.phases:
        raise ApricotError(ResultCode.MALFORMED, "the job has no phases")
    if not parsed.best_effort or parsed.repetitions or len(parsed.phases) > 1:
        raise _unsupported("jobs that are not best_effort, are repeated or have several phases")
    step = parsed.phases[0]
    if not 0 < step.count <= MAX_TASKS:
        raise ApricotError(
            ResultCode.MALFORMED, f"count is {step.count}; it must be 1 to {MAX_TASKS}"
        )
    if step.data_rack and not is_name(step.data_rack):
        raise ApricotError(
            ResultCode.MALFORMED,
            f"data_rack is {step.data_rack[:MAX_NAME_LENGTH]!r}; it must have 1 to "
            f"{MAX_NAME_LENGTH} printable characters and no '#'",
        )
    for name in _UNSUPPORTED_FIELDS:
        if getattr(step, name):
            raise _unsupported(f"phases with {name}")


def _unsupported(what: str) -> ApricotError:
    return ApricotError(ResultCode.CANNOT_RUN, f"{what} are not supported; the job was not run")
