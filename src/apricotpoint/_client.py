"""Client of the caller API."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from contextlib import suppress
from random import Random
from types import TracebackType
from typing import Any
from urllib.parse import quote

import anyio
import attrs
import httpx
import msgspec

from apricotpoint._core.codes import ResultCode
from apricotpoint._core.errors import ApricotError
from apricotpoint._wire.jobs import Answer, JobRequest
from apricotpoint._wire.tasks import TaskSpec

# An entry process that drains accepts the unused keys that it issued for 6 s.
KEY_USE_S = 5.0
KEY_BLOCK = 16
# Time beyond the deadline of a job for the answer to arrive.
ANSWER_MARGIN_S = 2.0
CONNECT_TIMEOUT_S = 1.0
IDLE_REUSE_S = 1.0
FIRST_PAUSE_S = 0.05
LONGEST_PAUSE_S = 1.0

_RETRIED = {ResultCode.OVERLOADED, ResultCode.DRAINING}
# An entry process may give these without asking the coordinator of the key, so
# they say nothing about an earlier submission whose answer was lost.
_ABOUT_THIS_SUBMISSION = _RETRIED | {
    ResultCode.OVER_QUOTA,
    ResultCode.NO_BACKEND,
    ResultCode.DEADLINE_BEFORE_START,
}


class _NotSentError(Exception):
    """No connection was made, so no request was sent."""


@attrs.frozen
class _KeysReply:
    code: int
    message: str = ""
    keys: list[str] = attrs.Factory(list)


_ANSWER_DECODER = msgspec.json.Decoder(Answer)
_KEYS_DECODER = msgspec.json.Decoder(_KeysReply)


class Client:
    """Submits jobs of one team to the entry processes.

    `urls` are base URLs of the caller API. After a lost connection the job is
    submitted again under the same key, so that it does not run twice. Use as
    an async context manager.
    """

    def __init__(
        self,
        urls: Sequence[str],
        token: str,
        *,
        key_block: int = KEY_BLOCK,
        seed: int | None = None,
        transport: httpx.AsyncBaseTransport | None = None,
    ) -> None:
        if not urls:
            raise ValueError("urls is empty: give the base URL of at least one entry process")
        self._urls = [url.rstrip("/") for url in urls]
        self._key_block = key_block
        self._random = Random(seed)
        self._next_url = self._random.randrange(len(self._urls))
        self._keys: deque[tuple[str, str, float]] = deque()
        self._keys_lock = anyio.Lock()
        self._http = httpx.AsyncClient(
            headers={"authorization": f"Bearer {token}"},
            mounts=_pool_by_url(self._urls) if transport is None else None,
            transport=transport,
            trust_env=False,
        )

    async def __aenter__(self) -> Client:
        await self._http.__aenter__()
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self._http.__aexit__(exc_type, exc, traceback)

    async def submit(
        self,
        service: str,
        tasks: Sequence[TaskSpec],
        *,
        deadline_ms: int,
        key: str | None = None,
        valid_until: int | None = None,
    ) -> Answer:
        """Run a job and return its answer.

        Without `key`, an issued key is used. A `key` chosen by the caller
        needs `valid_until` in unix seconds, unchanged in each submission. Two
        refusals are followed until the deadline: 2104 after the time that the
        answer names, 2110 at another entry process. If no answer arrives, the
        code is 3101 and the job may have run.
        """
        give_up_at = anyio.current_time() + deadline_ms / 1000
        body: dict[str, Any] = {
            "service": service,
            "tasks": [attrs.asdict(task) for task in tasks],
        }
        if valid_until is not None:
            body["valid_until"] = valid_until
        chosen = key is not None
        may_have_run = False
        pause_s = FIRST_PAUSE_S
        url = self._pick()
        while True:
            if key is None:
                try:
                    url, key = await self._take_key(give_up_at)
                except ApricotError as error:
                    return Answer(key="", code=int(error.code), message=error.message)
            left_s = max(give_up_at - anyio.current_time(), 0.0)
            # The deadline counts from each receipt, so a repetition gets what is left.
            body["deadline_ms"] = max(int(left_s * 1000), 1)
            content = msgspec.json.encode(body | {"key": key})
            try:
                answer = await self._post(
                    url, "/v1/jobs", content, timeout_s=left_s + ANSWER_MARGIN_S
                )
                may_have_run = may_have_run or answer is None
            except _NotSentError:
                answer = None
                if not chosen and not may_have_run:
                    # The entry process that issued the key cannot be reached.
                    self._keys.clear()
                    key = None
            if answer is None:
                answer = _unreachable(key or "")
                url = self._pick()
            elif answer.code not in _RETRIED:
                return self._final(answer, may_have_run)
            elif answer.code == ResultCode.DRAINING:
                url = self._pick(answer.others)
                if not chosen and not may_have_run:
                    # Another entry process cannot start a job under this key.
                    key = None
            pause_s = min(pause_s * 2, LONGEST_PAUSE_S)
            wait_s = pause_s * self._random.uniform(0.5, 1)
            if answer.retry_after_ms is not None:
                wait_s = answer.retry_after_ms / 1000 * self._random.uniform(1, 1.2)
            if anyio.current_time() + wait_s >= give_up_at:
                return self._final(answer, may_have_run)
            await anyio.sleep(wait_s)

    async def run(self, request: JobRequest) -> Answer:
        """Submit a job under the key in `request`; its team follows from the token."""
        return await self.submit(
            request.service,
            request.tasks,
            deadline_ms=request.deadline_ms,
            key=request.key or None,
            valid_until=request.valid_until,
        )

    async def cancel(self, key: str) -> Answer:
        """Cancel a job and return its answer; 3101 if no entry process answers."""
        return await self._any("POST", f"/v1/jobs/{_quoted(key)}/cancel", key, 5.0)

    async def lookup(self, key: str, *, wait_s: float = 0.0) -> Answer:
        """Return the answer of a job; code 0 if there is none within `wait_s`."""
        path = f"/v1/jobs/{_quoted(key)}?wait_s={wait_s:g}"
        return await self._any("GET", path, key, wait_s + ANSWER_MARGIN_S)

    async def _any(self, method: str, path: str, key: str, timeout_s: float) -> Answer:
        for _ in self._urls:
            with suppress(_NotSentError):
                answer = await self._post(
                    self._pick(), path, b"", timeout_s=timeout_s, method=method
                )
                if answer is not None:
                    return answer
        return _unreachable(key)

    async def _take_key(self, give_up_at: float) -> tuple[str, str]:
        async with self._keys_lock:
            while True:
                while self._keys:
                    url, key, use_until = self._keys.popleft()
                    if anyio.current_time() < use_until:
                        return url, key
                await self._fetch_keys(give_up_at)

    async def _fetch_keys(self, give_up_at: float) -> None:
        refusal = ApricotError(
            ResultCode.COORDINATOR_UNREACHABLE, "no entry process issued a key; nothing was sent"
        )
        content = msgspec.json.encode({"count": self._key_block})
        pause_s = FIRST_PAUSE_S
        while True:
            for _ in self._urls:
                url = self._pick()
                use_until = anyio.current_time() + KEY_USE_S
                try:
                    reply = await self._call("POST", f"{url}/v1/keys", content, 2.0)
                    decoded = _KEYS_DECODER.decode(reply or b"")
                except (_NotSentError, msgspec.MsgspecError):
                    continue
                if decoded.keys:
                    self._keys.extend((url, key, use_until) for key in decoded.keys)
                    return
                refusal = ApricotError(ResultCode(decoded.code), decoded.message)
                if refusal.code not in _RETRIED:
                    raise refusal
            pause_s = min(pause_s * 2, LONGEST_PAUSE_S)
            if anyio.current_time() + pause_s >= give_up_at:
                raise refusal
            await anyio.sleep(pause_s)

    async def _post(
        self, url: str, path: str, content: bytes, *, timeout_s: float, method: str = "POST"
    ) -> Answer | None:
        reply = await self._call(method, url + path, content, timeout_s)
        if reply is None:
            return None
        try:
            return _ANSWER_DECODER.decode(reply)
        except msgspec.MsgspecError:
            return None

    async def _call(self, method: str, url: str, content: bytes, timeout_s: float) -> bytes | None:
        """Return the body of the response, None if it was lost."""
        timeout = httpx.Timeout(timeout_s, connect=CONNECT_TIMEOUT_S)
        try:
            with anyio.fail_after(timeout_s):
                response = await self._http.request(method, url, content=content, timeout=timeout)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            raise _NotSentError(str(error)) from error
        except (httpx.HTTPError, TimeoutError):
            return None
        return response.content

    def _pick(self, others: Sequence[str] = ()) -> str:
        self._next_url += 1
        if others:
            url = others[self._next_url % len(others)]
            return url.rstrip("/") if "://" in url else f"http://{url}"
        return self._urls[self._next_url % len(self._urls)]

    @staticmethod
    def _final(answer: Answer, may_have_run: bool) -> Answer:
        if not may_have_run or answer.code not in _ABOUT_THIS_SUBMISSION:
            return answer
        return attrs.evolve(answer, code=ResultCode.COORDINATOR_UNREACHABLE)


def _pool_by_url(urls: Sequence[str]) -> dict[str, httpx.AsyncBaseTransport]:
    """Return a connection pool for each URL, and one for the addresses in `Answer.others`.

    For each request, httpcore compares all connections of a pool with each
    other, which limits a caller with hundreds of jobs in flight.
    """
    tls = httpx.create_ssl_context(trust_env=False)
    limits = httpx.Limits(keepalive_expiry=IDLE_REUSE_S)
    return {
        pattern: httpx.AsyncHTTPTransport(verify=tls, trust_env=False, limits=limits)
        for pattern in (*urls, "all://")
    }


def _unreachable(key: str) -> Answer:
    return Answer(
        key=key,
        code=ResultCode.COORDINATOR_UNREACHABLE,
        message="no answer from the entry processes",
    )


def _quoted(key: str) -> str:
    # Dots are quoted because a path segment of dots would be resolved.
    return quote(key, safe="").replace(".", "%2E")
