"""Several entry processes with fake backend servers and an in-memory network."""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import AsyncIterator, Sequence
from contextlib import AsyncExitStack, asynccontextmanager

import anyio
import anyio.abc
import attrs
from pool_harness import ANSWER_TIMEOUT_S, FakeBackend, make_announcement

from apricotpoint._control.feed import ConfigurationFeed
from apricotpoint._core.counters import Counters
from apricotpoint._core.timers import TimerService
from apricotpoint._link.peer import HEARTBEAT_PERIOD_S, RETRANSMIT_TIMEOUT_S
from apricotpoint._link.transport import (
    Handler,
    PeerUnreachable,
    RequestHandler,
    RequestNotSent,
    Sender,
)
from apricotpoint._pool.decisions.shares import BACKENDS_PER_CORE
from apricotpoint._pool.evacuationorders import EvacuationOrders
from apricotpoint._pool.explainer import Explainer
from apricotpoint._pool.holders.claimer import CLAIM_CHECK_PERIOD_S, Claimer
from apricotpoint._pool.holders.crashreports import CrashReports
from apricotpoint._pool.holders.discovery import Discovery
from apricotpoint._pool.holders.members import EntryMembers
from apricotpoint._pool.holders.relay import AnnouncementRelay
from apricotpoint._pool.holders.roster import Roster
from apricotpoint._pool.runs.backendclient import LeaseReply, RunKey, StartOutcome, StartRequest
from apricotpoint._pool.scheduler import Scheduler
from apricotpoint._pool.service import PoolService
from apricotpoint._wire.configuration import ConfigPoll, ConfigUpdate, Configuration, Evacuation
from apricotpoint._wire.pool import EntryStatus, EntrySummary, PoolBackend

ONE_WAY_DELAY_S = 0.0005
CONTROL_IDS = ("control-a", "control-b")
ANNOUNCE_S = 1.5
DOMAINS = (("e1", "a"), ("e2", "a"), ("e3", "b"))
# Processors that carry the two backend servers of a failure domain, and all four.
ONE_DOMAIN_CORES = 2 / BACKENDS_PER_CORE
ALL_DOMAINS_CORES = 4 / BACKENDS_PER_CORE


