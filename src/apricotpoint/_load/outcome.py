"""What the load generator saw of one job."""

from __future__ import annotations

import attrs

from apricotpoint._bench.trace import TracedJob
from apricotpoint._wire.jobs import Answer


@attrs.frozen
class Outcome:
    """One finished job; `whole` is False if a complete answer is not this job's own.

    `name` identifies the job in the ledgers of the backend servers, and
    `repeated` has the answer to the second submission if there was one.
    """

    number: int
    name: str
    job: TracedJob
    answer: Answer
    response_s: float
    whole: bool
    repeated: Answer | None = None
    cancelled: bool = False

    @property
    def complete(self) -> bool:
        """True if the answer has code 1000."""
        return self.answer.code == 1000

    def answers(self) -> list[Answer]:
        """Return the answers to all submissions of the job."""
        return [self.answer] if self.repeated is None else [self.answer, self.repeated]
