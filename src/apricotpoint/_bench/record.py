"""What a caller saw of one job of a trace."""

from __future__ import annotations

import attrs

from apricotpoint._bench.trace import TracedJob
from apricotpoint._wire.jobs import Answer


@attrs.define
class JobRecord:
    """One submission of a traced job; times are seconds on the virtual clock.

    `whole` is False if the answer claims to be complete but is not exactly
    the results of this job, `lost` is True if its entry process was killed.
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
        """Response time in seconds; infinity without an answer."""
        return float("inf") if self.answered_at is None else self.answered_at - self.submitted_at

    @property
    def complete(self) -> bool:
        """True if the answer has code 1000."""
        return self.answer is not None and self.answer.code == 1000
