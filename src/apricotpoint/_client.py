"""HTTP client of the caller API."""

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

# Less than the 6 s for which a draining entry process still accepts unused keys
# that it issued.
KEY_USABLE_S = 5.0
KEYS_PER_REQUEST = 16
# Time after the deadline of a job for its answer to arrive.
ANSWER_GRACE_S = 2.0
CONNECT_TIMEOUT_S = 1.0
# Shorter than the 5 s after which an entry process closes an idle connection.
KEEPALIVE_EXPIRY_S = 1.0
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0

_RETRIED_CODES = {ResultCode.OVERLOADED, ResultCode.DRAINING}
# An entry process may return these without contacting the coordinator of the key,
# so they say nothing about an earlier submission whose answer was lost.
_CODES_ABOUT_ONE_SUBMISSION = _RETRIED_CODES | {
    ResultCode.OVER_QUOTA,
    ResultCode.NO_BACKEND,
    ResultCode.DEADLINE_BEFORE_START,
}


class _NotSentError(Exception):
    """No connection was available, so the request was not sent."""


@attrs.frozen
class _KeysReply:
    code: int
    message: str = ""
    keys: list[str] = attrs.Factory(list)


_ANSWER_DECODER = msgspec.json.Decoder(Answer)
_KEYS_DECODER = msgspec.json.Decoder(_KeysReply)


