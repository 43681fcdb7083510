"""Test data, and an entry process with simulated peers and backend servers."""

from __future__ import annotations

from collections.abc import AsyncIterator
from random import Random

import anyio
import anyio.lowlevel
import attrs

from apricotpoint._core.counters import Counters
from apricotpoint._core.timers import TimerService
from apricotpoint._dispatch.cluster import Cluster
from apricotpoint._dispatch.estimator import RunTimeEstimator
from apricotpoint._dispatch.exchange import BackendAddress, RunStatus, Start, StartResult
from apricotpoint._dispatch.holder import LeaseHolder
from apricotpoint._link.transport import Handler, PeerUnreachable, RequestHandler
from apricotpoint._wire.announce import Announcement, HolderName
from apricotpoint._wire.configuration import Configuration, ServiceConfig, TeamConfig
from apricotpoint._wire.load import BackendLoad, LoadReport

SERVICE = "order-desk"
DOMAIN = "puebla"
INCARNATION = 1_800_000_000_000_000
SLOTS_PER_BACKEND = 8
# Payload of a task that never ends.
ENDLESS_PAYLOAD = "endless"
# Run time that a backend server reports for a task that it completes at once.
REPORTED_RUN_S = 0.1


class CountingTransport:
    """A `Transport` that counts messages in `sent` and delivers none."""

    def __init__(self, peers: list[str] | None = None) -> None:
        self.handlers_by_type: dict[type, Handler] = {}
        self.request_handlers_by_type: dict[type, RequestHandler] = {}
        self.sent = 0
        self._peers = peers or []

    def send(self, peer_id: str, message: object, *, reliable: bool = False) -> bool:
        """Count a message and return True, as for a connected peer."""
        self.sent += 1
        return True

    async def request(self, peer_id: str, message: object, *, timeout_s: float) -> object:
        """Raise `PeerUnreachable`."""
        raise PeerUnreachable(peer_id)

    def peers(self) -> list[str]:
        """Return the ids given to the constructor."""
        return self._peers

    def seconds_since_contact(self, peer_id: str) -> float:
        """Return 0, so that every peer counts as connected."""
        return 0.0

    def incarnation_of(self, peer_id: str) -> int | None:
        """Return the same incarnation for every peer."""
        return INCARNATION


def make_entry_id(number: int) -> str:
    """Return the id of the entry process with this number."""
    return f"{DOMAIN}-{number:03}"


def backend_load(number: int) -> BackendLoad:
    """Return the load of a backend server with half of its slots free."""
    return BackendLoad(
        backend_id=f"worker-{number:05}",
        service=SERVICE,
        failure_domain=DOMAIN,
        slots=SLOTS_PER_BACKEND,
        free_slots=SLOTS_PER_BACKEND // 2,
        speed=0.9 + number % 7 * 0.033,
        available=True,
        cores=32,
        memory_mb=131_072,
        accelerators=0,
    )


def load_report(first: int, count: int, *, teams: int = 0) -> LoadReport:
    """Return the load report of a lease holder with `count` backend servers, numbered from `first`.

    It has tasks in flight of `teams` teams.
    """
    return LoadReport(
        config_version=1000,
        draining=False,
        weight=1.0,
        held_slots=count * SLOTS_PER_BACKEND,
        backends=[backend_load(first + number) for number in range(count)],
        queued_s_by_service={SERVICE: 1.25},
        queued_tasks=10,
        failure_domain=DOMAIN,
        caller_address="10.20.30.40:8080",
        tasks_by_team={f"team-{number:03}": 100 + number for number in range(teams)},
    )


def configuration(*, services: int = 1, teams: int = 1, drains: int = 0) -> Configuration:
    """Return a configuration with this many services, teams and drained backend servers."""
    names = [SERVICE, *(f"service-{number:03}" for number in range(1, services))]
    return Configuration(
        version=1000,
        service_by_name={name: ServiceConfig(name) for name in names},
        team_by_name={
            f"team-{number:03}": TeamConfig(f"team-{number:03}", quota_tasks=1_000_000)
            for number in range(teams)
        },
        drained_backends=[f"worker-{number:05}" for number in range(drains)],
    )


