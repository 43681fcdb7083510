"""Execution of operator commands in an entry or control process."""

from __future__ import annotations

import re
import time
import uuid
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

import logbook

from apricotpoint._control.evacuation import describe, make_order
from apricotpoint._core.codes import ResultCode
from apricotpoint._core.errors import ApricotError
from apricotpoint._link.transport import PeerUnreachable, Transport
from apricotpoint._operator.cancellations import Cancellations
from apricotpoint._operator.errors import invalid_command
from apricotpoint._operator.language import parse
from apricotpoint._operator.query import column_names, select
from apricotpoint._operator.results import (
    ChangeResult,
    CommandResult,
    DumpResult,
    ShowResult,
    SubmitResult,
)
from apricotpoint._operator.statements import (
    CancelCommand,
    ChangeCommand,
    Command,
    DumpCommand,
    EvacuationCommand,
    ShowCommand,
    SubmitCommand,
)
from apricotpoint._operator.submission import setting_values, task_specs
from apricotpoint._operator.tables import (
    DUMP_TABLE,
    REPLY_TIMEOUT_S,
    CancelJob,
    RowsByTable,
    TableReader,
    register_handlers,
)
from apricotpoint._wire.configuration import Change, ChangeReply, Configuration
from apricotpoint._wire.jobs import Answer, JobRequest
from apricotpoint._wire.rows import RowsReply, RowsRequest

_log = logbook.Logger("operator")

# A submission without a key gets the key "op-" plus the command id, so a command id is
# limited to characters and a length that are valid in a key.
_COMMAND_ID_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,59}")


class CommandExecutor:
    """Executes operator commands, and serves requests of commands executed by peers.

    A resent command has the same command id, which avoids a second execution: the
    replicated log recognises a resent change by the command id; a resent submission
    is recognised by the key of its job, which is made from the command id unless the
    command has a key; `Cancellations` stores the results of cancellations by command id.
    `failure_domains` are all those of the deployment; without them the process takes no orders
    for failure domains. `wall_time` returns Unix seconds.
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
        cancel: CancelJob,
        dump: Callable[[], dict[str, Any]],
        failure_domains: Sequence[str] = (),
        wall_time: Callable[[], float] = time.time,
    ) -> None:
        self._failure_domains = failure_domains
        self._wall_time = wall_time
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
        register_handlers(
            transport,
            rows_by_table=rows_by_table,
            dump=dump,
            cancel=cancel,
            find_cancellation=self._cancellations.find,
        )

    async def run(self, text: str, command_id: str | None = None) -> CommandResult:
        """Parse and execute a command; an `ApricotError` becomes a result with its code."""
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
                return await self._submit_job(command, command_id)
            case CancelCommand(condition):
                return await self._cancellations.run(condition, command_id)
            case ChangeCommand():
                return await self._apply_change(command, command_id)
            case EvacuationCommand():
                return await self._order_evacuation(command, command_id)
            case DumpCommand(process):
                return await self._dump_of(process or self._process_id, command_id)

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

    async def _submit_job(self, command: SubmitCommand, command_id: str) -> SubmitResult:
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

    async def _apply_change(self, command: ChangeCommand, command_id: str) -> ChangeResult:
        self._check_existence(command)
        verb = "set" if command.verb == "create" else command.verb
        change = Change(
            command_id=command_id,
            base_version=command.base_version,
            action=f"{verb}_{command.kind}",
            target=command.target,
            arguments=setting_values(command.settings),
        )
        reply = await self._send_change(change)
        return _change_result(reply, command_id, reply.message)

    async def _order_evacuation(self, command: EvacuationCommand, command_id: str) -> ChangeResult:
        if not self._failure_domains:
            raise invalid_command(
                "this process does not know all failure domains",
                "send the command to an entry process",
            )
        order = make_order(
            self._configuration(),
            begin=command.verb == "evacuate",
            domain=command.domain,
            command_id=command_id,
            domains=self._failure_domains,
            ordered_at=self._wall_time(),
        )
        reply = await self._send_change(order)
        message = reply.message
        if reply.code == ResultCode.ACCEPTED:
            message = f"failure domain {command.domain}: {describe(reply.evacuation)}"
        _log.notice(
            "order {} to {} failure domain {!r} answered with code {}: {}",
            command_id,
            command.verb,
            command.domain,
            int(reply.code),
            message,
        )
        return _change_result(reply, command_id, message)

    async def _send_change(self, change: Change) -> ChangeReply:
        try:
            return await self._change(change)
        except PeerUnreachable as error:
            raise ApricotError(
                ResultCode.COORDINATOR_UNREACHABLE,
                "no control process answered; the change may have been accepted",
                remedy=f"send the command again with the command id {change.command_id}",
            ) from error

    def _check_existence(self, command: ChangeCommand) -> None:
        # Only a configuration of exactly the base version shows whether the name
        # exists in it. For any other version the replicated log decides, which also
        # recognises a resend whose first reply was lost.
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
                f"{command.kind} {command.target!r} already exists",
                f"use 'set {command.kind}' to change it",
            )
        if command.verb != "create" and command.target not in names:
            raise ApricotError(
                ResultCode.NOT_FOUND,
                f"{command.kind} {command.target!r} does not exist",
                remedy=f"use one of: {', '.join(sorted(names))}" if names else "create it first",
            )

    async def _dump_of(self, process: str, command_id: str) -> DumpResult:
        if process == self._process_id:
            dump = self._dump()
        else:
            dump = await self._fetch_dump(process)
        return DumpResult(
            code=ResultCode.ACCEPTED, command_id=command_id, process=process, dump=dump
        )

    async def _fetch_dump(self, process: str) -> dict[str, Any]:
        known = sorted([self._process_id, *self._transport.peers()])
        if process not in known:
            raise ApricotError(
                ResultCode.NOT_FOUND,
                f"process {process!r} does not exist",
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
                remedy="get the dump from the process itself with GET /v1/dump or SIGUSR1",
            ) from error
        assert isinstance(reply, RowsReply)
        return reply.rows[0]


def _change_result(reply: ChangeReply, command_id: str, message: str) -> ChangeResult:
    return ChangeResult(
        code=ResultCode(reply.code), command_id=command_id, message=message, version=reply.version
    )


def new_command_id() -> str:
    """Return a new unique command id."""
    return uuid.uuid4().hex


def _command_id(in_request: str | None, in_text: str | None) -> str:
    if in_request is not None and in_text is not None and in_request != in_text:
        raise invalid_command(
            f"the command has the id {in_text!r}, but the request has the id {in_request!r}",
            "give only one id",
        )
    command_id = in_request if in_request is not None else in_text
    if command_id is None:
        return new_command_id()
    if not _COMMAND_ID_PATTERN.fullmatch(command_id):
        raise invalid_command(
            f"command id {command_id[:80]!r} is not valid",
            "use 1 to 60 letters, digits, '.', '_' and '-', starting with a letter or digit",
        )
    return command_id
