"""The HTTP API for callers of the platform, and the readiness check."""

from __future__ import annotations

import math
from collections.abc import Callable

import anyio
import anyio.lowlevel
import attrs
import logbook
from starlette.applications import Starlette
from starlette.exceptions import HTTPException
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route as HttpRoute

from apricotpoint._core.codes import ResultCode
from apricotpoint._core.counters import Counters
from apricotpoint._core.errors import ApricotError
from apricotpoint._http.body import read_body
from apricotpoint._pool.routing import Route, Routing
from apricotpoint._pool.service import PoolService
from apricotpoint._wire.pool import PoolAnswer, PoolJob
from apricotpoint.platform.jobs import decode_job, encode_answer

DEADLINE_HEADER = "apricotpoint-deadline-ms"
# How long a request waits for the first configuration: after all processes were lost, the
# control processes elect a leader within 1 s.
CONFIGURATION_WAIT_S, CONFIGURATION_POLL_S = 1.0, 0.02
# Sent to callers as retry-after by a process without a configuration.
NO_CONFIGURATION_RETRY_AFTER_S = 1.0
# Passes of the event loop from the last bytes of a request to the end of its connection, if both
# have arrived together: the caller has left while its request was on the way.
DISCONNECT_PASSES = 6
# Time for the answers to the jobs that are cancelled as the process ends; other processes may run
# them.
END_TIMEOUT_S, END_POLL_S = 0.3, 0.01
# Sent to callers as retry-after by a process that stops; the least that the header can say, as
# other processes serve callers.
STOPPING_RETRY_AFTER_S = 1.0

_log = logbook.Logger("callers")


@attrs.define(eq=False)
class _OpenRequest:
    """A request without an answer; `job` is set as soon as tasks of its job may start."""

    scope: anyio.CancelScope = attrs.Factory(anyio.CancelScope)
    job: PoolJob | None = None


