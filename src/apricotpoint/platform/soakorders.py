"""Carries out the orders that a backend server of the fault soak receives from its holder."""

from __future__ import annotations

import json
import re
from collections.abc import Mapping
from typing import Any

import anyio

from apricotpoint._soak.backends import Backend, Order

MAX_WAIT_MS = 2000
DEFAULT_CPU, DEFAULT_RUN_MS = 14_000, 100
_Answer = tuple[int, dict[str, Any]]


async def respond(
    backend: Backend, path: str, headers: Mapping[str, str], content: bytes
) -> _Answer:
    """Return status and body of the response to an order."""
    if headers.get("apricotpoint-expected-instance") not in (None, backend.backend_id):
        return 421, {}
    try:
        order = json.loads(content)
        token = int(order.get("fencing_token", 0))
    except (ValueError, TypeError, AttributeError):
        return 400, _reply(backend)
    if not backend.accept_token(token):
        return 409, _reply(backend, reason="fence")
    if path == "/hold":
        return await _hold(backend, order)
    return _start(backend, order) if path == "/run-start" else _stop(backend, order)


def _stop(backend: Backend, order: dict[str, Any]) -> _Answer:
    backend.stop(str(order["task"]), int(order["run_id"]))
    return 200, _reply(backend)


def _start(backend: Backend, order: dict[str, Any]) -> _Answer:
    spec = str(order["spec"])
    reason = backend.start(
        Order(
            task=str(order["task"]),
            number=int(order["run_id"]),
            deadline_ms=int(order.get("deadline_ms", 0)),
            cpu=_parameter(spec, "cpu", DEFAULT_CPU),
            duration_s=_parameter(spec, "run_ms", DEFAULT_RUN_MS) / 1000,
            deadly=bool(_parameter(spec, "deadly", 0)),
        )
    )
    return (409, _reply(backend, reason=reason)) if reason else (200, _reply(backend))


async def _hold(backend: Backend, order: dict[str, Any]) -> _Answer:
    if isinstance(order.get("deadline_ms"), int):
        backend.extend_lease(order["deadline_ms"])
    backend.acknowledge(int(order.get("ack_seq", 0)))
    wait_ms = min(int(order.get("wait_ms", 0)), MAX_WAIT_MS)
    if wait_ms and not backend.finished():
        with anyio.move_on_after(wait_ms / 1000):
            await backend.ended.wait()
    running = [[run.task, run.number, "", done, cpu] for run, done, cpu in backend.running()]
    finished = [
        [number, run.task, run.number, run.outcome, ""] for number, run in backend.finished()
    ]
    return 200, _reply(backend, running=running, finished=finished)


def _reply(backend: Backend, **fields: Any) -> dict[str, Any]:
    return {"clock_ms": backend.clock_ms(), "born": backend.born_ms, **fields}


def _parameter(spec: str, name: str, default: int) -> int:
    match = re.search(rf"{name}=(\d+)", spec)
    return int(match[1]) if match else default
