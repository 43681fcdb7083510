"""apricotctl: the command line of operators."""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import attrs
import httpx
from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import argument, option
from cleo.io.outputs.output import Output, Type

from apricotpoint._core import settings
from apricotpoint._core.codes import ResultCode, code_table
from apricotpoint._core.errors import ApricotError
from apricotpoint._operator import codespage
from apricotpoint._operator.client import ClientSettings, OperatorClient, read_token
from apricotpoint._operator.executor import new_command_id
from apricotpoint._operator.language import parse
from apricotpoint._operator.printing import print_statement
from apricotpoint._operator.statements import Statement, SubmitCommand
from apricotpoint._programs.explain import ExplainCommand

DEFAULT_SETTINGS = Path("~/.config/apricotctl.jsonc")
# The system keeps a key until its validity ends, which may be at most 3,600 s ahead.
KEY_VALIDITY_S = 600
MAX_KEY_VALIDITY_S = 3_540

_JSON_OPTION = option("json", None, "Print the result as JSON.")
_OPTIONS = [
    _JSON_OPTION,
    option(
        "address",
        None,
        "Address (host:port) of an operator API; if it doesn't answer, the next one is used.",
        flag=False,
        multiple=True,
    ),
    option("settings", None, f"Settings file, {DEFAULT_SETTINGS} by default.", flag=False),
    option("token-file", None, "File with the operator token.", flag=False),
    option("tls-ca-file", None, "File with the CA certificates of the entry VMs.", flag=False),
    option(
        "command-id",
        None,
        "Id of the command; use the same id to send a command again.",
        flag=False,
    ),
]
_DESCRIPTION_BY_VERB = {
    "run": 'Run a command given as one text: run "show jobs limit 5".',
    "show": "Show a table: show jobs where state = queued.",
    "submit": "Submit a job: submit order-desk team hem deadline 2s task quick-price.",
    "cancel": "Cancel jobs: cancel jobs where team = hem.",
    "set": "Change a service or team: set service order-desk max_queue_s = 20 at 12.",
    "create": "Create a service or team: create team hem quota_tasks = 200 at 13.",
    "remove": "Remove a service, team or member: remove team hem at 14.",
    "add": "Add a control member: add member control-toluca at 15.",
    "drain": "Drain a VM or backend server: drain vm puebla-1 at 16.",
    "undrain": "End a drain: undrain vm puebla-1 at 17.",
    "stop": "Stop a VM or backend server: stop backend w-7 at 18.",
    "evacuate": "Start nothing more in a failure domain: evacuate toluca.",
    "restore": "End the evacuation of a failure domain: restore toluca.",
    "dump": "Show the state dump of a process: dump puebla-1.",
    "members": "Show the control members; 'members add' and 'members remove' change them.",
}

Clock = Callable[[], float]


class VerbCommand(Command):
    """Sends one command of the operator language."""

    arguments = [argument("words", "Rest of the command.", optional=True, multiple=True)]
    options = _OPTIONS

    def __init__(
        self, verb: str, *, wall_clock: Clock, transport: httpx.BaseTransport | None
    ) -> None:
        self.name = verb
        self.description = _DESCRIPTION_BY_VERB[verb]
        self._wall_clock = wall_clock
        self._transport = transport
        super().__init__()

    def handle(self) -> int:
        """Run the command and return its exit status."""
        try:
            result = self._send()
        except ApricotError as error:
            result = {"code": int(error.code), "message": error.message, "remedy": error.remedy}
        if self.option("json"):
            _write(self.io.output, json.dumps(result, indent=2))
        else:
            self._print(result)
        return _exit_status(result["code"])

    def _send(self) -> dict[str, Any]:
        text = _command_text(self.name or "", self.argument("words"))
        statement = _with_id_and_validity(
            parse(text), self.option("command-id"), self._wall_clock()
        )
        command = statement.command
        client_settings = self._client_settings()
        if client_settings.token_file is None:
            raise _settings_error("no token file is given", "set token_file or use --token-file")
        if not client_settings.addresses:
            raise _settings_error("no operator address is given", "set addresses or use --address")
        with OperatorClient(
            client_settings.addresses,
            token=read_token(client_settings.token_file),
            tls_ca_file=client_settings.tls_ca_file,
            transport=self._transport,
        ) as client:
            return client.run(
                print_statement(statement),
                statement.command_id or "",
                run_time_s=command.deadline_ms / 1000 if isinstance(command, SubmitCommand) else 0,
            )

    def _client_settings(self) -> ClientSettings:
        path = self.option("settings")
        loaded = ClientSettings()
        if path is not None:
            loaded = settings.load(Path(path), ClientSettings)
        elif DEFAULT_SETTINGS.expanduser().exists():
            loaded = settings.load(DEFAULT_SETTINGS.expanduser(), ClientSettings)
        if self.option("address"):
            loaded = attrs.evolve(loaded, addresses=self.option("address"))
        if self.option("token-file"):
            loaded = attrs.evolve(loaded, token_file=Path(self.option("token-file")))
        if self.option("tls-ca-file"):
            loaded = attrs.evolve(loaded, tls_ca_file=Path(self.option("tls-ca-file")))
        return loaded

    def _print(self, result: dict[str, Any]) -> None:
        rows = result.get("rows")
        if rows:
            _print_table(self, result.get("columns") or list(rows[0]), rows)
        for name in ("answer", "dump"):
            if result.get(name) is not None:
                _write(self.io.output, json.dumps(result[name], indent=2))
        summary = [f"code {result['code']}"]
        if rows is not None:
            summary.append(f"{len(rows)} rows")
        for name, label in (("version", "version"), ("config_version", "configuration version")):
            if name in result:
                summary.append(f"{label} {result[name]}")
        if result.get("command_id"):
            summary.append(f"command id {result['command_id']}")
        succeeded = _exit_status(result["code"]) == 0
        _write(self.io.output if succeeded else self.io.error_output, ", ".join(summary))
        for name in ("message", "remedy"):
            if result.get(name):
                _write(self.io.error_output, _printable(result[name]))