class CallerInterface:
    """Serves the requests of callers, each of which gets an answer with a code or a reason.

    `pending` returns the number of jobs of a route of which no task has started, `remaining_s` for
    how many seconds this process still runs jobs, infinity before it is stopped, and `unread_s`
    for how many seconds a request that is read now may have waited for this process. `clock`
    returns seconds that include those in which the machine was suspended, and `remote_penalty` the
    factor by which a task takes longer away from its data.
    """

    def __init__(
        self,
        service: PoolService,
        *,
        routing: Callable[[], Routing],
        pending: Callable[[str], int],
        counters: Counters,
        remaining_s: Callable[[], float],
        unread_s: Callable[[tuple[str, int] | None], float],
        clock: Callable[[], float],
        remote_penalty: Callable[[], float] = lambda: 1.0,
    ) -> None:
        self._service = service
        self._routing = routing
        self._pending = pending
        self._counters = counters
        self._remaining_s = remaining_s
        self._unread_s = unread_s
        self._clock = clock
        self._remote_penalty = remote_penalty
        self._open_requests: set[_OpenRequest] = set()

    @property
    def open_requests(self) -> int:
        """Number of the requests that have no answer yet."""
        return len(self._open_requests)

    def make_app(self) -> Starlette:
        """Return the ASGI app that serves callers."""
        methods = ["GET", "POST", "DELETE"]
        return Starlette(
            routes=[HttpRoute("/{path:path}", self._handle, methods=methods)],
            exception_handlers={HTTPException: _respond_to_http_error},
        )

    async def end_open_requests(self) -> None:
        """Answer all open requests before the process ends; takes up to `END_TIMEOUT_S`.

        Their jobs are cancelled. Without a final answer of the process that runs a job, the answer
        is that the job may have run. Later requests are refused, as no time remains for them.
        """
        if self._open_requests:
            _log.notice("{} open requests are ended", self.open_requests)
        for open_request in list(self._open_requests):
            job = open_request.job
            if job is None:
                open_request.scope.cancel()
            else:
                self._service.cancel(job.job_id, job.attempt, "this process is shutting down")
        with anyio.move_on_after(END_TIMEOUT_S):
            while self._open_requests:  # noqa: ASYNC110 - at most 0.3 s, at the end of a process
                await anyio.sleep(END_POLL_S)
        for open_request in list(self._open_requests):
            open_request.scope.cancel()

    async def _handle(self, request: Request) -> Response:
        open_request = _OpenRequest()
        self._open_requests.add(open_request)
        try:
            with open_request.scope:
                response = await self._respond(request, open_request)
            if open_request.scope.cancelled_caught:
                response = encode_response(self._ended_answer(open_request))
        except Exception:
            self._counters.add("callers.internal_errors")
            _log.exception(
                "unexpected error while {} {} is handled", request.method, request.url.path
            )
            response = encode_response(self._failed_answer(open_request))
        finally:
            self._open_requests.discard(open_request)
        if self._remaining_s() < math.inf:
            # Makes the load balancer open its next connection to another process.
            response.headers["connection"] = "close"
        return response

    def _ended_answer(self, open_request: _OpenRequest) -> PoolAnswer:
        self._counters.add("callers.ended")
        if open_request.job is None:
            return _make_stopping_answer()
        return PoolAnswer(
            int(ResultCode.COORDINATOR_UNREACHABLE),
            "this process ends before its job, of which tasks may have started",
        )

    def _failed_answer(self, open_request: _OpenRequest) -> PoolAnswer:
        """Return the answer after an unexpected error, and cancel the job that may have started.

        It has a status with which callers send the job again, beside which no task may be left.
        """
        job = open_request.job
        if job is not None:
            self._service.cancel(job.job_id, job.attempt, "unexpected error")
        return PoolAnswer(
            int(ResultCode.COORDINATOR_UNREACHABLE), "internal error of the entry process"
        )

    async def _respond(self, request: Request, open_request: _OpenRequest) -> Response:
        sent_at = self._clock() - self._unread_s(request.client)
        routing = await self._wait_for_routing()
        if not routing.version:
            body = await read_body(request, max_bytes=routing.max_body_bytes)
            answer = PoolAnswer(
                int(ResultCode.UNKNOWN_SERVICE),
                "no configuration was received yet",
                NO_CONFIGURATION_RETRY_AFTER_S,
            )
            _log.notice("request of {} bytes refused: no configuration was received yet", len(body))
            return encode_response(answer)
        host = request.headers.get("host", "").partition(":")[0]
        route = routing.find(host, request.url.path)
        try:
            body = await read_body(request, max_bytes=routing.max_body_bytes)
            if route is None:
                self._counters.add("callers.no_route")
                reason = (
                    f"no route for {host}{request.url.path} "
                    f"in configuration version {routing.version}"
                )
                return JSONResponse({"reason": reason}, status_code=404)
            job_id = request.url.path[len(route.prefix) :]
            if request.method == "POST":
                job = decode_job(
                    job_id,
                    body,
                    route=route,
                    deadline_s=parse_deadline_s(request),
                    remote_penalty=self._remote_penalty(),
                )
                if job.caller_deadline_s is not None and job.caller_deadline_s > route.timeout_s:
                    self._counters.add("callers.deadlines_above_timeout")
                # Includes the time since the head, and a pause during it.
                waited_s = max(self._clock() - sent_at, self._unread_s(request.client))
                job = attrs.evolve(job, elapsed_s=job.elapsed_s + waited_s)
                return encode_response(await self._submit(request, job, open_request))
        except ApricotError as error:
            self._counters.add("callers.malformed")
            _log.notice("request for {} refused: {}", request.url.path, error)
            return encode_response(PoolAnswer(int(error.code), str(error)))
        return self._respond_about_job(request.method, job_id, route)

    async def _wait_for_routing(self) -> Routing:
        """Return the routes, waiting for the first configuration after the start of the process."""
        with anyio.move_on_after(CONFIGURATION_WAIT_S):
            while not self._routing().version:  # noqa: ASYNC110 - at most 1 s, after a start
                await anyio.sleep(CONFIGURATION_POLL_S)
        return self._routing()

    def _respond_about_job(self, method: str, job_id: str, route: Route) -> Response:
        if method == "GET" and not job_id:
            return JSONResponse({"pending": self._pending(route.name)})
        if not self._service.is_running(job_id):
            return JSONResponse({"reason": f"no job with id {job_id}"}, status_code=410)
        if method == "DELETE":
            self._service.cancel(job_id)
            return JSONResponse({"state": "cancelled"})
        return JSONResponse({"state": "running"})

    async def _submit(
        self, request: Request, job: PoolJob, open_request: _OpenRequest
    ) -> PoolAnswer:
        """Run a job, and cancel it if its caller disconnects before it has ended."""
        if job.elapsed_s >= job.deadline_s:
            self._counters.add("callers.outdated")
            return PoolAnswer(
                int(ResultCode.DEADLINE_BEFORE_START),
                f"the request may have waited for {job.elapsed_s:.3f} s before it was read",
            )
        remaining_s = self._remaining_s()
        if remaining_s <= job.estimate_s:
            self._counters.add("callers.refused_stopping")
            return _make_stopping_answer()
        job = attrs.evolve(
            job,
            attempt=self._service.new_attempt(),
            # Answers the job before the process ends, if it runs longer than estimated.
            deadline_s=min(job.deadline_s, job.elapsed_s + remaining_s),
        )
        answer = PoolAnswer(int(ResultCode.CANCELLED_BEFORE_START), "the caller has disconnected")
        async with anyio.create_task_group() as group:
            left = anyio.Event()

            async def cancel_on_disconnect() -> None:
                while (await request.receive())["type"] != "http.disconnect":
                    pass
                self._counters.add("callers.left")
                left.set()
                self._service.cancel(job.job_id, job.attempt)

            group.start_soon(cancel_on_disconnect)
            for _ in range(DISCONNECT_PASSES):
                await anyio.lowlevel.checkpoint()
            if not left.is_set():
                open_request.job = job
                answer = await self._service.submit(job)
            group.cancel_scope.cancel()
        return answer


