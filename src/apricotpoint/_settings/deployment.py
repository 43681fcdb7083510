"""Description of a whole deployment for demos, load tests and experiments."""

from __future__ import annotations

import attrs

from apricotpoint._settings import checks
from apricotpoint._settings.kind import TaskKindSettings
from apricotpoint._settings.workers import WorkerSettings


@attrs.frozen
class DeploymentSettings:
    """A deployment with its failure domains, entry VMs, workers and workload.

    Each item of `entry_weights` stands for one entry VM of that relative size in
    each failure domain. `single_share` is the share of jobs with a single task;
    the others have up to `max_tasks` tasks, with small jobs more frequent.
    `max_queue_s` is the predicted wait for a slot, in seconds, from which jobs
    are refused. No program reads `guards` at present.
    """

    name: str = attrs.field(validator=checks.name)
    region: str = attrs.field(validator=checks.name)
    service: str = attrs.field(validator=checks.name)
    failure_domains: list[str] = attrs.field(validator=checks.names)
    workers: WorkerSettings
    kinds: list[TaskKindSettings]
    entry_weights: list[float] = attrs.Factory(lambda: [1.0, 0.5])
    teams: list[str] = attrs.field(factory=lambda: ["default"], validator=checks.names)
    guards: bool = True
    single_share: float = attrs.field(default=0.6, validator=checks.between(0, 1, ""))
    max_queue_s: float = attrs.field(default=30.0, validator=checks.between(0.1, 3600, "seconds"))
    max_tasks: int = attrs.field(default=110, validator=checks.between(1, 110, "tasks"))

    def __attrs_post_init__(self) -> None:
        """Raise `ValueError` if there are no entry VMs or no kinds of task."""
        if not self.entry_weights:
            raise ValueError("entry_weights: must list one weight for each entry VM of a domain")
        if not self.kinds:
            raise ValueError("kinds: must list one or more kinds of task")
