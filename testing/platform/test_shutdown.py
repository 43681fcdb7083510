"""Answers to callers of an entry process that is stopped, and after errors."""

from __future__ import annotations

import json
import math
import socket
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import anyio
import httpx
import pytest
import yaml

from apricotpoint._core.counters import Counters
from apricotpoint._core.pauses import PauseMonitor
from apricotpoint._pool.holders.members import EntryMembers
from apricotpoint._pool.routing import Route, Routing
from apricotpoint._wire.pool import PoolAnswer, PoolJob
from apricotpoint.platform import entry
from apricotpoint.platform.callers import CallerInterface
from apricotpoint.platform.process import SettingsFile

ROUTE = Route("check", "desk.example", "/check/", "desk", 1.5, 0.06, 1.6, 0, 2)
HEADERS = {"host": "desk.example"}
JOB_ID = "0123456789abcdef"


def make_job(estimate_ms: int) -> dict[str, Any]:
    step = {
        "count": 1,
        "cpu": 500,
        "requested_memory_mb": 64,
        "estimated_duration_ms": estimate_ms,
    }
    return {"spec": "", "best_effort": True, "phases": [step]}


class StartedJobs:
    """Stands in for `PoolService`; jobs run until they are cancelled or their deadline.

    With `answers_cancels` a cancelled job is answered as one that had started.
    """

    def __init__(self, *, answers_cancels: bool = True) -> None:
        self.submitted: list[PoolJob] = []
        self.cancelled: list[tuple[str, int]] = []
        self._answers_cancels = answers_cancels
        self._cancelled = anyio.Event()

    def new_attempt(self) -> int:
        """Return the number of the next attempt."""
        return len(self.submitted) + 1

    def is_running(self, _: str) -> bool:
        """Return that no job is known."""
        return False

    async def submit(self, job: PoolJob) -> PoolAnswer:
        """Wait for the end of a job."""
        self.submitted.append(job)
        with anyio.move_on_after(job.deadline_s - job.elapsed_s):
            await self._cancelled.wait()
            return PoolAnswer(3104, "cancelled")
        return PoolAnswer(3103, "the deadline passed after a task had started")

    def cancel(self, job_id: str, attempt: int = 0, reason: str = "") -> None:
        """Record a cancellation."""
        self.cancelled.append((job_id, attempt))
        if self._answers_cancels:
            self._cancelled.set()


class BrokenService(StartedJobs):
    """Stands in for a `PoolService` with a fault."""

    async def submit(self, job: PoolJob) -> PoolAnswer:
        """Fail after the start of a job."""
        self.submitted.append(job)
        raise KeyError("fault")


def make_callers(service: StartedJobs, *, remaining_s: float = math.inf) -> CallerInterface:
    return CallerInterface(
        service,  # type: ignore[arg-type]
        routing=lambda: Routing(1, [ROUTE]),
        pending=lambda _: 0,
        counters=Counters(),
        remaining_s=lambda: remaining_s,
        unread_s=lambda _: 0.0,
        clock=time.monotonic,
    )


async def request(
    callers: CallerInterface, method: str = "POST", content: bytes | None = None
) -> httpx.Response:
    transport = httpx.ASGITransport(app=callers.make_app(), raise_app_exceptions=False)
    async with httpx.AsyncClient(transport=transport, base_url="http://desk.example") as client:
        content = json.dumps(make_job(200)).encode() if content is None else content
        return await client.request(method, f"/check/{JOB_ID}", content=content)


def run(test: Callable[[], Awaitable[None]]) -> None:
    anyio.run(test)


@pytest.mark.parametrize("remaining_s", [-1.0, 0.0, 0.15])
def test_what_a_process_that_stops_cannot_finish_is_refused(remaining_s: float):
    """Guards against tasks that are started and stopped again as their process ends."""

    async def test() -> None:
        service = StartedJobs()
        response = await request(make_callers(service, remaining_s=remaining_s))
        assert response.status_code == 503
        assert response.json()["code"] == 2110
        assert response.headers["retry-after"] == "1"
        assert response.headers["connection"] == "close"
        assert not service.submitted

    run(test)


def test_a_job_that_runs_longer_than_estimated_is_answered_before_its_process_ends():
    """Guards against a job whose deadline lies behind the end of its process."""

    async def test() -> None:
        service = StartedJobs()
        began_at = time.monotonic()
        response = await request(make_callers(service, remaining_s=0.4))
        assert response.status_code == 504
        assert response.json()["code"] == 3103
        assert time.monotonic() - began_at < 0.8

    run(test)


@pytest.mark.parametrize(("answers_cancels", "code"), [(True, 3104), (False, 3101)])
def test_open_requests_are_answered_before_their_process_ends(*, answers_cancels: bool, code: int):
    """Guards against a started job whose caller is told nothing, or that it did not run."""

    async def test() -> None:
        service = StartedJobs(answers_cancels=answers_cancels)
        callers = make_callers(service)
        responses: list[httpx.Response] = []

        async def send() -> None:
            responses.append(await request(callers))

        async with anyio.create_task_group() as group:
            group.start_soon(send)
            while not service.submitted:  # noqa: ASYNC110
                await anyio.sleep(0.01)
            began_at = time.monotonic()
            await callers.end_open_requests()
            assert time.monotonic() - began_at < 0.5
        assert service.cancelled == [(JOB_ID, 1)]
        assert responses[0].status_code == 502
        assert responses[0].json()["code"] == code
        assert not callers.open_requests

    run(test)


def test_an_unexpected_error_has_a_code_with_which_callers_send_their_jobs_again():
    """Guards against an answer 500, after which callers give up, and tasks that go on."""

    async def test() -> None:
        service = BrokenService()
        response = await request(make_callers(service))
        assert response.status_code == 502
        assert response.json()["code"] == 3101
        assert service.cancelled == [(JOB_ID, 1)]

    run(test)


