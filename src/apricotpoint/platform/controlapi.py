"""The HTTP API of the control program for workers and operators of the platform."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence

import logbook
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from apricotpoint._control.state import REPLACE_DOCUMENT
from apricotpoint._core.codes import ResultCode
from apricotpoint._core.counters import Counters
from apricotpoint._core.errors import ApricotError
from apricotpoint._http.body import read_body
from apricotpoint._pool.holders.relay import AnnouncementRelay
from apricotpoint._wire.configuration import Change, ChangeReply, Document
from apricotpoint.platform.configuration import decode_document
from apricotpoint.platform.heartbeats import check_plausible, decode_heartbeat

MAX_HEARTBEAT_BYTES = 1 << 18
MAX_DOCUMENT_BYTES = 1 << 26

_log = logbook.Logger("control")


def make_control_app(
    *,
    relay: AnnouncementRelay,
    change: Callable[[Change], Awaitable[ChangeReply]],
    document: Callable[[], Awaitable[Document | None]],
    counters: Counters,
    wall_time: Callable[[], float],
    evacuation_routes: Sequence[Route] = (),
) -> Starlette:
    """Return the ASGI app for workers and operators.

    `change` commits a change of the configuration; `document` returns the latest
    document, None if it cannot be determined; `wall_time` returns the wall-clock time in seconds.
    `evacuation_routes` are those of orders for failure domains, none where they are not supported.
    """

    async def heartbeat(request: Request) -> Response:
        worker_id = request.path_params["worker_id"]
        try:
            body = await read_body(request, max_bytes=MAX_HEARTBEAT_BYTES)
            announcement = decode_heartbeat(worker_id, body)
            check_plausible(announcement, wall_time())
        except ApricotError as error:
            counters.add("control.heartbeats_refused")
            _log.notice("heartbeat refused: {}", error)
            return JSONResponse({"reason": str(error)}, status_code=error.code.http_status)
        counters.add("control.heartbeats")
        relay.announce(announcement)
        return JSONResponse({})

    async def deregister(request: Request) -> Response:
        relay.unregister(request.path_params["worker_id"])
        return JSONResponse({})

    async def replace_configuration(request: Request) -> Response:
        try:
            body = await read_body(request, max_bytes=MAX_DOCUMENT_BYTES)
            received_document = decode_document(body)
        except ApricotError as error:
            counters.add("control.documents_refused")
            _log.notice("configuration refused: {}", error)
            return JSONResponse({"reason": str(error)}, status_code=400)
        reply = await change(
            Change(
                command_id=f"document-{received_document.version}",
                base_version=0,
                action=REPLACE_DOCUMENT,
                target="document",
                arguments={"version": received_document.version, "text": received_document.text},
            )
        )
        accepted = reply.code == ResultCode.ACCEPTED
        _log.info(
            "change to configuration version {} answered with code {}: {}",
            received_document.version,
            reply.code,
            reply.message,
        )
        if accepted:
            return JSONResponse({"version": received_document.version})
        return JSONResponse({"code": reply.code, "reason": reply.message}, status_code=503)

    async def read_configuration(_: Request) -> Response:
        latest = await document()
        if latest is None:
            return JSONResponse(
                {"reason": "the latest configuration cannot be determined"}, status_code=503
            )
        if not latest.version:
            return JSONResponse({"reason": "no configuration was sent yet"}, status_code=503)
        return Response(latest.text, media_type="application/json")

    async def not_supported(request: Request) -> Response:
        reason = f"{request.url.path} is not supported"
        _log.notice("request refused: {}", reason)
        return JSONResponse({"reason": reason}, status_code=501)

    return Starlette(
        routes=[
            Route("/instances/{worker_id}/heartbeat", heartbeat, methods=["POST"]),
            Route("/instances/{worker_id}/deregister", deregister, methods=["POST"]),
            Route("/config/replace", replace_configuration, methods=["POST"]),
            Route("/config/read", read_configuration, methods=["GET"]),
            *evacuation_routes,
            Route("/{path:path}", not_supported, methods=["GET", "POST"]),
        ]
    )
