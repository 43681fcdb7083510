"""Cancellation of jobs by condition."""

from __future__ import annotations

from collections import OrderedDict

import anyio
import attrs

from apricotpoint._core.codes import ResultCode
from apricotpoint._link.transport import Transport
from apricotpoint._operator.conditions import Condition
from apricotpoint._operator.failures import invalid_command
from apricotpoint._operator.query import Row, make_predicate
from apricotpoint._operator.results import CancelResult
from apricotpoint._operator.rowservice import Cancel, TableReader, cancel_local, gather
from apricotpoint._wire.rows import CancelWhere

# A cancelled job may first wait for the backend servers that run its tasks.
CANCEL_TIMEOUT_S = 5.0
_REMEMBERED = 1_000


@attrs.define
class _RunningCancel:
    condition: Condition
    done: anyio.Event = attrs.Factory(anyio.Event)
    result: CancelResult | None = None


class Cancellations:
    """Cancels jobs at their owners, once for each command id.

    Results are remembered, because a repeated cancellation would also hit jobs
    that were submitted since.
    """

    def __init__(
        self, *, process_id: str, transport: Transport, reader: TableReader, cancel: Cancel
    ) -> None:
        self._process_id = process_id
        self._transport = transport
        self._reader = reader
        self._cancel = cancel
        self._cancel_by_id: OrderedDict[str, _RunningCancel] = OrderedDict()

    async def run(self, condition: Condition, command_id: str) -> CancelResult:
        """Cancel the jobs that meet a condition, or return the result of this command id."""
        while (running := self._cancel_by_id.get(command_id)) is not None:
            if running.condition != condition:
                raise invalid_command(
                    f"command id {command_id!r} was used for another command",
                    "use a new command id for a new command",
                )
            await running.done.wait()
            if running.result is not None:
                return running.result
        running = _RunningCancel(condition)
        self._cancel_by_id[command_id] = running
        try:
            result = await self._cancel_where(condition, command_id)
            if result.code is ResultCode.ACCEPTED:
                running.result = result
            return result
        finally:
            # A cancellation that did not reach all owners is executed again when it is resent.
            if running.result is None:
                del self._cancel_by_id[command_id]
            running.done.set()
            self._forget_oldest()

    def _forget_oldest(self) -> None:
        while len(self._cancel_by_id) > _REMEMBERED:
            oldest = next(iter(self._cancel_by_id.values()))
            if not oldest.done.is_set():
                return
            self._cancel_by_id.popitem(last=False)

    async def _cancel_where(self, condition: Condition, command_id: str) -> CancelResult:
        rows, silent = await self._reader.rows("jobs")
        jobs_by_process: dict[str, list[list[str]]] = {}
        for row in filter(make_predicate(condition, rows), rows):
            jobs_by_process.setdefault(row["process"], []).append([row["team"], row["key"]])
        local = jobs_by_process.pop(self._process_id, [])
        cancelled: list[Row] = []

        async def cancel_here() -> None:
            cancelled.extend(await cancel_local(local, self._cancel))

        async with anyio.create_task_group() as group:
            group.start_soon(cancel_here)
            gathered = await gather(
                self._transport,
                {process: CancelWhere(jobs) for process, jobs in jobs_by_process.items()},
                timeout_s=CANCEL_TIMEOUT_S,
            )
        for reply in gathered.reply_by_process.values():
            cancelled.extend(reply.rows)
        unreachable = sorted({*silent, *gathered.unreachable})
        if not unreachable:
            return CancelResult(
                code=ResultCode.ACCEPTED, command_id=command_id, rows=cancelled, unreachable=[]
            )
        return CancelResult(
            code=ResultCode.COORDINATOR_UNREACHABLE,
            command_id=command_id,
            message=f"jobs of {', '.join(unreachable)} may be running",
            remedy=f"send the command again with the command id {command_id}",
            rows=cancelled,
            unreachable=unreachable,
        )
