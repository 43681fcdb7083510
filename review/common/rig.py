"""Starts a small deployment on loopback and records what its callers and workers see.

The programs are the project's own, started with the commands of `deploy/system.toml`. Workers,
callers and the operator are the stand-ins in `worker.py` and in this module; they follow
`PROTOCOL.md`. Only the standard library is used.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Values of the sheets of the small deployments.
RESEND_INTERVAL_S = 1.3
CALLER_DEADLINE_MS = 1500
HEARTBEAT_INTERVAL_S = 1.5
MAX_HOLD_MS = 1000
BOUNDS = {
    "seed_lag_s": 3,
    "address_reuse_s": 2,
    "contact_timeout_ms": 3000,
    "ack_timeout_ms": 4000,
    "catch_up_s": 4,
    "drain_timeout_ms": 2000,
    "grace_period_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "downgrade_slack_ms": 250,
    "max_extension_ms": 5000,
    "recovery_time_s": 12,
    "max_hold_ms": MAX_HOLD_MS,
    "stop_timeout_ms": 50,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "finish_s": 14,
    "lease_duration_ms": 3000,
    "resend_interval_ms": int(RESEND_INTERVAL_S * 1000),
}

# Connections take turns on a limited link after this many bytes.
LINK_CHUNK_BYTES = 4096

EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


class CaseNotRunError(Exception):
    """The case could not be set up, so it shows nothing."""


class Record:
    """Events with the seconds since the start of the case; `write` saves them as text."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._began_at = time.monotonic()
        self.lines: list[str] = []

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._began_at

    def add(self, text: str) -> None:
        """Add an event that happens now."""
        self.lines.append(f"{self.now():9.3f} {text}")

    def write(self) -> None:
        """Write all events to the file."""
        self._path.write_text("\n".join(self.lines) + "\n", encoding="utf-8")


@dataclass
class Reply:
    """Answer to a request of a caller; `status` is 0 without a complete answer."""

    status: int
    body: dict[str, object] = field(default_factory=dict)
    retry_after: str = ""
    failure: str = ""


@dataclass
class Process:
    """One program of the deployment."""

    name: str
    role: str
    address: str
    zone: str
    settings_path: Path
    log_path: Path
    popen: subprocess.Popen[bytes] | None = None


