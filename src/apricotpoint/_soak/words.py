"""What the soak needs from the adapter to a platform, whose words it does not know."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs

from apricotpoint._soak.backends import Backend


@attrs.frozen
class Member:
    """One process of the deployment; `first` only at the first start of the whole deployment."""

    process_id: str
    is_control: bool
    failure_domain: str
    address: str
    peer_port: int
    data_folder: str
    counted: bool = True


@attrs.frozen
class Ports:
    """Ports that are the same on the addresses of all processes."""

    caller: int
    readiness: int
    control: int
    first_peer: int


@attrs.frozen
class JobShape:
    """A job of `count` tasks that run for `run_ms` each; `deadly` ones end their backend server."""

    count: int
    run_ms: int
    deadly: bool = False


@attrs.frozen
class Limits:
    """Bounds that the platform sets, in seconds and MB."""

    apply_s: float
    contact_s: float
    recovery_s: float
    catch_up_s: float
    grace_s: float
    break_slack_s: float
    resend_s: float
    heartbeat_s: float
    max_lease_s: float
    drain_s: float
    evacuation_s: float
    memory_mb: float
    descriptors: int


@attrs.frozen
class Words:
    """Functions that speak the words of the platform.

    `settings` returns the settings file of a member, `command` the words that start it, `document`
    a configuration from its version and number of routes, `announcement` the path and body in
    which a backend server announces itself, and `farewell_path` where it says that it ends.
    `evacuation_path` is where the evacuation of a failure domain begins (True) or finishes.
    `odd_announcements` are those of another writer, paths and contents.
    `respond` carries out an order that a backend server received: its path, headers and content
    give a status and a body.
    """

    limits: Limits
    caller_host: str
    job_path: Callable[[str], str]
    readiness_path: str
    change_path: str
    read_path: str
    evacuation_path: Callable[[str, bool], str]
    settings: Callable[[Member, Ports, list[str], bool], dict[str, Any]]
    settings_variable: str
    command: Callable[[Member], list[str]]
    job: Callable[[JobShape], dict[str, Any]]
    job_headers: Callable[[float], dict[str, str]]
    document: Callable[[int, int], dict[str, Any]]
    announcement: Callable[[Backend], tuple[str, dict[str, Any]]]
    farewell_path: Callable[[Backend], str]
    odd_announcements: Callable[[Backend], list[tuple[str, bytes]]]
    respond: Callable[..., Any]
