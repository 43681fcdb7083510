"""Settings of a simulated backend server."""

from __future__ import annotations

import attrs

from apricotpoint._settings import checks
from apricotpoint._wire.announce import GuardState


@attrs.define
class Behaviour:
    """Faults that the backend server simulates; can be changed while it runs.

    `fail_probability` is the share of starts that fail after `fail_after_s`.
    Run times are multiplied by `slow_factor`. With `silent`, requests about
    starts get no byte of a response, and no announcement is sent. With `refuse`, every request for
    starts gets status 503. `guard` and `throttle` are announced; `throttle` is also
    a factor of the speed.
    """

    fail_probability: float = attrs.field(default=0.0, validator=checks.between(0, 1, ""))
    fail_after_s: float = attrs.field(default=0.001, validator=checks.between(0, 3600, "seconds"))
    slow_factor: float = attrs.field(default=1.0, validator=checks.between(0.001, 1000, ""))
    silent: bool = False
    refuse: bool = False
    guard: GuardState = GuardState.RUNNING
    throttle: float = attrs.field(default=1.0, validator=checks.between(0, 1, ""))


@attrs.frozen
class BackendSettings:
    """Identity, resources and behaviour of a simulated backend server.

    A task that takes `run_s` seconds at speed 1 takes `run_s / speed` here.
    `announce_to` lists base URLs of the announcement API, which are called
    with the first internal key of `secrets_file`.
    """

    backend_id: str = attrs.field(validator=checks.name)
    service: str = attrs.field(validator=checks.name)
    failure_domain: str = attrs.field(validator=checks.name)
    rack: str = attrs.field(validator=checks.name)
    bind: str = attrs.field(default="127.0.0.1:0", validator=checks.bind)
    announce_to: list[str] = attrs.field(factory=list, validator=checks.urls)
    secrets_file: str = ""
    slots: int = attrs.field(default=8, validator=checks.between(1, 1024, "slots"))
    connections: int = attrs.field(default=64, validator=checks.between(1, 4096, "connections"))
    cores: int = attrs.field(default=32, validator=checks.between(1, 1024, "cores"))
    memory_mb: int = attrs.field(default=131_072, validator=checks.between(1, 16_000_000, "MB"))
    accelerators: int = attrs.field(default=0, validator=checks.between(0, 1024, "accelerators"))
    speed: float = attrs.field(default=1.0, validator=checks.between(0.01, 100, ""))
    default_run_s: float = attrs.field(default=0.05, validator=checks.between(0, 3600, "seconds"))
    seed: int = 0
    behaviour: Behaviour = attrs.Factory(Behaviour)
