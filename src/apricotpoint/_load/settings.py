"""Settings of the load generator."""

from __future__ import annotations

import attrs

from apricotpoint._settings import checks


@attrs.frozen
class LoadSettings:
    """What `apricot-load` submits, and where it looks for the effects.

    Addresses are `IP:port`. The load is either `tasks_per_s` or, if that is 0,
    `part_of_capacity` of the slots in `deployment_file`. `resubmit_share` and
    `cancel_share` are parts of the jobs. `operator` names the operator whose
    token in `secrets_file` reads the counters; without `operator_addresses`
    there are no wasted messages in the report, without `backend_addresses` no
    ledgers.
    """

    caller_addresses: list[str] = attrs.field(validator=checks.address_list)
    secrets_file: str
    team: str = attrs.field(validator=checks.name)
    deployment_file: str
    report_folder: str
    tasks_per_s: float = attrs.field(default=0.0, validator=checks.between(0, 1e6, "tasks/s"))
    part_of_capacity: float = attrs.field(default=0.5, validator=checks.between(0.001, 10, ""))
    seconds: float = attrs.field(default=10.0, validator=checks.between(0.1, 86_400, "seconds"))
    seed: int = 1
    deadline_ms: int = attrs.field(default=10_000, validator=checks.between(1, 600_000, "ms"))
    resubmit_share: float = attrs.field(default=0.0, validator=checks.between(0, 1, ""))
    cancel_share: float = attrs.field(default=0.0, validator=checks.between(0, 1, ""))
    operator: str = "operator"
    operator_addresses: list[str] = attrs.Factory(list)
    backend_addresses: list[str] = attrs.Factory(list)

    def __attrs_post_init__(self) -> None:
        """Refuse values that do not fit together."""
        for field in ("operator_addresses", "backend_addresses"):
            for item in getattr(self, field):
                checks.address(self, getattr(attrs.fields(LoadSettings), field), item)
        if self.resubmit_share + self.cancel_share > 1:
            raise ValueError("resubmit_share and cancel_share: their sum must be at most 1")
