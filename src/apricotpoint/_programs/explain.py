"""`apricotctl explain`: where a job would go now, and why, without sending it."""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import httpx
from cleo.commands.command import Command
from cleo.helpers import argument, option
from cleo.io.outputs.output import Output

from apricotpoint._core.codes import ResultCode

TIMEOUT_S = 5.0
DEADLINE_HEADER = "apricotpoint-deadline-ms"
_HTTP_OK = 200

PrintTable = Callable[[Command, list[str], list[dict[str, Any]]], None]


class ExplainCommand(Command):
    """Asks an entry process what would happen to a job, and prints the answer."""

    name = "explain"
    description = "Explain where a job would go now: explain 10.1.0.9:8167 a.example/p/ID job.json."
    arguments = [
        argument("address", "Address (host:port) of the readiness check of an entry process."),
        argument("url", "Host and path to which the job would be sent."),
        argument("file", "File with the body of the job."),
    ]
    options = [
        option("json", None, "Print the explanation as JSON."),
        option("deadline-ms", None, "Deadline of the caller in milliseconds.", flag=False),
    ]

    def __init__(
        self,
        *,
        print_table: PrintTable,
        write: Callable[[Output, str], None],
        transport: httpx.BaseTransport | None,
    ) -> None:
        self._print_table = print_table
        self._write = write
        self._transport = transport
        super().__init__()

    def handle(self) -> int:
        """Print the explanation and return 0, or the exit status of the refusal."""
        try:
            body = Path(self.argument("file")).read_bytes()
            status, result = self._ask(body)
        except (OSError, httpx.HTTPError, ValueError) as error:
            self._write(self.io.error_output, f"no explanation: {error}")
            return ResultCode.INVALID_COMMAND.exit_status
        if self.option("json"):
            self._write(self.io.output, json.dumps(result, indent=2))
        elif status == _HTTP_OK:
            self._print(result)
        else:
            self._write(self.io.error_output, f"HTTP status {status}: {json.dumps(result)}")
        if status == _HTTP_OK:
            return 0
        code = result.get("code", int(ResultCode.NOT_FOUND))
        return ResultCode(code).exit_status

    def _ask(self, body: bytes) -> tuple[int, dict[str, Any]]:
        host, _, path = self.argument("url").partition("/")
        headers = {"host": host}
        if self.option("deadline-ms") is not None:
            headers[DEADLINE_HEADER] = self.option("deadline-ms")
        with httpx.Client(transport=self._transport, timeout=TIMEOUT_S) as client:
            url = f"http://{self.argument('address')}/explain/{path}"
            response = client.post(url, content=body, headers=headers)
        return response.status_code, response.json()

    def _print(self, result: dict[str, Any]) -> None:
        holders = [
            {**row, "chosen": row["entry_id"] == result["target"]} for row in result["holders"]
        ]
        if holders:
            self._print_table(self, list(holders[0]), holders)
        holder = result["holder"]
        if holder is None:
            self._write(self.io.output, f"no explanation of a holder: {result['reason']}")
            return
        if holder["backends"]:
            self._print_table(self, list(holder["backends"][0]), holder["backends"])
        figures = {key: value for key, value in holder.items() if key != "backends"}
        self._print_table(self, list(figures), [figures])
