"""The client resubmits a job that may have run under the same key until its deadline."""

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
Outcome = int | type[httpx.TransportError]


def submit_to_fake_servers(
    outcomes: list[Outcome], *, key: str | None = None, deadline_ms: int = 2000, key_block: int = 16
) -> tuple[Answer, list[tuple[str, str]]]:
    """Submit one job to fake servers and return its answer and the submissions.

    Each outcome is the result code or connection error of one submission; the
    last one repeats. Submissions are pairs of host and key.
    """
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
        outcome = outcomes[min(len(sent), len(outcomes)) - 1]
        if isinstance(outcome, type):
            raise outcome("simulated")
        fields: dict[str, Any] = {"key": body["key"], "code": outcome}
        if outcome == 2104:
            fields["retry_after_ms"] = 20
        return httpx.Response(200, json=fields)

    async def run() -> Answer:
        transport = httpx.MockTransport(handle)
        async with Client(URLS, "t", seed=1, transport=transport, key_block=key_block) as client:
            return await client.submit(
                "hem", [TaskSpec("price")], deadline_ms=deadline_ms, key=key, valid_until=9
            )

    return anyio.run(run), sent


@pytest.mark.parametrize("error", [httpx.ReadError, httpx.ReadTimeout, httpx.RemoteProtocolError])
def test_job_is_resubmitted_under_the_same_key_after_a_lost_answer(
    error: type[httpx.TransportError],
):
    """Guards against a second run of a job whose answer was lost."""
    answer, sent = submit_to_fake_servers([error, 1000])
    assert answer.code == 1000
    assert [key for _, key in sent] == [sent[0][1]] * 2


def test_job_gets_a_new_key_if_its_issuer_is_unreachable():
    """Guards against retries under a key that no reachable entry process may start a job under."""
    answer, sent = submit_to_fake_servers([httpx.ConnectError, 1000])
    assert answer.code == 1000
    assert sent[0][1] != sent[1][1]


def test_draining_refusal_leads_to_another_entry_process_and_keeps_only_caller_keys():
    """Guards against an issued key that is sent to an entry process that did not issue it.

    A key chosen by the caller is valid at each entry process and must stay.
    """
    answer, sent = submit_to_fake_servers([2110, 1000])
    assert (answer.code, sent[0][1] != sent[1][1]) == (1000, True)
    answer, sent = submit_to_fake_servers([2110, 1000], key="order-1")
    assert (answer.code, [key for _, key in sent]) == (1000, ["order-1", "order-1"])
    assert sent[0][0] != sent[1][0]


def test_overload_is_retried_under_the_same_key_until_the_deadline():
    """Guards against a refusal that is returned while there is still time for a retry."""
    answer, sent = submit_to_fake_servers([2104, 2104, 1000])
    assert (answer.code, len({key for _, key in sent})) == (1000, 1)
    answer, sent = submit_to_fake_servers([2104], deadline_ms=150)
    assert (answer.code, len(sent) > 1) == (2104, True)


@pytest.mark.parametrize("refusal", [2104, 2110, 2103, 2105, 2109])
def test_refusal_after_a_lost_answer_is_not_reported_as_not_run(refusal: int):
    """Guards against a job that ran and is reported as refused (promise P4).

    The refusal concerns only the second submission; the first one may have been accepted.
    """
    answer, sent = submit_to_fake_servers([httpx.ReadError, refusal], deadline_ms=400)
    assert answer.code == 3101
    assert len({key for _, key in sent}) == 1


@pytest.mark.parametrize("code", [1001, 2103, 2107, 3102, 3107])
def test_final_answer_is_returned_at_once(code: int):
    """Guards against retries of a job whose answer will not change."""
    answer, sent = submit_to_fake_servers([code, 1000])
    assert (answer.code, len(sent)) == (code, 1)


def test_retries_send_only_the_time_left_as_deadline():
    """Guards against answers after the deadline of the caller.

    The entry process counts the deadline from the receipt of each request.
    """
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
    # Each delay takes at least the 100 ms that the refusal names.
    assert len(deadlines) > 1
    assert all(later <= earlier - 100 for earlier, later in pairwise(deadlines))


def test_issued_keys_are_discarded_when_they_are_too_old(monkeypatch: pytest.MonkeyPatch):
    """Guards against the use of a key whose entry process may have drained and stopped."""
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
