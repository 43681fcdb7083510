"""Workers of the platform, as `PROTOCOL.md` describes them, for the scripts of the review."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import random
import re
import time
from dataclasses import dataclass, field

from rig import HEARTBEAT_INTERVAL_S, MAX_HOLD_MS, Record, call, read_message

STOP_S = 0.02
LEASE_CHECK_S = 0.005
MAX_LISTED = 500


@dataclass
class Run:
    """One run of a task on a worker; times are seconds of the record."""

    worker_id: str
    task: str
    number: int
    token: int
    began_at: float
    duration_s: float
    ended_at: float | None = None
    how: str = ""

    def progress(self, now: float) -> int:
        """Return the progress in whole percent."""
        return min(int(100 * (now - self.began_at) / self.duration_s), 99)


@dataclass
class Worker:
    """A worker that guards its capacity. All runs that it ever had are in `history`."""

    worker_id: str
    zone: str
    host: str
    record: Record
    control_addresses: list[str]
    cpu: int = 32000
    memory_mb: int = 131072
    speed: float = 1.0
    state: str = "ready"
    history: list[Run] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.born_ms = int(time.time() * 1000)
        self._clock_began_at = time.monotonic()
        self._token = 0
        self._lease_until_ms = 0.0
        self._running: dict[str, Run] = {}
        self._stopping: set[str] = set()
        self._cpu_by_task: dict[str, int] = {}
        self._highest_ended: dict[str, int] = {}
        self._finished: list[list[object]] = []
        self._numbers = itertools.count(1)
        self._sequence = itertools.count(1)
        self._ended = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    @property
    def address(self) -> str:
        """Address at which orders are served."""
        return f"{self.host}:{self.port}"

    def clock_ms(self) -> int:
        """Return the milliseconds since the start of the worker."""
        return int((time.monotonic() - self._clock_began_at) * 1000) + 1

    async def start(self) -> None:
        """Listen for orders and send heartbeats."""
        self._server = await asyncio.start_server(self._serve, self.host, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        self._tasks = [
            asyncio.create_task(self._send_heartbeats()),
            asyncio.create_task(self._expire_lease()),
        ]

    async def close(self) -> None:
        """Stop to listen and to send heartbeats."""
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.close()

    # Orders

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                first, headers, content = await read_message(reader)
                status, body = await self._respond(first.split()[1], headers, content)
                payload = json.dumps(body).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % (status, len(payload))
                    + payload
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _respond(
        self, path: str, headers: dict[str, str], content: bytes
    ) -> tuple[int, dict[str, object]]:
        if headers.get("apricotpoint-expected-instance") not in (None, self.worker_id):
            return 421, {}
        try:
            order = json.loads(content)
        except ValueError:
            return 400, self._reply()
        token = int(order.get("fencing_token", 0))
        if token < self._token:
            return 409, self._reply(reason="fence")
        self._token = token
        if path == "/hold":
            return await self._hold(order)
        return self._start_run(order) if path == "/run-start" else self._stop_run(order)

    def _reply(self, **fields: object) -> dict[str, object]:
        return {"clock_ms": self.clock_ms(), "born": self.born_ms, **fields}

    def _extend_lease(self, order: dict[str, object]) -> None:
        deadline_ms = order.get("deadline_ms")
        if isinstance(deadline_ms, int):
            until_ms = min(deadline_ms, self.clock_ms() + MAX_HOLD_MS)
            self._lease_until_ms = max(self._lease_until_ms, until_ms)

    def _start_run(self, order: dict[str, object]) -> tuple[int, dict[str, object]]:
        task, number = str(order["task"]), int(str(order["run_id"]))
        if int(str(order.get("deadline_ms", 0))) <= self.clock_ms():
            return 409, self._reply(reason="late")
        self._extend_lease(order)
        active = self._running.get(task)
        if active is not None and active.number == number:
            return 200, self._reply()
        if number <= self._highest_ended.get(task, 0):
            return 409, self._reply(reason="old")
        spec = str(order["spec"])
        needed = int(_parameter(spec, "cpu", 14000))
        if sum(self._cpu_by_task.values()) + needed > self.cpu:
            return 409, self._reply(reason="room")
        duration_s = _parameter(spec, "run_ms", 100) / 1000 / self.speed
        run = Run(self.worker_id, task, number, self._token, self.record.now(), duration_s)
        self.history.append(run)
        self._running[task] = run
        self._cpu_by_task[task] = needed
        self.record.add(f"worker {self.worker_id} begins task {task} run {number}")
        asyncio.get_running_loop().call_later(duration_s, self._end, run, "done")
        return 200, self._reply()

    def _stop_run(self, order: dict[str, object]) -> tuple[int, dict[str, object]]:
        task, number = str(order["task"]), int(str(order["run_id"]))
        run = self._running.get(task)
        if run is not None and run.number == number:
            asyncio.get_running_loop().call_later(STOP_S, self._end, run, "stopped")
        else:
            self._highest_ended[task] = max(self._highest_ended.get(task, 0), number)
        return 200, self._reply()

    async def _hold(self, order: dict[str, object]) -> tuple[int, dict[str, object]]:
        self._extend_lease(order)
        acknowledged = int(str(order.get("ack_seq", 0)))
        self._finished = [row for row in self._finished if int(str(row[0])) > acknowledged]
        wait_ms = min(int(str(order.get("wait_ms", 0))), 2000)
        if wait_ms and not self._finished:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_ms / 1000):
                    await self._ended.wait()
        now = self.record.now()
        running = [
            [run.task, run.number, "", run.progress(now), self._cpu_by_task[run.task]]
            for run in self._running.values()
        ]
        return 200, self._reply(running=running, finished=self._finished[:MAX_LISTED])

    # Runs

    def _end(self, run: Run, how: str) -> None:
        if run.ended_at is not None:
            return
        run.ended_at, run.how = self.record.now(), how
        self.record.add(f"worker {self.worker_id} ends task {run.task} run {run.number}: {how}")
        del self._running[run.task]
        del self._cpu_by_task[run.task]
        self._highest_ended[run.task] = max(self._highest_ended.get(run.task, 0), run.number)
        self._finished.append([next(self._numbers), run.task, run.number, how, ""])
        self._ended.set()
        self._ended = asyncio.Event()

    async def _expire_lease(self) -> None:
        while True:
            await asyncio.sleep(LEASE_CHECK_S)
            if self._running and self.clock_ms() > self._lease_until_ms:
                for run in list(self._running.values()):
                    self._end(run, "lapsed")

    # Heartbeats

    async def _send_heartbeats(self) -> None:
        # All workers announce themselves at once, and are spread over the interval afterwards.
        wait_s = random.random() * HEARTBEAT_INTERVAL_S
        while True:
            for address in random.sample(self.control_addresses, len(self.control_addresses)):
                if await self._send_heartbeat(address):
                    break
            await asyncio.sleep(wait_s)
            wait_s = HEARTBEAT_INTERVAL_S

    async def _send_heartbeat(self, address: str) -> bool:
        body = {
            "service": "desk",
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_remaining_ms": 0,
            "capacity": {"cpu": self.cpu, "requested_memory_mb": self.memory_mb, "gpu": 0},
            "labels": ["a", f"r-{self.zone}"],
            "clock_ms": self.clock_ms(),
            "born": self.born_ms,
            "sequence": next(self._sequence),
        }
        path = f"/instances/{self.worker_id}/heartbeat"
        reply = await call(address, "POST", path, body, timeout_s=1.0)
        return 200 <= reply.status < 300


def _parameter(spec: str, name: str, default: float) -> float:
    match = re.search(rf"{name}=(\d+)", spec)
    return float(match[1]) if match else default


@contextlib.asynccontextmanager
async def start_workers(record: Record, deployment, counts: dict[str, int]):  # noqa: ANN001, ANN201
    """Start `counts[zone]` workers in each zone; yields them, and closes them at the end."""
    workers = [
        Worker(
            f"i-{random.getrandbits(32):08x}",
            zone,
            f"{deployment.subnet}.{deployment.zones.index(zone) + 1}.{150 + index}",
            record,
            deployment.core_addresses(),
        )
        for zone, count in counts.items()
        for index in range(count)
    ]
    for worker in workers:
        await worker.start()
    try:
        yield workers
    finally:
        for worker in workers:
            await worker.close()


def find_simultaneous_runs(workers: list[Worker], now: float) -> list[str]:
    """Return a text for each two runs of one task that overlap in time."""
    by_task: dict[str, list[Run]] = {}
    for worker in workers:
        for run in worker.history:
            by_task.setdefault(run.task, []).append(run)
    found = []
    for task, runs in by_task.items():
        for first, second in itertools.combinations(sorted(runs, key=lambda r: r.began_at), 2):
            end = min(first.ended_at or now, second.ended_at or now)
            if end > second.began_at:
                found.append(
                    f"TWICE task {task}: run {first.number} on {first.worker_id} from "
                    f"{first.began_at:.3f} to {first.ended_at or now:.3f} ({first.how}), "
                    f"run {second.number} on {second.worker_id} from {second.began_at:.3f} "
                    f"to {second.ended_at or now:.3f} ({second.how}): "
                    f"{1000 * (end - second.began_at):.0f} ms at the same time"
                )
    return found
