"""HTTP API to which backend servers send their announcements."""

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
# Each binding pass of the lease holder lists the free slots one by one, so the
# number that a backend server may announce is bounded.
MAX_SLOTS = 10_000
MAX_FIELD_VALUE = 1 << 40
# Messages carry integers of up to 64 bits.
MAX_NUMBER = (1 << 63) - 1

_DECODER = msgspec.json.Decoder(Announcement)


class AnnouncementReceiver(Protocol):
    """Interface of the lease holder that the announcement API uses."""

    def handle_announcement(
        self, announcement: Announcement
    ) -> AnnouncementReply | Awaitable[AnnouncementReply]:
        """Process an announcement; return the lease holder to name in the next one."""


def make_app(holder: AnnouncementReceiver, *, secrets: Secrets, counters: Counters) -> Starlette:
    """Return the ASGI app that receives announcements; see `docs/api.md`.

    Each request needs an internal key of `secrets` as bearer token.
    """

    async def receive(request: Request) -> Response:
        counters.add("announcements.received")
        try:
            if not secrets.is_internal(bearer_token(request)):
                raise ApricotError(
                    ResultCode.NOT_AUTHORISED, "the request has no valid internal key"
                )
            raw = await read_body(request, max_bytes=MAX_ANNOUNCEMENT_BYTES)
            try:
                announcement = _DECODER.decode(raw)
            except DECODE_ERRORS as error:
                raise ApricotError(
                    ResultCode.MALFORMED, f"the request body cannot be decoded: {error}"
                ) from None
            _check_ranges(announcement)
        except ApricotError as error:
            counters.add("announcements.refused")
            return error_response(error)
        reply = holder.handle_announcement(announcement)
        if inspect.isawaitable(reply):
            reply = await reply
        return Response(msgspec.json.encode(reply), media_type="application/json")

    return Starlette(routes=[Route("/v1/announcements", receive, methods=["POST"])])


def _check_ranges(announcement: Announcement) -> None:
    """Raise `ApricotError` with code 2101 for numbers out of range and empty names."""
    numbers = ("incarnation", "sequence", "holder_since")
    limits = {"slots": MAX_SLOTS} | dict.fromkeys(numbers, MAX_NUMBER)
    sizes = ("slots", "connections", "cores", "memory_mb", "accelerators", "running")
    for field in (*sizes, *numbers):
        value, limit = getattr(announcement, field), limits.get(field, MAX_FIELD_VALUE)
        if not 0 <= value <= limit:
            raise ApricotError(
                ResultCode.MALFORMED,
                f"{field} is {value}, allowed are 0 to {limit}",
                remedy=f"announce 0 to {limit}",
            )
    if announcement.holder is not None and not 0 <= announcement.holder.incarnation <= MAX_NUMBER:
        raise ApricotError(
            ResultCode.MALFORMED,
            f"holder.incarnation is {announcement.holder.incarnation}, "
            f"allowed are 0 to {MAX_NUMBER}",
            remedy="announce the incarnation that the last reply has named",
        )
    for field in ("backend_id", "service", "failure_domain", "address"):
        if not getattr(announcement, field):
            raise ApricotError(
                ResultCode.MALFORMED, f"{field} is empty", remedy=f"announce a non-empty {field}"
            )
