"""HTTP API for callers: jobs, issued keys and health."""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable
from typing import Annotated, Any, Protocol

import attrs
import logbook
import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from apricotpoint._core.codes import ResultCode
from apricotpoint._core.counters import Counters
from apricotpoint._core.errors import ApricotError
from apricotpoint._core.keys import MAX_KEY_LENGTH, IssuedKey, parse_key
from apricotpoint._core.secrets import Secrets
from apricotpoint._http.body import read_body
from apricotpoint._wire.codec import find_encode_error
from apricotpoint._wire.jobs import Answer, AnswerForward, JobRequest
from apricotpoint._wire.tasks import MAX_TASKS, TaskSpec

MAX_BODY_BYTES = 1 << 20
MAX_KEYS = 1000
MAX_DEADLINE_MS = 600_000
MAX_WAIT_S = 60.0

_log = logbook.Logger("callers")
_TeamHandler = Callable[[Request, str], Awaitable[Response]]


class Coordinator(Protocol):
    """Interface of the coordinator of jobs that the caller API uses."""

    async def submit(self, request: JobRequest, attach_only: bool = False) -> Answer:
        """Run a job, or wait for the one with the same key, and return its answer.

        With `attach_only`, start no job under a caller key that is not known here.
        """

    async def lookup(self, team: str, key: str, wait_s: float) -> AnswerForward:
        """Wait up to `wait_s` seconds for the answer of a job.

        Without one, `found` is True if a job with the key is known.
        """

    async def cancel(self, team: str, key: str) -> Answer:
        """Cancel a job of a team and return its final answer."""

    def issue_keys(self, count: int) -> list[str]:
        """Return `count` new issued keys; raises `ApricotError` with code 2110 while draining."""


class _TaskBody(msgspec.Struct, forbid_unknown_fields=True):
    kind: Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
    payload: Any = None
    idempotent: bool = False
    declared_s: Annotated[float, msgspec.Meta(gt=0, le=86_400)] | None = None
    cores: Annotated[int, msgspec.Meta(ge=0, le=1 << 20)] = 1
    memory_mb: Annotated[int, msgspec.Meta(ge=0, le=1 << 40)] = 0
    accelerators: Annotated[int, msgspec.Meta(ge=0, le=1 << 20)] = 0


class _JobBody(msgspec.Struct, forbid_unknown_fields=True):
    key: Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_KEY_LENGTH)]
    service: Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
    deadline_ms: Annotated[int, msgspec.Meta(ge=1, le=MAX_DEADLINE_MS)]
    tasks: Annotated[list[_TaskBody], msgspec.Meta(min_length=1)]
    valid_until: Annotated[int, msgspec.Meta(ge=0, le=1 << 40)] | None = None


class _KeysBody(msgspec.Struct, forbid_unknown_fields=True):
    count: Annotated[int, msgspec.Meta(ge=1, le=MAX_KEYS)] = 1


_JOB_DECODER = msgspec.json.Decoder(_JobBody)
_KEYS_DECODER = msgspec.json.Decoder(_KeysBody)


