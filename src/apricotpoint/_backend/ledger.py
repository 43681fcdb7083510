"""Counts of what a simulated backend server did."""

from __future__ import annotations

from collections import Counter
from typing import Any

import attrs


@attrs.define
class Ledger:
    """Counts every start, so that a double start can be seen from outside.

    A task is identified by `job` and `task` of its payload. These come from
    the load generator and stay the same in a resubmission, which start ids do not.
    """

    starts: int = 0
    refused: int = 0
    cancelled: int = 0
    untaken: int = 0
    starts_by_id: Counter[str] = attrs.Factory(Counter)
    starts_by_task: Counter[tuple[str, str]] = attrs.Factory(Counter)

    def add(self, start_id: str, payload: Any) -> None:
        """Count a start."""
        self.starts += 1
        self.starts_by_id[start_id] += 1
        if isinstance(payload, dict) and "job" in payload:
            self.starts_by_task[str(payload["job"]), str(payload.get("task", 0))] += 1

    def report(self) -> dict[str, Any]:
        """Return the counts, and each start and task that was started twice."""
        return {
            "starts": self.starts,
            "refused": self.refused,
            "cancelled": self.cancelled,
            "untaken": self.untaken,
            "repeated_starts": sum(n - 1 for n in self.starts_by_id.values()),
            "repeated_tasks": sum(n - 1 for n in self.starts_by_task.values()),
            "repeated": [
                {"job": job, "task": task, "starts": n}
                for (job, task), n in self.starts_by_task.items()
                if n > 1
            ],
        }

    def tasks(self) -> list[list[Any]]:
        """Return `[job, task, starts]` for every task, to be added up over backend servers."""
        return [[job, task, n] for (job, task), n in self.starts_by_task.items()]
