"""The client for backend servers classifies each failure and never repeats a request."""

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

HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
LINE = b'{"start_id":"s1","status":"ok"}\n'
CHUNK = b"%x\r\n%s\r\n" % (len(LINE), LINE)
Script = Callable[[anyio.abc.SocketStream, int], Awaitable[None]]


def start(start_id: str = "s1", run_s: float = 0.0, **payload: object) -> Start:
    return Start(start_id, "hem", {"run_s": run_s, **payload}, 1000)


async def collect(client: BackendClient, to: BackendAddress, *starts: Start) -> list[StartResult]:
    return [result async for result in client.send(to, list(starts))]


async def exchange_with(script: Script, times: int = 1) -> tuple[list[object], list[bytes]]:
    """Send one start `times` times to a server that follows `script` on each connection."""
    requests: list[bytes] = []
    outcomes: list[object] = []
    connections = 0

    async def handle(stream: anyio.abc.SocketStream) -> None:
        nonlocal connections
        connections += 1
        number = connections

        async def receive_request() -> None:
            data = b""
            while not data.endswith(b"}]}"):
                data += await stream.receive()
            requests.append(data)

        async with stream:
            try:
                await receive_request()
                await script(stream, number)
                await receive_request()
                await script(stream, number)
            except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
                pass

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    to = BackendAddress("b1", 1, f"127.0.0.1:{port}", 4)
    async with listener, anyio.create_task_group() as group:
        group.start_soon(listener.serve, handle)
        async with BackendClient(counters=Counters()) as client:
            for _ in range(times):
                try:
                    outcomes.append(await collect(client, to, start()))
                except (ResponseLostError, NotSentError) as error:
                    outcomes.append(type(error))
                await anyio.sleep(0.02)
        group.cancel_scope.cancel()
    return outcomes, requests


async def close_at_once(stream: anyio.abc.SocketStream, number: int) -> None:
    await stream.aclose()


async def close_in_stream(stream: anyio.abc.SocketStream, number: int) -> None:
    await stream.send(HEAD + CHUNK[:8])
    await stream.aclose()


async def end_without_result(stream: anyio.abc.SocketStream, number: int) -> None:
    await stream.send(HEAD + b"0\r\n\r\n")


async def send_garbage(stream: anyio.abc.SocketStream, number: int) -> None:
    await stream.send(HEAD + b"3\r\n{x\n\r\n0\r\n\r\n")


async def fail_internally(stream: anyio.abc.SocketStream, number: int) -> None:
    await stream.send(b"HTTP/1.1 500 x\r\ncontent-length: 0\r\n\r\n")


async def stay_silent(stream: anyio.abc.SocketStream, number: int) -> None:
    await anyio.sleep_forever()


async def refuse(stream: anyio.abc.SocketStream, number: int) -> None:
    await stream.send(b"HTTP/1.1 503 x\r\ncontent-length: 0\r\n\r\n")


@pytest.mark.parametrize(
    ("script", "expected"),
    [
        (close_at_once, ResponseLostError),
        (close_in_stream, ResponseLostError),
        (end_without_result, ResponseLostError),
        (send_garbage, ResponseLostError),
        (fail_internally, ResponseLostError),
        (stay_silent, ResponseLostError),
        (refuse, NotSentError),
    ],
)
def test_failure_is_classified_and_the_request_is_sent_once(
    script: Script, expected: type, monkeypatch: pytest.MonkeyPatch
):
    monkeypatch.setitem(backends._SEND_TIMEOUTS, "read", 0.2)
    outcomes, requests = anyio.run(exchange_with, script)
    assert outcomes == [expected]
    assert len(requests) == 1


def test_kept_connection_that_the_server_closed_is_replaced():
    """Guards against a start that is lost on a dead connection, or sent on both."""

    async def answer_and_close(stream: anyio.abc.SocketStream, number: int) -> None:
        await stream.send(HEAD + CHUNK + b"0\r\n\r\n")
        await stream.aclose()

    outcomes, requests = anyio.run(exchange_with, answer_and_close, 3)
    assert outcomes == [[StartResult("s1", RunStatus.OK)]] * 3
    assert len(requests) == 3


def test_kept_connection_that_closes_on_the_next_request_is_not_repeated():
    """Guards against a silent repetition of a POST that the server may have received."""
    seen = 0

    async def answer_first_only(stream: anyio.abc.SocketStream, number: int) -> None:
        nonlocal seen
        seen += 1
        if seen == 2:
            await stream.aclose()
        else:
            await stream.send(HEAD + CHUNK + b"0\r\n\r\n")

    outcomes, requests = anyio.run(exchange_with, answer_first_only, 2)
    assert outcomes == [[StartResult("s1", RunStatus.OK)], ResponseLostError]
    assert len(requests) == 2


