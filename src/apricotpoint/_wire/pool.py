"""Messages of the pool: backend servers with resources, and jobs whose tasks start one by one."""

from __future__ import annotations

import math

import attrs


@attrs.frozen
class Room:
    """Resources that a task needs or a backend server has; `cpu` is in thousandths of a core."""

    cpu: int
    memory_mb: int
    accelerators: int = 0

    def covers(self, other: Room) -> bool:
        """Return whether these resources include at least those of `other`."""
        return (
            other.cpu <= self.cpu
            and other.memory_mb <= self.memory_mb
            and other.accelerators <= self.accelerators
        )

    def limited_to(self, other: Room) -> Room:
        """Return the smaller amount of each resource."""
        return Room(
            min(self.cpu, other.cpu),
            min(self.memory_mb, other.memory_mb),
            min(self.accelerators, other.accelerators),
        )

    def plus(self, other: Room) -> Room:
        """Return the sum of both resources."""
        return Room(
            self.cpu + other.cpu,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: Room) -> Room:
        """Return the resources that remain without `other`; they may be negative."""
        return Room(
            self.cpu - other.cpu,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )


@attrs.frozen
class PoolBackend:
    """The last announcement of a backend server.

    `room` are all its resources. `sequence` grows with each announcement of one
    incarnation; `born_ms` is the start of that incarnation in unix milliseconds,
    0 if it was not announced. `cold_remaining_s` is how much longer the backend
    server remains slow after its start, counted from the announcement.
    """

    backend_id: str
    service: str
    address: str
    failure_domain: str
    room: Room
    labels: list[str]
    leaving: bool
    sequence: int
    born_ms: int = 0
    cold_remaining_s: float = 0.0

    @property
    def location(self) -> str:
        """Location of its machine: the second of its labels (kind, location), empty if absent."""
        return self.labels[1] if len(self.labels) > 1 else ""


@attrs.frozen
class BackendsHeard:
    """Announcements that a control process relays.

    `heard` are new or changed ones, `repeated` the ids of backend servers that have
    announced themselves again without a change, and `gone` those that have left.
    `repeated_digests` has the digest (`_pool.holders.roster.digest`) of each repeated
    announcement, so that a receiver notices that it has missed a change.
    """

    heard: list[PoolBackend]
    gone: list[str] = attrs.Factory(list)
    repeated: list[str] = attrs.Factory(list)
    repeated_digests: list[int] = attrs.Factory(list)


@attrs.frozen
class LostRun:
    """A run that was lost with its backend server.

    `born_ms` is the start of the incarnation of the backend server in unix milliseconds, 0 if it
    is not known. `evidence` is a value of `_pool.decisions.verdicts.Evidence`, known for
    `age_s`. `alone` tells that no other run was there.
    """

    task: str
    backend_id: str
    born_ms: int
    address: str
    evidence: int
    alone: bool
    age_s: float = 0.0


@attrs.frozen
class LostRunChanges:
    """Changes of what is known of lost runs.

    `cleared` has the ids of backend servers that answer again. A control process passes the
    changes on to all entry processes if `forward` is set.
    """

    rows: list[LostRun]
    cleared: list[str] = attrs.Factory(list)
    forward: bool = False


@attrs.frozen
class EntrySummary:
    """What an entry process makes known to all others through the control processes.

    `cores` is the processor of its VM, in cores. `is_holder` tells whether it claims or
    holds backend servers, `started_at` is its start in unix seconds. `revision` rises
    with each change of the other fields.
    """

    entry_id: str
    failure_domain: str
    cores: float
    started_at: float
    draining: bool = False
    is_holder: bool = False
    revision: int = 0


@attrs.frozen
class EntryHello:
    """Makes an entry process known to a control process. Answered by `EntryWelcome`.

    `list_digest` is that of the last list of entry processes received from this control
    process, 0 if there was none. `needs_backends` asks for all announcements. Repeated
    announcements of backend servers in `watched_domains` are relayed with little delay.
    `crash_digest` is that of the crashes known to the entry process (`_pool.holders.crashes`),
    None while they change. A process that `accepts_changes` takes changes of the list in place of
    the list, and asks for the announcements that it lacks by itself.
    """

    summary: EntrySummary
    list_digest: int = 0
    needs_backends: bool = True
    watched_domains: list[str] = attrs.Factory(list)
    crash_digest: int | None = None
    accepts_changes: bool = False


