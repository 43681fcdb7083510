"""Stand-ins for backend servers: guard their capacity, their leases and their fencing tokens."""

from __future__ import annotations

import itertools
from collections.abc import Callable

import anyio
import attrs

from apricotpoint._soak.sightings import Run, Sightings

STOP_S = 0.02
MAX_LISTED = 500
# Clock of a backend server at its start; orders use positive times.
FIRST_CLOCK_MS = 1


@attrs.define(eq=False)
class RunningTask:
    """A run in progress, with the time at which it ends by itself, and the room that it takes."""

    run: Run
    ends_at: float
    outcome: str
    cpu: int
    duration_s: float


@attrs.frozen
class Order:
    """Start of a run: `deadline_ms` is on the clock of the backend server."""

    task: str
    number: int
    deadline_ms: int
    cpu: int
    duration_s: float
    deadly: bool


class Backend:
    """State of one backend server.

    `now` returns seconds; the state is brought up to that time before each order, so that ends
    have their nominal times even if the soak itself was late. `on_crash` is called by a deadly
    task.
    """

    def __init__(
        self,
        *,
        backend_id: str,
        failure_domain: str,
        address: str,
        sightings: Sightings,
        max_lease_s: float,
        cpu: int,
        on_crash: Callable[[], None],
        wall_ms: int,
    ) -> None:
        self.backend_id, self.failure_domain, self.address = backend_id, failure_domain, address
        self.cpu, self.memory_mb = cpu, 131_072
        self.leaving = self.gone = False
        self.born_ms = wall_ms
        self.ended = anyio.Event()
        self._sightings, self._on_crash = sightings, on_crash
        sightings.domain_by_backend[backend_id] = failure_domain
        self._max_lease_s = max_lease_s
        self._began_at = sightings.now()
        self._token = 0
        self._lease_until = self._lapsed_at = 0.0
        self._running: dict[str, RunningTask] = {}
        self._highest_ended: dict[str, int] = {}
        self._finished: list[tuple[int, Run]] = []
        self._numbers = itertools.count(1)
        self._sequence = itertools.count(1)

    def clock_ms(self) -> int:
        """Return the milliseconds on the clock of the backend server."""
        return int((self._sightings.now() - self._began_at) * 1000) + FIRST_CLOCK_MS

    def next_sequence(self) -> int:
        """Return the number of the next announcement."""
        return next(self._sequence)

    def accept_token(self, token: int) -> bool:
        """Return whether a fencing token is not lower than the highest one seen, and keep it."""
        if token < self._token:
            return False
        self._token = token
        return True

    def extend_lease(self, deadline_ms: int) -> None:
        """Let everything run until a time on the clock of the backend server; never shortens."""
        now = self.advance()
        if self._lease_until < now:
            self._lapsed_at = self._lease_until
        deadline = self._began_at + (deadline_ms - FIRST_CLOCK_MS) / 1000
        limit = now + self._max_lease_s
        self._lease_until = max(self._lease_until, min(deadline, limit))

    def start(self, order: Order) -> str:
        """Start a run; returns an empty string, or the reason of a refusal."""
        now = self.advance()
        if order.deadline_ms <= self.clock_ms():
            return "late"
        self.extend_lease(order.deadline_ms)
        active = self._running.get(order.task)
        if active is not None and active.run.number == order.number:
            return ""
        if order.number <= self._highest_ended.get(order.task, 0) or active is not None:
            return "old"
        if sum(task.cpu for task in self._running.values()) + order.cpu > self.cpu:
            return "room"
        run = Run(self.backend_id, order.task, order.number, now)
        self._sightings.runs.append(run)
        self._running[order.task] = RunningTask(
            run, now + order.duration_s, "done", order.cpu, order.duration_s
        )
        if order.deadly:
            self._on_crash()
        return ""

    def stop(self, task: str, number: int) -> None:
        """Stop a run within `STOP_S`; one that is not there yet will be refused."""
        now = self.advance()
        active = self._running.get(task)
        if active is not None and active.run.number == number:
            if active.ends_at > now + STOP_S:
                active.ends_at, active.outcome = now + STOP_S, "stopped"
        else:
            self._highest_ended[task] = max(self._highest_ended.get(task, 0), number)

    def acknowledge(self, count: int) -> None:
        """Forget the ends up to a number, which the holder has taken note of.

        An end does not count as noted if the lease lapsed since: the holder may have given the
        run up before it learned of its end.
        """
        now = self.advance()
        for number, run in self._finished:
            lapsed = run.ended_at is None or run.ended_at <= self._lapsed_at
            if number <= count and not lapsed and self._lease_until >= now:
                run.noted_at = now
        self._finished = [row for row in self._finished if row[0] > count]

    def running(self) -> list[tuple[Run, int, int]]:
        """Return each run in progress with its percent done and its room."""
        now = self.advance()
        return [
            (
                task.run,
                min(99, max(0, int(100 * (now - task.run.began_at) / task.duration_s))),
                task.cpu,
            )
            for task in self._running.values()
        ]

    def finished(self) -> list[tuple[int, Run]]:
        """Return the ends that were not acknowledged, the first `MAX_LISTED`."""
        self.advance()
        return self._finished[:MAX_LISTED]

    def crash(self) -> None:
        """End everything at once; nothing is answered afterwards."""
        now = self.advance()
        self.gone = True
        for task in self._running.values():
            task.run.ended_at, task.run.outcome = now, "crashed"
        self._running.clear()
        self.ended.set()

    def advance(self) -> float:
        """Bring the state up to the present, which is returned."""
        now = self._sightings.now()
        over = sorted(
            (
                task
                for task in self._running.values()
                if min(task.ends_at, self._lease_until) <= now
            ),
            key=lambda task: min(task.ends_at, self._lease_until),
        )
        for task in over:
            lapsed = self._lease_until < task.ends_at
            run = task.run
            run.ended_at = min(task.ends_at, self._lease_until)
            run.outcome = "lapsed" if lapsed else task.outcome
            del self._running[run.task]
            self._highest_ended[run.task] = max(self._highest_ended.get(run.task, 0), run.number)
            self._finished.append((next(self._numbers), run))
        if over:
            self.ended.set()
            self.ended = anyio.Event()
        return now

    def next_end(self) -> float | None:
        """Return the time of the next end of a run; None without runs."""
        ends = [min(task.ends_at, self._lease_until) for task in self._running.values()]
        return min(ends, default=None)
