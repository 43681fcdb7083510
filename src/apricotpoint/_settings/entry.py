"""Settings of an entry process."""

from __future__ import annotations

import attrs

from apricotpoint._http.serve import TlsFiles
from apricotpoint._settings import checks


@attrs.frozen
class EntrySettings:
    """Identity, addresses, limits and files of one `apricot-entry` process.

    Addresses are `IP:port`. `weight` is the size of the VM relative to the
    others. `peer_by_id` has the addresses of the other entry processes,
    `control_by_id` those of the control processes, and `control_by_domain` the
    id of the control process that holds the key registry of each failure domain.
    """

    entry_id: str = attrs.field(validator=checks.name)
    failure_domain: str = attrs.field(validator=checks.name)
    failure_domains: list[str] = attrs.field(validator=checks.names)
    caller_bind: str = attrs.field(validator=checks.address)
    operator_bind: str = attrs.field(validator=checks.address)
    announce_bind: str = attrs.field(validator=checks.address)
    peer_bind: str = attrs.field(validator=checks.address)
    peer_by_id: dict[str, str] = attrs.field(validator=checks.addresses)
    control_by_id: dict[str, str] = attrs.field(validator=checks.addresses)
    control_by_domain: dict[str, str]
    secrets_file: str
    weight: float = attrs.field(default=1.0, validator=checks.between(0.1, 100, ""))
    drain_grace_s: float = attrs.field(default=6.0, validator=checks.between(0, 60, "seconds"))
    drain_limit_s: float = attrs.field(default=60.0, validator=checks.between(1, 3600, "seconds"))
    data_folder: str = ""
    dump_folder: str = ""
    log_level: str = attrs.field(
        default="info", validator=attrs.validators.in_(("debug", "info", "warning", "error"))
    )
    caller_tls: TlsFiles | None = None
    operator_tls: TlsFiles | None = None

    def __attrs_post_init__(self) -> None:
        """Raise `ValueError` for values that contradict each other."""
        if self.failure_domain not in self.failure_domains:
            raise ValueError(
                f"failure_domain: {self.failure_domain!r} is not listed in failure_domains"
            )
        if set(self.control_by_domain) != set(self.failure_domains):
            raise ValueError(
                "control_by_domain: must name one control process for each of failure_domains"
            )
        for control_id in self.control_by_domain.values():
            if control_id not in self.control_by_id:
                raise ValueError(
                    f"control_by_domain: {control_id!r} is not listed in control_by_id"
                )
        binds = [self.caller_bind, self.operator_bind, self.announce_bind, self.peer_bind]
        if len(set(binds)) != len(binds):
            raise ValueError(
                "caller_bind, operator_bind, announce_bind and peer_bind: must all be different"
            )
