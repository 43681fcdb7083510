"""Settings files and bodies of the users' pages for the fault soak."""

from __future__ import annotations

import json
import sys
from typing import Any

from apricotpoint._soak.backends import Backend
from apricotpoint._soak.settings import SoakSettings
from apricotpoint._soak.words import JobShape, Limits, Member, Ports, Words
from apricotpoint.platform.callers import DEADLINE_HEADER
from apricotpoint.platform.settings import SETTINGS_PATH_VARIABLE
from apricotpoint.platform.soakorders import DEFAULT_CPU, respond

SERVICE, HOST, PREFIX, REGION = "desk", "desk.example", "/check/", "soak"
ROUTE_TIMEOUT_MS = 1500
HEARTBEAT_MS = 1500
# Processor and memory as in the sheets of small deployments.
CORES, MEMORY_MB, DESCRIPTORS, LINK_MBPS, DISK_MB = 1.2, 296, 4096, 1000.0, 128
CONTRACTS = ["base", "drain", "config", "cost", "recover", "sched"]
# Bounds of the grown deployments, which the machine that plays a soak can keep.
BOUNDS: dict[str, Any] = {
    "seed_lag_s": 3,
    "address_reuse_s": 2,
    "contact_timeout_ms": 4000,
    "ack_timeout_ms": 5000,
    "catch_up_s": 6,
    "drain_timeout_ms": 2500,
    "grace_period_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 2500,
    "downgrade_slack_ms": 250,
    "max_extension_ms": 6000,
    "recovery_time_s": 15,
    "max_hold_ms": 1000,
    "stop_timeout_ms": 50,
    "cancel_ms": 4000,
    "visible_ms": 3000,
    "finish_s": 14,
    "lease_duration_ms": 3000,
    "resend_interval_ms": 1300,
    "evacuation_timeout_ms": 5000,
}
LIMITS = Limits(
    apply_s=BOUNDS["config_apply_ms"] / 1000,
    contact_s=BOUNDS["contact_timeout_ms"] / 1000,
    recovery_s=BOUNDS["recovery_time_s"],
    catch_up_s=BOUNDS["catch_up_s"],
    grace_s=BOUNDS["grace_period_s"],
    break_slack_s=BOUNDS["loss_slack_ms"] / 1000,
    resend_s=BOUNDS["resend_interval_ms"] / 1000,
    heartbeat_s=HEARTBEAT_MS / 1000,
    max_lease_s=BOUNDS["max_hold_ms"] / 1000,
    drain_s=BOUNDS["drain_timeout_ms"] / 1000,
    evacuation_s=BOUNDS["evacuation_timeout_ms"] / 1000,
    memory_mb=MEMORY_MB,
    descriptors=DESCRIPTORS,
)


def make_words(settings: SoakSettings) -> Words:
    """Return the words for the deployment of a soak."""

    def settings_file(
        member: Member, ports: Ports, controls: list[str], first: bool
    ) -> dict[str, Any]:
        control = member.is_control
        address = member.address
        listen = (
            {"control_plane": f"{address}:{ports.control}"}
            if control
            else {"frontend": f"{address}:{ports.caller}", "ready": f"{address}:{ports.readiness}"}
        )
        return {
            "node_name": member.process_id,
            "role": "control" if control else "entry",
            "machine_class": "core" if control else "frontend",
            "serves": ["control_plane"] if control else ["frontend"],
            "ip_address": address,
            "zone": member.failure_domain,
            "region": REGION,
            "zones": dict.fromkeys(settings.failure_domains, REGION),
            "listen_addresses": listen,
            "internal_port_range": [member.peer_port, member.peer_port + 1],
            "seed_nodes": [f"{control}:{ports.control}" for control in controls[:3]],
            "bootstrap": first,
            "fault_counted": control and member.counted,
            "limits": {
                "cpu_share": CORES,
                "cpu_cores": 1,
                "memory_mb": MEMORY_MB,
                "max_file_descriptors": DESCRIPTORS,
                "link_bandwidth_mbps": LINK_MBPS,
                "disk_mb": DISK_MB if control else 0,
            },
            "data_directory": member.data_folder if control else None,
            "discovery": "registration",
            "entry_point": "virtual_ip",
            "heartbeat_interval_ms": HEARTBEAT_MS,
            "contracts": CONTRACTS + ["places"] * settings.with_evacuations,
            "fault_tolerance": {
                "machines": settings.tolerated_processes,
                "zones": settings.tolerated_domains,
                "regions": 0,
            },
            "bounds": BOUNDS,
            "config_mode": "highest",
            "control_mode": "rpc",
        }

    return Words(
        limits=LIMITS,
        caller_host=HOST,
        job_path=lambda job_id: PREFIX + job_id,
        readiness_path="/readiness",
        change_path="/config/replace",
        read_path="/config/read",
        evacuation_path=lambda domain, begin: (
            f"/evacuation/{domain}/{'begin' if begin else 'finish'}"
        ),
        settings=settings_file,
        settings_variable=SETTINGS_PATH_VARIABLE,
        command=lambda member: [
            sys.executable,
            "-m",
            "apricotpoint.platform.start",
            "controller" if member.is_control else "entry",
        ],
        job=_job,
        job_headers=lambda deadline_s: {
            "host": HOST,
            DEADLINE_HEADER: str(int(deadline_s * 1000)),
        },
        document=_document,
        announcement=_announcement,
        odd_announcements=_odd_announcements,
        farewell_path=lambda backend: f"/instances/{backend.backend_id}/deregister",
        respond=respond,
    )


