"""Result of one submission of a traced job."""

from __future__ import annotations

import attrs

from apricotpoint._bench.trace import TracedJob
from apricotpoint._wire.jobs import Answer


@attrs.define
class JobRecord:
    """One submission of a traced job; times in seconds of the virtual clock.

    `whole` is False if the answer has code 1000 but other results than those of
    this job, `lost` is True if the entry process was killed before it answered.
    """

    job: TracedJob
    number: int
    submitted_at: float
    deadline_s: float
    answered_at: float | None = None
    answer: Answer | None = None
    whole: bool = True
    lost: bool = False

    @property
    def response_s(self) -> float:
        """Return the response time in seconds, infinity without an answer."""
        return float("inf") if self.answered_at is None else self.answered_at - self.submitted_at

    @property
    def complete(self) -> bool:
        """Return whether the answer has code 1000, that is, all results."""
        return self.answer is not None and self.answer.code == 1000
