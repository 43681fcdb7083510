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
from apricotpoint._core.errors import DECODE_ERRORS, ApricotError
from apricotpoint._core.secrets import Secrets
from apricotpoint._http.body import read_body
from apricotpoint._http.callers import bearer_token, error_response
from apricotpoint._wire.announce import Announcement, AnnouncementReply

MAX_ANNOUNCEMENT_BYTES = 1 << 14
# The lease holder keeps a list of the free slots in each binding pass.
MAX_SLOTS = 10_000
MAX_SIZE = 1 << 40

_DECODER = msgspec.json.Decoder(Announcement)


class AnnouncementReceiver(Protocol):
    """What the announcement API needs from the lease holder."""

    def handle_announcement(
        self, announcement: Announcement
    ) -> AnnouncementReply | Awaitable[AnnouncementReply]:
        """Handle an announcement and name the holder for the next one."""


def make_app(holder: AnnouncementReceiver, *, secrets: Secrets, counters: Counters) -> Starlette:
    """Return the ASGI app that receives announcements; see `docs/api.md`."""

    async def announce(request: Request) -> Response:
        counters.add("announcements.received")
        try:
            if not secrets.is_internal(bearer_token(request)):
                raise ApricotError(ResultCode.NOT_AUTHORISED, "no valid internal key")
            raw = await read_body(request, max_bytes=MAX_ANNOUNCEMENT_BYTES)
            try:
                announcement = _DECODER.decode(raw)
            except DECODE_ERRORS as error:
                raise ApricotError(ResultCode.MALFORMED, f"body: {error}") from None
            _check(announcement)
        except ApricotError as error:
            counters.add("announcements.refused")
            return error_response(error)
        reply = holder.handle_announcement(announcement)
        if inspect.isawaitable(reply):
            reply = await reply
        return Response(msgspec.json.encode(reply), media_type="application/json")

    return Starlette(routes=[Route("/v1/announcements", announce, methods=["POST"])])


def _check(said: Announcement) -> None:
    """Raise `ApricotError` with code 2101 for sizes and names that cannot be."""
    limits = {"slots": MAX_SLOTS}
    for field in ("slots", "connections", "cores", "memory_mb", "accelerators", "running"):
        value, limit = getattr(said, field), limits.get(field, MAX_SIZE)
        if not 0 <= value <= limit:
            raise ApricotError(
                ResultCode.MALFORMED, f"{field} is {value}", remedy=f"announce 0 to {limit}"
            )
    for field in ("backend_id", "service", "failure_domain", "address"):
        if not getattr(said, field):
            raise ApricotError(
                ResultCode.MALFORMED, f"{field} is empty", remedy="announce a value for it"
            )