def make_readiness_app(ready: Callable[[], bool], *others: HttpRoute) -> Starlette:
    """Return the ASGI app that tells the load balancer whether to open connections.

    It also serves `others`, which callers do not reach.
    """

    async def readiness(_: Request) -> Response:
        return Response(status_code=200 if ready() else 503)

    return Starlette(routes=[HttpRoute("/readiness", readiness, methods=["GET"]), *others])


def _make_stopping_answer() -> PoolAnswer:
    return PoolAnswer(
        int(ResultCode.DRAINING), "this process is shutting down", STOPPING_RETRY_AFTER_S
    )


async def _respond_to_http_error(request: Request, error: Exception) -> Response:
    assert isinstance(error, HTTPException)
    reason = f"{request.method} {request.url.path}: {error.detail}"
    content = {"code": int(ResultCode.MALFORMED), "reason": reason}
    return JSONResponse(content, status_code=error.status_code, headers=error.headers)


def parse_deadline_s(request: Request) -> float | None:
    """Return how long the caller waits, None if it gives no deadline.

    Raises `ApricotError` with code 2101 for a malformed header.
    """
    text = request.headers.get(DEADLINE_HEADER)
    if text is None:
        return None
    try:
        deadline_ms = float(text)
    except ValueError:
        deadline_ms = -1.0
    if not 0 < deadline_ms < float("inf"):
        raise ApricotError(
            ResultCode.MALFORMED,
            f"the header {DEADLINE_HEADER} has the invalid value {text!r}",
            remedy="send a positive number of milliseconds",
        )
    return deadline_ms / 1000


def encode_response(answer: PoolAnswer) -> Response:
    """Return the HTTP response to a job with this answer."""
    status, body, headers = encode_answer(answer)
    return JSONResponse(body, status_code=status, headers=headers)
