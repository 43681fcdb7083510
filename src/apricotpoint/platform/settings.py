"""Reads the settings file that the platform writes for each process."""

from __future__ import annotations

import math
import os
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import attrs
import yaml

from apricotpoint._core.codes import ResultCode
from apricotpoint._core.errors import ApricotError

SETTINGS_PATH_VARIABLE = "APRICOTPOINT_SETTINGS"
# Far above the penalties of the deployments (1.5 and 3); keeps predicted times finite.
MAX_REMOTE_PENALTY = 100.0


@attrs.frozen
class PlatformSettings:
    """Settings of one process.

    `address` is the IP address, which is also the id of the process among its
    peers, because the platform names seeds by address only. `cores` is the processor
    of the VM, in cores of the usual speed. `seeds` are the ids
    of control processes. `first_start` is True only when the whole deployment
    starts for the first time. `tolerated_vms` or `tolerated_domains` may be lost at the same
    time; VMs that do not count, for which `may_vote` is False, may be lost beside them.
    The `_bind` addresses are "host:port". With `has_places` operators may evacuate failure
    domains; nothing starts there later than `evacuation_timeout_s` after the acknowledgement.
    A task takes `remote_penalty` times as long elsewhere
    than near its data.
    """

    name: str
    address: str
    failure_domain: str
    failure_domains: list[str]
    cores: float
    peer_port: int
    seeds: list[str]
    first_start: bool
    may_vote: bool
    tolerated_vms: int
    tolerated_domains: int
    data_folder: Path | None
    caller_bind: str
    readiness_bind: str
    control_bind: str
    drain_s: float
    grace_s: float
    has_places: bool
    evacuation_timeout_s: float
    remote_penalty: float = 1.0

    def peer_address(self, peer_id: str) -> str:
        """Return the "host:port" at which a peer listens; the port is the same on all VMs."""
        return f"{peer_id}:{self.peer_port}"


def settings_path() -> Path:
    """Return the path of the settings file from the environment.

    Raises `ApricotError` with code 5001 if the variable is not set.
    """
    path = os.environ.get(SETTINGS_PATH_VARIABLE)
    if not path:
        raise ApricotError(
            ResultCode.INVALID_SETTINGS,
            f"environment variable {SETTINGS_PATH_VARIABLE} is not set",
            remedy="set it to the path of the settings file that the platform writes",
        )
    return Path(path)


def load_settings(path: Path) -> PlatformSettings:
    """Read the settings file; unknown fields are ignored.

    Raises `ApricotError` with code 5001 that names the file and the field.
    """
    try:
        raw = yaml.safe_load(path.read_text(encoding="utf-8"))
        return decode_settings(raw)
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as error:
        raise ApricotError(
            ResultCode.INVALID_SETTINGS,
            f"settings file {path} cannot be read: {error}",
            remedy="have the platform write the file again",
        ) from error
    except (KeyError, TypeError, ValueError, IndexError) as error:
        raise ApricotError(
            ResultCode.INVALID_SETTINGS,
            f"settings file {path} has a missing or invalid field: {type(error).__name__}: {error}",
            remedy="have the platform write the file again with this field",
        ) from error


def decode_settings(raw: Mapping[str, Any]) -> PlatformSettings:
    """Convert a settings file, parsed from YAML, to `PlatformSettings`."""
    listen = raw.get("listen_addresses") or {}
    bounds = raw.get("bounds") or {}
    limits = raw.get("limits") or {}
    tolerance = raw.get("fault_tolerance") or {}
    folder = raw.get("data_directory")
    contracts = raw.get("contracts")
    return PlatformSettings(
        name=str(raw["node_name"]),
        address=str(raw["ip_address"]),
        failure_domain=str(raw["zone"]),
        failure_domains=sorted(str(zone) for zone in raw["zones"]),
        # A share of one core that is `cpu_cores` times as fast as a usual one.
        cores=float(limits.get("cpu_share", 1.0)) * float(limits.get("cpu_cores", 1)),
        peer_port=int(raw["internal_port_range"][0]),
        # The platform gives the address of their control API; its port is not used.
        seeds=[str(seed).rpartition(":")[0] for seed in raw["seed_nodes"]],
        first_start=bool(raw["bootstrap"]),
        may_vote=bool(raw.get("fault_counted", True)),
        tolerated_vms=int(tolerance.get("machines", 1)),
        tolerated_domains=int(tolerance.get("zones", 0)),
        data_folder=Path(folder) if folder else None,
        caller_bind=str(listen.get("frontend", "")),
        readiness_bind=str(listen.get("ready", "")),
        control_bind=str(listen.get("control_plane", "")),
        drain_s=float(bounds.get("drain_timeout_ms", 2000)) / 1000,
        grace_s=float(bounds.get("grace_period_s", 6)),
        has_places=isinstance(contracts, list | dict) and "places" in contracts,
        evacuation_timeout_s=float(bounds.get("evacuation_timeout_ms", 5000)) / 1000,
        remote_penalty=_decode_remote_penalty(bounds.get("remote_penalty", 1.0)),
    )


def _decode_remote_penalty(value: object) -> float:
    """Return the penalty; raises `ValueError` for a value that is no penalty."""
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    penalty = float(value) if is_number else math.nan  # type: ignore[arg-type]
    if not 1.0 <= penalty <= MAX_REMOTE_PENALTY:
        raise ValueError(
            f"bounds.remote_penalty is {value!r}; it must be a number from 1 to "
            f"{MAX_REMOTE_PENALTY:g}"
        )
    return penalty
