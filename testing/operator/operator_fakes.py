"""Stand-ins for the transport, and an entry process that executes operator commands."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import trio
import trio.testing

from apricotpoint._link.transport import PeerUnreachable, Sender
from apricotpoint._operator.executor import CommandExecutor
from apricotpoint._wire.configuration import ChangeReply, Configuration, ServiceConfig
from apricotpoint._wire.jobs import Answer


def run_on_virtual_time(function: Callable[[], Awaitable[Any]]) -> Any:
    """Run an async function on virtual time."""
    return trio.run(function, clock=trio.testing.MockClock(autojump_threshold=0))


class FakeTransport:
    """Transport that calls the request handlers of the other transports in `network`."""

    def __init__(self, process_id: str, network: dict[str, FakeTransport]) -> None:
        self.process_id = process_id
        self.network = network
        self.handlers_by_type: dict[type, Any] = {}
        self.request_handlers_by_type: dict[type, Any] = {}
        self.unreachable = False
        network[process_id] = self

    def peers(self) -> list[str]:
        """Return the ids of the other processes."""
        return [name for name in self.network if name != self.process_id]

    async def request(self, peer_id: str, message: object, *, timeout_s: float) -> object:
        """Call the handler of a peer; an unreachable one times out."""
        peer = self.network[peer_id]
        if peer.unreachable:
            await anyio.sleep(timeout_s)
            raise PeerUnreachable(peer_id)
        handler = peer.request_handlers_by_type[type(message)]
        return await handler(Sender(self.process_id, 1), message)


class FakeProcess:
    """The command executor of an entry process, with fakes that record their calls."""

    def __init__(self, process_id: str, network: dict[str, FakeTransport]) -> None:
        self.jobs: list[dict[str, Any]] = []
        self.cancelled: list[tuple[str, str]] = []
        self.changes: list[Any] = []
        self.requests: list[Any] = []
        self.change_error: Exception | None = None
        self.cancel_time_s = 0.0
        self.configuration = Configuration(
            version=7, service_by_name={"order-desk": ServiceConfig("order-desk")}
        )
        self.transport = FakeTransport(process_id, network)
        self.commands = CommandExecutor(
            process_id=process_id,
            transport=self.transport,  # type: ignore[arg-type]
            rows_by_table={"jobs": lambda: self.jobs, "services": self._services},
            configuration=lambda: self.configuration,
            change=self._change,
            submit=self._submit,
            cancel=self._cancel,
            dump=lambda: {"process": process_id},
            failure_domains=["puebla", "toluca"],
            wall_time=lambda: 1_800_000_000.0,
        )

    def _services(self) -> list[dict[str, Any]]:
        return [{"name": name} for name in self.configuration.service_by_name]

    async def _change(self, change: Any) -> ChangeReply:
        self.changes.append(change)
        if self.change_error is not None:
            raise self.change_error
        return ChangeReply(code=4000, version=change.base_version + 1)

    async def _submit(self, request: Any) -> Answer:
        self.requests.append(request)
        return Answer(key=request.key, code=1000, results=[1] * len(request.tasks))

    async def _cancel(self, team: str, key: str) -> Answer:
        await anyio.sleep(self.cancel_time_s)
        self.cancelled.append((team, key))
        return Answer(key=key, code=2108)


def make_system() -> list[FakeProcess]:
    """Return two entry processes of one system, with two jobs and one job."""
    network: dict[str, FakeTransport] = {}
    processes = [FakeProcess("puebla-1", network), FakeProcess("toluca-1", network)]
    processes[0].jobs = [
        {"team": "hem", "key": "a", "state": "running", "age_s": 0.2, "tasks": 3},
        {"team": "hem", "key": "b", "state": "queued", "age_s": 2.5, "tasks": 1},
    ]
    processes[1].jobs = [{"team": "cut", "key": "c", "state": "queued", "age_s": 0.9, "tasks": 9}]
    return processes