def _job(shape: JobShape) -> dict[str, Any]:
    return {
        "spec": f"run_ms={shape.run_ms} deadly={int(shape.deadly)}",
        "best_effort": True,
        "phases": [
            {
                "count": shape.count,
                "cpu": DEFAULT_CPU,
                "requested_memory_mb": 64,
                "estimated_duration_ms": shape.run_ms,
            }
        ],
    }


def _document(version: int, routes: int) -> dict[str, Any]:
    return {
        "version": version,
        "routes": [
            _route("check", PREFIX),
            # The time-out shows which of two documents with one version is in force.
            *(_route(f"extra-{version}-{index}", f"/x{index}/") for index in range(routes)),
        ],
        "services": [
            {
                "name": SERVICE,
                "health_path": "/health",
                "max_connections": 64,
                "protocol": "h1",
                "tls": False,
                "constraints": True,
                "standby": False,
            }
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 262_144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15_000,
        },
    }


def _route(name: str, prefix: str) -> dict[str, Any]:
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "kind": "non_idempotent",
        "timeout_ms": ROUTE_TIMEOUT_MS,
        "target_latency_ms": 60,
        "priority": 1,
        "service": SERVICE,
        "max_attempts": 2,
        "stretch_factor": 1.6,
    }


def _odd_announcements(backend: Backend) -> list[tuple[str, bytes]]:
    """Return announcements that name no backend server to use, or hide a sound one."""
    path, sound = _announcement(backend)
    other_path = path.replace(backend.backend_id, "odd-1")
    elsewhere = {"address": "127.0.0.1:9"}
    own_changes = [elsewhere | {"born": 10**15}, elsewhere | {"sequence": 10**15}]
    other_changes: list[dict[str, Any]] = [
        {"address": "127.0.0.1:99999"},
        {"address": "fe80::1%a\0b:80"},
        {"zone": "a#b"},
        {"zone": ""},
        {"state": "odd"},
        {"service": None},
        {"labels": "a"},
        {"capacity": {}},
        {"sequence": -1},
    ]
    odd = [(path, sound | change) for change in own_changes]
    odd += [(other_path, sound | change) for change in other_changes]
    return [
        *((target, json.dumps(body).encode()) for target, body in odd),
        (other_path, b"[" * 100_000),
        (other_path, b"\xff"),
    ]


def _announcement(backend: Backend) -> tuple[str, dict[str, Any]]:
    return f"/instances/{backend.backend_id}/heartbeat", {
        "service": SERVICE,
        "address": backend.address,
        "zone": backend.failure_domain,
        "version": "v1",
        "slots": 8,
        "state": "draining" if backend.leaving else "ready",
        "cold_remaining_ms": 0,
        "capacity": {"cpu": backend.cpu, "requested_memory_mb": backend.memory_mb, "gpu": 0},
        "labels": ["a", f"r-{backend.failure_domain}"],
        "clock_ms": backend.clock_ms(),
        "born": backend.born_ms,
        "sequence": backend.next_sequence(),
    }
