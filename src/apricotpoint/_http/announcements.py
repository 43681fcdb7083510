"""The announcement API for backend servers."""

from __future__ import annotations

import inspect
from collections.abc import Awaitable
from typing import Protocol

import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from apricotpoint._core.codes import ResultCode
from apricotpoint._core.counters import Counters
from apricotpoint._core.errors import ApricotError
from apricotpoint._core.secrets import Secrets
from apricotpoint._http.body import read_body
from apricotpoint._http.callers import bearer_token, error_response
from apricotpoint._wire.announce import Announcement, AnnouncementReply

MAX_ANNOUNCEMENT_BYTES = 1 << 14

_DECODER = msgspec.json.Decoder(Announcement)


class Holder(Protocol):
    """What the announcement API needs from the lease holder."""

    def announce(
        self, announcement: Announcement
    ) -> AnnouncementReply | Awaitable[AnnouncementReply]:
        """Handle an announcement and name the holder for the next one."""


def make_app(holder: Holder, *, secrets: Secrets, counters: Counters) -> Starlette:
    """Return the ASGI app that receives announcements; see `docs/api.md`."""

    async def announce(request: Request) -> Response:
        counters.add("announcements.received")
        try:
            if not secrets.is_internal(bearer_token(request)):
                raise ApricotError(ResultCode.NOT_AUTHORISED, "no valid internal key")
            raw = await read_body(request, max_bytes=MAX_ANNOUNCEMENT_BYTES)
            try:
                announcement = _DECODER.decode(raw)
            except msgspec.MsgspecError as error:
                raise ApricotError(ResultCode.MALFORMED, f"body: {error}") from None
        except ApricotError as error:
            counters.add("announcements.refused")
            return error_response(error)
        reply = holder.announce(announcement)
        if inspect.isawaitable(reply):
            reply = await reply
        return Response(msgspec.json.encode(reply), media_type="application/json")

    return Starlette(routes=[Route("/v1/announcements", announce, methods=["POST"])])
