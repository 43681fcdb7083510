"""HTTP client of the workers of the platform."""

from __future__ import annotations

import attrs
import logbook
import msgspec

from apricotpoint._core.errors import DECODE_ERRORS
from apricotpoint._pool.runs.backendclient import (
    EndedRun,
    LeaseReply,
    RenewalRefused,
    RunKey,
    RunOutcome,
    StartOutcome,
    StartRequest,
)
from apricotpoint._wire.pool import PoolBackend
from apricotpoint.platform.connections import WorkerConnections, WorkerResponse
from apricotpoint.platform.numbers import Integer, Natural

# Time-out of a call, in addition to the time that it asks the worker to wait. A healthy
# worker answers in a few milliseconds; the rest allows for delays in this process.
CALL_TIMEOUT_S = 0.15

_OUTCOME_BY_REFUSAL_REASON = {
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
# Runs of gang-scheduled tasks, which are not supported, also end as "broken" or "alone".
_RUN_OUTCOME_BY_NAME = {
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
class _HoldResponse:
    """Response of a worker to `/hold`.

    `clock_ms` is the clock of the worker, and `born` the start of its incarnation
    in unix milliseconds. The rows of `running` are task, run, checkpoint, percent
    done and cpu in use; those of `finished` are number, task, run and outcome.
    """

    clock_ms: Integer
    running: list[list[str | int | float]]
    finished: list[list[str | int]]
    born: Natural = 0


_REFUSAL_DECODER = msgspec.json.Decoder(_Refusal)
_HOLD_RESPONSE_DECODER = msgspec.json.Decoder(_HoldResponse)


class WorkerClient:
    """Implements `BackendClient` for one worker over HTTP."""

    def __init__(self, announcement: PoolBackend) -> None:
        self._worker_id = announcement.backend_id
        self._is_answering = True
        self._connections = WorkerConnections(
            announcement.address,
            # Another incarnation of the worker at the same address refuses the call.
            {"apricotpoint-expected-instance": announcement.backend_id},
        )

    async def start(self, request: StartRequest) -> StartOutcome:
        """Request the start of a run; `UNKNOWN` if it may have been sent and got no answer."""
        body = {
            "task": request.key.task,
            "run_id": request.key.run,
            "spec": request.spec,
            "deadline_ms": request.lease_until_ms,
            "fencing_token": request.token,
        }
        try:
            response = await self._call("/run-start", body, CALL_TIMEOUT_S)
        except ConnectionRefusedError:
            return StartOutcome.NOT_LISTENING
        return StartOutcome.UNKNOWN if response is None else _decode_outcome(response)

    async def stop(self, key: RunKey, token: int) -> bool:
        """Request the stop of a run; False if it is refused or there is no answer."""
        body = {"task": key.task, "run_id": key.run, "fencing_token": token}
        try:
            response = await self._call("/run-stop", body, CALL_TIMEOUT_S)
        except ConnectionRefusedError:
            return False
        return response is not None and response.status == 200

    async def renew_lease(
        self, *, token: int, acknowledged: int, lease_until_ms: int | None, wait_s: float
    ) -> LeaseReply | None:
        """Renew the lease and return the running and finished runs; None without an answer.

        The worker may delay its response by up to `wait_s` until a run ends. Raises
        `RenewalRefused` if it refuses, or its machine refuses the connection.
        """
        body: dict[str, object] = {"fencing_token": token, "ack_seq": acknowledged}
        if lease_until_ms is not None:
            body["deadline_ms"] = lease_until_ms
        if wait_s:
            body["wait_ms"] = int(wait_s * 1000)
        try:
            response = await self._call("/hold", body, wait_s + CALL_TIMEOUT_S)
        except ConnectionRefusedError:
            raise RenewalRefused(StartOutcome.NOT_LISTENING) from None
        if response is None:
            return None
        if response.status != 200:
            raise RenewalRefused(_decode_outcome(response))
        try:
            return _decode_hold_response(response.content)
        except (*DECODE_ERRORS, ArithmeticError, LookupError, TypeError, ValueError) as error:
            _log.warning(
                "response of worker {} to /hold cannot be decoded: {}", self._worker_id, error
            )
            return None

    async def renew_connections(self) -> None:
        """Use new connections for later calls; calls in progress keep theirs.

        Has no effect within `CALL_TIMEOUT_S` of the last renewal.
        """
        self._connections.renew(min_interval_s=CALL_TIMEOUT_S)

    async def close(self) -> None:
        """Close the idle connections."""
        self._connections.close()

    async def _call(
        self, path: str, body: dict[str, object], timeout_s: float
    ) -> WorkerResponse | None:
        """Return the response to a call, None without one; a refused connection is raised."""
        try:
            response = await self._connections.post(
                path, msgspec.json.encode(body), timeout_s=timeout_s
            )
        except OSError as error:
            # Renewals are retried every few milliseconds; one line tells of all of them.
            if self._is_answering:
                self._is_answering = False
                _log.info(
                    "worker {} did not answer {}: {}", self._worker_id, path, type(error).__name__
                )
            if isinstance(error, ConnectionRefusedError):
                raise
            return None
        if not self._is_answering:
            self._is_answering = True
            _log.info("worker {} answers again", self._worker_id)
        return response


def _decode_outcome(response: WorkerResponse) -> StartOutcome:
    if response.status != 409:
        return _OUTCOME_BY_STATUS.get(response.status, StartOutcome.UNKNOWN)
    try:
        reason = _REFUSAL_DECODER.decode(response.content).reason
    except DECODE_ERRORS:
        return StartOutcome.UNKNOWN
    return _OUTCOME_BY_REFUSAL_REASON.get(reason, StartOutcome.REJECTED)


def _decode_hold_response(content: bytes) -> LeaseReply:
    decoded = _HOLD_RESPONSE_DECODER.decode(content)
    return LeaseReply(
        clock_ms=decoded.clock_ms,
        born_ms=decoded.born,
        progress_by_run={RunKey(str(row[0]), int(row[1])): int(row[3]) for row in decoded.running},
        ended=[
            EndedRun(
                number=int(row[0]),
                key=RunKey(str(row[1]), int(row[2])),
                end=_RUN_OUTCOME_BY_NAME.get(str(row[3]), RunOutcome.STOPPED),
            )
            for row in decoded.finished
        ],
    )
