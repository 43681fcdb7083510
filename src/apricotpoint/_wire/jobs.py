"""Job requests, their answers, and the messages that forward them between entry processes."""

from __future__ import annotations

from typing import Any

import attrs

from apricotpoint._wire.tasks import TaskSpec


@attrs.frozen
class JobRequest:
    """A job as submitted. `valid_until` (unix seconds) is required with a key of the caller."""

    key: str
    team: str
    service: str
    deadline_ms: int
    tasks: list[TaskSpec]
    valid_until: int | None = None


@attrs.frozen
class FailedTask:
    """A task that its backend server reported as failed."""

    index: int
    error: str


@attrs.frozen
class Answer:
    """The complete answer to a job.

    `results` has one value for each task, in order, and only with code 1000.
    Refusals carry `retry_after_ms` and `others`, the addresses at which other
    entry processes serve callers. `config_version` is the version of the active
    configuration; `config_current` is False if it may be out of date.
    """

    key: str
    code: int
    message: str = ""
    results: list[Any] | None = None
    failed: list[FailedTask] = attrs.Factory(list)
    retry_after_ms: int | None = None
    others: list[str] = attrs.Factory(list)
    config_version: int = 0
    config_current: bool = True


@attrs.frozen
class SubmitForward:
    """Forwards a request to the coordinator of its key. Answered by `AnswerForward`.

    With `attach_only` the receiver must not start a job whose key it does not
    know. A receiver that knows the key is the incarnation that owns it: it waits
    for the job, or starts it again if it was refused before any task started.
    """

    request: JobRequest
    attach_only: bool


@attrs.frozen
class JobLookup:
    """Asks the coordinator for the answer to the job of a key, waiting up to `wait_s` seconds."""

    team: str
    key: str
    wait_s: float


@attrs.frozen
class CancelForward:
    """Asks the coordinator to cancel the job of a key. Answered by `AnswerForward`."""

    team: str
    key: str


@attrs.frozen
class AnswerForward:
    """Reply to `SubmitForward`, `JobLookup` or `CancelForward`.

    `answer` is None while the job runs; `found` is False if the key is not known.
    """

    answer: Answer | None
    found: bool = True


@attrs.frozen
class Claim:
    """Asks the key registry of the home domain to record a caller key.

    `fingerprint` is a hash of the request, which a later claim of the same key must
    match. With `check_only` nothing is recorded: the reply only says whether the key
    has a coordinator, so that a job is not refused although another process runs it.
    """

    team: str
    key: str
    valid_until: int
    fingerprint: str
    entry_id: str
    incarnation: int
    check_only: bool = False


@attrs.frozen
class ClaimReply:
    """Answer to `Claim`.

    `code` is 4000 (granted), 2101 (`valid_until` too far ahead), 2104 (registry
    full), 2107 (recorded with another fingerprint), 3105 (key expired) or 3108 (an
    earlier claim may be lost). If the key is already recorded, `existing` is True,
    and `entry_id` and `incarnation` name its coordinator.
    """

    code: int
    entry_id: str = ""
    incarnation: int = 0
    existing: bool = False
