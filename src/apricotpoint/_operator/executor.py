"""Execution of operator commands."""

from __future__ import annotations

import re
import uuid
from collections.abc import Awaitable, Callable
from typing import Any

from apricotpoint._core.codes import ResultCode
from apricotpoint._core.errors import ApricotError
from apricotpoint._link.transport import PeerUnreachable, Transport
from apricotpoint._operator.cancellations import Cancellations
from apricotpoint._operator.failures import invalid_command
from apricotpoint._operator.language import parse
from apricotpoint._operator.query import column_names, select
from apricotpoint._operator.results import (
    ChangeResult,
    CommandResult,
    DumpResult,
    ShowResult,
    SubmitResult,
)
from apricotpoint._operator.rowservice import (
    DUMP_TABLE,
    REPLY_TIMEOUT_S,
    Cancel,
    RowsByTable,
    TableReader,
    serve_rows,
)
from apricotpoint._operator.statements import (
    CancelCommand,
    ChangeCommand,
    Command,
    DumpCommand,
    ShowCommand,
    SubmitCommand,
)
from apricotpoint._operator.submission import setting_values, task_specs
from apricotpoint._wire.configuration import Change, ChangeReply, Configuration
from apricotpoint._wire.jobs import Answer, JobRequest
from apricotpoint._wire.rows import RowsReply, RowsRequest

# The key of a submission without a key is "op-" and the command id.
_COMMAND_ID = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,59}")


