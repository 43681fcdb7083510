"""Views of the lease holders of a service, built from load reports."""

from __future__ import annotations

from collections import deque

import attrs

from apricotpoint._core.timers import TimerService
from apricotpoint._jobs.placement import HolderView, Lane, lane_fits
from apricotpoint._jobs.ports import ClusterView, EntryView, LocalHolder
from apricotpoint._wire.load import BackendLoad
from apricotpoint._wire.tasks import TaskSpec

# A holder not heard from for this long gets no new batches.
MAX_REPORT_AGE_S = 1.0
# Views are rebuilt at most this often, so a burst of jobs does not pay for a
# walk over all backend servers each time.
_REBUILD_S = 0.02
_MAX_SENT = 1_000
_MEAN_DECAY = 0.05


@attrs.define(eq=False)
class ServiceView:
    """The holders and all known backend servers of a service."""

    holders: list[HolderView]
    known: list[BackendLoad]
    holder_by_id: dict[str, HolderView]
    queued_tasks: int

    def could_ever_run(self, spec: TaskSpec) -> bool:
        """Return whether some known backend server has the resources for a task."""
        return any(lane_fits(load, spec) for load in self.known)

    def wait_s(self) -> float:
        """Return the smallest predicted wait in seconds for a slot."""
        return min((holder.wait_s() for holder in self.holders), default=0.0)

    def drain_s(self, work_s: float) -> float:
        """Return the seconds in which all slots do the waiting work and `work_s` more."""
        capacity = sum(holder.capacity for holder in self.holders)
        if not capacity:
            return 0.0
        return (work_s + sum(holder.backlog_s for holder in self.holders)) / capacity


@attrs.frozen
class _Sent:
    sent_at: float
    spec: TaskSpec
    estimate_s: float


class Views:
    """The views by service; they include what this process sent since each report."""

    def __init__(
        self,
        *,
        entry_id: str,
        incarnation: int,
        holder: LocalHolder,
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
        self._live: list[EntryView] = []
        self._sent_by_holder: dict[tuple[str, str], deque[_Sent]] = {}
        self._mean_run_s_by_service: dict[str, float] = {}

    def live(self) -> list[EntryView]:
        """Return the live entry processes."""
        self._refresh()
        return self._live

    def service(self, name: str) -> ServiceView:
        """Return the view of a service; its holders have available backend servers."""
        self._refresh()
        view = self._view_by_service.get(name)
        return view if view is not None else ServiceView([], [], {}, 0)

    def sent(self, service: str, entry_id: str, spec: TaskSpec, estimate_s: float) -> None:
        """Remember a task sent to another holder until a report includes it."""
        if entry_id == self._entry_id:
            return
        sent = self._sent_by_holder.get((entry_id, service))
        if sent is None:
            sent = self._sent_by_holder[(entry_id, service)] = deque(maxlen=_MAX_SENT)
        sent.append(_Sent(self._timers.now(), spec, estimate_s))

    def ended(self, service: str, entry_id: str, backend_id: str, estimate_s: float) -> None:
        """Count the end of a task at a holder."""
        view = self._view_by_service.get(service)
        holder = view.holder_by_id.get(entry_id) if view else None
        if holder is not None:
            holder.give_back(backend_id, estimate_s)

    def learn(self, service: str, run_s: float) -> None:
        """Include one run time in the mean of a service."""
        mean_s = self._mean_run_s_by_service.get(service)
        if mean_s is None:
            self._mean_run_s_by_service[service] = run_s
            return
        self._mean_run_s_by_service[service] = mean_s + _MEAN_DECAY * (run_s - mean_s)

    def invalidate(self) -> None:
        """Rebuild the views at the next use."""
        self._built_at = float("-inf")

    def _refresh(self) -> None:
        now = self._timers.now()
        if now - self._built_at < _REBUILD_S:
            return
        self._built_at = now
        self._live = list(self._cluster.live(MAX_REPORT_AGE_S))
        self._view_by_service = {}
        self._add(
            self._entry_id,
            self._incarnation,
            loads=self._holder.backend_loads(),
            queued_s_by_service=self._holder.queued_s_by_service(),
            queued_tasks=self._holder.queued_tasks(),
        )
        for item in self._live:
            if item.entry_id == self._entry_id:
                continue
            self._add(
                item.entry_id,
                item.incarnation,
                loads=item.report.backends,
                queued_s_by_service=item.report.queued_s_by_service,
                queued_tasks=item.report.queued_tasks,
                draining=item.report.draining,
                made_at=now - item.age_s,
            )
        for view in self._view_by_service.values():
            staying = [holder for holder in view.holders if not holder.draining]
            if staying:
                view.holders[:] = staying

    def _add(
        self,
        entry_id: str,
        incarnation: int,
        *,
        loads: list[BackendLoad],
        queued_s_by_service: dict[str, float],
        queued_tasks: int,
        draining: bool = False,
        made_at: float | None = None,
    ) -> None:
        loads_by_service: dict[str, list[BackendLoad]] = {}
        for load in loads:
            loads_by_service.setdefault(load.service, []).append(load)
        for service, of_service in loads_by_service.items():
            view = self._view_by_service.get(service)
            if view is None:
                view = self._view_by_service[service] = ServiceView([], [], {}, 0)
            view.known.extend(of_service)
            view.queued_tasks += queued_tasks
            available = [load for load in of_service if load.available and load.slots > 0]
            if not available:
                continue
            holder = HolderView(
                entry_id=entry_id,
                incarnation=incarnation,
                local=entry_id == self._entry_id,
                lanes=[Lane.from_load(load) for load in available],
                backlog_s=queued_s_by_service.get(service, 0.0),
                draining=draining,
                mean_run_s=self._mean_run_s_by_service.get(service, 0.1),
            )
            view.holders.append(holder)
            view.holder_by_id[entry_id] = holder
            sent = self._sent_by_holder.get((entry_id, service))
            if sent is None or made_at is None:
                continue
            while sent and sent[0].sent_at < made_at:
                sent.popleft()
            for item in sent:
                holder.take(item.spec, item.estimate_s)
