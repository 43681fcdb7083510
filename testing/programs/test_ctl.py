"""Requests, output and exit status of apricotctl."""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path

import httpx
import pytest
from cleo.testers.application_tester import ApplicationTester

from apricotpoint._core.codes import ResultCode
from apricotpoint._operator import codespage
from apricotpoint._programs.ctl import make_application

ROWS = {
    "code": 4000,
    "columns": ["key", "state"],
    "rows": [{"key": "a<b>", "state": "running"}, {"key": "\x1b[2J", "state": None}],
    "config_version": 7,
    "message": "no answer from toluca-1",
}


class Console:
    """apricotctl with a function in place of the HTTP server; records the requests."""

    def __init__(self, folder: Path, answer: Callable[[httpx.Request], httpx.Response]) -> None:
        self.requests: list[httpx.Request] = []
        self._respond = answer
        token = folder / "token"
        token.write_text("t0ken")
        token.chmod(0o600)
        self.token = token
        self.settings = folder / "ctl.jsonc"
        self.settings.write_text(
            f'{{"addresses": ["a:1", "b:1"], /* own token */ "token_file": "{token}"}}'
        )

    def run(self, arguments: str) -> ApplicationTester:
        """Run apricotctl and return its output and exit status."""
        transport = httpx.MockTransport(self._record)
        application = make_application(wall_clock=lambda: 1_800_000_000.0, transport=transport)
        tester = ApplicationTester(application)
        tester.execute(f"{arguments} --settings {self.settings}")
        return tester

    def bodies(self) -> list[dict]:
        """Return the decoded bodies of all requests."""
        return [json.loads(request.content) for request in self.requests]

    def _record(self, request: httpx.Request) -> httpx.Response:
        self.requests.append(request)
        return self._respond(request)


def respond_with(result: dict, status: int = 200) -> Callable[[httpx.Request], httpx.Response]:
    return lambda request: httpx.Response(status, json=result)


def test_rows_are_shown_as_a_table_without_control_characters(tmp_path: Path):
    """Guards against terminal escape sequences in names that callers choose."""
    console = Console(tmp_path, respond_with(ROWS))
    tester = console.run("show jobs where state != done limit 5")
    output = tester.io.fetch_output()
    assert tester.status_code == 0
    assert "| a<b>" in output
    assert "\x1b" not in output
    assert "2 rows, configuration version 7" in output
    assert "no answer from toluca-1" in tester.io.fetch_error()
    (request,) = console.requests
    assert request.url == "http://a:1/v1/command"
    assert request.headers["authorization"] == "Bearer t0ken"
    assert console.bodies()[0]["text"].startswith("show jobs where state != done limit 5 as ")


def test_json_output_is_the_result(tmp_path: Path):
    """Guards against output that scripts cannot parse because it has more than the result."""
    tester = Console(tmp_path, respond_with(ROWS)).run("show jobs --json")
    assert json.loads(tester.io.fetch_output()) == ROWS


def test_next_address_gets_the_same_command(tmp_path: Path):
    """Guards against a command that is executed twice.

    If the answer of one address is lost, the next address must get the same command id, key
    validity and text.
    """

    def answer(request: httpx.Request) -> httpx.Response:
        if request.url.host == "a":
            raise httpx.ReadTimeout("no answer")
        return httpx.Response(200, json={"code": 1000, "answer": {"results": [1]}})

    console = Console(tmp_path, answer)
    tester = console.run("submit order-desk team hem deadline 2s task quick")
    assert tester.status_code == 0
    first, second = console.bodies()
    assert first == second
    assert "until 1800000600" in first["text"]
    assert first["command_id"] in first["text"]


def test_command_without_an_answer_has_an_unknown_outcome(tmp_path: Path):
    """Guards against an error that reads as if the command had not been executed.

    The message must also have the command with its id, so that it can be sent again.
    """

    def answer(request: httpx.Request) -> httpx.Response:
        raise httpx.ConnectError("refused")

    tester = Console(tmp_path, answer).run("cancel jobs where team = hem --command-id c-1")
    assert tester.status_code == ResultCode.COORDINATOR_UNREACHABLE.exit_status
    error = tester.io.fetch_error()
    assert "a:1: refused; b:1: refused" in error
    assert "apricotctl run 'cancel jobs where team = hem as c-1'" in error


@pytest.mark.parametrize("code", [1001, 2104, 3103, 4101, 4102, 4103, 4104])
def test_exit_status_follows_the_result_code(tmp_path: Path, code: int):
    """Guards against scripts that take a failed command for a successful one."""
    status = ResultCode(code).http_status
    tester = Console(tmp_path, respond_with({"code": code}, status)).run("drain vm p-1 at 3")
    assert tester.status_code == ResultCode(code).exit_status != 0


@pytest.mark.parametrize(
    ("arguments", "text"),
    [
        ("members", "show members"),
        ("members where id = x", "show members where id = x"),
        ("members remove x at 3", "remove member x at 3"),
        ("add member x address = here at 3", "add member x address = here at 3"),
        ('run "set team hem weight = 2.5 at 3"', "set team hem weight = 2.5 at 3"),
        ("create team hem at 0", "create team hem at 0"),
        ("remove service s at 4", "remove service s at 4"),
        ("undrain vm v at 4", "undrain vm v at 4"),
        ("stop backend w at 4", "stop backend w at 4"),
        ("dump puebla-1", "dump puebla-1"),
    ],
)
def test_verbs_send_the_command(tmp_path: Path, arguments: str, text: str):
    """Guards against a verb whose command line is sent as a different command."""
    console = Console(tmp_path, respond_with({"code": 4000}))
    console.run(f"{arguments} --command-id i-1")
    assert console.bodies() == [{"text": f"{text} as i-1", "command_id": "i-1"}]


@pytest.mark.parametrize("arguments", ["show jbos", "run x", "cancel", "dump as b --command-id c"])
def test_invalid_command_is_not_sent(tmp_path: Path, arguments: str):
    """Guards against commands that are sent although the parser rejects them."""
    console = Console(tmp_path, respond_with({"code": 4000}))
    tester = console.run(arguments)
    assert tester.status_code == ResultCode.INVALID_COMMAND.exit_status
    assert console.requests == []


def test_token_file_that_others_can_read_is_rejected(tmp_path: Path):
    """Guards against an operator token that other users of the machine can read."""
    console = Console(tmp_path, respond_with(ROWS))
    console.token.chmod(0o644)
    tester = console.run("show jobs")
    assert tester.status_code == ResultCode.INVALID_SETTINGS.exit_status
    assert "chmod 600" in tester.io.fetch_error()
    assert console.requests == []


def test_page_of_result_codes_is_up_to_date():
    """Guards against a result code that is missing or explained differently on the page."""
    page = Path(__file__).parents[2] / "docs" / "result-codes.md"
    assert page.read_text(encoding="utf-8") == codespage.markdown()


def test_codes_writes_the_page(tmp_path: Path):
    """Guards against a wrong page, and a traceback if the page cannot be written."""
    tester = ApplicationTester(make_application())
    assert tester.execute(f"codes --markdown --output {tmp_path / 'c.md'}") == 0
    assert (tmp_path / "c.md").read_text(encoding="utf-8") == codespage.markdown()
    assert tester.execute(f"codes --markdown --output {tmp_path / 'no' / 'c.md'}") == 40