@pytest.mark.parametrize(
    ("method", "content", "status", "code"),
    [
        ("POST", b"", 400, 2101),
        ("POST", b"\xff\xfe", 400, 2101),
        ("POST", b"[" * 50_000, 400, 2101),
        ("POST", b'{"spec":"\\ud800","best_effort":true,"phases":[{"count":1}]}', 400, 2101),
        ("POST", b'{"spec":"","best_effort":true,"phases":[{"count":1e999}]}', 400, 2101),
        ("PUT", b"", 405, 2101),
        ("OPTIONS", b"", 405, 2101),
    ],
)
def test_requests_that_are_not_understood_have_a_code(
    method: str, content: bytes, status: int, code: int
):
    """Guards against refusals of which callers cannot tell whether their job ran."""

    async def test() -> None:
        response = await request(make_callers(StartedJobs()), method, content)
        assert response.status_code == status
        assert response.json()["code"] == code
        assert response.json()["reason"]

    run(test)


def free_ports(count: int) -> list[int]:
    listeners = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [listener.getsockname()[1] for listener in listeners]
    for listener in listeners:
        listener.close()
    return ports


def write_settings(path: Path, *, grace_period_s: float, **fields: object) -> SettingsFile:
    peer_port, caller_port, ready_port = free_ports(3)
    settings = {
        "node_name": "front-1",
        "ip_address": "127.0.0.1",
        "zone": "puebla",
        "zones": {"puebla": "mx"},
        "internal_port_range": [peer_port, peer_port + 1],
        "seed_nodes": ["127.0.0.2:1"],
        "bootstrap": True,
        "listen_addresses": {
            "frontend": f"127.0.0.1:{caller_port}",
            "ready": f"127.0.0.1:{ready_port}",
        },
        "bounds": {"grace_period_s": grace_period_s},
        **fields,
    }
    path.write_text(yaml.safe_dump(settings), encoding="utf-8")
    return SettingsFile(path)


@pytest.mark.parametrize("sent_after_s", [-0.1, 2.2])
def test_each_request_around_a_stop_has_an_answer_with_a_code(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, sent_after_s: float
):
    """Guards against answers 500 without content of a process that stops.

    The request is sent before, or so late that its deadline lies behind the end of the process,
    but long enough before the servers close that a loaded machine reads it.
    """
    service = StartedJobs()
    monkeypatch.setattr(entry, "PoolService", lambda **_: service)
    # The drain takes all of its time, also while no request is open.
    monkeypatch.setattr(entry, "LOAD_BALANCER_DRAIN_S", 10.0)
    monkeypatch.setattr(entry, "Routing", lambda: Routing(1, [ROUTE]))
    # The process runs without its links to others and its timers.
    monkeypatch.setattr(EntryMembers, "send_status", lambda _: None)
    monkeypatch.setattr(PauseMonitor, "unread_s", lambda *_: 0.0)
    settings_file = write_settings(tmp_path / "boot.yaml", grace_period_s=4.0)
    url = f"http://{settings_file.current.caller_bind}/check/{JOB_ID}"
    responses: list[httpx.Response] = []

    async def test() -> None:
        process = entry.EntryProcess(settings_file, 1)
        stop_requested = anyio.Event()

        async def send(delay_s: float) -> None:
            async with httpx.AsyncClient() as client:
                await anyio.sleep(delay_s)
                headers = {**HEADERS, "apricotpoint-deadline-ms": "1500"}
                responses.append(await client.post(url, json=make_job(100), headers=headers))

        with anyio.fail_after(12):
            async with anyio.create_task_group() as group:
                group.start_soon(process.serve_until, stop_requested)
                await anyio.sleep(1.5)
                group.start_soon(send, 0.5 + sent_after_s)
                await anyio.sleep(0.5)
                stop_requested.set()

    run(test)
    for response in responses:
        assert response.status_code in {502, 503, 504}
        assert response.json()["code"] in {2110, 3101, 3103, 3104}
        if response.json()["code"] == 2110:
            assert response.headers["retry-after"]
            assert not service.submitted
    assert responses


def test_a_request_that_arrives_while_the_servers_close_is_refused(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
):
    """Guards against a job that starts after a drain that ended early, and is cut off."""
    service = StartedJobs()
    monkeypatch.setattr(entry, "PoolService", lambda **_: service)
    monkeypatch.setattr(entry, "Routing", lambda: Routing(1, [ROUTE]))
    monkeypatch.setattr(entry, "LOAD_BALANCER_DRAIN_S", 0.1)
    # The process runs without its links to others and its timers.
    monkeypatch.setattr(EntryMembers, "send_status", lambda _: None)
    monkeypatch.setattr(PauseMonitor, "unread_s", lambda *_: 0.0)
    settings_file = write_settings(tmp_path / "boot.yaml", grace_period_s=6.0)
    url = f"http://{settings_file.current.caller_bind}/check/{JOB_ID}"
    responses: list[httpx.Response] = []
    end_open_requests = CallerInterface.end_open_requests

    async def send_and_end(callers: CallerInterface) -> None:
        async with httpx.AsyncClient() as client:
            responses.append(await client.post(url, json=make_job(100), headers=HEADERS))
        await end_open_requests(callers)

    monkeypatch.setattr(CallerInterface, "end_open_requests", send_and_end)

    async def test() -> None:
        stop_requested = anyio.Event()
        stop_requested.set()
        with anyio.fail_after(8):
            await entry.EntryProcess(settings_file, 1).serve_until(stop_requested)

    run(test)
    assert responses[0].status_code == 503
    assert responses[0].json()["code"] == 2110
    assert not service.submitted
