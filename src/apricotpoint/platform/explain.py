"""Explains jobs to operators, on the address of the readiness check, which callers do not reach."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route as HttpRoute

from apricotpoint._core.codes import ResultCode
from apricotpoint._core.errors import ApricotError
from apricotpoint._http.body import read_body
from apricotpoint._pool.explainer import Explainer
from apricotpoint._pool.routing import Routing
from apricotpoint._wire.pool import PoolAnswer
from apricotpoint.platform.callers import encode_response, parse_deadline_s
from apricotpoint.platform.jobs import decode_job

PREFIX = "/explain"


def make_explain_route(
    explainer: Explainer, *, routing: Callable[[], Routing], remote_penalty: Callable[[], float]
) -> HttpRoute:
    """Return the route `POST /explain/PATH`, which explains the job that `POST /PATH` would send.

    The header "host" and the body are those of the job; what is wrong with them gets the answer
    that the job would get.
    """

    async def explain(request: Request) -> Response:
        routes = routing()
        host = request.headers.get("host", "").partition(":")[0]
        path = request.url.path.removeprefix(PREFIX)
        route = routes.find(host, path)
        try:
            body = await read_body(request, max_bytes=routes.max_body_bytes)
            if not routes.version:
                reason = "no configuration was received yet"
                return encode_response(PoolAnswer(int(ResultCode.UNKNOWN_SERVICE), reason, 1.0))
            if route is None:
                reason = f"no route for {host}{path} in configuration version {routes.version}"
                return JSONResponse({"reason": reason}, status_code=404)
            job = decode_job(
                path[len(route.prefix) :],
                body,
                route=route,
                deadline_s=parse_deadline_s(request),
                remote_penalty=remote_penalty(),
            )
            explanation = await explainer.explain(job)
        except ApricotError as error:
            return encode_response(PoolAnswer(int(error.code), str(error), 1.0))
        # Predicted times without any room are infinite, which this writes as null.
        return Response(msgspec.json.encode(explanation), media_type="application/json")

    return HttpRoute(PREFIX + "/{path:path}", explain, methods=["POST"])
