"""The replicated configuration, changes to it, and its distribution."""

from __future__ import annotations

from typing import Any

import attrs


@attrs.frozen
class ServiceConfig:
    """Settings of one service.

    `policy` names the placement policy. `max_queue_s` bounds the predicted
    wait in seconds. `retry_idempotent` allows a second start of a single
    idempotent request whose first start was lost with its backend server; it is
    off by default, because the at-most-once guarantee makes no such exception.
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
    """Limits of one team.

    `quota_tasks` is how many of its tasks may be in the deployment at once. Its fair share
    of the slots is proportional to `quota_tasks` times `weight`.
    """

    name: str
    quota_tasks: int = 1_000
    weight: float = 1.0


@attrs.frozen
class Document:
    """A complete configuration that the operator of a platform sends in its own format.

    The operator sets `version`, and the highest one is active. `text` is kept
    unchanged. Version 0 means that there is no document.
    """

    version: int = 0
    text: str = ""


@attrs.frozen
class Evacuation:
    """The last order for a failure domain; while it is `active`, nothing is started there.

    `order` numbers all accepted orders for that failure domain, from 1, also those for the state
    already in effect. `command_id` is that of the last one that changed it, and `ordered_at` the
    Unix time at which a process received that, for display only.
    """

    active: bool
    order: int
    command_id: str
    ordered_at: float


@attrs.frozen
class Configuration:
    """One version of the configuration. Each accepted change increments the version."""

    version: int = 0
    service_by_name: dict[str, ServiceConfig] = attrs.Factory(dict)
    team_by_name: dict[str, TeamConfig] = attrs.Factory(dict)
    drained_vms: list[str] = attrs.Factory(list)
    stopped_vms: list[str] = attrs.Factory(list)
    drained_backends: list[str] = attrs.Factory(list)
    stopped_backends: list[str] = attrs.Factory(list)
    document: Document = Document()
    evacuation_by_domain: dict[str, Evacuation] = attrs.Factory(dict)

    def evacuated_domains(self) -> list[str]:
        """Return the failure domains that are evacuated, sorted."""
        evacuations = self.evacuation_by_domain
        return sorted(domain for domain in evacuations if evacuations[domain].active)

    def with_document(self, document: Document) -> Configuration:
        """Return this configuration with another document."""
        return attrs.evolve(self, document=document)


@attrs.frozen
class Change:
    """One change of the configuration.

    `action` is one of set_service, set_team, remove_service, remove_team,
    drain_vm, undrain_vm, stop_vm, drain_backend, undrain_backend,
    stop_backend, add_member, remove_member, replace_document, begin_evacuation,
    finish_evacuation. `arguments` depend on the action. A change is based on
    configuration `base_version`. `replace_document` ignores it: the highest version
    of the document becomes active, and one that is not higher is accepted without effect.
    The orders to evacuate a failure domain and to finish that ignore it, too: they have
    `known_order`, the number of the last order for the domain that the process which
    received them knew, besides `ordered_at` and `domains`, all failure domains.
    """

    command_id: str
    base_version: int
    action: str
    target: str
    arguments: dict[str, Any] = attrs.Factory(dict)


@attrs.frozen
class ChangeRequest:
    """Asks a control replica to commit a change. Answered by `ChangeReply`."""

    change: Change


@attrs.frozen
class ChangeReply:
    """Answer to `ChangeRequest`; `version` is that of the configuration afterwards.

    `code` is 4000 (accepted), 4101 (version conflict), 4102 (no majority), 4103
    (invalid command) or 4104 (not found). `evacuation` is what is in force after an accepted
    order for a failure domain; its command id is that of the change which brought it into force.
    """

    code: int
    version: int
    message: str = ""
    evacuation: Evacuation | None = None


@attrs.frozen
class DocumentRequest:
    """Asks the leader for the latest document, confirmed by a majority."""


@attrs.frozen
class DocumentReply:
    """Answer to `DocumentRequest`; None if the replica cannot tell which is latest."""

    document: Document | None = None


@attrs.frozen
class ConfigPoll:
    """Long poll for a configuration newer than `version`; answered within `wait_s` seconds.

    With `chunked` the answer may have the manifest of a long document in place of its text.
    """

    version: int
    wait_s: float = 1.0
    chunked: bool = False


@attrs.frozen
class DocumentManifest:
    """The chunks of a document, in order, by their digests; `digest` is that of its text."""

    version: int
    digest: bytes
    chunk_digests: list[bytes]


@attrs.frozen
class ChunkRequest:
    """Asks a process that has offered a document for chunks of it."""

    digests: list[bytes]


@attrs.frozen
class ChunkReply:
    """Answer to `ChunkRequest`: some of the chunks, as many as one message may carry."""

    chunks: list[str]


@attrs.frozen
class ConfigUpdate:
    """Answer to `ConfigPoll`; `configuration` is None if there is no newer one.

    `current` is False if the replica is not in contact with a majority. The document of the
    configuration has no text if there is a `manifest` of it.
    """

    version: int
    current: bool
    configuration: Configuration | None = None
    manifest: DocumentManifest | None = None
