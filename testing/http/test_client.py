"""The client resubmits under the same key when a job may have run, and only then."""

from __future__ import annotations

import json
from collections.abc import Callable
from itertools import pairwise
from typing import Any

import anyio
import httpx
import pytest

from apricotpoint import Answer, Client, TaskSpec, _client

URLS = ["http://e1", "http://e2"]
Step = int | type[httpx.TransportError]


def submit_to(
    steps: list[Step], *, key: str | None = None, deadline_ms: int = 2000, blocks: int = 16
) -> tuple[Answer, list[tuple[str, str]]]:
    """Submit one job to servers that answer with `steps` in turn; return also (host, key) sent."""
    sent: list[tuple[str, str]] = []
    issued = 0

    def handle(request: httpx.Request) -> httpx.Response:
        nonlocal issued
        if request.url.path == "/v1/keys":
            count = json.loads(request.content)["count"]
            issued += count
            keys = [f"~{request.url.host}.{issued - count + n}" for n in range(count)]
            return httpx.Response(200, json={"code": 1000, "keys": keys})
        body = json.loads(request.content)
        sent.append((request.url.host, body["key"]))
        step = steps[min(len(sent), len(steps)) - 1]
        if isinstance(step, type):
            raise step("simulated")
        fields: dict[str, Any] = {"key": body["key"], "code": step}
        if step == 2104:
            fields["retry_after_ms"] = 20
        return httpx.Response(200, json=fields)

    async def run() -> Answer:
        transport = httpx.MockTransport(handle)
        async with Client(URLS, "t", seed=1, transport=transport, key_block=blocks) as client:
            return await client.submit(
                "hem", [TaskSpec("price")], deadline_ms=deadline_ms, key=key, valid_until=9
            )

    return anyio.run(run), sent


@pytest.mark.parametrize("error", [httpx.ReadError, httpx.ReadTimeout, httpx.RemoteProtocolError])
def test_lost_answer_is_asked_for_under_the_same_key(error: type[httpx.TransportError]):
    answer, sent = submit_to([error, 1000])
    assert answer.code == 1000
    assert [key for _, key in sent] == [sent[0][1]] * 2


def test_unreachable_issuer_leads_to_a_new_key():
    answer, sent = submit_to([httpx.ConnectError, 1000])
    assert answer.code == 1000
    assert sent[0][1] != sent[1][1]


def test_draining_entry_is_left_with_a_new_key_but_a_chosen_key_stays():
    answer, sent = submit_to([2110, 1000])
    assert (answer.code, sent[0][1] != sent[1][1]) == (1000, True)
    answer, sent = submit_to([2110, 1000], key="order-1")
    assert (answer.code, [key for _, key in sent]) == (1000, ["order-1", "order-1"])
    assert sent[0][0] != sent[1][0]


def test_overload_is_retried_under_the_same_key_until_the_deadline():
    answer, sent = submit_to([2104, 2104, 1000])
    assert (answer.code, len({key for _, key in sent})) == (1000, 1)
    answer, sent = submit_to([2104], deadline_ms=150)
    assert (answer.code, len(sent) > 1) == (2104, True)


@pytest.mark.parametrize("refusal", [2104, 2110, 2103, 2105, 2109])
def test_refusal_after_a_lost_answer_is_not_reported_as_not_run(refusal: int):
    """Guards against a job that ran and is reported as refused (P4)."""
    answer, sent = submit_to([httpx.ReadError, refusal], deadline_ms=400)
    assert answer.code == 3101
    assert len({key for _, key in sent}) == 1


@pytest.mark.parametrize("code", [1001, 2103, 2107, 3102, 3107])
def test_final_answer_is_returned_at_once(code: int):
    answer, sent = submit_to([code, 1000])
    assert (answer.code, len(sent)) == (code, 1)


def test_repetitions_get_only_the_time_that_is_left():
    """Guards against answers after the caller's deadline, which counts from each receipt."""
    deadlines: list[int] = []

    def handle(request: httpx.Request) -> httpx.Response:
        if request.url.path == "/v1/keys":
            return httpx.Response(200, json={"code": 1000, "keys": ["~e.1"]})
        deadlines.append(json.loads(request.content)["deadline_ms"])
        return httpx.Response(200, json={"key": "~e.1", "code": 2104, "retry_after_ms": 100})

    async def run() -> None:
        async with Client(URLS, "t", seed=1, transport=httpx.MockTransport(handle)) as client:
            await client.submit("hem", [TaskSpec("price")], deadline_ms=400)

    anyio.run(run)
    # Each pause takes at least the 100 ms that the refusal names.
    assert len(deadlines) > 1
    assert all(later <= earlier - 100 for earlier, later in pairwise(deadlines))


def test_old_keys_are_not_used(monkeypatch: pytest.MonkeyPatch):
    """Guards against the use of a key after its entry process has drained."""
    now: Callable[[], float] = anyio.current_time
    offset = 0.0
    monkeypatch.setattr(_client.anyio, "current_time", lambda: now() + offset)
    issued = 0

    def handle(request: httpx.Request) -> httpx.Response:
        nonlocal issued
        if request.url.path == "/v1/keys":
            issued += 16
            return httpx.Response(
                200, json={"code": 1000, "keys": [f"~k{issued - n}" for n in range(16)]}
            )
        return httpx.Response(200, json={"key": json.loads(request.content)["key"], "code": 1000})

    async def run() -> None:
        nonlocal offset
        async with Client(URLS, "t", seed=1, transport=httpx.MockTransport(handle)) as client:
            for expected, advance in ((16, 4.0), (16, 1.1), (32, 0.0)):
                await client.submit("hem", [TaskSpec("price")], deadline_ms=100)
                assert issued == expected
                offset += advance

    anyio.run(run)
