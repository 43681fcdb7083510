"""Report files of a load run: JSON lines and a plot."""

from __future__ import annotations

import json
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import matplotlib

from apricotpoint._core.counters import LatencyHistogram
from apricotpoint._load.outcome import Outcome

_PERCENTILES = [*range(1, 100), 99.5, 99.9]


def write_files(
    folder: Path,
    run_id: str,
    outcomes: Sequence[Outcome],
    figures: dict[str, Any],
    ideal_s: Sequence[float],
) -> None:
    """Write the JSON lines and the plot of a run to `folder`, which is created if needed."""
    folder.mkdir(parents=True, exist_ok=True)
    write_lines(folder / f"{run_id}.jsonl", outcomes, figures)
    write_plot(folder / f"{run_id}.png", outcomes, ideal_s)


def write_lines(path: Path, outcomes: Sequence[Outcome], summary: dict[str, Any]) -> None:
    """Write one JSON line for each job in order of arrival, and the summary as the last."""
    lines = [
        {
            "job": outcome.name,
            "at_s": round(outcome.job.at_s, 4),
            "tasks": len(outcome.job.tasks),
            "code": outcome.answer.code,
            "repeated_code": outcome.repeated.code if outcome.repeated else None,
            "cancelled": outcome.cancelled,
            "response_ms": round(outcome.response_s * 1000, 2),
            "whole": outcome.whole,
            "message": outcome.answer.message,
        }
        for outcome in sorted(outcomes, key=lambda outcome: outcome.number)
    ]
    text = "".join(json.dumps(line) + "\n" for line in [*lines, {"summary": summary}])
    path.write_text(text, encoding="utf-8")


def write_plot(path: Path, outcomes: Sequence[Outcome], ideal_s: Sequence[float]) -> None:
    """Plot response times by arrival time, and their percentiles with those of the ideal."""
    matplotlib.use("Agg")
    from matplotlib import pyplot  # noqa: PLC0415  # Must follow `matplotlib.use`.

    complete = [outcome for outcome in outcomes if outcome.complete]
    others = [outcome for outcome in outcomes if not outcome.complete]
    figure, (over_time, by_percentile) = pyplot.subplots(1, 2, figsize=(11, 4))
    for label, marker, chosen in (("complete", ".", complete), ("other codes", "x", others)):
        over_time.plot(
            [outcome.job.at_s for outcome in chosen],
            [outcome.response_s * 1000 for outcome in chosen],
            marker,
            markersize=3,
            label=label,
        )
    over_time.set(xlabel="arrival (s)", ylabel="response time (ms)")
    over_time.legend()
    measured, ideal = LatencyHistogram(), LatencyHistogram()
    for outcome in complete:
        measured.record(outcome.response_s)
        ideal.record(ideal_s[outcome.number])
    for label, latencies in (("measured", measured), ("ideal", ideal)):
        values = [latencies.percentile_ms(percentile) for percentile in _PERCENTILES]
        by_percentile.plot(_PERCENTILES, values, label=label)
    by_percentile.set(xlabel="percentile of complete jobs", ylabel="response time (ms)")
    by_percentile.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
