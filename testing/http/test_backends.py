"""The client for backend servers classifies each failure and never retries a request."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio
import anyio.abc
import pytest

from apricotpoint._backend.server import run_backend
from apricotpoint._backend.settings import BackendSettings, Behaviour
from apricotpoint._core.counters import Counters
from apricotpoint._dispatch.exchange import (
    BackendAddress,
    NotSentError,
    ResponseLostError,
    RunStatus,
    Start,
    StartResult,
)
from apricotpoint._http import backends
from apricotpoint._http.backends import BackendClient

RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
RESULT_LINE = b'{"start_id":"s1","status":"ok"}\n'
RESULT_CHUNK = b"%x\r\n%s\r\n" % (len(RESULT_LINE), RESULT_LINE)
ServerScript = Callable[[anyio.abc.SocketStream, int], Awaitable[None]]


def make_start(start_id: str = "s1", run_s: float = 0.0, **payload: object) -> Start:
    return Start(start_id, "hem", {"run_s": run_s, **payload}, 1000)


async def collect(
    client: BackendClient, backend: BackendAddress, *starts: Start
) -> list[StartResult]:
    return [result async for result in client.send(backend, list(starts))]


async def send_to_scripted_server(
    script: ServerScript, request_count: int = 1
) -> tuple[list[object], list[bytes]]:
    """Send a start `request_count` times to a server that runs `script` after each request.

    Returns the results or the type of the error of each request, and the requests
    that the server received.
    """
    requests: list[bytes] = []
    outcomes: list[object] = []
    connection_count = 0

    async def handle(stream: anyio.abc.SocketStream) -> None:
        nonlocal connection_count
        connection_count += 1
        connection_number = connection_count

        async def receive_request() -> None:
            request = b""
            while not request.endswith(b"}]}"):
                request += await stream.receive()
            requests.append(request)

        async with stream:
            try:
                await receive_request()
                await script(stream, connection_number)
                await receive_request()
                await script(stream, connection_number)
            except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
                pass

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    backend = BackendAddress("b1", 1, f"127.0.0.1:{port}", 4)
    async with listener, anyio.create_task_group() as group:
        group.start_soon(listener.serve, handle)
        async with BackendClient(counters=Counters()) as client:
            for _ in range(request_count):
                try:
                    outcomes.append(await collect(client, backend, make_start()))
                except (ResponseLostError, NotSentError) as error:
                    outcomes.append(type(error))
                await anyio.sleep(0.02)
        group.cancel_scope.cancel()
    return outcomes, requests


async def close_before_response(stream: anyio.abc.SocketStream, connection_number: int) -> None:
    await stream.aclose()


async def close_within_chunk(stream: anyio.abc.SocketStream, connection_number: int) -> None:
    await stream.send(RESPONSE_HEAD + RESULT_CHUNK[:8])
    await stream.aclose()


async def end_without_result(stream: anyio.abc.SocketStream, connection_number: int) -> None:
    await stream.send(RESPONSE_HEAD + b"0\r\n\r\n")


async def send_invalid_json(stream: anyio.abc.SocketStream, connection_number: int) -> None:
    await stream.send(RESPONSE_HEAD + b"3\r\n{x\n\r\n0\r\n\r\n")


async def respond_with_status_500(stream: anyio.abc.SocketStream, connection_number: int) -> None:
    await stream.send(b"HTTP/1.1 500 x\r\ncontent-length: 0\r\n\r\n")


async def never_respond(stream: anyio.abc.SocketStream, connection_number: int) -> None:
    await anyio.sleep_forever()


async def respond_with_status_503(stream: anyio.abc.SocketStream, connection_number: int) -> None:
    await stream.send(b"HTTP/1.1 503 x\r\ncontent-length: 0\r\n\r\n")


@pytest.mark.parametrize(
    ("script", "expected"),
    [
        (close_before_response, ResponseLostError),
        (close_within_chunk, ResponseLostError),
        (end_without_result, ResponseLostError),
        (send_invalid_json, ResponseLostError),
        (respond_with_status_500, ResponseLostError),
        (never_respond, ResponseLostError),
        (respond_with_status_503, NotSentError),
    ],
)
def test_failure_is_classified_and_the_request_is_not_retried(
    script: ServerScript, expected: type, monkeypatch: pytest.MonkeyPatch
):
    """Guards against a lost response that is reported as not sent, so that tasks run twice."""
    monkeypatch.setitem(backends._SEND_TIMEOUTS, "read", 0.2)
    outcomes, requests = anyio.run(send_to_scripted_server, script)
    assert outcomes == [expected]
    assert len(requests) == 1


def test_idle_connection_closed_by_the_server_is_replaced():
    """Guards against a start that is lost on a closed connection or sent on two connections.

    That happens if the server closes an idle connection that the client then reuses.
    """

    async def answer_and_close(stream: anyio.abc.SocketStream, connection_number: int) -> None:
        await stream.send(RESPONSE_HEAD + RESULT_CHUNK + b"0\r\n\r\n")
        await stream.aclose()

    outcomes, requests = anyio.run(send_to_scripted_server, answer_and_close, 3)
    assert outcomes == [[StartResult("s1", RunStatus.OK)]] * 3
    assert len(requests) == 3


def test_request_whose_idle_connection_closes_is_not_retried():
    """Guards against an automatic retry of a POST that the server may have received."""
    seen = 0

    async def answer_first_only(stream: anyio.abc.SocketStream, connection_number: int) -> None:
        nonlocal seen
        seen += 1
        if seen == 2:
            await stream.aclose()
        else:
            await stream.send(RESPONSE_HEAD + RESULT_CHUNK + b"0\r\n\r\n")

    outcomes, requests = anyio.run(send_to_scripted_server, answer_first_only, 2)
    assert outcomes == [[StartResult("s1", RunStatus.OK)], ResponseLostError]
    assert len(requests) == 2


def test_refused_connection_is_reported_as_not_sent():
    """Guards against starts that count as possibly run although no connection was made."""

    async def run() -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        await listener.aclose()
        async with BackendClient(counters=Counters()) as client:
            with pytest.raises(NotSentError) as caught:
                await collect(client, BackendAddress("b1", 1, f"127.0.0.1:{port}", 4), make_start())
        assert not caught.value.refused

    anyio.run(run)


def run_with_backend(
    check: Callable[[BackendClient, BackendAddress, Behaviour], Awaitable[None]], slots: int = 8
) -> dict[str, object]:
    """Run `check` against a simulated backend server and return its ledger."""
    settings = BackendSettings("b1", "hem", "toluca", "r1", slots=slots)

    async def run() -> dict[str, object]:
        ledgers = []
        stop = anyio.Event()

        async def serve_backend(*, task_status: anyio.abc.TaskStatus[int]) -> None:
            ledgers.append(
                await run_backend(
                    settings,
                    key="",
                    shutdown=stop.wait,
                    incarnation=1,
                    leaving_notice_s=0,
                    task_status=task_status,
                )
            )

        async with anyio.create_task_group() as group:
            port = await group.start(serve_backend)
            async with BackendClient(counters=Counters()) as client:
                backend = BackendAddress("b1", 1, f"127.0.0.1:{port}", 8)
                await check(client, backend, settings.behaviour)
            stop.set()
        return ledgers[0].report()

    return anyio.run(run)


def test_results_arrive_in_the_order_in_which_tasks_end():
    """Guards against fast tasks that wait for slow ones sent in the same request."""

    async def check(client: BackendClient, backend: BackendAddress, _: Behaviour) -> None:
        results = await collect(client, backend, make_start("slow", 0.2), make_start("fast", 0.01))
        assert [result.start_id for result in results] == ["fast", "slow"]
        assert (await client.ask(backend, "slow")).status is RunStatus.OK
        assert (await client.ask(backend, "other/1")).status is RunStatus.UNKNOWN

    assert run_with_backend(check)["starts"] == 2


def test_heartbeats_prevent_the_read_timeout_of_a_long_task(monkeypatch: pytest.MonkeyPatch):
    """Guards against a read timeout while a task runs longer than `_SEND_TIMEOUTS` allows."""
    monkeypatch.setitem(backends._SEND_TIMEOUTS, "read", 0.7)

    async def check(client: BackendClient, backend: BackendAddress, _: Behaviour) -> None:
        assert (await collect(client, backend, make_start(run_s=1.2)))[0].status is RunStatus.OK

    run_with_backend(check)


def test_starts_beyond_the_slots_or_for_another_incarnation_are_refused():
    """Guards against overload, and against starts sent to a restarted backend server."""

    async def check(client: BackendClient, backend: BackendAddress, _: Behaviour) -> None:
        with pytest.raises(NotSentError) as caught:
            await collect(client, backend, make_start("a"), make_start("b"), make_start("c"))
        assert caught.value.refused
        with pytest.raises(NotSentError) as caught:
            await collect(client, BackendAddress("b1", 2, backend.address, 8), make_start("a"))
        assert caught.value.refused

    ledger = run_with_backend(check, slots=2)
    assert (ledger["starts"], ledger["refused"]) == (0, 4)


def test_cancelled_start_ends_and_second_start_of_a_task_is_counted():
    """Guards against cancelled tasks that keep their slot, and second starts that go unnoticed."""

    async def check(client: BackendClient, backend: BackendAddress, _: Behaviour) -> None:
        results = []
        async with anyio.create_task_group() as group:

            async def run() -> None:
                results.extend(
                    await collect(client, backend, make_start("s1", 30, job="j", task=0))
                )

            group.start_soon(run)
            while (await client.ask(backend, "s1")).status is not RunStatus.RUNNING:  # noqa: ASYNC110
                await anyio.sleep(0.01)
            await client.cancel(backend, ["s1"])
        assert results[0].status is RunStatus.CANCELLED
        await collect(client, backend, make_start("s2", 0, job="j", task=0))

    ledger = run_with_backend(check)
    assert (ledger["cancelled"], ledger["repeated_tasks"], ledger["untaken"]) == (1, 1, 0)


def test_lost_result_is_fetched_over_a_new_connection(monkeypatch: pytest.MonkeyPatch):
    """Guards against a result that is never fetched after its connection got no response."""
    monkeypatch.setitem(backends._SEND_TIMEOUTS, "read", 0.3)

    async def check(client: BackendClient, backend: BackendAddress, behaviour: Behaviour) -> None:
        behaviour.silent = True
        with pytest.raises(ResponseLostError):
            await collect(client, backend, make_start())
        with pytest.raises(ResponseLostError):
            await client.ask(backend, "s1")
        behaviour.silent = False
        assert (await client.ask(backend, "s1")).status is RunStatus.OK

    ledger = run_with_backend(check)
    assert (ledger["starts"], ledger["untaken"]) == (1, 1)


def test_graceful_shutdown_finishes_running_tasks():
    """Guards against a shutdown that closes an exchange in progress (promise P7)."""
    settings = BackendSettings("b1", "hem", "toluca", "r1")

    async def run() -> None:
        stop = anyio.Event()

        async def serve_backend(*, task_status: anyio.abc.TaskStatus[int]) -> None:
            await run_backend(
                settings, key="", shutdown=stop.wait, incarnation=1, task_status=task_status
            )

        async with anyio.create_task_group() as group:
            port = await group.start(serve_backend)
            backend = BackendAddress("b1", 1, f"127.0.0.1:{port}", 8)
            async with BackendClient(counters=Counters()) as client:
                results = []
                async for result in client.send(backend, [make_start("a"), make_start("b", 1.0)]):
                    results.append(result.status)
                    stop.set()
        assert results == [RunStatus.OK, RunStatus.OK]

    anyio.run(run)
