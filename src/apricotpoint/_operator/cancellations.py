"""Cancellation of jobs that meet a condition."""

from __future__ import annotations

from collections import OrderedDict

import anyio
import attrs

from apricotpoint._core.codes import ResultCode
from apricotpoint._core.errors import ApricotError
from apricotpoint._link.transport import Transport
from apricotpoint._operator.conditions import Condition
from apricotpoint._operator.errors import invalid_command
from apricotpoint._operator.printing import print_condition
from apricotpoint._operator.query import Row, make_predicate
from apricotpoint._operator.results import CancelResult
from apricotpoint._operator.tables import (
    CANCELLATION_TABLE,
    CancelJob,
    TableReader,
    cancel_local_jobs,
    request_all,
)
from apricotpoint._wire.rows import CancelWhere, RowsRequest

# Longer than for rows, because the cancellation of a job waits for the backend servers
# that run its tasks.
CANCEL_TIMEOUT_S = 5.0
_MAX_STORED_RESULTS = 1_000


@attrs.define
class _Execution:
    condition: Condition
    done: anyio.Event = attrs.Factory(anyio.Event)
    result: CancelResult | None = None


class Cancellations:
    """Cancels jobs at the processes that own them, once for each command id.

    Executing a resent cancellation again would also cancel jobs that were submitted
    in the meantime. So results are stored by command id, and before an execution all
    other processes are asked for a stored result. A resend is executed again only if
    no process that stores the result of the first execution can be reached.
    """

    def __init__(
        self, *, process_id: str, transport: Transport, reader: TableReader, cancel: CancelJob
    ) -> None:
        self._process_id = process_id
        self._transport = transport
        self._reader = reader
        self._cancel = cancel
        self._execution_by_id: OrderedDict[str, _Execution] = OrderedDict()

    async def run(self, condition: Condition, command_id: str) -> CancelResult:
        """Cancel the jobs that meet a condition, or return the stored result of the command id.

        Raises `ApricotError` with code 4103 if the command id was used for another
        condition, and with code 3101 if another process is executing the cancellation.
        """
        while (execution := self._execution_by_id.get(command_id)) is not None:
            if execution.condition != condition:
                raise _id_conflict(command_id)
            await execution.done.wait()
            if execution.result is not None:
                return execution.result
        execution = _Execution(condition)
        self._execution_by_id[command_id] = execution
        try:
            result = await self._fetch_from_peers(condition, command_id)
            if result is None:
                result = await self._cancel_where(condition, command_id)
            if result.code is ResultCode.ACCEPTED:
                execution.result = result
            return result
        finally:
            # There is no result to store if a process that may own jobs was unreachable.
            # A resend then executes the cancellation again.
            if execution.result is None:
                del self._execution_by_id[command_id]
            execution.done.set()
            self._evict_oldest()

    def find(self, command_id: str) -> list[Row]:
        """Return one row for the cancellation under a command id, no row if there is none.

        Column `cancelled` has the rows of the result, or None while it is executed.
        """
        execution = self._execution_by_id.get(command_id)
        if execution is None:
            return []
        cancelled = execution.result.rows if execution.result is not None else None
        return [{"condition": print_condition(execution.condition), "cancelled": cancelled}]

    async def _fetch_from_peers(self, condition: Condition, command_id: str) -> CancelResult | None:
        request = RowsRequest(f"{CANCELLATION_TABLE}{command_id}")
        replies = await request_all(
            self._transport, dict.fromkeys(self._transport.peers(), request)
        )
        for process, reply in sorted(replies.reply_by_process.items()):
            for row in reply.rows:
                if row["condition"] != print_condition(condition):
                    raise _id_conflict(command_id)
                if row["cancelled"] is None:
                    raise ApricotError(
                        ResultCode.COORDINATOR_UNREACHABLE,
                        f"process {process!r} is executing this cancellation",
                        remedy=f"send it again later with the command id {command_id}",
                    )
                return CancelResult(
                    code=ResultCode.ACCEPTED,
                    command_id=command_id,
                    rows=row["cancelled"],
                    unreachable=[],
                )
        return None

    def _evict_oldest(self) -> None:
        while len(self._execution_by_id) > _MAX_STORED_RESULTS:
            oldest = next(iter(self._execution_by_id.values()))
            if not oldest.done.is_set():
                return
            self._execution_by_id.popitem(last=False)

    async def _cancel_where(self, condition: Condition, command_id: str) -> CancelResult:
        rows, unread_processes = await self._reader.rows("jobs")
        jobs_by_process: dict[str, list[list[str]]] = {}
        for row in filter(make_predicate(condition, rows), rows):
            jobs_by_process.setdefault(row["process"], []).append([row["team"], row["key"]])
        local_jobs = jobs_by_process.pop(self._process_id, [])
        cancelled: list[Row] = []

        async def cancel_in_this_process() -> None:
            cancelled.extend(await cancel_local_jobs(local_jobs, self._cancel))

        async with anyio.create_task_group() as group:
            group.start_soon(cancel_in_this_process)
            replies = await request_all(
                self._transport,
                {process: CancelWhere(jobs) for process, jobs in jobs_by_process.items()},
                timeout_s=CANCEL_TIMEOUT_S,
            )
        for reply in replies.reply_by_process.values():
            cancelled.extend(reply.rows)
        unreachable = sorted({*unread_processes, *replies.unreachable})
        if not unreachable:
            return CancelResult(
                code=ResultCode.ACCEPTED, command_id=command_id, rows=cancelled, unreachable=[]
            )
        return CancelResult(
            code=ResultCode.COORDINATOR_UNREACHABLE,
            command_id=command_id,
            message=f"jobs of {', '.join(unreachable)} may still be running",
            remedy=f"send the command again with the command id {command_id}",
            rows=cancelled,
            unreachable=unreachable,
        )


def _id_conflict(command_id: str) -> ApricotError:
    return invalid_command(
        f"command id {command_id!r} was used for another command",
        "use a new command id for a new command",
    )
