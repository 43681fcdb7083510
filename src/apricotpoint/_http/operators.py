"""HTTP API for operators."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from apricotpoint._core.codes import ResultCode
from apricotpoint._core.errors import ApricotError
from apricotpoint._operator.executor import CommandExecutor
from apricotpoint._operator.results import to_json

MAX_BODY_BYTES = 128 * 1024

Endpoint = Callable[[Request], Awaitable[Response]]


@attrs.frozen
class CommandRequest:
    """Body of `POST /v1/command`."""

    text: str
    command_id: str | None = None


def make_app(
    commands: CommandExecutor,
    *,
    is_operator: Callable[[str], bool],
    counters: Callable[[], dict[str, float]],
    health: Callable[[], dict[str, Any]],
) -> Starlette:
    """Return the operator API.

    `is_operator` checks a bearer token. `/v1/health` needs no token, because a
    load balancer asks it.
    """

    def guarded(endpoint: Endpoint) -> Endpoint:
        async def guard(request: Request) -> Response:
            try:
                _check_token(request, is_operator)
                return await endpoint(request)
            except ApricotError as error:
                content = {
                    "code": int(error.code),
                    "meaning": error.code.meaning.value,
                    "message": error.message,
                    "remedy": error.remedy,
                }
                return _respond(content, error.code.http_status)

        return guard

    async def run_command(request: Request) -> Response:
        body = _decode(await _read_body(request))
        result = await commands.run(body.text, body.command_id)
        return _respond(to_json(result), result.code.http_status)

    async def show_dump(_: Request) -> Response:
        return _respond(commands.dump())

    async def show_counters(_: Request) -> Response:
        return _respond(counters())

    async def show_health(_: Request) -> Response:
        return _respond(health())

    return Starlette(
        routes=[
            Route("/v1/command", guarded(run_command), methods=["POST"]),
            Route("/v1/dump", guarded(show_dump), methods=["GET"]),
            Route("/v1/counters", guarded(show_counters), methods=["GET"]),
            Route("/v1/health", show_health, methods=["GET"]),
        ]
    )


def _respond(content: object, status: int = 200) -> Response:
    return Response(msgspec.json.encode(content), status, media_type="application/json")


def _check_token(request: Request, is_operator: Callable[[str], bool]) -> None:
    scheme, _, token = request.headers.get("authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not is_operator(token.strip()):
        raise ApricotError(
            ResultCode.NOT_AUTHORISED,
            "the request has no valid operator token",
            remedy="send the header 'Authorization: Bearer <operator token>'",
        )


async def _read_body(request: Request) -> bytes:
    body = bytearray()
    async for chunk in request.stream():
        body += chunk
        if len(body) > MAX_BODY_BYTES:
            raise ApricotError(
                ResultCode.TOO_LARGE,
                f"the body has more than {MAX_BODY_BYTES} bytes",
                remedy="send a shorter command",
            )
    return bytes(body)


def _decode(body: bytes) -> CommandRequest:
    try:
        return msgspec.json.decode(body, type=CommandRequest)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        raise ApricotError(
            ResultCode.MALFORMED,
            f"the body is not a command: {error}",
            remedy='send JSON such as {"text": "show jobs", "command_id": "a1"}',
        ) from error
