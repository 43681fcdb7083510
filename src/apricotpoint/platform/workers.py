"""Calls to the workers of the platform."""

from __future__ import annotations

import ssl

import anyio
import attrs
import httpx
import logbook
import msgspec

from apricotpoint._core.errors import DECODE_ERRORS
from apricotpoint._pool.exchange import (
    End,
    EndedRun,
    Holding,
    HoldRefused,
    RunKey,
    RunStart,
    StartOutcome,
)
from apricotpoint._wire.pool import PoolBackend

# Time in seconds after which a call counts as unanswered. A sound worker answers
# in a few milliseconds; the rest is for delays in this process.
ANSWER_S = 0.15
# Connections of one process to a worker, of the 64 that a worker takes.
MAX_CONNECTIONS = 24
# Idle connections are kept as long as the platform's own idle time-out.
IDLE_S = 15.0

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
    "done": End.DONE,
    "failed": End.FAILED,
    "stopped": End.STOPPED,
    "lapsed": End.LAPSED,
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
# Workers are reached without TLS; one context serves all clients, because
# loading the certificates of a context takes longer than opening a client.
_SSL_CONTEXT = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)


class WorkerCalls:
    """Implements `BackendCalls` for one worker over HTTP."""

    def __init__(self, said: PoolBackend) -> None:
        self._base = f"http://{said.address}"
        self._worker_id = said.backend_id
        self._client = self._make_client()
        self._retired: list[httpx.AsyncClient] = []

    async def start(self, order: RunStart) -> StartOutcome:
        """Order a run to start."""
        body = {
            "task": order.key.task,
            "run_id": order.key.run,
            "spec": order.spec,
            "deadline_ms": order.lease_until_ms,
            "fencing_token": order.token,
        }
        response = await self._post("/run-start", body, ANSWER_S)
        return StartOutcome.UNKNOWN if response is None else _outcome(response)

    async def stop(self, key: RunKey, token: int) -> bool:
        """Order a run to stop."""
        body = {"task": key.task, "run_id": key.run, "fencing_token": token}
        response = await self._post("/run-stop", body, ANSWER_S)
        return response is not None and response.status_code == 200

    async def hold(
        self, *, token: int, acknowledged: int, lease_until_ms: int | None, wait_s: float
    ) -> Holding | None:
        """Renew the lease and read the lists of the worker."""
        body: dict[str, object] = {"fencing_token": token, "ack_seq": acknowledged}
        if lease_until_ms is not None:
            body["deadline_ms"] = lease_until_ms
        if wait_s:
            body["wait_ms"] = int(wait_s * 1000)
        response = await self._post("/hold", body, wait_s + ANSWER_S)
        if response is None:
            return None
        if response.status_code != 200:
            raise HoldRefused(_outcome(response))
        try:
            return _decode_lists(response.content)
        except (*DECODE_ERRORS, ValueError, IndexError) as error:
            _log.warning("worker {} sent lists that cannot be read: {}", self._worker_id, error)
            return None

    def renew_connections(self) -> None:
        """Use new connections for later calls; calls in progress keep theirs."""
        now = anyio.current_time()
        if now - self._made_at < ANSWER_S:
            return
        self._retired.append(self._client)
        self._client = self._make_client()

    async def close(self) -> None:
        """Close all connections."""
        with anyio.CancelScope(shield=True):
            for client in (*self._retired, self._client):
                await client.aclose()

    async def _post(
        self, path: str, body: dict[str, object], timeout_s: float
    ) -> httpx.Response | None:
        client = self._client
        await self._close_retired()
        try:
            with anyio.fail_after(timeout_s):
                return await client.post(path, content=msgspec.json.encode(body))
        except (httpx.HTTPError, TimeoutError) as error:
            _log.info(
                "worker {} gave no answer to {}: {}", self._worker_id, path, type(error).__name__
            )
            return None

    async def _close_retired(self) -> None:
        # Two generations stay open for calls that are still in progress.
        while len(self._retired) > 2:
            await self._retired.pop(0).aclose()

    def _make_client(self) -> httpx.AsyncClient:
        self._made_at = anyio.current_time()
        limits = httpx.Limits(
            max_connections=MAX_CONNECTIONS,
            max_keepalive_connections=MAX_CONNECTIONS,
            keepalive_expiry=IDLE_S,
        )
        return httpx.AsyncClient(
            base_url=self._base,
            headers={
                "content-type": "application/json",
                # Another life of the worker at the same address refuses the call.
                "apricotpoint-expected-instance": self._worker_id,
            },
            transport=httpx.AsyncHTTPTransport(verify=_SSL_CONTEXT, limits=limits),
            timeout=None,
            trust_env=False,
        )


def _outcome(response: httpx.Response) -> StartOutcome:
    if response.status_code != 409:
        return _OUTCOME_BY_STATUS.get(response.status_code, StartOutcome.UNKNOWN)
    try:
        reason = _REFUSAL_DECODER.decode(response.content).reason
    except DECODE_ERRORS:
        return StartOutcome.UNKNOWN
    return _OUTCOME_BY_REASON.get(reason, StartOutcome.REJECTED)


def _decode_lists(content: bytes) -> Holding:
    lists = _LISTS_DECODER.decode(content)
    return Holding(
        clock_ms=lists.clock_ms,
        born_ms=lists.born,
        progress_by_run={RunKey(str(row[0]), int(row[1])): int(row[3]) for row in lists.running},
        ended=[
            EndedRun(
                number=int(row[0]),
                key=RunKey(str(row[1]), int(row[2])),
                end=_END_BY_WORD.get(str(row[3]), End.STOPPED),
            )
            for row in lists.finished
        ],
    )
