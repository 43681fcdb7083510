"""What callers, backend servers and operators saw in a run."""

from __future__ import annotations

import time

import attrs


@attrs.define
class Run:
    """One run of a task on a backend server; `ended_at` is None while it runs.

    `noted_at` is when the holder of the backend server acknowledged the end.
    """

    backend_id: str
    task: str
    number: int
    began_at: float
    ended_at: float | None = None
    outcome: str = ""
    noted_at: float | None = None

    @property
    def job_id(self) -> str:
        """Id of the job that the task belongs to."""
        return self.task.partition(".")[0]


@attrs.define
class Attempt:
    """One request for a job; `status` is 0 without a complete answer, `failure` says why.

    `failure` is "connect", "broken", "silent" (no answer within the patience of the caller) or
    "left" (the caller closed the connection).
    """

    job_id: str
    number: int
    entry_id: str
    sent_at: float
    deadline_s: float
    patience_s: float
    ended_at: float | None = None
    status: int = 0
    code: int = 0
    body_bytes: int = 0
    failure: str = ""


@attrs.define
class Change:
    """One configuration that an operator sent; `acknowledged_at` is None without a clear 200."""

    version: int
    sent_at: float
    digest: str
    acknowledged_at: float | None = None
    refused_with: int = 0


@attrs.define
class Reading:
    """One answer 200 of a control process to a read of the configuration."""

    control_id: str
    sent_at: float
    version: int
    digest: str


@attrs.define
class EvacuationOrder:
    """One order to begin or finish the evacuation of a failure domain, sent until acknowledged.

    `command_id` is that of the order in force by the acknowledgement. An order that repeats an
    acknowledged one has the `command_id` of that in `confirms`.
    """

    domain: str
    begin: bool
    sent_at: float
    confirms: str = ""
    acknowledged_at: float | None = None
    command_id: str = ""
    refused_with: int = 0


@attrs.define
class Disturbance:
    """A time in which a process was disturbed by the soak; `until` is None while it lasts.

    `kind` is "down", "frozen", "stopping" or "links".
    """

    process_id: str
    kind: str
    since: float
    until: float | None = None


@attrs.define
class Usage:
    """Highest use of resources by one process, over all its lives."""

    process_id: str
    memory_mb: float = 0.0
    descriptors: int = 0
    log_bytes: int = 0


class Sightings:
    """All that was seen; times are seconds since the construction."""

    def __init__(self) -> None:
        self._began_at = time.monotonic()
        self.runs: list[Run] = []
        self.attempts: list[Attempt] = []
        self.changes: list[Change] = []
        self.readings: list[Reading] = []
        self.orders: list[EvacuationOrder] = []
        self.domain_by_backend: dict[str, str] = {}
        self.disturbances: list[Disturbance] = []
        self.usages: dict[str, Usage] = {}
        # Texts of ends of processes that the soak did not cause.
        self.own_ends: list[str] = []
        # Time at which the last disturbed process was back, and seconds from then until all
        # control processes gave the newest configuration and a further one was acknowledged.
        self.last_back_at = 0.0
        self.recovered_s: float | None = None
        self.lines: list[str] = []

    def now(self) -> float:
        """Return the seconds since the construction."""
        return time.monotonic() - self._began_at

    def note(self, text: str) -> None:
        """Add a line to the record of the run."""
        self.lines.append(f"{self.now():9.3f} {text}")

    def disturb(self, process_id: str, kind: str) -> Disturbance:
        """Begin a disturbance of a process; the caller sets its end."""
        disturbance = Disturbance(process_id, kind, self.now())
        self.disturbances.append(disturbance)
        return disturbance
