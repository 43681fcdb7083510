"""The HTTP APIs refuse bad requests with precise errors, and a disconnect stops no job."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import anyio.abc
import httpx
import pytest

from apricotpoint._core.codes import ResultCode
from apricotpoint._core.counters import Counters
from apricotpoint._core.secrets import Secrets
from apricotpoint._http import announcements, body, callers
from apricotpoint._http.serve import serve
from apricotpoint._wire.announce import Announcement, AnnouncementReply, HolderName
from apricotpoint._wire.jobs import Answer, AnswerForward, JobRequest

TEAM_TOKEN = "token-of-the-hem-team"
INTERNAL_KEY = "key-of-all-processes"
SECRETS = Secrets(
    teams={"hem": ["old-token-of-hem-team", TEAM_TOKEN]}, operators={}, internal=[INTERNAL_KEY]
)
AUTH_HEADERS = {"authorization": f"Bearer {TEAM_TOKEN}"}
JOB_BODY: dict[str, Any] = {
    "key": "~e1.a.2000000000.1",
    "service": "hem",
    "deadline_ms": 1000,
    "tasks": [{"kind": "price"}],
}


class FakeCoordinator:
    """Answers once `release` is set, and records the jobs that finished."""

    def __init__(self) -> None:
        self.answer = Answer(key=JOB_BODY["key"], code=1000, results=[1])
        self.entered = anyio.Event()
        self.release = anyio.Event()
        self.release.set()
        self.finished: list[JobRequest] = []

    async def submit(self, request: JobRequest, attach_only: bool = False) -> Answer:  # noqa: D102
        if request.service == "broken":
            raise KeyError("broken")
        self.entered.set()
        await self.release.wait()
        self.finished.append(request)
        return self.answer

    async def lookup(self, team: str, key: str, wait_s: float) -> AnswerForward:  # noqa: D102
        return AnswerForward(answer=None, found=key == "a/b")

    async def cancel(self, team: str, key: str) -> Answer:  # noqa: D102
        return Answer(key=key, code=2108)

    def issue_keys(self, count: int) -> list[str]:  # noqa: D102
        return [f"~e1.a.2000000000.{n}" for n in range(count)]


Check = Callable[[httpx.AsyncClient, FakeCoordinator, anyio.Event], Awaitable[None]]


def run_with_server(check: Check, *, draining: bool = False) -> None:
    """Serve the caller API with a fake coordinator and run `check` against it."""

    async def run() -> None:
        coordinator = FakeCoordinator()
        app = callers.make_app(
            coordinator,
            secrets=SECRETS,
            counters=Counters(),
            draining=lambda: draining,
            max_body_bytes=100_000,
            max_tasks=5,
        )
        stop = anyio.Event()

        async def run_server(*, task_status: anyio.abc.TaskStatus[int]) -> None:
            await serve(app, "127.0.0.1:0", None, stop.wait, task_status=task_status)

        async with anyio.create_task_group() as group:
            port = await group.start(run_server)
            async with httpx.AsyncClient(
                base_url=f"http://127.0.0.1:{port}", headers=AUTH_HEADERS, trust_env=False
            ) as client:
                await check(client, coordinator, stop)
            stop.set()

    anyio.run(run)


def test_error_for_a_malformed_request_names_the_field():
    """Guards against errors without the field, and invalid bodies that end as internal errors."""

    async def check(client: httpx.AsyncClient, coordinator: FakeCoordinator, _: object) -> None:
        cases = [
            (JOB_BODY | {"deadline_ms": "1"}, 2101, "$.deadline_ms"),
            (JOB_BODY | {"deadline_ms": 0}, 2101, "$.deadline_ms"),
            (JOB_BODY | {"tasks": [{"kind": "a"}, {"kind": 3}]}, 2101, "$.tasks[1].kind"),
            (JOB_BODY | {"tasks": []}, 2101, "$.tasks"),
            (JOB_BODY | {"tasks": [{"kind": "a", "idempotant": True}]}, 2101, "idempotant"),
            (JOB_BODY | {"tasks": [{"kind": "a", "payload": [1 << 64]}]}, 2101, "tasks[0].payload"),
            (JOB_BODY | {"key": "a b"}, 2101, "'a b'"),
            (JOB_BODY | {"key": "order-1"}, 2101, "valid_until"),
            (JOB_BODY | {"tasks": JOB_BODY["tasks"] * 6}, 2101, "6 items, a job has 1 to 5"),
            (JOB_BODY | {"service": "x" * 100_000}, 2111, "bytes"),
            (JOB_BODY | {"service": "broken"}, 3101, "internal error"),
        ]
        for document, code, text in cases:
            response = await client.post("/v1/jobs", json=document)
            answer = response.json()
            assert (answer["code"], text in answer["message"]) == (code, True), answer
            assert response.status_code == ResultCode(code).http_status
            assert answer["meaning"] == ResultCode(code).meaning.value
        for content in (b"", b"[", b"\xff", b"[" * 50_000):
            assert (await client.post("/v1/jobs", content=content)).json()["code"] == 2101
        assert coordinator.finished == []

    run_with_server(check)


@pytest.mark.parametrize(
    "header", [None, "Bearer wrong", "Bearer", f"Basic {TEAM_TOKEN}", "Bearer ä"]
)
def test_wrong_token_is_refused(header: str | None):
    """Guards against jobs without a valid token, and malformed headers that raise an exception."""

    async def check(client: httpx.AsyncClient, coordinator: FakeCoordinator, _: object) -> None:
        client.headers.clear()
        headers = [] if header is None else [(b"authorization", header.encode())]
        response = await client.post("/v1/jobs", json=JOB_BODY, headers=headers)
        assert (response.status_code, response.json()["code"]) == (401, 2102)
        assert coordinator.finished == []

    run_with_server(check)


def test_responses_carry_status_and_retry_after():
    """Guards against responses whose HTTP status or Retry-After contradicts their result code."""

    async def check(client: httpx.AsyncClient, coordinator: FakeCoordinator, _: object) -> None:
        assert (await client.post("/v1/jobs", json=JOB_BODY)).json()["results"] == [1]
        coordinator.answer = Answer(key="k", code=2104, retry_after_ms=1200)
        response = await client.post("/v1/jobs", json=JOB_BODY)
        assert (response.status_code, response.headers["retry-after"]) == (503, "2")
        assert [job.team for job in coordinator.finished] == ["hem", "hem"]
        assert len((await client.post("/v1/keys", json={"count": 3})).json()["keys"]) == 3
        assert (await client.post("/v1/keys", json={"count": 1001})).json()["code"] == 2101
        assert (await client.get("/v1/jobs/a%2Fb?wait_s=0.1")).status_code == 202
        assert (await client.get("/v1/jobs/other")).json()["code"] == 4104
        assert (await client.get("/v1/jobs/other?wait_s=nan")).json()["code"] == 2101
        assert (await client.post("/v1/jobs/a%2Fb/cancel")).json()["key"] == "a/b"
        assert (await client.get("/v1/health")).status_code == 200

    run_with_server(check)


async def wait_until_connections_are_refused(port: int) -> None:
    while True:
        try:
            async with await anyio.connect_tcp("127.0.0.1", port):
                pass
        except OSError:
            return


def test_draining_entry_process_issues_no_keys_and_fails_its_health_check():
    """Guards against keys whose issuer ends soon, and load balancers that keep sending jobs."""

    async def check(client: httpx.AsyncClient, coordinator: FakeCoordinator, _: object) -> None:
        assert (await client.post("/v1/keys", json={})).json()["code"] == 2110
        assert (await client.get("/v1/health")).status_code == 503

    run_with_server(check, draining=True)


def test_disconnect_of_the_caller_does_not_stop_its_job():
    """Guards against a job that is cancelled halfway because the connection of its caller broke."""

    async def check(client: httpx.AsyncClient, coordinator: FakeCoordinator, _: object) -> None:
        coordinator.release = anyio.Event()
        async with anyio.create_task_group() as group:
            group.start_soon(lambda: client.post("/v1/jobs", json=JOB_BODY))
            await coordinator.entered.wait()
            group.cancel_scope.cancel()
        # The server has noticed the disconnect before it responds to this request.
        await client.get("/v1/health")
        coordinator.release.set()
        with anyio.fail_after(5):
            while not coordinator.finished:  # noqa: ASYNC110
                await anyio.sleep(0.01)

    run_with_server(check)


def test_shutdown_finishes_the_request_in_progress():
    """Guards against a graceful shutdown that aborts requests in progress (promise P7)."""

    async def check(
        client: httpx.AsyncClient, coordinator: FakeCoordinator, stop: anyio.Event
    ) -> None:
        coordinator.release = anyio.Event()
        codes = []

        async def submit() -> None:
            codes.append((await client.post("/v1/jobs", json=JOB_BODY)).json()["code"])

        async with anyio.create_task_group() as group:
            group.start_soon(submit)
            await coordinator.entered.wait()
            stop.set()
            with anyio.fail_after(5):
                await wait_until_connections_are_refused(client.base_url.port or 0)
            coordinator.release.set()
        assert codes == [1000]

    run_with_server(check)


def test_shutdown_ends_after_the_grace_period_despite_a_hanging_request():
    """Guards against a shutdown that waits forever for one request."""

    async def never_finish(scope: Any, receive: Any, send: Any) -> None:
        if scope["type"] == "http":
            entered.set()
            await anyio.sleep_forever()

    async def run() -> None:
        nonlocal entered
        entered = anyio.Event()
        stop = anyio.Event()
        done = anyio.Event()

        async def run_server(*, task_status: anyio.abc.TaskStatus[int]) -> None:
            await serve(
                never_finish, "127.0.0.1:0", None, stop.wait, grace_s=0.2, task_status=task_status
            )
            done.set()

        with anyio.fail_after(5):
            async with anyio.create_task_group() as group:
                port = await group.start(run_server)
                async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                    await stream.send(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
                    await entered.wait()
                    stop.set()
                    await done.wait()

    entered: anyio.Event
    anyio.run(run)


def test_incomplete_and_invalid_requests_are_refused_and_do_not_block_others(
    monkeypatch: pytest.MonkeyPatch,
):
    """Guards against clients that hold a connection open without sending the whole body."""
    monkeypatch.setattr(body, "BODY_TIMEOUT_S", 0.2)

    async def check(client: httpx.AsyncClient, coordinator: FakeCoordinator, _: object) -> None:
        head = f"POST /v1/jobs HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {TEAM_TOKEN}\r\n"
        for rest in ("content-length: 100\r\n\r\n{", "content-length: 9999999\r\n\r\n"):
            stream = await anyio.connect_tcp("127.0.0.1", client.base_url.port or 0)
            async with stream:
                await stream.send((head + rest).encode())
                with anyio.fail_after(5):
                    assert b"2101" in await stream.receive()
        stream = await anyio.connect_tcp("127.0.0.1", client.base_url.port or 0)
        async with stream:
            await stream.send(b"\x00\x01 no http\r\n\r\n")
            assert b"400" in await stream.receive()
        assert (await client.post("/v1/jobs", json=JOB_BODY)).status_code == 200
        assert len(coordinator.finished) == 1

    run_with_server(check)


def test_announcement_needs_an_internal_key_and_valid_fields():
    """Guards against accepting unauthenticated announcements and refusing newer releases.

    A newer release may add fields, which must be ignored.
    """
    received: list[Announcement] = []

    class FakeReceiver:
        def handle_announcement(self, announcement: Announcement) -> AnnouncementReply:
            received.append(announcement)
            return AnnouncementReply(HolderName("e1", 7), 0.5)

    document = {
        "backend_id": "b1", "incarnation": 1, "sequence": 1, "clock_s": 1.5, "service": "hem",
        "failure_domain": "toluca", "rack": "r1", "address": "127.0.0.1:9", "slots": 8,
        "connections": 64, "cores": 32, "memory_mb": 1024, "added_by_a_newer_release": 1,
    }  # fmt: skip

    async def run() -> None:
        app = announcements.make_app(FakeReceiver(), secrets=SECRETS, counters=Counters())
        transport = httpx.ASGITransport(app)
        async with httpx.AsyncClient(transport=transport, base_url="http://e1") as client:

            async def post(key: str, content: object) -> httpx.Response:
                headers = {"authorization": f"Bearer {key}"}
                return await client.post(
                    "/v1/announcements", content=json.dumps(content), headers=headers
                )

            assert (await post(TEAM_TOKEN, document)).status_code == 401
            refused = await post(INTERNAL_KEY, document | {"slots": "8"})
            assert (refused.status_code, "$.slots" in refused.text) == (400, True)
            for change in ({"sequence": 1 << 64}, {"holder": {"entry_id": "", "incarnation": -1}}):
                refused = await post(INTERNAL_KEY, document | change)
                assert refused.json()["code"] == 2101
            assert received == []
            reply = await post(INTERNAL_KEY, document)
            assert reply.json() == {"holder": {"entry_id": "e1", "incarnation": 7}, "period_s": 0.5}
            assert received[0].backend_id == "b1"

    anyio.run(run)
