"""An oracle that knows only the promises P1 to P8 of section 1.2 of the design page."""

from __future__ import annotations

import math
from collections import Counter

import anyio
import attrs

from apricotpoint._wire.configuration import Configuration
from apricotpoint._wire.jobs import Answer, JobRequest

LEAVE_S = 5.0
IN_FORCE_S = 5.0
LATE_S = 0.05


@attrs.define(eq=False)
class Call:
    """One submission as its caller sees it. `excused` is set if its process stopped meanwhile."""

    request: JobRequest
    content: str
    submitted_at: float
    started_before: bool
    alone: bool
    answer: Answer | None = None
    excused: bool = False

    @property
    def due_at(self) -> float:
        """When the caller must have an answer."""
        return self.submitted_at + self.request.deadline_ms / 1000 + LATE_S


class Oracle:
    """Sees starts at the backend servers, answers at the callers and versions everywhere."""

    def __init__(self) -> None:
        self.starts: Counter[tuple[str, int]] = Counter()
        self.started: set[tuple[str, str]] = set()
        self.calls: list[Call] = []
        self.cancelled: set[str] = set()
        self.codes: Counter[int] = Counter()
        self.content_by_version: dict[int, Configuration] = {}
        self.version_by_place: dict[object, int] = {}
        self.accepted: dict[str, tuple[int, int]] = {}
        self.accepted_version = 0
        self.accepted_at = -math.inf
        self.drained_at: dict[str, float] = {}

    # Starts

    def start(self, payload: dict, sent_at: float, leaving_at: float) -> None:
        """P1, P5 and P6 at the start of a task at a backend server."""
        name = (payload["key"], payload["index"])
        self.starts[name] += 1
        self.started.add((payload["key"], payload["content"]))
        assert self.starts[name] == 1, f"P1: {name} started twice"
        assert sent_at - leaving_at <= LEAVE_S, f"P6: {name} sent {sent_at - leaving_at:.1f} s late"

    # Answers

    def submitted(self, request: JobRequest, content: str) -> Call:
        """Record a submission."""
        same = [call for call in self.calls if call.request.key == request.key]
        started = (request.key, content) in self.started
        alone = all(call.answer or call.excused for call in same)
        call = Call(request, content, anyio.current_time(), started, alone)
        for other in same:
            other.alone &= bool(other.answer)
        self.calls.append(call)
        return call

    def answered(self, call: Call, answer: Answer) -> None:
        """P2 to P4 at the answer to a submission."""
        call.answer = answer
        if anyio.current_time() > call.due_at and not call.excused:
            raise AssertionError(f"answer {anyio.current_time() - call.due_at:.3f} s too late")
        self.check_whole(call.request, call.content, answer)
        if answer.code // 1000 == 2:
            assert not call.started_before, f"P4: {answer} but it had started before"
            if call.alone:
                assert (call.request.key, call.content) not in self.started, f"P4: {answer}"

    def check_whole(self, request: JobRequest, content: str, answer: Answer) -> None:
        """P2 and P3: results are complete, in order and those of the request."""
        self.codes[answer.code] += 1
        assert answer.key == request.key, "P3: answer of another key"
        assert (answer.results is not None) == (answer.code == 1000), f"P2: {answer}"
        if answer.results is not None:
            expected = [task.payload for task in request.tasks]
            assert answer.results == expected, "P2, P3: partial or foreign results"
        if answer.code == 1001:
            started = all(self.starts[(request.key, i)] for i in range(len(request.tasks)))
            assert started, "P2: a task that did not run counts as run"

    def cancel_answered(self, request: JobRequest, answer: Answer) -> None:
        """P4 at the answer to a cancellation."""
        self.codes[answer.code] += 1
        if answer.code == 2108:
            self.cancelled.add(request.key)

    # Configuration

    def version(self, place: object, configuration: Configuration) -> None:
        """P8: versions of one place never go back, and each has one content."""
        version = configuration.version
        known = self.version_by_place.get(place, 0)
        assert version >= known, f"P8: {place} goes from version {known} to {version}"
        self.version_by_place[place] = version
        content = self.content_by_version.setdefault(version, configuration)
        assert content == configuration, f"P8: version {version} has two contents"

    def change_answered(self, command_id: str, code: int, version: int) -> None:
        """P8: a command has one answer."""
        if code != 4102:
            first = self.accepted.setdefault(command_id, (code, version))
            assert first == (code, version), f"P8: {command_id} got two answers"
        if code == 4000 and version > self.accepted_version:
            self.accepted_version, self.accepted_at = version, anyio.current_time()

    def check_in_force(self, place: object, version: int, calm_since: float) -> None:
        """P8: an accepted change is in force at a reachable process."""
        since = max(calm_since, self.accepted_at)
        if anyio.current_time() - since > IN_FORCE_S:
            assert version >= self.accepted_version, (
                f"P8: {place} has version {version}, {self.accepted_version} is accepted"
            )

    # End

    def check_end(self) -> None:
        """Every caller has an answer and every refusal has stayed true."""
        refused_by_job: dict[tuple[str, str], bool] = {}
        for call in self.calls:
            assert call.answer or call.excused, f"no answer: {call}"
            job = (call.request.key, call.content)
            refused = call.answer is not None and call.answer.code // 1000 == 2
            refused_by_job[job] = refused and refused_by_job.get(job, True)
        for job, refused in refused_by_job.items():
            assert not (refused and job in self.started), f"P4: {job} ran after its refusal"
        for key, _ in self.started:
            assert key not in self.cancelled, f"P4: {key} ran although cancelled before start"
        for version, configuration in self.content_by_version.items():
            assert configuration.version == version