class FakeTransport:
    """Implements `DynamicTransport`; messages arrive after `ONE_WAY_DELAY_S` unless cut off."""

    def __init__(self, network: FakeNetwork, peer_id: str) -> None:
        self.handlers_by_type: dict[type, Handler] = {}
        self.request_handlers_by_type: dict[type, RequestHandler] = {}
        self.peer_id = peer_id
        self._network = network
        self._last_contact_at_by_peer: dict[str, float] = {}
        self._last_alive_at_by_peer: dict[str, float] = {}
        self._withdrawn_by_request: dict[int, anyio.Event] = {}
        network.incarnation_by_id[peer_id] += 1
        self._incarnation = network.incarnation_by_id[peer_id]
        network.transport_by_id[peer_id] = self

    def add_peer(self, peer_id: str, address: str) -> None:
        """Do nothing: every process reaches every other one."""

    def remove_peer(self, peer_id: str) -> None:
        """Do nothing: every process reaches every other one."""

    def replace_connections(self, peer_id: str) -> None:
        """Do nothing: there are no connections."""

    def withdraw(self, peer_id: str, message: object) -> bool:
        """Withdraw a request to a process whose connections take nothing; False to others."""
        event = self._withdrawn_by_request.get(id(message))
        if event is not None:
            event.set()
        return event is not None

    def peers(self) -> list[str]:
        """Return the ids of all other processes."""
        return [key for key in self._network.transport_by_id if key != self.peer_id]

    def seconds_since_contact(self, peer_id: str) -> float:
        """Return the seconds since the last contact with a peer."""
        return anyio.current_time() - self._last_contact_at_by_peer.get(peer_id, -math.inf)

    def seconds_since_alive(self, peer_id: str) -> float:
        """Return the seconds since a peer sent the last message that has arrived."""
        return anyio.current_time() - self._last_alive_at_by_peer.get(peer_id, -math.inf)

    def incarnation_of(self, peer_id: str) -> int | None:
        """Return the incarnation of a process, which rises with each start."""
        return self._network.incarnation_by_id[peer_id]

    def send(self, peer_id: str, message: object, *, reliable: bool = False) -> bool:
        """Send a message; it is dropped if the peer cannot be reached, or repeated if reliable."""
        self._network.sent_by_id[self.peer_id] += 1
        deliver = self._deliver_reliably if reliable else self._deliver
        self._network.group.start_soon(deliver, peer_id, message)
        return True

    async def request(self, peer_id: str, message: object, *, timeout_s: float) -> object:
        """Send a request and wait for its reply."""
        self._network.sent_by_id[self.peer_id] += 1
        sent_at = anyio.current_time()
        if peer_id in self._network.blocked_ids:
            withdrawn = self._withdrawn_by_request[id(message)] = anyio.Event()
            with anyio.move_on_after(timeout_s):
                await withdrawn.wait()
                raise RequestNotSent(peer_id)
        with anyio.move_on_after(timeout_s):
            target = await self._reach(peer_id)
            handler = target and target.request_handlers_by_type.get(type(message))
            if target is not None and handler is not None:
                target.record_contact(self.peer_id, sent_at)
                self._network.sent_by_id[peer_id] += 1
                replies: list[object] = []
                done = anyio.Event()
                sender = self._as_sender(peer_id)

                async def answer() -> None:
                    replies.append(await handler(sender, message))
                    done.set()

                # As over a network, the handler goes on after the requester has timed out.
                self._network.start(target.peer_id, answer)
                async with anyio.create_task_group() as group:
                    if self._network.sends_heartbeats:
                        group.start_soon(self._exchange_heartbeats, peer_id)
                    await done.wait()
                    group.cancel_scope.cancel()
                replied_at = anyio.current_time()
                if await self._network.reaches(peer_id, self.peer_id):
                    self.record_contact(peer_id, replied_at)
                    return replies[0]
            await anyio.sleep_forever()
        raise PeerUnreachable(peer_id)

    def record_contact(self, peer_id: str, sent_at: float | None = None) -> None:
        """Record a message of a peer that arrives now, and was sent now unless `sent_at` is given.

        The mesh knows the time of sending from the clocks in the messages.
        """
        now = anyio.current_time()
        self._last_contact_at_by_peer[peer_id] = now
        alive_at = now if sent_at is None else sent_at
        known_at = self._last_alive_at_by_peer.get(peer_id, -math.inf)
        self._last_alive_at_by_peer[peer_id] = max(known_at, alive_at)

    async def _exchange_heartbeats(self, peer_id: str) -> None:
        """Record contacts in both directions, as the mesh does while a request is open."""
        while True:
            for sender, receiver in ((self.peer_id, peer_id), (peer_id, self.peer_id)):
                self._network.group.start_soon(self._network.deliver_heartbeat, sender, receiver)
            await anyio.sleep(HEARTBEAT_PERIOD_S)

    async def _reach(self, peer_id: str) -> FakeTransport | None:
        if not await self._network.reaches(self.peer_id, peer_id):
            return None
        return self._network.transport_by_id.get(peer_id)

    async def _deliver(self, peer_id: str, message: object) -> bool:
        sent_at = anyio.current_time()
        target = await self._reach(peer_id)
        if target is None:
            return False
        target.record_contact(self.peer_id, sent_at)
        handler = target.handlers_by_type.get(type(message))
        if handler is not None:
            handler(self._as_sender(peer_id), message)
        return True

    async def _deliver_reliably(self, peer_id: str, message: object) -> None:
        """Repeat a message until it arrives or one of both processes has ended, as the mesh does.

        Unlike there, messages that are repeated may overtake each other.
        """
        transport_by_id = self._network.transport_by_id
        target = transport_by_id.get(peer_id)
        while transport_by_id.get(peer_id) is target and target is not None:
            if await self._deliver(peer_id, message):
                return
            await anyio.sleep(RETRANSMIT_TIMEOUT_S)
            if transport_by_id.get(self.peer_id) is not self:
                return

    def _as_sender(self, peer_id: str) -> Sender:
        network = self._network
        age_s = network.delay_by_pair.get((self.peer_id, peer_id), 0.0)
        return Sender(self.peer_id, self._incarnation, age_s)


