"""The operators' calls that evacuate a failure domain, and finish that."""

from __future__ import annotations

import uuid
from collections.abc import Awaitable, Callable

import logbook
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from apricotpoint._control.evacuation import describe, is_last_domain, make_order
from apricotpoint._core.codes import ResultCode
from apricotpoint._core.counters import Counters
from apricotpoint._core.errors import ApricotError
from apricotpoint._http.body import read_body
from apricotpoint._wire.configuration import Change, ChangeReply, Configuration

# Operators wait for an answer for 1 s and then send the order elsewhere, so an order that waited
# for longer may be older than one that is in force.
MAX_ORDER_AGE_S = 1.0
MAX_BODY_BYTES = 1024

_log = logbook.Logger("control")


def make_evacuation_routes(
    *,
    domains: Callable[[], list[str]],
    configuration: Callable[[], Configuration],
    change: Callable[[Change], Awaitable[ChangeReply]],
    unread_s: Callable[[tuple[str, int] | None], float],
    clock: Callable[[], float],
    wall_time: Callable[[], float],
    counters: Counters,
) -> list[Route]:
    """Return the routes of the calls that begin and finish the evacuation of a failure domain.

    `domains` returns all failure domains, `configuration` the committed one of this process,
    `unread_s` for how many seconds a request of a client that is read now may have waited for
    this process, and `clock` seconds that include those in which the machine was suspended.
    """

    async def take_order(request: Request, begin: bool) -> Response:
        sent_at = clock() - unread_s(request.client)
        domain = request.path_params["domain"]
        try:
            body = await read_body(request, max_bytes=MAX_BODY_BYTES)
        except ApricotError as error:
            return refuse(domain, begin, ResultCode.INVALID_COMMAND, 400, str(error))
        if body:
            reason = f"the order has a body of {len(body)} bytes; send it without one"
            return refuse(domain, begin, ResultCode.INVALID_COMMAND, 400, reason)
        if domain not in domains():
            reason = f"failure domain {domain!r} does not exist; use one of {', '.join(domains())}"
            return refuse(domain, begin, ResultCode.NOT_FOUND, 404, reason)
        # Includes the time since the head, and a pause during it.
        waited_s = max(clock() - sent_at, unread_s(request.client))
        if waited_s > MAX_ORDER_AGE_S:
            reason = f"the order may have waited for {waited_s:.3f} s before it was read"
            return refuse(domain, begin, ResultCode.NO_MAJORITY, 503, reason)
        order = make_order(
            configuration(),
            begin=begin,
            domain=domain,
            command_id=uuid.uuid4().hex,
            domains=domains(),
            ordered_at=wall_time(),
        )
        return respond(order, begin, await change(order))

    def respond(order: Change, begin: bool, reply: ChangeReply) -> Response:
        domain, evacuation = order.target, reply.evacuation
        if reply.code != ResultCode.ACCEPTED:
            is_last = begin and is_last_domain(configuration(), domain, domains())
            status = find_status(reply, is_last=is_last)
            return refuse(domain, begin, ResultCode(reply.code), status, reply.message)
        counters.add(f"control.evacuation_orders_{reply.code}")
        took_effect = evacuation is not None and evacuation.command_id == order.command_id
        _log.notice(
            "order to {} the evacuation of failure domain {} {}: {}",
            "begin" if begin else "finish",
            domain,
            "took effect" if took_effect else "was in effect already",
            describe(evacuation),
        )
        return JSONResponse(
            {
                "domain": domain,
                "evacuated": begin,
                "order": 0 if evacuation is None else evacuation.order,
                "command_id": "" if evacuation is None else evacuation.command_id,
            }
        )

    def refuse(domain: str, begin: bool, code: ResultCode, status: int, reason: str) -> Response:
        counters.add(f"control.evacuation_orders_{code}")
        _log.notice(
            "order to {} the evacuation of failure domain {!r} answered with status {}, code {}: "
            "{}",
            "begin" if begin else "finish",
            domain[:64],
            status,
            int(code),
            reason,
        )
        return JSONResponse({"code": int(code), "reason": reason}, status_code=status)

    async def begin_evacuation(request: Request) -> Response:
        return await take_order(request, True)

    async def finish_evacuation(request: Request) -> Response:
        return await take_order(request, False)

    return [
        Route("/evacuation/{domain}/begin", begin_evacuation, methods=["POST"]),
        Route("/evacuation/{domain}/finish", finish_evacuation, methods=["POST"]),
    ]


def find_status(reply: ChangeReply, *, is_last: bool) -> int:
    """Return the HTTP status of a reply to an order that was not accepted.

    `is_last` says whether no failure domain would be left by what this process knows. The order
    is sent again after all other refusals, which may pass: the order may have been accepted
    before, there may be no configuration yet, or the leader may be of a release without orders.
    """
    if reply.code == ResultCode.NOT_FOUND:
        return 404
    if reply.code == ResultCode.INVALID_COMMAND and reply.version and is_last:
        return 409
    return 503
