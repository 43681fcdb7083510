"""Periodic callbacks that fail."""

from __future__ import annotations

import anyio
import pytest

from apricotpoint._core.codes import ResultCode
from apricotpoint._core.errors import ApricotError
from apricotpoint._core.timers import TimerService


def test_an_unexpected_error_in_a_callback_does_not_end_the_service():
    """Guards against a whole process that ends because of one unexpected value."""
    calls: list[str] = []

    def fail() -> None:
        calls.append("fail")
        raise KeyError("unexpected")

    async def main() -> None:
        async with TimerService() as timers:
            timers.every(0.01, fail)
            timers.every(0.01, lambda: calls.append("other"))
            await anyio.sleep(0.1)

    anyio.run(main)
    assert calls.count("fail") > 1
    assert calls.count("other") > 1


def test_an_error_with_a_result_code_ends_the_process():
    """Guards against a process that goes on although it must not, for instance without its disk."""

    def fail() -> None:
        raise ApricotError(ResultCode.SYNC_FAILED, "the disk is gone")

    async def main() -> None:
        async with TimerService() as timers:
            timers.every(0.01, fail)
            await anyio.sleep(1.0)

    with pytest.raises(BaseExceptionGroup) as caught:
        anyio.run(main)
    assert caught.group_contains(ApricotError)
