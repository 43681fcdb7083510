"""Rows and cancellations across the processes of the system."""

from __future__ import annotations

import functools
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Any

import anyio
import attrs
import msgspec

from apricotpoint._core.errors import ApricotError
from apricotpoint._link.transport import PeerUnreachable, Sender, Transport
from apricotpoint._operator.query import Row
from apricotpoint._wire.jobs import Answer
from apricotpoint._wire.rows import CancelWhere, RowsReply, RowsRequest

REPLY_TIMEOUT_S = 1.0
# The request for the state dump travels as a table with one row.
DUMP_TABLE = "dump"
# Followed by a command id: the cancellation that a process executed under it.
CANCELLATION_TABLE = "cancellation:"
# Every process has a copy of these tables, so equal rows are shown once.
_REPLICATED_TABLES = frozenset({"services", "teams", "members"})

RowsByTable = Mapping[str, Callable[[], list[Row]]]
Cancel = Callable[[str, str], Awaitable[Answer]]


@attrs.frozen
class Gathered:
    """Replies of the processes that answered, by id, and the ids of the others."""

    reply_by_process: dict[str, RowsReply]
    unreachable: list[str]


class TableReader:
    """Reads tables from all processes."""

    def __init__(
        self, *, process_id: str, transport: Transport, rows_by_table: RowsByTable
    ) -> None:
        self._process_id = process_id
        self._transport = transport
        self._rows_by_table = rows_by_table

    async def rows(self, table: str) -> tuple[list[Row], list[str]]:
        """Return the merged rows and the processes that did not answer in time."""
        request = RowsRequest(table)
        gathered = await gather(self._transport, dict.fromkeys(self._transport.peers(), request))
        rows_by_process = {
            process: reply.rows for process, reply in gathered.reply_by_process.items()
        }
        rows_by_process[self._process_id] = local_rows(self._rows_by_table, table)
        return merge(table, rows_by_process), gathered.unreachable


def serve_rows(
    transport: Transport,
    *,
    rows_by_table: RowsByTable,
    dump: Callable[[], dict[str, Any]],
    cancel: Cancel | None = None,
    recall: Callable[[str], list[Row]] | None = None,
) -> None:
    """Register the handlers that answer the operator commands run by other processes.

    A process without jobs passes no `cancel`, one without an operator API no
    `recall`, which returns the cancellation executed under a command id.
    """

    async def rows(_: Sender, message: object) -> object:
        assert isinstance(message, RowsRequest)
        if message.table == DUMP_TABLE:
            return RowsReply([dump()])
        if message.table.startswith(CANCELLATION_TABLE):
            command_id = message.table.removeprefix(CANCELLATION_TABLE)
            return RowsReply(recall(command_id) if recall else [])
        return RowsReply(local_rows(rows_by_table, message.table))

    async def cancel_jobs(_: Sender, message: object) -> object:
        assert isinstance(message, CancelWhere)
        return RowsReply(await cancel_local(message.team_keys, cancel) if cancel else [])

    transport.request_handlers_by_type[RowsRequest] = rows
    transport.request_handlers_by_type[CancelWhere] = cancel_jobs


def local_rows(rows_by_table: RowsByTable, table: str) -> list[Row]:
    """Return the rows of this process, none for a table that it doesn't have."""
    make_rows = rows_by_table.get(table)
    return [] if make_rows is None else make_rows()


async def cancel_local(team_keys: Sequence[Sequence[str]], cancel: Cancel) -> list[Row]:
    """Cancel jobs of this process and return a row with team, key and code for each.

    The jobs are cancelled concurrently, so that the messages to backend
    servers can be combined.
    """
    code_by_job: dict[tuple[str, str], int] = {}

    async def cancel_one(team: str, key: str) -> None:
        try:
            code_by_job[team, key] = (await cancel(team, key)).code
        except ApricotError as error:
            code_by_job[team, key] = error.code

    async with anyio.create_task_group() as group:
        for team, key in team_keys:
            group.start_soon(cancel_one, team, key)
    return [{"team": team, "key": key, "code": code_by_job[team, key]} for team, key in team_keys]


async def gather(
    transport: Transport,
    message_by_process: Mapping[str, object],
    *,
    timeout_s: float = REPLY_TIMEOUT_S,
) -> Gathered:
    """Send one request to each process concurrently and collect the replies."""
    reply_by_process: dict[str, RowsReply] = {}

    async def ask(process: str, message: object) -> None:
        try:
            reply = await transport.request(process, message, timeout_s=timeout_s)
        except PeerUnreachable:
            return
        if isinstance(reply, RowsReply):
            reply_by_process[process] = reply

    async with anyio.create_task_group() as group:
        for process, message in message_by_process.items():
            group.start_soon(functools.partial(ask, process, message))
    unreachable = sorted(set(message_by_process) - set(reply_by_process))
    return Gathered(reply_by_process, unreachable)


def merge(table: str, rows_by_process: Mapping[str, list[Row]]) -> list[Row]:
    """Return the rows of all processes with the column `process`.

    Equal rows of a replicated table are merged; the column `processes` then
    has the number of processes that reported the row, so that a process with
    an old configuration is visible.
    """
    merged = [
        {"process": process, **row}
        for process, rows in sorted(rows_by_process.items())
        for row in rows
    ]
    if table not in _REPLICATED_TABLES:
        return merged
    distinct_by_content: dict[bytes, Row] = {}
    for row in merged:
        content = {name: value for name, value in row.items() if name != "process"}
        encoded = msgspec.json.encode(content, order="sorted")
        known = distinct_by_content.setdefault(encoded, {**content, "processes": 0})
        known["processes"] += 1
    return list(distinct_by_content.values())
