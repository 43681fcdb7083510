"""A test oracle for the guarantees P1 to P8 of section 1.2 of the design page.

It does not know how the system works; it checks only what can be observed from outside:
P1, P5: a task is started at most once.
P2: an answer comes in time; its results are complete, and every task ran if it says so.
P3: results belong to the submitted job and are in the order of its tasks.
P4: no task of a refused job starts, before or after the refusal.
P6: no task is sent to a backend server that has been leaving for more than 5 s.
P7: a graceful stop loses no request (checked in `fuzz_system.py`).
P8: accepted configuration changes stay, and reach all processes in version order within 5 s.

Thousands digits of result codes: 1 is "ran", 2 "did not run", 3 "not known whether it ran".
"""

from __future__ import annotations

import math
from collections import Counter

import anyio
import attrs

from apricotpoint._wire.configuration import Configuration
from apricotpoint._wire.jobs import Answer, JobRequest

# How long tasks may still be sent to a backend server that is leaving.
LEAVING_START_LIMIT_S = 5.0
# How long an accepted configuration may take to become active at a reachable process.
ACTIVATION_LIMIT_S = 5.0
# How long after its deadline an answer may arrive.
ANSWER_GRACE_S = 0.05


@attrs.define(eq=False)
class Submission:
    """One submission as its caller sees it.

    `started_before` says whether a task of the same key and content had already
    started. `without_overlap` is true while no other submission of the key is
    unanswered at the same time. `exempt` is set if the entry process was killed or
    paused meanwhile: then the answer may be late or missing.
    """

    request: JobRequest
    content: str
    submitted_at: float
    started_before: bool
    without_overlap: bool
    answer: Answer | None = None
    exempt: bool = False

    @property
    def due_at(self) -> float:
        """Latest time, on the virtual clock, at which the answer must arrive."""
        return self.submitted_at + self.request.deadline_ms / 1000 + ANSWER_GRACE_S