class PartitionedClient:
    """Client of one process for a backend server; gets no answers during a partition."""

    def __init__(
        self, backend: FakeBackend, network: FakeNetwork, domain: str, backend_domain: str
    ) -> None:
        self._backend = backend
        self._network = network
        self._domain = domain
        self._backend_domain = backend_domain

    def _is_partitioned(self) -> bool:
        return self._network.separates(self._domain, self._backend_domain)

    async def start(self, request: StartRequest) -> StartOutcome:
        """Request the start of a run."""
        if self._is_partitioned():
            await anyio.sleep(ANSWER_TIMEOUT_S)
            return StartOutcome.UNKNOWN
        return await self._backend.start(request)

    async def stop(self, key: RunKey, token: int) -> bool:
        """Request that a run is stopped."""
        return not self._is_partitioned() and await self._backend.stop(key, token)

    async def renew_lease(
        self, *, token: int, acknowledged: int, lease_until_ms: int | None, wait_s: float
    ) -> LeaseReply | None:
        """Renew the lease."""
        if self._is_partitioned():
            await anyio.sleep(wait_s + ANSWER_TIMEOUT_S)
            return None
        reply = await self._backend.renew_lease(
            token=token, acknowledged=acknowledged, lease_until_ms=lease_until_ms, wait_s=wait_s
        )
        return None if self._is_partitioned() else reply

    async def renew_connections(self) -> None:
        """Do nothing: there are no connections."""

    async def close(self) -> None:
        """Do nothing: there are no connections."""


class FakeOrders:
    """Orders to evacuate failure domains, served by the control processes in a configuration.

    With `version` 0 there is no configuration until the first order.
    """

    def __init__(self, *, version: int = 1) -> None:
        self.configuration = Configuration(version=version)
        self._changed = anyio.Event()

    def give(self, domain: str, *, active: bool) -> None:
        """Evacuate a failure domain, or restore it."""
        order = Evacuation(active, 1, f"order-{domain}", 0.0)
        orders = {**self.configuration.evacuation_by_domain, domain: order}
        version = self.configuration.version + 1
        self.configuration = Configuration(version=version, evacuation_by_domain=orders)
        self._changed.set()
        self._changed = anyio.Event()

    async def answer(self, _: Sender, message: object) -> object:
        """Answer a long poll, as a control process in contact with a majority does."""
        assert isinstance(message, ConfigPoll)
        if message.version == self.configuration.version:
            with anyio.move_on_after(message.wait_s):
                await self._changed.wait()
        is_newer = self.configuration.version > message.version
        newer = self.configuration if is_newer else None
        return ConfigUpdate(self.configuration.version, current=True, configuration=newer)


