"""Reading of request bodies, limited in size and time."""

from __future__ import annotations

import anyio
from starlette.requests import ClientDisconnect, Request

from apricotpoint._core.codes import ResultCode
from apricotpoint._core.errors import ApricotError

BODY_TIMEOUT_S = 10.0


async def read_body(request: Request, *, max_bytes: int) -> bytes:
    """Return the body of a request.

    Raises `ApricotError` with code 2111 if it is longer than `max_bytes`, and
    with code 2101 if it is not received whole within `BODY_TIMEOUT_S`.
    """
    chunks: list[bytes] = []
    size = 0
    try:
        with anyio.fail_after(BODY_TIMEOUT_S):
            # A body that is too long is read to its end, or until the timeout,
            # and discarded: hypercorn blocks on the bounded queue of a request
            # whose body is not read, and closing the connection with unread data
            # would reset it before the client has received the response.
            async for chunk in request.stream():
                size += len(chunk)
                if size <= max_bytes:
                    chunks.append(chunk)
                else:
                    chunks.clear()
    except TimeoutError:
        raise ApricotError(
            ResultCode.MALFORMED,
            f"the request body was not received whole within {BODY_TIMEOUT_S:g} s",
            remedy="send the whole body without pauses",
        ) from None
    except ClientDisconnect:
        raise ApricotError(
            ResultCode.MALFORMED, f"the client disconnected after {size} bytes of the request body"
        ) from None
    if size > max_bytes:
        raise ApricotError(
            ResultCode.TOO_LARGE,
            f"the request body has {size} bytes, more than the allowed {max_bytes}",
            remedy="split the job",
        )
    return b"".join(chunks)
