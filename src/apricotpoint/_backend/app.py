"""The HTTP interface of a simulated backend server."""

from __future__ import annotations

from typing import Any

import anyio
import attrs
import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route
from starlette.types import Receive, Scope, Send

from apricotpoint._backend.runner import ResultStream, Runner
from apricotpoint._backend.settings import Behaviour
from apricotpoint._core.errors import ApricotError
from apricotpoint._http.backends import CancelBody, StartsBody
from apricotpoint._http.body import read_body
from apricotpoint._http.callers import error_response
from apricotpoint._wire.announce import GuardState

# An empty line is sent if no run of a request has ended for this time.
KEEPALIVE_INTERVAL_S = 0.5
MAX_BODY_BYTES = 64 << 20

_RESPONSE_START = {
    "type": "http.response.start",
    "status": 200,
    "headers": [(b"content-type", b"application/x-ndjson")],
}
_STARTS_DECODER = msgspec.json.Decoder(StartsBody)
_CANCEL_DECODER = msgspec.json.Decoder(CancelBody)


def make_app(runner: Runner, *, incarnation: int) -> Starlette:
    """Return the ASGI app; see `docs/api.md` for the protocol."""
    behaviour = runner.settings.behaviour
    ledger = runner.ledger

    async def show_result(request: Request) -> Response:
        await _wait_while_silent(behaviour)
        return _json(runner.result(request.path_params["start_id"]))

    async def cancel(request: Request) -> Response:
        await _wait_while_silent(behaviour)
        try:
            raw = await read_body(request, max_bytes=MAX_BODY_BYTES)
            runner.cancel(_CANCEL_DECODER.decode(raw).start_ids)
        except ApricotError as error:
            return error_response(error)
        except msgspec.MsgspecError as error:
            return Response(f"request body is not valid: {error}", status_code=400)
        return _json({})

    def show_ledger(request: Request) -> Response:
        tasks = {"tasks": ledger.tasks()} if "tasks" in request.query_params else {}
        return _json(ledger.report() | tasks | {"running": runner.running()})

    async def change_behaviour(request: Request) -> Response:
        raw = await read_body(request, max_bytes=MAX_BODY_BYTES)
        try:
            changed = msgspec.json.decode(raw, type=dict[str, Any])
            current = msgspec.to_builtins(behaviour)
            new = msgspec.convert(current | changed, Behaviour)
            attrs.validate(new)
        except (msgspec.MsgspecError, ValueError) as error:
            return Response(f"request body is not valid: {error}", status_code=400)
        for name in changed.keys() & current.keys():
            setattr(behaviour, name, getattr(new, name))
        if behaviour.guard is GuardState.STOP:
            runner.stop_all()
        return _json(behaviour)

    return Starlette(
        routes=[
            Route("/v1/starts", _StartsEndpoint(runner, incarnation), methods=["POST"]),
            Route("/v1/starts/cancel", cancel, methods=["POST"]),
            Route("/v1/starts/{start_id:path}", show_result, methods=["GET"]),
            Route("/v1/ledger", show_ledger, methods=["GET"]),
            Route("/v1/behaviour", change_behaviour, methods=["POST"]),
        ]
    )


class _StartsEndpoint:
    """POST /v1/starts; a plain ASGI app, so that it can count results nobody received."""

    def __init__(self, runner: Runner, incarnation: int) -> None:
        self._runner = runner
        self._incarnation = incarnation

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        try:
            raw = await read_body(Request(scope, receive), max_bytes=MAX_BODY_BYTES)
            body = _STARTS_DECODER.decode(raw)
        except ApricotError as error:
            await error_response(error)(scope, receive, send)
            return
        except msgspec.MsgspecError as error:
            await Response(f"request body is not valid: {error}", status_code=400)(
                scope, receive, send
            )
            return
        if body.incarnation == self._incarnation:
            stream = self._runner.begin(body.starts)
        else:
            stream = None
            self._runner.ledger.refused += len(body.starts)
        if stream is None:
            await Response(status_code=503)(scope, receive, send)
            return
        await self._stream(stream, receive, send)

    async def _stream(self, stream: ResultStream, receive: Receive, send: Send) -> None:
        async def cancel_on_disconnect() -> None:
            while (await receive())["type"] != "http.disconnect":
                pass
            group.cancel_scope.cancel()

        behaviour = self._runner.settings.behaviour
        untaken = stream.running
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(cancel_on_disconnect)
                await _wait_while_silent(behaviour)
                await send(_RESPONSE_START)
                has_more = True
                while has_more:
                    with anyio.move_on_after(KEEPALIVE_INTERVAL_S):
                        await stream.changed.wait()
                    await _wait_while_silent(behaviour)
                    results = stream.take()
                    lines = b"".join(msgspec.json.encode(item) + b"\n" for item in results)
                    has_more = stream.running > 0
                    if not has_more:
                        # hypercorn also reports a disconnect at the end of the
                        # response, after the last result was sent.
                        untaken = 0
                    await send(
                        {
                            "type": "http.response.body",
                            "body": lines or b"\n",
                            "more_body": has_more,
                        }
                    )
                    untaken -= min(untaken, len(results))
                group.cancel_scope.cancel()
        finally:
            self._runner.ledger.untaken += untaken


async def _wait_while_silent(behaviour: Behaviour) -> None:
    while behaviour.silent:  # noqa: ASYNC110  # `Behaviour` has no event to wait for.
        await anyio.sleep(0.05)


def _json(value: object) -> Response:
    return Response(msgspec.json.encode(value), media_type="application/json")
