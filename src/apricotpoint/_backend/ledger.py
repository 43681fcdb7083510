"""Counters of the starts on a simulated backend server."""

from __future__ import annotations

from collections import Counter
from typing import Any

import attrs


@attrs.define
class Ledger:
    """Counts every start, so that a client can detect tasks that were started twice.

    A task is identified by `job` and `task` of its payload. The load generator sets
    these, and repeats them in a resubmission, which gets new start ids. `untaken`
    counts results that no client received because its connection ended.
    """

    starts: int = 0
    refused: int = 0
    cancelled: int = 0
    untaken: int = 0
    starts_by_id: Counter[str] = attrs.Factory(Counter)
    starts_by_task: Counter[tuple[str, str]] = attrs.Factory(Counter)

    def add(self, start_id: str, payload: Any) -> None:
        """Count a start of a task with this payload."""
        self.starts += 1
        self.starts_by_id[start_id] += 1
        if isinstance(payload, dict) and "job" in payload:
            self.starts_by_task[str(payload["job"]), str(payload.get("task", 0))] += 1

    def report(self) -> dict[str, Any]:
        """Return the counts, and a list of the tasks that were started more than once."""
        return {
            "starts": self.starts,
            "refused": self.refused,
            "cancelled": self.cancelled,
            "untaken": self.untaken,
            "repeated_starts": sum(count - 1 for count in self.starts_by_id.values()),
            "repeated_tasks": sum(count - 1 for count in self.starts_by_task.values()),
            "repeated": [
                {"job": job, "task": task, "starts": count}
                for (job, task), count in self.starts_by_task.items()
                if count > 1
            ],
        }

    def tasks(self) -> list[list[Any]]:
        """Return `[job, task, starts]` for every task; a client adds them up over servers."""
        return [[job, task, count] for (job, task), count in self.starts_by_task.items()]