class CodesCommand(Command):
    """Shows the result codes."""

    name = "codes"
    description = "Show the result codes, or write them as a page with --markdown."
    options = [
        _JSON_OPTION,
        option("markdown", None, "Write the page in Markdown."),
        option("output", None, "File to write.", flag=False, default="docs/result-codes.md"),
    ]

    def handle(self) -> int:
        """Print the result codes, or write their page to the file of `--output`."""
        if self.option("markdown"):
            path = Path(self.option("output"))
            try:
                path.write_text(codespage.markdown(), encoding="utf-8")
            except OSError as error:
                _write(self.io.error_output, f"{path} cannot be written: {error.strerror}")
                return ResultCode.INVALID_SETTINGS.exit_status
            _write(self.io.output, f"wrote {path}")
            return 0
        rows = [{**attrs.asdict(row), "name": row.code.name.lower()} for row in code_table()]
        if self.option("json"):
            _write(self.io.output, json.dumps(rows, indent=2))
        else:
            columns = ["code", "name", "meaning", "http_status", "exit_status"]
            _print_table(self, columns, rows)
        return 0


def make_application(
    *, wall_clock: Clock = time.time, transport: httpx.BaseTransport | None = None
) -> Application:
    """Return the console application.

    Tests replace the wall clock (unix seconds) and the HTTP transport.
    """
    application = Application("apricotctl")
    for verb in _DESCRIPTION_BY_VERB:
        application.add(VerbCommand(verb, wall_clock=wall_clock, transport=transport))
    application.add(CodesCommand())
    application.add(ExplainCommand(print_table=_print_table, write=_write, transport=transport))
    return application


def main() -> None:
    """Run apricotctl."""
    sys.exit(make_application().run())


def _command_text(verb: str, words: Sequence[str]) -> str:
    match verb, list(words):
        case "run", _:
            return " ".join(words)
        case "members", []:
            return "show members"
        case "members", [("add" | "remove") as change, *rest]:
            return " ".join([change, "member", *rest])
        case "members", rest:
            return " ".join(["show members", *rest])
        case _:
            return " ".join([verb, *words])


def _with_id_and_validity(statement: Statement, command_id: str | None, now_s: float) -> Statement:
    """Return the statement with a command id and an end of key validity.

    Both are part of the text that is sent, so a resend of that text is identical.
    """
    if command_id is not None and statement.command_id not in {None, command_id}:
        raise ApricotError(
            ResultCode.INVALID_COMMAND,
            f"the command has the id {statement.command_id!r}, but --command-id is {command_id!r}",
            remedy="give only one id",
        )
    command = statement.command
    if (
        isinstance(command, SubmitCommand)
        and command.until is None
        and not (command.key or "").startswith("~")
    ):
        validity_s = min(max(KEY_VALIDITY_S, command.deadline_ms // 1000 + 60), MAX_KEY_VALIDITY_S)
        command = attrs.evolve(command, until=int(now_s) + validity_s)
    return Statement(command, command_id or statement.command_id or new_command_id())


def _exit_status(code: int) -> int:
    try:
        return ResultCode(code).exit_status
    except ValueError:
        # A newer entry process may send a code that this release doesn't know; 30 is
        # the exit status of most 4xxx codes.
        return 30


def _settings_error(message: str, remedy: str) -> ApricotError:
    return ApricotError(ResultCode.INVALID_SETTINGS, message, remedy=remedy)


def _print_table(command: Command, columns: list[str], rows: list[dict[str, Any]]) -> None:
    table = command.table()
    table.set_headers([_cell(name) for name in columns])
    table.set_rows([[_cell(row.get(name)) for name in columns] for row in rows])
    table.render()


def _cell(value: object) -> str:
    if value is None:
        return ""
    text = value if isinstance(value, str) else json.dumps(value)
    # cleo interprets "<" as the start of a style tag.
    return _printable(text).replace("<", "\\<")


def _printable(text: str) -> str:
    # Callers choose names, which may contain terminal escape sequences.
    return "".join(char if char.isprintable() else repr(char)[1:-1] for char in text)


def _write(output: Output, text: str) -> None:
    output.write(text, new_line=True, type=Type.RAW)


if __name__ == "__main__":
    main()
