"""HTTP API for operators: commands, state dump, counters and health."""

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

_Handler = Callable[[Request], Awaitable[Response]]


@attrs.frozen
class CommandRequest:
    """Body of `POST /v1/command`.

    `command_id` identifies a command that is sent again, so that no change is made twice.
    """

    text: str
    command_id: str | None = None


def make_app(
    commands: CommandExecutor,
    *,
    is_operator: Callable[[str], bool],
    counters: Callable[[], dict[str, float]],
    health: Callable[[], dict[str, Any]],
) -> Starlette:
    """Return the ASGI app of the operator API.

    `is_operator` returns whether a bearer token is that of an operator.
    `/v1/health` needs no token, because load balancers query it.
    """

    def operators_only(handler: _Handler) -> _Handler:
        async def handle(request: Request) -> Response:
            try:
                _check_token(request, is_operator)
                return await handler(request)
            except ApricotError as error:
                content = {
                    "code": int(error.code),
                    "meaning": error.code.meaning.value,
                    "message": error.message,
                    "remedy": error.remedy,
                }
                return _json_response(content, error.code.http_status)

        return handle

    async def run_command(request: Request) -> Response:
        body = _decode(await _read_body(request))
        result = await commands.run(body.text, body.command_id)
        return _json_response(to_json(result), result.code.http_status)

    async def show_dump(_: Request) -> Response:
        return _json_response(commands.dump())

    async def show_counters(_: Request) -> Response:
        return _json_response(counters())

    async def show_health(_: Request) -> Response:
        return _json_response(health())

    return Starlette(
        routes=[
            Route("/v1/command", operators_only(run_command), methods=["POST"]),
            Route("/v1/dump", operators_only(show_dump), methods=["GET"]),
            Route("/v1/counters", operators_only(show_counters), methods=["GET"]),
            Route("/v1/health", show_health, methods=["GET"]),
        ]
    )


def _json_response(content: object, status: int = 200) -> Response:
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
                f"the request body has more than {MAX_BODY_BYTES} bytes",
                remedy="send a shorter command",
            )
    return bytes(body)


def _decode(body: bytes) -> CommandRequest:
    try:
        return msgspec.json.decode(body, type=CommandRequest)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        raise ApricotError(
            ResultCode.MALFORMED,
            f"the request body is not a command: {error}",
            remedy='send JSON such as {"text": "show jobs", "command_id": "a1"}',
        ) from error