class Oracle:
    """Records starts, answers and configuration versions, and fails on a broken guarantee.

    `starts` counts the starts of each (key, task index); `started` has each (key,
    content of the payloads) of which a task started. `cancelled` has the keys
    cancelled before a start. An observer is one incarnation of a process.
    `drained_at` has the time since which a backend server is drained or stopped.
    """

    def __init__(self) -> None:
        self.starts: Counter[tuple[str, int]] = Counter()
        self.started: set[tuple[str, str]] = set()
        self.submissions: list[Submission] = []
        self.cancelled: set[str] = set()
        self.codes: Counter[int] = Counter()
        self.configuration_by_version: dict[int, Configuration] = {}
        self.version_by_observer: dict[object, int] = {}
        self.reply_by_command: dict[str, tuple[int, int]] = {}
        self.accepted_version = 0
        self.accepted_at = -math.inf
        self.drained_at: dict[str, float] = {}

    # Starts

    def start(self, payload: dict, sent_at: float, leaving_at: float) -> None:
        """Check P1, P5 and P6 when a backend server starts a task.

        `sent_at` is when the start was sent, `leaving_at` since when the backend
        server gets no new tasks; infinity if it does.
        """
        task = (payload["key"], payload["index"])
        self.starts[task] += 1
        self.started.add((payload["key"], payload["content"]))
        assert self.starts[task] == 1, f"P1: task {task} started twice"
        assert sent_at - leaving_at <= LEAVING_START_LIMIT_S, (
            f"P6: task {task} sent {sent_at - leaving_at:.1f} s after the server was leaving"
        )

    # Answers

    def record_submission(self, request: JobRequest, content: str) -> Submission:
        """Record a submission before it is sent, and return its record."""
        earlier = [
            submission for submission in self.submissions if submission.request.key == request.key
        ]
        started = (request.key, content) in self.started
        without_overlap = all(submission.answer or submission.exempt for submission in earlier)
        submission = Submission(request, content, anyio.current_time(), started, without_overlap)
        for other in earlier:
            other.without_overlap &= bool(other.answer)
        self.submissions.append(submission)
        return submission

    def check_answer(self, submission: Submission, answer: Answer) -> None:
        """Check the deadline and P2 to P4 when a submission is answered."""
        submission.answer = answer
        if anyio.current_time() > submission.due_at and not submission.exempt:
            raise AssertionError(
                f"answer came {anyio.current_time() - submission.due_at:.3f} s too late"
            )
        self.check_completeness(submission.request, submission.content, answer)
        if answer.code // 1000 == 2:
            assert not submission.started_before, (
                f"P4: refused, but a task had started before: {answer}"
            )
            if submission.without_overlap:
                assert (submission.request.key, submission.content) not in self.started, (
                    f"P4: refused, but a task has started: {answer}"
                )

    def check_completeness(self, request: JobRequest, content: str, answer: Answer) -> None:
        """Check P2 and P3: results are complete, in order and those of the request."""
        self.codes[answer.code] += 1
        assert answer.key == request.key, "P3: the answer has another key than the request"
        assert (answer.results is not None) == (answer.code == 1000), (
            f"P2: exactly the answers with code 1000 must have results: {answer}"
        )
        if answer.results is not None:
            expected = [task.payload for task in request.tasks]
            assert answer.results == expected, (
                "P2, P3: results are partial, out of order or those of another job"
            )
        if answer.code == 1001:
            all_started = all(self.starts[(request.key, i)] for i in range(len(request.tasks)))
            assert all_started, "P2: code 1001 says that every task ran, but one did not start"

    def check_cancel_answer(self, request: JobRequest, answer: Answer) -> None:
        """Record the answer to a cancellation; `check_end` then checks P4 for it."""
        self.codes[answer.code] += 1
        if answer.code == 2108:
            self.cancelled.add(request.key)

    # Configuration

    def version(self, observer: object, configuration: Configuration) -> None:
        """Check P8: the version never decreases at an observer, and each has one content."""
        version = configuration.version
        previous = self.version_by_observer.get(observer, 0)
        assert version >= previous, f"P8: {observer} went from version {previous} to {version}"
        self.version_by_observer[observer] = version
        content = self.configuration_by_version.setdefault(version, configuration)
        assert content == configuration, f"P8: version {version} has two different contents"

    def check_change_reply(self, command_id: str, code: int, version: int) -> None:
        """Check P8: all replies to one command are equal, other than 4102 (no majority)."""
        if code != 4102:
            first = self.reply_by_command.setdefault(command_id, (code, version))
            assert first == (code, version), f"P8: command {command_id} got two different replies"
        if code == 4000 and version > self.accepted_version:
            self.accepted_version, self.accepted_at = version, anyio.current_time()

    def check_active_version(self, observer: object, version: int, fault_free_since: float) -> None:
        """Check P8: an accepted change becomes active at a reachable process in time.

        `fault_free_at` is when faults no longer delay changes; infinity if they do.
        """
        since = max(fault_free_since, self.accepted_at)
        if anyio.current_time() - since > ACTIVATION_LIMIT_S:
            assert version >= self.accepted_version, (
                f"P8: {observer} has version {version}, but {self.accepted_version} was accepted"
            )

    # End

    def check_end(self) -> None:
        """Check at the end that every caller has an answer and no refused job has run."""
        refused_by_job: dict[tuple[str, str], bool] = {}
        for submission in self.submissions:
            assert submission.answer or submission.exempt, (
                f"submission was never answered: {submission}"
            )
            job = (submission.request.key, submission.content)
            refused = submission.answer is not None and submission.answer.code // 1000 == 2
            refused_by_job[job] = refused and refused_by_job.get(job, True)
        for job, refused in refused_by_job.items():
            assert not (refused and job in self.started), f"P4: job {job} ran after its refusal"
        for key, _ in self.started:
            assert key not in self.cancelled, (
                f"P4: job {key} ran although it was cancelled before start"
            )
        for version, configuration in self.configuration_by_version.items():
            assert configuration.version == version
