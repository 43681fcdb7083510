"""Report of a run: figures, violations, and the record for tracing them."""

from __future__ import annotations

import json
from collections import Counter
from pathlib import Path

import attrs

from apricotpoint._soak.checks import Violation
from apricotpoint._soak.series import Series
from apricotpoint._soak.sightings import Sightings


@attrs.frozen
class Report:
    """Figures of one run; `answers` counts requests by status and code, or by their failure."""

    seed: int
    seconds: float
    faults: dict[str, int]
    requests: int
    answers: dict[str, int]
    # Requests that were answered after their deadline.
    late: int
    runs: int
    run_ends: dict[str, int]
    changes: int
    acknowledged: int
    readings: int
    orders: int
    orders_acknowledged: int
    recovered_s: float | None
    most_memory_mb: int
    most_descriptors: int
    most_log_bytes_per_s: int
    violations: list[Violation]

    def lines(self) -> list[str]:
        """Return the lines of a table."""
        figures = attrs.asdict(self, filter=lambda field, _: field.name != "violations")
        lines = []
        for name, value in figures.items():
            counts = value if isinstance(value, dict) else {}
            text = ", ".join(f"{key}: {count}" for key, count in counts.items()) or value
            lines.append(f"  {name.replace('_', ' '):24} {text}")
        lines += [f"  {violation.rule}: {violation.text}" for violation in self.violations]
        return lines


def make_report(series: Series, sightings: Sightings, violations: list[Violation]) -> Report:
    """Return the figures of a run."""
    answers = Counter(
        f"{attempt.status} {attempt.code}" if attempt.status else attempt.failure or "open"
        for attempt in sightings.attempts
    )
    usages = sightings.usages.values()
    log_bytes = max((usage.log_bytes for usage in usages), default=0)
    recovered_s = sightings.recovered_s
    return Report(
        seed=series.seed,
        seconds=round(sightings.now(), 1),
        faults=dict(Counter(str(fault.kind) for fault in series.faults)),
        requests=len(sightings.attempts),
        answers=dict(sorted(answers.items())),
        late=sum(
            1
            for attempt in sightings.attempts
            if attempt.status
            and attempt.ended_at is not None
            and attempt.ended_at - attempt.sent_at > attempt.deadline_s
        ),
        runs=len(sightings.runs),
        run_ends=dict(Counter(run.outcome or "running" for run in sightings.runs)),
        changes=len(sightings.changes),
        acknowledged=sum(1 for item in sightings.changes if item.acknowledged_at is not None),
        readings=len(sightings.readings),
        orders=len(sightings.orders),
        orders_acknowledged=sum(
            1 for order in sightings.orders if order.acknowledged_at is not None
        ),
        recovered_s=None if recovered_s is None else round(recovered_s, 1),
        most_memory_mb=round(max((usage.memory_mb for usage in usages), default=0)),
        most_descriptors=max((usage.descriptors for usage in usages), default=0),
        most_log_bytes_per_s=round(log_bytes / max(sightings.now(), 1.0)),
        violations=violations,
    )


def write_record(sightings: Sightings, folder: Path) -> None:
    """Write the events of the soak, and what was seen, as lines."""
    (folder / "record.txt").write_text("\n".join(sightings.lines) + "\n", encoding="utf-8")
    for name in ("runs", "attempts", "changes", "readings", "orders", "disturbances"):
        lines = [json.dumps(attrs.asdict(item)) for item in getattr(sightings, name)]
        (folder / f"{name}.jsonl").write_text("\n".join(lines) + "\n", encoding="utf-8")
