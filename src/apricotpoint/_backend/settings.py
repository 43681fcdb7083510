"""Settings of a simulated backend server."""

from __future__ import annotations

import attrs

from apricotpoint._wire.announce import GuardState


@attrs.define
class Behaviour:
    """How the backend server misbehaves; it can be changed while it runs.

    `fail_probability` is the share of starts that fail after `fail_after_s`.
    Run times are multiplied by `slow_factor`. With `silent`, no byte is
    written and no announcement is sent. With `refuse`, every request for
    starts gets status 503.
    """

    fail_probability: float = 0.0
    fail_after_s: float = 0.001
    slow_factor: float = 1.0
    silent: bool = False
    refuse: bool = False
    guard: GuardState = GuardState.RUNNING
    throttle: float = 1.0


@attrs.frozen
class BackendSettings:
    """Identity, size and behaviour of a simulated backend server.

    A task that takes `run_s` seconds at speed 1 takes `run_s / speed` here.
    `announce_to` lists base URLs of the announcement API, which are called
    with the first internal key of `secrets_file`.
    """

    backend_id: str
    service: str
    failure_domain: str
    rack: str
    bind: str = "127.0.0.1:0"
    announce_to: list[str] = attrs.Factory(list)
    secrets_file: str = ""
    slots: int = 8
    connections: int = 64
    cores: int = 32
    memory_mb: int = 131_072
    accelerators: int = 0
    speed: float = 1.0
    default_run_s: float = 0.05
    seed: int = 0
    behaviour: Behaviour = attrs.Factory(Behaviour)
