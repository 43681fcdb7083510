"""The operator API: authorisation, results, and errors for any input."""

from __future__ import annotations

import httpx
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from operator_fakes import make_system, run_on_virtual_time
from operator_strategies import STATEMENTS, TEXTS

from apricotpoint._http.operators import MAX_BODY_BYTES, make_app
from apricotpoint._operator.printing import print_statement
from apricotpoint._operator.statements import Statement

TOKEN = {"authorization": "Bearer good"}


def call(method: str, path: str, **options: object) -> httpx.Response:
    async def send() -> httpx.Response:
        app = make_app(
            make_system()[0].commands,
            is_operator=lambda token: token == "good",
            counters=lambda: {"jobs.complete": 3},
            health=lambda: {"config_version": 7},
        )
        transport = httpx.ASGITransport(app)
        async with httpx.AsyncClient(transport=transport, base_url="http://entry") as client:
            return await client.request(method, path, **options)  # type: ignore[arg-type]

    return run_on_virtual_time(send)


def test_command_is_executed_with_its_id():
    """Guards against a command id that is lost between the request and the executor."""
    body = {"text": "show jobs limit 1", "command_id": "q-1"}
    response = call("POST", "/v1/command", json=body, headers=TOKEN)
    assert response.status_code == 200
    assert response.json()["command_id"] == "q-1"
    assert [row["key"] for row in response.json()["rows"]] == ["a"]


@pytest.mark.parametrize("header", [None, "good", "Bearer bad", "Bearer", "Basic good"])
@pytest.mark.parametrize("path", ["/v1/command", "/v1/dump", "/v1/counters"])
def test_request_without_a_valid_token_is_rejected(path: str, header: str | None):
    """Guards against operator requests of anyone who can reach the port."""
    method = "POST" if path == "/v1/command" else "GET"
    response = call(method, path, headers={} if header is None else {"authorization": header})
    assert (response.status_code, response.json()["code"]) == (401, 2102)


def test_dump_counters_and_health_are_served():
    """Guards against routes that are missing or return the wrong data."""
    assert call("GET", "/v1/dump", headers=TOKEN).json() == {"process": "puebla-1"}
    assert call("GET", "/v1/counters", headers=TOKEN).json() == {"jobs.complete": 3}
    assert call("GET", "/v1/health").json() == {"config_version": 7}


def test_too_large_body_is_rejected():
    """Guards against the memory and time that a body of any size would cost."""
    response = call("POST", "/v1/command", content=b" " * (MAX_BODY_BYTES + 1), headers=TOKEN)
    assert (response.status_code, response.json()["code"]) == (413, 2111)


def test_deeply_nested_body_is_rejected():
    """Guards against a body that exceeds the recursion limit of the JSON decoder."""
    response = call("POST", "/v1/command", content=b"[" * 100_000, headers=TOKEN)
    assert (response.status_code, response.json()["code"]) == (400, 2101)


BODIES = st.one_of(
    st.binary(max_size=40),
    st.just(b'{"text": "show jobs where a = \\"\\ud800\\""}'),
    st.builds(lambda text: b'{"text": "' + text + b'"}', st.binary(max_size=20)),
)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(BODIES)
def test_invalid_body_is_answered_with_status_400(body: bytes):
    """Guards against a body that ends the request with an internal error."""
    response = call("POST", "/v1/command", content=body, headers=TOKEN)
    assert response.status_code == 400
    assert response.json()["remedy"]


@settings(derandomize=True, max_examples=200, deadline=None)
@given(STATEMENTS)
def test_every_valid_command_is_answered_with_a_known_code(statement: Statement):
    """Guards against a valid command that ends the request with an internal error."""
    body = {"text": print_statement(statement)}
    response = call("POST", "/v1/command", json=body, headers=TOKEN)
    assert response.json()["code"] in {1000, 4000, 4103, 4104}


@settings(derandomize=True, max_examples=100, deadline=None)
@given(TEXTS)
def test_every_text_is_answered_with_a_known_code(text: str):
    """Guards against a text that ends the request with an internal error."""
    response = call("POST", "/v1/command", json={"text": text}, headers=TOKEN)
    assert response.json()["code"] in {1000, 4000, 4103, 4104}
    assert response.status_code in {200, 400, 404}