@attrs.frozen
class EntryListChanges:
    """Changes of a list of entry processes since its state with the digest `base_digest`."""

    base_digest: int
    changed: list[EntrySummary]
    removed: list[str]


@attrs.frozen
class EntryWelcome:
    """The processes that a control process knows, and the backend servers announced recently.

    `entries` is None if the list has the digest that the entry process has named, or if the list
    follows from that one and `changes`. `lost_runs` are
    the lost runs of the last time, for an entry process that was not known before; for others only
    crashes, if the digest that they have named is not `crash_digest`. The control process has
    collected its list for `listening_s` seconds, infinity if it does not say; `config_version` is
    the version of its configuration, 0 if it does not say.
    """

    control_ids: list[str]
    list_digest: int
    entries: list[EntrySummary] | None
    backends: list[PoolBackend]
    lost_runs: list[LostRun] = attrs.Factory(list)
    crash_digest: int | None = None
    listening_s: float = math.inf
    config_version: int = 0
    changes: EntryListChanges | None = None


@attrs.frozen
class EntryProbe:
    """Asks an entry process for its status, when nothing was received from it for a while."""


@attrs.frozen
class PoolLoad:
    """Load of the backend servers whose lease one entry process holds.

    `backlog_s` is the predicted time until all queued tasks have started, `free`
    the number of further tasks of usual size that can start now, and `capacity`
    the number of such tasks that can run at the same time.
    """

    backlog_s: float
    free: int
    capacity: int


@attrs.frozen
class EntryStatus:
    """State of an entry process that holds backend servers, which also serves as its heartbeat.

    `term_by_claim` has the parts of failure domains (`_pool.decisions.shares`) whose backend
    servers the process claims, with the term of each claim. `held` are the backend
    servers whose lease it has not released yet; no other process may take them over
    before. `answering` counts those of them that answer. `speed_by_backend` has the
    learned speeds, for a process that takes over; it is left out of most statuses.
    `cores` is the processor of its VM, in cores; `started_at` is the start of the
    process in unix seconds.
    """

    failure_domain: str
    draining: bool
    config_version: int
    term_by_claim: dict[str, int]
    held: list[str]
    load: PoolLoad
    speed_by_backend: dict[str, float] = attrs.Factory(dict)
    answering: int = 0
    cores: float = 1.0
    started_at: float = 0.0


@attrs.frozen
class Locality:
    """Where the tasks of a job run faster.

    `location` is that of its data, empty if there is none. With `together` they run faster if all
    are in one location. Elsewhere a task takes `remote_factor` times as long.
    """

    location: str
    together: bool
    remote_factor: float


@attrs.frozen
class PoolJob:
    """A job of one step: `count` equal tasks that may start in any order.

    `kind` is the name of its route, and `room` the resources of each task.
    `estimate_s` is the declared run time of a task. `elapsed_s` is the time since
    the caller sent the job. The deadline `deadline_s` counts from the same moment,
    and so does the latency objective, which is `base_latency_s` plus `stretch` times
    the run time of the longest task. `forwarded` jobs are not forwarded again.
    `refused_by` are the ids of the holders that have refused the job before.
    `attempt` differs between the requests by which a caller submits the same job
    again; 0 is not known. `locality` is None if its tasks are equally fast everywhere.
    `caller_deadline_s` is the deadline that the caller named, and `timeout_s` the time-out of the
    route; both are for the log, and None if there is none or it is not known.
    """

    job_id: str
    kind: str
    service: str
    spec: str
    count: int
    room: Room
    estimate_s: float
    priority: int
    max_attempts: int
    base_latency_s: float
    stretch: float
    elapsed_s: float
    deadline_s: float
    forwarded: bool = False
    attempt: int = 0
    refused_by: list[str] = attrs.Factory(list)
    locality: Locality | None = None
    caller_deadline_s: float | None = None
    timeout_s: float | None = None


@attrs.frozen
class PoolAnswer:
    """How a job ended: result code, reason, and for refusals the time until a retry.

    A refused job that another process can run sooner is to be sent to `forward_to`.
    """

    code: int
    reason: str = ""
    retry_after_s: float = 0.0
    forward_to: str = ""


@attrs.frozen
class PoolCancel:
    """Cancels a job that was passed on: nobody waits for its answer, or it was cancelled.

    `attempt` is the one of its `PoolJob` that ends; with 0 all of them do.
    """

    job_id: str
    attempt: int = 0
