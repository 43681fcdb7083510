"""A network that loses, delays and repeats messages, and processes that can be paused."""

from __future__ import annotations

import contextvars
import random
from collections import deque
from collections.abc import Callable
from typing import Any

import anyio
import attrs
import trio._core._run

from apricotpoint._bench.network import Delivery, Network, Port


@attrs.define(eq=False)
class Process:
    """State of one simulated process; the tasks started in its `context` belong to it.

    While `paused`, none of its tasks runs and messages wait, like those in the
    socket buffers of a process stopped by SIGSTOP.
    """

    process_id: str
    domain: str
    paused: bool = False
    dead: bool = False
    last_resumed_at: float = 0.0
    started_at: float = attrs.Factory(anyio.current_time)
    scope: anyio.CancelScope = attrs.Factory(anyio.CancelScope)
    ended: anyio.Event = attrs.Factory(anyio.Event)
    context: contextvars.Context = attrs.field(init=False)
    _paused_tasks: deque[Any] = attrs.Factory(deque)
    _undelivered: list[Callable[[], None]] = attrs.Factory(list)

    def __attrs_post_init__(self) -> None:
        self.context = contextvars.copy_context()
        self.context.run(_CURRENT_PROCESS.set, self)

    def receive(self, handle: Callable[[], None]) -> None:
        """Call `handle` in the context of the process, after its pause; never if it is dead."""
        if self.paused:
            self._undelivered.append(handle)
        elif not self.dead:
            self.context.run(handle)

    def resume(self) -> None:
        """End a pause; timers that are due fire before waiting messages are handled."""
        if not self.paused:
            return
        self.paused = False
        self.last_resumed_at = anyio.current_time()
        runner = trio._core._run.GLOBAL_RUN_CONTEXT.runner
        runner.runq.extend(self._paused_tasks)
        self._paused_tasks.clear()
        undelivered, self._undelivered = self._undelivered, []
        for handle in undelivered:
            self.receive(handle)


_CURRENT_PROCESS: contextvars.ContextVar[Process | None] = contextvars.ContextVar(
    "process", default=None
)
_reschedule = trio._core._run.Runner.reschedule


def _reschedule_unless_paused(runner: Any, task: Any, *value: Any) -> None:
    _reschedule(runner, task, *value)
    process = task.context.get(_CURRENT_PROCESS)
    if process is not None and process.paused:
        # `_reschedule` has just appended the task to the run queue.
        runner.runq.pop()
        process._paused_tasks.append(task)


def enable_process_pauses() -> None:
    """Patch the scheduler of trio so that it does not run the tasks of paused processes."""
    runner_type: Any = trio._core._run.Runner
    runner_type.reschedule = _reschedule_unless_paused


class FaultyNetwork(Network):
    """Network with one-way partitions between failure domains, loss, delay and duplication.

    Each message is lost with `drop_probability`, duplicated with
    `duplicate_probability` and delayed by up to `jitter_s` seconds. A reliable
    message is delayed by another second instead of lost, and never duplicated.
    `blocked_links` has pairs of failure domains (sender, receiver).
    """

    def __init__(self, process_by_id: dict[str, Process]) -> None:
        super().__init__(latency_s=lambda _from, _to: 0.0005, is_blocked=self.is_blocked_between)
        self.process_by_id = process_by_id
        self.blocked_links: set[tuple[str, str]] = set()
        self.drop_probability = self.duplicate_probability = self.jitter_s = 0.0
        self._random = random.Random(7)
        self._last_reliable_due_at: dict[tuple[str, str], float] = {}

    def is_blocked_between(self, sender_id: str, receiver_id: str) -> bool:
        """Return whether messages from the first process to the second are blocked."""
        pair = [self.process_by_id[item].domain for item in (sender_id, receiver_id)]
        return tuple(pair) in self.blocked_links

    def post(self, delivery: Delivery) -> None:
        """Queue a message with the faults set now; a duplicate arrives 0.3 s later."""
        if self.process_by_id[delivery.sender_id].dead:
            return
        lost = self._random.random() < self.drop_probability
        delay_s = self._random.random() * self.jitter_s
        if delivery.reliable:
            pair = (delivery.sender_id, delivery.receiver_id)
            due_at = delivery.due_at + delay_s + (1.0 if lost else 0.0)
            due_at = max(due_at, self._last_reliable_due_at.get(pair, 0.0))
            self._last_reliable_due_at[pair] = due_at
            super().post(attrs.evolve(delivery, due_at=due_at))
            return
        copies = 0 if lost else 1 + (self._random.random() < self.duplicate_probability)
        for _ in range(copies):
            delayed = attrs.evolve(delivery, due_at=delivery.due_at + delay_s, number=self.number())
            super().post(delayed)
            delay_s += 0.3

    def _deliver(self, delivery: Delivery, now: float) -> None:
        receiver = self.process_by_id.get(delivery.receiver_id)
        if receiver is None or receiver.dead:
            return
        port = self.port_by_id.get(delivery.receiver_id)
        # The receiver cannot tell how long a message waited in its socket buffer during a pause.
        age_s = now - delivery.sent_at if delivery.reliable else 0.0
        deliver = super()._deliver
        if self.is_blocked_between(delivery.sender_id, delivery.receiver_id):
            deliver(delivery, now)
            return

        def handle() -> None:
            current = anyio.current_time()
            if self.port_by_id.get(delivery.receiver_id) is port:
                deliver(attrs.evolve(delivery, sent_at=current - age_s), current)

        receiver.receive(handle)


def connect_process(network: FaultyNetwork, process: Process, incarnation: int) -> Port:
    """Connect a process to the network and return its port."""
    network.process_by_id[process.process_id] = process
    return network.add(process.process_id, incarnation)
