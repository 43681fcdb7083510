"""Views of the lease holders of a service, built from load reports."""

from __future__ import annotations

from collections import deque

import attrs

from apricotpoint._core.timers import TimerService
from apricotpoint._jobs.placement import (
    REMOTE_ROUND_TRIP_S,
    BackendSlots,
    HolderView,
    backend_can_run,
)
from apricotpoint._jobs.protocols import ClusterView, EntryView, LocalLeaseHolder
from apricotpoint._wire.load import BackendLoad, LoadReport
from apricotpoint._wire.tasks import TaskSpec

# A lease holder whose last load report is older than this gets no new batches.
MAX_REPORT_AGE_S = 1.0
# Views are rebuilt at most once in this time, so that the loads of all backend
# servers are not read again for each job of a burst.
_MIN_REBUILD_INTERVAL_S = 0.02
_MAX_SENT_TASKS = 1_000
# Weight of the latest run in the exponential moving average of run times.
_MEAN_RUN_WEIGHT = 0.05
_INITIAL_MEAN_RUN_S = 0.1


@attrs.define(eq=False)
class ServiceView:
    """The lease holders of one service.

    `holders` are those with available backend servers, without the draining
    ones unless all are draining. `loads_by_holder` lists the backend servers of
    each holder, available or not. `queued_tasks` is the number of tasks of all
    services that wait for a slot at the holders of this one.
    """

    holders: list[HolderView] = attrs.Factory(list)
    loads_by_holder: list[list[BackendLoad]] = attrs.Factory(list)
    queued_tasks: int = 0

    def can_run(self, spec: TaskSpec) -> bool:
        """Return whether any known backend server has in total the resources for a task."""
        return any(backend_can_run(load, spec) for loads in self.loads_by_holder for load in loads)

    def wait_s(self) -> float:
        """Return the shortest predicted wait for a slot in seconds over all holders."""
        return min((holder.wait_s() for holder in self.holders), default=0.0)

    def drain_s(self, work_s: float) -> float:
        """Return the predicted seconds until the backlog and `work_s` more are completed.

        `work_s` is run time in seconds at speed 1.
        """
        capacity = sum(holder.capacity for holder in self.holders)
        if not capacity:
            return 0.0
        return (work_s + sum(holder.backlog_s for holder in self.holders)) / capacity


@attrs.define(eq=False)
class _HolderLoad:
    """The load of one holder by service, kept until its next report.

    `report` is None for the lease holder in this process.
    """

    report: LoadReport | None
    incarnation: int
    loads_by_service: dict[str, list[BackendLoad]]
    holder_by_service: dict[str, HolderView]
    queued_tasks: int
    draining: bool


@attrs.frozen
class _SentTask:
    """A task sent to another holder; `sent_at` is monotonic time."""

    sent_at: float
    spec: TaskSpec
    estimate_s: float