def make_app(
    coordinator: Coordinator,
    *,
    secrets: Secrets,
    counters: Counters,
    draining: Callable[[], bool] = lambda: False,
    max_body_bytes: int = MAX_BODY_BYTES,
    max_tasks: int = MAX_TASKS,
) -> Starlette:
    """Return the ASGI app of the caller API; see `docs/api.md`.

    `draining` returns whether this entry process is draining; the health check
    then fails and no keys are issued. A job continues after its caller has
    disconnected, because hypercorn and starlette do not cancel the handler.
    """

    async def submit(request: Request, team: str) -> Response:
        body = _decode(_JOB_DECODER, await read_body(request, max_bytes=max_body_bytes))
        if len(body.tasks) > max_tasks:
            raise ApricotError(
                ResultCode.MALFORMED,
                f"tasks has {len(body.tasks)} items, a job has 1 to {max_tasks}",
                remedy="split the job",
            )
        if not isinstance(parse_key(body.key), IssuedKey) and body.valid_until is None:
            raise ApricotError(
                ResultCode.MALFORMED,
                "valid_until is missing; a key chosen by the caller needs it",
                remedy="add valid_until in unix seconds, or use a key from POST /v1/keys",
            )
        for index, task in enumerate(body.tasks):
            error = find_encode_error(task.payload)
            if error is not None:
                raise ApricotError(
                    ResultCode.MALFORMED,
                    f"$.tasks[{index}].payload cannot be passed on: {error}",
                    remedy="use integers of at most 64 bits and less nesting",
                )
        job = JobRequest(
            key=body.key,
            team=team,
            service=body.service,
            deadline_ms=body.deadline_ms,
            valid_until=body.valid_until,
            tasks=[
                TaskSpec(
                    kind=task.kind,
                    payload=task.payload,
                    idempotent=task.idempotent,
                    declared_s=task.declared_s,
                    cores=task.cores,
                    memory_mb=task.memory_mb,
                    accelerators=task.accelerators,
                )
                for task in body.tasks
            ],
        )
        return answer_response(await coordinator.submit(job))

    async def issue_keys(request: Request, team: str) -> Response:
        raw = await read_body(request, max_bytes=max_body_bytes)
        # An empty body requests one key, the default of `count`.
        body = _decode(_KEYS_DECODER, raw or b"{}")
        if draining():
            raise ApricotError(ResultCode.DRAINING, "this entry process is draining")
        issued = coordinator.issue_keys(body.count)
        return _json_response(200, _answer_fields(Answer(key="", code=1000)) | {"keys": issued})

    async def lookup(request: Request, team: str) -> Response:
        key = _key_from_path(request)
        reply = await coordinator.lookup(team, key, _parse_wait_s(request))
        if reply.answer is not None:
            return answer_response(reply.answer)
        if reply.found:
            fields = _answer_fields(Answer(key=key, code=0, message="no answer yet"))
            return _json_response(202, fields | {"meaning": "it is still running"})
        raise ApricotError(ResultCode.NOT_FOUND, f"no job with key {key!r} is known here")

    async def cancel(request: Request, team: str) -> Response:
        return answer_response(await coordinator.cancel(team, _key_from_path(request)))

    def health(request: Request) -> Response:
        code = ResultCode.DRAINING if draining() else ResultCode.COMPLETE
        return answer_response(Answer(key="", code=code))

    def authenticated(handler: _TeamHandler) -> Callable[[Request], Awaitable[Response]]:
        async def handle(request: Request) -> Response:
            counters.add("callers.requests")
            try:
                team = secrets.team_of(bearer_token(request))
                if team is None:
                    raise ApricotError(
                        ResultCode.NOT_AUTHORISED,
                        "the request has no valid bearer token of a team",
                        remedy="send the header Authorization: Bearer TOKEN",
                    )
                return await handler(request, team)
            except ApricotError as error:
                counters.add(f"callers.refused.{int(error.code)}")
                return error_response(error, key=request.path_params.get("key", ""))
            except Exception:
                counters.add("callers.internal_errors")
                _log.exception(
                    "unexpected exception while handling {} {}; answering with code {}",
                    request.method,
                    request.url.path,
                    int(ResultCode.COORDINATOR_UNREACHABLE),
                )
                return answer_response(
                    Answer(
                        key=request.path_params.get("key", ""),
                        code=ResultCode.COORDINATOR_UNREACHABLE,
                        message="internal error of the entry process",
                    )
                )

        return handle

    return Starlette(
        routes=[
            Route("/v1/jobs", authenticated(submit), methods=["POST"]),
            Route("/v1/keys", authenticated(issue_keys), methods=["POST"]),
            # Keys may contain slashes, so the more specific route comes first.
            Route("/v1/jobs/{key:path}/cancel", authenticated(cancel), methods=["POST"]),
            Route("/v1/jobs/{key:path}", authenticated(lookup), methods=["GET"]),
            Route("/v1/health", health, methods=["GET"]),
        ]
    )


def answer_response(answer: Answer) -> Response:
    """Return the HTTP response that carries an answer.

    Its status follows from the result code, and its Retry-After header is in
    whole seconds, rounded up.
    """
    headers = {}
    if answer.retry_after_ms is not None:
        headers["retry-after"] = str(math.ceil(answer.retry_after_ms / 1000))
    return _json_response(ResultCode(answer.code).http_status, _answer_fields(answer), headers)


def error_response(error: ApricotError, *, key: str = "") -> Response:
    """Return the HTTP response for an error; its remedy is part of the message."""
    message = f"{error.message}: {error.remedy}" if error.remedy else error.message
    return answer_response(Answer(key=key, code=int(error.code), message=message))


def bearer_token(request: Request) -> str:
    """Return the bearer token of a request, empty if there is none."""
    scheme, _, token = request.headers.get("authorization", "").partition(" ")
    return token.strip() if scheme.lower() == "bearer" else ""


def _answer_fields(answer: Answer) -> dict[str, Any]:
    fields = attrs.asdict(answer, recurse=False)
    if answer.code:
        fields["meaning"] = ResultCode(answer.code).meaning.value
    return fields


def _json_response(
    status: int, fields: dict[str, Any], headers: dict[str, str] | None = None
) -> Response:
    return Response(
        msgspec.json.encode(fields),
        status_code=status,
        headers=headers,
        media_type="application/json",
    )


def _decode(decoder: msgspec.json.Decoder[Any], raw: bytes) -> Any:
    try:
        return decoder.decode(raw)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise ApricotError(
            ResultCode.MALFORMED,
            f"the request body cannot be decoded: {error}",
            remedy="see docs/api.md for the fields",
        ) from None


def _key_from_path(request: Request) -> str:
    key: str = request.path_params["key"]
    parse_key(key)
    return key


def _parse_wait_s(request: Request) -> float:
    text = request.query_params.get("wait_s", "0")
    try:
        wait_s = float(text)
    except ValueError:
        wait_s = math.nan
    if not 0 <= wait_s <= MAX_WAIT_S:
        raise ApricotError(
            ResultCode.MALFORMED,
            f"query parameter wait_s is {text[:32]!r}",
            remedy=f"give a number of seconds from 0 to {MAX_WAIT_S:g}",
        )
    return wait_s
