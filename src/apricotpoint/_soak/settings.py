"""Settings of the fault soak."""

from __future__ import annotations

import attrs

from apricotpoint._settings import checks


@attrs.frozen
class SoakSettings:
    """Settings of `apricot-soak`: the deployment that it starts, its load and its faults.

    `entries`, `controls` and `backends` are numbers of processes or stand-ins over all
    `failure_domains`; `tolerated_processes` control processes or `tolerated_domains` failure
    domains may be lost at the same time. `seconds` is the length of the series of faults,
    `fault_interval_s` the mean time between two of them. Processes listen on addresses of the
    loopback network 127.`subnet`.0.0, 0 selects one. With `with_evacuations` an operator evacuates
    and restores failure domains; with `check_evacuated_starts` a start in an evacuated one that is
    later than allowed is a violation, with entry processes that follow these orders only.
    `first_port` 0 selects free ports. Programs come from `build_folder`, or from this environment
    if it is empty. Logs are kept in `report_folder`.
    """

    report_folder: str
    seed: int = 1
    seconds: float = attrs.field(default=30.0, validator=checks.between(1, 86_400, "seconds"))
    fault_interval_s: float = attrs.field(
        default=1.5, validator=checks.between(0.05, 3_600, "seconds")
    )
    failure_domains: list[str] = attrs.field(
        default=attrs.Factory(lambda: ["puebla", "queretaro", "toluca"]), validator=checks.names
    )
    entries: int = attrs.field(default=6, validator=checks.between(1, 200, "processes"))
    controls: int = attrs.field(default=3, validator=checks.between(1, 12, "processes"))
    backends: int = attrs.field(default=12, validator=checks.between(1, 400, "backend servers"))
    callers: int = attrs.field(default=16, validator=checks.between(1, 1_000, "callers"))
    tolerated_processes: int = attrs.field(default=1, validator=checks.between(0, 5, "processes"))
    tolerated_domains: int = attrs.field(default=1, validator=checks.between(0, 3, "domains"))
    with_links: bool = True
    with_evacuations: bool = True
    check_evacuated_starts: bool = False
    subnet: int = attrs.field(default=0, validator=checks.between(0, 250, ""))
    first_port: int = attrs.field(default=0, validator=checks.between(0, 60_000, ""))
    build_folder: str = ""
