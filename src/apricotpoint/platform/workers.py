"""Calls to the workers of the platform."""

from __future__ import annotations

import anyio
import attrs
import httpcore
import logbook
import msgspec

from apricotpoint._core.errors import DECODE_ERRORS
from apricotpoint._pool.backend_client import (
    EndedRun,
    LeaseReply,
    RenewalRefused,
    RunKey,
    RunOutcome,
    StartOutcome,
    StartRequest,
)
from apricotpoint._wire.pool import PoolBackend
from apricotpoint.platform.connections import WorkerConnections

# Time in seconds after which a call counts as unanswered. A sound worker answers
# in a few milliseconds; the rest is for delays in this process.
ANSWER_S = 0.15
# What httpcore raises when a worker cannot be reached, breaks off or sends no HTTP.
CALL_ERRORS = (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError)

_OUTCOME_BY_REASON = {
    "fence": StartOutcome.FENCED,
    "old": StartOutcome.OLD_RUN,
    "late": StartOutcome.TOO_LATE,
    "room": StartOutcome.NO_ROOM,
}
_OUTCOME_BY_STATUS = {
    200: StartOutcome.STARTED,
    400: StartOutcome.REJECTED,
    421: StartOutcome.OTHER_INCARNATION,
    429: StartOutcome.UNHEALTHY,
    503: StartOutcome.UNHEALTHY,
}
# A run that ends "broken" or "alone" was a member of a gang, which are not built.
_END_BY_WORD = {
    "done": RunOutcome.DONE,
    "failed": RunOutcome.FAILED,
    "stopped": RunOutcome.STOPPED,
    "lapsed": RunOutcome.LAPSED,
}

_log = logbook.Logger("workers")


@attrs.frozen
class _Refusal:
    reason: str = ""


@attrs.frozen
class _Lists:
    """`running` has rows of task, run, checkpoint, percent done and cpu in use."""

    clock_ms: int
    running: list[list[str | int | float]]
    finished: list[list[str | int]]
    born: int = 0


_REFUSAL_DECODER = msgspec.json.Decoder(_Refusal)
_LISTS_DECODER = msgspec.json.Decoder(_Lists)


class WorkerCalls:
    """Implements `BackendClient` for one worker over HTTP."""

    def __init__(self, said: PoolBackend) -> None:
        self._worker_id = said.backend_id
        self._connections = WorkerConnections(
            said.address,
            # Another life of the worker at the same address refuses the call.
            {"apricotpoint-expected-instance": said.backend_id},
        )

    async def start(self, request: StartRequest) -> StartOutcome:
        """Order a run to start."""
        body = {
            "task": request.key.task,
            "run_id": request.key.run,
            "spec": request.spec,
            "deadline_ms": request.lease_until_ms,
            "fencing_token": request.token,
        }
        response = await self._post("/run-start", body, ANSWER_S)
        return StartOutcome.UNKNOWN if response is None else _outcome(response)

    async def stop(self, key: RunKey, token: int) -> bool:
        """Order a run to stop."""
        body = {"task": key.task, "run_id": key.run, "fencing_token": token}
        response = await self._post("/run-stop", body, ANSWER_S)
        return response is not None and response.status == 200

    async def renew_lease(
        self, *, token: int, acknowledged: int, lease_until_ms: int | None, wait_s: float
    ) -> LeaseReply | None:
        """Renew the lease and read the lists of the worker."""
        body: dict[str, object] = {"fencing_token": token, "ack_seq": acknowledged}
        if lease_until_ms is not None:
            body["deadline_ms"] = lease_until_ms
        if wait_s:
            body["wait_ms"] = int(wait_s * 1000)
        response = await self._post("/hold", body, wait_s + ANSWER_S)
        if response is None:
            return None
        if response.status != 200:
            raise RenewalRefused(_outcome(response))
        try:
            return _decode_lists(response.content)
        except (*DECODE_ERRORS, ValueError, IndexError) as error:
            _log.warning("worker {} sent lists that cannot be read: {}", self._worker_id, error)
            return None

    async def renew_connections(self) -> None:
        """Use new connections for later calls; calls in progress keep theirs."""
        await self._connections.renew(pause_s=ANSWER_S)

    async def close(self) -> None:
        """Close all connections."""
        with anyio.CancelScope(shield=True):
            await self._connections.close()

    async def _post(
        self, path: str, body: dict[str, object], timeout_s: float
    ) -> httpcore.Response | None:
        try:
            with anyio.fail_after(timeout_s):
                return await self._connections.post(path, msgspec.json.encode(body))
        except (*CALL_ERRORS, TimeoutError) as error:
            _log.info(
                "worker {} gave no answer to {}: {}", self._worker_id, path, type(error).__name__
            )
            return None


def _outcome(response: httpcore.Response) -> StartOutcome:
    if response.status != 409:
        return _OUTCOME_BY_STATUS.get(response.status, StartOutcome.UNKNOWN)
    try:
        reason = _REFUSAL_DECODER.decode(response.content).reason
    except DECODE_ERRORS:
        return StartOutcome.UNKNOWN
    return _OUTCOME_BY_REASON.get(reason, StartOutcome.REJECTED)


def _decode_lists(content: bytes) -> LeaseReply:
    lists = _LISTS_DECODER.decode(content)
    return LeaseReply(
        clock_ms=lists.clock_ms,
        born_ms=lists.born,
        progress_by_run={RunKey(str(row[0]), int(row[1])): int(row[3]) for row in lists.running},
        ended=[
            EndedRun(
                number=int(row[0]),
                key=RunKey(str(row[1]), int(row[2])),
                end=_END_BY_WORD.get(str(row[3]), RunOutcome.STOPPED),
            )
            for row in lists.finished
        ],
    )
