"""Outcome of one job of a load run."""

from __future__ import annotations

import attrs

from apricotpoint._bench.trace import TracedJob
from apricotpoint._wire.jobs import Answer


@attrs.frozen
class Outcome:
    """Answers to one job, as the load generator received them.

    `whole` is True if each answer with code 1000 has exactly the results of this
    job's tasks in order, and no other answer has results. `name` identifies the
    job in the ledgers of the backend servers, and `repeated` is the answer to the
    second submission if there was one.
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
