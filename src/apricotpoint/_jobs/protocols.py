"""Protocols of the parts that the coordinator uses."""

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
        """Id of the entry process, unique in the deployment."""

    @property
    def incarnation(self) -> int:
        """Incarnation of the entry process that sent the report."""

    @property
    def report(self) -> LoadReport:
        """The load report received last."""

    @property
    def age_s(self) -> float:
        """Seconds since the report was made."""


class ClusterView(Protocol):
    """The entry processes of the deployment and their load reports."""

    def live_entries(self, max_age_s: float) -> Sequence[EntryView]:
        """Return the entry processes whose report is at most `max_age_s` old, and this one."""

    def unreachable_entries(self, max_age_s: float) -> Sequence[str]:
        """Return the ids of the other entry processes without a report of that age."""

    def report_for(self, entry_id: str) -> LoadReport | None:
        """Return this process's report to send with a message, None if one was sent just before."""

    def record_report(self, sender: Sender, report: LoadReport) -> None:
        """Record the load report of another entry process, received with a message."""


class LocalLeaseHolder(Protocol):
    """The lease holder in this process."""

    def run(
        self, coordinator: Sender, batch: RunBatch, reply: Callable[[BatchResult], None]
    ) -> None:
        """Queue a batch; `reply` is called with its outcomes, in one or more parts.

        It may be called before this method returns.
        """

    def cancel(self, coordinator: Sender, batch_ids: list[int]) -> None:
        """Cancel batches; the outcomes of their tasks are still reported."""

    def backend_loads(self) -> list[BackendLoad]:
        """Return the load of the backend servers whose leases this process holds."""

    def queued_s_by_service(self) -> dict[str, float]:
        """Return the predicted run time in seconds of the queued tasks, by service."""

    def queued_tasks(self) -> int:
        """Return the number of tasks that wait for a slot."""


class Estimator(Protocol):
    """Predicts the run times of tasks from earlier runs of the same kind."""

    def estimate(self, service: str, kind: str, declared_s: float | None) -> float:
        """Return the predicted run time in seconds at speed 1."""

    def observe(self, service: str, kind: str, declared_s: float | None, work_s: float) -> None:
        """Record a run; `work_s` is its run time in seconds, converted to speed 1."""
