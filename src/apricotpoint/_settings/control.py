"""Settings of a control process."""

from __future__ import annotations

import attrs

from apricotpoint._settings import checks


@attrs.frozen
class ControlSettings:
    """Identity, addresses and files of one `apricot-control` process.

    Addresses are `IP:port`. `members` are the ids of the control processes of
    a new deployment; afterwards the replicated configuration determines them.
    """

    control_id: str = attrs.field(validator=checks.name)
    failure_domain: str = attrs.field(validator=checks.name)
    members: list[str] = attrs.field(validator=checks.names)
    operator_bind: str = attrs.field(validator=checks.address)
    peer_bind: str = attrs.field(validator=checks.address)
    peer_by_id: dict[str, str] = attrs.field(validator=checks.addresses)
    secrets_file: str
    data_folder: str
    dump_folder: str = ""
    log_level: str = attrs.field(
        default="info", validator=attrs.validators.in_(("debug", "info", "warning", "error"))
    )