class ServiceViews:
    """The views of all services, built from the latest load reports.

    They include the tasks that this process has sent since each report was made.
    """

    def __init__(
        self,
        *,
        entry_id: str,
        incarnation: int,
        holder: LocalLeaseHolder,
        cluster: ClusterView,
        timers: TimerService,
    ) -> None:
        self._entry_id = entry_id
        self._incarnation = incarnation
        self._holder = holder
        self._cluster = cluster
        self._timers = timers
        self._built_at = float("-inf")
        self._view_by_service: dict[str, ServiceView] = {}
        self._load_by_holder: dict[str, _HolderLoad] = {}
        self._live: list[EntryView] = []
        self._sent_by_holder: dict[str, dict[str, deque[_SentTask]]] = {}
        self._mean_run_s_by_service: dict[str, float] = {}

    def live_entries(self) -> list[EntryView]:
        """Return the live entry processes, as of at most 20 ms ago."""
        self._refresh()
        return self._live

    def view_of(self, service: str) -> ServiceView:
        """Return the view of a service, which is empty if no holder reports the service."""
        self._refresh()
        view = self._view_by_service.get(service)
        return view if view is not None else ServiceView()

    def record_sent_task(
        self, service: str, entry_id: str, spec: TaskSpec, estimate_s: float
    ) -> None:
        """Record a task sent to another holder until its load report includes the task."""
        if entry_id == self._entry_id:
            return
        sent_by_service = self._sent_by_holder.setdefault(entry_id, {})
        sent = sent_by_service.get(service)
        if sent is None:
            sent = sent_by_service[service] = deque(maxlen=_MAX_SENT_TASKS)
        sent.append(_SentTask(self._timers.now(), spec, estimate_s))

    def record_ended_task(
        self, service: str, entry_id: str, backend_id: str, estimate_s: float
    ) -> None:
        """Remove a task that has ended from the view of its holder."""
        load = self._load_by_holder.get(entry_id)
        holder = load.holder_by_service.get(service) if load is not None else None
        if holder is not None:
            holder.remove_task(backend_id, estimate_s)

    def record_run_time(self, service: str, run_s: float) -> None:
        """Add a run time to the moving average of a service."""
        mean_s = self._mean_run_s_by_service.get(service)
        if mean_s is None:
            self._mean_run_s_by_service[service] = run_s
            return
        self._mean_run_s_by_service[service] = mean_s + _MEAN_RUN_WEIGHT * (run_s - mean_s)

    def invalidate(self) -> None:
        """Cause the views to be rebuilt when they are next used."""
        self._built_at = float("-inf")

    def _refresh(self) -> None:
        now = self._timers.now()
        if now - self._built_at < _MIN_REBUILD_INTERVAL_S:
            return
        self._built_at = now
        self._live = list(self._cluster.live_entries(MAX_REPORT_AGE_S))
        loads = {
            self._entry_id: self._build_load(
                self._entry_id,
                self._incarnation,
                report=None,
                backends=self._holder.backend_loads(),
                queued_s_by_service=self._holder.queued_s_by_service(),
                queued_tasks=self._holder.queued_tasks(),
            )
        }
        for item in self._live:
            if item.entry_id == self._entry_id:
                continue
            load = self._load_by_holder.get(item.entry_id)
            if load is None or load.report is not item.report:
                load = self._build_load(
                    item.entry_id,
                    item.incarnation,
                    report=item.report,
                    backends=item.report.backends,
                    queued_s_by_service=item.report.queued_s_by_service,
                    queued_tasks=item.report.queued_tasks,
                )
                self._add_sent_tasks(item.entry_id, load, made_at=now - item.age_s)
            loads[item.entry_id] = load
        self._load_by_holder = loads
        for entry_id in self._sent_by_holder.keys() - loads.keys():
            del self._sent_by_holder[entry_id]
        self._view_by_service = {}
        for load in loads.values():
            for service, backends in load.loads_by_service.items():
                view = self._view_by_service.setdefault(service, ServiceView())
                view.loads_by_holder.append(backends)
                view.queued_tasks += load.queued_tasks
                holder = load.holder_by_service.get(service)
                if holder is not None:
                    view.holders.append(holder)
        for view in self._view_by_service.values():
            # A draining holder hands its backend servers over to others, so it is
            # used only if all holders of the service are draining.
            not_draining = [item for item in view.holders if not loads[item.entry_id].draining]
            view.holders = not_draining or view.holders

    def _build_load(
        self,
        entry_id: str,
        incarnation: int,
        *,
        report: LoadReport | None,
        backends: list[BackendLoad],
        queued_s_by_service: dict[str, float],
        queued_tasks: int,
    ) -> _HolderLoad:
        loads_by_service: dict[str, list[BackendLoad]] = {}
        for load in backends:
            loads_by_service.setdefault(load.service, []).append(load)
        holder_by_service: dict[str, HolderView] = {}
        for service, loads in loads_by_service.items():
            available = [
                BackendSlots.from_load(load) for load in loads if load.available and load.slots > 0
            ]
            if available:
                holder_by_service[service] = HolderView(
                    entry_id=entry_id,
                    incarnation=incarnation,
                    local=entry_id == self._entry_id,
                    backends=available,
                    backlog_s=queued_s_by_service.get(service, 0.0),
                    mean_run_s=self._mean_run_s_by_service.get(service, _INITIAL_MEAN_RUN_S),
                )
        return _HolderLoad(
            report=report,
            incarnation=incarnation,
            loads_by_service=loads_by_service,
            holder_by_service=holder_by_service,
            queued_tasks=queued_tasks,
            draining=report is not None and report.draining,
        )

    def _add_sent_tasks(self, entry_id: str, load: _HolderLoad, *, made_at: float) -> None:
        """Add the tasks to a load that its report does not include yet.

        A task sent to a holder arrives there after half a round trip.
        """
        for service, sent in self._sent_by_holder.get(entry_id, {}).items():
            while sent and sent[0].sent_at < made_at - REMOTE_ROUND_TRIP_S / 2:
                sent.popleft()
            holder = load.holder_by_service.get(service)
            if holder is None:
                continue
            for item in sent:
                holder.add_task(item.spec, item.estimate_s)
