"""Runs coroutines on virtual time with reproducible scheduling."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio
import trio
import trio.testing

ResultT = TypeVar("ResultT")


def run_virtual(main: Callable[[], Awaitable[ResultT]], *, seed: int) -> ResultT:
    """Run `main` on trio with a clock that jumps to the next timeout when all tasks wait.

    Trio shuffles the order of runnable tasks; seeding its generator makes two
    runs with one seed identical.
    """
    run_module = trio._core._run
    vars(run_module)["_ALLOW_DETERMINISTIC_SCHEDULING"] = True
    vars(run_module)["_r"] = random.Random(seed)
    clock = trio.testing.MockClock(autojump_threshold=0)
    return anyio.run(main, backend="trio", backend_options={"clock": clock})
