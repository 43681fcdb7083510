"""The replicated configuration, changes to it, and its distribution."""

from __future__ import annotations

from typing import Any

import attrs


@attrs.frozen
class ServiceConfig:
    """Rules of one service.

    `policy` names the placement policy. `max_queue_s` bounds the predicted
    wait in seconds. `retry_idempotent` allows a second start of a single
    idempotent request whose first start was lost with its backend server; it is
    off by default, because the at-most-once promise has no such exception.
    """

    name: str
    policy: str = "predicted"
    max_queue_s: float = 30.0
    max_tasks_queued: int = 20_000
    retry_idempotent: bool = False
    guards: bool = True
    quarantine: bool = True


@attrs.frozen
class TeamConfig:
    """Quota of one team: concurrent tasks over the deployment, and its share weight."""

    name: str
    quota_tasks: int = 1_000
    weight: float = 1.0


@attrs.frozen
class Document:
    """A configuration that the operator of a platform sends whole, in its own format.

    `version` is the operator's; the highest one is in force. `text` is kept
    as it was sent. Version 0 stands for none.
    """

    version: int = 0
    text: str = ""


@attrs.frozen
class Configuration:
    """One version of the configuration. Versions grow by one for each accepted change."""

    version: int = 0
    service_by_name: dict[str, ServiceConfig] = attrs.Factory(dict)
    team_by_name: dict[str, TeamConfig] = attrs.Factory(dict)
    drained_vms: list[str] = attrs.Factory(list)
    stopped_vms: list[str] = attrs.Factory(list)
    drained_backends: list[str] = attrs.Factory(list)
    stopped_backends: list[str] = attrs.Factory(list)
    document: Document = Document()


@attrs.frozen
class Change:
    """One change of the configuration.

    `action` is one of set_service, set_team, remove_service, remove_team,
    drain_vm, undrain_vm, stop_vm, drain_backend, undrain_backend,
    stop_backend, add_member, remove_member, replace_document. `arguments`
    depend on the action. A `replace_document` has no base version: the highest
    version of the document wins, and any other one is accepted without effect.
    """

    command_id: str
    base_version: int
    action: str
    target: str
    arguments: dict[str, Any] = attrs.Factory(dict)


@attrs.frozen
class ChangeRequest:
    """Asks a control replica to commit a change."""

    change: Change


@attrs.frozen
class ChangeReply:
    """Answer to `ChangeRequest`: code 4000, 4101, 4102, 4103 or 4104 and the version after it."""

    code: int
    version: int
    message: str = ""


@attrs.frozen
class DocumentRequest:
    """Asks the leader for the latest document, confirmed by a majority."""


@attrs.frozen
class DocumentReply:
    """Answer to `DocumentRequest`; `document` is None if the latest one is not known here."""

    document: Document | None = None


@attrs.frozen
class ConfigPoll:
    """Long poll for a configuration newer than `version`; held up to `wait_s`."""

    version: int
    wait_s: float = 1.0


@attrs.frozen
class ConfigUpdate:
    """Answer to `ConfigPoll`; `configuration` is None if there is nothing newer.

    `current` is False if the replica has no contact to a majority.
    """

    version: int
    current: bool
    configuration: Configuration | None = None