class CommandExecutor:
    """Executes commands and answers the requests of commands run elsewhere.

    A resent command has the same command id. The replicated log recognises a
    resent change by its id, and the key of a job, made from the command id
    unless it is given, identifies a resent submission; `Cancellations`
    remembers the results of cancellations.
    """

    def __init__(
        self,
        *,
        process_id: str,
        transport: Transport,
        rows_by_table: RowsByTable,
        configuration: Callable[[], Configuration],
        change: Callable[[Change], Awaitable[ChangeReply]],
        submit: Callable[[JobRequest], Awaitable[Answer]],
        cancel: Cancel,
        dump: Callable[[], dict[str, Any]],
    ) -> None:
        self._process_id = process_id
        self._transport = transport
        self._configuration = configuration
        self._change = change
        self._submit = submit
        self._dump = dump
        self._reader = TableReader(
            process_id=process_id, transport=transport, rows_by_table=rows_by_table
        )
        self._cancellations = Cancellations(
            process_id=process_id, transport=transport, reader=self._reader, cancel=cancel
        )
        serve_rows(
            transport,
            rows_by_table=rows_by_table,
            dump=dump,
            cancel=cancel,
            recall=self._cancellations.recall,
        )

    async def run(self, text: str, command_id: str | None = None) -> CommandResult:
        """Parse and execute a command; errors are results with their code."""
        try:
            statement = parse(text)
            command_id = _command_id(command_id, statement.command_id)
            return await self._execute(statement.command, command_id)
        except ApricotError as error:
            return CommandResult(
                code=error.code,
                command_id=command_id or "",
                message=error.message,
                remedy=error.remedy,
            )

    def dump(self) -> dict[str, Any]:
        """Return the state dump of this process."""
        return self._dump()

    async def _execute(self, command: Command, command_id: str) -> CommandResult:
        match command:
            case ShowCommand():
                return await self._show(command, command_id)
            case SubmitCommand():
                return await self._run_job(command, command_id)
            case CancelCommand(condition):
                return await self._cancellations.run(condition, command_id)
            case ChangeCommand():
                return await self._apply(command, command_id)
            case DumpCommand(process):
                return await self._dump_process(process or self._process_id, command_id)

    async def _show(self, command: ShowCommand, command_id: str) -> ShowResult:
        rows, unreachable = await self._reader.rows(command.table)
        selected = select(rows, command)
        message = f"no answer from {', '.join(unreachable)}" if unreachable else ""
        return ShowResult(
            code=ResultCode.ACCEPTED,
            command_id=command_id,
            message=message,
            columns=column_names(rows),
            rows=selected,
            config_version=self._configuration().version,
            unreachable=unreachable,
        )

    async def _run_job(self, command: SubmitCommand, command_id: str) -> SubmitResult:
        key = command.key if command.key is not None else f"op-{command_id}"
        if command.until is None and not key.startswith("~"):
            raise invalid_command(
                "the submission has no end of validity for its key",
                "add 'until' with unix seconds at most an hour ahead and repeat it in every resend",
            )
        request = JobRequest(
            key=key,
            team=command.team,
            service=command.service,
            deadline_ms=command.deadline_ms,
            tasks=[task for clause in command.tasks for task in task_specs(clause)],
            valid_until=command.until,
        )
        answer = await self._submit(request)
        return SubmitResult(
            code=ResultCode(answer.code),
            command_id=command_id,
            message=answer.message,
            answer=answer,
        )

    async def _apply(self, command: ChangeCommand, command_id: str) -> ChangeResult:
        self._check_existence(command)
        verb = "set" if command.verb == "create" else command.verb
        change = Change(
            command_id=command_id,
            base_version=command.base_version,
            action=f"{verb}_{command.kind}",
            target=command.target,
            arguments=setting_values(command.settings),
        )
        try:
            reply = await self._change(change)
        except PeerUnreachable as error:
            raise ApricotError(
                ResultCode.COORDINATOR_UNREACHABLE,
                "no control process answered; the change may have been accepted",
                remedy=f"send the command again with the command id {command_id}",
            ) from error
        return ChangeResult(
            code=ResultCode(reply.code),
            command_id=command_id,
            message=reply.message,
            version=reply.version,
        )

    def _check_existence(self, command: ChangeCommand) -> None:
        # Only the base version itself shows whether the name existed there. In
        # any other case the log decides, also for a resend whose first answer
        # was lost.
        configuration = self._configuration()
        if configuration.version != command.base_version:
            return
        names: set[str] = set()
        match command.kind:
            case "service":
                names = set(configuration.service_by_name)
            case "team":
                names = set(configuration.team_by_name)
            case _:
                return
        if command.verb == "create" and command.target in names:
            raise invalid_command(
                f"{command.kind} {command.target!r} exists",
                f"use 'set {command.kind}' to change it",
            )
        if command.verb != "create" and command.target not in names:
            raise ApricotError(
                ResultCode.NOT_FOUND,
                f"there is no {command.kind} {command.target!r}",
                remedy=f"use one of: {', '.join(sorted(names))}" if names else "create it first",
            )

    async def _dump_process(self, process: str, command_id: str) -> DumpResult:
        if process == self._process_id:
            dump = self._dump()
        else:
            dump = await self._remote_dump(process)
        return DumpResult(
            code=ResultCode.ACCEPTED, command_id=command_id, process=process, dump=dump
        )

    async def _remote_dump(self, process: str) -> dict[str, Any]:
        known = sorted([self._process_id, *self._transport.peers()])
        if process not in known:
            raise ApricotError(
                ResultCode.NOT_FOUND,
                f"there is no process {process!r}",
                remedy=f"use one of: {', '.join(known)}",
            )
        try:
            reply = await self._transport.request(
                process, RowsRequest(DUMP_TABLE), timeout_s=REPLY_TIMEOUT_S
            )
        except PeerUnreachable as error:
            raise ApricotError(
                ResultCode.COORDINATOR_UNREACHABLE,
                f"process {process!r} did not answer within {REPLY_TIMEOUT_S:g} s",
                remedy="ask the process itself by GET /v1/dump or SIGUSR1",
            ) from error
        assert isinstance(reply, RowsReply)
        return reply.rows[0]


def new_command_id() -> str:
    """Return a command id that no other command has."""
    return uuid.uuid4().hex


def _command_id(given: str | None, written: str | None) -> str:
    if given is not None and written is not None and given != written:
        raise invalid_command(
            f"the command has the id {written!r}, the request has {given!r}", "give only one id"
        )
    command_id = given if given is not None else written
    if command_id is None:
        return new_command_id()
    if not _COMMAND_ID.fullmatch(command_id):
        raise invalid_command(
            f"command id {command_id[:80]!r} is not valid",
            "use 1 to 60 letters, digits, '.', '_' and '-', starting with a letter or digit",
        )
    return command_id
