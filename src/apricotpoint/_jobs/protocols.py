"""What the coordinator needs from the lease holder, the cluster view and the estimator."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

from apricotpoint._link.transport import Sender
from apricotpoint._wire.load import BackendLoad, LoadReport
from apricotpoint._wire.tasks import BatchResult, RunBatch


class EntryView(Protocol):
    """An entry process with its latest load report."""

    @property
    def entry_id(self) -> str:
        """Id of the entry process."""

    @property
    def incarnation(self) -> int:
        """Incarnation that sent the report."""

    @property
    def report(self) -> LoadReport:
        """The latest report."""

    @property
    def age_s(self) -> float:
        """Seconds since the report was made."""


class ClusterView(Protocol):
    """The live entry processes."""

    def live_entries(self, max_age_s: float) -> Sequence[EntryView]:
        """Return the entry processes heard within `max_age_s`, including this one."""

    def unreachable_entries(self, max_age_s: float) -> Sequence[str]:
        """Return the ids of the entry processes of the deployment that are not live."""

    def report_for(self, entry_id: str) -> LoadReport | None:
        """Return the report to add to a message for another entry process, if it needs one."""

    def record_report(self, sender: Sender, report: LoadReport) -> None:
        """Take over a report that came with a message."""


class LocalLeaseHolder(Protocol):
    """The lease holder in this process."""

    def run(
        self, coordinator: Sender, batch: RunBatch, reply: Callable[[BatchResult], None]
    ) -> None:
        """Queue a batch; `reply` is called with outcomes, possibly in several parts."""

    def cancel(self, coordinator: Sender, batch_ids: list[int]) -> None:
        """Drop batches; their outcomes are still reported."""

    def backend_loads(self) -> list[BackendLoad]:
        """Return the load of the backend servers held here."""

    def queued_s_by_service(self) -> dict[str, float]:
        """Return the predicted run time in seconds of the tasks that wait for a slot."""

    def queued_tasks(self) -> int:
        """Return the number of tasks that wait for a slot."""


class Estimator(Protocol):
    """Learned run times of kinds of tasks."""

    def estimate(self, service: str, kind: str, declared_s: float | None) -> float:
        """Return the predicted run time in seconds at speed 1."""

    def observe(self, service: str, kind: str, declared_s: float | None, work_s: float) -> None:
        """Learn from a run that took `work_s` seconds of work at speed 1."""
