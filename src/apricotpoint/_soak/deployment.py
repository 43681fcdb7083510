"""The deployment of a soak: processes, links, backend servers, callers and operators."""

from __future__ import annotations

import random as random_module
import socket
import sys
from collections.abc import Iterator
from contextlib import AsyncExitStack, contextmanager
from pathlib import Path

import anyio

from apricotpoint._core.codes import ResultCode
from apricotpoint._core.errors import ApricotError
from apricotpoint._soak.callers import KINDS, Caller, LoadBalancer
from apricotpoint._soak.evacuations import Evacuations
from apricotpoint._soak.fleet import Fleet
from apricotpoint._soak.generation import names_by_domain
from apricotpoint._soak.operators import Operators
from apricotpoint._soak.processes import Processes
from apricotpoint._soak.relays import Links
from apricotpoint._soak.settings import SoakSettings
from apricotpoint._soak.sightings import Sightings
from apricotpoint._soak.words import Member, Ports, Words

FIRST_SUBNET, LAST_SUBNET = 10, 250
FIRST_PORT, LAST_PORT = 20_000, 32_000
FIRST_ENTRY, FIRST_CONTROL, BACKEND_NETWORK = 1, 200, 100
PORT_DRAWS = 20


class Deployment:
    """Owns and connects all parts; use as an async context manager, which starts and ends them.

    With `relayed`, all links between processes go through relays of this process. Raises
    `ApricotError` with code 5001 if a port is in use or the programs do not serve.
    """

    def __init__(
        self, settings: SoakSettings, words: Words, *, build_folder: Path, seed: int, relayed: bool
    ) -> None:
        self.settings, self._words = settings, words
        self._relayed = relayed
        self._random = random_module.Random(seed)
        self._domains = settings.failure_domains
        # Not seeded, so that runs side by side use different networks.
        subnet = settings.subnet or random_module.SystemRandom().randint(FIRST_SUBNET, LAST_SUBNET)
        self._network = f"127.{subnet}"
        self._entry_domains = names_by_domain(settings, "entry", settings.entries)
        self._control_domains = names_by_domain(settings, "control", settings.controls)
        self._data_folder = Path(settings.report_folder).absolute() / "data"
        self._next_peer = 0
        self._control_hosts = 0
        first_members = [
            *(self._entry_address(n, d) for n, d in self._entry_domains.items()),
            *(self._control_address(d) for d in self._control_domains.values()),
        ]
        self._control_hosts = 0
        self._ports = _choose_ports(settings.first_port, first_members)
        self._address_by_control: dict[str, str] = {}
        self.sightings = Sightings()
        self.links = Links()
        self.processes = Processes(
            words,
            self._ports,
            self.sightings,
            folder=Path(settings.report_folder),
            build_folder=build_folder,
            seeds=lambda: list(self._address_by_control.values()),
        )
        self.operators = Operators(
            words,
            self.sightings,
            control_addresses=self.control_addresses,
            random=self._spawn_random(),
        )
        self.evacuations = Evacuations(
            words,
            self.sightings,
            domains=settings.failure_domains,
            control_addresses=self.control_addresses,
            on_acknowledged=self.operators.signal_acknowledgement,
            # Not spawned, so that the other parts draw the same numbers without evacuations.
            random=random_module.Random(f"{seed} evacuations"),
        )
        slots = names_by_domain(settings, "backend", settings.backends)
        self.fleet = Fleet(
            words,
            self.sightings,
            host_by_slot={slot: self._backend_host(slot, slots[slot]) for slot in slots},
            domain_by_slot=slots,
            control_addresses=lambda: list(self.control_addresses().values()),
            random=self._spawn_random(),
        )
        entries = {name: self._entry_address(name, d) for name, d in self._entry_domains.items()}
        self._caller_addresses = {n: f"{a}:{self._ports.caller}" for n, a in entries.items()}
        self._load_balancer = LoadBalancer(
            words, {n: f"{a}:{self._ports.readiness}" for n, a in entries.items()}
        )
        self._caller_kinds = 0
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> Deployment:
        await self._stack.__aenter__()
        try:
            for owner in (self.processes, self.links, self.operators, self.evacuations, self.fleet):
                await self._stack.enter_async_context(owner)
            self._group = await self._stack.enter_async_context(anyio.create_task_group())
            self._stack.callback(self._group.cancel_scope.cancel)
            await self._start_processes()
            self._group.start_soon(self.processes.watch)
            self._group.start_soon(self._load_balancer.run)
        except BaseException:
            await self._stack.__aexit__(*sys.exc_info())
            raise
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self._stack.__aexit__(*exc_info)  # type: ignore[arg-type]

    def control_addresses(self) -> dict[str, str]:
        """Return "host:port" of all control processes that were not removed, by id."""
        port = self._ports.control
        return {name: f"{address}:{port}" for name, address in self._address_by_control.items()}

    async def add_control(self, process_id: str, domain: str, *, counted: bool = True) -> None:
        """Start a control process at a new address with an empty disk."""
        await self._add_member(process_id, domain, is_control=True, counted=counted)
        # Another fault may have removed it while its relays were started.
        if process_id in self.processes.ids():
            self.processes.start(process_id)

    def remove_control(self, process_id: str) -> None:
        """Forget a control process that has ended for good."""
        self._address_by_control.pop(process_id, None)
        self.processes.remove(process_id)

    def make_caller(self) -> Caller:
        """Return a caller of the next kind."""
        self._caller_kinds += 1
        return Caller(
            KINDS[self._caller_kinds % len(KINDS)],
            self._words,
            self.sightings,
            addresses=self._caller_addresses,
            in_rotation=self._load_balancer.in_rotation,
            random=self._spawn_random(),
        )

    @contextmanager
    def disturbed_links(self, process_ids: list[str]) -> Iterator[None]:
        """Note that the links of some processes are disturbed."""
        noted = [self.sightings.disturb(process_id, "links") for process_id in process_ids]
        try:
            yield
        finally:
            for disturbance in noted:
                disturbance.until = self.sightings.now()

    def unserved_entries(self, since: float) -> set[str]:
        """Return the entry processes that answered no request with 200 that was sent later."""
        served = {
            attempt.entry_id
            for attempt in self.sightings.attempts
            if attempt.status == 200 and attempt.sent_at >= since
        }
        return set(self._caller_addresses) - served

    async def wait_until_served(self, since: float, timeout_s: float) -> set[str]:
        """Wait until all entry processes have served a request; return those that have not."""
        with anyio.move_on_after(timeout_s):
            while self.unserved_entries(since):  # noqa: ASYNC110 - callers answer to no one event
                await anyio.sleep(0.1)
        return self.unserved_entries(since)

    async def _start_processes(self) -> None:
        for name, domain in self._control_domains.items():
            await self._add_member(name, domain, is_control=True)
        for name, domain in self._entry_domains.items():
            await self._add_member(name, domain, is_control=False)
        for process_id in self.processes.ids():
            self.processes.start(process_id, first=True)

    async def _add_member(
        self, process_id: str, domain: str, *, is_control: bool, counted: bool = True
    ) -> None:
        address = (
            self._control_address(domain) if is_control else self._entry_address(process_id, domain)
        )
        peer_port = self._ports.first_peer + (self._next_peer if self._relayed else 0)
        self._next_peer += 1
        folder = self._data_folder / process_id
        member = Member(
            process_id, is_control, domain, address, peer_port, str(folder), counted=counted
        )
        others = [self.processes.member(other) for other in self.processes.ids()]
        self.processes.add(member)
        if is_control:
            self._address_by_control[process_id] = address
        if self._relayed:
            for other in others:
                await self._relay(member, other)
                await self._relay(other, member)

    async def _relay(self, opener: Member, acceptor: Member) -> None:
        await self.links.add(
            opener.process_id,
            acceptor.process_id,
            host=acceptor.address,
            port=opener.peer_port,
            target_port=acceptor.peer_port,
        )

    def _entry_address(self, name: str, domain: str) -> str:
        index = int(name.rpartition("-")[2])
        return f"{self._network}.{self._domains.index(domain) + 1}.{FIRST_ENTRY + index}"

    def _control_address(self, domain: str) -> str:
        self._control_hosts += 1
        host = FIRST_CONTROL + self._control_hosts
        return f"{self._network}.{self._domains.index(domain) + 1}.{host}"

    def _backend_host(self, slot: str, domain: str) -> str:
        index = int(slot.rpartition("-")[2]) % 250
        return f"{self._network}.{BACKEND_NETWORK + self._domains.index(domain)}.{index + 1}"

    def _spawn_random(self) -> random_module.Random:
        return random_module.Random(self._random.getrandbits(64))


def _choose_ports(first_port: int, addresses: list[str]) -> Ports:
    """Return ports that are free on all addresses; raises `ApricotError` if they are in use."""
    generator = random_module.SystemRandom()
    draws = [first_port] if first_port else []
    draws += [] if first_port else generator.sample(range(FIRST_PORT, LAST_PORT), PORT_DRAWS)
    error: OSError | None = None
    for first in draws:
        try:
            for address in addresses:
                for port in range(first, first + 4):
                    with socket.socket() as probe:
                        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        probe.bind((address, port))
        except OSError as failure:
            error = failure
            continue
        return Ports(first, first + 1, first + 2, first + 3)
    raise ApricotError(
        ResultCode.INVALID_SETTINGS,
        f"first_port: ports from {draws[-1]} are in use on a loopback address: {error}",
        remedy="end the other process, or set first_port or subnet to another value",
    )