class Deployment:
    """Control and entry processes of a small deployment; use as an async context manager.

    `fronts` and `cores` map a name to its failure domain. `front_cores` is the processor that
    the settings of an entry process name. Ports are the same on all addresses. With `proxied`,
    all connections between that front and the other processes go through relays of this class:
    `inbound` has the connections that the others have opened to it, `outbound` those that it has
    opened. `proxied_mbps` is the bandwidth of the first, 0 for no limit.
    """

    def __init__(
        self,
        record: Record,
        *,
        zones: list[str],
        fronts: dict[str, str],
        cores: dict[str, str],
        front_cores: float = 1.07,
        proxied: str = "",
        proxied_cores: float = 1.29,
        proxied_mbps: float = 0.0,
    ) -> None:
        self.record = record
        self.zones = zones
        self.folder = Path(tempfile.mkdtemp(prefix="apricot-review-"))
        self._cores_by_front = dict.fromkeys(fronts, front_cores)
        if proxied:
            # The largest VM is the first to claim workers.
            self._cores_by_front[proxied] = proxied_cores
        self._run_by_role = _read_run_commands()
        # A subnet of 127.0.0.0/8 of its own, so that two cases can run side by side.
        self.subnet = f"127.{random.randint(10, 250)}"
        self.fronts = {
            name: f"{self.subnet}.{zones.index(zone) + 1}.{10 + index}"
            for index, (name, zone) in enumerate(fronts.items())
        }
        self.cores = {
            name: f"{self.subnet}.{zones.index(zone) + 1}.{100 + index}"
            for index, (name, zone) in enumerate(cores.items())
        }
        addresses = [*self.fronts.values(), *self.cores.values()]
        ports = _free_ports(addresses, 5)
        self.caller_port, self.ready_port, self.control_port, self.peer_port = ports[:4]
        self._proxied, self._proxied_peer_port = proxied, ports[4]
        self._proxied_mbps = proxied_mbps
        self.inbound: Relay | None = None
        self.outbound: list[Relay] = []
        self._zone_by_name = {**fronts, **cores}
        self.process_by_name: dict[str, Process] = {}
        self.started_names: list[str] = []

    async def __aenter__(self) -> Deployment:
        if self._proxied:
            for name, address in {**self.cores, **self.fronts}.items():
                near, far = self._proxied_peer_port, self.peer_port
                mbps = 0.0
                if name == self._proxied:
                    near, far = far, near
                    mbps = self._proxied_mbps
                relay = Relay(address, near, far, mbps=mbps)
                await relay.start()
                if name == self._proxied:
                    self.inbound = relay
                else:
                    self.outbound.append(relay)
        for name in [*self.cores, *self.fronts]:
            self.start(name, bootstrap=True)
        return self

    async def __aexit__(self, *_: object) -> None:
        for process in self.process_by_name.values():
            popen = process.popen
            if popen is None:
                continue
            if popen.poll() is None:
                # A stopped process handles no other signal, but SIGKILL ends it.
                popen.kill()
            popen.wait(timeout=10)
        for relay in [*self.outbound, *([self.inbound] if self.inbound else [])]:
            relay.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    def start(self, name: str, *, bootstrap: bool = False) -> None:
        """Start a process, or start one again that has ended."""
        is_core = name in self.cores
        role = "control" if is_core else "entry"
        address = self.cores[name] if is_core else self.fronts[name]
        settings_path = self.folder / f"{name}.yaml"
        settings = self._settings(name, address, is_core=is_core, bootstrap=bootstrap)
        settings_path.write_text(json.dumps(settings, indent=1), encoding="utf-8")
        process = self.process_by_name.setdefault(
            name,
            Process(
                name,
                role,
                address,
                self._zone_by_name[name],
                settings_path,
                self.folder / f"{name}.log",
            ),
        )
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment["APRICOTPOINT_SETTINGS"] = str(settings_path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with process.log_path.open("ab") as log:
            process.popen = subprocess.Popen(
                self._run_by_role[role].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record.add(f"platform starts {name} ({role})")

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        popen = self.process_by_name[name].popen
        assert popen is not None
        self.record.add(f"platform sends {number.name} to {name}")
        popen.send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process and wait for its end."""
        self.signal(name, signal.SIGKILL)
        popen = self.process_by_name[name].popen
        assert popen is not None
        popen.wait(timeout=10)

    def log(self, name: str) -> str:
        """Return what a process has logged so far."""
        return self.process_by_name[name].log_path.read_text(encoding="utf-8", errors="replace")

    def holder_of(self, zone: str) -> str:
        """Return the front that was the last to claim the workers of a zone, by the logs."""
        claimed = {}
        for name in self.fronts:
            for match in re.finditer(r'"time":"([^"]+)"[^\n]*claimed ' + zone, self.log(name)):
                claimed[match[1]] = name
        if not claimed:
            raise CaseNotRunError(f"no front has claimed {zone}")
        return claimed[max(claimed)]

    def core_addresses(self) -> list[str]:
        """Return the addresses of the control API."""
        return [f"{address}:{self.control_port}" for address in self.cores.values()]

    def caller_address(self, name: str) -> str:
        """Return the address at which a front serves callers."""
        return f"{self.fronts[name]}:{self.caller_port}"

    def _settings(
        self, name: str, address: str, *, is_core: bool, bootstrap: bool
    ) -> dict[str, object]:
        data_folder = self.folder / f"data-{name}"
        listen = (
            {"control_plane": f"{address}:{self.control_port}"}
            if is_core
            else {
                "frontend": f"{address}:{self.caller_port}",
                "ready": f"{address}:{self.ready_port}",
            }
        )
        if is_core:
            data_folder.mkdir(exist_ok=True)
        peer_port = self._proxied_peer_port if name == self._proxied else self.peer_port
        return {
            "node_name": name,
            "role": "control" if is_core else "entry",
            "machine_class": "core" if is_core else "frontend",
            "serves": ["control_plane"] if is_core else ["frontend"],
            "ip_address": address,
            "zone": self._zone_by_name[name],
            "region": "review",
            "zones": dict.fromkeys(self.zones, "review"),
            "listen_addresses": listen,
            "internal_port_range": [peer_port, peer_port + 1],
            "seed_nodes": self.core_addresses()[:3],
            "bootstrap": bootstrap,
            "fault_counted": is_core,
            "limits": {
                "cpu_share": 0.717 if is_core else self._cores_by_front[name],
                "cpu_cores": 3 if is_core else 1,
                "memory_mb": 296,
                "max_file_descriptors": 4096,
                "link_bandwidth_mbps": self._proxied_mbps
                if name == self._proxied and self._proxied_mbps
                else 1000.0,
                "disk_mb": 128 if is_core else 0,
            },
            "data_directory": str(data_folder) if is_core else None,
            "discovery": "registration",
            "entry_point": "virtual_ip",
            "heartbeat_interval_ms": int(HEARTBEAT_INTERVAL_S * 1000),
            "contracts": ["base", "drain", "config", "cost", "recover", "sched"],
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "config_mode": "highest",
            "control_mode": "rpc",
        }


def _read_run_commands() -> dict[str, str]:
    with (ROOT / "deploy" / "system.toml").open("rb") as file:
        roles = tomllib.load(file)["roles"]
    return {name: role["run"] for name, role in roles.items()}


def _free_ports(addresses: list[str], count: int) -> list[int]:
    """Return ports that are free on all addresses."""
    ports: list[int] = []
    while len(ports) < count:
        port = random.randint(20000, 32000)
        if port in ports:
            continue
        try:
            for address in addresses:
                with socket.socket() as probe:
                    probe.bind((address, port))
        except OSError:
            continue
        ports.append(port)
    return ports


class Relay:
    """Forwards connections from one port of an address to another port of it.

    With `mbps` all connections share a link of this bandwidth towards the target.
    """

    def __init__(self, host: str, port: int, target_port: int, *, mbps: float = 0.0) -> None:
        self._host, self._port, self._target_port = host, port, target_port
        self._bytes_per_s = mbps * 1e6 / 8
        self._link_free_at = 0.0
        self._server: asyncio.Server | None = None
        self._pumps: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen for connections."""
        self._server = await asyncio.start_server(self._accept, self._host, self._port)

    def silence(self) -> int:
        """Let all open connections carry nothing any more, without closing them."""
        pumps, self._pumps = self._pumps, set()
        for pump in pumps:
            pump.cancel()
        return len(pumps) // 2

    def close(self) -> None:
        """Close all connections and stop to listen."""
        if self._server is not None:
            self._server.close()
        for pump in self._pumps:
            pump.cancel()
        for writer in self._writers:
            writer.close()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection(self._host, self._target_port)
        except OSError:
            # The process does not listen: its own port would have reset the connection, too.
            writer.transport.abort()
            return
        # Kept here, so that a silent connection stays open.
        self._writers |= {writer, far_writer}
        for source, target in ((reader, far_writer), (far_reader, writer)):
            is_limited = bool(self._bytes_per_s) and target is far_writer
            pump = asyncio.create_task(self._pump(source, target, is_limited=is_limited))
            self._pumps.add(pump)
            pump.add_done_callback(self._pumps.discard)

    async def _pump(
        self, source: asyncio.StreamReader, target: asyncio.StreamWriter, *, is_limited: bool
    ) -> None:
        try:
            while data := await source.read(LINK_CHUNK_BYTES if is_limited else 65536):
                if is_limited:
                    now = time.monotonic()
                    self._link_free_at = (
                        max(self._link_free_at, now) + len(data) / self._bytes_per_s
                    )
                    await asyncio.sleep(self._link_free_at - now)
                target.write(data)
                await target.drain()
        except OSError:
            target.transport.abort()
            return
        target.close()


async def call(
    address: str,
    method: str,
    path: str,
    body: object = None,
    *,
    headers: dict[str, str] | None = None,
    timeout_s: float,
) -> Reply:
    """Send one request on a new connection, and close it after the answer or the time-out."""
    host, _, port = address.rpartition(":")
    content = b"" if body is None else json.dumps(body).encode()
    lines = {
        "Host": address,
        "Content-Type": "application/json",
        "Content-Length": str(len(content)),
        "Connection": "close",
        **(headers or {}),
    }
    head = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{k}: {v}\r\n" for k, v in lines.items())
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(head.encode() + b"\r\n" + content)
            await writer.drain()
            status, response_headers, content = await read_message(reader)
    except TimeoutError:
        return Reply(0, failure="no answer before the deadline")
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        return Reply(0, failure=f"broken connection ({type(error).__name__})")
    finally:
        if writer is not None:
            writer.close()
    with contextlib.suppress(ValueError):
        parsed = json.loads(content)
        if isinstance(parsed, dict):
            retry_after = response_headers.get("retry-after", "")
            return Reply(int(status.split()[1]), parsed, retry_after)
    return Reply(int(status.split()[1]))


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Return the first line, headers and body of an HTTP/1.1 message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        chunks = []
        while size := int((await reader.readline()).split(b";")[0], 16):
            chunks.append(await reader.readexactly(size))
            await reader.readline()
        await reader.readline()
        return first, headers, b"".join(chunks)
    return first, headers, await reader.readexactly(int(headers.get("content-length", "0")))


class Operator:
    """Sends configurations to the control processes, as the operator of the platform does."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment

    async def replace(self, configuration: dict[str, object], *, timeout_s: float = 30.0) -> None:
        """Send a configuration to one node after the other until one acknowledges it."""
        record, give_up_at = self._deployment.record, time.monotonic() + timeout_s
        record.add(f"operator sends configuration version {configuration['version']}")
        while time.monotonic() < give_up_at:
            for address in self._deployment.core_addresses():
                reply = await call(address, "POST", "/config/replace", configuration, timeout_s=1.0)
                if reply.status == 200:
                    record.add(
                        f"operator: configuration version {configuration['version']} acknowledged"
                    )
                    return
                if reply.status in (400, 409, 412, 413, 422):
                    raise CaseNotRunError(
                        f"configuration refused with {reply.status}: {reply.body}"
                    )
            await asyncio.sleep(0.2)
        raise CaseNotRunError("the configuration was not acknowledged")


def make_configuration(version: int, routes: list[dict[str, object]]) -> dict[str, object]:
    """Return a configuration with one service for these routes."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": "desk",
                "health_path": "/health",
                "max_connections": 64,
                "protocol": "h1",
                "tls": False,
                "constraints": True,
                "standby": False,
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


def make_route(
    name: str, prefix: str, *, timeout_ms: int = 1500, stretch: float = 1.6
) -> dict[str, object]:
    """Return a route of the service `desk`."""
    return {
        "name": name,
        "host": "desk.example",
        "path_prefix": prefix,
        "kind": "non_idempotent",
        "timeout_ms": timeout_ms,
        "target_latency_ms": 60,
        "priority": 1,
        "service": "desk",
        "max_attempts": 2,
        "stretch_factor": stretch,
    }


def make_job(*, count: int, run_ms: int, estimate_ms: int, cpu: int = 14000) -> dict[str, object]:
    """Return a job whose tasks run for `run_ms` on a worker of speed 1."""
    return {
        "spec": f"run_ms={run_ms}",
        "best_effort": True,
        "phases": [
            {
                "count": count,
                "cpu": cpu,
                "requested_memory_mb": 64,
                "estimated_duration_ms": estimate_ms,
            }
        ],
    }


def new_job_id() -> str:
    """Return a job id as callers choose them."""
    return f"{random.getrandbits(64):016x}"


class Caller:
    """Submits jobs as the callers of the platform do."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment

    async def submit(
        self,
        front: str,
        prefix: str,
        job_id: str,
        job: dict[str, object],
        *,
        attempt: int = 1,
        deadline_ms: int = CALLER_DEADLINE_MS,
    ) -> Reply:
        """Send one attempt; without an answer the connection is closed after the deadline."""
        record = self._deployment.record
        record.add(f"caller sends job {job_id} attempt {attempt} to {front}")
        reply = await call(
            self._deployment.caller_address(front),
            "POST",
            prefix + job_id,
            job,
            headers={"Host": "desk.example", "Apricotpoint-Deadline-Ms": str(deadline_ms)},
            timeout_s=deadline_ms / 1000,
        )
        what = f"{reply.status} {reply.body}" if reply.status else reply.failure
        record.add(f"caller: job {job_id} attempt {attempt} at {front}: {what}")
        return reply

    async def submit_until_answered(
        self,
        fronts: list[str],
        prefix: str,
        job_id: str,
        job: dict[str, object],
        *,
        deadline_ms: int = CALLER_DEADLINE_MS,
    ) -> Reply:
        """Send a job; after no answer, a broken connection, 502 or 504 send it to the next front.

        That is what the pages say of jobs that need not be stored.
        """
        reply = Reply(0)
        for attempt, front in enumerate(fronts, 1):
            if attempt > 1:
                await asyncio.sleep(RESEND_INTERVAL_S)
            reply = await self.submit(
                front, prefix, job_id, job, attempt=attempt, deadline_ms=deadline_ms
            )
            if reply.status not in (0, 502, 504):
                return reply
        return reply

    async def wait_until_served(self, prefix: str, *, timeout_s: float = 25.0) -> None:
        """Send small jobs to each front until each has answered one with 200."""
        give_up_at = time.monotonic() + timeout_s
        for front in self._deployment.fronts:
            while True:
                job = make_job(count=1, run_ms=20, estimate_ms=20)
                reply = await self.submit(front, prefix, new_job_id(), job)
                if reply.status == 200:
                    break
                if time.monotonic() > give_up_at:
                    raise CaseNotRunError(f"{front} does not serve callers: {reply}")
                await asyncio.sleep(0.3)


def run_case(case, folder: Path, *, limit_s: float = 115.0) -> int:  # noqa: ANN001
    """Run the coroutine function `case` with a record in `folder`; return the exit status.

    `case` returns the text of each broken rule.
    """
    record = Record(folder / "record.txt")
    record.add(f"TROUBLE={int(TROUBLE)}")

    async def limited() -> list[str]:
        async with asyncio.timeout(limit_s):
            return await case(record)

    try:
        broken = asyncio.run(limited())
    except (CaseNotRunError, TimeoutError, OSError) as error:
        record.add(f"the case could not run: {type(error).__name__}: {error}")
        record.write()
        print(record.lines[-1])
        return EXIT_NOT_RUN
    for text in broken:
        record.add(f"BROKEN {text}")
        print(f"BROKEN {text}")
    if not broken:
        record.add("the rule held")
        print("the rule held")
    record.write()
    return EXIT_BROKEN if broken else EXIT_HELD


def exit_with(status: int) -> None:
    """End the program with an exit status."""
    sys.stdout.flush()
    sys.exit(status)
