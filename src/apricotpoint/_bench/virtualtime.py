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

    Trio runs ready tasks in random order; seeding its generator makes runs with
    equal seeds identical.
    """
    run_module = trio._core._run
    vars(run_module)["_ALLOW_DETERMINISTIC_SCHEDULING"] = True
    vars(run_module)["_r"] = random.Random(seed)
    clock = trio.testing.MockClock(autojump_threshold=0)
    return anyio.run(main, backend="trio", backend_options={"clock": clock})
