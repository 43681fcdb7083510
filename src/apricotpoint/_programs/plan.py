"""Settings of all processes of a described deployment on one machine."""

from __future__ import annotations

import json
import secrets
from collections.abc import Callable
from pathlib import Path
from typing import Any

import attrs

from apricotpoint._backend.settings import BackendSettings
from apricotpoint._settings.control import ControlSettings
from apricotpoint._settings.deployment import DeploymentSettings
from apricotpoint._settings.entry import EntrySettings

LOOPBACK = "127.0.0.1"
OPERATOR = "operator"


@attrs.frozen
class Plan:
    """Settings of every process of a deployment, and its secrets file."""

    deployment: DeploymentSettings
    folder: Path
    secrets_path: Path
    controls: list[ControlSettings]
    entries: list[EntrySettings]
    backends: list[BackendSettings]


def make_plan(
    deployment: DeploymentSettings, *, folder: Path, next_port: Callable[[], int]
) -> Plan:
    """Return the settings of all processes; `next_port` gives each listener its port.

    Data, dumps and the secrets file are placed below `folder`.
    """
    secrets_path = folder / "secrets.jsonc"

    def address() -> str:
        return f"{LOOPBACK}:{next_port()}"

    domains = deployment.failure_domains
    control_by_id = {f"control-{domain}": address() for domain in domains}
    control_by_domain = {domain: f"control-{domain}" for domain in domains}
    peer_by_id = {
        f"{domain}-{index + 1}": address()
        for domain in domains
        for index in range(len(deployment.entry_weights))
    }
    controls = [
        ControlSettings(
            control_id=control_by_domain[domain],
            failure_domain=domain,
            members=list(control_by_id),
            operator_bind=address(),
            peer_bind=control_by_id[control_by_domain[domain]],
            peer_by_id=_without(control_by_id, control_by_domain[domain]) | peer_by_id,
            secrets_file=str(secrets_path),
            data_folder=str(folder / "data" / control_by_domain[domain]),
            dump_folder=str(folder / "dumps"),
        )
        for domain in domains
    ]
    entries = [
        EntrySettings(
            entry_id=f"{domain}-{index + 1}",
            failure_domain=domain,
            failure_domains=domains,
            caller_bind=address(),
            operator_bind=address(),
            announce_bind=address(),
            peer_bind=peer_by_id[f"{domain}-{index + 1}"],
            peer_by_id=_without(peer_by_id, f"{domain}-{index + 1}"),
            control_by_id=control_by_id,
            control_by_domain=control_by_domain,
            secrets_file=str(secrets_path),
            weight=weight,
            dump_folder=str(folder / "dumps"),
        )
        for domain in domains
        for index, weight in enumerate(deployment.entry_weights)
    ]
    return Plan(
        deployment=deployment,
        folder=folder,
        secrets_path=secrets_path,
        controls=controls,
        entries=entries,
        backends=_backends(deployment, entries, str(secrets_path), address),
    )


def write_secrets(plan: Plan) -> None:
    """Write a secrets file with new random values that only its owner can read."""
    plan.folder.mkdir(parents=True, exist_ok=True)
    values = {
        "teams": {team: [secrets.token_urlsafe(24)] for team in plan.deployment.teams},
        "operators": {OPERATOR: [secrets.token_urlsafe(24)]},
        "internal": [secrets.token_urlsafe(24)],
    }
    plan.secrets_path.touch(mode=0o600)
    plan.secrets_path.chmod(0o600)
    plan.secrets_path.write_text(json.dumps(values, indent=2), encoding="utf-8")


def write_settings(plan: Plan) -> list[Path]:
    """Write one settings file for each process below the folder and return their paths."""
    plan.folder.mkdir(parents=True, exist_ok=True)
    named: list[tuple[str, Any]] = [
        *((settings.control_id, settings) for settings in plan.controls),
        *((settings.entry_id, settings) for settings in plan.entries),
        *((settings.backend_id, settings) for settings in plan.backends),
    ]
    paths = []
    for name, settings in named:
        path = plan.folder / f"{name}.jsonc"
        text = json.dumps(attrs.asdict(settings, value_serializer=_plain), indent=2)
        path.write_text(f"// Settings of {name}.\n{text}\n", encoding="utf-8")
        paths.append(path)
    return paths


def _backends(
    deployment: DeploymentSettings,
    entries: list[EntrySettings],
    secrets_file: str,
    address: Callable[[], str],
) -> list[BackendSettings]:
    size = deployment.workers
    domains = deployment.failure_domains
    backends = []
    for index, speed in enumerate(size.speeds()):
        rack = index // size.per_rack
        domain = domains[rack % len(domains)]
        backends.append(
            BackendSettings(
                backend_id=f"w-{index + 1:02}",
                service=deployment.service,
                secrets_file=secrets_file,
                failure_domain=domain,
                rack=f"rack-{rack + 1}",
                bind=address(),
                announce_to=[
                    f"http://{entry.announce_bind}"
                    for entry in entries
                    if entry.failure_domain == domain
                ],
                slots=size.slots,
                connections=size.connections,
                cores=size.cores,
                memory_mb=size.memory_mb,
                speed=round(speed, 4),
            )
        )
    return backends


def _without(address_by_id: dict[str, str], process_id: str) -> dict[str, str]:
    return {key: value for key, value in address_by_id.items() if key != process_id}


def _plain(_: object, __: object, value: Any) -> Any:
    return value.value if hasattr(value, "value") else value