def test_connection_refused_is_not_sent():
    async def run() -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        await listener.aclose()
        async with BackendClient(counters=Counters()) as client:
            with pytest.raises(NotSentError) as caught:
                await collect(client, BackendAddress("b1", 1, f"127.0.0.1:{port}", 4), start())
        assert not caught.value.refused

    anyio.run(run)


def with_backend(
    check: Callable[[BackendClient, BackendAddress, Behaviour], Awaitable[None]], slots: int = 8
) -> dict[str, object]:
    """Run `check` against a stand-in and return its ledger."""
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
                to = BackendAddress("b1", 1, f"127.0.0.1:{port}", 8)
                await check(client, to, settings.behaviour)
            stop.set()
        return ledgers[0].report()

    return anyio.run(run)


def test_results_stream_back_in_the_order_in_which_tasks_end():
    async def check(client: BackendClient, to: BackendAddress, _: Behaviour) -> None:
        results = await collect(client, to, start("slow", 0.2), start("fast", 0.01))
        assert [result.start_id for result in results] == ["fast", "slow"]
        assert (await client.ask(to, "slow")).status is RunStatus.OK
        assert (await client.ask(to, "other/1")).status is RunStatus.UNKNOWN

    assert with_backend(check)["starts"] == 2


def test_heartbeat_keeps_a_long_task_alive(monkeypatch: pytest.MonkeyPatch):
    """Guards against a task longer than the silence limit that is given up."""
    monkeypatch.setitem(backends._SEND_TIMEOUTS, "read", 0.7)

    async def check(client: BackendClient, to: BackendAddress, _: Behaviour) -> None:
        assert (await collect(client, to, start(run_s=1.2)))[0].status is RunStatus.OK

    with_backend(check)


def test_starts_beyond_the_slots_or_for_another_incarnation_are_refused():
    async def check(client: BackendClient, to: BackendAddress, _: Behaviour) -> None:
        with pytest.raises(NotSentError) as caught:
            await collect(client, to, start("a"), start("b"), start("c"))
        assert caught.value.refused
        with pytest.raises(NotSentError) as caught:
            await collect(client, BackendAddress("b1", 2, to.address, 8), start("a"))
        assert caught.value.refused

    ledger = with_backend(check, slots=2)
    assert (ledger["starts"], ledger["refused"]) == (0, 4)


def test_cancelled_start_ends_and_double_starts_are_counted():
    async def check(client: BackendClient, to: BackendAddress, _: Behaviour) -> None:
        results = []
        async with anyio.create_task_group() as group:

            async def run() -> None:
                results.extend(await collect(client, to, start("s1", 30, job="j", task=0)))

            group.start_soon(run)
            while (await client.ask(to, "s1")).status is not RunStatus.RUNNING:  # noqa: ASYNC110
                await anyio.sleep(0.01)
            await client.cancel(to, ["s1"])
        assert results[0].status is RunStatus.CANCELLED
        await collect(client, to, start("s2", 0, job="j", task=0))

    ledger = with_backend(check)
    assert (ledger["cancelled"], ledger["repeated_tasks"], ledger["untaken"]) == (1, 1, 0)


def test_lost_answer_is_found_over_a_new_connection(monkeypatch: pytest.MonkeyPatch):
    """Guards against a silent connection that also hides the kept result."""
    monkeypatch.setitem(backends._SEND_TIMEOUTS, "read", 0.3)

    async def check(client: BackendClient, to: BackendAddress, behaviour: Behaviour) -> None:
        behaviour.silent = True
        with pytest.raises(ResponseLostError):
            await collect(client, to, start())
        with pytest.raises(ResponseLostError):
            await client.ask(to, "s1")
        behaviour.silent = False
        assert (await client.ask(to, "s1")).status is RunStatus.OK

    ledger = with_backend(check)
    assert (ledger["starts"], ledger["untaken"]) == (1, 1)


def test_graceful_stop_finishes_running_tasks():
    """Guards against a stop that cuts off an exchange in progress (P7)."""
    settings = BackendSettings("b1", "hem", "toluca", "r1")

    async def run() -> None:
        stop = anyio.Event()

        async def serve_backend(*, task_status: anyio.abc.TaskStatus[int]) -> None:
            await run_backend(
                settings, key="", shutdown=stop.wait, incarnation=1, task_status=task_status
            )

        async with anyio.create_task_group() as group:
            port = await group.start(serve_backend)
            to = BackendAddress("b1", 1, f"127.0.0.1:{port}", 8)
            async with BackendClient(counters=Counters()) as client:
                results = []
                async for result in client.send(to, [start("a"), start("b", 1.0)]):
                    results.append(result.status)
                    stop.set()
        assert results == [RunStatus.OK, RunStatus.OK]

    anyio.run(run)