class FakeNetwork:
    """The network: `dropped_pairs` has the pairs (sender, receiver) whose messages are dropped.

    `delay_by_pair` has the delays of messages that take longer than usual, in seconds.
    Requests to the processes `blocked_ids` are never written to a connection.
    With `sends_heartbeats` both sides of an open request hear from each other.
    `sent_by_id` counts the messages and replies that each process has sent. With `orders` the
    entry processes get them, as where failure domains may be evacuated.
    """

    def __init__(self, group: anyio.abc.TaskGroup) -> None:
        self.group = group
        self.transport_by_id: dict[str, FakeTransport] = {}
        self.group_by_id: dict[str, anyio.abc.TaskGroup] = {}
        self.dropped_pairs: set[tuple[str, str]] = set()
        self.partitioned_domain: str | None = None
        self.delay_by_pair: dict[tuple[str, str], float] = {}
        self.incarnation_by_id: Counter[str] = Counter()
        self.sent_by_id: Counter[str] = Counter()
        self.sends_heartbeats = False
        self.orders: FakeOrders | None = None
        self.blocked_ids: set[str] = set()

    async def deliver_heartbeat(self, sender: str, receiver: str) -> None:
        """Record a contact at the receiver, if the sender lives and reaches it."""
        sent_at = anyio.current_time()
        if sender in self.transport_by_id and await self.reaches(sender, receiver):
            self.transport_by_id[receiver].record_contact(sender, sent_at)

    def isolate(self, peer_id: str) -> None:
        """Cut a process off from all other processes."""
        for other in self.transport_by_id:
            self.dropped_pairs |= {(peer_id, other), (other, peer_id)}

    def separates(self, domain: str, other: str) -> bool:
        """Return whether a partition lies between two failure domains."""
        return domain != other and self.partitioned_domain in (domain, other)

    async def reaches(self, sender: str, receiver: str) -> bool:
        """Return after the delay of a message whether it arrives."""
        await anyio.sleep(self.delay_by_pair.get((sender, receiver), ONE_WAY_DELAY_S))
        return (sender, receiver) not in self.dropped_pairs and receiver in self.transport_by_id

    def start(self, peer_id: str, function: object) -> None:
        """Start a coroutine in the task group of a process."""
        group = self.group_by_id.get(peer_id, self.group)
        group.start_soon(function)  # type: ignore[arg-type]


