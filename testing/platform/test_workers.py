"""The client of one worker: what it makes of responses that are not as expected."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable

import anyio
import pytest
from test_connections import FakeWorker, running_worker

from apricotpoint._pool.runs.backendclient import RenewalRefused, RunKey, StartOutcome, StartRequest
from apricotpoint._wire.pool import PoolBackend, Room
from apricotpoint.platform.workers import WorkerClient

VALID = {"clock_ms": 5, "running": [["t", 1, "", 40, 100]], "finished": [], "born": 7}


def run_with_client(test: Callable[[FakeWorker, WorkerClient], Awaitable[None]]) -> None:
    async def main() -> None:
        async with running_worker() as worker:
            client = WorkerClient(
                PoolBackend("w1", "desk", worker.address, "a", Room(1, 1), [], False, 1)
            )
            with anyio.fail_after(5):
                await test(worker, client)
                await client.close()

    anyio.run(main)


def response(body: bytes, status: bytes = b"200 OK") -> bytes:
    return b"HTTP/1.1 %b\r\ncontent-length: %d\r\n\r\n%b" % (status, len(body), body)


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{",
        b"[]",
        b"null",
        b"\xff\xfe",
        b"[" * 5000,
        json.dumps({**VALID, "clock_ms": "soon"}).encode(),
        json.dumps({**VALID, "running": [["t"]]}).encode(),
        json.dumps({**VALID, "running": [["t", "x", "", 40]]}).encode(),
        b'{"clock_ms":5,"running":[["t",1e308,"",1e999]],"finished":[]}',
        json.dumps({**VALID, "finished": [[]]}).encode(),
        json.dumps({**VALID, "finished": [["x", "t", 1, "done"]]}).encode(),
        json.dumps({**VALID, "finished": {"1": 2}}).encode(),
    ],
)
def test_a_renewal_that_cannot_be_decoded_counts_as_unanswered(body: bytes):
    """Guards against a process that ends because of one malformed response of a worker."""

    async def test(worker: FakeWorker, client: WorkerClient) -> None:
        worker.answer = response(body)
        renewal = {"token": 1, "acknowledged": 0, "lease_until_ms": None, "wait_s": 0.0}
        assert await client.renew_lease(**renewal) is None
        worker.answer = response(json.dumps(VALID).encode())
        reply = await client.renew_lease(**renewal)
        assert reply is not None
        assert reply.progress_by_run == {RunKey("t", 1): 40}

    run_with_client(test)


@pytest.mark.parametrize("status", [b"500 Oops", b"302 Found", b"409 Conflict"])
def test_a_start_with_an_unexpected_answer_is_not_taken_for_one_that_did_not_run(status: bytes):
    """Guards against a second run, or a refusal that is not true, after an unclear answer."""

    async def test(worker: FakeWorker, client: WorkerClient) -> None:
        worker.answer = response(b"{", status)
        request = StartRequest(RunKey("t", 1), "", 5, 1)
        assert await client.start(request) is StartOutcome.UNKNOWN

    run_with_client(test)


def test_a_refused_connection_is_told_from_silence():
    """Guards against a start that counts as possibly carried out although it was never sent."""

    async def test() -> None:
        async with running_worker() as worker:
            address = worker.address
        client = WorkerClient(PoolBackend("w1", "desk", address, "a", Room(1, 1), [], False, 1))
        with anyio.fail_after(5):
            request = StartRequest(RunKey("t", 1), "", 5, 1)
            assert await client.start(request) is StartOutcome.NOT_LISTENING
            with pytest.raises(RenewalRefused) as caught:
                await client.renew_lease(token=1, acknowledged=0, lease_until_ms=None, wait_s=0.0)
            assert caught.value.outcome is StartOutcome.NOT_LISTENING
            assert not await client.stop(RunKey("t", 1), 1)
            await client.close()

    anyio.run(test)


def test_a_refused_renewal_names_its_reason():
    """Guards against a holder that keeps a backend server which another one has taken over."""

    async def test(worker: FakeWorker, client: WorkerClient) -> None:
        worker.answer = response(b'{"clock_ms":5,"reason":"fence"}', b"409 Conflict")
        with pytest.raises(RenewalRefused) as caught:
            await client.renew_lease(token=1, acknowledged=0, lease_until_ms=None, wait_s=0.0)
        assert caught.value.outcome is StartOutcome.FENCED

    run_with_client(test)