class MeasuredEntry:
    """Cluster view and lease holder of one entry process, as in production.

    Its backend servers are simulated: a task takes the seconds in its payload, or
    completes at once. Use it as an async context manager.
    """

    def __init__(
        self,
        timers: TimerService,
        *,
        backends: int,
        peers: list[str] | None = None,
    ) -> None:
        self.name = HolderName(make_entry_id(0), INCARNATION)
        self.timers = timers
        self.transport = CountingTransport(peers)
        self.counters = Counters()
        self.estimator = RunTimeEstimator()
        self.configuration = configuration(teams=260)
        self.exchanges = 0
        self.starts = 0
        self._backends = backends
        self._sequence = 0
        self.cluster = Cluster(
            entry_id=self.name.entry_id,
            incarnation=INCARNATION,
            transport=self.transport,
            timers=timers,
            make_report=self.report,
            entry_ids=self.transport.peers,
        )
        self.holder = LeaseHolder(
            entry_id=self.name.entry_id,
            incarnation=INCARNATION,
            failure_domain=DOMAIN,
            weight=1.0,
            transport=self.transport,
            timers=timers,
            counters=self.counters,
            random=Random(1),
            cluster=self.cluster,
            estimator=self.estimator,
            configuration=lambda: self.configuration,
            draining=lambda: False,
            send_to_backend=self._send,
            fetch_result=self._fetch_result,
            cancel_on_backend=self._cancel,
        )

    async def __aenter__(self) -> MeasuredEntry:
        await self.cluster.__aenter__()
        await self.holder.__aenter__()
        self.announce(self.announcements())
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.holder.__aexit__(None, None, None)
        await self.cluster.__aexit__(None, None, None)

    def set_policy(self, policy: str) -> None:
        """Use another placement policy from now on."""
        services = {SERVICE: ServiceConfig(SERVICE, policy=policy)}
        self.configuration = attrs.evolve(self.configuration, service_by_name=services)

    def announcements(self) -> list[Announcement]:
        """Return the next announcement of each backend server."""
        self._sequence += 1
        return [
            Announcement(
                backend_id=f"worker-{number:05}",
                incarnation=INCARNATION + number,
                sequence=self._sequence,
                clock_s=self.timers.now(),
                service=SERVICE,
                failure_domain=DOMAIN,
                rack=f"rack-{number // 8:03}",
                address=f"10.20.{number // 250}.{number % 250}:7000",
                slots=SLOTS_PER_BACKEND,
                connections=64,
                cores=32,
                memory_mb=131_072,
                holder=self.name,
            )
            for number in range(self._backends)
        ]

    def announce(self, announcements: list[Announcement]) -> None:
        """Pass announcements to the lease holder."""
        for announcement in announcements:
            self.holder.handle_announcement(announcement)

    def report(self) -> LoadReport:
        """Return the load report of this entry process."""
        backends = self.holder.backend_loads()
        return attrs.evolve(
            load_report(0, 0),
            held_slots=sum(backend.slots for backend in backends),
            backends=backends,
            queued_s_by_service=self.holder.queued_s_by_service(),
            queued_tasks=self.holder.queued_tasks(),
        )

    async def _send(
        self, address: BackendAddress, starts: list[Start]
    ) -> AsyncIterator[StartResult]:
        self.exchanges += 1
        self.starts += len(starts)
        if starts[0].payload == ENDLESS_PAYLOAD:
            await anyio.sleep_forever()
        await anyio.lowlevel.checkpoint()
        elapsed_s = 0.0
        for start in sorted(starts, key=_run_time_s):
            run_s = _run_time_s(start)
            if run_s > elapsed_s:
                await anyio.sleep(run_s - elapsed_s)
                elapsed_s = run_s
            run_s = run_s or REPORTED_RUN_S
            yield StartResult(start.start_id, RunStatus.OK, value=start.payload, run_s=run_s)

    async def _fetch_result(self, address: BackendAddress, start_id: str) -> StartResult:
        return StartResult(start_id, RunStatus.UNKNOWN)

    async def _cancel(self, address: BackendAddress, start_ids: list[str]) -> None:
        pass


def _run_time_s(start: Start) -> float:
    return start.payload if isinstance(start.payload, float) else 0.0