@attrs.define(eq=False)
class Entry:
    """One entry process, composed like the real program."""

    entry_id: str
    domain: str
    network: FakeNetwork
    backend_by_id: dict[str, FakeBackend]
    cores: float
    started_at: float
    all_domains: Sequence[str] = ("a", "b")
    control_ids: Sequence[str] = CONTROL_IDS
    counters: Counters = attrs.Factory(Counters)
    draining: bool = False
    # By how much the wall clock of its machine is ahead, which may change while it runs.
    clock_ahead_s: float = 0.0
    scheduler: Scheduler = attrs.field(init=False)
    claimer: Claimer = attrs.field(init=False)
    members: EntryMembers = attrs.field(init=False)
    service: PoolService = attrs.field(init=False)
    explainer: Explainer = attrs.field(init=False)
    scope: anyio.CancelScope = attrs.Factory(anyio.CancelScope)

    async def run(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        """Run until `kill` cancels the scope."""
        with self.scope:
            async with AsyncExitStack() as stack:
                group = await stack.enter_async_context(anyio.create_task_group())
                self.network.group_by_id[self.entry_id] = group
                timers = TimerService(
                    wall_clock=lambda: 1_800_000_000 + anyio.current_time() + self.clock_ahead_s
                )
                transport = FakeTransport(self.network, self.entry_id)
                roster = Roster(now=timers.now)
                self.scheduler = Scheduler(
                    timers=timers,
                    counters=self.counters,
                    random=random.Random(1),
                    make_client=lambda announcement: PartitionedClient(
                        self.backend_by_id[announcement.backend_id],
                        self.network,
                        self.domain,
                        announcement.failure_domain,
                    ),
                )
                self.claimer = Claimer(
                    domains=lambda: self.all_domains,
                    scheduler=self.scheduler,
                    roster=roster,
                    timers=timers,
                    counters=self.counters,
                    suspended_s=lambda: 0.0,
                )
                self.scheduler.on_fenced = self.claimer.give_up_claim
                discovery = Discovery(
                    summary=EntrySummary(
                        entry_id=self.entry_id,
                        failure_domain=self.domain,
                        cores=self.cores,
                        started_at=self.started_at,
                    ),
                    seeds=lambda: list(self.control_ids),
                    transport=transport,
                    address_of=str,
                    timers=timers,
                    roster=roster,
                )
                self.members = EntryMembers(
                    discovery=discovery,
                    transport=transport,
                    address_of=str,
                    timers=timers,
                    roster=roster,
                    random=random.Random(2),
                    make_status=self._status,
                )
                self.service = PoolService(
                    own_domain=self.domain,
                    members=self.members,
                    scheduler=self.scheduler,
                    transport=transport,
                    timers=timers,
                    counters=self.counters,
                    # Other numbers of attempts than those of all other incarnations.
                    random=random.Random(f"{self.entry_id} {self.started_at}"),
                )
                self.explainer = Explainer(
                    service=self.service,
                    members=self.members,
                    scheduler=self.scheduler,
                    transport=transport,
                    timers=timers,
                )
                crash_reports = CrashReports(
                    crashes=self.scheduler.crashes,
                    members=self.members,
                    roster=roster,
                    transport=transport,
                    timers=timers,
                )
                for part in (
                    timers,
                    self.scheduler,
                    self.members,
                    crash_reports,
                    discovery,
                    self.service,
                    self.explainer,
                ):
                    await stack.enter_async_context(part)
                if self.network.orders is not None:
                    feed = ConfigurationFeed(
                        transport=transport,
                        control_ids=discovery.control_ids,
                        timers=timers,
                        counters=self.counters,
                    )
                    EvacuationOrders(
                        feed=feed, scheduler=self.scheduler, service=self.service, timeout_s=5.0
                    )
                    await stack.enter_async_context(feed)
                self.claimer.start_pause_detection()

                def check() -> None:
                    self.claimer.check(self.members)
                    roster.remove_unreachable()

                timers.every(CLAIM_CHECK_PERIOD_S, check)
                task_status.started()
                await anyio.sleep_forever()

    def kill(self) -> None:
        """Terminate the process without notice to its peers."""
        self.network.transport_by_id.pop(self.entry_id, None)
        self.scope.cancel()

    def drain(self) -> None:
        """Start to drain the process."""
        self.draining = self.claimer.draining = True
        self.members.send_status()

    def held(self) -> list[str]:
        """Return the sorted ids of the backend servers held."""
        return sorted(self.scheduler.held_by_id)

    def _status(self) -> EntryStatus:
        return EntryStatus(
            failure_domain=self.domain,
            draining=self.draining,
            config_version=1,
            term_by_claim=self.claimer.term_by_claim(),
            held=self.claimer.held_backend_ids(),
            load=self.scheduler.load(),
            speed_by_backend=self.scheduler.estimates.speeds(),
            answering=self.claimer.responsive_backend_count(),
            cores=self.cores,
            started_at=self.started_at,
        )


@attrs.define(eq=False)
class Cluster:
    """Entry processes e1 and e2 in failure domain a, e3 in b; backend servers a1, a2 and b1, b2.

    Backend servers in `unannounced` send no announcements.
    """

    network: FakeNetwork
    entry_by_id: dict[str, Entry]
    backend_by_id: dict[str, FakeBackend]
    unannounced: set[str]
    relay_by_id: dict[str, AnnouncementRelay]

    async def restart(self, entry_id: str) -> None:
        """Start a new incarnation of a killed entry process."""
        former = self.entry_by_id[entry_id]
        await self.join(entry_id, former.domain, cores=former.cores)

    async def join(self, entry_id: str, domain: str, *, cores: float | None = None) -> None:
        """Start an entry process, the youngest of all; `cores` are those of e1 unless given."""
        template = self.entry_by_id["e1"]
        entry = attrs.evolve(
            template,
            entry_id=entry_id,
            domain=domain,
            cores=template.cores if cores is None else cores,
            started_at=template.started_at + 1 + anyio.current_time(),
            counters=Counters(),
            draining=False,
            scope=anyio.CancelScope(),
        )
        self.entry_by_id[entry_id] = entry
        await self.network.group.start(entry.run)

    def forget_entries(self) -> None:
        """Have all control processes forget the entry processes, as after a restart."""
        for relay in self.relay_by_id.values():
            relay._entry_by_id.clear()
            relay._list_made_at = -math.inf
            relay._listening_since = anyio.current_time()

    def partition(self, domain: str) -> None:
        """Partition a failure domain, with its processes and backend servers, from the others."""
        domain_by_id = {key: entry.domain for key, entry in self.entry_by_id.items()}
        domain_by_id |= {key: key[-1] for key in self.relay_by_id}
        self.network.partitioned_domain = domain
        for one, one_domain in domain_by_id.items():
            for other, other_domain in domain_by_id.items():
                if self.network.separates(one_domain, other_domain):
                    self.network.dropped_pairs.add((one, other))

    def heal(self) -> None:
        """End all partitions."""
        self.network.partitioned_domain = None
        self.network.dropped_pairs.clear()

    def reaches(self, entry_id: str, backend_id: str) -> bool:
        """Return whether no partition lies between a process and a backend server."""
        return not self.network.separates(self.entry_by_id[entry_id].domain, backend_id[0])

    def holders(self) -> dict[str, list[str]]:
        """Return the ids of the backend servers held, by id of the running entry process."""
        return {
            key: entry.held()
            for key, entry in self.entry_by_id.items()
            if not entry.scope.cancel_called
        }


@asynccontextmanager
async def run_cluster(
    *,
    cores: float = ONE_DOMAIN_CORES,
    leader: str = "e1",
    domains: Sequence[tuple[str, str]] = DOMAINS,
    backend_ids: Sequence[str] = ("a1", "a2", "b1", "b2"),
    orders: FakeOrders | None = None,
    control_ids: Sequence[str] = CONTROL_IDS,
) -> AsyncIterator[Cluster]:
    """Run the cluster until all backend servers are held.

    `domains` has the ids of the entry processes with their failure domains; a backend server is
    in the one that its id begins with, a control process in that with which its id ends. Each entry
    process has `cores`. One that can carry all backend servers holds all of them; this is `leader`
    as long as nothing happens.
    """
    backend_by_id = {key: FakeBackend() for key in backend_ids}
    async with anyio.create_task_group() as group:
        network = FakeNetwork(group)
        network.orders = orders
        for backend in backend_by_id.values():
            backend.group = group
        async with AsyncExitStack() as stack:
            timers = await stack.enter_async_context(TimerService())
            relay_by_id = {
                control_id: await stack.enter_async_context(
                    AnnouncementRelay(
                        own_id=control_id,
                        transport=FakeTransport(network, control_id),
                        timers=timers,
                        control_ids=lambda: control_ids,
                    )
                )
                for control_id in control_ids
            }
            for control_id in control_ids if orders is not None else ():
                handlers = network.transport_by_id[control_id].request_handlers_by_type
                handlers[ConfigPoll] = orders.answer
            unannounced: set[str] = set()
            group.start_soon(_announce, relay_by_id, network, backend_by_id, unannounced)
            entries = [
                Entry(
                    key,
                    key_domain,
                    network,
                    backend_by_id,
                    cores,
                    key == leader,
                    sorted({domain for _, domain in domains}),
                    control_ids,
                )
                for key, key_domain in domains
            ]
            for entry in entries:
                await group.start(entry.run)
            await anyio.sleep(3.0)
            entry_by_id = {entry.entry_id: entry for entry in entries}
            yield Cluster(network, entry_by_id, backend_by_id, unannounced, relay_by_id)
            group.cancel_scope.cancel()


async def _announce(
    relay_by_id: dict[str, AnnouncementRelay],
    network: FakeNetwork,
    backend_by_id: dict[str, FakeBackend],
    unannounced: set[str],
) -> None:
    for sequence in range(1, 1000):
        announced = [key for key in backend_by_id if key not in unannounced]
        for backend_id in announced:
            backend = backend_by_id[backend_id]
            domain = backend_id[0]
            reached = [key for key in relay_by_id if not network.separates(domain, key[-1])]
            is_silent = backend_id in unannounced or backend.unreachable or backend.is_down
            if is_silent or not reached:
                await anyio.sleep(ANNOUNCE_S / len(announced))
                continue
            announcement: PoolBackend = make_announcement(backend_id, room=backend.room)
            relay_by_id[reached[0]].announce(
                attrs.evolve(
                    announcement, failure_domain=domain, sequence=sequence, born_ms=backend.born_ms
                )
            )
            await anyio.sleep(ANNOUNCE_S / len(announced))
        if not announced:
            await anyio.sleep(ANNOUNCE_S)
