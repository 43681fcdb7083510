"""Settings of all processes of a deployment on one machine."""

from __future__ import annotations

import json
import secrets
from collections.abc import Callable
from pathlib import Path
from typing import Any

import attrs

from apricotpoint._backend.settings import BackendSettings
from apricotpoint._core.secrets import load_tokens
from apricotpoint._load.settings import LoadSettings
from apricotpoint._operator.client import ClientSettings
from apricotpoint._programs.bootstrap import initial_commands
from apricotpoint._settings.control import ControlSettings
from apricotpoint._settings.deployment import DeploymentSettings
from apricotpoint._settings.entry import EntrySettings

DRAIN_GRACE_S = 6.0
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
    deployment: DeploymentSettings,
    *,
    folder: Path,
    next_port: Callable[[], int],
    drain_grace_s: float = DRAIN_GRACE_S,
) -> Plan:
    """Return the settings of all processes; `next_port` returns the port of each listener.

    The settings place data, dumps and the secrets file below `folder`; nothing is
    written.
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
            drain_grace_s=drain_grace_s,
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
    _write_private(plan.secrets_path, json.dumps(values, indent=2))


def write_settings(plan: Plan) -> list[Path]:
    """Write the settings files, the operator token and the start commands to the folder.

    The secrets file of the plan must exist. Returns the paths of the written files.
    """
    plan.folder.mkdir(parents=True, exist_ok=True)
    folder = plan.folder
    token_path = folder / "operator-token"
    _write_private(token_path, load_tokens(plan.secrets_path).operator(OPERATOR))
    operator_addresses = [entry.operator_bind for entry in plan.entries]
    load_settings = LoadSettings(
        caller_addresses=[entry.caller_bind for entry in plan.entries],
        secrets_file=str(plan.secrets_path),
        team=plan.deployment.teams[0],
        deployment_file=str(folder / "deployment.jsonc"),
        report_folder=str(folder / "report"),
        operator=OPERATOR,
        operator_addresses=operator_addresses,
        backend_addresses=[backend.bind for backend in plan.backends],
    )
    ctl_settings = ClientSettings(addresses=operator_addresses, token_file=token_path)
    named_settings: list[tuple[str, Any]] = [
        *((settings.control_id, settings) for settings in plan.controls),
        *((settings.entry_id, settings) for settings in plan.entries),
        *((settings.backend_id, settings) for settings in plan.backends),
        ("deployment", plan.deployment),
        ("load", load_settings),
        ("apricotctl", ctl_settings),
    ]
    paths = []
    for name, settings in named_settings:
        path = folder / f"{name}.jsonc"
        text = json.dumps(attrs.asdict(settings, value_serializer=_to_json_value), indent=2)
        path.write_text(f"// Settings of {name}.\n{text}\n", encoding="utf-8")
        paths.append(path)
    commands_path = folder / "commands.txt"
    commands_path.write_text("\n".join(commands(plan)) + "\n", encoding="utf-8")
    return [*paths, token_path, commands_path]


def commands(plan: Plan) -> list[str]:
    """Return the shell commands that start all processes, configure them and run a load.

    Each `run` command stays in the foreground and needs its own shell or service unit.
    """
    folder = plan.folder
    controls = [folder / f"{settings.control_id}.jsonc" for settings in plan.controls]
    ctl = f"--settings {folder / 'apricotctl.jsonc'}"
    return [
        *(f"apricot-control init {path} --first" for path in controls),
        *(f"apricot-control run {path}" for path in controls),
        *(f"apricot-entry run {folder / entry.entry_id}.jsonc" for entry in plan.entries),
        *(f"apricot-backend run {folder / item.backend_id}.jsonc" for item in plan.backends),
        *(f"apricotctl {command} {ctl}" for command in initial_commands(plan.deployment)),
        f"apricot-load run {folder / 'load.jsonc'}",
    ]


def _write_private(path: Path, text: str) -> None:
    path.touch(mode=0o600)
    path.chmod(0o600)
    path.write_text(text, encoding="utf-8")


def _backends(
    deployment: DeploymentSettings,
    entries: list[EntrySettings],
    secrets_file: str,
    address: Callable[[], str],
) -> list[BackendSettings]:
    workers = deployment.workers
    domains = deployment.failure_domains
    backends = []
    for index, speed in enumerate(workers.speeds()):
        rack = index // workers.per_rack
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
                slots=workers.slots,
                connections=workers.connections,
                cores=workers.cores,
                memory_mb=workers.memory_mb,
                speed=round(speed, 4),
            )
        )
    return backends


def _without(address_by_id: dict[str, str], process_id: str) -> dict[str, str]:
    return {key: value for key, value in address_by_id.items() if key != process_id}


def _to_json_value(_: object, __: object, value: Any) -> Any:
    if isinstance(value, Path):
        return str(value)
    return value.value if hasattr(value, "value") else value