class Client:
    """Submits jobs of one team to the entry processes.

    `urls` are base URLs of the caller API and `token` is the bearer token of the
    team. `key_block` is the number of issued keys to fetch with one request,
    `seed` makes the first URL and the delays repeatable, and `transport`
    replaces the network in tests. After a lost connection a job is submitted
    again under the same key, so that it does not run twice. Use as an async
    context manager.
    """

    def __init__(
        self,
        urls: Sequence[str],
        token: str,
        *,
        key_block: int = KEYS_PER_REQUEST,
        seed: int | None = None,
        transport: httpx.AsyncBaseTransport | None = None,
    ) -> None:
        if not urls:
            raise ValueError("urls is empty: give the base URL of at least one entry process")
        self._urls = [url.rstrip("/") for url in urls]
        self._key_block = key_block
        self._random = Random(seed)
        self._url_index = self._random.randrange(len(self._urls))
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
        refusals are retried until the deadline: 2104 after the delay that the
        answer names, 2110 at another entry process. If no answer arrives, the
        code is 3101 and the job may have run.
        """
        deadline_at = anyio.current_time() + deadline_ms / 1000
        body: dict[str, Any] = {
            "service": service,
            "tasks": [attrs.asdict(task) for task in tasks],
        }
        if valid_until is not None:
            body["valid_until"] = valid_until
        has_caller_key = key is not None
        may_have_run = False
        backoff_s = INITIAL_BACKOFF_S
        url = self._next_entry_url()
        while True:
            if key is None:
                try:
                    url, key = await self._take_key(deadline_at)
                except ApricotError as error:
                    return Answer(key="", code=int(error.code), message=error.message)
            left_s = max(deadline_at - anyio.current_time(), 0.0)
            # The entry process counts the deadline from the receipt of each request,
            # so a retry sends only the time that is left.
            body["deadline_ms"] = max(int(left_s * 1000), 1)
            content = msgspec.json.encode(body | {"key": key})
            try:
                answer = await self._post(
                    url, "/v1/jobs", content, timeout_s=left_s + ANSWER_GRACE_S
                )
                may_have_run = may_have_run or answer is None
            except _NotSentError:
                answer = None
                if not has_caller_key and not may_have_run:
                    # The entry process that issued the keys is unreachable.
                    self._keys.clear()
                    key = None
            if answer is None:
                answer = _unreachable_answer(key or "")
                url = self._next_entry_url()
            elif answer.code not in _RETRIED_CODES:
                return self._final_answer(answer, may_have_run)
            elif answer.code == ResultCode.DRAINING:
                url = self._next_entry_url(answer.others)
                if not has_caller_key and not may_have_run:
                    # Only the entry process that issued the key may start a job under it.
                    key = None
            backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)
            wait_s = backoff_s * self._random.uniform(0.5, 1)
            if answer.retry_after_ms is not None:
                wait_s = answer.retry_after_ms / 1000 * self._random.uniform(1, 1.2)
            if anyio.current_time() + wait_s >= deadline_at:
                return self._final_answer(answer, may_have_run)
            await anyio.sleep(wait_s)

    async def run(self, request: JobRequest) -> Answer:
        """Submit a job as `submit` does; an empty `request.key` stands for an issued key.

        The team follows from the token; `request.team` is not sent.
        """
        return await self.submit(
            request.service,
            request.tasks,
            deadline_ms=request.deadline_ms,
            key=request.key or None,
            valid_until=request.valid_until,
        )

    async def cancel(self, key: str) -> Answer:
        """Cancel a job and return its answer, with code 3101 if no entry process answers."""
        return await self._request_from_any("POST", f"/v1/jobs/{_quote_key(key)}/cancel", key, 5.0)

    async def lookup(self, key: str, *, wait_s: float = 0.0) -> Answer:
        """Return the answer of a job, with code 0 if it is still running after `wait_s` seconds."""
        path = f"/v1/jobs/{_quote_key(key)}?wait_s={wait_s:g}"
        return await self._request_from_any("GET", path, key, wait_s + ANSWER_GRACE_S)

    async def _request_from_any(self, method: str, path: str, key: str, timeout_s: float) -> Answer:
        for _ in self._urls:
            with suppress(_NotSentError):
                answer = await self._post(
                    self._next_entry_url(), path, b"", timeout_s=timeout_s, method=method
                )
                if answer is not None:
                    return answer
        return _unreachable_answer(key)

    async def _take_key(self, deadline_at: float) -> tuple[str, str]:
        async with self._keys_lock:
            while True:
                while self._keys:
                    url, key, use_until = self._keys.popleft()
                    if anyio.current_time() < use_until:
                        return url, key
                await self._fetch_keys(deadline_at)

    async def _fetch_keys(self, deadline_at: float) -> None:
        refusal = ApricotError(
            ResultCode.COORDINATOR_UNREACHABLE,
            "no entry process issued a key, so the job was not sent",
        )
        content = msgspec.json.encode({"count": self._key_block})
        backoff_s = INITIAL_BACKOFF_S
        while True:
            for _ in self._urls:
                url = self._next_entry_url()
                use_until = anyio.current_time() + KEY_USABLE_S
                try:
                    reply = await self._call("POST", f"{url}/v1/keys", content, 2.0)
                    decoded = _KEYS_DECODER.decode(reply or b"")
                except (_NotSentError, msgspec.MsgspecError):
                    continue
                if decoded.keys:
                    self._keys.extend((url, key, use_until) for key in decoded.keys)
                    return
                refusal = ApricotError(ResultCode(decoded.code), decoded.message)
                if refusal.code not in _RETRIED_CODES:
                    raise refusal
            backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)
            if anyio.current_time() + backoff_s >= deadline_at:
                raise refusal
            await anyio.sleep(backoff_s)

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
        """Return the response body, None if the response was lost.

        Raises `_NotSentError` if the request was not sent.
        """
        timeout = httpx.Timeout(timeout_s, connect=CONNECT_TIMEOUT_S)
        try:
            with anyio.fail_after(timeout_s):
                response = await self._http.request(method, url, content=content, timeout=timeout)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            raise _NotSentError(str(error)) from error
        except (httpx.HTTPError, TimeoutError):
            return None
        return response.content

    def _next_entry_url(self, others: Sequence[str] = ()) -> str:
        self._url_index += 1
        if others:
            url = others[self._url_index % len(others)]
            return url.rstrip("/") if "://" in url else f"http://{url}"
        return self._urls[self._url_index % len(self._urls)]

    @staticmethod
    def _final_answer(answer: Answer, may_have_run: bool) -> Answer:
        if not may_have_run or answer.code not in _CODES_ABOUT_ONE_SUBMISSION:
            return answer
        return attrs.evolve(answer, code=ResultCode.COORDINATOR_UNREACHABLE)


def _pool_by_url(urls: Sequence[str]) -> dict[str, httpx.AsyncBaseTransport]:
    """Return a connection pool for each URL, and one for the addresses in `Answer.others`.

    For each request, httpcore compares all connections of a pool with each
    other, so a single large pool would limit callers with hundreds of jobs in
    flight.
    """
    tls = httpx.create_ssl_context(trust_env=False)
    limits = httpx.Limits(keepalive_expiry=KEEPALIVE_EXPIRY_S)
    return {
        pattern: httpx.AsyncHTTPTransport(verify=tls, trust_env=False, limits=limits)
        for pattern in (*urls, "all://")
    }


def _unreachable_answer(key: str) -> Answer:
    return Answer(
        key=key,
        code=ResultCode.COORDINATOR_UNREACHABLE,
        message="no answer from any entry process",
    )


def _quote_key(key: str) -> str:
    # Dots are quoted because URL normalisation would remove a path segment "." or "..".
    return quote(key, safe="").replace(".", "%2E")
