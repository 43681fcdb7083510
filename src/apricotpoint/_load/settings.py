"""Settings of the load generator."""

from __future__ import annotations

import attrs

from apricotpoint._settings import checks


@attrs.frozen
class LoadSettings:
    """Settings of `apricot-load`: the load, and the addresses for checking its effects.

    Addresses are `IP:port`. The load is either `tasks_per_s` or, if that is 0,
    `part_of_capacity` of the capacity of `deployment_file` (1 is all of it).
    `resubmit_share` and `cancel_share` are shares of the jobs (0 to 1). The
    counters are read with the token of `operator` in `secrets_file`. Without
    `operator_addresses` the report counts no wasted messages, and without
    `backend_addresses` answers are compared with no ledgers.
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
        """Raise `ValueError` for an invalid address or shares with a sum above 1."""
        for field in ("operator_addresses", "backend_addresses"):
            for item in getattr(self, field):
                checks.address(self, getattr(attrs.fields(LoadSettings), field), item)
        if self.resubmit_share + self.cancel_share > 1:
            raise ValueError("resubmit_share and cancel_share: their sum must be at most 1")
