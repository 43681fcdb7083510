"""Settings of a control process."""

from __future__ import annotations

import attrs

from apricotpoint._settings import checks


@attrs.frozen
class ControlSettings:
    """What one `apricot-control` process is and whom it talks to.

    Addresses are `IP:port`. `members` are the ids of the control processes of
    a new deployment; later the replicated configuration decides.
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
