"""Cancellation of jobs by condition."""

from __future__ import annotations

from collections import OrderedDict

import anyio
import attrs

from apricotpoint._core.codes import ResultCode
from apricotpoint._core.errors import ApricotError
from apricotpoint._link.transport import Transport
from apricotpoint._operator.conditions import Condition
from apricotpoint._operator.failures import invalid_command
from apricotpoint._operator.printing import print_condition
from apricotpoint._operator.query import Row, make_predicate
from apricotpoint._operator.results import CancelResult
from apricotpoint._operator.rowservice import (
    CANCELLATION_TABLE,
    Cancel,
    TableReader,
    cancel_local,
    gather,
)
from apricotpoint._wire.rows import CancelWhere, RowsRequest

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

    Results are remembered, and the other processes are asked for theirs,
    because a repeated cancellation would also hit jobs that were submitted
    since. A resend is executed again only if no process that remembers the
    first execution can be reached.
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
                raise _used_for_another(command_id)
            await running.done.wait()
            if running.result is not None:
                return running.result
        running = _RunningCancel(condition)
        self._cancel_by_id[command_id] = running
        try:
            result = await self._recall_elsewhere(condition, command_id)
            if result is None:
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

    def recall(self, command_id: str) -> list[Row]:
        """Return a row for the cancellation under a command id; `cancelled` is None if it runs."""
        running = self._cancel_by_id.get(command_id)
        if running is None:
            return []
        cancelled = running.result.rows if running.result is not None else None
        return [{"condition": print_condition(running.condition), "cancelled": cancelled}]

    async def _recall_elsewhere(self, condition: Condition, command_id: str) -> CancelResult | None:
        request = RowsRequest(f"{CANCELLATION_TABLE}{command_id}")
        gathered = await gather(self._transport, dict.fromkeys(self._transport.peers(), request))
        for process, reply in sorted(gathered.reply_by_process.items()):
            for row in reply.rows:
                if row["condition"] != print_condition(condition):
                    raise _used_for_another(command_id)
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


def _used_for_another(command_id: str) -> ApricotError:
    return invalid_command(
        f"command id {command_id!r} was used for another command",
        "use a new command id for a new command",
    )
