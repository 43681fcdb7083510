"""What the load generator saw of one job."""

from __future__ import annotations

import attrs

from apricotpoint._bench.trace import TracedJob
from apricotpoint._wire.jobs import Answer


@attrs.frozen
class Outcome:
    """One finished submission; `whole` is False if a complete answer is not this job's own."""

    number: int
    job: TracedJob
    answer: Answer
    response_s: float
    whole: bool

    @property
    def complete(self) -> bool:
        """True if the answer has code 1000."""
        return self.answer.code == 1000
