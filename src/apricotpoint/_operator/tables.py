"""Table rows and job cancellations collected from all processes of the system."""

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
# Pseudo-table whose only row is the state dump of the process.
DUMP_TABLE = "dump"
# Prefix of a pseudo-table; the rest of its name is a command id, and its row is the
# cancellation that the process executed under that id.
CANCELLATION_TABLE = "cancellation:"
# Every process has a copy of these tables, so equal rows are merged into one.
_REPLICATED_TABLES = frozenset({"services", "teams", "members", "evacuations"})

RowsByTable = Mapping[str, Callable[[], list[Row]]]
CancelJob = Callable[[str, str], Awaitable[Answer]]


@attrs.frozen
class PeerReplies:
    """Replies by process id, and the ids of the processes that did not answer."""

    reply_by_process: dict[str, RowsReply]
    unreachable: list[str]


class TableReader:
    """Reads a table from this process and all its peers."""

    def __init__(
        self, *, process_id: str, transport: Transport, rows_by_table: RowsByTable
    ) -> None:
        self._process_id = process_id
        self._transport = transport
        self._rows_by_table = rows_by_table

    async def rows(self, table: str) -> tuple[list[Row], list[str]]:
        """Return the merged rows and the ids of the processes that did not answer in time."""
        request = RowsRequest(table)
        replies = await request_all(
            self._transport, dict.fromkeys(self._transport.peers(), request)
        )
        rows_by_process = {
            process: reply.rows for process, reply in replies.reply_by_process.items()
        }
        rows_by_process[self._process_id] = local_rows(self._rows_by_table, table)
        return merge_rows(table, rows_by_process), replies.unreachable


def register_handlers(
    transport: Transport,
    *,
    rows_by_table: RowsByTable,
    dump: Callable[[], dict[str, Any]],
    cancel: CancelJob | None = None,
    find_cancellation: Callable[[str], list[Row]] | None = None,
) -> None:
    """Register the handlers for requests of commands that other processes execute.

    `find_cancellation` returns the cancellation that was executed under a command
    id. A process without jobs passes no `cancel`, and a process without an operator
    API passes no `find_cancellation`.
    """

    async def handle_rows_request(_: Sender, message: object) -> object:
        assert isinstance(message, RowsRequest)
        if message.table == DUMP_TABLE:
            return RowsReply([dump()])
        if message.table.startswith(CANCELLATION_TABLE):
            command_id = message.table.removeprefix(CANCELLATION_TABLE)
            return RowsReply(find_cancellation(command_id) if find_cancellation else [])
        return RowsReply(local_rows(rows_by_table, message.table))

    async def handle_cancel_request(_: Sender, message: object) -> object:
        assert isinstance(message, CancelWhere)
        return RowsReply(await cancel_local_jobs(message.team_keys, cancel) if cancel else [])

    transport.request_handlers_by_type[RowsRequest] = handle_rows_request
    transport.request_handlers_by_type[CancelWhere] = handle_cancel_request


def local_rows(rows_by_table: RowsByTable, table: str) -> list[Row]:
    """Return the rows of this process; an empty list for a table that it doesn't have."""
    make_rows = rows_by_table.get(table)
    return [] if make_rows is None else make_rows()


async def cancel_local_jobs(team_keys: Sequence[Sequence[str]], cancel: CancelJob) -> list[Row]:
    """Cancel jobs of this process and return a row with team, key and result code for each.

    The jobs are cancelled concurrently, so that messages to the same backend server
    can be combined.
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


async def request_all(
    transport: Transport,
    message_by_process: Mapping[str, object],
    *,
    timeout_s: float = REPLY_TIMEOUT_S,
) -> PeerReplies:
    """Send each process its request, all concurrently, and return the replies."""
    reply_by_process: dict[str, RowsReply] = {}

    async def send_request(process: str, message: object) -> None:
        try:
            reply = await transport.request(process, message, timeout_s=timeout_s)
        except PeerUnreachable:
            return
        if isinstance(reply, RowsReply):
            reply_by_process[process] = reply

    async with anyio.create_task_group() as group:
        for process, message in message_by_process.items():
            group.start_soon(functools.partial(send_request, process, message))
    unreachable = sorted(set(message_by_process) - set(reply_by_process))
    return PeerReplies(reply_by_process, unreachable)


def merge_rows(table: str, rows_by_process: Mapping[str, list[Row]]) -> list[Row]:
    """Return the rows of all processes with the column `process`.

    Equal rows of a replicated table are merged into one. Its column `processes` is
    the number of processes that reported the row, which shows whether a process has
    an old configuration.
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
        counted_row = distinct_by_content.setdefault(encoded, {**content, "processes": 0})
        counted_row["processes"] += 1
    return list(distinct_by_content.values())
