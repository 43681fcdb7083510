"""Requests of callers that have waited, or whose callers have left, before they are read."""

from __future__ import annotations

import json
import math
from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from apricotpoint._core.counters import Counters
from apricotpoint._pool.routing import Route, Routing
from apricotpoint._wire.pool import PoolAnswer, PoolJob
from apricotpoint.platform.callers import DEADLINE_HEADER, CallerInterface

ROUTE = Route("check", "desk.example", "/check/", "desk", 1.5, 0.06, 1.6, 0, 2)
JOB = {
    "spec": "",
    "best_effort": True,
    "phases": [{"count": 1, "cpu": 500, "requested_memory_mb": 64, "estimated_duration_ms": 200}],
}
# Time that passes with each look for a configuration.
POLL_S = 0.1


class FakeService:
    """Stands in for `PoolService`; answers each job as complete."""

    def __init__(self) -> None:
        self.submitted: list[PoolJob] = []
        self.cancelled: list[tuple[str, int]] = []

    def new_attempt(self) -> int:
        """Return the number of the next attempt."""
        return len(self.submitted) + 1

    async def submit(self, job: PoolJob) -> PoolAnswer:
        """Record a job and answer it."""
        self.submitted.append(job)
        return PoolAnswer(1000)

    def cancel(self, job_id: str, attempt: int = 0) -> None:
        """Record a cancellation."""
        self.cancelled.append((job_id, attempt))


async def post_job(
    service: FakeService,
    *,
    unread_s: float = 0.0,
    leaves: bool = False,
    polls_without_configuration: int = 0,
    deadline_ms: int | None = None,
    counters: Counters | None = None,
) -> list[dict[str, Any]]:
    polls = 0

    def routing() -> Routing:
        nonlocal polls
        polls += 1
        return Routing(1, [ROUTE]) if polls > polls_without_configuration else Routing()

    callers = CallerInterface(
        service,  # type: ignore[arg-type]
        routing=routing,
        pending=lambda _: 0,
        counters=counters or Counters(),
        remaining_s=lambda: math.inf,
        unread_s=lambda _: unread_s,
        clock=lambda: min(polls, polls_without_configuration) * POLL_S,
    )
    sent: list[dict[str, Any]] = []
    received = [{"type": "http.request", "body": json.dumps(JOB).encode(), "more_body": False}]

    async def receive() -> dict[str, Any]:
        if received:
            return received.pop()
        if leaves:
            return {"type": "http.disconnect"}
        await anyio.sleep_forever()
        raise AssertionError

    async def send(message: dict[str, Any]) -> None:
        sent.append(message)

    headers = [(b"host", b"desk.example")]
    if deadline_ms is not None:
        headers.append((DEADLINE_HEADER.encode(), str(deadline_ms).encode()))
    scope = {
        "type": "http",
        "method": "POST",
        "path": "/check/0123456789abcdef",
        "query_string": b"",
        "headers": headers,
    }
    await callers.make_app()(scope, receive, send)
    return sent


def run(test: Callable[[], Awaitable[None]]) -> None:
    anyio.run(test)


def test_a_request_that_waited_beyond_its_deadline_is_refused():
    """Guards against a job that a frozen process passes on after its caller sent it again."""

    async def test() -> None:
        service = FakeService()
        sent = await post_job(service, unread_s=3.4, leaves=False)
        assert sent[0]["status"] == 503
        assert not service.submitted

    run(test)


def test_the_time_that_a_request_waited_counts():
    """Guards against a latency and a deadline that count from the end of a pause."""

    async def test() -> None:
        service = FakeService()
        sent = await post_job(service, unread_s=0.7, leaves=False)
        assert sent[0]["status"] == 200
        assert 0.7 <= service.submitted[0].elapsed_s < 0.75

    run(test)


def test_the_wait_for_the_first_configuration_counts():
    """Guards against a job that goes on after its caller, counted from its request, has left."""

    async def test() -> None:
        service = FakeService()
        sent = await post_job(service, unread_s=0.3, leaves=False, polls_without_configuration=4)
        assert sent[0]["status"] == 200
        assert 0.7 <= service.submitted[0].elapsed_s < 0.75

    run(test)


def test_a_job_whose_caller_has_left_is_not_submitted():
    """Guards against a job that starts although the end of its connection came along with it."""

    async def test() -> None:
        service = FakeService()
        await post_job(service, unread_s=0.0, leaves=True)
        assert not service.submitted

    run(test)


def test_callers_that_wait_longer_than_the_time_out_of_their_route_are_counted():
    """Guards against a limit below what callers accept that no counter shows."""

    async def test() -> None:
        counters = Counters()
        for deadline_ms in (None, 900, 1500, 5000):
            await post_job(FakeService(), deadline_ms=deadline_ms, counters=counters)
        assert counters.get("callers.deadlines_above_timeout") == 1

    run(test)
