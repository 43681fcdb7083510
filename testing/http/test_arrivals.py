"""The age of what a server reads from its connections."""

from __future__ import annotations

import http.client
import json
import socket
import threading
import time
from typing import Any

import anyio
import pytest

from apricotpoint._core.counters import Counters
from apricotpoint._core.pauses import PauseMonitor
from apricotpoint._core.timers import TimerService
from apricotpoint._http.arrivals import Arrivals
from apricotpoint._http.serve import serve
from apricotpoint._pool.routing import Route, Routing
from apricotpoint._wire.pool import PoolAnswer, PoolJob
from apricotpoint.platform.callers import CallerInterface

ROUTE = Route("check", "desk.example", "/check/", "desk", 1.5, 0.06, 1.6, 0, 2)
JOB = {
    "spec": "",
    "best_effort": True,
    "phases": [{"count": 1, "cpu": 500, "requested_memory_mb": 64, "estimated_duration_ms": 200}],
}
PAUSE_S = 2.5


class RecordingService:
    """Stands in for `PoolService`; answers each job as complete."""

    def __init__(self) -> None:
        self.submitted: list[PoolJob] = []

    def new_attempt(self) -> int:
        """Return the number of the next attempt."""
        return len(self.submitted) + 1

    async def submit(self, job: PoolJob) -> PoolAnswer:
        """Record a job and answer it."""
        self.submitted.append(job)
        return PoolAnswer(1000)


def post_later(port: int, delay_s: float, answers: list[tuple[int, dict[str, Any]]]) -> None:
    time.sleep(delay_s)
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
    headers = {"host": "desk.example", "content-type": "application/json"}
    connection.request("POST", "/check/0123456789abcdef", json.dumps(JOB), headers)
    response = connection.getresponse()
    answers.append((response.status, json.loads(response.read())))
    connection.close()


@pytest.mark.parametrize(
    ("sent_after_s", "status", "elapsed_s"), [(0.1, 503, None), (1.9, 200, 0.6)]
)
def test_a_request_is_as_old_as_its_arrival_while_the_process_was_stopped(
    sent_after_s: float, status: int, elapsed_s: float | None
):
    """Guards against requests whose callers wait, refused as if they had waited for a pause."""
    service = RecordingService()
    answers: list[tuple[int, dict[str, Any]]] = []

    async def test() -> None:
        arrivals, shutdown = Arrivals(), anyio.Event()
        async with (
            TimerService() as timers,
            PauseMonitor(timers=timers) as pauses,
            anyio.create_task_group() as group,
        ):
            callers = CallerInterface(
                service,  # type: ignore[arg-type]
                routing=lambda: Routing(1, [ROUTE]),
                pending=lambda _: 0,
                counters=Counters(),
                remaining_s=lambda: float("inf"),
                unread_s=lambda client: pauses.unread_s(arrivals.silent_s(client)),
                clock=timers.boot_time,
            )

            async def serve_callers(*, task_status: Any) -> None:
                app = callers.make_app()
                await serve(
                    app,
                    "127.0.0.1:0",
                    None,
                    shutdown.wait,
                    arrivals=arrivals,
                    task_status=task_status,
                )

            await arrivals.check()
            port = await group.start(serve_callers)
            await anyio.sleep(0.3)
            arguments = (port, sent_after_s, answers)
            thread = threading.Thread(target=post_later, args=arguments)
            thread.start()
            # The event loop stands still, as in a process that is stopped.
            time.sleep(PAUSE_S)  # noqa: ASYNC251
            await anyio.to_thread.run_sync(thread.join)
            shutdown.set()

    anyio.run(test)
    assert answers[0][0] == status
    if elapsed_s is None:
        assert answers[0][1]["code"] == 2105
        assert not service.submitted
    else:
        assert service.submitted[0].elapsed_s == pytest.approx(elapsed_s, abs=0.3)


def test_only_known_and_open_connections_have_an_age():
    """Guards against an age that belongs to another connection or to none."""
    arrivals = Arrivals()
    anyio.run(arrivals.check)
    assert arrivals.silent_s(None) is None
    assert arrivals.silent_s(("127.0.0.1", 1)) is None
    with socket.create_server(("127.0.0.1", 0)) as listener:
        client = socket.create_connection(listener.getsockname())
        connection, address = listener.accept()
        arrivals.add(connection, address)
        client.send(b"x")
        time.sleep(0.1)
        silent_s = arrivals.silent_s(address)
        assert silent_s is not None
        assert 0.05 <= silent_s < 2
        client.close()
        connection.close()
    assert arrivals.silent_s(address) is None


class ForgetfulSocket(socket.socket):
    """Stands in for a socket of a system that reports all bytes as new."""

    def getsockopt(self, *arguments: Any) -> Any:
        """Return an open connection of which the last bytes have just arrived."""
        if arguments[:2] == (socket.IPPROTO_TCP, socket.TCP_INFO):
            return bytes([1]) + bytes(arguments[2] - 1)
        return super().getsockopt(*arguments)


def test_a_system_that_does_not_record_arrivals_gives_no_age(monkeypatch: pytest.MonkeyPatch):
    """Guards against input that waited for a paused process and counts as new."""
    arrivals = Arrivals()
    with (
        socket.create_server(("127.0.0.1", 0)) as listener,
        socket.create_connection(listener.getsockname()),
    ):
        connection, address = listener.accept()
        arrivals.add(connection, address)
        assert arrivals.silent_s(address) is None
        monkeypatch.setattr(socket, "socket", ForgetfulSocket)
        anyio.run(arrivals.check)
        assert arrivals.silent_s(address) is None
        monkeypatch.undo()
        anyio.run(arrivals.check)
        assert arrivals.silent_s(address) is not None
        connection.close()
